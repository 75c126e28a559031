//! Exchanges: retries after each kind of failure, and when a refusal may state "not run".

use std::sync::Arc;

use parsleylatch_decide::relay::{
    Choice, CopySource, EndpointEntry, EndpointKey, Exchange, ExchangeEffect, ExchangeInput,
    ExchangeSpec, ExchangeState, LeaveReason, MemoryCopy, NextStep, ProbeFailure, RefusalReason,
    RepeatPolicy, ResponseClass,
};
use parsleylatch_types::{Incarnation, Millis, MonoTime, SlotCount, TokenCount};
use proptest::prelude::*;
use test_case::test_case;

const RESUMABLE: RepeatPolicy = RepeatPolicy::Stream { resumable: true };
const NOT_RESUMABLE: RepeatPolicy = RepeatPolicy::Stream { resumable: false };

fn at(millis: u64) -> MonoTime {
    MonoTime::ZERO + Millis::new(millis)
}

fn spec(repeat: RepeatPolicy) -> ExchangeSpec {
    ExchangeSpec {
        repeat,
        service: "s".parse().unwrap(),
        attempts: 3,
        deadline: at(10_000),
        goal_ms: Millis::new(1_000),
        gap_goal_ms: Some(Millis::new(700)),
        prompt: TokenCount::new(if repeat.is_stream() { 500 } else { 0 }),
    }
}

fn entry(number: u16) -> Arc<EndpointEntry> {
    Arc::new(EndpointEntry {
        key: EndpointKey {
            id: format!("i-{number}").parse().unwrap(),
            incarnation: Incarnation::new(1),
        },
        service: "s".parse().unwrap(),
        address: ([127, 0, 0, 1], 1_000 + number).into(),
        failure_domain: "a".parse().unwrap(),
        version: "v1".parse().unwrap(),
        slots: SlotCount::new(4),
        is_leaving: false,
    })
}

fn choice(number: u16) -> Box<Choice> {
    Box::new(Choice {
        endpoint: entry(number),
        backup: Some(entry(100 + number)),
        copy: None,
        candidates: 9,
    })
}

fn placed(number: u16) -> ExchangeInput {
    ExchangeInput::Placed(choice(number))
}

/// A move to an endpoint that takes the request.
fn move_to(number: u16) -> NextStep {
    NextStep::Move(choice(number))
}

fn probe_failed(failure: ProbeFailure, next: NextStep) -> ExchangeInput {
    ExchangeInput::ProbeFailed { failure, next }
}

fn answered(class: ResponseClass, may_retry: bool) -> ExchangeInput {
    ExchangeInput::Answered { class, may_retry }
}

/// Exchange whose first attempt was sent to endpoint 1.
fn sent(repeat: RepeatPolicy) -> Exchange {
    let (mut exchange, effects) = Exchange::start(at(0), spec(repeat));
    assert!(matches!(effects[..], [ExchangeEffect::Place { .. }]));
    let effects = exchange.handle(at(0), placed(1));
    assert!(matches!(effects[..], [ExchangeEffect::Open(_)]));
    exchange
}

/// Exchange whose stream has begun at endpoint 1.
fn begun(repeat: RepeatPolicy) -> Exchange {
    let mut exchange = sent(repeat);
    let effects = exchange.handle(at(100), ExchangeInput::Event);
    assert!(matches!(effects[..], [ExchangeEffect::BeginStream]));
    exchange
}

fn refusal(effects: &[ExchangeEffect]) -> Option<(RefusalReason, bool)> {
    match effects {
        [
            ExchangeEffect::Refuse {
                reason, not_run, ..
            },
        ] => Some((*reason, *not_run)),
        _ => None,
    }
}

#[test_case(RepeatPolicy::Idempotent, true ; "idempotent")]
#[test_case(RESUMABLE, true ; "resumable stream")]
#[test_case(NOT_RESUMABLE, false ; "stream that runs once")]
#[test_case(RepeatPolicy::OnceOnly, false ; "once only")]
fn lost_attempt_repeated(repeat: RepeatPolicy, again: bool) {
    let mut exchange = sent(repeat);
    let effects = exchange.handle(at(50), ExchangeInput::Lost { may_retry: true });
    if again {
        let [ExchangeEffect::Place { excluded, .. }] = &effects[..] else {
            panic!("{effects:?}");
        };
        assert_eq!(*excluded, [entry(1).key.clone()]);
    } else {
        assert_eq!(refusal(&effects), Some((RefusalReason::AnswerLost, false)));
    }
}

#[test_case(RepeatPolicy::Idempotent ; "idempotent")]
#[test_case(RepeatPolicy::OnceOnly ; "once only")]
#[test_case(RESUMABLE ; "resumable stream")]
fn not_run_resent(repeat: RepeatPolicy) {
    for input in [
        ExchangeInput::Unsent { may_retry: true },
        answered(ResponseClass::NotRun, true),
    ] {
        let mut exchange = sent(repeat);
        let effects = exchange.handle(at(50), input);
        assert!(matches!(effects[..], [ExchangeEffect::Place { .. }]));
    }
}

/// Without a retry budget, a request that was never sent is refused as not run.
#[test]
fn not_run_without_budget() {
    let mut exchange = sent(RepeatPolicy::OnceOnly);
    let effects = exchange.handle(at(50), ExchangeInput::Unsent { may_retry: false });
    assert_eq!(refusal(&effects), Some((RefusalReason::Rejected, true)));
}

