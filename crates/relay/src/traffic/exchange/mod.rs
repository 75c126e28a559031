//! Driver of one exchange in a traffic thread: waits for events, passes them to the
//! decisions and executes their effects.

mod call_limits;
mod effects;
mod inputs;
mod placement;
mod prompt_parts;
mod queueing;
mod recording;

use std::{cell::RefCell, collections::VecDeque, pin::pin, rc::Rc, sync::Arc};

use http::{Response, StatusCode};
use parsleylatch_decide::{
    moves::FULL_SHARE,
    relay::{
        Assignment, Border, CallPlan, Choice, EndpointKey, Exchange, ExchangeEffect, ExchangeInput,
        ExchangeState, LeaveReason, MemoryCopy, NextStep, Outcome, ResponseClass,
    },
};
use parsleylatch_http::RawEvent;
use parsleylatch_types::{ByteCount, Micros, Millis, MonoTime, StreamEventId, TrialNumber};
use tokio::sync::{mpsc, oneshot};

use super::{
    attempt::{Attempt, AttemptEvent, EndpointResponse, ResponseHead},
    body::{RelayBody, StreamPart},
    byte_window::ByteWindow,
    call_queue::CallSlot,
    copy_monitor::CopyMonitor,
    engine::ProbeResult,
    job::Job,
    placement_queue::QueueSlot,
    state::Traffic,
};
use crate::{shared::LifecyclePhase, telemetry::RelayCounter};
use prompt_parts::PartTrialState;

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
        window: Rc::new(ByteWindow::new(&traffic.shared.body_memory)),
        traffic,
        job: Rc::new(job),
        exchange,
        started_at: now,
        attempt: None,
        sent: None,
        response: None,
        forwarded: None,
        stream_head: None,
        last_event,
        last_event_at: None,
        longest_gap: Micros::ZERO,
        version_draw: rand::random_range(0..FULL_SHARE.get()),
        first_event_after: None,
        pending: Vec::new(),
        caller: CallerState::Waiting(reply),
        probe: None,
        probed_at: now,
        candidate: None,
        unconfirmed: Vec::new(),
        copy_monitor: CopyMonitor::default(),
        is_endpoint_silent: false,
        queue_slot: None,
        queued_at: now,
        bypasses_queue: false,
        call_slot: None,
        call_waits_since: None,
        is_stopping: false,
        part_trial: RefCell::default(),
    };
    driver.run(effects).await;
}

/// State of the caller's side of an exchange.
enum CallerState {
    /// No response has been sent.
    Waiting(oneshot::Sender<Response<RelayBody>>),
    /// The stream, or the body of a large response, has begun.
    Receiving(mpsc::UnboundedSender<StreamPart>),
    /// The response is complete.
    Done,
}

