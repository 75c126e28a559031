//! Exchanges: what follows each failure, and what a refusal may promise.

use std::sync::Arc;

use parsleylatch_decide::relay::{
    Choice, CopySource, EndpointEntry, EndpointKey, Exchange, ExchangeEffect, ExchangeInput,
    ExchangeSpec, ExchangeState, MemoryCopy, RefusalReason, RepeatPolicy, ResponseClass,
};
use parsleylatch_types::{Incarnation, Millis, MonoTime, SlotCount, TokenCount};
use proptest::prelude::*;
use test_case::test_case;

const RESUMABLE: RepeatPolicy = RepeatPolicy::Stream { resumable: true };
const SINGLE: RepeatPolicy = RepeatPolicy::Stream { resumable: false };

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

fn placed(number: u16) -> ExchangeInput {
    ExchangeInput::Placed(Box::new(Choice {
        endpoint: entry(number),
        backup: Some(entry(100 + number)),
        copy: None,
        candidates: 9,
    }))
}

fn answered(class: ResponseClass, may_retry: bool) -> ExchangeInput {
    ExchangeInput::Answered { class, may_retry }
}

/// An exchange whose first attempt was sent to endpoint 1.
fn sent(repeat: RepeatPolicy) -> Exchange {
    let (mut exchange, effects) = Exchange::start(at(0), spec(repeat));
    assert!(matches!(effects[..], [ExchangeEffect::Place { .. }]));
    let effects = exchange.handle(at(0), placed(1));
    assert!(matches!(effects[..], [ExchangeEffect::Open(_)]));
    exchange
}

