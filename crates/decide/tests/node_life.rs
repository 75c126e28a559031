//! Tests of a node's lifecycle from start to planned stop.

use parsleylatch_decide::node_life::{NodeEffect, NodeEvent, NodeLifecycle, NodeState};
use parsleylatch_types::{Millis, MonoTime};

fn serving() -> NodeLifecycle {
    let mut lifecycle = NodeLifecycle::new(MonoTime::ZERO);
    let effects = lifecycle.handle(MonoTime::ZERO, NodeEvent::Configured);
    assert_eq!(effects, [NodeEffect::AnnounceReady]);
    lifecycle
}

#[test]
fn handle_stop_while_idle() {
    let mut lifecycle = serving();
    let effects = lifecycle.handle(MonoTime::ZERO, NodeEvent::StopRequested);
    assert_eq!(effects, [NodeEffect::AnnounceNotReady]);
    // Even an idle node gives the load balancer time to detect that it is not ready.
    assert_eq!(lifecycle.handle(MonoTime::ZERO, NodeEvent::Idle), []);
    let detected_at = lifecycle.next_deadline().unwrap();
    assert_eq!(lifecycle.expire(detected_at), [NodeEffect::RefuseNew]);
    assert_eq!(
        lifecycle.handle(detected_at, NodeEvent::Idle),
        [NodeEffect::Stop]
    );
    assert_eq!(lifecycle.state(), NodeState::Stopped);
}

#[test]
fn handle_stop_under_load() {
    let mut lifecycle = serving();
    lifecycle.handle(MonoTime::ZERO, NodeEvent::StopRequested);
    let detected_at = lifecycle.next_deadline().unwrap();
    lifecycle.expire(detected_at);
    let drain_deadline = lifecycle.next_deadline().unwrap();
    assert_eq!(
        lifecycle.expire(drain_deadline),
        [NodeEffect::MoveGenerations]
    );
    assert_eq!(
        lifecycle.handle(drain_deadline, NodeEvent::StopRequested),
        []
    );
    assert_eq!(
        lifecycle.handle(drain_deadline + Millis::new(1), NodeEvent::Idle),
        [NodeEffect::Stop]
    );
}

#[test]
fn expire_hand_over_is_bounded() {
    let mut lifecycle = serving();
    lifecycle.handle(MonoTime::ZERO, NodeEvent::StopRequested);
    let mut now = MonoTime::ZERO;
    while let Some(deadline) = lifecycle.next_deadline() {
        now = deadline;
        lifecycle.expire(now);
    }
    assert_eq!(lifecycle.state(), NodeState::Stopped);
    assert!(now <= MonoTime::ZERO + Millis::new(10_000));
}

#[test]
fn handle_stop_before_configured() {
    let mut lifecycle = NodeLifecycle::new(MonoTime::ZERO);
    assert_eq!(
        lifecycle.handle(MonoTime::ZERO, NodeEvent::StopRequested),
        [NodeEffect::Stop]
    );
}
