//! Momentary pace of endpoints: what an old or false report does, and response times under
//! phases in which some endpoints are slow.

mod model;

use std::{collections::HashMap, sync::Arc};

use parsleylatch_decide::relay::{
    EndpointEntry, EndpointKey, EndpointOwnership, EndpointTable, EngineLoad, EngineReport,
    LoadSample, ReportedPace, SelectionCriteria, Selector, StreamSize, is_plausible_pace,
};
use parsleylatch_types::{Micros, Millis, MonoTime, PacePercent, SlotCount, TokenCount};
use test_case::test_case;

use model::{Demand, ENDPOINTS, Reports, Tally, entry, replay, service};

const SLOTS: SlotCount = SlotCount::new(6);
const CALL: Micros = Micros::new(15_000);
const PROMPT: TokenCount = TokenCount::new(5_200);
const READING: Micros = Micros::new(1_040_000);
const SIZE: StreamSize = StreamSize {
    prompt: PROMPT,
    output: TokenCount::new(100),
};

fn at(millis: u64) -> MonoTime {
    MonoTime::ZERO + Millis::new(millis)
}

fn percent(pace: u32) -> PacePercent {
    PacePercent::new(pace)
}

fn load(slots: Option<u32>, pace: Option<u32>) -> LoadSample {
    LoadSample {
        running: 3,
        waiting: 2,
        slots: slots.map(SlotCount::new),
        pace: pace.map(PacePercent::new),
    }
}

#[test_case(0, false ; "zero")]
#[test_case(1, true ; "smallest")]
#[test_case(10_000, true ; "largest")]
#[test_case(10_001, false ; "too large")]
fn is_plausible_pace_bounds(pace: u32, expected: bool) {
    assert_eq!(is_plausible_pace(percent(pace)), expected);
}

/// A slow pace delays a call by as much as reported at first, by half of it after 300 ms, and
/// not at all after 1.5 s. Other paces, also false ones, don't count, and an absurd excess counts
/// no more than four times the usual time.
#[test_case(250, 0, 18_000..=22_500 ; "fresh")]
#[test_case(250, 300, 9_000..=11_250 ; "after 300 ms")]
#[test_case(250, 600, 4_500..=5_625 ; "after 600 ms")]
#[test_case(250, 1_499, 1..=1_000 ; "just before its end")]
#[test_case(250, 1_500, 0..=0 ; "old")]
#[test_case(100, 0, 0..=0 ; "usual")]
#[test_case(124, 0, 0..=0 ; "ordinary variation")]
#[test_case(1, 0, 0..=0 ; "false and fast")]
#[test_case(10_000, 0, 35_000..=45_000 ; "false and slow")]
fn delay_of_call(pace: u32, age_ms: u64, delay_us: std::ops::RangeInclusive<u64>) {
    let mut reported = ReportedPace::default();
    reported.record(at(7), percent(pace));
    let delay = reported.delay(at(7 + age_ms), CALL).get();
    assert!(delay_us.contains(&delay), "{delay}");
}

/// Long work outlasts the slow phase, so that even a false pace delays it by less than the mean
/// length of a phase.
#[test_case(250 ; "two and a half times")]
#[test_case(10_000 ; "false")]
fn delay_of_long_work(pace: u32) {
    let mut reported = ReportedPace::default();
    reported.record(at(0), percent(pace));
    let delay = reported.delay(at(0), READING);
    assert!(delay > Micros::new(200_000) && delay < Micros::new(433_000));
    assert!(reported.delay(at(0), Micros::new(u64::MAX)) < Micros::new(433_000));
    assert_eq!(reported.delay(at(0), Micros::ZERO), Micros::ZERO);
}

#[test]
fn delay_without_report() {
    assert_eq!(ReportedPace::default().delay(at(0), READING), Micros::ZERO);
}

/// An endpoint that says forever that it is slow is believed for two seconds, and again after it
/// was usual, or after a time without reports.
#[test]
fn delay_believed_for_two_seconds() {
    let mut reported = ReportedPace::default();
    for millis in (0..5_000).step_by(100) {
        reported.record(at(millis), percent(10_000));
        let is_believed = reported.delay(at(millis), CALL) > Micros::ZERO;
        assert_eq!(is_believed, millis < 2_000, "{millis}");
    }
    reported.record(at(5_000), percent(110));
    reported.record(at(5_100), percent(250));
    assert!(reported.delay(at(5_100), CALL) > Micros::ZERO);
    reported.record(at(7_200), percent(250));
    assert!(reported.delay(at(7_200), CALL) > Micros::ZERO);
}

