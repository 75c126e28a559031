//! Places for the callers' connections of a process.
//!
//! A connection takes memory, a descriptor, and while it serves a request a second descriptor for
//! the endpoint. When a new one finds no place, the connection that has rested longest is
//! closed. While it and others close, the new one waits a bounded time. Only if none rests is the
//! new one refused. A few places are kept back for those that
//! are refused, and as many for those that close. The chart of a place is `caller_place`.

use std::collections::{BTreeMap, BTreeSet};

use parsleylatch_chart::{Bindings, ChartError, Instance, Machine, chart_names};
use parsleylatch_types::{
    ByteCount, ConnectionCount, ConnectionNumber, DescriptorCount, Millis, MonoTime,
};
use strum::VariantArray as _;

use super::place_limits::{CONNECTION_LIMIT, PlaceBound, PlaceLimits};
use crate::charts::{self, LazyMachine};

/// Time for which a new connection keeps its place without a request.
const FIRST_REQUEST_MS: Millis = Millis::new(1_000);
/// Maximum time for which the next connection waits for those that close.
const CLOSING_MS: Millis = Millis::new(20);
/// Maximum time for which it waits for those that are refused, which may send nothing.
const REFUSAL_MS: Millis = Millis::new(1);
/// Maximum time for which an accepted connection waits for room while others close.
const ROOM_WAIT_MS: Millis = Millis::new(500);
/// Time after which a connection that is refused and has sent nothing is dropped before those that
/// have their response.
const SILENCE_MS: Millis = Millis::new(100);
/// Descriptors of a connection that serves a request.
const BUSY_DESCRIPTORS: u64 = 2;
/// The limit is left when there is room for one in so many of the connections that it allows.
const LEFT_RATIO: u64 = 10;
/// Minimum time between two notices that the limit is reached.
const NOTICE_INTERVAL_MS: Millis = Millis::new(1_000);

chart_names! {
    /// What a place is taken by.
    pub enum PlaceState {
        /// A connection that waits for room while others close.
        Waiting,
        /// A connection on which no request has begun to arrive.
        Fresh,
        /// A request, or a part of a head.
        Busy,
        /// A connection that is kept open after a response.
        Resting,
        /// A connection that closes.
        Closing,
        /// A connection whose first request will be refused.
        Refusing,
        /// A connection whose first request is refused.
        Denying,
        /// A connection that has the refusal, and may still send a body.
        Denied,
        /// A connection that closes whatever arrives, without a response.
        Dropping,
        /// A connection that closes whatever arrives, after its refusal.
        Leaving,
    }
}

chart_names! {
    /// Events of a place.
    pub(crate) enum PlaceEvent {
        /// There is room.
        Admitted,
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

/// Whether a new connection is served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Its requests are served.
    Serve,
    /// It waits until this time at most, as others close, and is looked at again when one has.
    Wait(MonoTime),
    /// Its first request is refused.
    Refuse,
}

/// What a connection that was accepted, or that waits, leads to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Admitted {
    /// Number of the connection.
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
    /// Descriptors of callers' connections and of those to endpoints.
    pub used_descriptors: DescriptorCount,
}

struct Place {
    instance: Instance<PlaceState>,
    size: ByteCount,
    /// When it was accepted or refused.
    since: MonoTime,
    /// From when on it may be closed for room.
    closable_at: MonoTime,
}

