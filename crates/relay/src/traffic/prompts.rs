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
    inquiry::Inquiry,
    job::Job,
    state::{Traffic, connection_key},
};
use crate::telemetry::RelayCounter;

/// Longest wait for the engine that has a prompt: a new connection and an answer of an
/// engine that works.
const WAIT_LIMIT: Duration = Duration::from_millis(150);
/// Age up to which the answers to an inquiry serve other streams, too: callers that
/// lost the same node come back together.
const FRESH_MS: Millis = Millis::new(1_000);
/// Smallest prompt that is looked for; reading one takes longer than asking.
const PROMPT_FLOOR: TokenCount = TokenCount::new(1_000);
/// Most engines that are asked; a node with more in its region asks these first.
const ASKED_LIMIT: usize = 100;

/// Engine that has the prompt of a resumed stream in its memory, if one answers so in
/// time.
pub(crate) async fn find_holder(traffic: &Rc<Traffic>, job: &Job) -> Option<EndpointKey> {
    let part = job.head.own_part.as_ref()?;
    let is_resumed = job.head.last_event.is_some_and(|it| it.get() > 0);
    let is_worth_it = job.order.prompt >= PROMPT_FLOOR && job.order.repeat.may_run_again();
    if !is_resumed || !is_worth_it {
        return None;
    }
    let asked_at = traffic.now();
    let inquiry = inquire(traffic, job);
    let found = time::timeout(WAIT_LIMIT, inquiry.wait_for(part)).await;
    let holder = found.ok().flatten();
    log::info!(
        id:% = job.head.id,
        route:% = job.route.name,
        endpoint = holder.as_ref().map_or("-", |it| it.id.as_str()),
        unanswered = *inquiry.open.borrow(),
        inquiry_age_ms = asked_at.since(inquiry.started_at).millis().get(),
        after_ms = traffic.now().since(asked_at).millis().get();
        "prompt looked for"
    );
    holder
}

/// The newest inquiry of the service, or a new one.
fn inquire(traffic: &Rc<Traffic>, job: &Job) -> Rc<Inquiry> {
    let now = traffic.now();
    let service = &job.order.service;
    let mut inquiries = traffic.inquiries.borrow_mut();
    let newest = inquiries.get(service);
    let fresh = newest.filter(|it| now.since(it.started_at) < FRESH_MS.micros());
    if let Some(fresh) = fresh {
        return Rc::clone(fresh);
    }
    let engines = traffic
        .selector()
        .in_own_region(&traffic.book.borrow(), service, ASKED_LIMIT);
    let inquiry = Rc::new(Inquiry {
        started_at: now,
        holders: RefCell::default(),
        open: watch::Sender::new(engines.len()),
    });
    inquiries.insert(service.clone(), Rc::clone(&inquiry));
    tokio::task::spawn_local(ask_all(Rc::clone(traffic), Rc::clone(&inquiry), engines));
    inquiry
}

async fn ask_all(traffic: Rc<Traffic>, inquiry: Rc<Inquiry>, engines: Vec<Arc<EndpointEntry>>) {
    let asked = engines.iter().map(|entry| async {
        traffic.shared.metrics.increment(RelayCounter::Probes);
        let key = connection_key(entry);
        let listed = engine::list_parts(&traffic, &key);
        let parts = time::timeout(WAIT_LIMIT, listed).await;
        // An engine that does not answer in time has nothing.
        (&entry.key, parts.unwrap_or_default())
    });
    let mut answers: FuturesUnordered<_> = asked.collect();
    while let Some((key, parts)) = answers.next().await {
        let held = parts.into_iter().map(|part| (part, key.clone()));
        inquiry.holders.borrow_mut().extend(held);
        inquiry.open.send_modify(|open| *open -= 1);
    }
}
