//! Streams that wait at the node until an engine has room.
//!
//! Load pattern: a burst of several times the usual traffic. In order of arrival, the
//! backlog makes every stream late that arrives before it is worked off. The streams that
//! can still begin in time go first, by rank and by the time until which they can. Late
//! ones use the remaining room, and leave room for a stream that arrives after them. One
//! placement in [`LATE_TURN_INTERVAL`] goes to the stream whose caller leaves first,
//! whatever its rank, so that none starves in a long overload. A stream that can't be
//! reached before its caller leaves is rejected as soon as this shows.
//!
//! Load pattern: a planned stop of the node meanwhile. A stream that would outlast the
//! process is rejected as soon as this shows, so that its caller goes to another node with
//! most of its time left.

use std::collections::VecDeque;

use parsleylatch_types::{ByteCount, Micros, Millis, MonoTime, Rank, RequestCount};

use super::{
    assignment::Assignment,
    engine_load::StreamSize,
    hopeless::is_hopeless,
    rank_reserve::{RankClass, RoomClaim},
    stream_duration::StreamDurations,
};
use crate::relay::placement_cost::PREFILL_TOKENS_PER_MS;

/// Requests that may wait for one service at one traffic thread.
const QUEUE_LIMIT: RequestCount = RequestCount::new(512);
/// Bytes of request bodies that may wait for one service at one traffic thread.
const QUEUE_BYTES_LIMIT: ByteCount = ByteCount::new(8 << 20);
/// Placements of which one goes to the stream with the earliest deadline.
const LATE_TURN_INTERVAL: u64 = 4;
/// Period over which the rate of placements is measured.
const RATE_WINDOW_MS: Millis = Millis::new(4_000);
/// Placements within that period from which the rate is known.
const MEASURED_PLACEMENTS: usize = 2;

/// Time for which a service counts as overloaded after no engine had room.
const OVERLOAD_MEMORY_MS: Millis = Millis::new(2_000);
/// Time for which engines that did not report their state are not asked for it.
const UNREPORTED_MEMORY_MS: Millis = Millis::new(10_000);
/// Time over which rounds of queries without a report show that engines report nothing. Sound
/// ones may fall silent for a moment, or answer late on a busy VM.
const UNREPORTED_AFTER_MS: Millis = Millis::new(1_000);
/// Time between two rounds of queries above which the second one begins anew.
const ROUND_GAP_MS: Millis = Millis::new(1_000);

/// Time for which a sound endpoint may fall silent during a stream.
const SILENCE_ALLOWANCE_MS: Millis = Millis::new(1_500);

/// Identifies a stream in a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueTicket(u64);

/// A stream that waits.
#[derive(Clone, Copy, Debug)]
pub struct QueuedStream {
    /// Rank of the request.
    pub rank: Rank,
    /// Time until which the first event is on time.
    pub goal_at: MonoTime,
    /// Time at which the caller leaves.
    pub deadline: MonoTime,
    /// Size of the stream.
    pub size: StreamSize,
    /// Class of its rank.
    pub rank_class: RankClass,
    /// Size of the request body.
    pub body_bytes: ByteCount,
}

impl QueuedStream {
    /// Whether the first event is on time if the prompt is sent to an idle engine `now`.
    fn is_in_time(&self, now: MonoTime) -> bool {
        let prompt = u64::from(self.size.prompt.get());
        now + Millis::new(prompt / PREFILL_TOKENS_PER_MS) <= self.goal_at
    }

    /// Order in which streams are placed; late ones come last.
    fn order(&self, now: MonoTime) -> (bool, Rank, MonoTime) {
        match self.is_in_time(now) {
            true => (false, self.rank, self.goal_at),
            false => (true, self.rank, self.deadline),
        }
    }

    /// Room that an engine must have for the stream.
    fn room_claim(&self, now: MonoTime, is_late_turn: bool) -> RoomClaim {
        let is_late = !self.is_in_time(now);
        if is_late && is_late_turn {
            return RoomClaim::from(self.size);
        }
        RoomClaim {
            size: self.size,
            rank_class: self.rank_class,
            is_late,
        }
    }
}

/// Why a stream may not wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueRejection {
    /// The queue is at its limit, or the stream would wait beyond its deadline.
    Full {
        /// Time after which the streams that wait now are presumably placed.
        expected_wait: Micros,
    },
    /// The stream would outlast the process.
    Stopping,
}

