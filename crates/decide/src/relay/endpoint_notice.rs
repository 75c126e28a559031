//! What endpoints say about themselves in their responses: that they leave, or for how
//! long they want no further requests. The chart is `endpoint_notice`.
//!
//! Load pattern: an overloaded endpoint that rejects requests gets the same ones again from
//! every node. A node that was told for how long to stay away sends nothing meanwhile. When
//! every endpoint of a service has said so, callers are rejected at once, and told to come
//! back after the first one takes requests again, spread over as long as they had to wait, so
//! that they don't arrive together.
//!
//! A notice belongs to one incarnation and outlasts its entry, because an entry may lapse
//! and come back while its process runs.

use std::collections::HashMap;

use parsleylatch_chart::{Bindings, ChartError, Instance, Machine, chart_names};
use parsleylatch_types::{Micros, Millis, MonoTime, ServiceName};

use super::endpoint_table::{EndpointKey, EndpointTable};
use crate::charts::{self, LazyMachine};

/// Longest pause that an endpoint is granted, far longer than callers wait; it can ask again.
const PAUSE_LIMIT_MS: Millis = Millis::new(600_000);
/// Time for which a notice is kept after the last one of its endpoint, far longer than
/// endpoints take to leave.
const NOTICE_LIFETIME_MS: Millis = Millis::new(600_000);
/// Notices kept; the oldest ones are dropped.
const NOTICE_LIMIT: usize = 10_000;

chart_names! {
    /// What an endpoint has said about further requests.
    pub enum NoticeState {
        /// Nothing, or the pause is over.
        Open,
        /// It wants no requests for a while.
        Paused,
        /// It leaves and gets no more requests.
        Leaving,
    }
}

chart_names! {
    /// Events of a notice.
    pub(crate) enum NoticeEvent {
        /// The endpoint asked for a pause.
        Paused,
        /// The pause is over.
        Resumed,
        /// The endpoint said that it leaves.
        Left,
    }
}

/// A notice in a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    /// The endpoint leaves.
    Leaving,
    /// The endpoint wants no requests for this long.
    Pause(Millis),
}

struct PauseContext {
    pause_left: Millis,
}

static MACHINE: LazyMachine<NoticeState, NoticeEvent, PauseContext> = LazyMachine::new(|| {
    let bindings = Bindings::<PauseContext>::new().duration("pause_left", |it| it.pause_left);
    charts::compile(charts::ENDPOINT_NOTICE, &bindings)
});

fn machine() -> &'static Machine<NoticeState, NoticeEvent, PauseContext> {
    charts::verified(&MACHINE)
}

pub(crate) fn verify_chart() -> Result<(), ChartError> {
    MACHINE.as_ref().map(|_| ()).map_err(Clone::clone)
}

struct RecordedNotice {
    instance: Instance<NoticeState>,
    recorded_at: MonoTime,
}

/// Notices of endpoints, as one traffic thread received them.
#[derive(Default)]
pub struct EndpointNotices {
    recorded: HashMap<EndpointKey, RecordedNotice>,
}

impl EndpointNotices {
    /// Records a notice; returns the state that the endpoint is in from now on, if it has
    /// changed, and the time for which it is granted a pause.
    pub fn record(
        &mut self,
        now: MonoTime,
        key: &EndpointKey,
        notice: Notice,
    ) -> Option<(NoticeState, Millis)> {
        let pause_left = match notice {
            Notice::Leaving => Millis::ZERO,
            Notice::Pause(asked) => asked.min(PAUSE_LIMIT_MS),
        };
        let mut context = PauseContext { pause_left };
        self.make_room(now);
        let recorded = self
            .recorded
            .entry(key.clone())
            .or_insert_with(|| RecordedNotice {
                instance: machine().start(now, &mut context),
                recorded_at: now,
            });
        machine().expire(&mut recorded.instance, now, &mut context);
        // Requests that were on their way when the endpoint asked for a long pause may be
        // rejected with a shorter one.
        let earlier_end = recorded.instance.next_deadline().unwrap_or(now);
        let pause_left = pause_left.max(earlier_end.since(now).millis());
        context.pause_left = pause_left;
        recorded.recorded_at = now;
        let earlier = recorded.instance.state();
        let event = match notice {
            Notice::Leaving => NoticeEvent::Left,
            Notice::Pause(_) => NoticeEvent::Paused,
        };
        machine().step(&mut recorded.instance, now, event, &mut context);
        let state = recorded.instance.state();
        (state != earlier).then_some((state, pause_left))
    }

