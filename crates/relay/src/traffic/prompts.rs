//! Finds the engine whose KV cache still has the prompt of a resumed stream.
//!
//! A caller that loses its node or its connection reconnects to another node, which
//! does not know where the stream ran. The engine keeps the prompt in its KV cache for
//! a while after the run, so the engines of the region are queried for their prompts.
//! This takes milliseconds, whereas the prefill of 5,000 tokens takes a second.

use std::{cell::RefCell, rc::Rc, sync::Arc, time::Duration};

use futures::{StreamExt, stream::FuturesUnordered};
use parsleylatch_decide::relay::{EndpointEntry, EndpointKey};
use parsleylatch_types::{Millis, TokenCount};
use tokio::{sync::watch, time};

use super::{
    engine,
    holder_query::HolderQuery,
    job::Job,
    state::{Traffic, connection_key},
};
use crate::telemetry::RelayCounter;

/// Timeout of a query: a new connection and the response of a busy engine.
const QUERY_TIMEOUT: Duration = Duration::from_millis(150);
/// Age up to which the results of a query are reused for other streams, because callers
/// that lose the same node reconnect at the same time.
const QUERY_REUSE_MS: Millis = Millis::new(1_000);
/// Smallest prompt that is looked up; from this size the prefill takes longer than a
/// query.
const MIN_PROMPT_TOKENS: TokenCount = TokenCount::new(1_000);
/// Maximum number of engines queried; further engines in the region are skipped.
const MAX_QUERIED_ENGINES: usize = 100;

/// Finds the engine that has the prompt of a resumed stream in its KV cache, if one
/// reports so in time.
pub(crate) async fn find_holder(traffic: &Rc<Traffic>, job: &Job) -> Option<EndpointKey> {
    let part = job.metadata.prompt.last()?;
    let is_resumed = job.metadata.last_event.is_some_and(|it| it.get() > 0);
    let is_eligible = job.spec.prompt >= MIN_PROMPT_TOKENS && job.spec.repeat.may_run_again();
    if !is_resumed || !is_eligible {
        return None;
    }
    let queried_at = traffic.now();
    let query = query_for(traffic, job);
    let found = time::timeout(QUERY_TIMEOUT, query.wait_for(part)).await;
    let holder = found.ok().flatten();
    log::info!(
        id:% = job.metadata.id,
        route:% = job.route.name,
        endpoint = holder.as_ref().map_or("-", |it| it.id.as_str()),
        unanswered = *query.unanswered.borrow(),
        inquiry_age_ms = queried_at.since(query.started_at).millis().get(),
        after_ms = traffic.now().since(queried_at).millis().get();
        "prompt looked for"
    );
    holder
}

/// Returns the latest query for the service if it is recent, or starts a new one.
fn query_for(traffic: &Rc<Traffic>, job: &Job) -> Rc<HolderQuery> {
    let now = traffic.now();
    let service = &job.spec.service;
    let mut holder_queries = traffic.holder_queries.borrow_mut();
    let newest = holder_queries.get(service);
    let fresh = newest.filter(|it| now.since(it.started_at) < QUERY_REUSE_MS.micros());
    if let Some(fresh) = fresh {
        return Rc::clone(fresh);
    }
    let engines = traffic.selector().in_own_region(
        now,
        &traffic.endpoint_table.borrow(),
        service,
        MAX_QUERIED_ENGINES,
    );
    let query = Rc::new(HolderQuery {
        started_at: now,
        holders: RefCell::default(),
        unanswered: watch::Sender::new(engines.len()),
    });
    holder_queries.insert(service.clone(), Rc::clone(&query));
    tokio::task::spawn_local(query_engines(
        Rc::clone(traffic),
        Rc::clone(&query),
        engines,
    ));
    query
}

async fn query_engines(
    traffic: Rc<Traffic>,
    query: Rc<HolderQuery>,
    engines: Vec<Arc<EndpointEntry>>,
) {
    let queries = engines.iter().map(|entry| async {
        traffic.shared.metrics.increment(RelayCounter::Probes);
        let key = connection_key(entry);
        let listed = engine::list_prompt_parts(&traffic, &key);
        let parts = time::timeout(QUERY_TIMEOUT, listed).await;
        // An engine that does not respond in time counts as without prompts.
        (&entry.key, parts.unwrap_or_default())
    });
    let mut responses: FuturesUnordered<_> = queries.collect();
    while let Some((key, parts)) = responses.next().await {
        let holders = parts.into_iter().map(|part| (part, key.clone()));
        query.holders.borrow_mut().extend(holders);
        query.unanswered.send_modify(|unanswered| *unanswered -= 1);
    }
}
