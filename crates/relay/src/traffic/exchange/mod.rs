//! One exchange in a traffic thread: waits for what happens, and carries out what is
//! decided.

mod effects;
mod inputs;
mod notes;

use std::{collections::VecDeque, rc::Rc};

use bytes::Bytes;
use http::Response;
use parsleylatch_decide::{
    moves::WHOLE_SHARE,
    relay::{
        Choice, EndpointKey, EngineReport, Exchange, ExchangeEffect, ExchangeInput, MemoryCopy,
        Outcome,
    },
};
use parsleylatch_http::RawEvent;
use parsleylatch_types::{Micros, Millis, MonoTime, StreamEventId};
use tokio::sync::{mpsc, oneshot};

use super::{
    attempt::{Attempt, AttemptEvent, StreamHead, WholeAnswer},
    copies::Copies,
    job::Job,
    output::{BrokenOff, RelayBody},
    state::Traffic,
};
use crate::telemetry::RelayCounter;

/// Lateness of a timer from which the process did not run for a while.
const FREEZE_LATENESS: Millis = Millis::new(100);

/// Relays one request and replies to its caller.
pub(crate) async fn run(
    traffic: Rc<Traffic>,
    job: Job,
    reply: oneshot::Sender<Response<RelayBody>>,
) {
    let now = traffic.now();
    let (exchange, effects) = Exchange::start(now, job.order.clone());
    let last_event = job.head.last_event;
    let mut driver = Driver {
        traffic,
        job: Rc::new(job),
        exchange,
        started_at: now,
        attempt: None,
        sent: None,
        answer: None,
        stream_head: None,
        last_event,
        last_event_at: None,
        longest_gap: Micros::ZERO,
        version_draw: rand::random_range(0..WHOLE_SHARE.get()),
        first_event_after: None,
        pending: Vec::new(),
        caller: Caller::Waiting(reply),
        probe: None,
        copies: Copies::default(),
    };
    driver.run(effects).await;
}

/// The caller's side of an exchange.
enum Caller {
    /// Nothing was replied.
    Waiting(oneshot::Sender<Response<RelayBody>>),
    /// The stream has begun.
    Streaming(mpsc::Sender<Result<Bytes, BrokenOff>>),
    /// Everything was replied.
    Done,
}

impl Caller {
    /// Waits until the caller has left.
    async fn gone(&mut self) {
        match self {
            Self::Waiting(reply) => reply.closed().await,
            Self::Streaming(events) => events.closed().await,
            Self::Done => std::future::pending().await,
        }
    }
}

/// The attempt that was sent last, for the book.
struct Sent {
    key: EndpointKey,
    choice: Box<Choice>,
    at: MonoTime,
    has_answered: bool,
}

struct Driver {
    traffic: Rc<Traffic>,
    job: Rc<Job>,
    exchange: Exchange,
    started_at: MonoTime,
    attempt: Option<Attempt>,
    sent: Option<Sent>,
    answer: Option<Box<WholeAnswer>>,
    stream_head: Option<Box<StreamHead>>,
    last_event: Option<StreamEventId>,
    /// When the caller's last event came, and the longest wait between two.
    last_event_at: Option<MonoTime>,
    longest_gap: Micros,
    /// Draw that decides whether the first attempt runs on a version on trial.
    version_draw: u32,
    first_event_after: Option<Micros>,
    pending: Vec<RawEvent>,
    caller: Caller,
    probe: Option<oneshot::Receiver<Option<EngineReport>>>,
    copies: Copies,
}

/// What a driver waits for.
enum Wake {
    Attempt(AttemptEvent),
    Probe(Option<EngineReport>),
    Copy(Option<MemoryCopy>),
    CallerGone,
    Deadline,
}

impl Driver {
    async fn run(&mut self, effects: Vec<ExchangeEffect>) {
        self.carry_out(effects).await;
        while !self.exchange.is_over() {
            let wake = self.wait().await;
            let effects = self.take(wake).await;
            self.carry_out(effects).await;
        }
        self.end_attempt(Outcome::Abandoned);
    }

    async fn wait(&mut self) -> Wake {
        let deadline = self.exchange.next_deadline();
        let (attempt, probe, copies) = (&mut self.attempt, &mut self.probe, &mut self.copies);
        tokio::select! {
            biased;
            event = next_event(attempt) => Wake::Attempt(event),
            report = next_probe(probe) => Wake::Probe(report),
            copy = copies.next() => Wake::Copy(copy),
            () = self.caller.gone() => Wake::CallerGone,
            () = self.traffic.shared.clock.sleep_until(Some(deadline)) => Wake::Deadline,
        }
    }

    async fn take(&mut self, wake: Wake) -> Vec<ExchangeEffect> {
        match wake {
            Wake::Attempt(event) => self.take_event(event).await,
            Wake::Probe(report) => {
                self.probe = None;
                self.take_probe(report.as_ref())
            }
            Wake::Copy(copy) => {
                if let Some(copy) = copy {
                    self.exchange.replace_copy(copy);
                }
                Vec::new()
            }
            Wake::CallerGone => {
                self.log_end("caller_gone", None);
                self.traffic
                    .shared
                    .metrics
                    .increment(RelayCounter::CallersGone);
                self.exchange
                    .handle(self.traffic.now(), ExchangeInput::CallerGone)
            }
            Wake::Deadline => self.expire(),
        }
    }

    fn expire(&mut self) -> Vec<ExchangeEffect> {
        let now = self.traffic.now();
        let late = now.since(self.exchange.next_deadline());
        let is_late = late > FREEZE_LATENESS.micros();
        let may_retry =
            !is_late && self.exchange.allows_retry_at_deadline(now) && self.take_repeat();
        let effects = self.exchange.expire(now, is_late, may_retry);
        if may_retry {
            self.note_failure(Outcome::Broken, "silent");
        }
        effects
    }

    async fn carry_out(&mut self, effects: Vec<ExchangeEffect>) {
        let mut queue = VecDeque::from(effects);
        while let Some(effect) = queue.pop_front() {
            match effect {
                ExchangeEffect::Place { excluded, copy } => {
                    queue.extend(self.place(&excluded, copy.as_ref()));
                }
                ExchangeEffect::Open(choice) => self.open(choice),
                ExchangeEffect::Probe => self.start_probe(),
                ExchangeEffect::ForwardResponse => self.give_answer(),
                ExchangeEffect::BeginStream => self.begin_stream().await,
                ExchangeEffect::Finish => self.finish(),
                ExchangeEffect::BreakOff => self.break_off().await,
                ExchangeEffect::Refuse {
                    reason,
                    not_run,
                    retry_after_ms,
                } => self.refuse(reason, not_run, retry_after_ms),
            }
        }
    }
}

async fn next_event(attempt: &mut Option<Attempt>) -> AttemptEvent {
    match attempt {
        Some(attempt) => attempt.next().await,
        None => std::future::pending().await,
    }
}

async fn next_probe(
    probe: &mut Option<oneshot::Receiver<Option<EngineReport>>>,
) -> Option<EngineReport> {
    match probe {
        Some(probe) => probe.await.unwrap_or_default(),
        None => std::future::pending().await,
    }
}