/// An exchange whose stream has begun at endpoint 1.
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
#[test_case(SINGLE, false ; "stream that runs once")]
#[test_case(RepeatPolicy::OnceOnly, false ; "once only")]
fn lost_sent_again(repeat: RepeatPolicy, again: bool) {
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
fn not_run_sent_again(repeat: RepeatPolicy) {
    for input in [
        ExchangeInput::Unsent { may_retry: true },
        answered(ResponseClass::NotRun, true),
    ] {
        let mut exchange = sent(repeat);
        let effects = exchange.handle(at(50), input);
        assert!(matches!(effects[..], [ExchangeEffect::Place { .. }]));
    }
}

/// The budget is used up: a refusal says truly that nothing ran.
#[test]
fn not_run_without_budget() {
    let mut exchange = sent(RepeatPolicy::OnceOnly);
    let effects = exchange.handle(at(50), ExchangeInput::Unsent { may_retry: false });
    assert_eq!(refusal(&effects), Some((RefusalReason::Rejected, true)));
}

/// One endpoint may have run it, another says that it did not: no promise.
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

/// A failure that an endpoint told is given if nobody else can do better.
#[test]
fn failure_given_without_other() {
    let mut exchange = sent(RepeatPolicy::Idempotent);
    exchange.handle(at(50), answered(ResponseClass::Failure, true));
    let effects = exchange.handle(at(50), ExchangeInput::Unplaced);
    assert!(matches!(effects[..], [ExchangeEffect::ForwardResponse]));
}

#[test]
fn unplaced_held_briefly() {
    let (mut exchange, _) = Exchange::start(at(0), spec(RESUMABLE));
    assert!(exchange.handle(at(0), ExchangeInput::Unplaced).is_empty());
    assert_eq!(exchange.state(), ExchangeState::AwaitingEndpoint);
    let effects = exchange.expire(at(25), false, false);
    assert!(matches!(effects[..], [ExchangeEffect::Place { .. }]));
    // An eighth of the goal has passed.
    let effects = exchange.handle(at(126), ExchangeInput::Unplaced);
    assert_eq!(refusal(&effects), Some((RefusalReason::NoEndpoint, true)));
}

#[test]
fn resumed_at_copy() {
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
fn resumed_at_ordered_copy() {
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

/// Before its first event a run has no copy.
#[test]
fn no_copy_before_event() {
    let mut exchange = sent(RESUMABLE);
    let effects = exchange.handle(at(900), ExchangeInput::Lost { may_retry: true });
    assert!(matches!(
        &effects[..],
        [ExchangeEffect::Place { copy: None, .. }]
    ));
}

#[test_case(RESUMABLE, true ; "without budget")]
#[test_case(SINGLE, false ; "runs once")]
fn begun_stream_broken_off(repeat: RepeatPolicy, resumable: bool) {
    let mut exchange = begun(repeat);
    let may_retry = !resumable;
    let effects = exchange.handle(at(200), ExchangeInput::Lost { may_retry });
    assert!(matches!(effects[..], [ExchangeEffect::BreakOff]));
}

/// The caller has every event, and the second endpoint has nothing to add.
#[test]
fn resumed_without_events_finished() {
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
    let effects = exchange.expire(silent_at, false, false);
    assert!(matches!(effects[..], [ExchangeEffect::Probe]));
    assert!(
        exchange
            .handle(at(420), ExchangeInput::ProbeAnswered)
            .is_empty()
    );
    let effects = exchange.expire(at(820), false, false);
    assert!(matches!(effects[..], [ExchangeEffect::Probe]));
    let effects = exchange.handle(at(830), ExchangeInput::ProbeFailed { may_retry: true });
    assert!(matches!(effects[..], [ExchangeEffect::Place { .. }]));
}

/// A silence while this process did not run says nothing of the endpoint.
#[test]
fn late_silence_ignored() {
    let mut exchange = begun(RESUMABLE);
    let effects = exchange.expire(at(5_000), true, true);
    assert!(effects.is_empty());
    assert_eq!(exchange.state(), ExchangeState::Streaming);
    assert!(exchange.next_deadline() > at(5_000));
}

#[test_case(RepeatPolicy::Idempotent, 650 ; "idempotent")]
#[test_case(RESUMABLE, 2_300 ; "stream that was not probed in vain")]
fn overdue_sent_again(repeat: RepeatPolicy, overdue_ms: u64) {
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
fn deadline_refused_late() {
    let mut exchange = sent(RepeatPolicy::OnceOnly);
    let effects = exchange.expire(at(10_000), false, false);
    assert_eq!(
        refusal(&effects),
        Some((RefusalReason::DeadlinePassed, false))
    );
}

#[derive(Clone, Copy, Debug)]
enum Happening {
    Placed,
    Unplaced,
    Answered,
    Failed,
    NotRun,
    Unsent,
    Lost,
    Event,
    Finished,
    ProbeFailed,
    Deadline,
    CallerGone,
}

fn happening() -> impl Strategy<Value = Happening> {
    use Happening::{
        Answered, CallerGone, Deadline, Event, Failed, Finished, Lost, NotRun, Placed, ProbeFailed,
        Unplaced, Unsent,
    };
    proptest::sample::select(vec![
        Placed,
        Placed,
        Placed,
        Unplaced,
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
        Deadline,
        Deadline,
        CallerGone,
    ])
}

fn repeats() -> impl Strategy<Value = RepeatPolicy> {
    proptest::sample::select(vec![
        RepeatPolicy::Idempotent,
        RepeatPolicy::OnceOnly,
        RESUMABLE,
        SINGLE,
    ])
}

/// What the history of an exchange shows.
#[derive(Debug, Default)]
struct History {
    /// Attempts that may have run, and whether one is open.
    runs: u32,
    open: bool,
    ends: u32,
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
                        "may run twice: {self:?}"
                    );
                    self.open = true;
                }
                ExchangeEffect::Refuse { not_run, .. } => {
                    assert!(!not_run || self.runs == 0 && !self.open, "false promise");
                    self.ends += 1;
                }
                ExchangeEffect::ForwardResponse
                | ExchangeEffect::Finish
                | ExchangeEffect::BreakOff => {
                    self.ends += 1;
                }
                ExchangeEffect::Place { .. }
                | ExchangeEffect::Probe
                | ExchangeEffect::BeginStream => {}
            }
        }
        assert!(self.ends <= 1, "answered twice");
    }

    /// Counts the open attempt as one that may have run, or not.
    fn close(&mut self, may_have_run: bool) {
        if std::mem::take(&mut self.open) {
            self.runs += u32::from(may_have_run);
        }
    }
}