/// A refusal must not state "not run" if an earlier attempt may have run.
#[test]
fn rejected_after_lost() {
    let mut exchange = sent(RepeatPolicy::Idempotent);
    exchange.handle(at(50), ExchangeInput::Lost { may_retry: true });
    exchange.handle(at(50), placed(2));
    let effects = exchange.handle(at(60), answered(ResponseClass::NotRun, false));
    assert_eq!(refusal(&effects), Some((RefusalReason::Rejected, false)));
}

#[test]
fn attempts_bounded() {
    let mut exchange = sent(RepeatPolicy::Idempotent);
    for number in 2..=3 {
        let effects = exchange.handle(at(50), ExchangeInput::Lost { may_retry: true });
        assert!(matches!(effects[..], [ExchangeEffect::Place { .. }]));
        exchange.handle(at(50), placed(number));
    }
    let effects = exchange.handle(at(60), ExchangeInput::Lost { may_retry: true });
    assert_eq!(refusal(&effects), Some((RefusalReason::AnswerLost, false)));
}

/// An endpoint's error response is forwarded if no other endpoint is eligible.
#[test]
fn error_response_forwarded_without_other() {
    let mut exchange = sent(RepeatPolicy::Idempotent);
    exchange.handle(at(50), answered(ResponseClass::Failure, true));
    let effects = exchange.handle(at(50), ExchangeInput::PlacementFailed);
    assert!(matches!(effects[..], [ExchangeEffect::ForwardResponse]));
}

#[test]
fn unplaced_waits_briefly() {
    let (mut exchange, _) = Exchange::start(at(0), spec(RESUMABLE));
    assert!(
        exchange
            .handle(at(0), ExchangeInput::PlacementFailed)
            .is_empty()
    );
    assert_eq!(exchange.state(), ExchangeState::AwaitingEndpoint);
    let effects = exchange.expire(at(25), false, NextStep::Stay);
    assert!(matches!(effects[..], [ExchangeEffect::Place { .. }]));
    // An eighth of the response time goal has passed.
    let effects = exchange.handle(at(126), ExchangeInput::PlacementFailed);
    assert_eq!(refusal(&effects), Some((RefusalReason::NoEndpoint, true)));
}

#[test]
fn resume_copy_backup() {
    let mut exchange = begun(RESUMABLE);
    let effects = exchange.handle(at(200), ExchangeInput::Lost { may_retry: true });
    let [ExchangeEffect::Place { copy, .. }] = &effects[..] else {
        panic!("{effects:?}");
    };
    let backup = MemoryCopy {
        holder: entry(101).key.clone(),
        source: CopySource::Backup,
    };
    assert_eq!(*copy, Some(backup));
}

#[test]
fn resume_copy_ordered() {
    let mut exchange = begun(RESUMABLE);
    let ordered = MemoryCopy {
        holder: entry(7).key.clone(),
        source: CopySource::Ordered {
            source: entry(1).address,
            handle: "h1".into(),
        },
    };
    exchange.replace_copy(ordered.clone());
    let effects = exchange.handle(at(200), ExchangeInput::Lost { may_retry: true });
    assert!(matches!(&effects[..], [ExchangeEffect::Place { copy, .. }] if *copy == Some(ordered)));
}

/// A run has no copy of its memory before its first event.
#[test]
fn resume_copy_before_first_event() {
    let mut exchange = sent(RESUMABLE);
    let effects = exchange.handle(at(900), ExchangeInput::Lost { may_retry: true });
    assert!(matches!(
        &effects[..],
        [ExchangeEffect::Place { copy: None, .. }]
    ));
}

#[test_case(RESUMABLE, true ; "without budget")]
#[test_case(NOT_RESUMABLE, false ; "runs once")]
fn begun_stream_aborted(repeat: RepeatPolicy, resumable: bool) {
    let mut exchange = begun(repeat);
    let may_retry = !resumable;
    let effects = exchange.handle(at(200), ExchangeInput::Lost { may_retry });
    assert!(matches!(
        effects[..],
        [ExchangeEffect::BreakOff {
            reason: RefusalReason::AnswerLost
        }]
    ));
}

/// An endpoint that answers a resumed stream with an error is one of several attempts.
#[test_case(true, true ; "with budget")]
#[test_case(false, false ; "without budget")]
fn resumed_stream_error_repeated(may_retry: bool, is_repeated: bool) {
    let mut exchange = begun(RESUMABLE);
    exchange.handle(at(200), ExchangeInput::Lost { may_retry: true });
    exchange.handle(at(200), placed(2));
    let effects = exchange.handle(at(220), answered(ResponseClass::Failure, may_retry));
    let is_placed = matches!(effects[..], [ExchangeEffect::Place { .. }]);
    assert_eq!(is_placed, is_repeated, "{effects:?}");
    assert_eq!(exchange.is_over(), !is_repeated);
}

/// The error response of a resumed stream's endpoint never ends the caller's stream.
#[test]
fn resumed_stream_error_not_forwarded() {
    let mut exchange = begun(RESUMABLE);
    exchange.handle(at(200), ExchangeInput::Lost { may_retry: true });
    exchange.handle(at(200), placed(2));
    exchange.handle(at(220), answered(ResponseClass::Failure, true));
    let effects = exchange.handle(at(220), ExchangeInput::PlacementFailed);
    assert!(effects.is_empty(), "{effects:?}");
    assert_eq!(exchange.state(), ExchangeState::AwaitingEndpoint);
}

