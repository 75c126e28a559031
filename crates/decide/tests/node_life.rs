//! A node's life from start to planned stop.

use parsleylatch_decide::node_life::{NodeEffect, NodeEvent, NodeLife, NodeState};
use parsleylatch_types::{Millis, MonoTime};

fn serving() -> NodeLife {
    let mut life = NodeLife::new(MonoTime::ZERO);
    let effects = life.handle(MonoTime::ZERO, NodeEvent::Configured);
    assert_eq!(effects, [NodeEffect::AnnounceReady]);
    life
}

#[test]
fn handle_stop_while_idle() {
    let mut life = serving();
    let effects = life.handle(MonoTime::ZERO, NodeEvent::StopRequested);
    assert_eq!(effects, [NodeEffect::AnnounceNotReady]);
    // Idle or not, the balancer gets its time to see the notice.
    assert_eq!(life.handle(MonoTime::ZERO, NodeEvent::Idle), []);
    let noticed = life.next_deadline().unwrap();
    assert_eq!(life.expire(noticed), [NodeEffect::RefuseNew]);
    assert_eq!(life.handle(noticed, NodeEvent::Idle), [NodeEffect::Stop]);
    assert_eq!(life.state(), NodeState::Stopped);
}

#[test]
fn handle_stop_under_load() {
    let mut life = serving();
    life.handle(MonoTime::ZERO, NodeEvent::StopRequested);
    let noticed = life.next_deadline().unwrap();
    life.expire(noticed);
    let finished = life.next_deadline().unwrap();
    assert_eq!(life.expire(finished), [NodeEffect::MoveGenerations]);
    assert_eq!(life.handle(finished, NodeEvent::StopRequested), []);
    assert_eq!(
        life.handle(finished + Millis::new(1), NodeEvent::Idle),
        [NodeEffect::Stop]
    );
}

#[test]
fn expire_hand_over_is_bounded() {
    let mut life = serving();
    life.handle(MonoTime::ZERO, NodeEvent::StopRequested);
    let mut now = MonoTime::ZERO;
    while let Some(deadline) = life.next_deadline() {
        now = deadline;
        life.expire(now);
    }
    assert_eq!(life.state(), NodeState::Stopped);
    assert!(now <= MonoTime::ZERO + Millis::new(10_000));
}

#[test]
fn handle_stop_before_configured() {
    let mut life = NodeLife::new(MonoTime::ZERO);
    assert_eq!(
        life.handle(MonoTime::ZERO, NodeEvent::StopRequested),
        [NodeEffect::Stop]
    );
}
