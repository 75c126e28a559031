//! Places of the connections that a listener has accepted.
//!
//! Each connection is in use or resting. At the limit, the connection that has rested longest
//! gives way to a new one, and a new one is refused if none rests. A connection that gives way
//! keeps its place until it is closed, or returns to use if a request has arrived meanwhile.

use std::collections::{BTreeMap, HashMap};

use parsleylatch_types::{ConnectionNumber, DescriptorCount};

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

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Activity {
    Resting(RestOrder),
    InUse,
    GivingWay,
}

/// Connections of a listener.
#[derive(Clone, Debug)]
pub struct ConnectionPlaces {
    limit: usize,
    open: HashMap<ConnectionNumber, Activity>,
    resting: BTreeMap<RestOrder, ConnectionNumber>,
    giving_way: usize,
    last_number: ConnectionNumber,
    last_rest: RestOrder,
}

impl ConnectionPlaces {
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
        let (_, number) = self.resting.pop_first()?;
        self.open.insert(number, Activity::GivingWay);
        self.giving_way += 1;
        Some(number)
    }

    /// Records that a connection is in use.
    pub fn use_connection(&mut self, number: ConnectionNumber) {
        self.set(number, Activity::InUse);
    }

    /// Records that a connection rests from now on.
    pub fn rest(&mut self, number: ConnectionNumber) {
        self.last_rest = RestOrder(self.last_rest.0 + 1);
        self.set(number, Activity::Resting(self.last_rest));
    }

    /// Frees the place of a connection that is closed.
    pub fn remove(&mut self, number: ConnectionNumber) {
        if let Some(activity) = self.open.remove(&number) {
            self.leave(activity);
        }
    }

    fn insert(&mut self) -> ConnectionNumber {
        self.last_number = self.last_number.next();
        self.open.insert(self.last_number, Activity::InUse);
        self.rest(self.last_number);
        self.last_number
    }

    fn set(&mut self, number: ConnectionNumber, activity: Activity) {
        let Some(previous) = self.open.get_mut(&number) else {
            return;
        };
        let previous = std::mem::replace(previous, activity);
        self.leave(previous);
        if let Activity::Resting(order) = activity {
            self.resting.insert(order, number);
        }
    }

    fn leave(&mut self, activity: Activity) {
        match activity {
            Activity::Resting(order) => {
                self.resting.remove(&order);
            }
            Activity::GivingWay => self.giving_way -= 1,
            Activity::InUse => {}
        }
    }
}