/// Whatever the next endpoint answers as a whole is a failure of a stream that has begun.
#[test]
fn resumed_stream_response_is_failure() {
    let mut exchange = begun(RESUMABLE);
    assert_eq!(
        exchange.classify(ResponseClass::Final),
        ResponseClass::Failure
    );
    exchange.handle(at(150), ExchangeInput::Lost { may_retry: true });
    exchange.handle(at(150), placed(2));
    let effects = exchange.handle(at(160), answered(ResponseClass::Final, true));
    assert!(
        matches!(effects[..], [ExchangeEffect::BreakOff { .. }]),
        "{effects:?}"
    );
}

/// The caller already has all events, so the resumed stream ends without further ones.
#[test]
fn resumed_without_events_finishes() {
    let mut exchange = begun(RESUMABLE);
    exchange.handle(at(200), ExchangeInput::Lost { may_retry: true });
    exchange.handle(at(200), placed(2));
    let effects = exchange.handle(at(220), ExchangeInput::Finished);
    assert!(matches!(effects[..], [ExchangeEffect::Finish]));
}

#[test]
fn silent_stream_probed() {
    let mut exchange = sent(RESUMABLE);
    let silent_at = exchange.next_deadline();
    assert_eq!(silent_at, at(400));
    let effects = exchange.expire(silent_at, false, NextStep::Stay);
    assert!(matches!(effects[..], [ExchangeEffect::Probe]));
    assert!(
        exchange
            .handle(at(420), ExchangeInput::ProbeAnswered)
            .is_empty()
    );
    let effects = exchange.expire(at(820), false, NextStep::Stay);
    assert!(matches!(effects[..], [ExchangeEffect::Probe]));
    let effects = exchange.handle(at(830), probe_failed(ProbeFailure::Silent, move_to(2)));
    assert!(matches!(effects[..], [ExchangeEffect::Open(_)]));
}

/// Silence while this process was paused is no sign of a failed endpoint.
#[test]
fn paused_process_silence_ignored() {
    let mut exchange = begun(RESUMABLE);
    let effects = exchange.expire(at(5_000), true, move_to(2));
    assert!(effects.is_empty());
    assert_eq!(exchange.state(), ExchangeState::Streaming);
    assert!(exchange.next_deadline() > at(5_000));
}

#[test_case(RepeatPolicy::Idempotent, 650 ; "idempotent")]
#[test_case(RESUMABLE, 2_300 ; "stream without a failed probe")]
fn overdue_retried(repeat: RepeatPolicy, overdue_ms: u64) {
    let exchange = sent(repeat);
    assert!(!exchange.allows_retry_at_deadline(at(overdue_ms - 1)));
    assert!(exchange.allows_retry_at_deadline(at(overdue_ms)));
}

#[test]
fn once_only_never_overdue() {
    let exchange = sent(RepeatPolicy::OnceOnly);
    assert_eq!(exchange.next_deadline(), at(10_000));
    assert!(!exchange.allows_retry_at_deadline(at(9_999)));
}

#[test]
fn deadline_refused() {
    let mut exchange = sent(RepeatPolicy::OnceOnly);
    let effects = exchange.expire(at(10_000), false, NextStep::Stay);
    assert_eq!(
        refusal(&effects),
        Some((RefusalReason::DeadlinePassed, false))
    );
}

/// A request that still waits when the process is about to end is refused while its
/// response can be written, and as not run if it was not sent.
#[test_case(RepeatPolicy::OnceOnly, false, true ; "waiting for an endpoint")]
#[test_case(RepeatPolicy::OnceOnly, true, false ; "running once only")]
#[test_case(RepeatPolicy::Idempotent, true, false ; "running idempotent")]
#[test_case(RESUMABLE, true, false ; "stream without an event")]
fn process_ending_refused(repeat: RepeatPolicy, is_sent: bool, not_run: bool) {
    let (mut exchange, _) = Exchange::start(at(0), spec(repeat));
    if is_sent {
        exchange.handle(at(0), placed(1));
    } else {
        exchange.handle(at(0), ExchangeInput::PlacementFailed);
    }
    exchange.set_response_deadline(at(20));
    assert_eq!(exchange.next_deadline(), at(20));
    let effects = exchange.expire(at(20), false, NextStep::Stay);
    assert_eq!(refusal(&effects), Some((RefusalReason::Stopping, not_run)));
}

#[test]
fn process_ending_queued_refused() {
    let (mut exchange, _) = Exchange::start(at(0), spec(RESUMABLE));
    exchange.handle(at(0), ExchangeInput::Queued);
    exchange.set_response_deadline(at(20));
    let effects = exchange.expire(at(20), false, NextStep::Stay);
    assert_eq!(refusal(&effects), Some((RefusalReason::Stopping, true)));
}

/// A stream whose events arrive goes on until shortly before the process ends; one that waits
/// for its next attempt is aborted.
#[test]
fn process_ending_begun() {
    let mut exchange = begun(RESUMABLE);
    exchange.set_response_deadline(at(110));
    assert!(exchange.next_deadline() > at(110));
    exchange.handle(at(105), ExchangeInput::Lost { may_retry: true });
    exchange.handle(at(105), ExchangeInput::PlacementFailed);
    let effects = exchange.expire(at(110), false, NextStep::Stay);
    let reason = RefusalReason::Stopping;
    assert!(matches!(&effects[..], [ExchangeEffect::BreakOff { reason: it }] if *it == reason));
}

