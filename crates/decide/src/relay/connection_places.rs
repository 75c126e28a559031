//! Places for the callers' connections of a process.
//!
//! A connection takes memory, a descriptor, and while it serves a request a second descriptor for
//! the endpoint. When a new one finds no place, the connection that has rested longest is
//! closed. Only if none rests is the new one refused. A few places are kept back for those that
//! are refused, and as many for those that close. The chart of a place is `caller_place`.

use std::collections::{BTreeMap, BTreeSet};

use parsleylatch_chart::{Bindings, ChartError, Instance, Machine, chart_names};
use parsleylatch_types::{
    ByteCount, ConnectionCount, ConnectionNumber, DescriptorCount, Millis, MonoTime,
};
use strum::VariantArray as _;

use super::memory_plan::MemoryPlan;
use crate::charts::{self, LazyMachine};

/// Maximum number of callers' connections of a process.
const CONNECTION_LIMIT: u64 = 2_600;
/// Time for which a new connection keeps its place without a request.
const FIRST_REQUEST_MS: Millis = Millis::new(1_000);
/// Maximum time for which the next connection waits for those that close.
const CLOSING_MS: Millis = Millis::new(20);
/// Maximum time for which it waits for those that are refused, which may send nothing.
const REFUSAL_MS: Millis = Millis::new(1);
/// One in so many places is kept back for connections that are refused, and as many for those
/// that close.
const RESERVE_RATIO: u64 = 16;
/// Maximum of each reserve.
const MAX_RESERVE: u64 = 64;
/// Descriptors of the process itself: listeners, log, store.
const OWN_DESCRIPTORS: u64 = 64;
/// Descriptors of the listener for other nodes: its connections, and those that give way.
const PEER_DESCRIPTORS: u64 = 64 + 16;
/// Descriptors of a listener for pages: its connections, those that give way, those that are
/// refused, and of the latter those that give way.
const PAGE_DESCRIPTORS: u64 = 64 + 16 + 16 + 4;
/// Descriptors that new connections leave, while others rest, for links to other nodes and for
/// the pages for readiness and metrics.
const STATUS_DESCRIPTORS: u64 = PEER_DESCRIPTORS + 2 * PAGE_DESCRIPTORS;
/// Maximum part of the descriptors that is kept for either, as a divisor.
const SMALL_PROCESS_PART: u64 = 4;
/// Descriptors of a connection that serves a request.
const BUSY_DESCRIPTORS: u64 = 2;
/// Part of the limit below which it is left, in percent.
const LEFT_PERCENT: u64 = 90;
/// Minimum time between two notices that the limit is reached.
const NOTICE_INTERVAL_MS: Millis = Millis::new(1_000);

chart_names! {
    /// What a place is taken by.
    pub enum PlaceState {
        /// A connection on which no request has begun to arrive.
        Fresh,
        /// A request, or a part of a head.
        Busy,
        /// A connection that is kept open after a response.
        Resting,
        /// A connection that closes.
        Closing,
        /// A connection whose first request is refused.
        Refusing,
        /// A connection that closes whatever arrives.
        Dropping,
    }
}

chart_names! {
    /// Events of a place.
    pub(crate) enum PlaceEvent {
        /// A request, or a part of a head, has arrived.
        Began,
        /// The response was sent.
        Rested,
        /// There is no room.
        Refused,
        /// Another connection needs the place.
        RoomNeeded,
    }
}

static MACHINE: LazyMachine<PlaceState, PlaceEvent, ()> =
    LazyMachine::new(|| charts::compile(charts::CALLER_PLACE, &Bindings::<()>::new()));

fn machine() -> &'static Machine<PlaceState, PlaceEvent, ()> {
    charts::verified(&MACHINE)
}

pub(crate) fn verify_chart() -> Result<(), ChartError> {
    MACHINE.as_ref().map(|_| ()).map_err(Clone::clone)
}

/// Limits in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlaceLimits {
    /// Memory for all callers' connections.
    pub memory: ByteCount,
    /// Memory of a connection that is accepted now.
    pub connection_size: ByteCount,
    /// Descriptors of the process.
    pub descriptors: DescriptorCount,
}

/// What bounds the number of connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum PlaceBound {
    /// The memory of the process.
    Memory,
    /// The descriptors of the process.
    Descriptors,
    /// The maximum for any process.
    Maximum,
}

impl PlaceLimits {
    /// Limits of a process by its memory, the configured limit on heads and its descriptors.
    pub fn new(plan: &MemoryPlan, head: ByteCount, descriptors: DescriptorCount) -> Self {
        Self {
            memory: plan.connections,
            connection_size: MemoryPlan::connection_size(head),
            descriptors,
        }
    }

