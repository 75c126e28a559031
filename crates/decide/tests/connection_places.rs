//! Places for callers' connections.
//! The seed of the property is that of `.cargo/config.toml`.

use parsleylatch_decide::relay::{
    Admission, ConnectionPlaces, LimitNotice, MemoryPlan, PlaceBound, PlaceLimits, PlaceState,
};
use parsleylatch_types::{
    ByteCount, ConnectionCount, ConnectionNumber, DescriptorCount, Millis, MonoTime,
};
use proptest::prelude::*;
use test_case::test_case;

const MIB: u64 = 1 << 20;
const USUAL_HEAD: ByteCount = ByteCount::new(16 << 10);
const LARGE_HEAD: ByteCount = ByteCount::new(64 << 10);
const MANY_DESCRIPTORS: DescriptorCount = DescriptorCount::new(20_000);
const USUAL_DESCRIPTORS: DescriptorCount = DescriptorCount::new(4_100);
const SMALL_MEMORY: ByteCount = ByteCount::new(32 * MIB);
/// Memory with some 40 places for large heads.
const FEW_PLACES_MEMORY: ByteCount = ByteCount::new(16 * MIB);
const NO_CONNECTIONS: ConnectionCount = ConnectionCount::ZERO;
/// Concurrent streams that a usual VM has to serve.
const OPEN_STREAMS: u64 = 2_000;
/// Connections at once that a small VM has to accept.
const SMALL_VM_CONNECTIONS: u64 = 1_200;

fn limits(memory: ByteCount, head: ByteCount, descriptors: DescriptorCount) -> PlaceLimits {
    PlaceLimits::new(&MemoryPlan::new(memory), head, descriptors)
}

fn small() -> PlaceLimits {
    limits(SMALL_MEMORY, USUAL_HEAD, MANY_DESCRIPTORS)
}

fn at(ms: u64) -> MonoTime {
    MonoTime::new(0) + Millis::new(ms)
}

/// Fills all places with connections that made a request each at the time of their number.
fn full_of_resting(limits: PlaceLimits) -> (ConnectionPlaces, Vec<ConnectionNumber>) {
    let mut places = ConnectionPlaces::new(limits);
    let count = limits.limit().0.get();
    let numbers = (0..count).map(|ms| {
        let admitted = places.admit(at(ms), NO_CONNECTIONS);
        assert_eq!(admitted.admission, Admission::Serve);
        assert_eq!(admitted.closed, []);
        places.begin(at(ms), admitted.number, NO_CONNECTIONS);
        places.rest(at(ms), admitted.number, NO_CONNECTIONS);
        admitted.number
    });
    let numbers = numbers.collect();
    (places, numbers)
}

/// Serves connections with a request each until one is refused; returns their number.
fn serve_until_refused(places: &mut ConnectionPlaces) -> u64 {
    let mut served = 0;
    loop {
        let admitted = places.admit(at(served), NO_CONNECTIONS);
        if admitted.admission == Admission::Refuse {
            return served;
        }
        places.begin(at(served), admitted.number, NO_CONNECTIONS);
        served += 1;
    }
}

#[test]
fn admit_longest_resting_closed() {
    let (mut places, numbers) = full_of_resting(small());
    let now = at(60_000);
    // The first one has served another request since.
    places.begin(now, numbers[0], NO_CONNECTIONS);
    places.rest(now, numbers[0], NO_CONNECTIONS);
    let admitted = places.admit(now, NO_CONNECTIONS);
    assert_eq!(admitted.admission, Admission::Serve);
    assert_eq!(admitted.closed, [numbers[1]]);
    assert_eq!(places.state(numbers[1]), Some(PlaceState::Closing));
}

#[test]
fn admit_beside_busy_refused() {
    let mut places = ConnectionPlaces::new(small());
    let served = serve_until_refused(&mut places);
    assert_eq!(served, small().limit().0.get());
    places.release(ConnectionNumber::ZERO);
    let admitted = places.admit(at(served), NO_CONNECTIONS);
    assert_eq!(admitted.admission, Admission::Serve);
}