/// A stream that the end of the process cuts is aborted before, so that its caller and the log
/// know.
#[test_case(false ; "events arrive")]
#[test_case(true ; "probe in flight")]
fn process_ending_streaming_aborted(is_probing: bool) {
    let mut exchange = begun(RESUMABLE);
    let mut now = at(110);
    if is_probing {
        now = exchange.next_deadline();
        exchange.expire(now, false, NextStep::Stay);
        assert_eq!(exchange.state(), ExchangeState::StreamProbing);
    }
    exchange.set_response_deadline(now);
    assert!(
        exchange.next_deadline() > now,
        "aborted when responses are due"
    );
    for _ in 0..20 {
        now = exchange.next_deadline();
        if abort_reason(&exchange.expire(now, true, move_to(2))) == Some(RefusalReason::Stopping) {
            break;
        }
    }
    assert_eq!(exchange.state(), ExchangeState::BrokenOff, "at {now}");
}

#[derive(Clone, Copy, Debug)]
enum TestInput {
    Placed,
    PlacementFailed,
    Answered,
    Failed,
    NotRun,
    Unsent,
    Lost,
    Event,
    Finished,
    ProbeFailed,
    RequestLost,
    Undelivered,
    PlaceConfirmed,
    Unanswered,
    Deadline,
    Stop,
    CallerGone,
}

/// What the front end has found, drawn for each input that may leave an attempt.
#[derive(Clone, Copy, Debug)]
enum TestStep {
    Stay,
    Retry,
    Move,
}

impl TestStep {
    fn next(self, number: u16) -> NextStep {
        match self {
            Self::Stay => NextStep::Stay,
            Self::Retry => NextStep::Retry,
            Self::Move => move_to(number),
        }
    }
}

fn test_step() -> impl Strategy<Value = TestStep> {
    proptest::sample::select(vec![TestStep::Stay, TestStep::Retry, TestStep::Move])
}

fn test_input() -> impl Strategy<Value = TestInput> {
    use TestInput::{
        Answered, CallerGone, Deadline, Event, Failed, Finished, Lost, NotRun, PlaceConfirmed,
        Placed, PlacementFailed, ProbeFailed, RequestLost, Stop, Unanswered, Undelivered, Unsent,
    };
    proptest::sample::select(vec![
        Placed,
        Placed,
        Placed,
        PlacementFailed,
        Answered,
        Failed,
        NotRun,
        Unsent,
        Lost,
        Lost,
        Event,
        Event,
        Finished,
        ProbeFailed,
        RequestLost,
        Undelivered,
        PlaceConfirmed,
        Unanswered,
        Deadline,
        Deadline,
        Stop,
        CallerGone,
    ])
}

fn repeats() -> impl Strategy<Value = RepeatPolicy> {
    proptest::sample::select(vec![
        RepeatPolicy::Idempotent,
        RepeatPolicy::OnceOnly,
        RESUMABLE,
        NOT_RESUMABLE,
    ])
}

/// History of an exchange, checked against its invariants.
#[derive(Debug, Default)]
struct History {
    /// Attempts that may have run.
    runs: u32,
    /// Whether an attempt is open.
    open: bool,
    ends: u32,
    has_begun: bool,
}

impl History {
    fn record(&mut self, repeat: RepeatPolicy, attempts: u32, effects: &[ExchangeEffect]) {
        for effect in effects {
            match effect {
                ExchangeEffect::Open(_) => {
                    assert!(!self.open, "two attempts at the same time");
                    assert!(self.runs < attempts, "more attempts than allowed");
                    assert!(
                        self.runs == 0 || repeat.may_run_again(),
                        "run twice: {self:?}"
                    );
                    self.open = true;
                }
                ExchangeEffect::Refuse { not_run, .. } => {
                    assert!(
                        !not_run || self.runs == 0 && !self.open,
                        "refused as not run after a possible run"
                    );
                    self.ends += 1;
                }
                ExchangeEffect::ForwardResponse => {
                    assert!(!self.has_begun, "response in a stream that has begun");
                    self.ends += 1;
                }
                ExchangeEffect::Finish | ExchangeEffect::BreakOff { .. } => {
                    self.ends += 1;
                }
                ExchangeEffect::BeginStream => self.has_begun = true,
                ExchangeEffect::Place { .. } | ExchangeEffect::Probe => {}
            }
        }
        assert!(self.ends <= 1, "answered twice");
    }

    /// Ends the open attempt, and counts it if it may have run.
    fn close(&mut self, may_have_run: bool) {
        if std::mem::take(&mut self.open) {
            self.runs += u32::from(may_have_run);
        }
    }
}

/// Whether the attempt is over.
fn leaves(effects: &[ExchangeEffect]) -> bool {
    effects.iter().any(|effect| {
        matches!(
            effect,
            ExchangeEffect::Open(_) | ExchangeEffect::Place { .. } | ExchangeEffect::Refuse { .. }
        )
    })
}