/// Waiting streams of one service at one traffic thread.
#[derive(Debug)]
pub struct PlacementQueue {
    waiting: Vec<(QueueTicket, QueuedStream)>,
    body_bytes: u64,
    next_ticket: u64,
    placements: u64,
    recent_placements: VecDeque<MonoTime>,
    last_full_at: Option<MonoTime>,
    /// When engines were last found to report nothing.
    unreported_at: Option<MonoTime>,
    /// First and last of the latest rounds of queries without a report.
    missing_rounds: Option<(MonoTime, MonoTime)>,
    durations: StreamDurations,
    /// Time by which a stopping process has to respond.
    response_deadline: MonoTime,
    /// Time until which streams are accepted.
    accepts_until: MonoTime,
}

impl Default for PlacementQueue {
    fn default() -> Self {
        Self {
            waiting: Vec::new(),
            body_bytes: 0,
            next_ticket: 0,
            placements: 0,
            recent_placements: VecDeque::new(),
            last_full_at: None,
            unreported_at: None,
            missing_rounds: None,
            durations: StreamDurations::default(),
            response_deadline: MonoTime::MAX,
            accepts_until: MonoTime::MAX,
        }
    }
}

impl PlacementQueue {
    /// Adds a stream.
    ///
    /// # Errors
    /// The queue has reached a limit, or moves too slowly for the stream's deadline or for
    /// the end of the process.
    pub fn push(
        &mut self,
        now: MonoTime,
        stream: QueuedStream,
    ) -> Result<QueueTicket, QueueRejection> {
        let body_bytes = self.body_bytes.saturating_add(stream.body_bytes.get());
        let expected_wait = self.expected_wait(now);
        let is_full =
            self.waiting.len() as u64 >= QUEUE_LIMIT.get() || body_bytes > QUEUE_BYTES_LIMIT.get();
        let order = stream.order(now);
        let before = self.waiting.iter();
        let before = before.filter(|(_, it)| it.order(now) <= order).count() as u64;
        let own_wait = self.placement_interval(now).saturating_mul(before);
        if self.outlasts_process(now + own_wait, stream.size) {
            return Err(QueueRejection::Stopping);
        }
        if is_full || now + own_wait >= stream.deadline {
            return Err(QueueRejection::Full { expected_wait });
        }
        let ticket = QueueTicket(self.next_ticket);
        self.next_ticket += 1;
        self.body_bytes = body_bytes;
        self.waiting.push((ticket, stream));
        Ok(ticket)
    }

    /// Removes a stream whose caller has left.
    pub fn remove(&mut self, ticket: QueueTicket) {
        if let Some(index) = self.waiting.iter().position(|(it, _)| *it == ticket) {
            self.take(index);
        }
    }

    /// Removes and returns the next stream to place, among those for whose claim an engine
    /// `has_room`.
    pub fn take_next<HasRoom>(
        &mut self,
        now: MonoTime,
        has_room: HasRoom,
    ) -> Option<(QueueTicket, QueuedStream, RoomClaim)>
    where
        HasRoom: Fn(RoomClaim) -> bool,
    {
        let is_late_turn = self.placements % LATE_TURN_INTERVAL == LATE_TURN_INTERVAL - 1;
        let candidates = self.waiting.iter().enumerate();
        let candidates =
            candidates.filter(|(_, (_, stream))| has_room(stream.room_claim(now, is_late_turn)));
        let next = candidates.min_by_key(|(_, (ticket, stream))| match is_late_turn {
            true => ((false, Rank::ZERO, stream.deadline), *ticket),
            false => (stream.order(now), *ticket),
        });
        let index = next.map(|(index, _)| index)?;
        self.placements += 1;
        self.drop_expired(now);
        self.recent_placements.push_back(now);
        let (ticket, stream) = self.take(index);
        Some((ticket, stream, stream.room_claim(now, is_late_turn)))
    }

    /// Removes and returns the streams that can't begin before their deadline, or would
    /// outlast the process, even if all further placements go to waiting streams.
    pub fn take_hopeless(&mut self, now: MonoTime) -> Vec<(QueueTicket, Assignment)> {
        let interval = self.placement_interval(now);
        let mut in_order = self.waiting.clone();
        in_order.sort_unstable_by_key(|(ticket, stream)| (stream.order(now), *ticket));
        let mut placed_at = now;
        let mut hopeless = Vec::new();
        for (ticket, stream) in in_order {
            if self.outlasts_process(placed_at, stream.size) {
                hopeless.push((ticket, Assignment::Stopping));
            } else if is_hopeless(placed_at, stream.deadline, stream.size.prompt) {
                hopeless.push((ticket, Assignment::Hopeless));
            } else {
                placed_at = placed_at + interval;
            }
        }
        for (ticket, _) in &hopeless {
            self.remove(*ticket);
        }
        hopeless
    }

