//! Places of connections: who gives way, and who is refused.

use parsleylatch_decide::connection_places::{Admission, ConnectionPlaces};
use parsleylatch_types::ConnectionNumber;

fn number(value: u64) -> ConnectionNumber {
    ConnectionNumber::new(value)
}

fn full(limit: u64) -> ConnectionPlaces {
    let mut places = ConnectionPlaces::new(limit as usize);
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
    let admitted = (0..1_000).filter(|_| places.admit() != Admission::Refused);
    assert!(admitted.count() < 100);
    assert!(places.open() < 100);
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