proptest! {
    /// For any sequence of inputs: one response, one attempt at a time, no second run of
    /// a request that may run only once, no false "not run", and no response in a stream.
    #[test]
    fn exchange_invariants(
        repeat in repeats(),
        inputs in proptest::collection::vec(
            (test_input(), any::<bool>(), test_step(), 0_u64..500),
            1..60,
        ),
    ) {
        let spec = spec(repeat);
        let attempts = spec.attempts;
        let (mut exchange, effects) = Exchange::start(at(0), spec);
        let mut history = History::default();
        history.record(repeat, attempts, &effects);
        let mut now = at(0);
        let mut number = 1;
        for (input, may_retry, step, elapsed_ms) in inputs {
            if exchange.is_over() {
                break;
            }
            now = now + Millis::new(elapsed_ms);
            let state = exchange.state();
            let is_placing = matches!(state, ExchangeState::Placing);
            let open = matches!(
                state,
                ExchangeState::AwaitingResponse
                    | ExchangeState::Probing
                    | ExchangeState::Streaming
                    | ExchangeState::StreamProbing
            );
            let effects = match input {
                TestInput::Placed if is_placing => {
                    number += 1;
                    exchange.handle(now, placed(number))
                }
                TestInput::PlacementFailed if is_placing => exchange.handle(now, ExchangeInput::PlacementFailed),
                TestInput::Answered if open => {
                    exchange.handle(now, answered(ResponseClass::Final, may_retry))
                }
                TestInput::Failed if open => {
                    history.close(true);
                    exchange.handle(now, answered(ResponseClass::Failure, may_retry))
                }
                TestInput::NotRun if state == ExchangeState::AwaitingResponse => {
                    history.close(false);
                    exchange.handle(now, answered(ResponseClass::NotRun, may_retry))
                }
                TestInput::Unsent if state == ExchangeState::AwaitingResponse => {
                    history.close(false);
                    exchange.handle(now, ExchangeInput::Unsent { may_retry })
                }
                TestInput::Lost if open => {
                    history.close(true);
                    exchange.handle(now, ExchangeInput::Lost { may_retry })
                }
                TestInput::Event if open && repeat.is_stream() => {
                    exchange.handle(now, ExchangeInput::Event)
                }
                TestInput::Finished if state == ExchangeState::Streaming => {
                    exchange.handle(now, ExchangeInput::Finished)
                }
                TestInput::ProbeFailed | TestInput::RequestLost | TestInput::Undelivered
                    if matches!(state, ExchangeState::Probing | ExchangeState::StreamProbing) =>
                {
                    let failure = match input {
                        TestInput::RequestLost => ProbeFailure::Missing,
                        TestInput::Undelivered => ProbeFailure::Undelivered,
                        _ => ProbeFailure::Silent,
                    };
                    number += 1;
                    let effects = exchange.handle(now, probe_failed(failure, step.next(number)));
                    if leaves(&effects) {
                        history.close(true);
                    }
                    effects
                }
                TestInput::PlaceConfirmed if open && exchange.allows_retry(true) => {
                    number += 1;
                    history.close(true);
                    let reason = LeaveReason::Silent;
                    let choice = choice(number);
                    exchange.handle(now, ExchangeInput::PlaceConfirmed { reason, choice })
                }
                TestInput::Unanswered if state == ExchangeState::AwaitingResponse => {
                    history.close(false);
                    exchange.handle(now, ExchangeInput::Unanswered { may_retry })
                }
                TestInput::Deadline => {
                    now = now.max(exchange.next_deadline());
                    number += 1;
                    let effects = exchange.expire(now, false, step.next(number));
                    if leaves(&effects) {
                        history.close(true);
                    }
                    effects
                }
                TestInput::Stop => {
                    exchange.set_response_deadline(now + Millis::new(500));
                    continue;
                }
                TestInput::CallerGone => exchange.handle(now, ExchangeInput::CallerGone),
                _ => continue,
            };
            history.record(repeat, attempts, &effects);
        }
    }
}

/// Without a next place, a request is refused once reports 800 ms apart show that its endpoint
/// has lost it, so that the caller can resume at another node. At an endpoint that is merely
/// silent it waits.
#[test_case(ProbeFailure::Missing, 1_649, false ; "one observation")]
#[test_case(ProbeFailure::Missing, 1_650, true ; "request lost")]
#[test_case(ProbeFailure::Silent, 1_650, false ; "silent")]
#[test_case(ProbeFailure::Silent, 2_999, false ; "silent for long")]
#[test_case(ProbeFailure::Silent, 3_000, true ; "silent too long")]
fn probe_failed_without_budget_refused(failure: ProbeFailure, at_ms: u64, is_refused: bool) {
    let mut exchange = sent(RESUMABLE);
    exchange.expire(at(400), false, NextStep::Stay);
    let effects = exchange.handle(at(850), probe_failed(failure, NextStep::Stay));
    assert!(effects.is_empty(), "{effects:?}");
    exchange.expire(exchange.next_deadline(), false, NextStep::Stay);
    assert_eq!(exchange.state(), ExchangeState::Probing);
    let effects = exchange.handle(at(at_ms), probe_failed(failure, NextStep::Stay));
    let reason = match failure {
        ProbeFailure::Missing => RefusalReason::AnswerLost,
        _ => RefusalReason::NoProgress,
    };
    assert_eq!(refusal(&effects), is_refused.then_some((reason, false)));
    assert_eq!(exchange.is_over(), is_refused);
}