fn table_of(entries: &[Arc<EndpointEntry>]) -> EndpointTable {
    let mut table = EndpointTable::new();
    let regions = HashMap::from([("a".parse().unwrap(), "r".parse().unwrap())]);
    let ownership = EndpointOwnership {
        own: &"n-1".parse().unwrap(),
        nodes: &Vec::new().into(),
        regions: &regions,
    };
    table.update(MonoTime::ZERO, entries.iter(), ownership);
    table
}

/// Number of 200 requests that each endpoint would get.
fn select_counts(table: &EndpointTable, now: MonoTime, prompt: TokenCount) -> [usize; 2] {
    let regions = HashMap::from([("a".parse().unwrap(), "r".parse().unwrap())]);
    let (domain, region) = ("a".parse().unwrap(), "r".parse().unwrap());
    let mut selector = Selector::new(domain, region, regions, 1);
    let service = service();
    let criteria = SelectionCriteria {
        service: &service,
        excluded: &[],
        copy: None,
        prompt_holder: None,
        prompt,
        with_backup: false,
        version: None,
    };
    let first = entry(0, SLOTS).key;
    let chosen = |_| selector.select(now, table, &criteria).unwrap();
    let at_first = (0..200)
        .map(chosen)
        .filter(|it| it.endpoint.key == first)
        .count();
    [at_first, 200 - at_first]
}

/// Placement prefers an endpoint that is not slow, and forgets what is old.
#[test_case(TokenCount::ZERO ; "call")]
#[test_case(PROMPT ; "stream")]
fn select_healthy_endpoint(prompt: TokenCount) {
    let entries = [entry(0, SLOTS).into(), entry(1, SLOTS).into()];
    let mut table = table_of(&entries);
    table.record_load(at(0), &entries[0].key, load(Some(6), Some(250)));
    table.record_load(at(0), &entries[1].key, load(Some(6), Some(100)));
    assert_eq!(select_counts(&table, at(0), prompt), [0, 200]);
    assert!(!table.is_suspended(at(0), &entries[0].key));
    let later = select_counts(&table, at(1_500), prompt);
    assert!(later.iter().all(|it| *it > 60), "{later:?}");
}

/// A fast pace, which may be false, attracts no requests.
#[test_case(TokenCount::ZERO ; "call")]
#[test_case(PROMPT ; "stream")]
fn select_fast_endpoint(prompt: TokenCount) {
    let entries = [entry(0, SLOTS).into(), entry(1, SLOTS).into()];
    let mut table = table_of(&entries);
    table.record_load(at(0), &entries[0].key, load(Some(6), Some(1)));
    table.record_load(at(0), &entries[1].key, load(Some(6), Some(100)));
    let counts = select_counts(&table, at(0), prompt);
    assert!(counts.iter().all(|it| *it > 60), "{counts:?}");
}

/// A load with a pace that contradicts the registry is ignored, the pace alone too if it is
/// absurd. Without a pace nothing is compared, as before.
#[test_case(load(Some(6), Some(100)), true ; "consistent")]
#[test_case(load(None, Some(100)), true ; "without slots")]
#[test_case(load(Some(7), Some(100)), false ; "other slots")]
#[test_case(load(Some(6), Some(0)), false ; "pace zero")]
#[test_case(load(Some(7), None), true ; "other slots without a pace")]
#[test_case(load(None, None), true ; "two fields")]
fn record_load_contradiction(load: LoadSample, is_used: bool) {
    let entries = [entry(0, SLOTS).into()];
    let mut table = table_of(&entries);
    assert_eq!(table.record_load(at(0), &entries[0].key, load), is_used);
    let taken = if is_used { 5 } else { 0 };
    assert_eq!(table.occupancy(at(0), &service()), (taken, 6));
}

/// The response to an auxiliary call counts for the pace only.
#[test]
fn record_pace_without_load() {
    let entries = [entry(0, SLOTS).into(), entry(1, SLOTS).into()];
    let mut table = table_of(&entries);
    assert!(table.record_pace(at(0), &entries[0].key, load(Some(6), Some(250))));
    assert_eq!(table.occupancy(at(0), &service()), (0, 12));
    assert_eq!(select_counts(&table, at(0), TokenCount::ZERO), [0, 200]);
}

