//! One relayed request: placed, sent, sent again where that is allowed, and
//! answered once.
//!
//! Two questions decide what may follow a failure: whether the request may have
//! run, and whether it may run again. A refusal that promises "not run" is
//! given only if no attempt may have run.

use std::{net::SocketAddr, sync::Arc};

use parsleylatch_chart::{Bindings, ChartError, Instance, Machine, chart_names};
use parsleylatch_types::{Micros, Millis, MonoTime, ServiceName, TokenCount};
use strum::{Display, IntoStaticStr};

use super::{
    book::{EndpointEntry, EndpointKey},
    configuration::Repeat,
    pace::StreamPace,
    selector::{Choice, PREFILL_TOKENS_PER_MS},
};
use crate::charts::{self, LazyMachine};

/// Part of the goal for which a request is held while no endpoint can take it.
const HOLD_GOAL_DIVISOR: u64 = 8;
/// Longest hold of a stream that has begun; its caller waits for two seconds.
const RESUME_HOLD_MS: Millis = Millis::new(3_000);
/// Most sends that did not run; each goes to another endpoint and costs a trip.
/// After a crash, entries of several lost endpoints are still listed.
const UNRUN_LIMIT: u32 = 6;
/// Silence before the first event of a stream after which the endpoint is probed.
const FIRST_EVENT_PROBE_MS: Millis = Millis::new(400);
/// Part of the goal after which an idempotent call goes to another endpoint, in
/// percent; the rest has to do for the second answer.
const CALL_PATIENCE_GOAL_PERCENT: u64 = 65;
/// Prompts of the same length that may be read before a first event is due.
const FIRST_EVENT_PREFILLS: u64 = 3;
/// Time beyond the reading of prompts in which a first event is due; an endpoint
/// that has lost the request shows it earlier, when it is probed.
const FIRST_EVENT_SLACK_MS: Millis = Millis::new(2_000);
/// Time beyond the gap goal and the reading of the prompt, as after a
/// preemption, in which the next event is due.
const NEXT_EVENT_SLACK_MS: Millis = Millis::new(500);
/// Time after which a caller may try a stream again that found no endpoint.
const STREAM_RETRY_AFTER_MS: Millis = Millis::new(500);
/// Time after which a caller may try a call again that found no endpoint.
const CALL_RETRY_AFTER_MS: Millis = Millis::new(50);

chart_names! {
    /// States of an exchange.
    pub enum ExchangeState {
        /// An endpoint is chosen.
        Placing,
        /// No endpoint may take it now.
        Holding,
        /// An endpoint has it, nothing of the answer is here.
        Awaiting,
        /// As before, and a probe asks whether the endpoint lives.
        Doubting,
        /// Events come.
        Streaming,
        /// As before, and a probe asks whether the endpoint lives.
        StreamDoubting,
        /// The caller has an endpoint's answer.
        Answered,
        /// The caller has the whole stream.
        Finished,
        /// The caller was refused.
        Refused,
        /// The stream was broken off.
        BrokenOff,
        /// The caller left.
        Cancelled,
    }
}

chart_names! {
    /// Events of an exchange.
    pub(crate) enum ExchangeEvent {
        /// An endpoint was chosen.
        Placed,
        /// No endpoint may take it.
        Unplaced,
        /// A whole answer came.
        Answered,
        /// A whole answer came that tells a failure.
        Errored,
        /// The endpoint said that it did not run the request.
        Rejected,
        /// Nothing was written to the endpoint.
        Unsent,
        /// The attempt broke after it was sent.
        Lost,
        /// The first event came.
        Began,
        /// A further event came.
        Progressed,
        /// The stream is whole.
        Finished,
        /// The probe was answered.
        ProbeAnswered,
        /// The probe was not answered.
        ProbeFailed,
        /// The state lasted too long.
        TimedOut,
        /// The state lasted too long while this process did not run.
        Late,
        /// The caller's or the route's time is over.
        DeadlinePassed,
        /// The caller left.
        CallerGone,
    }
}

/// What a whole answer tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerClass {
    /// The request was served, or is wrong in a way that another endpoint can't mend.
    Final,
    /// The endpoint failed; another may do better.
    Failure,
    /// The endpoint did not run the request.
    NotRun,
}

