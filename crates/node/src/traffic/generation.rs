//! Task that executes the effects of one generation's state machine.

use std::{collections::VecDeque, net::SocketAddr, sync::Arc};

use fastrace::Span;
use parsleylatch_decide::{
    generation::{
        AttemptInput, AttemptReport, AttemptSpec, Generation, GenerationEffect, GenerationInput,
        GenerationLimits, GenerationRequest, GenerationState, PlacementConstraints, RecoveredState,
        Token,
    },
    journal::{FIRST_EPOCH, JournalInput, JournalKey, JournalOrigin, JournalOwner},
    placement::PlacementRequest,
    view::{Snapshot, WorkspaceView},
};
use parsleylatch_endpoint::{EngineError, EngineStream};
use parsleylatch_http::encode_event;
use parsleylatch_settings::Tier;
use parsleylatch_types::{AttemptNumber, EndpointId, MonoTime, NodeId, OwnerEpoch, TokenIndex};
use parsleylatch_wire::{
    caller::{DoneData, TokenData},
    engine::{StreamEvent, StreamRequest},
};
use tokio::{
    sync::{mpsc, watch},
    task::JoinHandle,
};
use viz::Response;

use super::{
    Traffic,
    admissions::AdmissionSlot,
    output::{Output, OwnershipCheck},
    problem,
};
use crate::{
    running::{RunningGuard, TaskMessage},
    shared::{InFlightGuard, StopPhase},
    telemetry::{self, Counter},
};

/// A generation that the node has accepted.
pub(crate) struct Accepted {
    pub(crate) workspace: Arc<WorkspaceView>,
    pub(crate) request: GenerationRequest,
    pub(crate) recovered: RecoveredState,
    pub(crate) ownership: Ownership,
    pub(crate) in_flight: InFlightGuard,
    pub(crate) slot: AdmissionSlot,
    pub(crate) span: Span,
}

/// Ownership of a generation by this node.
pub(crate) struct Ownership {
    pub(crate) origin: JournalOrigin,
    pub(crate) epoch: OwnerEpoch,
    /// Other node that holds the journal of the previous owner.
    pub(crate) previous_holder: Option<NodeId>,
}

impl Ownership {
    /// Ownership of a new request.
    pub(crate) fn first() -> Self {
        Self {
            origin: JournalOrigin::new(rand::random()),
            epoch: FIRST_EPOCH,
            previous_holder: None,
        }
    }
}

/// Starts a generation and returns the response that streams its events.
pub(crate) fn start(traffic: Arc<Traffic>, accepted: Accepted) -> Response {
    let (output, ownership_checks, body) = Output::new(traffic.shared.clock);
    let request_id = accepted.request.request_id;
    tokio::spawn(run(traffic, accepted, output, ownership_checks));
    http::Response::builder()
        .header("content-type", "text/event-stream")
        .header("cache-control", "no-store")
        .header("request-id", request_id.to_string())
        .body(body)
        .unwrap_or_default()
}

async fn run(
    traffic: Arc<Traffic>,
    accepted: Accepted,
    output: Output,
    ownership_checks: mpsc::Receiver<OwnershipCheck>,
) {
    let now = traffic.shared.clock.now();
    let limits = GenerationLimits::default();
    let Accepted {
        slot,
        workspace,
        request,
        recovered,
        ownership,
        in_flight,
        span,
    } = accepted;
    let key = JournalKey {
        request_id: request.request_id,
        origin: ownership.origin,
    };
    let (running_guard, messages) = RunningGuard::register(&traffic.shared, key, &request);
    let accepted_end = TokenIndex::after(recovered.tokens.len());
    let (generation, effects) = Generation::start(now, request, limits, recovered);
    let (journal, journal_effects) = JournalOwner::start(
        now,
        ownership.epoch,
        accepted_end,
        ownership.previous_holder,
    );
    let mut task = Task {
        stop_phase: traffic.shared.stop_phase.subscribe(),
        traffic,
        workspace,
        generation,
        output,
        ownership_checks,
        stream: None,
        caller_gone: false,
        last_event_id: None,
        key,
        epoch: ownership.epoch,
        journal,
        journal_closed: false,
        running_guard,
        messages,
        span,
        _in_flight: in_flight,
        _slot: slot,
    };
    task.apply_effects(now, effects);
    task.apply_journal_effects(now, journal_effects);
    while !task.is_over() {
        task.wait_and_handle().await;
    }
    task.unsubscribe_journal();
    task.count_end();
}

/// Stream of the running attempt.
enum AttemptStream {
    Opening(JoinHandle<Result<EngineStream, EngineError>>),
    Open(EngineStream),
}

