//! Lifecycle of a relay: planned stops.

use parsleylatch_decide::relay::{
    CallerActivity, RelayEffect, RelayEvent, RelayLifecycle, RelayState, log_flush_time,
    may_close_listener,
};
use parsleylatch_types::{Micros, Millis, MonoTime};
use test_case::test_case;

fn at(millis: u64) -> MonoTime {
    MonoTime::ZERO + Millis::new(millis)
}

#[test]
fn lifecycle_planned_stop() {
    let mut lifecycle = RelayLifecycle::new(at(0), Millis::new(8_000));
    assert_eq!(
        lifecycle.handle(at(5), RelayEvent::Initialized),
        [RelayEffect::AnnounceReady]
    );
    let effects = lifecycle.handle(at(1_000), RelayEvent::StopRequested);
    assert_eq!(effects, [RelayEffect::AnnounceNotReady]);
    // The balancer may still send requests, so an idle relay must not stop yet.
    assert!(lifecycle.handle(at(1_100), RelayEvent::Idle).is_empty());
    let detection_ends_at = lifecycle.next_deadline().unwrap();
    assert_eq!(
        lifecycle.expire(detection_ends_at),
        [RelayEffect::CloseIdle]
    );
    // Requests that are still in flight have until shortly before the kill.
    let closes_at = lifecycle.next_deadline().unwrap();
    assert_eq!(lifecycle.expire(closes_at), [RelayEffect::StopAccepting]);
    let closed_at = closes_at + Millis::new(1);
    let effects = lifecycle.handle(closed_at, RelayEvent::ListenersClosed);
    assert!(effects.is_empty());
    let end = lifecycle.next_deadline().unwrap();
    assert!(end > at(8_700), "requests are cut at {end}");
    assert!(end < at(9_000), "the platform kills at 9,000 ms");
    // Streams that are sent in the first 3 s of a stop may be cut at its end.
    let accepts_until = lifecycle.accepts_streams_until();
    assert!(accepts_until > at(3_000) && accepts_until <= at(3_700));
    // All responses are due early enough to be written.
    let respond_by = lifecycle.response_deadline().unwrap();
    assert!(
        end.since(respond_by) >= Millis::new(200).micros(),
        "{respond_by}"
    );
    assert_eq!(lifecycle.expire(end), [RelayEffect::Stop]);
    assert_eq!(lifecycle.state(), RelayState::Stopped);
}

#[test]
fn lifecycle_stop_when_idle() {
    let mut lifecycle = RelayLifecycle::new(at(0), Millis::new(8_000));
    lifecycle.handle(at(5), RelayEvent::Initialized);
    lifecycle.handle(at(1_000), RelayEvent::StopRequested);
    let detection_ends_at = lifecycle.next_deadline().unwrap();
    lifecycle.expire(detection_ends_at);
    let effects = lifecycle.handle(detection_ends_at + Micros::new(1), RelayEvent::Idle);
    assert_eq!(effects, [RelayEffect::StopAccepting]);
    // Connections that were accepted last may still have requests, however long a traffic
    // thread takes to count them.
    let late = detection_ends_at + Millis::new(3_000);
    assert!(lifecycle.next_deadline().unwrap() > late);
    assert!(lifecycle.handle(late, RelayEvent::Idle).is_empty());
    let effects = lifecycle.handle(late, RelayEvent::ListenersClosed);
    assert!(effects.is_empty());
    let effects = lifecycle.handle(late, RelayEvent::Idle);
    assert_eq!(effects, [RelayEffect::Stop]);
}

/// A relay that becomes idle just before it is killed still exits by itself.
#[test_case(true ; "listeners closed")]
#[test_case(false ; "traffic thread without progress")]
fn lifecycle_idle_before_kill(closes_listeners: bool) {
    let mut lifecycle = RelayLifecycle::new(at(0), Millis::new(8_000));
    lifecycle.handle(at(5), RelayEvent::Initialized);
    lifecycle.handle(at(1_000), RelayEvent::StopRequested);
    lifecycle.expire(lifecycle.next_deadline().unwrap());
    let effects = lifecycle.handle(at(8_700), RelayEvent::Idle);
    assert_eq!(effects, [RelayEffect::StopAccepting]);
    if closes_listeners {
        let effects = lifecycle.handle(at(8_710), RelayEvent::ListenersClosed);
        assert!(effects.is_empty());
    }
    let end = lifecycle.next_deadline().unwrap();
    assert!(end < at(9_000), "the platform kills at 9,000 ms");
    assert_eq!(lifecycle.expire(end), [RelayEffect::Stop]);
}