    /// Places that are kept back for refusals, and as many for connections that close.
    pub fn reserve(&self) -> ConnectionCount {
        let places = self.memory.get() / self.connection_size.get();
        let places = places
            .min(CONNECTION_LIMIT)
            .min(self.resting_descriptors().max(1));
        ConnectionCount::new((places / RESERVE_RATIO).clamp(1, MAX_RESERVE))
    }

    /// Memory for connections that are served.
    fn served_bytes(&self) -> u64 {
        let reserved = 2 * self.reserve().get() * self.connection_size.get();
        self.memory.get().saturating_sub(reserved)
    }

    /// Memory for connections that are served or close.
    fn open_bytes(&self) -> u64 {
        let reserved = self.reserve().get() * self.connection_size.get();
        self.memory.get().saturating_sub(reserved)
    }

    /// Descriptors for connections of callers and to endpoints.
    fn usable_descriptors(&self) -> u64 {
        let all = self.descriptors.get();
        all - OWN_DESCRIPTORS.min(all / SMALL_PROCESS_PART)
    }

    /// Descriptors that may be used while connections rest that could make room.
    fn resting_descriptors(&self) -> u64 {
        let all = self.descriptors.get();
        self.usable_descriptors() - STATUS_DESCRIPTORS.min(all / SMALL_PROCESS_PART)
    }

    /// Number of connections that may stay open, and what bounds it.
    pub fn limit(&self) -> (ConnectionCount, PlaceBound) {
        let bounds = [
            (
                self.served_bytes() / self.connection_size.get(),
                PlaceBound::Memory,
            ),
            (self.resting_descriptors(), PlaceBound::Descriptors),
            (CONNECTION_LIMIT, PlaceBound::Maximum),
        ];
        let (count, bound) = bounds
            .into_iter()
            .min_by_key(|(count, _)| *count)
            .unwrap_or((CONNECTION_LIMIT, PlaceBound::Maximum));
        (ConnectionCount::new(count), bound)
    }
}

/// Whether a new connection is served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Its requests are served.
    Serve,
    /// Its first request is refused.
    Refuse,
}

/// What a connection that was accepted leads to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Admitted {
    /// Number of the new connection.
    pub number: ConnectionNumber,
    /// Whether it is served.
    pub admission: Admission,
    /// Connections to close.
    pub closed: Vec<ConnectionNumber>,
}

/// That the limit was reached or left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitNotice {
    /// Connections are closed or refused for lack of room.
    Reached,
    /// There is room again.
    Left,
}

/// Numbers for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Occupancy {
    /// Open connections, with those that are refused or close.
    pub open: ConnectionCount,
    /// Connections that serve no request.
    pub resting: ConnectionCount,
    /// Limit in force.
    pub limit: ConnectionCount,
    /// What it comes from.
    pub bound: PlaceBound,
    /// Open connections to endpoints.
    pub endpoint_connections: ConnectionCount,
    /// Descriptors of the process.
    pub descriptors: DescriptorCount,
}

struct Place {
    instance: Instance<PlaceState>,
    size: ByteCount,
    /// From when on it may be closed for room.
    closable_at: MonoTime,
}

/// Places of all callers' connections of a process.
pub struct ConnectionPlaces {
    limits: PlaceLimits,
    places: BTreeMap<ConnectionNumber, Place>,
    /// Fresh and resting connections by the time from which on they may be closed.
    closable: BTreeSet<(MonoTime, ConnectionNumber)>,
    /// Connections that are refused, in the order in which they were accepted.
    refusing: BTreeSet<ConnectionNumber>,
    counts: [u64; PlaceState::VARIANTS.len()],
    /// Memory of fresh, busy and resting connections.
    served_bytes: u64,
    /// Memory of connections that close.
    closing_bytes: u64,
    next: ConnectionNumber,
    is_at_limit: bool,
    /// Whether the last notice says that the limit is reached.
    was_noticed: bool,
    noticed_at: Option<MonoTime>,
}

impl ConnectionPlaces {
    /// Places of a process without connections.
    pub fn new(limits: PlaceLimits) -> Self {
        Self {
            limits,
            places: BTreeMap::new(),
            closable: BTreeSet::new(),
            refusing: BTreeSet::new(),
            counts: [0; PlaceState::VARIANTS.len()],
            served_bytes: 0,
            closing_bytes: 0,
            next: ConnectionNumber::ZERO,
            is_at_limit: false,
            was_noticed: false,
            noticed_at: None,
        }
    }

    /// Replaces the limits.
    pub fn set_limits(&mut self, limits: PlaceLimits) {
        self.limits = limits;
    }

