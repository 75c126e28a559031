//! Decisions on single calls.

use std::collections::HashMap;

use parsleylatch_decide::relay::{
    CallAdmission, CallLimit, CallLimitState, CallPlan, CallQueue, EndpointEntry, EndpointKey,
    EndpointOwnership, EndpointTable, LoadSample, QueuedCall, SelectionCriteria, Selector,
};
use parsleylatch_types::{
    ByteCount, Incarnation, Micros, Millis, MonoTime, Rank, ServiceName, Share, SlotCount,
};
use test_case::test_case;

const GOAL_MS: Millis = Millis::new(300);
const NO_CEILING: Micros = Micros::new(u64::MAX);

fn at(millis: u64) -> MonoTime {
    MonoTime::ZERO + Millis::new(millis)
}

fn queued(rank: u8, is_retry: bool, deadline_ms: u64) -> QueuedCall {
    QueuedCall {
        rank: Rank::new(rank),
        is_retry,
        goal_ms: GOAL_MS,
        deadline: at(deadline_ms),
        body_bytes: ByteCount::new(500),
        waits_since: at(0),
    }
}

/// Guards against retries that delay first attempts, and low ranks that delay high ones.
#[test]
fn queue_order_rank_then_first_attempts_then_deadline() {
    let mut queue = CallQueue::default();
    let calls = [
        queued(2, false, 500),
        queued(0, true, 400),
        queued(0, false, 900),
        queued(0, false, 800),
    ];
    for call in calls {
        queue.push(at(0), call).unwrap();
    }
    let order: Vec<_> = std::iter::from_fn(|| queue.take_next())
        .map(|(_, it)| (it.rank.get(), it.is_retry, it.deadline))
        .collect();
    let expected = [
        (0, false, at(800)),
        (0, false, at(900)),
        (0, true, at(400)),
        (2, false, at(500)),
    ];
    assert_eq!(order, expected);
}

/// Guards against calls that wait for longer than an eighth of their goal, or too many bytes.
#[test]
fn queue_wait_bounded() {
    let mut queue = CallQueue::default();
    let call = queued(0, false, 900);
    assert_eq!(call.waits_until(), at(37));
    assert!(queue.push(at(37), call).is_none());
    let large = QueuedCall {
        body_bytes: ByteCount::new(2 << 20),
        ..call
    };
    assert!(queue.push(at(0), large).is_none());
    for _ in 0..64 {
        assert!(queue.push(at(0), call).is_some());
    }
    assert!(queue.push(at(0), call).is_none());
}

/// Guards against a limit that a short crowd on a calm day puts in force.
#[test]
fn limit_short_crowd_ignored() {
    let mut limit = CallLimit::start(at(0));
    for time in [0, 50, 90] {
        limit.record(at(time), Micros::new(400_000), GOAL_MS, NO_CEILING);
    }
    limit.record(at(120), Micros::new(60_000), GOAL_MS, NO_CEILING);
    assert_eq!(limit.state(), CallLimitState::Open);
    assert!(limit.admits(0.999));
}

/// Guards against a limit that does not react to a lasting crowd, or reacts to the queues of
/// endpoints that are about to reject calls only once calls are late.
#[test_case(400_000, NO_CEILING ; "late responses")]
#[test_case(80_000, Micros::new(60_000) ; "queues nearly full")]
fn limit_lasting_crowd_refuses(predicted_us: u64, ceiling: Micros) {
    let mut limit = CallLimit::start(at(0));
    for time in (0..3_000).step_by(50) {
        limit.record(at(time), Micros::new(predicted_us), GOAL_MS, ceiling);
    }
    assert_eq!(limit.state(), CallLimitState::Limiting);
    assert!(!limit.admits(0.5));
    assert!(
        limit.admits(0.0),
        "some calls show whether the service has room"
    );
}

/// Guards against a limit that is never lifted because all calls are refused.
#[test]
fn limit_without_responses_lifted() {
    let mut limit = CallLimit::start(at(0));
    for time in (0..5_000).step_by(50) {
        limit.record(at(time), Micros::new(500_000), GOAL_MS, NO_CEILING);
    }
    for time in (5_000..20_000).step_by(100) {
        limit.pass_time(at(time));
    }
    assert_eq!(limit.state(), CallLimitState::Open);
    assert_eq!(limit.share(), Share::new(1_000_000));
}

fn key(number: u16) -> EndpointKey {
    EndpointKey {
        id: format!("i-{number}").parse().unwrap(),
        incarnation: Incarnation::new(1),
    }
}

/// Two endpoints of the service `s`.
fn table() -> EndpointTable {
    let entries = [0, 1].map(|number| {
        EndpointEntry {
            key: key(number),
            service: "s".parse().unwrap(),
            address: ([127, 0, 0, 1], 1_000 + number).into(),
            failure_domain: "a".parse().unwrap(),
            version: "v1".parse().unwrap(),
            slots: SlotCount::new(6),
            is_leaving: false,
        }
        .into()
    });
    let ownership = EndpointOwnership {
        own: &"n-0".parse().unwrap(),
        nodes: &[].into(),
        regions: &HashMap::new(),
    };
    let mut table = EndpointTable::new();
    table.update(at(0), entries.iter(), ownership);
    table
}

