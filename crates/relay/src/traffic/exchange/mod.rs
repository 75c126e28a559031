//! Driver of one exchange in a traffic thread: waits for events, passes them to the
//! decisions and executes their effects.

mod effects;
mod inputs;
mod prompt_parts;
mod queueing;
mod recording;

use std::{collections::VecDeque, pin::pin, rc::Rc, sync::Arc};

use http::Response;
use parsleylatch_decide::{
    moves::FULL_SHARE,
    relay::{
        Assignment, Choice, EndpointKey, Exchange, ExchangeEffect, ExchangeInput, ExchangeState,
        MemoryCopy, Outcome,
    },
};
use parsleylatch_http::RawEvent;
use parsleylatch_types::{Micros, Millis, MonoTime, StreamEventId, TrialNumber};
use tokio::sync::{mpsc, oneshot};

use super::{
    attempt::{Attempt, AttemptEvent, FullResponse, ResponseHead},
    body::{RelayBody, StreamPart},
    copy_monitor::CopyMonitor,
    engine::ProbeResult,
    job::Job,
    placement_queue::QueueSlot,
    state::Traffic,
};
use crate::{shared::LifecyclePhase, telemetry::RelayCounter};

/// Delay of a timer from which the process is assumed to have been paused.
const TIMER_PAUSE_THRESHOLD_MS: Millis = Millis::new(100);

/// Relays one request and sends the response to its caller.
pub(crate) async fn run(
    traffic: Rc<Traffic>,
    job: Job,
    reply: oneshot::Sender<Response<RelayBody>>,
) {
    let now = traffic.now();
    let (exchange, effects) = Exchange::start(now, job.spec.clone());
    let last_event = job.metadata.last_event;
    let mut driver = ExchangeDriver {
        traffic,
        job: Rc::new(job),
        exchange,
        started_at: now,
        attempt: None,
        sent: None,
        response: None,
        stream_head: None,
        last_event,
        last_event_at: None,
        longest_gap: Micros::ZERO,
        version_draw: rand::random_range(0..FULL_SHARE.get()),
        first_event_after: None,
        pending: Vec::new(),
        caller: CallerState::Waiting(reply),
        probe: None,
        copy_monitor: CopyMonitor::default(),
        is_endpoint_silent: false,
        has_caller_stalled: false,
        queue_slot: None,
        queued_at: now,
        bypasses_queue: false,
        is_stopping: false,
    };
    driver.run(effects).await;
}

/// State of the caller's side of an exchange.
enum CallerState {
    /// No response has been sent.
    Waiting(oneshot::Sender<Response<RelayBody>>),
    /// The stream has begun.
    Streaming(mpsc::Sender<StreamPart>),
    /// The response is complete.
    Done,
}

impl CallerState {
    /// Waits until the caller has disconnected.
    async fn closed(&mut self) {
        match self {
            Self::Waiting(reply) => reply.closed().await,
            Self::Streaming(events) => events.closed().await,
            Self::Done => std::future::pending().await,
        }
    }
}

/// The latest attempt, as recorded in the endpoint table.
struct SentAttempt {
    key: EndpointKey,
    choice: Box<Choice>,
    at: MonoTime,
    has_responded: bool,
    /// Number of the attempt if it was reported as started and has no result yet.
    trial: Option<TrialNumber>,
    /// When its first event arrived.
    began_at: Option<MonoTime>,
    /// Whether the answer has got on since.
    is_under_way: bool,
}

struct ExchangeDriver {
    traffic: Rc<Traffic>,
    job: Rc<Job>,
    exchange: Exchange,
    started_at: MonoTime,
    attempt: Option<Attempt>,
    sent: Option<SentAttempt>,
    response: Option<Box<FullResponse>>,
    stream_head: Option<Box<ResponseHead>>,
    last_event: Option<StreamEventId>,
    /// When the last event arrived.
    last_event_at: Option<MonoTime>,
    /// Longest interval between two events.
    longest_gap: Micros,
    /// Random number that selects whether the first attempt uses a version under rollout.
    version_draw: u32,
    first_event_after: Option<Micros>,
    pending: Vec<RawEvent>,
    caller: CallerState,
    probe: Option<oneshot::Receiver<ProbeResult>>,
    copy_monitor: CopyMonitor,
    /// Whether the endpoint of the running attempt answers no probe.
    is_endpoint_silent: bool,
    /// Whether the caller has not read its stream until the deadline.
    has_caller_stalled: bool,
    /// Place in the queue for an engine with room.
    queue_slot: Option<QueueSlot>,
    queued_at: MonoTime,
    /// Whether the next attempt is sent even if all engines are full.
    bypasses_queue: bool,
    /// Whether a planned stop of the process has begun.
    is_stopping: bool,
}

/// Event that wakes the driver.
enum Wake {
    Attempt(AttemptEvent),
    Probe(ProbeResult),
    Copy(Option<MemoryCopy>),
    Assigned(Assignment),
    Stopping,
    CallerGone,
    Deadline,
}