    /// Sets the time by which a stopping process has to respond.
    pub fn set_response_deadline(&mut self, at: MonoTime) {
        self.response_deadline = at;
    }

    /// Sets the time until which new streams are accepted.
    pub fn set_acceptance_end(&mut self, at: MonoTime) {
        self.accepts_until = at;
    }

    /// Whether a new stream is accepted `now`. A stopping process refuses one that would outlast
    /// it if its endpoint fell silent, as its caller can still be served elsewhere.
    pub fn accepts(&self, now: MonoTime, size: StreamSize) -> bool {
        now < self.accepts_until && !self.outlasts_process(now + SILENCE_ALLOWANCE_MS, size)
    }

    /// Records that one attempt has run a whole stream in `duration`.
    pub fn record_finished(&mut self, size: StreamSize, duration: Micros) {
        self.durations.record(size, duration);
    }

    /// Whether a stream that is sent at `sent_at` would not end before the process does.
    pub fn outlasts_process(&self, sent_at: MonoTime, size: StreamSize) -> bool {
        sent_at + self.durations.expected(size) > self.response_deadline
    }

    /// Whether no stream waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Whether any waiting stream's claim satisfies `condition`.
    pub(super) fn has_any<Condition>(&self, now: MonoTime, condition: Condition) -> bool
    where
        Condition: Fn(RoomClaim) -> bool,
    {
        let mut waiting = self.waiting.iter();
        waiting.any(|(_, stream)| condition(stream.room_claim(now, false)))
    }

    /// Records that streams still wait after all engines with room were assigned.
    pub(super) fn record_full(&mut self, now: MonoTime) {
        self.last_full_at = Some(now);
    }

    /// Whether streams find no engine with room, or found none a short time ago.
    pub fn is_overloaded(&self, now: MonoTime) -> bool {
        let period = OVERLOAD_MEMORY_MS.micros();
        self.last_full_at.is_some_and(|at| now.since(at) <= period)
    }

    /// Records a round of queries, in which some engine or none reported its state.
    pub(super) fn record_round(&mut self, now: MonoTime, has_reports: bool) {
        if has_reports {
            self.unreported_at = None;
            self.missing_rounds = None;
            return;
        }
        let previous = self.missing_rounds;
        let previous = previous.filter(|(_, last)| now.since(*last) <= ROUND_GAP_MS.micros());
        let first = previous.map_or(now, |(first, _)| first);
        self.missing_rounds = Some((first, now));
        let is_lasting = now.since(first) >= UNREPORTED_AFTER_MS.micros();
        if is_lasting || self.unreported_at.is_some() {
            self.unreported_at = Some(now);
        }
    }

    /// Whether the engines report their state, as far as is known.
    pub(super) fn is_reported(&self, now: MonoTime) -> bool {
        let period = UNREPORTED_MEMORY_MS.micros();
        self.unreported_at.is_none_or(|at| now.since(at) > period)
    }

    /// Time after which the streams that wait now are presumably placed, by the recent
    /// rate of placements; zero if it is unknown.
    pub fn expected_wait(&self, now: MonoTime) -> Micros {
        let waiting = self.waiting.len() as u64;
        self.placement_interval(now).saturating_mul(waiting)
    }

    /// Mean interval between recent placements; zero if there were too few.
    fn placement_interval(&self, now: MonoTime) -> Micros {
        let window = RATE_WINDOW_MS.micros();
        let recent = self.recent_placements.iter();
        let placed = recent.filter(|at| now.since(**at) <= window).count();
        match placed < MEASURED_PLACEMENTS {
            true => Micros::ZERO,
            false => Micros::new(window.get() / placed as u64),
        }
    }

    fn take(&mut self, index: usize) -> (QueueTicket, QueuedStream) {
        let taken = self.waiting.swap_remove(index);
        self.body_bytes = self.body_bytes.saturating_sub(taken.1.body_bytes.get());
        taken
    }

    fn drop_expired(&mut self, now: MonoTime) {
        let window = RATE_WINDOW_MS.micros();
        while let Some(oldest) = self.recent_placements.front()
            && now.since(*oldest) > window
        {
            self.recent_placements.pop_front();
        }
    }
}