    /// Gives a new connection a place. `endpoint_connections` are those that the process has
    /// open.
    pub fn admit(&mut self, now: MonoTime, endpoint_connections: ConnectionCount) -> Admitted {
        let number = self.next;
        self.next = number.next();
        let size = self.limits.connection_size;
        let reserve = self.limits.reserve().get();
        let descriptors = self.limits.resting_descriptors();
        let mut closed = self.close_until_room(now, 1, reserve, descriptors, endpoint_connections);
        let has_room = self.has_room(1, self.limits.usable_descriptors(), endpoint_connections)
            && self.served_bytes + self.closing_bytes + size.get() <= self.limits.open_bytes();
        let place = Place {
            instance: machine().start(now, &mut ()),
            size,
            closable_at: now + FIRST_REQUEST_MS,
        };
        self.places.insert(number, place);
        self.enter(number);
        let admission = match has_room {
            true => Admission::Serve,
            false => {
                closed.extend(self.drop_oldest_refused(now));
                self.step(now, number, PlaceEvent::Refused);
                Admission::Refuse
            }
        };
        self.is_at_limit |= !closed.is_empty() || !has_room;
        Admitted {
            number,
            admission,
            closed,
        }
    }

    /// Records that a request or a part of a head has arrived; returns connections to close.
    pub fn begin(
        &mut self,
        now: MonoTime,
        number: ConnectionNumber,
        endpoint_connections: ConnectionCount,
    ) -> Vec<ConnectionNumber> {
        self.step(now, number, PlaceEvent::Began);
        self.close_excess(now, endpoint_connections)
    }

    /// Records that a response was sent; returns connections to close.
    pub fn rest(
        &mut self,
        now: MonoTime,
        number: ConnectionNumber,
        endpoint_connections: ConnectionCount,
    ) -> Vec<ConnectionNumber> {
        self.step(now, number, PlaceEvent::Rested);
        self.close_excess(now, endpoint_connections)
    }

    /// Records that a connection has ended.
    pub fn release(&mut self, number: ConnectionNumber) {
        self.leave(number);
        self.places.remove(&number);
    }

    /// Chooses resting connections to close until the others are within the limits.
    pub fn close_excess(
        &mut self,
        now: MonoTime,
        endpoint_connections: ConnectionCount,
    ) -> Vec<ConnectionNumber> {
        let descriptors = self.limits.usable_descriptors();
        let closed = self.close_until_room(now, 0, u64::MAX, descriptors, endpoint_connections);
        self.is_at_limit |= !closed.is_empty();
        closed
    }

    /// Chooses the connections that have rested longest, as the process has no descriptors left.
    pub fn close_longest(&mut self, now: MonoTime) -> Vec<ConnectionNumber> {
        let mut closed = Vec::new();
        while self.count(PlaceState::Closing) < self.limits.reserve().get()
            && let Some(number) = self.longest_closable(now)
        {
            self.step(now, number, PlaceEvent::RoomNeeded);
            closed.push(number);
        }
        self.is_at_limit |= !closed.is_empty();
        closed
    }

    /// Whether one more connection would use descriptors that resting ones leave.
    pub fn lacks_descriptors(&self, endpoint_connections: ConnectionCount) -> bool {
        let used = self.used_descriptors(1, endpoint_connections);
        used > self.limits.resting_descriptors()
    }

    /// State of a connection's place.
    pub fn state(&self, number: ConnectionNumber) -> Option<PlaceState> {
        self.places.get(&number).map(|it| it.instance.state())
    }

    /// Whether more connections are served than there is room for.
    pub fn is_exceeded(&self, endpoint_connections: ConnectionCount) -> bool {
        !self.has_room(0, self.limits.usable_descriptors(), endpoint_connections)
    }

    /// Time for which the next connection waits until others have ended, as many are refused or
    /// close.
    pub fn accept_delay(&self) -> Millis {
        let reserve = self.limits.reserve().get();
        let ending = self.count(PlaceState::Closing) + self.count(PlaceState::Dropping);
        match 2 * self.count(PlaceState::Refusing) >= reserve {
            _ if ending >= reserve => CLOSING_MS,
            true => REFUSAL_MS,
            false => Millis::ZERO,
        }
    }

    /// Numbers for operators.
    pub fn occupancy(&self, endpoint_connections: ConnectionCount) -> Occupancy {
        let (limit, bound) = self.limits.limit();
        let resting = self.count(PlaceState::Fresh) + self.count(PlaceState::Resting);
        Occupancy {
            open: ConnectionCount::new(self.places.len() as u64),
            resting: ConnectionCount::new(resting),
            limit,
            bound,
            endpoint_connections,
            descriptors: self.limits.descriptors,
        }
    }