/// Places of all callers' connections of a process.
pub struct ConnectionPlaces {
    limits: PlaceLimits,
    places: BTreeMap<ConnectionNumber, Place>,
    /// Fresh and resting connections by the time from which on they may be closed.
    closable: BTreeSet<(MonoTime, ConnectionNumber)>,
    /// Connections that are refused by the number of their state, in the order of arrival.
    refused: BTreeSet<(usize, ConnectionNumber)>,
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
            refused: BTreeSet::new(),
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
        let place = Place {
            instance: machine().start(now, &mut ()),
            size: self.limits.connection_size,
            since: now,
            closable_at: now + FIRST_REQUEST_MS,
        };
        self.places.insert(number, place);
        self.enter(number);
        self.look_for_room(now, number, endpoint_connections)
    }

    /// Looks for room for a connection that waits.
    pub fn look_for_room(
        &mut self,
        now: MonoTime,
        number: ConnectionNumber,
        endpoint_connections: ConnectionCount,
    ) -> Admitted {
        let reserve = self.limits.reserve().get();
        let size = self.limits.connection_size.get();
        let descriptors = self.limits.resting_descriptors();
        let mut closed = self.close_until_room(now, 1, reserve, descriptors, endpoint_connections);
        let has_room = self.has_room(1, self.limits.usable_descriptors(), endpoint_connections)
            && self.served_bytes + self.closing_bytes + size <= self.limits.open_bytes();
        let admission = match self.room_awaited_until(now, number) {
            _ if has_room => {
                self.step(now, number, PlaceEvent::Admitted);
                Admission::Serve
            }
            Some(until) => Admission::Wait(until),
            None => {
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

    /// Until when a connection waits for others that close; `None` if that is over, if none
    /// closes, or if as many wait as may.
    fn room_awaited_until(&self, now: MonoTime, number: ConnectionNumber) -> Option<MonoTime> {
        let until = self.places.get(&number)?.since + ROOM_WAIT_MS;
        let may_wait = self.count(PlaceState::Closing) > 0
            && self.count(PlaceState::Waiting) <= self.limits.reserve().get();
        Some(until).filter(|it| may_wait && now < *it)
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

    /// Chooses a connection that is refused if it has not had its response in time.
    pub fn end_refusal(
        &mut self,
        now: MonoTime,
        number: ConnectionNumber,
    ) -> Vec<ConnectionNumber> {
        let is_unanswered = matches!(
            self.state(number),
            Some(PlaceState::Refusing | PlaceState::Denying)
        );
        if !is_unanswered {
            return Vec::new();
        }
        self.step(now, number, PlaceEvent::RoomNeeded);
        vec![number]
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

    /// Whether a connection to an endpoint may stay open without a request.
    pub fn has_idle_descriptors(&self, endpoint_connections: ConnectionCount) -> bool {
        let used = self.used_descriptors(0, endpoint_connections);
        used <= self.limits.resting_descriptors()
    }

    /// Whether one more connection needs a descriptor of those to endpoints, as no connection of a
    /// caller can make room.
    pub fn needs_idle_descriptors(
        &self,
        now: MonoTime,
        endpoint_connections: ConnectionCount,
    ) -> bool {
        let used = self.used_descriptors(1, endpoint_connections);
        used > self.limits.resting_descriptors() && self.longest_closable(now).is_none()
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
        let states = [
            PlaceState::Closing,
            PlaceState::Dropping,
            PlaceState::Leaving,
        ];
        let ending: u64 = states.into_iter().map(|it| self.count(it)).sum();
        // One that has its response can go at once.
        let unanswered = self.count(PlaceState::Refusing) + self.count(PlaceState::Denying);
        match 2 * unanswered >= reserve {
            _ if ending >= reserve => CLOSING_MS,
            true => REFUSAL_MS,
            false => Millis::ZERO,
        }
    }

    /// Numbers for operators.
    pub fn occupancy(&self, endpoint_connections: ConnectionCount) -> Occupancy {
        let (limit, bound) = self.limits.limit();
        let open = self.places.len() as u64;
        let resting = self.count(PlaceState::Fresh) + self.count(PlaceState::Resting);
        Occupancy {
            open: ConnectionCount::new(open),
            resting: ConnectionCount::new(resting),
            limit,
            bound,
            endpoint_connections,
            descriptors: self.limits.descriptors,
            used_descriptors: DescriptorCount::new(open + endpoint_connections.get()),
        }
    }

    /// Whether the limit was reached or left since the last notice. It is noticed as reached at
    /// most once in [`NOTICE_INTERVAL_MS`].
    pub fn take_notice(
        &mut self,
        now: MonoTime,
        endpoint_connections: ConnectionCount,
    ) -> Option<LimitNotice> {
        let (limit, _) = self.limits.limit();
        let margin = limit.get().div_ceil(LEFT_RATIO);
        let descriptors = self.limits.resting_descriptors();
        if self.has_room(margin, descriptors, endpoint_connections) {
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

    /// Chooses the connection that is refused and dropped first if their places are taken.
    fn drop_oldest_refused(&mut self, now: MonoTime) -> Option<ConnectionNumber> {
        if (self.refused.len() as u64) < self.limits.reserve().get() {
            return None;
        }
        let silent = self.oldest_refused(PlaceState::Refusing);
        let is_late = |it: &ConnectionNumber| {
            let place = self.places.get(it);
            place.is_some_and(|it| it.since + SILENCE_MS <= now)
        };
        let dropped = silent
            .filter(is_late)
            .or_else(|| self.oldest_refused(PlaceState::Denied))
            .or(silent)
            .or_else(|| self.oldest_refused(PlaceState::Denying))?;
        self.step(now, dropped, PlaceEvent::RoomNeeded);
        Some(dropped)
    }

    fn oldest_refused(&self, state: PlaceState) -> Option<ConnectionNumber> {
        let mut from = self
            .refused
            .range((state as usize, ConnectionNumber::ZERO)..);
        let oldest = from.next().filter(|(found, _)| *found == state as usize);
        oldest.map(|(_, number)| *number)
    }

    fn step(&mut self, now: MonoTime, number: ConnectionNumber, event: PlaceEvent) {
        self.leave(number);
        if let Some(place) = self.places.get_mut(&number) {
            machine().step(&mut place.instance, now, event, &mut ());
            match event {
                PlaceEvent::Rested => place.closable_at = now,
                PlaceEvent::Refused => place.since = now,
                _ => {}
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
            PlaceState::Refusing | PlaceState::Denying | PlaceState::Denied => {
                self.refused.insert((state as usize, number));
            }
            PlaceState::Closing => self.closing_bytes += place.size.get(),
            PlaceState::Waiting | PlaceState::Dropping | PlaceState::Leaving => {}
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
            PlaceState::Refusing | PlaceState::Denying | PlaceState::Denied => {
                self.refused.remove(&(state as usize, number));
            }
            PlaceState::Closing => self.closing_bytes -= place.size.get(),
            PlaceState::Waiting | PlaceState::Dropping | PlaceState::Leaving => {}
        }
    }
}