proptest! {
    /// Whatever happens: one end, one attempt at a time, nothing twice that may
    /// not, and no promise that is not true.
    #[test]
    fn promises_kept(
        repeat in repeats(),
        happenings in proptest::collection::vec((happening(), any::<bool>(), 0_u64..500), 1..60),
    ) {
        let spec = spec(repeat);
        let attempts = spec.attempts;
        let (mut exchange, effects) = Exchange::start(at(0), spec);
        let mut history = History::default();
        history.record(repeat, attempts, &effects);
        let mut now = at(0);
        let mut number = 1;
        for (happening, may_retry, step) in happenings {
            if exchange.is_over() {
                break;
            }
            now = now + Millis::new(step);
            let state = exchange.state();
            let places = matches!(state, ExchangeState::Placing);
            let open = matches!(
                state,
                ExchangeState::AwaitingResponse
                    | ExchangeState::Probing
                    | ExchangeState::Streaming
                    | ExchangeState::StreamProbing
            );
            let effects = match happening {
                Happening::Placed if places => {
                    number += 1;
                    exchange.handle(now, placed(number))
                }
                Happening::Unplaced if places => exchange.handle(now, ExchangeInput::Unplaced),
                Happening::Answered if open => {
                    exchange.handle(now, answered(ResponseClass::Final, may_retry))
                }
                Happening::Failed if open && !exchange.has_begun() => {
                    history.close(true);
                    exchange.handle(now, answered(ResponseClass::Failure, may_retry))
                }
                Happening::NotRun if state == ExchangeState::AwaitingResponse => {
                    history.close(false);
                    exchange.handle(now, answered(ResponseClass::NotRun, may_retry))
                }
                Happening::Unsent if state == ExchangeState::AwaitingResponse => {
                    history.close(false);
                    exchange.handle(now, ExchangeInput::Unsent { may_retry })
                }
                Happening::Lost if open => {
                    history.close(true);
                    exchange.handle(now, ExchangeInput::Lost { may_retry })
                }
                Happening::Event if open && repeat.is_stream() => {
                    exchange.handle(now, ExchangeInput::Event)
                }
                Happening::Finished if state == ExchangeState::Streaming => {
                    exchange.handle(now, ExchangeInput::Finished)
                }
                Happening::ProbeFailed
                    if matches!(state, ExchangeState::Probing | ExchangeState::StreamProbing) =>
                {
                    let effects = exchange.handle(now, ExchangeInput::ProbeFailed { may_retry });
                    if matches!(effects[..], [ExchangeEffect::Place { .. }]) {
                        history.close(true);
                    }
                    effects
                }
                Happening::Deadline => {
                    now = now.max(exchange.next_deadline());
                    let effects = exchange.expire(now, false, may_retry);
                    let leaves = effects.iter().any(|effect| {
                        matches!(effect, ExchangeEffect::Place { .. } | ExchangeEffect::Refuse { .. })
                    });
                    if leaves {
                        history.close(true);
                    }
                    effects
                }
                Happening::CallerGone => exchange.handle(now, ExchangeInput::CallerGone),
                _ => continue,
            };
            history.record(repeat, attempts, &effects);
        }
    }
}

/// An engine that answers no probe is given up: without budget the caller hears at
/// once, and may go on at another node.
#[test]
fn probe_failed_without_budget_refused() {
    let mut exchange = sent(RESUMABLE);
    exchange.expire(at(400), false, false);
    let effects = exchange.handle(at(550), ExchangeInput::ProbeFailed { may_retry: false });
    assert_eq!(refusal(&effects), Some((RefusalReason::AnswerLost, false)));
}

/// A begun stream is broken off likewise; its caller has what it needs to go on.
#[test]
fn probe_failed_without_budget_begun_broken_off() {
    let mut exchange = begun(RESUMABLE);
    exchange.expire(at(1_000), false, false);
    assert_eq!(exchange.state(), ExchangeState::StreamProbing);
    let effects = exchange.handle(at(1_150), ExchangeInput::ProbeFailed { may_retry: false });
    assert!(
        matches!(effects[..], [ExchangeEffect::BreakOff]),
        "{effects:?}"
    );
}

/// A run that can't be repeated is not ended for one probe that is lost on its way.
#[test]
fn probe_failed_single_stream_waits() {
    let mut exchange = sent(SINGLE);
    exchange.expire(at(400), false, false);
    let effects = exchange.handle(at(550), ExchangeInput::ProbeFailed { may_retry: false });
    assert!(effects.is_empty(), "{effects:?}");
    assert_eq!(exchange.state(), ExchangeState::AwaitingResponse);
}
