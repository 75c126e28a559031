//! Places of the connections that a listener has accepted.
//!
//! Each connection is in use or resting. At the limit, the connection that has rested longest
//! gives way to a new one, and a new one is refused if none rests. A connection that gives way
//! keeps its place until it is closed, or returns to use if a request has arrived meanwhile.
//! The chart of a place is `listener_place`.

use std::collections::{BTreeMap, HashMap};

use parsleylatch_chart::{Bindings, ChartError, Instance, Machine, chart_names};
use parsleylatch_types::{ConnectionNumber, DescriptorCount, MonoTime};

use crate::charts::{self, LazyMachine};

/// Maximum number of connections over the limit that may be open while others give way to
/// them.
const GIVING_WAY_LIMIT: usize = 32;
/// One in so many places may give way at the same time.
const GIVING_WAY_RATIO: usize = 4;
/// Descriptors of a node for its other listeners, links to other nodes, the store and files.
const OTHER_DESCRIPTORS: DescriptorCount = DescriptorCount::new(256);
/// Descriptors of two callers: for each its connection, one to an endpoint, and half of one
/// for those that are refused or give way.
const DESCRIPTORS_OF_TWO: u64 = 5;
/// Minimum number of callers' connections, whatever the descriptors.
const MIN_CALLERS: u64 = 8;

/// Maximum number of callers' connections of a node that may open `descriptors`.
pub fn caller_limit(descriptors: DescriptorCount) -> usize {
    let remainder = descriptors.saturating_sub(OTHER_DESCRIPTORS).get();
    let limit = remainder * 2 / DESCRIPTORS_OF_TWO;
    usize::try_from(limit.max(MIN_CALLERS)).unwrap_or(usize::MAX)
}

/// What becomes of a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It takes a free place.
    Admitted(ConnectionNumber),
    /// It is admitted, and the one that has rested longest has to be closed.
    Replaces {
        /// The new connection.
        admitted: ConnectionNumber,
        /// The connection to close.
        closed: ConnectionNumber,
    },
    /// It has to wait until one of those that give way is closed, or in use again.
    Delayed {
        /// A further connection to close.
        closed: Option<ConnectionNumber>,
    },
    /// All connections are in use.
    Refused,
}

/// Position in the order in which connections began to rest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RestOrder(u64);

chart_names! {
    /// What a connection is doing.
    pub(crate) enum PlaceState {
        /// No request is in progress.
        Resting,
        /// A request is in progress, or bytes wait to be written.
        InUse,
        /// It closes, unless a request has arrived.
        GivingWay,
    }
}

chart_names! {
    /// Events of a connection.
    pub(crate) enum PlaceEvent {
        /// A request begins.
        Used,
        /// Nothing is in progress any more.
        Rested,
        /// A new connection needs the place.
        RoomNeeded,
    }
}

static MACHINE: LazyMachine<PlaceState, PlaceEvent, ()> =
    LazyMachine::new(|| charts::compile(charts::LISTENER_PLACE, &Bindings::<()>::new()));

fn machine() -> &'static Machine<PlaceState, PlaceEvent, ()> {
    charts::verified(&MACHINE)
}

pub(crate) fn verify_chart() -> Result<(), ChartError> {
    MACHINE.as_ref().map(|_| ()).map_err(Clone::clone)
}

#[derive(Clone, Debug)]
struct Place {
    instance: Instance<PlaceState>,
    rests_since: RestOrder,
}

/// Connections of a listener.
#[derive(Clone, Debug)]
pub struct ListenerPlaces {
    limit: usize,
    open: HashMap<ConnectionNumber, Place>,
    resting: BTreeMap<RestOrder, ConnectionNumber>,
    giving_way: usize,
    last_number: ConnectionNumber,
    last_rest: RestOrder,
}

impl ListenerPlaces {
    /// Creates places for `limit` connections.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            open: HashMap::new(),
            resting: BTreeMap::new(),
            giving_way: 0,
            last_number: ConnectionNumber::ZERO,
            last_rest: RestOrder(0),
        }
    }

    /// Number of open connections.
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// Number of open connections that rest.
    pub fn resting(&self) -> usize {
        self.resting.len()
    }

    /// Takes a place for a new connection, which rests until its first request.
    pub fn admit(&mut self) -> Admission {
        if self.open.len() - self.giving_way < self.limit {
            return Admission::Admitted(self.insert());
        }
        let reserve = (self.limit / GIVING_WAY_RATIO).clamp(1, GIVING_WAY_LIMIT);
        if self.giving_way >= reserve {
            return Admission::Delayed { closed: None };
        }
        if self.open.len() >= self.limit + reserve {
            let closed = self.close_longest_resting();
            return match self.giving_way {
                0 => Admission::Refused,
                _ => Admission::Delayed { closed },
            };
        }
        match self.close_longest_resting() {
            Some(closed) => Admission::Replaces {
                admitted: self.insert(),
                closed,
            },
            None => Admission::Refused,
        }
    }

    /// Selects the connection that has rested longest, which has to be closed.
    pub fn close_longest_resting(&mut self) -> Option<ConnectionNumber> {
        let (_, number) = self.resting.first_key_value()?;
        let number = *number;
        self.step(number, PlaceEvent::RoomNeeded);
        Some(number)
    }

    /// Records that a connection is in use.
    pub fn use_connection(&mut self, number: ConnectionNumber) {
        self.step(number, PlaceEvent::Used);
    }

    /// Records that a connection rests from now on.
    pub fn rest(&mut self, number: ConnectionNumber) {
        self.step(number, PlaceEvent::Rested);
    }

    /// Frees the place of a connection that is closed.
    pub fn remove(&mut self, number: ConnectionNumber) {
        if let Some(place) = self.open.remove(&number) {
            self.uncount(&place);
        }
    }

    fn insert(&mut self) -> ConnectionNumber {
        self.last_number = self.last_number.next();
        let place = Place {
            instance: machine().start(MonoTime::ZERO, &mut ()),
            rests_since: self.last_rest,
        };
        self.count(self.last_number, place);
        self.last_number
    }

    fn step(&mut self, number: ConnectionNumber, event: PlaceEvent) {
        let Some(mut place) = self.open.remove(&number) else {
            return;
        };
        self.uncount(&place);
        // The chart has no timeouts, so the time doesn't matter.
        let has_entered = machine().step(&mut place.instance, MonoTime::ZERO, event, &mut ());
        match has_entered {
            true => self.count(number, place),
            false => self.recount(number, place),
        }
    }

    /// Adds a place whose state was just entered.
    fn count(&mut self, number: ConnectionNumber, mut place: Place) {
        self.last_rest = RestOrder(self.last_rest.0 + 1);
        place.rests_since = self.last_rest;
        self.recount(number, place);
    }

    fn recount(&mut self, number: ConnectionNumber, place: Place) {
        match place.instance.state() {
            PlaceState::Resting => {
                self.resting.insert(place.rests_since, number);
            }
            PlaceState::GivingWay => self.giving_way += 1,
            PlaceState::InUse => {}
        }
        self.open.insert(number, place);
    }

    fn uncount(&mut self, place: &Place) {
        match place.instance.state() {
            PlaceState::Resting => {
                self.resting.remove(&place.rests_since);
            }
            PlaceState::GivingWay => self.giving_way -= 1,
            PlaceState::InUse => {}
        }
    }
}
