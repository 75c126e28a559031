//! Which requests count as lost: windows of planned work, exclusions and kept connections.

use parsleylatch_soak::{
    DisturbanceLog, EndedRequest, Invariant, LossJudge, RequestEnd, SETTLE_MS, Scope,
};
use parsleylatch_types::{EndpointId, Micros, Millis, MonoTime};
use test_case::test_case;

const RELAY: usize = 1;
const OTHER_RELAY: usize = 2;
/// Bounds of the relays under the soak.
const STOP_MS: u64 = 5_000;
const CONFIGURATION_MS: u64 = 2_500;
/// When planned work begins, after a time in which the relay is in touch.
const WORK_MS: u64 = 20_000;

fn at(time_ms: u64) -> MonoTime {
    MonoTime::ZERO + Millis::new(time_ms)
}

fn endpoint(name: &str) -> EndpointId {
    name.parse().unwrap()
}

/// A request that was passed on 5 ms after it was sent, and whose connection closed.
fn closed(sent_ms: u64, ended_ms: u64) -> EndedRequest {
    EndedRequest {
        id: format!("c-{sent_ms}"),
        relay: RELAY,
        is_kept: true,
        may_resume: false,
        sent_at: at(sent_ms),
        timeout_ms: Millis::new(4_000),
        passed_on: vec![(at(sent_ms + 5), endpoint("i-1"))],
        end: RequestEnd::Closed,
        ended_at: at(ended_ms),
        ran_us: Millis::new(ended_ms - sent_ms).micros(),
        finished_for: None,
    }
}

fn not_passed_on(request: EndedRequest) -> EndedRequest {
    EndedRequest {
        passed_on: Vec::new(),
        ..request
    }
}

fn invariants(judge: &mut LossJudge, log: &DisturbanceLog, request: &EndedRequest) -> Vec<String> {
    let losses = judge.record_end(log, request);
    losses.iter().map(|it| it.invariant.to_string()).collect()
}

fn is_planned_loss(judge: &mut LossJudge, log: &DisturbanceLog, request: &EndedRequest) -> bool {
    let planned = Invariant::PlannedWorkLoss.to_string();
    invariants(judge, log, request).contains(&planned)
}

/// A request counts from the signal until a second after the time limit of the stop.
#[test_case(WORK_MS - 300, WORK_MS - 1, false ; "before_signal")]
#[test_case(WORK_MS - 300, WORK_MS, true ; "at_signal")]
#[test_case(WORK_MS + 4_500, WORK_MS + STOP_MS + 1_000, true ; "end_of_window")]
#[test_case(WORK_MS + 4_500, WORK_MS + STOP_MS + 1_001, false ; "after_window")]
fn record_end_stop_window(sent_ms: u64, ended_ms: u64, is_loss: bool) {
    let mut judge = LossJudge::default();
    judge.record_stop(at(WORK_MS), RELAY);
    let request = closed(sent_ms, ended_ms);
    let log = DisturbanceLog::default();
    assert_eq!(is_planned_loss(&mut judge, &log, &request), is_loss);
}

#[test]
fn record_end_stop_of_other_relay() {
    let mut judge = LossJudge::default();
    judge.record_stop(at(WORK_MS), OTHER_RELAY);
    let request = closed(WORK_MS, WORK_MS + 300);
    assert!(!is_planned_loss(
        &mut judge,
        &DisturbanceLog::default(),
        &request
    ));
}

/// A request counts if it was sent up to the bound after the signal, and cut after it.
#[test_case(WORK_MS - 300, WORK_MS - 1, false ; "cut_before")]
#[test_case(WORK_MS - 300, WORK_MS + 1, true ; "cut_after")]
#[test_case(WORK_MS + CONFIGURATION_MS, WORK_MS + CONFIGURATION_MS + 2_000, true ; "sent_in_bound")]
#[test_case(WORK_MS + CONFIGURATION_MS + 1, WORK_MS + CONFIGURATION_MS + 300, false ; "sent_later")]
fn record_end_hang_up_window(sent_ms: u64, ended_ms: u64, is_loss: bool) {
    let mut judge = LossJudge::default();
    judge.record_hang_up(at(WORK_MS), RELAY);
    let request = closed(sent_ms, ended_ms);
    let log = DisturbanceLog::default();
    assert_eq!(is_planned_loss(&mut judge, &log, &request), is_loss);
}