/// What is asked for.
#[derive(Clone, Debug)]
pub struct ExchangeOrder {
    /// How often the request may run.
    pub repeat: Repeat,
    /// Service that answers.
    pub service: ServiceName,
    /// Most endpoints that may run it.
    pub attempts: u32,
    /// Time at which the caller's or the route's time is over.
    pub deadline: MonoTime,
    /// Time within which an answer is worth most.
    pub goal_ms: Millis,
    /// Longest pause between events with which a stream is on time.
    pub gap_goal_ms: Option<Millis>,
    /// Tokens of the prompt; zero for a call.
    pub prompt: TokenCount,
}

/// Name under which an endpoint finds a copy of a run's memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CopySource {
    /// The copy that grew with the run, under the request's id.
    Backup,
    /// The copy that was ordered from the running endpoint.
    Ordered {
        /// Endpoint that ran the request.
        source: SocketAddr,
        /// Name that it gave the copy.
        handle: Box<str>,
    },
}

/// A copy of a run's memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemoryCopy {
    /// Endpoint that has it.
    pub holder: EndpointKey,
    /// Its name there.
    pub source: CopySource,
}

/// What happens to an exchange.
#[derive(Clone, Debug)]
pub enum ExchangeInput {
    /// An endpoint was chosen.
    Placed(Box<Choice>),
    /// No endpoint may take it.
    Unplaced,
    /// A whole answer came.
    Answered {
        /// What it tells.
        class: AnswerClass,
        /// Whether the retry budget allows another send.
        may_retry: bool,
    },
    /// Nothing was written to the endpoint.
    Unsent {
        /// Whether the retry budget allows another send.
        may_retry: bool,
    },
    /// The attempt broke after it was sent.
    Lost {
        /// Whether the retry budget allows another send.
        may_retry: bool,
    },
    /// An event came.
    Event,
    /// The stream is whole.
    Finished,
    /// The probe was answered, and the endpoint has the request.
    ProbeAnswered,
    /// The probe was not answered, or the endpoint does not have the request.
    ProbeFailed {
        /// Whether the retry budget allows another send.
        may_retry: bool,
    },
    /// The caller left.
    CallerGone,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RefusalReason {
    /// No endpoint may take it.
    NoEndpoint,
    /// Every endpoint that was asked rejected it.
    Rejected,
    /// It was sent, and no usable answer came.
    AnswerLost,
    /// The time is over.
    DeadlinePassed,
}

/// What the front end has to do.
#[derive(Clone, Debug)]
pub enum ExchangeEffect {
    /// Choose an endpoint.
    Place {
        /// Endpoints that failed this request.
        excluded: Vec<EndpointKey>,
        /// Copy of the run's memory.
        copy: Option<MemoryCopy>,
    },
    /// Close what runs and send the request to the endpoint.
    Open(Box<Choice>),
    /// Ask the endpoint whether it lives.
    Probe,
    /// Give the caller the answer that came last.
    GiveAnswer,
    /// Begin the caller's stream.
    BeginStream,
    /// End the caller's stream as whole.
    Finish,
    /// End the caller's stream so that it can't look whole.
    BreakOff,
    /// Refuse the request.
    Refuse {
        /// Why.
        reason: RefusalReason,
        /// Whether no endpoint ran the request, and none will.
        not_run: bool,
        /// When a repeat may do better.
        retry_after_ms: Option<Millis>,
    },
}

struct ExchangeContext {
    order: ExchangeOrder,
    started_at: MonoTime,
    now: MonoTime,
    sent_at: MonoTime,
    held_since: Option<MonoTime>,
    runs: u32,
    unruns: u32,
    failed: Vec<EndpointKey>,
    choice: Option<Box<Choice>>,
    /// Copy of the memory of what runs, as it grows.
    growing_copy: Option<MemoryCopy>,
    /// Copy of the memory of what ran last.
    copy: Option<MemoryCopy>,
    has_begun: bool,
    /// Whether the last attempt brought an answer, though one that tells a failure.
    has_answer: bool,
    /// Whether the running attempt has brought an event.
    attempt_began: bool,
    may_retry: bool,
    last_event_at: MonoTime,
    pace: StreamPace,
    effects: Vec<ExchangeEffect>,
}

static MACHINE: LazyMachine<ExchangeState, ExchangeEvent, ExchangeContext> =
    LazyMachine::new(|| {
        let bindings = Bindings::<ExchangeContext>::new()
            .duration("answer_patience", ExchangeContext::answer_patience)
            .duration("event_patience", |it| {
                it.pace.suspicious_after(it.order.gap_goal_ms)
            })
            .guard("may_hold", ExchangeContext::may_hold)
            .guard("has_begun", |it| it.has_begun)
            .guard("has_answer", |it| it.has_answer)
            .guard("may_repeat", |it| it.may_retry && it.could_repeat())
            .guard("may_resend", |it| it.may_retry && it.could_resend())
            .guard("is_overdue", |it| {
                it.may_retry && it.could_repeat() && it.is_overdue()
            })
            .guard("may_probe", |it| it.order.repeat.is_stream())
            .action("request_place", ExchangeContext::request_place)
            .action("open_attempt", ExchangeContext::open_attempt)
            .action("send_probe", |it| it.effects.push(ExchangeEffect::Probe))
            .action("give_answer", |it| {
                it.effects.push(ExchangeEffect::GiveAnswer);
            })
            .action("begin_stream", ExchangeContext::begin_stream)
            .action("finish", |it| it.effects.push(ExchangeEffect::Finish))
            .action("break_off", |it| it.effects.push(ExchangeEffect::BreakOff))
            .action("note_run", ExchangeContext::note_run)
            .action("note_unrun", ExchangeContext::note_unrun)
            .action("refuse_unplaced", |it| it.refuse(RefusalReason::NoEndpoint))
            .action("refuse_rejected", |it| it.refuse(RefusalReason::Rejected))
            .action("refuse_lost", |it| it.refuse(RefusalReason::AnswerLost))
            .action("refuse_late", |it| {
                it.refuse(RefusalReason::DeadlinePassed);
            });
        charts::compile(charts::EXCHANGE, &bindings)
    });

fn machine() -> &'static Machine<ExchangeState, ExchangeEvent, ExchangeContext> {
    charts::verified(&MACHINE)
}

