//! Places of connections: who gives way, and who is refused.

use parsleylatch_decide::listener_places::{Admission, ListenerPlaces, caller_limit};
use parsleylatch_types::{ConnectionNumber, DescriptorCount};
use test_case::test_case;

fn number(value: u64) -> ConnectionNumber {
    ConnectionNumber::new(value)
}

fn full(limit: u64) -> ListenerPlaces {
    let mut places = ListenerPlaces::new(limit as usize);
    for value in 1..=limit {
        assert_eq!(places.admit(), Admission::Admitted(number(value)));
    }
    places
}

#[test]
fn admit_longest_resting_replaced() {
    let mut places = full(3);
    places.use_connection(number(1));
    places.rest(number(1));
    let replaced = Admission::Replaces {
        admitted: number(4),
        closed: number(2),
    };
    assert_eq!(places.admit(), replaced);
}

#[test]
fn admit_all_in_use() {
    let mut places = full(2);
    places.use_connection(number(1));
    places.use_connection(number(2));
    assert_eq!(places.admit(), Admission::Refused);
    places.remove(number(1));
    assert_eq!(places.admit(), Admission::Admitted(number(3)));
}

/// A connection that gives way and is used again counts as before.
#[test]
fn admit_used_while_giving_way() {
    let mut places = full(1);
    assert!(matches!(places.admit(), Admission::Replaces { .. }));
    places.use_connection(number(1));
    places.use_connection(number(2));
    assert_eq!((places.open(), places.resting()), (2, 0));
    assert_eq!(places.admit(), Admission::Refused);
    places.remove(number(1));
    places.remove(number(2));
    assert_eq!(places.admit(), Admission::Admitted(number(3)));
}

/// Connections that don't close in time don't add up without a bound.
#[test]
fn admit_none_closes() {
    let mut places = full(8);
    for _ in 0..1_000 {
        places.admit();
    }
    assert!(places.open() < 100);
    assert_eq!(places.admit(), Admission::Delayed { closed: None });
    places.remove(number(1));
    assert!(matches!(places.admit(), Admission::Replaces { .. }));
}

/// Connections that were used while they gave way, and rest again, give way again.
#[test]
fn admit_all_resting_over_limit() {
    let mut places = full(8);
    while let Admission::Replaces { closed, .. } = places.admit() {
        places.use_connection(closed);
        places.rest(closed);
    }
    assert_eq!(places.resting(), places.open() - 1);
    let Admission::Delayed {
        closed: Some(closed),
    } = places.admit()
    else {
        panic!("{places:?}")
    };
    places.remove(closed);
    assert!(matches!(places.admit(), Admission::Replaces { .. }));
}

#[test]
fn close_longest_resting_none() {
    let mut places = full(1);
    places.use_connection(number(1));
    assert_eq!(places.close_longest_resting(), None);
    places.remove(number(1));
    places.use_connection(number(1));
    assert_eq!(places.open(), 0);
}

#[test_case(0, 8 ; "none")]
#[test_case(320, 25 ; "few")]
#[test_case(4_100, 1_537 ; "a small VM")]
#[test_case(8_192, 3_174 ; "a large VM")]
fn caller_limit_descriptors(descriptors: u64, limit: usize) {
    assert_eq!(caller_limit(DescriptorCount::new(descriptors)), limit);
}

/// The descriptors suffice for each caller and its endpoint, and for those at the limit.
#[test]
fn caller_limit_fits() {
    for descriptors in 320..10_000 {
        let callers = caller_limit(DescriptorCount::new(descriptors));
        assert!(2 * callers + callers / 2 <= descriptors as usize - 256);
    }
}
