//! Finds the engine that still has the prompt of a stream that its caller resumes.
//!
//! A caller that lost its node, or its connection, comes back at another node, which
//! does not know where the stream ran. The engine keeps the prompt for a while after
//! the run, so the engines of the region are asked what they have: that takes some
//! milliseconds, and reading a prompt of 5,000 tokens takes a second.

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

/// Longest wait for the engine that has a prompt: a new connection and an answer of an
/// engine that works.
const QUERY_TIMEOUT: Duration = Duration::from_millis(150);
/// Age up to which the answers to an inquiry serve other streams, too: callers that
/// lost the same node come back together.
const QUERY_REUSE_MS: Millis = Millis::new(1_000);
/// Smallest prompt that is looked for; reading one takes longer than asking.
const MIN_PROMPT_TOKENS: TokenCount = TokenCount::new(1_000);
/// Most engines that are asked; a node with more in its region asks these first.
const MAX_QUERIED_ENGINES: usize = 100;

/// Engine that has the prompt of a resumed stream in its memory, if one answers so in
/// time.
pub(crate) async fn find_holder(traffic: &Rc<Traffic>, job: &Job) -> Option<EndpointKey> {
    let part = job.metadata.last_prompt_part.as_ref()?;
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

/// The newest inquiry of the service, or a new one.
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
        // An engine that does not answer in time has nothing.
        (&entry.key, parts.unwrap_or_default())
    });
    let mut responses: FuturesUnordered<_> = queries.collect();
    while let Some((key, parts)) = responses.next().await {
        let holders = parts.into_iter().map(|part| (part, key.clone()));
        query.holders.borrow_mut().extend(holders);
        query.unanswered.send_modify(|unanswered| *unanswered -= 1);
    }
}