pub(crate) fn verify_chart() -> Result<(), ChartError> {
    MACHINE.as_ref().map(|_| ()).map_err(Clone::clone)
}

impl ExchangeContext {
    /// Time that an engine needs to read the prompt.
    fn prefill(&self) -> Millis {
        Millis::new(u64::from(self.order.prompt.get()) / PREFILL_TOKENS_PER_MS)
    }

    fn answer_patience(&self) -> Millis {
        match self.order.repeat {
            Repeat::Stream { .. } => FIRST_EVENT_PROBE_MS,
            Repeat::Idempotent => self.call_patience(),
            Repeat::OnceOnly => self.order.deadline.since(self.now).millis(),
        }
    }

    fn call_patience(&self) -> Millis {
        Millis::new(self.order.goal_ms.get() * CALL_PATIENCE_GOAL_PERCENT / 100)
    }

    /// Whether the running attempt should have brought more by now.
    fn is_overdue(&self) -> bool {
        self.is_overdue_at(self.now)
    }

    fn is_overdue_at(&self, now: MonoTime) -> bool {
        let waited = |since: MonoTime| now.since(since);
        match self.order.repeat {
            Repeat::OnceOnly => false,
            Repeat::Idempotent => waited(self.sent_at) >= self.call_patience().micros(),
            Repeat::Stream { .. } if self.attempt_began => {
                let gap = self.order.gap_goal_ms.unwrap_or(self.order.goal_ms);
                let limit = gap
                    .saturating_add(self.prefill())
                    .saturating_add(NEXT_EVENT_SLACK_MS);
                waited(self.last_event_at) >= limit.micros()
            }
            Repeat::Stream { .. } => waited(self.sent_at) >= self.first_event_limit().micros(),
        }
    }

    /// A first event is due after the reading of some prompts before this one.
    fn first_event_limit(&self) -> Millis {
        Millis::new(FIRST_EVENT_PREFILLS * self.prefill().get())
            .saturating_add(FIRST_EVENT_SLACK_MS)
    }

    fn could_repeat(&self) -> bool {
        let in_time = self.now < self.order.deadline;
        self.order.repeat.may_run_again() && in_time && self.runs + 1 < self.order.attempts
    }