/// A request counts from the sending of a configuration until a second after its bound, unless
/// it has used seven tenths of its time.
#[test_case(WORK_MS - 300, WORK_MS - 1, false ; "before_sending")]
#[test_case(WORK_MS - 300, WORK_MS, true ; "at_sending")]
#[test_case(WORK_MS + 3_500, WORK_MS + 50 + CONFIGURATION_MS + 1_000, true ; "end_of_window")]
#[test_case(WORK_MS + 3_500, WORK_MS + 51 + CONFIGURATION_MS + 1_000, false ; "after_window")]
#[test_case(WORK_MS, WORK_MS + 2_799, true ; "time_left")]
#[test_case(WORK_MS, WORK_MS + 2_800, false ; "time_used")]
fn finish_configuration_window(sent_ms: u64, ended_ms: u64, is_loss: bool) {
    let mut judge = LossJudge::default();
    judge.record_configuration(at(WORK_MS), at(WORK_MS + 50));
    let log = DisturbanceLog::default();
    assert!(!is_planned_loss(
        &mut judge,
        &log,
        &closed(sent_ms, ended_ms)
    ));
    assert_eq!(judge.finish().len(), usize::from(is_loss));
}

/// Losses beside a configuration count if they are over three times as frequent as at other
/// times.
#[test_case(0, true ; "none_otherwise")]
#[test_case(1, true ; "four_times_as_often")]
#[test_case(2, false ; "twice_as_often")]
fn finish_usual_losses(usual: u64, is_loss: bool) {
    let mut judge = LossJudge::default();
    judge.record_configuration(at(WORK_MS), at(WORK_MS));
    let log = DisturbanceLog::default();
    for turn in 0..10 {
        let beside = closed(WORK_MS + turn, WORK_MS + turn + 300);
        let other = closed(WORK_MS / 2 + turn, WORK_MS / 2 + turn + 300);
        for (mut request, lost) in [(beside, 4), (other, usual)] {
            if turn >= lost {
                request.end = RequestEnd::Complete;
            }
            request.is_kept = false;
            judge.record_end(&log, &request);
        }
    }
    assert_eq!(judge.finish().len(), if is_loss { 4 } else { 0 });
}

/// A request that was not passed on counts from the slack after its last byte on; time in which
/// the soak had no turn doesn't count.
#[test_case(200, 200, false ; "within_slack")]
#[test_case(201, 201, true ; "after_slack")]
#[test_case(900, 150, false ; "soak_held_up")]
fn record_end_not_passed_on(after_ms: u64, ran_ms: u64, is_loss: bool) {
    let mut judge = LossJudge::default();
    judge.record_stop(at(WORK_MS), RELAY);
    let mut request = not_passed_on(closed(WORK_MS + 100, WORK_MS + 100 + after_ms));
    request.ran_us = Millis::new(ran_ms).micros();
    let log = DisturbanceLog::default();
    assert_eq!(is_planned_loss(&mut judge, &log, &request), is_loss);
}

#[test_case(3_999, true ; "in_time")]
#[test_case(4_000, false ; "time_limit_reached")]
fn record_end_time_limit(after_ms: u64, is_loss: bool) {
    let mut judge = LossJudge::default();
    judge.record_stop(at(WORK_MS), RELAY);
    let request = closed(WORK_MS, WORK_MS + after_ms);
    let log = DisturbanceLog::default();
    assert_eq!(is_planned_loss(&mut judge, &log, &request), is_loss);
}

/// An endpoint that is still at work in the last sixth of the stop excuses the end of a request
/// that was sent no later than three seconds after the signal.
#[test_case(3_000, 4_200, None, false ; "at_work")]
#[test_case(3_000, 4_200, Some(20), false ; "finished_in_last_part")]
#[test_case(3_000, 4_200, Some(500), true ; "finished_before")]
#[test_case(3_000, 4_100, None, true ; "cut_before_last_part")]
#[test_case(3_001, 4_200, None, true ; "sent_later")]
fn record_end_last_part_of_stop(
    sent_ms: u64,
    ended_ms: u64,
    finished_for_ms: Option<u64>,
    is_loss: bool,
) {
    let mut judge = LossJudge::default();
    judge.record_stop(at(WORK_MS), RELAY);
    let mut request = closed(WORK_MS + sent_ms, WORK_MS + ended_ms);
    request.finished_for = finished_for_ms.map(|it| Millis::new(it).micros());
    let log = DisturbanceLog::default();
    assert_eq!(is_planned_loss(&mut judge, &log, &request), is_loss);
}

#[test_case(RequestEnd::Complete, false)]
#[test_case(RequestEnd::Incomplete, true)]
#[test_case(RequestEnd::Closed, true)]
fn record_end_kind(end: RequestEnd, is_loss: bool) {
    let mut judge = LossJudge::default();
    judge.record_stop(at(WORK_MS), RELAY);
    let request = EndedRequest {
        end,
        ..closed(WORK_MS, WORK_MS + 300)
    };
    let log = DisturbanceLog::default();
    assert_eq!(is_planned_loss(&mut judge, &log, &request), is_loss);
}