/// The running attempt. Counts towards its endpoint's load until dropped.
struct RunningAttempt {
    traffic: Arc<Traffic>,
    attempt: AttemptNumber,
    endpoint: EndpointId,
    tier: Tier,
    stream: AttemptStream,
    _span: Span,
}

impl RunningAttempt {
    /// Waits for the next event of the stream.
    async fn next(&mut self) -> AttemptInput {
        if let AttemptStream::Opening(opening) = &mut self.stream {
            match opening.await {
                Ok(Ok(stream)) => self.stream = AttemptStream::Open(stream),
                Ok(Err(error)) => return self.log_failure(&error),
                Err(_) => return AttemptInput::Failed,
            }
        }
        let AttemptStream::Open(stream) = &mut self.stream else {
            return AttemptInput::Failed;
        };
        match stream.next().await {
            Some(Ok(event)) => attempt_input(event),
            Some(Err(error)) => self.log_failure(&error),
            None => AttemptInput::Failed,
        }
    }

    fn log_failure(&self, error: &EngineError) -> AttemptInput {
        log::debug!(
            "attempt {} at endpoint {} failed: {error}",
            self.attempt,
            self.endpoint
        );
        AttemptInput::Failed
    }
}

impl Drop for RunningAttempt {
    fn drop(&mut self) {
        if let AttemptStream::Opening(opening) = &self.stream {
            opening.abort();
        }
        self.traffic.placer().record_end(&self.endpoint, self.tier);
    }
}

fn attempt_input(event: StreamEvent) -> AttemptInput {
    match event {
        StreamEvent::Opened { endpoint_version } => AttemptInput::Opened { endpoint_version },
        StreamEvent::Token {
            index, token, text, ..
        } => AttemptInput::Token {
            index,
            token: Token {
                id: token,
                text: text.into(),
            },
        },
        StreamEvent::Finished { tokens } => AttemptInput::Finished { tokens },
    }
}

/// Event that a task waits for.
enum TaskEvent {
    Attempt(AttemptNumber, AttemptInput),
    Deadline,
    Writable,
    OwnershipCheck(OwnershipCheck),
    CallerGone,
    StopPhase,
    Message(TaskMessage),
}

pub(super) struct Task {
    pub(super) traffic: Arc<Traffic>,
    workspace: Arc<WorkspaceView>,
    pub(super) generation: Generation,
    pub(super) output: Output,
    ownership_checks: mpsc::Receiver<OwnershipCheck>,
    stream: Option<RunningAttempt>,
    stop_phase: watch::Receiver<StopPhase>,
    caller_gone: bool,
    pub(super) last_event_id: Option<String>,
    pub(super) key: JournalKey,
    pub(super) epoch: OwnerEpoch,
    pub(super) journal: JournalOwner,
    pub(super) journal_closed: bool,
    pub(super) running_guard: RunningGuard,
    messages: mpsc::Receiver<TaskMessage>,
    span: Span,
    _in_flight: InFlightGuard,
    _slot: AdmissionSlot,
}

impl Task {
    fn is_over(&self) -> bool {
        self.generation.is_over() && self.output.is_flushed()
    }

    fn now(&self) -> MonoTime {
        self.traffic.shared.clock.now()
    }

    async fn wait_and_handle(&mut self) {
        let event = self.wait().await;
        let now = self.now();
        let effects = match event {
            TaskEvent::Attempt(attempt, input) => {
                if matches!(input, AttemptInput::Finished { .. } | AttemptInput::Failed) {
                    // An ended stream would be ready on every poll.
                    self.stream = None;
                }
                self.generation
                    .handle(now, GenerationInput::Attempt { attempt, input })
            }
            TaskEvent::Deadline => self.expire(now),
            TaskEvent::Writable => {
                self.output.flush(now);
                return;
            }
            TaskEvent::OwnershipCheck(check) => {
                self.output.set_ownership_check(check);
                if self.journal_closed || self.generation.is_over() {
                    // Sending is safe: a new owner can only repeat an ended answer.
                    self.output.confirm();
                }
                let effects = self.journal.handle(now, JournalInput::PauseDetected);
                self.handle_journal_effects(now, effects)
            }
            TaskEvent::CallerGone => self.handle_caller_gone(now),
            TaskEvent::Message(message) => self.handle_message(now, message),
            TaskEvent::StopPhase => {
                let phase = *self.stop_phase.borrow_and_update();
                match phase {
                    StopPhase::None | StopPhase::NotReady => return,
                    StopPhase::HandOver => {
                        self.generation.handle(now, GenerationInput::StopRequested)
                    }
                }
            }
        };
        self.apply_effects(now, effects);
        self.close_journal_at_end(now);
    }