    /// Whether an endpoint has said that it leaves.
    pub fn is_leaving(&self, key: &EndpointKey) -> bool {
        let recorded = self.recorded.get(key);
        recorded.is_some_and(|it| it.instance.state() == NoticeState::Leaving)
    }

    /// What an endpoint has said, as of `now`.
    pub fn state(&self, now: MonoTime, key: &EndpointKey) -> NoticeState {
        let recorded = self.recorded.get(key);
        let instance = recorded.map(|it| &it.instance);
        match instance.map(|it| (it.state(), it.next_deadline())) {
            Some((NoticeState::Paused, Some(resumed_at))) if resumed_at <= now => NoticeState::Open,
            Some((state, _)) => state,
            None => NoticeState::Open,
        }
    }

    /// When an endpoint takes requests again; `None` if it takes them now or leaves.
    pub fn resumes_at(&self, now: MonoTime, key: &EndpointKey) -> Option<MonoTime> {
        let instance = &self.recorded.get(key)?.instance;
        instance.next_deadline().filter(|at| *at > now)
    }

    /// Drops notices of endpoints that have ended long ago, and the oldest ones beyond the
    /// limit.
    fn make_room(&mut self, now: MonoTime) {
        if self.recorded.len() < NOTICE_LIMIT {
            return;
        }
        let lifetime = NOTICE_LIFETIME_MS.micros();
        self.recorded
            .retain(|_, it| now.since(it.recorded_at) < lifetime);
        while self.recorded.len() >= NOTICE_LIMIT {
            let oldest = self.recorded.iter().min_by_key(|(_, it)| it.recorded_at);
            let Some(key) = oldest.map(|(key, _)| key.clone()) else {
                return;
            };
            self.recorded.remove(&key);
        }
    }
}

impl std::fmt::Debug for EndpointNotices {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("EndpointNotices")
            .field("recorded", &self.recorded.len())
            .finish()
    }
}

impl EndpointTable {
    /// Whether an endpoint wants no requests at present.
    pub fn is_paused(&self, now: MonoTime, key: &EndpointKey) -> bool {
        self.notices.state(now, key) == NoticeState::Paused
    }

    /// Time until the first paused endpoint of a service takes requests again, if all of its
    /// usable endpoints are paused.
    pub fn pause_left(&self, now: MonoTime, service: &ServiceName) -> Option<Micros> {
        let pauses = self
            .usable(service)
            .map(|it| Some(self.notices.resumes_at(now, &it.entry.key)?.since(now)));
        let pauses: Option<Vec<Micros>> = pauses.collect();
        pauses?.into_iter().min()
    }

    /// Records what an endpoint says about further requests; returns its state if that has
    /// changed, and the pause that it is granted.
    pub fn record_notice(
        &mut self,
        now: MonoTime,
        key: &EndpointKey,
        notice: Notice,
    ) -> Option<(NoticeState, Millis)> {
        self.notices.record(now, key, notice)
    }
}

/// Time after which a caller may come back to a service whose endpoints are all paused for
/// `wait`: later than the first one resumes, spread over as long again by `draw` in [0, 1),
/// and never later than the caller's deadline.
pub fn return_delay(wait: Micros, remaining: Micros, draw: f64) -> Millis {
    let spread = (wait.get() as f64 * draw) as u64;
    let delay = wait.saturating_add(Micros::new(spread)).millis();
    delay.saturating_add(Millis::new(1)).min(remaining.millis())
}