    fn could_resend(&self) -> bool {
        let in_time = self.now < self.order.deadline;
        let ran_before = self.runs > 0 && !self.order.repeat.may_run_again();
        in_time && !ran_before && self.unruns < UNRUN_LIMIT
    }

    fn may_hold(&self) -> bool {
        let Some(since) = self.held_since else {
            return true;
        };
        let limit = if self.has_begun {
            RESUME_HOLD_MS
        } else {
            Millis::new(self.order.goal_ms.get() / HOLD_GOAL_DIVISOR)
        };
        self.now.since(since) < limit.micros()
    }

    fn request_place(&mut self) {
        self.held_since.get_or_insert(self.now);
        let copy = self.copy.take();
        let excluded = self.failed.clone();
        self.effects.push(ExchangeEffect::Place { excluded, copy });
    }

    fn open_attempt(&mut self) {
        let Some(choice) = self.choice.take() else {
            return;
        };
        self.sent_at = self.now;
        self.held_since = None;
        self.attempt_began = false;
        self.has_answer = false;
        self.pace.restart();
        self.growing_copy = choice.backup.as_ref().map(|entry| MemoryCopy {
            holder: entry.key.clone(),
            source: CopySource::Backup,
        });
        self.effects.push(ExchangeEffect::Open(choice));
    }

    fn begin_stream(&mut self) {
        self.attempt_began = true;
        self.last_event_at = self.now;
        self.pace.note_event(self.now);
        if !self.has_begun {
            self.has_begun = true;
            self.effects.push(ExchangeEffect::BeginStream);
        }
    }

    /// Notes that the attempt may have run; its memory is copied from
    /// its first event on.
    fn note_run(&mut self) {
        self.runs += 1;
        let copy = self.growing_copy.take();
        self.copy = copy.filter(|_| self.attempt_began);
    }

    fn note_unrun(&mut self) {
        self.unruns += 1;
    }

    fn refuse(&mut self, reason: RefusalReason) {
        let not_run = self.runs == 0;
        let retry_after_ms = not_run.then(|| {
            if self.order.repeat.is_stream() {
                STREAM_RETRY_AFTER_MS
            } else {
                CALL_RETRY_AFTER_MS
            }
        });
        self.effects.push(ExchangeEffect::Refuse {
            reason,
            not_run,
            retry_after_ms,
        });
    }
}

/// One relayed request.
pub struct Exchange {
    life: Instance<ExchangeState>,
    context: ExchangeContext,
    running: Option<Arc<EndpointEntry>>,
}

impl Exchange {
    /// Starts the exchange.
    pub fn start(now: MonoTime, order: ExchangeOrder) -> (Self, Vec<ExchangeEffect>) {
        let mut context = ExchangeContext {
            order,
            started_at: now,
            now,
            sent_at: now,
            held_since: None,
            runs: 0,
            unruns: 0,
            failed: Vec::new(),
            choice: None,
            growing_copy: None,
            copy: None,
            has_begun: false,
            has_answer: false,
            attempt_began: false,
            may_retry: false,
            last_event_at: now,
            pace: StreamPace::default(),
            effects: Vec::new(),
        };
        let life = machine().start(now, &mut context);
        let effects = std::mem::take(&mut context.effects);
        let exchange = Self {
            life,
            context,
            running: None,
        };
        (exchange, effects)
    }

    /// State.
    pub fn state(&self) -> ExchangeState {
        self.life.state()
    }

    /// Whether it has ended.
    pub fn is_over(&self) -> bool {
        machine().is_final(&self.life)
    }

    /// Whether the caller's stream has begun.
    pub fn has_begun(&self) -> bool {
        self.context.has_begun
    }

    /// Attempts that may have run.
    pub fn runs(&self) -> u32 {
        self.context.runs
    }

    /// Time since the start.
    pub fn age(&self, now: MonoTime) -> Micros {
        now.since(self.context.started_at)
    }

    /// Whether a failed attempt could be followed by another one.
    ///
    /// The front end asks the retry budget only then.
    pub fn wants_retry(&self, may_have_run: bool) -> bool {
        if may_have_run {
            self.context.could_repeat()
        } else {
            self.context.could_resend()
        }
    }