    async fn wait(&mut self) -> TaskEvent {
        let generation_deadline = self.generation.next_deadline();
        let deadline = [
            generation_deadline,
            self.journal.next_deadline(),
            self.output.stall_deadline(),
        ];
        let clock = self.traffic.shared.clock;
        let stream = async {
            match &mut self.stream {
                Some(running) => (running.attempt, running.next().await),
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            (attempt, input) = stream => TaskEvent::Attempt(attempt, input),
            () = clock.sleep_until(deadline.into_iter().flatten().min()) => TaskEvent::Deadline,
            () = self.output.writable() => TaskEvent::Writable,
            Some(check) = self.ownership_checks.recv() => TaskEvent::OwnershipCheck(check),
            () = self.output.closed() => TaskEvent::CallerGone,
            Ok(()) = self.stop_phase.changed() => TaskEvent::StopPhase,
            Some(message) = self.messages.recv() => TaskEvent::Message(message),
        }
    }

    fn expire(&mut self, now: MonoTime) -> Vec<GenerationEffect> {
        if self
            .output
            .stall_deadline()
            .is_some_and(|deadline| deadline <= now)
        {
            return self.handle_caller_gone(now);
        }
        let journal_effects = self.journal.expire(now);
        let mut effects = self.handle_journal_effects(now, journal_effects);
        effects.extend(self.generation.expire(now));
        effects
    }

    /// Replaces the output by a closed one, so that unsent output does not keep a
    /// finished generation's task running.
    fn handle_caller_gone(&mut self, now: MonoTime) -> Vec<GenerationEffect> {
        let (closed, ownership_checks, _) = Output::new(self.traffic.shared.clock);
        self.output = closed;
        self.ownership_checks = ownership_checks;
        self.caller_gone = true;
        self.generation.handle(now, GenerationInput::CallerGone)
    }

    /// Executes effects, and the effects that follow from them.
    pub(super) fn apply_effects(&mut self, now: MonoTime, effects: Vec<GenerationEffect>) {
        let mut pending = VecDeque::from(effects);
        while let Some(effect) = pending.pop_front() {
            if let GenerationEffect::AppendToJournal { index } = effect {
                let input = JournalInput::TokensAccepted { end: index.next() };
                let journal_effects = self.journal.handle(now, input);
                pending.extend(self.handle_journal_effects(now, journal_effects));
            } else if let Some(input) = self.apply_effect(now, effect) {
                pending.extend(self.generation.handle(now, input));
            }
        }
    }

    fn apply_effect(&mut self, now: MonoTime, effect: GenerationEffect) -> Option<GenerationInput> {
        match effect {
            GenerationEffect::Place(constraints) => return Some(self.place(now, &constraints)),
            GenerationEffect::Open(spec) => self.open(&spec),
            GenerationEffect::Cancel { attempt, address } => self.cancel(attempt, address),
            GenerationEffect::AppendToJournal { .. } => {}
            GenerationEffect::Release { start, end } => self.release(now, start, end),
            GenerationEffect::CountUnheld { tokens } => {
                let counters = &self.traffic.shared.counters;
                counters.add(Counter::ReleasesUnheld, u64::from(tokens.get()));
            }
            GenerationEffect::Report(report) => self.report(now, report),
            GenerationEffect::Finish {
                tokens,
                endpoint_version,
                attempts,
            } => {
                let data = DoneData {
                    tokens,
                    endpoint_version,
                    attempts,
                };
                self.write_event(now, "", "done", &data);
            }
            GenerationEffect::Fail(refusal) => {
                self.write_event(now, "", "error", &problem::problem_of(&refusal));
            }
            GenerationEffect::Move => {
                let data = self.moved_data();
                self.write_event(now, "", "moved", &data);
            }
        }
        None
    }

    fn place(&self, now: MonoTime, constraints: &PlacementConstraints) -> GenerationInput {
        let snapshot = self.traffic.shared.snapshot.load();
        let request = self.generation.request();
        let candidate_constraints = self.candidate_constraints(&snapshot, constraints);
        let placement = candidate_constraints.iter().find_map(|constraints| {
            let placement_request = PlacementRequest {
                model: &request.model,
                prompt: &request.prompt,
                constraints,
                detection: &self.workspace.template.detection,
                tier: self.workspace.template.tier,
                cluster_threads: self.traffic.admissions.cluster_threads(),
            };
            self.traffic
                .placer()
                .place(now, &snapshot, &placement_request)
        });
        match placement {
            Some(placement) => GenerationInput::Placed(placement),
            None => GenerationInput::PlacementFailed,
        }
    }

    /// Placement constraints to try in order. A generation with tokens stays on its
    /// endpoint version; for others, the workspace's version move decides if there
    /// is one.
    fn candidate_constraints(
        &self,
        snapshot: &Snapshot,
        constraints: &PlacementConstraints,
    ) -> Vec<PlacementConstraints> {
        let request = self.generation.request();
        let plan = snapshot.version_plans.get(&request.workspace);
        match plan.filter(|_| self.generation.tokens().is_empty()) {
            Some(plan) => vec![
                plan.constraints_for(request.request_id, constraints),
                plan.fallback(constraints),
            ],
            None => vec![constraints.clone()],
        }
    }

    fn open(&mut self, spec: &AttemptSpec) {
        let traffic = Arc::clone(&self.traffic);
        traffic.shared.counters.increment(Counter::AttemptsStarted);
        let span = telemetry::child_span("engine.attempt", &self.span);
        let traceparent = telemetry::encode_traceparent(&span);
        let address = spec.address;
        let stream_request = self.stream_request(spec);
        let engines = traffic.engines.clone();
        let opening =
            tokio::spawn(async move { engines.open(address, &stream_request, &traceparent).await });
        self.stream = Some(RunningAttempt {
            traffic,
            attempt: spec.attempt,
            endpoint: spec.endpoint.clone(),
            tier: self.workspace.template.tier,
            stream: AttemptStream::Opening(opening),
            _span: span,
        });
    }

    fn stream_request(&self, spec: &AttemptSpec) -> StreamRequest {
        let request = self.generation.request();
        StreamRequest {
            request_id: self.key.stream_id(),
            attempt: spec.attempt,
            endpoint_version: spec.endpoint_version.clone(),
            model: request.model.clone(),
            adapter: request.adapter.clone(),
            prompt: request.prompt.to_string(),
            prefix: self
                .generation
                .tokens()
                .iter()
                .map(|token| token.id)
                .collect(),
            max_tokens: request.max_tokens,
            seed: request.seed,
            priority: request.priority,
        }
    }

    /// Drops the stream and cancels the attempt at the engine, which may not notice
    /// the disconnect.
    fn cancel(&mut self, attempt: AttemptNumber, address: SocketAddr) {
        self.stream.take_if(|running| running.attempt == attempt);
        let request_id = self.key.stream_id();
        let engines = self.traffic.engines.clone();
        tokio::spawn(async move {
            // If this fails, the engine still loses the connection of the stream.
            let _ = engines.cancel(address, request_id, attempt).await;
        });
    }

    fn release(&mut self, now: MonoTime, start: TokenIndex, end: TokenIndex) {
        let tokens = self.generation.tokens();
        for index in (start.get()..end.get()).map(TokenIndex::new) {
            let token = &tokens[index.as_usize()];
            let data = TokenData {
                index,
                token: token.id,
                text: token.text.to_string(),
            };
            let data = serde_json::to_string(&data).unwrap_or_default();
            let id = self.event_id(index).map(|id| id.to_string());
            let id = id.unwrap_or_default();
            self.output.write(now, encode_event(&id, "token", &data));
            self.last_event_id = Some(id);
        }
        let count = u64::from(end.saturating_sub(start).get());
        self.traffic
            .shared
            .counters
            .add(Counter::TokensReleased, count);
    }

    fn report(&self, now: MonoTime, report: AttemptReport) {
        let counters = &self.traffic.shared.counters;
        let mut placer = self.traffic.placer();
        if let Some(pace_us) = report.pace_us {
            placer.record_pace(&report.endpoint, pace_us);
        }
        if report.fault.is_some() {
            counters.increment(Counter::AttemptsLost);
            placer.record_fault(now, &report.endpoint);
        }
        counters.add(Counter::TokensDropped, u64::from(report.dropped_tokens));
        self.traffic.shared.report(report);
    }

    fn write_event<Data>(&mut self, now: MonoTime, id: &str, event: &str, data: &Data)
    where
        Data: serde::Serialize,
    {
        let data = serde_json::to_string(data).unwrap_or_default();
        self.output.write(now, encode_event(id, event, &data));
    }

    fn count_end(&self) {
        let counter = match self.generation.state() {
            GenerationState::Done if self.caller_gone => Counter::GenerationsCancelled,
            GenerationState::Done => Counter::GenerationsDone,
            GenerationState::Failed => Counter::GenerationsFailed,
            GenerationState::Moved => Counter::GenerationsMoved,
            GenerationState::Superseded => Counter::GenerationsSuperseded,
            _ => Counter::GenerationsCancelled,
        };
        self.traffic.shared.counters.increment(counter);
    }
}
