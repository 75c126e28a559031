//! Each reason to leave an attempt by each reason to have no next place: what becomes of the
//! request.

use std::sync::Arc;

use parsleylatch_decide::relay::{
    Choice, EndpointEntry, EndpointKey, Exchange, ExchangeEffect, ExchangeInput, ExchangeSpec,
    ExchangeState, LeaveReason, NextStep, ProbeFailure, RefusalReason, RepeatPolicy, ResponseClass,
};
use parsleylatch_types::{Incarnation, Millis, MonoTime, SlotCount, TokenCount};
use test_case::{test_case, test_matrix};

fn at(millis: u64) -> MonoTime {
    MonoTime::ZERO + Millis::new(millis)
}

fn choice(number: u16) -> Box<Choice> {
    let endpoint = EndpointEntry {
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
    };
    Box::new(Choice {
        endpoint: Arc::new(endpoint),
        backup: None,
        copy: None,
        candidates: 9,
    })
}

/// Stream that was sent to endpoint 1 and has waited since.
fn sent() -> Exchange {
    let spec = ExchangeSpec {
        repeat: RepeatPolicy::Stream { resumable: true },
        service: "s".parse().unwrap(),
        attempts: 3,
        deadline: at(10_000),
        goal_ms: Millis::new(1_000),
        gap_goal_ms: Some(Millis::new(700)),
        prompt: TokenCount::new(500),
    };
    let (mut exchange, _) = Exchange::start(at(0), spec);
    exchange.handle(at(0), ExchangeInput::Placed(choice(1)));
    exchange
}

/// As [`sent`], and its first event has arrived.
fn begun() -> Exchange {
    let mut exchange = sent();
    exchange.handle(at(100), ExchangeInput::Event);
    exchange
}

/// As [`sent`] or [`begun`], and the stream has been moved off the silent endpoint 1.
fn moved(start: fn() -> Exchange) -> Exchange {
    let mut exchange = start();
    exchange.expire(exchange.next_deadline(), false, NextStep::Stay);
    let next = NextStep::Move(choice(2));
    let failure = ProbeFailure::Silent;
    let effects = exchange.handle(at(550), ExchangeInput::ProbeFailed { failure, next });
    assert!(matches!(effects[..], [ExchangeEffect::Open(_)]));
    assert_eq!(exchange.left_for(), Some(LeaveReason::Silent));
    exchange
}

/// Gives the request a reason to leave its endpoint, which may still answer.
fn show_no_progress(exchange: &mut Exchange, reason: LeaveReason) -> Vec<ExchangeEffect> {
    let next = NextStep::Stay;
    let failure = match reason {
        LeaveReason::Overdue => return exchange.expire(at(9_000), false, next),
        LeaveReason::Undelivered => ProbeFailure::Undelivered,
        LeaveReason::Missing => ProbeFailure::Missing,
        _ => ProbeFailure::Silent,
    };
    exchange.expire(exchange.next_deadline(), false, NextStep::Stay);
    exchange.handle(at(1_500), ExchangeInput::ProbeFailed { failure, next })
}

/// Without a next place, whatever refuses it, a request stays at an endpoint that may answer.
#[test_matrix(
    [sent as fn() -> Exchange, begun],
    [LeaveReason::Silent, LeaveReason::Undelivered, LeaveReason::Missing, LeaveReason::Overdue]
)]
fn no_next_place_stays(start: fn() -> Exchange, reason: LeaveReason) {
    let mut exchange = start();
    let effects = show_no_progress(&mut exchange, reason);
    let leaves = effects
        .iter()
        .any(|it| !matches!(it, ExchangeEffect::Probe));
    assert!(!leaves && !exchange.is_over(), "{effects:?}");
    assert_eq!((exchange.runs(), exchange.left_for()), (0, None));
    // Its endpoint goes on.
    exchange.handle(at(9_100), ExchangeInput::Event);
    assert_eq!(exchange.state(), ExchangeState::Streaming);
}

/// What the request gets instead of an attempt.
#[derive(Clone, Copy, Debug)]
enum Refusal {
    NoRetry,
    NoEndpoint,
    Hopeless(RefusalReason),
    QueuedUntilDeadline,
    ProcessEnds,
}