/// A relay without requests keeps its listeners while callers connect, and for a second after.
#[test]
fn lifecycle_stop_while_callers_connect() {
    let mut lifecycle = RelayLifecycle::new(at(0), Millis::new(8_000));
    lifecycle.handle(at(5), RelayEvent::Initialized);
    lifecycle.handle(at(1_000), RelayEvent::StopRequested);
    lifecycle.expire(lifecycle.next_deadline().unwrap());
    for connected_ms in [4_199, 4_900, 5_300] {
        lifecycle.set_activity(CallerActivity {
            accepted_at: at(connected_ms),
            ..CallerActivity::default()
        });
        let now = at(connected_ms + 2);
        let mut effects = lifecycle.expire(now);
        effects.extend(lifecycle.handle(now, RelayEvent::Idle));
        assert!(!effects.contains(&RelayEffect::StopAccepting));
        let looks_at = lifecycle.next_deadline().unwrap();
        assert!(looks_at <= at(connected_ms + 1_000), "{looks_at}");
    }
    let mut effects = Vec::new();
    while lifecycle.next_deadline().unwrap() < at(6_300) {
        let now = lifecycle.next_deadline().unwrap();
        effects.extend(lifecycle.expire(now));
        effects.extend(lifecycle.handle(now, RelayEvent::Idle));
    }
    assert!(
        !effects.contains(&RelayEffect::StopAccepting),
        "{effects:?}"
    );
    let effects = lifecycle.expire(at(6_300));
    assert_eq!(effects, [RelayEffect::StopAccepting]);
}

/// Callers that connect again and again are accepted until shortly before responses are due.
#[test]
fn lifecycle_stop_while_callers_connect_until_end() {
    let mut lifecycle = RelayLifecycle::new(at(0), Millis::new(8_000));
    lifecycle.handle(at(5), RelayEvent::Initialized);
    lifecycle.handle(at(1_000), RelayEvent::StopRequested);
    let mut closes_at = None;
    for now in (1_000..9_000).map(at) {
        lifecycle.set_activity(CallerActivity {
            accepted_at: now,
            ..CallerActivity::default()
        });
        let mut effects = lifecycle.expire(now);
        effects.extend(lifecycle.handle(now, RelayEvent::Idle));
        if effects.contains(&RelayEffect::StopAccepting) {
            closes_at = Some(now);
            break;
        }
    }
    let accepts_until = lifecycle.accepts_until().unwrap();
    let respond_by = lifecycle.response_deadline().unwrap();
    assert!(closes_at.unwrap() < accepts_until);
    assert!(closes_at.unwrap() > at(7_900), "{closes_at:?}");
    // Requests of the connections that are accepted last arrive a little later.
    assert!(respond_by.since(accepts_until) >= Millis::new(200).micros());
    assert!(!may_close_listener(
        closes_at.unwrap(),
        false,
        accepts_until
    ));
    assert!(may_close_listener(closes_at.unwrap(), true, accepts_until));
    assert!(may_close_listener(accepts_until, false, accepts_until));
}

/// A process that stands still for the last part of a stop ends before the kill, and not before
/// its traffic threads had time to send what is due.
#[test_case(1_500 ; "not ready")]
#[test_case(5_000 ; "draining")]
#[test_case(8_600 ; "just before its end")]
fn lifecycle_pause_at_end_of_stop(paused_ms: u64) {
    let mut lifecycle = RelayLifecycle::new(at(0), Millis::new(8_000));
    lifecycle.handle(at(5), RelayEvent::Initialized);
    lifecycle.handle(at(1_000), RelayEvent::StopRequested);
    lifecycle.set_activity(CallerActivity {
        in_flight: 1,
        unanswered: 1,
        accepted_at: at(1_000),
        ..CallerActivity::default()
    });
    while lifecycle.next_deadline().unwrap() < at(paused_ms) {
        let effects = lifecycle.expire(lifecycle.next_deadline().unwrap());
        if effects.contains(&RelayEffect::StopAccepting) {
            lifecycle.handle(at(paused_ms), RelayEvent::ListenersClosed);
        }
    }
    let woken_at = at(8_840);
    let mut effects = Vec::new();
    while lifecycle.next_deadline().unwrap() <= woken_at {
        effects.extend(lifecycle.expire(woken_at));
    }
    if effects.contains(&RelayEffect::StopAccepting) {
        lifecycle.handle(woken_at, RelayEvent::ListenersClosed);
    }
    assert!(!effects.contains(&RelayEffect::Stop), "{effects:?}");
    let mut ends_at = woken_at;
    while let Some(deadline) = lifecycle.next_deadline() {
        ends_at = deadline;
        effects.extend(lifecycle.expire(deadline));
    }
    assert_eq!(effects.last(), Some(&RelayEffect::Stop));
    assert!(ends_at.since(woken_at) >= Millis::new(90).micros());
    assert!(ends_at < at(9_000), "the platform kills at 9,000 ms");
}

