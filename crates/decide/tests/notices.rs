//! What endpoints say in their responses about further requests.

use parsleylatch_decide::relay::{EndpointKey, EndpointNotices, Notice, NoticeState, return_delay};
use parsleylatch_types::{Incarnation, Micros, Millis, MonoTime};
use proptest::prelude::*;
use test_case::test_case;

fn at(millis: u64) -> MonoTime {
    MonoTime::ZERO + Millis::new(millis)
}

fn key(incarnation: u64) -> EndpointKey {
    EndpointKey {
        id: "i-1".parse().unwrap(),
        incarnation: Incarnation::new(incarnation),
    }
}

fn pause(millis: u64) -> Notice {
    Notice::Pause(Millis::new(millis))
}

/// An endpoint gets the whole pause that it asks for, also one that is longer than callers
/// wait.
#[test_case(600 ; "short")]
#[test_case(40_000 ; "longer than callers wait")]
#[test_case(300_000 ; "minutes")]
fn pause_granted(pause_ms: u64) {
    let mut notices = EndpointNotices::default();
    notices.record(at(100), &key(1), pause(pause_ms));
    let resumes_at = 100 + pause_ms;
    assert_eq!(
        notices.state(at(resumes_at - 1), &key(1)),
        NoticeState::Paused
    );
    assert_eq!(notices.resumes_at(at(200), &key(1)), Some(at(resumes_at)));
    assert_eq!(notices.state(at(resumes_at), &key(1)), NoticeState::Open);
}

/// No endpoint is given up for good because of an absurd number.
#[test]
fn pause_bounded() {
    let mut notices = EndpointNotices::default();
    let granted = notices.record(at(0), &key(1), pause(u64::MAX));
    assert_eq!(granted, Some((NoticeState::Paused, Millis::new(600_000))));
    assert_eq!(notices.state(at(600_000), &key(1)), NoticeState::Open);
}

/// A shorter pause does not end a longer one: the requests that were on their way when the
/// endpoint asked for it are rejected with what is left, or with less.
#[test_case(1_000, 40_000 ; "shorter")]
#[test_case(60_000, 60_100 ; "longer")]
fn pause_asked_again(again_ms: u64, resumes_ms: u64) {
    let mut notices = EndpointNotices::default();
    notices.record(at(0), &key(1), pause(40_000));
    notices.record(at(100), &key(1), pause(again_ms));
    assert_eq!(notices.resumes_at(at(200), &key(1)), Some(at(resumes_ms)));
}

/// Whatever else an endpoint says, it stays away once it leaves; its successor does not.
#[test_case(&[Notice::Leaving, pause(10)] ; "pause after leaving")]
#[test_case(&[pause(10), Notice::Leaving] ; "leaving within a pause")]
fn leaving_is_final(notices_in_order: &[Notice]) {
    let mut notices = EndpointNotices::default();
    for notice in notices_in_order {
        notices.record(at(0), &key(1), *notice);
    }
    assert_eq!(notices.state(at(3_600_000), &key(1)), NoticeState::Leaving);
    assert!(notices.is_leaving(&key(1)));
    assert_eq!(notices.state(at(0), &key(2)), NoticeState::Open);
}

proptest! {
    /// Callers come back after the first endpoint resumes, within as long again, and not
    /// after their deadline.
    #[test]
    fn return_delay_bounds(wait_ms in 1_u64..60_000, left_ms in 1_u64..60_000, draw in 0.0..1.0) {
        let wait = Millis::new(wait_ms).micros();
        let delay = return_delay(wait, Millis::new(left_ms).micros(), draw);
        prop_assert!(delay.get() <= left_ms);
        prop_assert!(delay.get() > wait_ms || delay.get() == left_ms);
        prop_assert!(delay.get() <= 2 * wait_ms + 1);
    }
}

/// Callers that are rejected together do not come back together.
#[test]
fn return_delay_spread() {
    let wait = Micros::new(2_000_000);
    let mut delays: Vec<u64> = (0..20)
        .map(|number| f64::from(number) / 20.0)
        .map(|draw| return_delay(wait, Micros::new(60_000_000), draw).get())
        .collect();
    delays.dedup();
    assert_eq!(delays.len(), 20);
    assert!(delays[19] - delays[0] >= 1_800);
}