/// Ends the attempt, and refuses the next place.
fn end_attempt(exchange: &mut Exchange, reason: LeaveReason, refusal: Refusal) -> ExchangeEffect {
    let may_retry = !matches!(refusal, Refusal::NoRetry);
    let input = match reason {
        LeaveReason::Lost => ExchangeInput::Lost { may_retry },
        LeaveReason::Unsent => ExchangeInput::Unsent { may_retry },
        LeaveReason::Errored => ExchangeInput::Answered {
            class: ResponseClass::Failure,
            may_retry,
        },
        _ => ExchangeInput::Answered {
            class: ResponseClass::NotRun,
            may_retry,
        },
    };
    let mut effects = exchange.handle(at(1_000), input);
    if matches!(refusal, Refusal::NoEndpoint | Refusal::ProcessEnds) {
        effects.extend(exchange.handle(at(1_000), ExchangeInput::PlacementFailed));
    }
    effects.extend(match refusal {
        _ if exchange.is_over() => Vec::new(),
        Refusal::NoRetry => Vec::new(),
        Refusal::NoEndpoint => {
            exchange.expire(at(4_100), false, NextStep::Stay);
            exchange.handle(at(4_100), ExchangeInput::PlacementFailed)
        }
        Refusal::Hopeless(reason) => {
            let retry_after_ms = None;
            let hopeless = ExchangeInput::Hopeless {
                reason,
                retry_after_ms,
            };
            exchange.handle(at(1_000), hopeless)
        }
        Refusal::QueuedUntilDeadline => {
            exchange.handle(at(1_000), ExchangeInput::Queued);
            exchange.expire(at(10_000), false, NextStep::Stay)
        }
        Refusal::ProcessEnds => {
            exchange.set_response_deadline(at(1_010));
            exchange.expire(at(1_010), false, NextStep::Stay)
        }
    });
    effects.pop().expect("the request ends")
}

fn refused(reason: RefusalReason, is_not_run: bool) -> impl Fn(&ExchangeEffect) -> bool {
    move |effect| {
        matches!(effect, ExchangeEffect::Refuse { reason: it, not_run, .. }
            if *it == reason && *not_run == is_not_run)
    }
}

fn aborted(reason: RefusalReason) -> impl Fn(&ExchangeEffect) -> bool {
    move |effect| matches!(effect, ExchangeEffect::BreakOff { reason: it } if *it == reason)
}

/// A request whose connection is lost may have run, and says so however it ends.
#[test_case(Refusal::NoRetry, RefusalReason::AnswerLost ; "no retry")]
#[test_case(Refusal::NoEndpoint, RefusalReason::NoEndpoint ; "no endpoint")]
#[test_case(Refusal::Hopeless(RefusalReason::Stopping), RefusalReason::Stopping ; "stopping")]
#[test_case(Refusal::Hopeless(RefusalReason::Overloaded), RefusalReason::Overloaded ; "overloaded")]
#[test_case(Refusal::QueuedUntilDeadline, RefusalReason::DeadlinePassed ; "queued")]
#[test_case(Refusal::ProcessEnds, RefusalReason::Stopping ; "process ends")]
fn lost_refused(refusal: Refusal, reason: RefusalReason) {
    let effect = end_attempt(&mut sent(), LeaveReason::Lost, refusal);
    assert!(refused(reason, false)(&effect), "{effect:?}");
}

/// A stream that has begun is aborted, so that its caller can resume it.
#[test_case(Refusal::NoRetry, RefusalReason::AnswerLost ; "no retry")]
#[test_case(Refusal::NoEndpoint, RefusalReason::NoEndpoint ; "no endpoint")]
#[test_case(Refusal::Hopeless(RefusalReason::Stopping), RefusalReason::Hopeless ; "stopping")]
#[test_case(Refusal::QueuedUntilDeadline, RefusalReason::DeadlinePassed ; "queued")]
#[test_case(Refusal::ProcessEnds, RefusalReason::Stopping ; "process ends")]
fn lost_aborted(refusal: Refusal, reason: RefusalReason) {
    let effect = end_attempt(&mut begun(), LeaveReason::Lost, refusal);
    assert!(aborted(reason)(&effect), "{effect:?}");
}