/// A new connection gets time for its first request before it makes room for others.
#[test_case(999, Admission::Refuse ; "in its first second")]
#[test_case(1_000, Admission::Serve ; "afterwards")]
fn admit_beside_fresh(after_ms: u64, expected: Admission) {
    let mut places = ConnectionPlaces::new(small());
    for _ in 0..small().limit().0.get() {
        places.admit(at(0), NO_CONNECTIONS);
    }
    let admitted = places.admit(at(after_ms), NO_CONNECTIONS);
    assert_eq!(admitted.admission, expected);
}

/// A connection that has a request when it is told to close keeps its place.
#[test]
fn begin_while_closing_served() {
    let (mut places, numbers) = full_of_resting(small());
    places.admit(at(60_000), NO_CONNECTIONS);
    places.begin(at(60_000), numbers[0], NO_CONNECTIONS);
    assert_eq!(places.state(numbers[0]), Some(PlaceState::Busy));
}

/// A connection waits while others close, and is refused when that has taken too long.
#[test_case(0, true, Some(Admission::Serve) ; "one has ended")]
#[test_case(499, false, None ; "none has ended")]
#[test_case(500, false, Some(Admission::Refuse) ; "too late")]
fn look_for_room_beside_closing(after_ms: u64, has_ended: bool, expected: Option<Admission>) {
    let (mut places, numbers) = full_of_resting(small());
    let now = at(60_000);
    for _ in 0..small().reserve().get() {
        let admitted = places.admit(now, NO_CONNECTIONS);
        assert_eq!(admitted.admission, Admission::Serve);
    }
    let waiting = places.admit(now, NO_CONNECTIONS);
    let until = at(60_500);
    assert_eq!(waiting.admission, Admission::Wait(until));
    if has_ended {
        places.release(numbers[0]);
    }
    let looked = places.look_for_room(at(60_000 + after_ms), waiting.number, NO_CONNECTIONS);
    let expected = expected.unwrap_or(Admission::Wait(until));
    assert_eq!(looked.admission, expected);
    assert_eq!(looked.closed.len(), usize::from(has_ended));
}

/// The oldest connection that is refused goes first when their places are taken.
#[test]
fn admit_oldest_refused_dropped() {
    let mut places = ConnectionPlaces::new(small());
    serve_until_refused(&mut places);
    let reserve = small().reserve().get();
    for _ in 1..reserve {
        assert_eq!(places.admit(at(5_000), NO_CONNECTIONS).closed, []);
    }
    let admitted = places.admit(at(5_000), NO_CONNECTIONS);
    let [dropped] = admitted.closed[..] else {
        panic!("{admitted:?}");
    };
    assert_eq!(places.state(dropped), Some(PlaceState::Dropping));
}

/// A connection that has its refusal goes after those that have sent nothing, without a drop, and
/// before one whose refusal is not written.
#[test]
fn admit_answered_refused_kept() {
    let mut places = ConnectionPlaces::new(small());
    serve_until_refused(&mut places);
    let now = at(5_000);
    let reserve = small().reserve().get();
    let refused: Vec<ConnectionNumber> = (0..reserve)
        .map(|_| places.admit(now, NO_CONNECTIONS).number)
        .collect();
    for number in &refused {
        places.begin(now, *number, NO_CONNECTIONS);
    }
    let last = refused[refused.len() - 1];
    places.rest(now, last, NO_CONNECTIONS);
    assert_eq!(places.end_refusal(now, last), []);
    let silent = places.admit(now, NO_CONNECTIONS);
    assert_eq!(silent.closed, [last]);
    assert_eq!(places.state(last), Some(PlaceState::Leaving));
    assert_eq!(places.admit(now, NO_CONNECTIONS).closed, [silent.number]);
    assert_eq!(places.state(silent.number), Some(PlaceState::Dropping));
}