/// A probe that is answered shows that the endpoint is not silent.
#[test]
fn probe_answered_restarts_silence() {
    let mut exchange = sent(RESUMABLE);
    exchange.expire(at(400), false, NextStep::Stay);
    exchange.handle(at(2_000), ExchangeInput::ProbeAnswered);
    exchange.expire(at(2_400), false, NextStep::Stay);
    let failed = probe_failed(ProbeFailure::Silent, NextStep::Stay);
    let effects = exchange.handle(at(3_500), failed);
    assert!(effects.is_empty(), "{effects:?}");
}

/// What happens between two reports without the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Between {
    Nothing,
    Event,
    Silence,
}

/// A stream that has begun is aborted if reports 800 ms apart show that its endpoint has lost
/// it; its caller can resume it elsewhere. Silence never aborts it.
#[test_case(ProbeFailure::Missing, 1_150, Between::Nothing, true ; "request lost")]
#[test_case(ProbeFailure::Missing, 1_150, Between::Event, false ; "event after the first report")]
#[test_case(ProbeFailure::Missing, 1_150, Between::Silence, false ; "silence after the first report")]
#[test_case(ProbeFailure::Silent, 1_150, Between::Nothing, false ; "silent")]
#[test_case(ProbeFailure::Silent, 9_000, Between::Nothing, false ; "silent for long")]
fn probe_failed_without_budget_begun(
    failure: ProbeFailure,
    at_ms: u64,
    between: Between,
    is_aborted: bool,
) {
    let mut exchange = begun(RESUMABLE);
    exchange.expire(at(1_000), false, NextStep::Stay);
    assert_eq!(exchange.state(), ExchangeState::StreamProbing);
    let effects = exchange.handle(at(at_ms), probe_failed(failure, NextStep::Stay));
    assert!(effects.is_empty(), "{effects:?}");
    if between == Between::Event {
        exchange.handle(at(at_ms + 10), ExchangeInput::Event);
    }
    exchange.expire(exchange.next_deadline(), false, NextStep::Stay);
    assert_eq!(exchange.state(), ExchangeState::StreamProbing);
    if between == Between::Silence {
        exchange.expire(exchange.next_deadline(), false, NextStep::Stay);
        exchange.expire(exchange.next_deadline(), false, NextStep::Stay);
        assert_eq!(exchange.state(), ExchangeState::StreamProbing);
    }
    let effects = exchange.handle(at(at_ms + 900), probe_failed(failure, NextStep::Stay));
    let aborts = matches!(
        effects[..],
        [ExchangeEffect::BreakOff {
            reason: RefusalReason::NoProgress
        }]
    );
    assert_eq!(aborts, is_aborted, "{effects:?}");
}

/// An endpoint that goes on after a silence answers probes before it reads what waits.
#[test]
fn answering_time_restarts_after_silence() {
    let mut exchange = sent(RESUMABLE);
    assert_eq!(exchange.answering_for(at(400)), Millis::new(400));
    exchange.expire(at(400), false, NextStep::Stay);
    exchange.expire(at(550), false, NextStep::Stay);
    assert_eq!(exchange.answering_for(at(950)), Millis::ZERO);
    exchange.expire(at(950), false, NextStep::Stay);
    exchange.handle(at(960), ExchangeInput::ProbeAnswered);
    assert_eq!(exchange.answering_for(at(1_760)), Millis::new(800));
}

/// A stream that was moved off a silent endpoint may return there once every other endpoint
/// has rejected it; not to one that has confirmed its loss.
#[test_case(ProbeFailure::Silent, &[2] ; "silent")]
#[test_case(ProbeFailure::Missing, &[1, 2] ; "request lost")]
fn silent_endpoint_readmitted(failure: ProbeFailure, excluded_numbers: &[u16]) {
    let mut exchange = begun(RESUMABLE);
    exchange.expire(at(1_000), false, NextStep::Stay);
    exchange.handle(at(1_150), probe_failed(failure, NextStep::Stay));
    exchange.expire(exchange.next_deadline(), false, NextStep::Stay);
    exchange.handle(at(1_950), probe_failed(failure, move_to(2)));
    exchange.handle(at(1_960), answered(ResponseClass::NotRun, true));
    exchange.handle(at(1_960), ExchangeInput::PlacementFailed);
    let effects = exchange.expire(at(1_985), false, NextStep::Stay);
    let [ExchangeEffect::Place { excluded, .. }] = &effects[..] else {
        panic!("{effects:?}");
    };
    let expected: Vec<EndpointKey> = excluded_numbers
        .iter()
        .map(|number| entry(*number).key.clone())
        .collect();
    assert_eq!(*excluded, expected);
}

/// So may a request without an event.
#[test_case(RESUMABLE, 400 ; "stream")]
#[test_case(RepeatPolicy::Idempotent, 650 ; "call")]
fn silent_endpoint_readmitted_before_response(repeat: RepeatPolicy, silent_ms: u64) {
    let mut exchange = sent(repeat);
    if repeat.is_stream() {
        exchange.expire(at(silent_ms), false, NextStep::Stay);
        exchange.handle(at(550), probe_failed(ProbeFailure::Silent, move_to(2)));
    } else {
        exchange.expire(at(silent_ms), false, move_to(2));
    }
    exchange.handle(at(710), answered(ResponseClass::NotRun, true));
    exchange.handle(at(710), ExchangeInput::PlacementFailed);
    let effects = exchange.expire(at(735), false, NextStep::Stay);
    let [ExchangeEffect::Place { excluded, .. }] = &effects[..] else {
        panic!("{effects:?}");
    };
    assert_eq!(*excluded, [entry(2).key.clone()]);
}