/// An unplanned disturbance excuses a loss around planned work; one of the store alone only that
/// of a request that may resume.
#[test_case(Scope::Relay(RELAY), false, false ; "relay")]
#[test_case(Scope::Relay(OTHER_RELAY), false, true ; "other_relay")]
#[test_case(Scope::Endpoint(endpoint("i-2")), false, false ; "endpoint")]
#[test_case(Scope::Store, false, true ; "store")]
#[test_case(Scope::Store, true, false ; "store_resumable")]
fn record_end_disturbed(scope: Scope, may_resume: bool, is_loss: bool) {
    let mut log = DisturbanceLog::default();
    let number = log.begin(at(WORK_MS - 1_000), scope.clone());
    log.end(at(WORK_MS - 500), &scope, number);
    let mut judge = LossJudge::default();
    judge.record_stop(at(WORK_MS), RELAY);
    let request = EndedRequest {
        may_resume,
        ..closed(WORK_MS, WORK_MS + 300)
    };
    assert_eq!(is_planned_loss(&mut judge, &log, &request), is_loss);
}

#[test]
fn record_end_settled() {
    let mut log = DisturbanceLog::default();
    let scope = Scope::Relay(RELAY);
    let number = log.begin(at(WORK_MS - 10_000), scope.clone());
    log.end(at(WORK_MS - SETTLE_MS.get() - 1), &scope, number);
    let mut judge = LossJudge::default();
    judge.record_stop(at(WORK_MS), RELAY);
    assert!(is_planned_loss(
        &mut judge,
        &log,
        &closed(WORK_MS, WORK_MS + 300)
    ));
}

/// Number of losses at which a kept connection counts, of `count` requests that `change` alters.
fn kept_losses(
    count: u64,
    judge: &mut LossJudge,
    log: &DisturbanceLog,
    change: fn(&mut EndedRequest),
) -> usize {
    let losses = (0..count).flat_map(|turn| {
        let mut request = closed(WORK_MS + turn * 1_000, WORK_MS + turn * 1_000 + 300);
        change(&mut request);
        judge.record_end(log, &request)
    });
    losses
        .filter(|it| it.invariant == Invariant::KeptConnectionLoss)
        .count()
}

#[test_case(3, |_| {}, 0 ; "three")]
#[test_case(4, |_| {}, 1 ; "four")]
#[test_case(6, |it| it.is_kept = false, 0 ; "new_connection")]
#[test_case(6, |it| it.passed_on.clear(), 0 ; "not_passed_on")]
#[test_case(6, |it| it.end = RequestEnd::Incomplete, 0 ; "answer_begun")]
#[test_case(6, |it| it.end = RequestEnd::Complete, 0 ; "answered")]
#[test_case(6, |it| it.relay = it.sent_at.get() as usize, 0 ; "each_at_another_relay")]
fn record_end_kept_connection(count: u64, change: fn(&mut EndedRequest), losses: usize) {
    let log = DisturbanceLog::default();
    let found = kept_losses(count, &mut LossJudge::default(), &log, change);
    assert_eq!(found, losses);
}

/// Only relays in touch and sound endpoints count; the store is part of being in touch.
#[test_case(Scope::Relay(RELAY), 0 ; "relay")]
#[test_case(Scope::Store, 0 ; "store")]
#[test_case(Scope::Endpoint(endpoint("i-1")), 0 ; "its_endpoint")]
#[test_case(Scope::Endpoint(endpoint("i-2")), 3 ; "other_endpoint")]
fn record_end_kept_connection_disturbed(scope: Scope, losses: usize) {
    let mut log = DisturbanceLog::default();
    log.begin(at(WORK_MS - 1_000), scope);
    let found = kept_losses(6, &mut LossJudge::default(), &log, |_| {});
    assert_eq!(found, losses);
}

#[test_case(|judge| judge.record_stop(at(WORK_MS - 1), RELAY), 2 ; "stop")]
#[test_case(|judge| judge.record_start(at(WORK_MS - 1), RELAY), 2 ; "start")]
#[test_case(|judge| judge.record_start(at(WORK_MS - 1), OTHER_RELAY), 6 ; "other_relay")]
fn record_end_kept_connection_signalled(signal: fn(&mut LossJudge), losses: usize) {
    let mut judge = LossJudge::default();
    signal(&mut judge);
    let found = kept_losses(9, &mut judge, &DisturbanceLog::default(), |_| {});
    assert_eq!(found, losses);
}

#[test]
fn record_end_reason_names_request() {
    let mut judge = LossJudge::default();
    judge.record_stop(at(WORK_MS), RELAY);
    let request = EndedRequest {
        ran_us: Micros::ZERO,
        ..closed(WORK_MS, WORK_MS + 300)
    };
    let losses = judge.record_end(&DisturbanceLog::default(), &request);
    assert_eq!(losses[0].id, request.id);
    assert_eq!(losses[0].at, request.ended_at);
}