/// A state report has no pace, and leaves the one known from a header.
#[test]
fn record_report_keeps_pace() {
    let entries = [entry(0, SLOTS).into(), entry(1, SLOTS).into()];
    let mut table = table_of(&entries);
    table.record_pace(at(0), &entries[0].key, load(Some(6), Some(250)));
    for entry in &entries {
        table.record_report(at(0), &entry.key, &EngineReport::default());
    }
    assert_eq!(select_counts(&table, at(0), PROMPT), [0, 200]);
}

/// One log line for each endpoint.
#[test]
fn record_unusable_load_once() {
    let entries = [entry(0, SLOTS).into(), entry(1, SLOTS).into()];
    let mut table = table_of(&entries);
    let mut first = |key: &EndpointKey| table.record_unusable_load(key);
    assert!(first(&entries[0].key));
    assert!(!first(&entries[0].key));
    assert!(first(&entries[1].key));
    assert!(!first(&entry(2, SLOTS).key));
}

fn busy() -> EngineReport {
    EngineReport {
        running: 1,
        ..EngineReport::default()
    }
}

/// An engine that says that it is more than two and a half times slower gets no stream beside
/// another one until that is old.
#[test_case(400, 0, false ; "slow")]
#[test_case(400, 400, true ; "slow a moment ago")]
#[test_case(250, 0, true ; "as slow as is bearable")]
#[test_case(1, 0, true ; "fast")]
fn has_room_by_pace(pace: u32, age_ms: u64, expected: bool) {
    let mut engine = EngineLoad::default();
    engine.record_pace(at(0), percent(pace));
    engine.record_report(at(age_ms), &busy());
    let room = engine.has_room(at(age_ms), SLOTS, true, SIZE);
    assert_eq!(room, Some(expected));
}

/// An engine that takes long for a prompt counts as slow for seconds, unless it says that it is
/// slow at present: a healthy engine in a slow phase is used again as soon as the phase is over.
#[test_case(None, true ; "without a pace")]
#[test_case(Some(100), true ; "usual pace")]
#[test_case(Some(1), true ; "false and fast")]
#[test_case(Some(300), false ; "slow phase")]
fn is_slow_after_late_event(pace: Option<u32>, expected: bool) {
    let mut engine = EngineLoad::default();
    engine.record_report(at(0), &EngineReport::default());
    engine.record_placement(at(0), SIZE);
    let read_at = at(3_000);
    if let Some(pace) = pace {
        engine.record_pace(read_at, percent(pace));
    }
    engine.record_first_event(read_at, at(0));
    assert_eq!(engine.is_slow(at(3_300)), expected);
}

/// An engine that is always slow and says so is not believed for long, and counts as slow by the
/// time that it takes for a prompt.
#[test]
fn is_slow_with_lasting_pace() {
    let mut engine = EngineLoad::default();
    for millis in (0..=3_000).step_by(500) {
        engine.record_pace(at(millis), percent(300));
    }
    engine.record_report(at(3_000), &EngineReport::default());
    engine.record_placement(at(3_000), SIZE);
    engine.record_pace(at(6_000), percent(300));
    engine.record_first_event(at(6_000), at(3_000));
    assert!(!engine.is_slow(at(6_300)), "the reports paused for 3 s");
    for millis in (6_500..=10_000).step_by(500) {
        engine.record_pace(at(millis), percent(300));
    }
    engine.record_report(at(8_000), &EngineReport::default());
    engine.record_placement(at(8_000), SIZE);
    engine.record_first_event(at(11_000), at(8_000));
    assert!(engine.is_slow(at(12_000)));
}