/// A stream whose next endpoint does not run it waits for a retry, but not for longer than
/// for an endpoint.
#[test_case(100, true, ExchangeState::Placing ; "retry left")]
#[test_case(100, false, ExchangeState::AwaitingRetry ; "no retry left")]
#[test_case(3_000, false, ExchangeState::BrokenOff ; "no retry left for long")]
fn resumed_stream_rejected_without_budget(wait_ms: u64, may_retry: bool, state: ExchangeState) {
    let mut exchange = begun(RESUMABLE);
    exchange.handle(at(200), ExchangeInput::Lost { may_retry: true });
    exchange.handle(at(200), placed(2));
    let effects = exchange.handle(at(220), answered(ResponseClass::NotRun, false));
    assert!(effects.is_empty(), "{effects:?}");
    let next = match may_retry {
        true => NextStep::Retry,
        false => NextStep::Stay,
    };
    exchange.expire(at(220 + wait_ms), false, next);
    assert_eq!(exchange.state(), state);
}

/// A run that can't be repeated is not abandoned because of a single lost probe.
#[test]
fn probe_failed_not_resumable_waits() {
    let mut exchange = sent(NOT_RESUMABLE);
    exchange.expire(at(400), false, NextStep::Stay);
    let failed = probe_failed(ProbeFailure::Silent, NextStep::Stay);
    let effects = exchange.handle(at(550), failed);
    assert!(effects.is_empty(), "{effects:?}");
    assert_eq!(exchange.state(), ExchangeState::AwaitingResponse);
}

fn answer_begun(class: ResponseClass, may_retry: bool) -> ExchangeInput {
    ExchangeInput::AnswerBegun { class, may_retry }
}

/// Exchange that passes on the body of a large response.
fn forwarding(repeat: RepeatPolicy, class: ResponseClass) -> Exchange {
    let mut exchange = sent(repeat);
    let effects = exchange.handle(at(50), answer_begun(class, false));
    assert!(matches!(effects[..], [ExchangeEffect::ForwardResponse]));
    assert_eq!(exchange.state(), ExchangeState::Forwarding);
    exchange
}

fn abort_reason(effects: &[ExchangeEffect]) -> Option<RefusalReason> {
    match effects {
        [ExchangeEffect::BreakOff { reason }] => Some(*reason),
        _ => None,
    }
}

#[test_case(RepeatPolicy::OnceOnly, ResponseClass::Final ; "once only")]
#[test_case(RepeatPolicy::Idempotent, ResponseClass::Final ; "idempotent")]
#[test_case(RepeatPolicy::OnceOnly, ResponseClass::Failure ; "error of once only")]
#[test_case(RESUMABLE, ResponseClass::Failure ; "error of a stream")]
fn large_response_completed(repeat: RepeatPolicy, class: ResponseClass) {
    let mut exchange = forwarding(repeat, class);
    assert!(!exchange.is_over());
    let effects = exchange.handle(at(5_000), ExchangeInput::Finished);
    assert!(matches!(effects[..], [ExchangeEffect::Finish]));
    assert_eq!(exchange.state(), ExchangeState::Answered);
}

/// Nothing is repeated, and no timeout but the deadline ends the response, once its caller has
/// received a part of it.
#[test_case(RepeatPolicy::OnceOnly ; "once only")]
#[test_case(RepeatPolicy::Idempotent ; "idempotent")]
#[test_case(RESUMABLE ; "stream")]
fn large_response_lost_aborted(repeat: RepeatPolicy) {
    let mut exchange = forwarding(repeat, ResponseClass::Final);
    assert!(!exchange.allows_retry(true) && !exchange.allows_retry(false));
    assert_eq!(exchange.next_deadline(), at(10_000));
    let effects = exchange.handle(at(900), ExchangeInput::Lost { may_retry: true });
    assert_eq!(abort_reason(&effects), Some(RefusalReason::AnswerLost));
    assert_eq!(exchange.state(), ExchangeState::BrokenOff);
}

#[test]
fn large_response_deadline_aborted() {
    let mut exchange = forwarding(RepeatPolicy::Idempotent, ResponseClass::Final);
    let effects = exchange.expire(at(10_000), false, move_to(2));
    assert_eq!(abort_reason(&effects), Some(RefusalReason::DeadlinePassed));
}

/// A planned stop aborts what it can't complete, at the time by which all have a response.
#[test]
fn large_response_process_ending_aborted() {
    let mut exchange = forwarding(RepeatPolicy::OnceOnly, ResponseClass::Final);
    exchange.set_response_deadline(at(3_000));
    assert_eq!(exchange.next_deadline(), at(3_000));
    let effects = exchange.expire(at(3_000), false, NextStep::Stay);
    assert_eq!(abort_reason(&effects), Some(RefusalReason::Stopping));
}

#[test]
fn large_response_caller_gone_cancelled() {
    let mut exchange = forwarding(RepeatPolicy::OnceOnly, ResponseClass::Final);
    let effects = exchange.handle(at(60), ExchangeInput::CallerGone);
    assert!(effects.is_empty());
    assert_eq!(exchange.state(), ExchangeState::Cancelled);
}