/// The last lines of a log that nobody reads were awaited beyond the kill, if the process ended at
/// the last moment.
#[test_case(1_000, 100 ; "in time")]
#[test_case(8_750, 100 ; "at the end of the stop")]
#[test_case(8_950, 10 ; "at the last moment")]
#[test_case(8_975, 10 ; "after it")]
fn log_flush_time_before_kill(now_ms: u64, least_ms: u64) {
    let mut lifecycle = RelayLifecycle::new(at(0), Millis::new(8_000));
    assert_eq!(lifecycle.log_written_by(), None);
    lifecycle.handle(at(5), RelayEvent::Initialized);
    lifecycle.handle(at(1_000), RelayEvent::StopRequested);
    let written_by = lifecycle.log_written_by().unwrap();
    let flush_time = log_flush_time(at(now_ms), written_by);
    assert!(flush_time >= Millis::new(least_ms), "{flush_time}");
    assert!(at(now_ms) + flush_time < at(9_000), "{flush_time}");
    assert_eq!(log_flush_time(at(now_ms), MonoTime::MAX), Millis::new(100));
}

/// A response that was decided just before the end is sent, and one that its caller does not read
/// doesn't prolong the stop.
#[test_case(1, 0, true ; "unanswered")]
#[test_case(0, 8_740, true ; "answered just before")]
#[test_case(0, 8_600, false ; "not read")]
fn lifecycle_unsent_response_prolongs_stop(unanswered: usize, answered_ms: u64, prolongs: bool) {
    let mut lifecycle = RelayLifecycle::new(at(0), Millis::new(8_000));
    lifecycle.handle(at(5), RelayEvent::Initialized);
    lifecycle.handle(at(1_000), RelayEvent::StopRequested);
    lifecycle.set_activity(CallerActivity {
        in_flight: 1,
        unanswered,
        accepted_at: at(1_000),
        answered_at: at(answered_ms),
    });
    while lifecycle.state() != RelayState::Closing {
        lifecycle.expire(lifecycle.next_deadline().unwrap());
    }
    lifecycle.handle(at(8_010), RelayEvent::ListenersClosed);
    let end = lifecycle.next_deadline().unwrap();
    let is_stopped = lifecycle.expire(end) == [RelayEffect::Stop];
    assert_eq!(is_stopped, !prolongs);
    if prolongs {
        let effects = lifecycle.handle(end + Millis::new(5), RelayEvent::Idle);
        assert_eq!(effects, [RelayEffect::Stop]);
    }
}

/// A stop keeps the times with which it has begun when the settings change, or it is requested
/// again.
#[test_case(30_000 ; "longer")]
#[test_case(4_000 ; "shorter")]
fn lifecycle_settings_changed_during_stop(stop_ms: u64) {
    let end_of = |changed: Option<Millis>| {
        let mut lifecycle = RelayLifecycle::new(at(0), Millis::new(8_000));
        lifecycle.handle(at(5), RelayEvent::Initialized);
        lifecycle.handle(at(1_000), RelayEvent::StopRequested);
        if let Some(changed) = changed {
            lifecycle.set_stop_limit(changed);
            lifecycle.handle(at(1_500), RelayEvent::StopRequested);
        }
        lifecycle.set_activity(CallerActivity {
            in_flight: 1,
            unanswered: 1,
            accepted_at: at(1_000),
            ..CallerActivity::default()
        });
        let mut times = Vec::new();
        while let Some(deadline) = lifecycle.next_deadline() {
            let effects = lifecycle.expire(deadline);
            if effects.contains(&RelayEffect::StopAccepting) {
                lifecycle.handle(deadline, RelayEvent::ListenersClosed);
            }
            times.push((deadline, effects));
        }
        (times, lifecycle.response_deadline())
    };
    assert_eq!(end_of(Some(Millis::new(stop_ms))), end_of(None));
}

/// A relay that has not started yet may have accepted callers, and ends before the kill.
#[test]
fn lifecycle_stop_while_starting() {
    let mut lifecycle = RelayLifecycle::new(at(0), Millis::new(8_000));
    let effects = lifecycle.handle(at(1_000), RelayEvent::StopRequested);
    assert_eq!(effects, [RelayEffect::AnnounceNotReady]);
    assert!(
        lifecycle
            .handle(at(1_100), RelayEvent::Initialized)
            .is_empty()
    );
    let mut effects = Vec::new();
    let mut ends_at = MonoTime::ZERO;
    while let Some(deadline) = lifecycle.next_deadline() {
        ends_at = deadline;
        effects.extend(lifecycle.expire(deadline));
    }
    assert_eq!(effects.last(), Some(&RelayEffect::Stop));
    assert!(ends_at < at(9_000), "the platform kills at 9,000 ms");
}