impl ExchangeDriver {
    async fn run(&mut self, effects: Vec<ExchangeEffect>) {
        let shared = Arc::clone(&self.traffic.shared);
        let mut stopping = pin!(shared.wait_for_phase(LifecyclePhase::NotReady));
        self.apply_effects(effects).await;
        while !self.exchange.is_over() {
            let wake = tokio::select! {
                biased;
                () = &mut stopping, if !self.is_stopping => Wake::Stopping,
                wake = self.wait() => wake,
            };
            let effects = self.handle_wake(wake).await;
            self.apply_effects(effects).await;
            if std::mem::take(&mut self.has_caller_stalled) && !self.exchange.is_over() {
                let now = self.traffic.now();
                let effects = self.exchange.handle(now, ExchangeInput::CallerGone);
                self.apply_effects(effects).await;
            }
        }
        self.end_attempt(Outcome::Abandoned);
    }

    async fn wait(&mut self) -> Wake {
        let deadline = self.exchange.next_deadline();
        let (attempt, probe) = (&mut self.attempt, &mut self.probe);
        let (copy_monitor, queue_slot) = (&mut self.copy_monitor, &mut self.queue_slot);
        tokio::select! {
            biased;
            event = next_event(attempt) => Wake::Attempt(event),
            report = next_probe(probe) => Wake::Probe(report),
            copy = copy_monitor.next() => Wake::Copy(copy),
            assignment = next_assignment(queue_slot) => Wake::Assigned(assignment),
            () = self.caller.closed() => Wake::CallerGone,
            () = self.traffic.shared.clock.sleep_until(Some(deadline)) => Wake::Deadline,
        }
    }

    async fn handle_wake(&mut self, wake: Wake) -> Vec<ExchangeEffect> {
        match wake {
            Wake::Attempt(event) => {
                let effects = self.handle_event(event).await;
                if self.exchange.state() == ExchangeState::AwaitingRetry {
                    self.end_attempt(Outcome::Abandoned);
                }
                effects
            }
            Wake::Probe(report) => {
                self.probe = None;
                self.handle_probe(report.as_ref())
            }
            Wake::Copy(copy) => {
                if let Some(copy) = copy {
                    self.exchange.replace_copy(copy);
                }
                Vec::new()
            }
            Wake::Assigned(assignment) => self.handle_assignment(&assignment),
            Wake::Stopping => {
                self.is_stopping = true;
                let deadline = self.traffic.shared.response_deadline();
                self.exchange.set_response_deadline(deadline);
                Vec::new()
            }
            Wake::CallerGone => {
                self.log_outcome("caller_gone", None);
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
        let lateness = now.since(self.exchange.next_deadline());
        let was_paused = lateness > TIMER_PAUSE_THRESHOLD_MS.micros();
        let is_unplaced = self.exchange.state() == ExchangeState::AwaitingRetry;
        let allows_retry = !was_paused && self.exchange.allows_retry_at_deadline(now);
        let is_silent = allows_retry && self.is_probing();
        let may_retry = allows_retry
            && match is_unplaced {
                true => self.take_retry(),
                false => !self.is_delay_explained(now) && self.may_move(),
            };
        let effects = self.exchange.expire(now, was_paused, may_retry);
        if may_retry && !is_unplaced {
            self.record_failure(Outcome::Broken, "silent");
        } else if is_silent {
            self.record_silence();
        }
        effects
    }

    fn is_probing(&self) -> bool {
        matches!(
            self.exchange.state(),
            ExchangeState::Probing | ExchangeState::StreamProbing
        )
    }

    /// Whether the engine has confirmed the request and reports so much work that the
    /// next event can't be expected yet.
    fn is_delay_explained(&self, now: MonoTime) -> bool {
        let table = self.traffic.endpoint_table.borrow();
        !self.is_probing()
            && self
                .sent
                .as_ref()
                .is_some_and(|sent| table.explains_delay(now, &sent.key))
    }

    async fn apply_effects(&mut self, effects: Vec<ExchangeEffect>) {
        let mut queue = VecDeque::from(effects);
        while let Some(effect) = queue.pop_front() {
            match effect {
                ExchangeEffect::Place { excluded, copy } => {
                    queue.extend(self.select_endpoint(&excluded, copy.as_ref()));
                }
                ExchangeEffect::Open(choice) => self.start_attempt(choice),
                ExchangeEffect::Probe => self.start_probe(),
                ExchangeEffect::ForwardResponse => self.forward_response(),
                ExchangeEffect::BeginStream => self.begin_stream().await,
                ExchangeEffect::Finish => self.finish_stream().await,
                ExchangeEffect::BreakOff { reason } => self.abort_stream(reason),
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

async fn next_assignment(queue_slot: &mut Option<QueueSlot>) -> Assignment {
    match queue_slot {
        Some(queue_slot) => queue_slot.assigned().await,
        None => std::future::pending().await,
    }
}

async fn next_probe(probe: &mut Option<oneshot::Receiver<ProbeResult>>) -> ProbeResult {
    match probe {
        Some(probe) => probe.await.unwrap_or_default(),
        None => std::future::pending().await,
    }
}