impl CallerState {
    /// Waits until the caller has disconnected.
    async fn closed(&mut self) {
        match self {
            Self::Waiting(reply) => reply.closed().await,
            Self::Receiving(parts) => parts.closed().await,
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
    /// Border that the request crossed.
    border: Option<Border>,
    /// Bytes of the request and of what has been read of its response.
    transferred: ByteCount,
}

/// A large response whose body is passed on.
struct ForwardedResponse {
    status: StatusCode,
    class: ResponseClass,
    /// When its head and the beginning of its body had arrived.
    arrived_at: MonoTime,
}

/// Next endpoint of a stream, which has been asked for its state.
struct Candidate {
    /// Why the stream would leave its endpoint.
    reason: LeaveReason,
    choice: Box<Choice>,
    probe: oneshot::Receiver<ProbeResult>,
}

struct ExchangeDriver {
    traffic: Rc<Traffic>,
    /// What has been read and not yet been taken by the caller.
    window: Rc<ByteWindow>,
    job: Rc<Job>,
    exchange: Exchange,
    started_at: MonoTime,
    attempt: Option<Attempt>,
    sent: Option<SentAttempt>,
    response: Option<Box<EndpointResponse>>,
    forwarded: Option<ForwardedResponse>,
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
    probed_at: MonoTime,
    /// Next endpoint of a stream, which is asked whether it answers before the stream moves.
    candidate: Option<Candidate>,
    /// Endpoints that have not confirmed lately that they take the stream.
    unconfirmed: Vec<EndpointKey>,
    copy_monitor: CopyMonitor,
    /// Whether the endpoint of the running attempt answers no probe.
    is_endpoint_silent: bool,
    /// Place in the queue for an engine with room.
    queue_slot: Option<QueueSlot>,
    queued_at: MonoTime,
    /// Whether the next attempt is sent even if all engines are full.
    bypasses_queue: bool,
    /// Place in the queue for an endpoint that is not full.
    call_slot: Option<CallSlot>,
    /// When the call first had to wait.
    call_waits_since: Option<MonoTime>,
    /// Whether a planned stop of the process has begun.
    is_stopping: bool,
    /// Trial of quarantined parts of the prompt.
    part_trial: RefCell<PartTrialState>,
}

/// Event that wakes the driver.
enum Wake {
    Attempt(AttemptEvent),
    Probe(ProbeResult),
    Candidate(ProbeResult),
    Copy(Option<MemoryCopy>),
    Assigned(Assignment),
    Planned(CallPlan),
    Stopping,
    CallerGone,
    Deadline,
}

impl ExchangeDriver {
    async fn run(&mut self, effects: Vec<ExchangeEffect>) {
        let shared = Arc::clone(&self.traffic.shared);
        let mut stopping = pin!(shared.wait_for_phase(LifecyclePhase::NotReady));
        self.apply_effects(effects);
        while !self.exchange.is_over() {
            let wake = tokio::select! {
                biased;
                () = &mut stopping, if !self.is_stopping => Wake::Stopping,
                wake = self.wait() => wake,
            };
            let effects = self.handle_wake(wake);
            self.apply_effects(effects);
        }
        self.end_attempt(Outcome::Abandoned);
        self.end_part_trial();
    }

    async fn wait(&mut self) -> Wake {
        let deadline = self.exchange.next_deadline();
        let (attempt, probe) = (&mut self.attempt, &mut self.probe);
        let candidate = self.candidate.as_mut().map(|it| &mut it.probe);
        let (copy_monitor, queue_slot) = (&mut self.copy_monitor, &mut self.queue_slot);
        let call_slot = &mut self.call_slot;
        tokio::select! {
            biased;
            event = next_event(attempt) => Wake::Attempt(event),
            report = next_probe(probe.as_mut()) => Wake::Probe(report),
            report = next_probe(candidate) => Wake::Candidate(report),
            copy = copy_monitor.next() => Wake::Copy(copy),
            () = self.caller.closed() => Wake::CallerGone,
            assignment = next_assignment(queue_slot) => Wake::Assigned(assignment),
            plan = next_plan(call_slot) => Wake::Planned(plan),
            () = self.traffic.shared.clock.sleep_until(Some(deadline)) => Wake::Deadline,
        }
    }

    fn handle_wake(&mut self, wake: Wake) -> Vec<ExchangeEffect> {
        match wake {
            Wake::Attempt(event) => {
                let effects = self.handle_event(event);
                if self.exchange.state() == ExchangeState::AwaitingRetry {
                    self.end_attempt(Outcome::Abandoned);
                }
                effects
            }
            Wake::Probe(report) => {
                self.probe = None;
                self.handle_probe(report.as_ref())
            }
            Wake::Candidate(report) => self.handle_candidate(report),
            Wake::Copy(copy) => {
                if let Some(copy) = copy {
                    self.exchange.replace_copy(copy);
                }
                Vec::new()
            }
            Wake::Planned(plan) => self.handle_call_plan(plan),
            Wake::Assigned(assignment) => self.handle_assignment(&assignment),
            Wake::Stopping => {
                self.is_stopping = true;
                let deadline = self.traffic.shared.response_deadline();
                self.exchange.set_response_deadline(deadline);
                Vec::new()
            }
            Wake::CallerGone => self.leave_caller("caller_gone"),
            Wake::Deadline => self.expire(),
        }
    }

    fn leave_caller(&mut self, outcome: &str) -> Vec<ExchangeEffect> {
        self.log_outcome(outcome, None);
        self.traffic
            .shared
            .metrics
            .increment(RelayCounter::CallersGone);
        self.exchange
            .handle(self.traffic.now(), ExchangeInput::CallerGone)
    }

    fn expire(&mut self) -> Vec<ExchangeEffect> {
        let now = self.traffic.now();
        // The endpoint may have more, and is not read until the caller reads.
        let awaits_caller = self.window.is_full();
        if now >= self.job.spec.deadline {
            if awaits_caller {
                return self.leave_caller("caller_stalled");
            }
            if self.exchange.state() == ExchangeState::Forwarding {
                self.record_failure(Outcome::Broken, "no end of the response by the deadline");
            }
        }
        let lateness = now.since(self.exchange.next_deadline());
        let was_paused = awaits_caller || lateness > TIMER_PAUSE_THRESHOLD_MS.micros();
        if was_paused || !self.exchange.allows_retry_at_deadline(now) {
            return self.exchange.expire(now, was_paused, NextStep::Stay);
        }
        if self.exchange.state() == ExchangeState::AwaitingRetry {
            let next = match self.take_retry() {
                true => NextStep::Retry,
                false => NextStep::Stay,
            };
            return self.exchange.expire(now, was_paused, next);
        }
        if self.is_delay_explained(now) || self.is_call_delay_explained(now) {
            return self.exchange.expire(now, was_paused, NextStep::Stay);
        }
        let reason = match self.is_probing() {
            true => LeaveReason::Silent,
            false => LeaveReason::Overdue,
        };
        let planned = self.plan_move(reason);
        match &planned {
            Ok(_) => self.record_failure(Outcome::Broken, "silent"),
            Err(refusal) if self.is_probing() => self.record_stay(reason, refusal),
            Err(_) => {}
        }
        let next = planned.unwrap_or(NextStep::Stay);
        self.log_next(&next);
        self.exchange.expire(now, was_paused, next)
    }

    /// Logs the endpoint to which the request moves.
    fn log_next(&self, next: &NextStep) {
        if let NextStep::Move(choice) = next {
            self.log_placed(choice);
        }
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

    fn apply_effects(&mut self, effects: Vec<ExchangeEffect>) {
        let mut queue = VecDeque::from(effects);
        while let Some(effect) = queue.pop_front() {
            match effect {
                ExchangeEffect::Place { excluded, copy } => {
                    queue.extend(self.select_endpoint(&excluded, copy.as_ref()));
                }
                ExchangeEffect::Open(choice) => self.start_attempt(choice),
                ExchangeEffect::Probe => self.start_probe(),
                ExchangeEffect::ForwardResponse => self.forward_response(),
                ExchangeEffect::BeginStream => self.begin_stream(),
                ExchangeEffect::Finish => self.finish(),
                ExchangeEffect::BreakOff { reason } => self.break_off(reason),
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

async fn next_plan(call_slot: &mut Option<CallSlot>) -> CallPlan {
    match call_slot {
        Some(call_slot) => call_slot.planned().await,
        None => std::future::pending().await,
    }
}

async fn next_probe(probe: Option<&mut oneshot::Receiver<ProbeResult>>) -> ProbeResult {
    match probe {
        Some(probe) => probe.await.unwrap_or_default(),
        None => std::future::pending().await,
    }
}