/// A refused connection that has just come was dropped beside others that had their response.
#[test_case(99, false ; "just come")]
#[test_case(100, true ; "silent for long")]
fn admit_silent_refused_dropped(after_ms: u64, expected: bool) {
    let mut places = ConnectionPlaces::new(small());
    serve_until_refused(&mut places);
    for _ in 2..small().reserve().get() {
        let number = places.admit(at(5_000), NO_CONNECTIONS).number;
        places.begin(at(5_000), number, NO_CONNECTIONS);
        places.rest(at(5_000), number, NO_CONNECTIONS);
    }
    // The one that serve_until_refused leaves makes its request, too.
    let first = ConnectionNumber::new(small().limit().0.get());
    places.begin(at(5_000), first, NO_CONNECTIONS);
    places.rest(at(5_000), first, NO_CONNECTIONS);
    let silent = places.admit(at(5_000), NO_CONNECTIONS);
    assert_eq!(silent.closed, []);
    assert_eq!(places.accept_delay(), Millis::ZERO);
    let closed = places.admit(at(5_000 + after_ms), NO_CONNECTIONS).closed;
    assert_eq!(closed == [silent.number], expected);
    assert_eq!(closed.len(), 1);
}

/// Larger heads leave connections as they are, and new ones find room.
#[test]
fn set_limits_larger_heads_served() {
    let (mut places, numbers) = full_of_resting(small());
    places.set_limits(limits(SMALL_MEMORY, LARGE_HEAD, MANY_DESCRIPTORS));
    let closed = places.close_excess(at(60_000), NO_CONNECTIONS);
    assert!(closed.len() < numbers.len() / 2, "{} closed", closed.len());
    closed.into_iter().for_each(|it| places.release(it));
    let admitted = places.admit(at(60_000), NO_CONNECTIONS);
    assert_eq!(admitted.admission, Admission::Serve);
}

#[test]
fn set_limits_less_memory_closed_down() {
    let (mut places, _) = full_of_resting(limits(
        ByteCount::new(160 * MIB),
        USUAL_HEAD,
        MANY_DESCRIPTORS,
    ));
    places.set_limits(small());
    assert!(places.is_exceeded(NO_CONNECTIONS));
    loop {
        let closed = places.close_excess(at(60_000), NO_CONNECTIONS);
        if closed.is_empty() {
            break;
        }
        closed.into_iter().for_each(|it| places.release(it));
    }
    let occupancy = places.occupancy(NO_CONNECTIONS);
    assert_eq!(occupancy.open, small().limit().0);
    assert!(!places.is_exceeded(NO_CONNECTIONS));
}

/// Requests on connections that are open use what new connections leave.
#[test]
fn begin_others_keep_resting() {
    let few = limits(
        ByteCount::new(160 * MIB),
        USUAL_HEAD,
        DescriptorCount::new(300),
    );
    let mut places = ConnectionPlaces::new(few);
    let numbers: Vec<ConnectionNumber> = (0..100)
        .map(|ms| places.admit(at(ms), NO_CONNECTIONS).number)
        .collect();
    for (count, number) in (1..).zip(numbers) {
        let endpoints = ConnectionCount::new(count);
        assert_eq!(places.begin(at(5_000), number, endpoints), []);
        assert_eq!(places.rest(at(5_000), number, endpoints), []);
    }
    assert!(!places.has_idle_descriptors(ConnectionCount::new(100)));
}

/// Connections to endpoints that are idle go only when no caller's connection can.
#[test_case(true, false ; "callers rest")]
#[test_case(false, true ; "callers are busy")]
fn needs_idle_descriptors_at_limit(rests: bool, expected: bool) {
    let few = limits(SMALL_MEMORY, USUAL_HEAD, DescriptorCount::new(300));
    let mut places = ConnectionPlaces::new(few);
    let endpoints = ConnectionCount::new(100);
    while !places.needs_idle_descriptors(at(0), endpoints) {
        let number = places.admit(at(0), endpoints).number;
        places.begin(at(0), number, endpoints);
    }
    if rests {
        places.rest(at(0), ConnectionNumber::ZERO, endpoints);
    }
    assert_eq!(places.needs_idle_descriptors(at(0), endpoints), expected);
}

/// Streams of a usual VM fit its descriptors, with one more for each at its endpoint.
#[test]
fn limit_open_streams_usual_vm() {
    let limits = limits(ByteCount::new(512 * MIB), USUAL_HEAD, USUAL_DESCRIPTORS);
    let served = serve_until_refused(&mut ConnectionPlaces::new(limits));
    assert!(served >= OPEN_STREAMS, "{served}");
    assert!(2 * served < USUAL_DESCRIPTORS.get(), "{served}");
}