    /// Whether the limit was reached or left since the last notice. It is noticed as reached at
    /// most once in [`NOTICE_INTERVAL_MS`].
    pub fn take_notice(&mut self, now: MonoTime) -> Option<LimitNotice> {
        let (limit, _) = self.limits.limit();
        let open = self.places.len() as u64;
        if self.is_at_limit && open * 100 < limit.get() * LEFT_PERCENT {
            self.is_at_limit = false;
        }
        let is_recent = |at: MonoTime| now.since(at) < NOTICE_INTERVAL_MS.micros();
        match (self.was_noticed, self.is_at_limit) {
            (false, true) if !self.noticed_at.is_some_and(is_recent) => {
                self.was_noticed = true;
                self.noticed_at = Some(now);
                Some(LimitNotice::Reached)
            }
            (true, false) => {
                self.was_noticed = false;
                Some(LimitNotice::Left)
            }
            _ => None,
        }
    }

    fn count(&self, state: PlaceState) -> u64 {
        self.counts[state as usize]
    }

    /// Number of fresh, busy and resting connections.
    fn served(&self) -> u64 {
        let states = [PlaceState::Fresh, PlaceState::Busy, PlaceState::Resting];
        states.into_iter().map(|it| self.count(it)).sum()
    }

    /// Whether `added` more connections are within the limits.
    fn has_room(
        &self,
        added: u64,
        descriptors: u64,
        endpoint_connections: ConnectionCount,
    ) -> bool {
        let served = self.served() + added;
        let bytes = self.served_bytes + added * self.limits.connection_size.get();
        let used = self.used_descriptors(added, endpoint_connections);
        bytes <= self.limits.served_bytes() && served <= CONNECTION_LIMIT && used <= descriptors
    }

    /// Descriptors of the connections that are served, of `added` ones that serve a request, and
    /// of those to endpoints.
    fn used_descriptors(&self, added: u64, endpoint_connections: ConnectionCount) -> u64 {
        let to_endpoints = self.count(PlaceState::Busy).max(endpoint_connections.get());
        self.served() + to_endpoints + added * BUSY_DESCRIPTORS
    }

    /// The connection that has rested longest.
    fn longest_closable(&self, now: MonoTime) -> Option<ConnectionNumber> {
        let longest = self.closable.first().filter(|(at, _)| *at <= now);
        longest.map(|(_, number)| *number)
    }

    fn close_until_room(
        &mut self,
        now: MonoTime,
        added: u64,
        max_closing: u64,
        descriptors: u64,
        endpoint_connections: ConnectionCount,
    ) -> Vec<ConnectionNumber> {
        let mut closed = Vec::new();
        while !self.has_room(added, descriptors, endpoint_connections)
            && self.count(PlaceState::Closing) < max_closing
        {
            let Some(number) = self.longest_closable(now) else {
                break;
            };
            self.step(now, number, PlaceEvent::RoomNeeded);
            closed.push(number);
        }
        closed
    }

    /// Chooses the oldest connection that is refused if their places are taken.
    fn drop_oldest_refused(&mut self, now: MonoTime) -> Option<ConnectionNumber> {
        let is_full = self.count(PlaceState::Refusing) >= self.limits.reserve().get();
        let oldest = self.refusing.first().copied().filter(|_| is_full)?;
        self.step(now, oldest, PlaceEvent::RoomNeeded);
        Some(oldest)
    }

    fn step(&mut self, now: MonoTime, number: ConnectionNumber, event: PlaceEvent) {
        self.leave(number);
        if let Some(place) = self.places.get_mut(&number) {
            machine().step(&mut place.instance, now, event, &mut ());
            if event == PlaceEvent::Rested {
                place.closable_at = now;
            }
        }
        self.enter(number);
    }

    /// Counts a connection by its state.
    fn enter(&mut self, number: ConnectionNumber) {
        let Some(place) = self.places.get(&number) else {
            return;
        };
        let state = place.instance.state();
        self.counts[state as usize] += 1;
        match state {
            PlaceState::Fresh | PlaceState::Resting => {
                self.served_bytes += place.size.get();
                self.closable.insert((place.closable_at, number));
            }
            PlaceState::Busy => self.served_bytes += place.size.get(),
            PlaceState::Refusing => {
                self.refusing.insert(number);
            }
            PlaceState::Closing => self.closing_bytes += place.size.get(),
            PlaceState::Dropping => {}
        }
    }

    /// Reverses [`Self::enter`].
    fn leave(&mut self, number: ConnectionNumber) {
        let Some(place) = self.places.get(&number) else {
            return;
        };
        let state = place.instance.state();
        self.counts[state as usize] -= 1;
        match state {
            PlaceState::Fresh | PlaceState::Resting => {
                self.served_bytes -= place.size.get();
                self.closable.remove(&(place.closable_at, number));
            }
            PlaceState::Busy => self.served_bytes -= place.size.get(),
            PlaceState::Refusing => {
                self.refusing.remove(&number);
            }
            PlaceState::Closing => self.closing_bytes -= place.size.get(),
            PlaceState::Dropping => {}
        }
    }
}