/// The rest of a large error was not read, so that it can't be forwarded later.
#[test]
fn large_error_repeated_not_forwarded() {
    let mut exchange = sent(RepeatPolicy::Idempotent);
    let effects = exchange.handle(at(50), answer_begun(ResponseClass::Failure, true));
    assert!(matches!(effects[..], [ExchangeEffect::Place { .. }]));
    exchange.handle(at(50), ExchangeInput::PlacementFailed);
    let effects = exchange.expire(at(400), false, NextStep::Stay);
    assert!(matches!(effects[..], [ExchangeEffect::Place { .. }]));
    let effects = exchange.handle(at(400), ExchangeInput::PlacementFailed);
    assert_eq!(refusal(&effects), Some((RefusalReason::NoEndpoint, false)));
}

/// A stream that has begun gets nothing of a large response.
#[test_case(ResponseClass::Final ; "success")]
#[test_case(ResponseClass::Failure ; "error")]
fn large_response_of_begun_stream_aborted(class: ResponseClass) {
    let mut exchange = begun(RESUMABLE);
    exchange.handle(at(200), ExchangeInput::Lost { may_retry: true });
    exchange.handle(at(200), placed(2));
    let class = exchange.classify(class);
    let effects = exchange.handle(at(300), answer_begun(class, false));
    assert_eq!(abort_reason(&effects), Some(RefusalReason::Errored));
}

/// One report without the request confirms no loss, so the endpoint may still answer.
#[test]
fn missing_once_rejected_elsewhere_waits() {
    let mut exchange = sent(RESUMABLE);
    exchange.expire(at(400), false, NextStep::Stay);
    exchange.handle(at(850), probe_failed(ProbeFailure::Missing, move_to(2)));
    let effects = exchange.handle(at(860), answered(ResponseClass::NotRun, false));
    assert!(effects.is_empty(), "{effects:?}");
}

/// As before: the endpoint is eligible again once no other one is.
#[test]
fn missing_once_readmitted() {
    let mut exchange = begun(RESUMABLE);
    exchange.expire(at(1_000), false, NextStep::Stay);
    exchange.handle(at(1_150), probe_failed(ProbeFailure::Missing, move_to(2)));
    exchange.handle(at(1_160), answered(ResponseClass::NotRun, true));
    exchange.handle(at(1_160), ExchangeInput::PlacementFailed);
    let effects = exchange.expire(at(1_185), false, NextStep::Stay);
    let [ExchangeEffect::Place { excluded, .. }] = &effects[..] else {
        panic!("{effects:?}");
    };
    assert_eq!(*excluded, [entry(2).key.clone()]);
}

/// Endpoints that accept no connection for a second are used again once no other one is
/// eligible.
#[test]
fn unreachable_endpoints_readmitted() {
    let mut exchange = begun(RESUMABLE);
    exchange.expire(at(1_000), false, NextStep::Stay);
    exchange.handle(at(1_150), probe_failed(ProbeFailure::Silent, move_to(2)));
    exchange.handle(at(1_400), ExchangeInput::Unanswered { may_retry: true });
    exchange.handle(at(1_400), ExchangeInput::PlacementFailed);
    exchange.expire(at(1_425), false, NextStep::Stay);
    exchange.handle(at(1_425), placed(1));
    exchange.handle(at(1_675), ExchangeInput::Unanswered { may_retry: true });
    let mut now_ms = 1_675;
    while now_ms < 6_000 && !exchange.is_over() {
        let effects = exchange.handle(at(now_ms), ExchangeInput::PlacementFailed);
        if exchange.is_over() {
            panic!("{now_ms} ms: {effects:?}");
        }
        now_ms += 25;
        let effects = exchange.expire(at(now_ms), false, NextStep::Stay);
        if let [ExchangeEffect::Place { excluded, .. }] = &effects[..]
            && excluded.len() < 2
        {
            return;
        }
    }
    panic!("no endpoint was eligible again");
}

/// A report that shows undelivered events of the request is no loss of it.
#[test]
fn undelivered_between_reports_no_loss() {
    let mut exchange = begun(RESUMABLE);
    let mut now = exchange.next_deadline();
    let mut effects = Vec::new();
    for failure in [
        ProbeFailure::Missing,
        ProbeFailure::Undelivered,
        ProbeFailure::Missing,
    ] {
        exchange.expire(now, false, NextStep::Stay);
        assert_eq!(exchange.state(), ExchangeState::StreamProbing);
        effects = exchange.handle(now, probe_failed(failure, NextStep::Stay));
        now = exchange.next_deadline();
    }
    assert!(effects.is_empty(), "{effects:?}");
}

/// A request whose endpoints are all gone is refused while its caller can still try elsewhere.
#[test]
fn left_silent_unplaced_not_until_deadline() {
    let mut exchange = sent(RESUMABLE);
    exchange.expire(at(400), false, NextStep::Stay);
    exchange.handle(at(550), probe_failed(ProbeFailure::Silent, move_to(2)));
    exchange.handle(at(600), ExchangeInput::Lost { may_retry: true });
    let mut now_ms = 600;
    while !exchange.is_over() {
        exchange.handle(at(now_ms), ExchangeInput::PlacementFailed);
        now_ms += 25;
        exchange.expire(at(now_ms), false, NextStep::Stay);
    }
    assert!(now_ms < 5_000, "refused after {now_ms} ms");
}