#[test_case(160, 20_000, PlaceBound::Memory ; "memory")]
#[test_case(512, 1_000, PlaceBound::Descriptors ; "descriptors")]
#[test_case(4_096, 20_000, PlaceBound::Maximum ; "maximum")]
fn limit_bound(memory_mb: u64, descriptors: u64, expected: PlaceBound) {
    let descriptors = DescriptorCount::new(descriptors);
    let limits = limits(ByteCount::new(memory_mb * MIB), USUAL_HEAD, descriptors);
    assert_eq!(limits.limit().1, expected);
}

#[test]
fn limit_small_vm() {
    let limits = limits(ByteCount::new(160 * MIB), USUAL_HEAD, USUAL_DESCRIPTORS);
    let (limit, _) = limits.limit();
    assert!(limit.get() >= SMALL_VM_CONNECTIONS, "{limit}");
}

/// One notice says that the limit is reached, and one that it is left.
#[test]
fn take_notice_once() {
    let (mut places, numbers) = full_of_resting(small());
    assert_eq!(places.take_notice(at(60_000), NO_CONNECTIONS), None);
    places.admit(at(60_000), NO_CONNECTIONS);
    assert_eq!(
        places.take_notice(at(60_000), NO_CONNECTIONS),
        Some(LimitNotice::Reached)
    );
    places.admit(at(60_001), NO_CONNECTIONS);
    assert_eq!(places.take_notice(at(60_001), NO_CONNECTIONS), None);
    numbers.into_iter().for_each(|it| places.release(it));
    assert_eq!(
        places.take_notice(at(60_002), NO_CONNECTIONS),
        Some(LimitNotice::Left)
    );
    assert_eq!(places.take_notice(at(63_000), NO_CONNECTIONS), None);
}

/// A limit that is reached again is noticed a second later at the earliest.
#[test_case(999, None ; "too early")]
#[test_case(1_000, Some(LimitNotice::Reached) ; "later")]
fn take_notice_reached_again(at_ms: u64, expected: Option<LimitNotice>) {
    let (mut places, numbers) = full_of_resting(small());
    places.admit(at(60_000), NO_CONNECTIONS);
    assert_eq!(
        places.take_notice(at(60_000), NO_CONNECTIONS),
        Some(LimitNotice::Reached)
    );
    numbers.into_iter().for_each(|it| places.release(it));
    assert_eq!(
        places.take_notice(at(60_000), NO_CONNECTIONS),
        Some(LimitNotice::Left)
    );
    serve_until_refused(&mut places);
    assert_eq!(
        places.take_notice(at(60_000 + at_ms), NO_CONNECTIONS),
        expected
    );
}

/// Descriptors of a process that the listeners for nodes and pages may use, with those that
/// give way or are refused: of one for nodes, of two for pages, and of the process itself.
const OTHER_DESCRIPTORS: u64 = (64 + 16) + 2 * (64 + 16 + 16 + 4) + 64;

/// Listeners for nodes and pages that were full left callers too few descriptors.
#[test]
fn limit_leaves_descriptors() {
    let descriptors = DescriptorCount::new(2_000);
    let limits = limits(ByteCount::new(512 * MIB), USUAL_HEAD, descriptors);
    let (limit, bound) = limits.limit();
    assert_eq!(bound, PlaceBound::Descriptors);
    let left = descriptors.get() - limit.get();
    assert!(left >= OTHER_DESCRIPTORS, "{left} descriptors are left");
}

/// What happens to one of the connections, chosen by a number.
#[derive(Clone, Copy, Debug)]
enum Step {
    Accept,
    Look(usize),
    Begin(usize),
    Rest(usize),
    Release(usize),
    Wait(u64),
    Limit(bool),
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => Just(Step::Accept),
        2 => any::<usize>().prop_map(Step::Look),
        3 => any::<usize>().prop_map(Step::Begin),
        2 => any::<usize>().prop_map(Step::Rest),
        2 => any::<usize>().prop_map(Step::Release),
        2 => (0..2_000_u64).prop_map(Step::Wait),
        1 => any::<bool>().prop_map(Step::Limit),
    ]
}