/// Calls that take half of the capacity.
const CALLS: Demand = Demand {
    nodes: 20,
    slots: SLOTS,
    work: Micros::new(60_000),
    per_s: 1_000.0,
    prompt: TokenCount::ZERO,
    has_queries: true,
    tick: Micros::new(1_000),
    duration: Micros::new(12_000_000),
};
/// Calls that take a tenth of the capacity.
const FEW_CALLS: Demand = Demand {
    per_s: 200.0,
    ..CALLS
};
/// Calls of many nodes, each of which gets three responses of an endpoint in ten seconds.
const MANY_NODES: Demand = Demand {
    nodes: 120,
    per_s: 720.0,
    has_queries: false,
    ..CALLS
};
/// Streams until their first event, which take half of the capacity.
const STREAMS: Demand = Demand {
    nodes: 4,
    slots: SlotCount::new(1),
    work: READING,
    per_s: 9.6,
    prompt: PROMPT,
    has_queries: true,
    tick: Micros::new(5_000),
    duration: Micros::new(300_000_000),
};

/// Streams that take a fifth of the capacity.
const FEW_STREAMS: Demand = Demand {
    per_s: 4.0,
    ..STREAMS
};

fn replay_seeds(demand: Demand, reports: Reports) -> Tally {
    let tallies = (1..=3).map(|seed| replay(demand, reports, seed));
    let sum = tallies.fold(Tally::default(), |sum, it| sum.plus(&it));
    println!(
        "{reports:?}: mean {:.1} ms, 95th percentile {:.1} ms",
        sum.mean_ms(),
        sum.percentile_ms(95)
    );
    sum
}

/// Mean and 95th percentile without a pace, in relation to those with what `reports` says.
fn replay_ratios(demand: Demand, reports: Reports) -> (f64, f64, Tally) {
    let before = replay_seeds(demand, Reports::WithoutPace);
    let after = replay_seeds(demand, reports);
    (
        after.mean_ms() / before.mean_ms(),
        after.percentile_ms(95) / before.percentile_ms(95),
        after,
    )
}

/// Fewer requests meet a slow endpoint. Where engines are full, or nodes hear of an endpoint less
/// often than its pace changes, nothing is lost.
#[test_case(CALLS, 0.96, 0.8 ; "calls")]
#[test_case(FEW_CALLS, 0.95, 0.95 ; "few calls")]
#[test_case(FEW_STREAMS, 0.998, 0.98 ; "few streams")]
#[test_case(STREAMS, 1.005, 1.01 ; "streams")]
#[test_case(MANY_NODES, 1.005, 1.01 ; "many nodes")]
fn replay_true_pace(demand: Demand, mean_limit: f64, percentile_limit: f64) {
    let (mean, percentile, _) = replay_ratios(demand, Reports::True);
    assert!(mean <= mean_limit, "{mean}");
    assert!(percentile <= percentile_limit, "{percentile}");
}

/// Endpoints that report the usual pace are treated as those that report none.
#[test_case(FEW_CALLS ; "few calls")]
#[test_case(FEW_STREAMS ; "few streams")]
fn replay_usual_pace(demand: Demand) {
    let tally = replay_seeds(demand, Reports::AlwaysUsual);
    assert!(tally == replay_seeds(demand, Reports::WithoutPace));
}

/// Reports that are seldom, too late or false make responses no later than without them, but for
/// the requests that two slow phases of delay move for no reason, and an endpoint that reports a
/// false pace is neither flooded nor starved.
#[test_case(CALLS, Reports::Seldom, 1.01 ; "calls seldom")]
#[test_case(CALLS, Reports::Delayed, 1.06 ; "calls delayed")]
#[test_case(CALLS, Reports::PartlyFalse, 1.0 ; "calls partly false")]
#[test_case(CALLS, Reports::AllFalse, 1.05 ; "calls all false")]
#[test_case(FEW_CALLS, Reports::PartlyFalse, 1.0 ; "few calls partly false")]
#[test_case(FEW_CALLS, Reports::AllFalse, 1.01 ; "few calls all false")]
#[test_case(STREAMS, Reports::Seldom, 1.01 ; "streams seldom")]
#[test_case(STREAMS, Reports::Delayed, 1.01 ; "streams delayed")]
#[test_case(STREAMS, Reports::AllFalse, 1.01 ; "streams all false")]
fn replay_old_or_false_pace(demand: Demand, reports: Reports, mean_limit: f64) {
    let (mean, percentile, tally) = replay_ratios(demand, reports);
    assert!(mean <= mean_limit, "{mean}");
    assert!(percentile <= 1.02, "{percentile}");
    for endpoint in 0..ENDPOINTS {
        let share = tally.share(endpoint);
        assert!((0.7..1.4).contains(&share), "endpoint {endpoint}: {share}");
    }
}
