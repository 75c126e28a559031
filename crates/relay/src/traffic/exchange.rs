//! Carries out the effects of one exchange.

use std::{collections::VecDeque, rc::Rc};

use bytes::Bytes;
use http::Response;
use parsleylatch_decide::relay::{
    AnswerClass, Choice, EndpointKey, EngineReport, Exchange, ExchangeEffect, ExchangeInput,
    LoadSample, MemoryCopy, Outcome, ProbeFinding, RefusalReason, RepeatKind, SelectionQuestion,
};
use parsleylatch_http::RawEvent;
use parsleylatch_types::{Micros, Millis, MonoTime, StreamEventId};
use tokio::sync::{mpsc, oneshot};

use super::{
    Traffic, answer,
    attempt::{Attempt, AttemptEvent, StreamHead, WholeAnswer},
    copies::Copies,
    engine,
    intake::Job,
    output::{BrokenOff, RelayBody},
};
use crate::telemetry::{RelayCounter, RelayLatency};

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
            !is_late && self.exchange.wants_retry_at_deadline(now) && self.take_repeat();
        let effects = self.exchange.expire(now, is_late, may_retry);
        if may_retry {
            self.note_failure(Outcome::Broken, "silent");
        }
        effects
    }

    fn take_probe(&mut self, report: Option<&EngineReport>) -> Vec<ExchangeEffect> {
        let now = self.traffic.now();
        let sent_for = self.sent.as_ref().map(|sent| now.since(sent.at).millis());
        if let (Some(sent), Some(report)) = (&self.sent, report) {
            let load = LoadSample {
                running: report.running,
                waiting: report.waiting,
            };
            let mut book = self.traffic.book.borrow_mut();
            book.note_load(now, &sent.key, load);
        }
        let finding = report.map(|report| {
            report.find(
                self.job.head.id.as_str(),
                self.last_event,
                sent_for.unwrap_or_default(),
            )
        });
        if finding == Some(ProbeFinding::Present) {
            return self.exchange.handle(now, ExchangeInput::ProbeAnswered);
        }
        let may_retry = self.may_retry(true);
        if may_retry {
            let reason = match finding {
                Some(ProbeFinding::Withheld) => "silent, and events are withheld",
                Some(_) => "silent, and the engine does not have it",
                None => "silent, and no answer to a probe",
            };
            self.note_failure(Outcome::Broken, reason);
        }
        self.exchange
            .handle(now, ExchangeInput::ProbeFailed { may_retry })
    }

    async fn take_event(&mut self, event: AttemptEvent) -> Vec<ExchangeEffect> {
        match event {
            AttemptEvent::Unreachable(reason) => {
                self.note_failure(Outcome::Unreachable, &reason);
                self.unsent()
            }
            AttemptEvent::Unsent(reason) => {
                self.note_failure(Outcome::Abandoned, &reason);
                self.unsent()
            }
            AttemptEvent::Lost(reason) => self.lost(&reason),
            AttemptEvent::Answer(answer) => self.take_answer(answer),
            AttemptEvent::Head(head) => self.take_head(head),
            AttemptEvent::Events(events) => self.take_events(events).await,
            AttemptEvent::Finished if self.exchange.has_begun() => {
                self.note_answered();
                self.exchange
                    .handle(self.traffic.now(), ExchangeInput::Finished)
            }
            AttemptEvent::Finished => self.lost("the stream has no event"),
        }
    }

    fn unsent(&mut self) -> Vec<ExchangeEffect> {
        let may_retry = self.may_retry(false);
        self.exchange
            .handle(self.traffic.now(), ExchangeInput::Unsent { may_retry })
    }

    fn lost(&mut self, reason: &str) -> Vec<ExchangeEffect> {
        self.note_failure(Outcome::Broken, reason);
        let may_retry = self.may_retry(true);
        self.exchange
            .handle(self.traffic.now(), ExchangeInput::Lost { may_retry })
    }

    fn take_answer(&mut self, answer: Box<WholeAnswer>) -> Vec<ExchangeEffect> {
        self.note_load(&answer.head);
        let status = answer.status;
        let is_not_run = answer.head.is_not_run || answer.head.is_other_endpoint;
        let class = if is_not_run {
            AnswerClass::NotRun
        } else if !answer.head.has_digest && status.is_success() {
            return self.lost("a success without a digest");
        } else if status.is_server_error() {
            AnswerClass::Failure
        } else {
            AnswerClass::Final
        };
        match class {
            AnswerClass::Final => self.note_answered(),
            AnswerClass::Failure => self.note_failure(Outcome::Errored, status.as_str()),
            AnswerClass::NotRun => {
                let outcome = match answer.head.is_other_endpoint {
                    true => Outcome::Replaced,
                    false if self.has_copy() => Outcome::Abandoned,
                    false => Outcome::Rejected,
                };
                self.note_failure(outcome, status.as_str());
            }
        }
        self.answer = Some(answer);
        let may_retry = match class {
            AnswerClass::Final => false,
            AnswerClass::Failure => self.may_retry(true),
            AnswerClass::NotRun => self.may_retry(false),
        };
        let input = ExchangeInput::Answered { class, may_retry };
        self.exchange.handle(self.traffic.now(), input)
    }

    fn take_head(&mut self, head: Box<StreamHead>) -> Vec<ExchangeEffect> {
        self.note_load(&head.head);
        if !head.head.has_digest {
            return self.lost("a stream without a digest");
        }
        if self.stream_head.is_none() {
            self.stream_head = Some(head);
        }
        Vec::new()
    }

    /// Passes on the events that the caller does not have.
    async fn take_events(&mut self, events: Vec<RawEvent>) -> Vec<ExchangeEffect> {
        let now = self.traffic.now();
        for event in events {
            let id = event.id.map(StreamEventId::new);
            if id.is_some() && id <= self.last_event {
                self.traffic
                    .shared
                    .metrics
                    .increment(RelayCounter::EventsDropped);
                continue;
            }
            self.last_event = id.or(self.last_event);
            self.pending.push(event);
        }
        if self.pending.is_empty() {
            return Vec::new();
        }
        self.note_first_event(now);
        self.note_gap(now);
        let effects = self.exchange.handle(now, ExchangeInput::Event);
        if self.exchange.has_begun() && matches!(self.caller, Caller::Streaming(_)) {
            self.flush().await;
        }
        self.keep_copy(now);
        effects
    }

    /// Orders a copy of the run's memory in place of one whose holder is lost.
    fn keep_copy(&mut self, now: MonoTime) {
        let (Some(sent), Some(copy)) = (&self.sent, self.exchange.growing_copy()) else {
            return;
        };
        let id = &self.job.head.id;
        let running = &sent.choice.endpoint;
        self.copies.look(now, &self.traffic, id, running, copy);
    }

    /// Hands the pending events to the caller's connection.
    async fn flush(&mut self) {
        let Caller::Streaming(sender) = &self.caller else {
            return;
        };
        let shared = &self.traffic.shared;
        for event in self.pending.drain(..) {
            shared.metrics.increment(RelayCounter::EventsRelayed);
            // A caller that has left is seen by the next wait.
            let _ = sender.send(Ok(event.bytes)).await;
        }
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
                ExchangeEffect::GiveAnswer => self.give_answer(),
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

    fn place(
        &mut self,
        excluded: &[EndpointKey],
        copy: Option<&MemoryCopy>,
    ) -> Vec<ExchangeEffect> {
        self.end_attempt(Outcome::Abandoned);
        let traffic = Rc::clone(&self.traffic);
        let snapshot = traffic.snapshot();
        let now = traffic.now();
        let order = &self.job.order;
        let question = SelectionQuestion {
            service: &order.service,
            excluded,
            copy,
            prompt: order.prompt,
            with_backup: self.job.has_backups && order.repeat.is_stream(),
        };
        let choice = traffic
            .selector()
            .select(now, &traffic.book.borrow(), &question);
        let Some(choice) = choice else {
            return self.exchange.handle(now, ExchangeInput::Unplaced);
        };
        log::info!(
            id:% = self.job.head.id,
            route:% = self.job.route.name,
            endpoint:% = choice.endpoint.key.id,
            backup = choice.backup.as_ref().map_or("-", |it| it.key.id.as_str()),
            has_copy = choice.copy.is_some(),
            candidates = choice.candidates,
            runs = self.exchange.runs(),
            last_event = self.last_event.unwrap_or_default().get(),
            configuration_revision = self.job.configuration_revision.get(),
            registry_revision = snapshot.registry_revision.get(),
            knowledge_age_ms = traffic.shared.confirmed_age().millis().get();
            "attempt placed"
        );
        self.exchange
            .handle(now, ExchangeInput::Placed(Box::new(choice)))
    }

    fn open(&mut self, choice: Box<Choice>) {
        let now = self.traffic.now();
        let key = choice.endpoint.key.clone();
        self.traffic
            .shared
            .metrics
            .increment(RelayCounter::Attempts);
        self.traffic
            .book
            .borrow_mut()
            .note_start(&key, self.job.order.prompt);
        if let Some(backup) = &choice.backup {
            self.traffic.book.borrow_mut().note_copy(&backup.key);
        }
        self.pending.clear();
        self.attempt = Some(Attempt::start(
            &self.traffic,
            &self.job,
            &choice,
            self.last_event,
        ));
        self.sent = Some(Sent {
            key,
            choice,
            at: now,
            has_answered: false,
        });
    }

    fn start_probe(&mut self) {
        if let Some(sent) = &self.sent {
            self.traffic.shared.metrics.increment(RelayCounter::Probes);
            let key = engine::connection_key(&sent.choice.endpoint);
            let traffic = Rc::clone(&self.traffic);
            self.probe = Some(engine::start_probe(traffic, key));
        }
    }

    fn give_answer(&mut self) {
        let Some(answer) = self.answer.take() else {
            return;
        };
        self.log_end("answered", Some(answer.status.as_u16()));
        self.traffic.shared.metrics.increment(RelayCounter::Answers);
        let kind = match self.job.order.repeat.may_run_again() {
            true => RelayLatency::IdempotentCall,
            false => RelayLatency::OnceOnlyCall,
        };
        self.observe(kind);
        let body = RelayBody::whole(answer.body);
        self.reply(answer::relayed(answer.status, &answer.headers, body));
    }

    async fn begin_stream(&mut self) {
        let Some(head) = self.stream_head.take() else {
            return;
        };
        self.observe(RelayLatency::FirstEvent);
        let (sender, body) = RelayBody::stream();
        self.reply(answer::relayed(head.status, &head.headers, body));
        self.caller = Caller::Streaming(sender);
        self.flush().await;
    }

    fn finish(&mut self) {
        self.log_end("finished", None);
        self.traffic
            .shared
            .metrics
            .increment(RelayCounter::StreamsFinished);
        self.caller = Caller::Done;
    }

    async fn break_off(&mut self) {
        self.log_end("broken_off", None);
        self.traffic
            .shared
            .metrics
            .increment(RelayCounter::StreamsBrokenOff);
        if let Caller::Streaming(sender) = std::mem::replace(&mut self.caller, Caller::Done) {
            // A caller that has left needs no end.
            let _ = sender.send(Err(BrokenOff)).await;
        }
    }

    fn refuse(&mut self, reason: RefusalReason, not_run: bool, retry_after_ms: Option<Millis>) {
        let traffic = Rc::clone(&self.traffic);
        let (taken, slots) = traffic
            .book
            .borrow()
            .occupancy(traffic.now(), &self.job.order.service);
        traffic.shared.metrics.increment(RelayCounter::Refusals);
        log::info!(
            id:% = self.job.head.id,
            route:% = self.job.route.name,
            reason:% = reason,
            not_run = not_run,
            runs = self.exchange.runs(),
            age_ms = self.exchange.age(traffic.now()).millis().get(),
            taken = taken,
            slots = slots,
            knowledge_age_ms = traffic.shared.confirmed_age().millis().get();
            "request refused"
        );
        self.reply(answer::refused(reason, not_run, retry_after_ms));
    }

    fn reply(&mut self, response: Response<RelayBody>) {
        if let Caller::Waiting(reply) = std::mem::replace(&mut self.caller, Caller::Done) {
            // A caller that has left needs no answer.
            let _ = reply.send(response);
        }
    }

    fn may_retry(&self, may_have_run: bool) -> bool {
        self.exchange.wants_retry(may_have_run) && self.take_repeat()
    }

    fn take_repeat(&self) -> bool {
        let kind = match self.exchange.has_begun() {
            true => RepeatKind::Resumption,
            false => RepeatKind::Plain,
        };
        let is_taken = self.traffic.take_repeat(&self.job.order.service, kind);
        if !is_taken {
            log::info!(
                id:% = self.job.head.id,
                route:% = self.job.route.name,
                has_begun = self.exchange.has_begun();
                "retry budget used up"
            );
        }
        is_taken
    }

    fn has_copy(&self) -> bool {
        self.sent
            .as_ref()
            .is_some_and(|it| it.choice.copy.is_some())
    }

    fn note_load(&mut self, head: &crate::codec::AnswerHead) {
        if let (Some(sent), Some(load)) = (&self.sent, head.load) {
            let now = self.traffic.now();
            self.traffic
                .book
                .borrow_mut()
                .note_load(now, &sent.key, load);
        }
    }

    fn note_first_event(&mut self, now: MonoTime) {
        if let Some(sent) = self.sent.as_mut().filter(|it| !it.has_answered) {
            sent.has_answered = true;
            let mut book = self.traffic.book.borrow_mut();
            book.note_prompt_read(&sent.key, self.job.order.prompt);
            let latency = now.since(sent.at);
            book.note_outcome(now, &sent.key, Outcome::Answered { latency });
        }
    }

    /// Notes the caller's wait for an event.
    fn note_gap(&mut self, now: MonoTime) {
        match self.last_event_at.replace(now) {
            Some(last) => self.longest_gap = self.longest_gap.max(now.since(last)),
            None => self.first_event_after = Some(now.since(self.started_at)),
        }
    }

    fn note_answered(&mut self) {
        self.note_first_event(self.traffic.now());
    }

    /// Notes that the endpoint failed this attempt, and why.
    fn note_failure(&mut self, outcome: Outcome, reason: &str) {
        let Some(sent) = &self.sent else {
            return;
        };
        let now = self.traffic.now();
        let traffic = &self.traffic;
        traffic
            .book
            .borrow_mut()
            .note_outcome(now, &sent.key, outcome);
        traffic
            .shared
            .metrics
            .increment(RelayCounter::AttemptsFailed);
        log::info!(
            id:% = self.job.head.id,
            route:% = self.job.route.name,
            endpoint:% = sent.key.id,
            reason = reason,
            after_ms = now.since(sent.at).millis().get(),
            last_event = self.last_event.unwrap_or_default().get();
            "attempt failed"
        );
    }

    /// Closes what runs, and takes it out of the book.
    fn end_attempt(&mut self, outcome: Outcome) {
        self.attempt = None;
        self.probe = None;
        self.copies = Copies::default();
        if let Some(sent) = self.sent.take() {
            let mut book = self.traffic.book.borrow_mut();
            if !sent.has_answered {
                book.note_prompt_read(&sent.key, self.job.order.prompt);
                book.note_outcome(self.traffic.now(), &sent.key, outcome);
            }
            book.note_end(&sent.key);
            if let Some(backup) = &sent.choice.backup {
                book.note_copy_end(&backup.key);
            }
        }
    }

    fn observe(&self, kind: RelayLatency) {
        let shared = &self.traffic.shared;
        let latency: Micros = shared.now().since(self.started_at);
        shared.metrics.observe(kind, latency);
    }

    fn log_end(&self, outcome: &str, status: Option<u16>) {
        let endpoint = self.sent.as_ref().map_or("-", |it| it.key.id.as_str());
        log::info!(
            id:% = self.job.head.id,
            route:% = self.job.route.name,
            outcome = outcome,
            status = status.unwrap_or_default(),
            endpoint = endpoint,
            runs = self.exchange.runs(),
            last_event = self.last_event.unwrap_or_default().get(),
            first_event_ms = self.first_event_after.unwrap_or_default().millis().get(),
            longest_gap_ms = self.longest_gap.millis().get(),
            age_ms = self.exchange.age(self.traffic.now()).millis().get();
            "request ended"
        );
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