/// Records a response of an endpoint with six slots.
fn respond(
    admission: &mut CallAdmission,
    time_ms: u64,
    number: u16,
    waiting: u32,
    took: Option<u64>,
) {
    let load = LoadSample {
        running: 6,
        waiting,
        ..LoadSample::default()
    };
    let slots = SlotCount::new(6);
    let latency = took.map(|it| Millis::new(it).micros());
    admission.record_response(
        at(time_ms),
        &key(number),
        slots,
        Some(load),
        latency,
        GOAL_MS,
    );
}

struct Planner {
    admission: CallAdmission,
    table: EndpointTable,
    selector: Selector,
    service: ServiceName,
}

impl Planner {
    fn start() -> Self {
        let (domain, region) = ("a".parse().unwrap(), "r".parse().unwrap());
        Self {
            admission: CallAdmission::start(at(0)),
            table: table(),
            selector: Selector::new(domain, region, HashMap::new(), 1),
            service: "s".parse().unwrap(),
        }
    }

    fn plan(&mut self, time_ms: u64, call: &QueuedCall) -> CallPlan {
        let criteria = SelectionCriteria::any_call(&self.service);
        let (table, selector) = (&self.table, &mut self.selector);
        self.admission
            .plan(at(time_ms), table, selector, &criteria, call, 0.5)
    }

    fn take_planned(&mut self, time_ms: u64) -> Vec<CallPlan> {
        let criteria = SelectionCriteria::any_call(&self.service);
        let (table, selector) = (&self.table, &mut self.selector);
        let planned = self
            .admission
            .take_planned(at(time_ms), table, selector, &criteria);
        planned.into_iter().map(|(_, plan)| plan).collect()
    }

    fn next_turn(&self, time_ms: u64) -> Option<MonoTime> {
        let criteria = SelectionCriteria::any_call(&self.service);
        self.admission
            .next_turn(at(time_ms), &self.table, &criteria)
    }
}

/// Guards against calls that are delayed where no endpoint reports its load.
#[test]
fn plan_without_reports_unrestricted() {
    let mut planner = Planner::start();
    let call = queued(0, false, 900);
    assert_eq!(planner.plan(0, &call), CallPlan::Unrestricted);
    respond(&mut planner.admission, 0, 0, 0, Some(60));
    assert!(matches!(planner.plan(10, &call), CallPlan::Send(_)));
    assert_eq!(planner.plan(5_000, &call), CallPlan::Unrestricted);
}

/// Guards against a rejected call that is sent from one full endpoint to the next, or refused
/// while it may wait, or that waits although an endpoint is presumed to have room again.
#[test]
fn plan_all_rejected_waits() {
    let mut planner = Planner::start();
    respond(&mut planner.admission, 0, 0, 0, Some(60));
    respond(&mut planner.admission, 0, 1, 24, None);
    let call = QueuedCall {
        waits_since: at(30),
        ..queued(0, true, 900)
    };
    assert_eq!(planner.plan(30, &call), CallPlan::Send(key(0)));
    respond(&mut planner.admission, 30, 0, 24, None);
    assert_eq!(planner.plan(30, &call), CallPlan::Wait);
    planner.admission.enqueue(at(30), call).unwrap();
    assert_eq!(planner.take_planned(40), []);
    assert_eq!(planner.next_turn(40), Some(at(50)));
    assert_eq!(planner.take_planned(50), [CallPlan::Send(key(1))]);
    assert_eq!(planner.next_turn(50), None);
}

/// Guards against a call that waits for longer than an eighth of its goal.
#[test]
fn plan_rejected_for_long_refused() {
    let mut planner = Planner::start();
    respond(&mut planner.admission, 0, 0, 0, Some(60));
    for number in [0, 1] {
        respond(&mut planner.admission, 30, number, 24, None);
    }
    let call = QueuedCall {
        waits_since: at(30),
        ..queued(0, true, 900)
    };
    planner.admission.enqueue(at(30), call).unwrap();
    assert_eq!(planner.next_turn(30), Some(at(67)));
    let planned = planner.take_planned(67);
    assert!(
        matches!(planned[..], [CallPlan::Crowded { .. }]),
        "{planned:?}"
    );
}

/// Guards against a call that is sent to a queue that it would leave before its turn, and
/// against a refusal where no call waits.
#[test_case(24, 40, true ; "long queues")]
#[test_case(24, 900, false ; "long queues and a late deadline")]
#[test_case(0, 40, false ; "no queue")]
fn plan_close_deadline_hopeless(waiting: u32, deadline_ms: u64, is_hopeless: bool) {
    let mut planner = Planner::start();
    let took_ms = 60 * (1 + u64::from(waiting) / 6);
    for number in [0, 1] {
        respond(&mut planner.admission, 0, number, waiting, Some(took_ms));
    }
    let plan = planner.plan(5, &queued(0, false, deadline_ms));
    assert_eq!(
        matches!(plan, CallPlan::Hopeless { .. }),
        is_hopeless,
        "{plan:?}"
    );
}