/// A request that no endpoint has run is refused as not run.
#[test_matrix(
    [LeaveReason::Rejected, LeaveReason::Unsent],
    [Refusal::NoRetry, Refusal::NoEndpoint, Refusal::Hopeless(RefusalReason::Stopping), Refusal::ProcessEnds]
)]
fn not_run_refused(reason: LeaveReason, refusal: Refusal) {
    let effect = end_attempt(&mut sent(), reason, refusal);
    let is_not_run = matches!(effect, ExchangeEffect::Refuse { not_run: true, .. });
    assert!(is_not_run, "{effect:?}");
}

/// An endpoint's error response is forwarded whatever refuses the next place.
#[test_matrix([
    Refusal::NoRetry,
    Refusal::NoEndpoint,
    Refusal::Hopeless(RefusalReason::Stopping),
    Refusal::Hopeless(RefusalReason::Quarantined),
    Refusal::QueuedUntilDeadline,
    Refusal::ProcessEnds,
])]
fn error_response_forwarded(refusal: Refusal) {
    let effect = end_attempt(&mut sent(), LeaveReason::Errored, refusal);
    assert!(
        matches!(effect, ExchangeEffect::ForwardResponse),
        "{effect:?}"
    );
}

/// A request that has left a silent endpoint and was not run by the next one waits: the silent
/// one may take it back.
#[test_matrix(
    [sent as fn() -> Exchange, begun],
    [LeaveReason::Rejected, LeaveReason::Unsent]
)]
fn moved_request_not_run_waits(start: fn() -> Exchange, reason: LeaveReason) {
    let mut exchange = moved(start);
    let input = match reason {
        LeaveReason::Unsent => ExchangeInput::Unsent { may_retry: false },
        _ => ExchangeInput::Answered {
            class: ResponseClass::NotRun,
            may_retry: false,
        },
    };
    let effects = exchange.handle(at(600), input);
    assert!(effects.is_empty(), "{effects:?}");
    assert_eq!(exchange.state(), ExchangeState::AwaitingRetry);
    let effects = exchange.expire(at(2_500), false, NextStep::Retry);
    assert!(matches!(effects[..], [ExchangeEffect::Place { .. }]));
    // No other endpoint is eligible, and the first one is so again.
    exchange.handle(at(2_500), ExchangeInput::PlacementFailed);
    let effects = exchange.expire(at(2_525), false, NextStep::Stay);
    let [ExchangeEffect::Place { excluded, .. }] = &effects[..] else {
        panic!("{effects:?}");
    };
    assert_eq!(*excluded, [choice(2).endpoint.key.clone()]);
}

/// After a long silence a request also leaves for the queue, and not before.
#[test_case(2_499, false ; "sound endpoint")]
#[test_case(2_500, true ; "lost endpoint")]
fn silent_endpoint_left_for_queue(at_ms: u64, is_left: bool) {
    let mut exchange = sent();
    exchange.expire(at(400), false, NextStep::Stay);
    let input = ExchangeInput::ProbeFailed {
        failure: ProbeFailure::Silent,
        next: NextStep::Retry,
    };
    assert_eq!(exchange.is_given_up(at(at_ms)), is_left);
    let effects = exchange.handle(at(at_ms), input);
    let places = matches!(effects[..], [ExchangeEffect::Place { .. }]);
    assert_eq!(places, is_left, "{effects:?}");
}

/// An endpoint that answers some probes, and never for long enough to show the request, is given
/// up like a silent one.
#[test]
fn unclear_reports_no_presence() {
    let mut exchange = sent();
    let mut is_answered = false;
    while exchange.next_deadline() < at(2_500) {
        let now = exchange.next_deadline();
        let effects = exchange.expire(now, false, NextStep::Stay);
        is_answered = !is_answered && matches!(effects[..], [ExchangeEffect::Probe]);
        if is_answered {
            exchange.handle(now, ExchangeInput::ProbeUnclear);
        }
        assert!(!exchange.is_given_up(now), "{now}");
    }
    assert!(exchange.is_given_up(at(2_500)));
}