    /// Whether the deadline that passes at `now` could be followed by another attempt.
    ///
    /// The front end asks the retry budget only then.
    pub fn wants_retry_at_deadline(&self, now: MonoTime) -> bool {
        let context = &self.context;
        let doubted = matches!(
            self.state(),
            ExchangeState::Doubting | ExchangeState::StreamDoubting
        );
        now < context.order.deadline
            && context.could_repeat()
            && (doubted || context.is_overdue_at(now))
    }

    /// Time at which [`Exchange::expire`] has to be called.
    pub fn next_deadline(&self) -> MonoTime {
        let deadline = self.context.order.deadline;
        let state = self.life.next_deadline();
        state.map_or(deadline, |state| state.min(deadline))
    }

    /// Takes what happened.
    pub fn handle(&mut self, now: MonoTime, input: ExchangeInput) -> Vec<ExchangeEffect> {
        let context = &mut self.context;
        context.now = now;
        let event = match input {
            ExchangeInput::Placed(choice) => {
                self.running = Some(Arc::clone(&choice.endpoint));
                context.choice = Some(choice);
                ExchangeEvent::Placed
            }
            ExchangeInput::Unplaced => ExchangeEvent::Unplaced,
            ExchangeInput::Answered { class, may_retry } => {
                context.may_retry = may_retry;
                context.has_answer = class == AnswerClass::Failure;
                match class {
                    AnswerClass::Final => ExchangeEvent::Answered,
                    AnswerClass::Failure => ExchangeEvent::Errored,
                    AnswerClass::NotRun => ExchangeEvent::Rejected,
                }
            }
            ExchangeInput::Unsent { may_retry } => {
                context.may_retry = may_retry;
                ExchangeEvent::Unsent
            }
            ExchangeInput::Lost { may_retry } => {
                context.may_retry = may_retry;
                ExchangeEvent::Lost
            }
            ExchangeInput::Event if context.attempt_began => {
                context.last_event_at = now;
                context.pace.note_event(now);
                ExchangeEvent::Progressed
            }
            ExchangeInput::Event => ExchangeEvent::Began,
            ExchangeInput::Finished => ExchangeEvent::Finished,
            ExchangeInput::ProbeAnswered => ExchangeEvent::ProbeAnswered,
            ExchangeInput::ProbeFailed { may_retry } => {
                context.may_retry = may_retry;
                ExchangeEvent::ProbeFailed
            }
            ExchangeInput::CallerGone => ExchangeEvent::CallerGone,
        };
        self.step(now, event)
    }

    /// Handles a deadline that has passed. `is_late` says that the process did
    /// not run when it passed, so that the silence says nothing of the endpoint.
    pub fn expire(&mut self, now: MonoTime, is_late: bool, may_retry: bool) -> Vec<ExchangeEffect> {
        self.context.now = now;
        self.context.may_retry = may_retry;
        if now >= self.context.order.deadline {
            return self.step(now, ExchangeEvent::DeadlinePassed);
        }
        if is_late {
            return self.step(now, ExchangeEvent::Late);
        }
        machine().expire(&mut self.life, now, &mut self.context);
        self.take_effects()
    }

    /// Copy of the memory of what runs, if there is to be one.
    pub fn growing_copy(&self) -> Option<&MemoryCopy> {
        self.context.growing_copy.as_ref()
    }

    /// Takes a copy that was ordered in place of one that was lost.
    pub fn replace_copy(&mut self, copy: MemoryCopy) {
        self.context.growing_copy = Some(copy);
    }

    fn step(&mut self, now: MonoTime, event: ExchangeEvent) -> Vec<ExchangeEffect> {
        machine().step(&mut self.life, now, event, &mut self.context);
        self.take_effects()
    }

    /// Effects of a step; an endpoint that is left is not asked again.
    fn take_effects(&mut self) -> Vec<ExchangeEffect> {
        let mut effects = std::mem::take(&mut self.context.effects);
        for effect in &mut effects {
            if let ExchangeEffect::Place { excluded, .. } = effect
                && let Some(left) = self.running.take()
            {
                self.context.failed.push(left.key.clone());
                excluded.push(left.key.clone());
            }
        }
        effects
    }
}