proptest! {
    /// Whatever callers do, connections that are served take no more than their part of the
    /// memory with its reserve, none is refused while one could be closed, and each that is to
    /// close was fresh, resting or refused.
    #[test]
    fn places_bounded(steps in prop::collection::vec(any_step(), 1..400)) {
        let small = limits(FEW_PLACES_MEMORY, LARGE_HEAD, DescriptorCount::new(90));
        let smaller = limits(FEW_PLACES_MEMORY, LARGE_HEAD, DescriptorCount::new(60));
        let mut in_force = small;
        let mut places = ConnectionPlaces::new(small);
        let mut open: Vec<ConnectionNumber> = Vec::new();
        let mut now = at(0);
        for step in steps {
            let pick = |it: usize| open.get(it % open.len().max(1)).copied();
            let closed = match step {
                Step::Accept => {
                    let admitted = places.admit(now, NO_CONNECTIONS);
                    open.push(admitted.number);
                    if admitted.admission == Admission::Refuse {
                        let count = |state: PlaceState| {
                            let found = open.iter().filter(|it| places.state(**it) == Some(state));
                            found.count() as u64
                        };
                        let is_closing = count(PlaceState::Closing) >= in_force.reserve().get();
                        prop_assert!(is_closing || count(PlaceState::Resting) == 0);
                    }
                    admitted.closed
                }
                Step::Look(it) => pick(it)
                    .filter(|it| places.state(*it) == Some(PlaceState::Waiting))
                    .map(|it| places.look_for_room(now, it, NO_CONNECTIONS).closed)
                    .unwrap_or_default(),
                Step::Begin(it) => pick(it)
                    .map(|it| places.begin(now, it, NO_CONNECTIONS))
                    .unwrap_or_default(),
                Step::Rest(it) => pick(it)
                    .map(|it| places.rest(now, it, NO_CONNECTIONS))
                    .unwrap_or_default(),
                Step::Release(it) => {
                    if let Some(number) = pick(it) {
                        places.release(number);
                        open.retain(|it| *it != number);
                    }
                    Vec::new()
                }
                Step::Wait(ms) => {
                    now = now + Millis::new(ms);
                    Vec::new()
                }
                Step::Limit(is_smaller) => {
                    in_force = if is_smaller { smaller } else { small };
                    places.set_limits(in_force);
                    places.close_excess(now, NO_CONNECTIONS)
                }
            };
            for number in closed {
                let state = places.state(number);
                prop_assert!(
                    matches!(
                        state,
                        Some(PlaceState::Closing | PlaceState::Dropping | PlaceState::Leaving)
                    ),
                    "{state:?}"
                );
            }
            let in_state = |state: PlaceState| {
                let found = open.iter().filter(|it| places.state(**it) == Some(state));
                found.count() as u64
            };
            let served = [
                PlaceState::Fresh,
                PlaceState::Busy,
                PlaceState::Resting,
                PlaceState::Closing,
            ];
            let served: u64 = served.into_iter().map(in_state).sum();
            let size = small.connection_size.get();
            prop_assert!(served * size <= small.memory.get(), "{served} are served");
            let waiting = in_state(PlaceState::Waiting);
            prop_assert!(waiting <= small.reserve().get(), "{waiting} wait");
            let refusing = [PlaceState::Refusing, PlaceState::Denying, PlaceState::Denied];
            let refusing: u64 = refusing.into_iter().map(in_state).sum();
            prop_assert!(refusing <= small.reserve().get(), "{refusing} are refused");
            prop_assert_eq!(places.occupancy(NO_CONNECTIONS).open.get(), open.len() as u64);
        }
    }
}

/// Busy connections took all descriptors, and nobody was told.
#[test]
fn take_notice_busy_on_all_descriptors() {
    let descriptors = DescriptorCount::new(400);
    let limits = limits(ByteCount::new(512 * MIB), USUAL_HEAD, descriptors);
    let mut places = ConnectionPlaces::new(limits);
    let served = serve_until_refused(&mut places);
    let endpoints = ConnectionCount::new(served);
    let notice = places.take_notice(at(60_000), endpoints);
    assert_eq!(notice, Some(LimitNotice::Reached));
    (0..served)
        .map(ConnectionNumber::new)
        .for_each(|it| places.release(it));
    let notice = places.take_notice(at(60_000), NO_CONNECTIONS);
    assert_eq!(notice, Some(LimitNotice::Left));
}
