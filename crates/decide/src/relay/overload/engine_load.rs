//! Load of an engine, and whether it has room for another stream.
//!
//! Load pattern: bursts that fill the memory of all engines. An engine admits a prompt
//! whenever its memory has room for it, and preempts the newest run when the generated
//! tokens outgrow the memory: that stream pauses until its prompt has been read again.
//! A stream is therefore sent only to an engine that can hold it to its end, and that has
//! at most one other prompt to read before.
//!
//! Load pattern: some engines turn several times slower. While such an engine reads a
//! prompt, the gaps between the events of its running streams exceed their goal, so it
//! gets a stream only if it has no other. It is known by the time that it needs for a
//! prompt, and by the pace that it reports. As far as that pace explains a long time for a
//! prompt, the engine counts as slow only while it says so.

use parsleylatch_types::{Micros, Millis, MonoTime, PacePercent, SlotCount, TokenCount};

use super::rank_reserve::RoomClaim;
use crate::relay::{
    pace::ReportedPace, placement_cost::PREFILL_TOKENS_PER_MS, report::EngineReport,
};

/// Age up to which a report is used for placements.
const REPORT_AGE_LIMIT_MS: Millis = Millis::new(300);
/// Age up to which the answer to a probe is used; a stream without progress is probed about
/// every 500 ms.
const PROBE_AGE_LIMIT_MS: Millis = Millis::new(1_000);
/// Time until a placement is included in the engine's reports.
const REPORT_LAG_MS: Millis = Millis::new(450);
/// Prompts that an engine may have to read before another one is sent to it, if it is
/// assigned to this node. Other nodes send it one only if it has none, as each of them
/// sees the same room.
const UNREAD_PROMPT_LIMIT: u32 = 1;
/// Memory of an engine that has not reported it, as specified by the operators.
pub(crate) const DEFAULT_MEMORY_TOKENS: TokenCount = TokenCount::new(55_000);

/// Share of the specified reading rate below which an engine counts as slow, in percent.
const SLOW_RATE_PERCENT: u64 = 40;
/// Time for which an engine counts as slow after it has read a prompt slowly.
const SLOW_MEMORY_MS: Millis = Millis::new(6_000);
/// Time beyond the reading of prompts that a first event may take.
const FIRST_EVENT_OVERHEAD_MS: Millis = Millis::new(100);

/// Tokens of a stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StreamSize {
    /// Tokens of the prompt.
    pub prompt: TokenCount,
    /// Maximum number of generated tokens.
    pub output: TokenCount,
}

impl StreamSize {
    pub(crate) fn total(self) -> u64 {
        u64::from(self.prompt.get()) + u64::from(self.output.get())
    }
}

/// Last reported load of an engine, and the streams placed there since.
#[derive(Clone, Debug, Default)]
pub struct EngineLoad {
    reported: Option<(ReportedLoad, MonoTime)>,
    placed: Vec<PlacedStream>,
    slow_until: MonoTime,
    pace: ReportedPace,
}

/// A stream that this thread has sent to the engine and that has no event yet, or whose
/// attempt ended so recently that the reports may not include it.
#[derive(Clone, Copy, Debug)]
struct PlacedStream {
    at: MonoTime,
    size: StreamSize,
    /// Prompts to be read before; unknown without a recent report.
    unread_before: Option<u32>,
    is_read: bool,
    /// Whether the stream is assigned to the engine but not sent yet.
    is_reserved: bool,
}

impl PlacedStream {
    /// Time after the placement at which the first event shows that an engine of this pace is
    /// slow.
    fn slow_after(&self, pace: PacePercent) -> Option<Micros> {
        let prompts = u64::from(self.unread_before?) + 1;
        let tokens = prompts.saturating_mul(u64::from(self.size.prompt.get()));
        let tokens = tokens.saturating_mul(u64::from(pace.get()));
        let reading = Millis::new(tokens / SLOW_RATE_PERCENT / PREFILL_TOKENS_PER_MS);
        Some(reading.saturating_add(FIRST_EVENT_OVERHEAD_MS).micros())
    }
}

#[derive(Clone, Copy, Debug)]
struct ReportedLoad {
    running: u32,
    waiting: u32,
    /// Requests without an event, including the queued ones.
    unread: u32,
    memory_used: TokenCount,
    memory_total: TokenCount,
}

/// Streams of this thread that a report does not include yet.
#[derive(Clone, Copy, Debug, Default)]
struct Unreported {
    streams: u32,
    /// Streams without an event.
    unread: u32,
    tokens: u64,
}

impl EngineLoad {
    /// Records a state report of the engine.
    pub fn record_report(&mut self, now: MonoTime, report: &EngineReport) {
        let begun = u32::try_from(report.runs.len()).unwrap_or(u32::MAX);
        let load = ReportedLoad {
            running: report.running,
            waiting: report.waiting,
            unread: report
                .waiting
                .saturating_add(report.running.saturating_sub(begun)),
            memory_used: report.memory_used,
            memory_total: match report.memory_total {
                TokenCount::ZERO => DEFAULT_MEMORY_TOKENS,
                total => total,
            },
        };
        self.reported = Some((load, now));
    }

    /// Records the pace that the endpoint reported.
    pub fn record_pace(&mut self, now: MonoTime, pace: PacePercent) {
        self.pace.record(now, pace);
    }

    /// Pace that the endpoint reported last.
    pub(crate) fn pace(&self) -> &ReportedPace {
        &self.pace
    }

    /// Records that a stream is assigned to the engine, and will be sent at once.
    pub fn reserve(&mut self, now: MonoTime, size: StreamSize) {
        self.push(now, size, true);
    }

    /// Records that a stream was sent to the engine.
    pub fn record_placement(&mut self, now: MonoTime, size: StreamSize) {
        let is_reservation = |it: &PlacedStream| it.is_reserved && it.size == size;
        if let Some(index) = self.placed.iter().position(is_reservation) {
            self.placed.remove(index);
        }
        self.push(now, size, false);
    }

    fn push(&mut self, now: MonoTime, size: StreamSize, is_reserved: bool) {
        let lag = REPORT_LAG_MS.micros();
        self.placed
            .retain(|it| !it.is_read && !it.is_reserved || now.since(it.at) < lag);
        let unread_before = self
            .recent_report(now)
            .map(|load| load.unread.saturating_add(self.unreported(now).unread));
        self.placed.push(PlacedStream {
            at: now,
            size,
            unread_before,
            is_read: false,
            is_reserved,
        });
    }

    /// Records the first event of the stream that was placed at `placed_at`.
    pub fn record_first_event(&mut self, now: MonoTime, placed_at: MonoTime) {
        let pace = self.pace.assumed(now);
        if let Some(placed) = self.unread_mut(placed_at) {
            placed.is_read = true;
            let is_slow = placed
                .slow_after(pace)
                .is_some_and(|limit| now.since(placed_at) > limit);
            self.slow_until = match is_slow {
                true => now + SLOW_MEMORY_MS,
                false => MonoTime::ZERO,
            };
        }
    }

    /// Records that the attempt that was placed at `placed_at` has ended.
    pub fn record_end(&mut self, placed_at: MonoTime) {
        if let Some(placed) = self.unread_mut(placed_at) {
            placed.is_read = true;
        }
    }

    fn unread_mut(&mut self, placed_at: MonoTime) -> Option<&mut PlacedStream> {
        let sent = self.placed.iter_mut().filter(|it| !it.is_reserved);
        let mut unread = sent.filter(|it| !it.is_read);
        unread.find(|it| it.at == placed_at)
    }

    fn recent_report(&self, now: MonoTime) -> Option<ReportedLoad> {
        let (load, at) = self.reported?;
        (now.since(at) <= REPORT_AGE_LIMIT_MS.micros()).then_some(load)
    }

    fn unreported(&self, now: MonoTime) -> Unreported {
        let lag = REPORT_LAG_MS.micros();
        let recent = self.placed.iter().filter(|it| now.since(it.at) < lag);
        recent.fold(Unreported::default(), |sum, it| Unreported {
            streams: sum.streams + 1,
            unread: sum.unread + u32::from(!it.is_read),
            tokens: sum.tokens + it.size.total(),
        })
    }

    /// Whether the engine has read a prompt slowly a short time ago, takes long for one, or
    /// reports that it is slow.
    pub fn is_slow(&self, now: MonoTime) -> bool {
        let pace = self.pace.assumed(now);
        let sent = self.placed.iter().filter(|it| !it.is_reserved);
        let mut unread = sent.filter(|it| !it.is_read);
        now < self.slow_until
            || u64::from(pace.get()) * SLOW_RATE_PERCENT > 100 * 100
            || unread.any(|it| {
                it.slow_after(pace)
                    .is_some_and(|limit| now.since(it.at) > limit)
            })
    }

    /// Whether other requests explain why a stream that was sent to the engine makes no
    /// progress: some are queued or preempted, or another prompt has to be read.
    pub fn explains_delay(&self, now: MonoTime) -> bool {
        self.reported.is_some_and(|(load, at)| {
            let is_recent = now.since(at) <= PROBE_AGE_LIMIT_MS.micros();
            is_recent && (load.waiting > 0 || load.unread > 1)
        })
    }

    /// Whether the engine can read the prompt soon and hold the stream to its end;
    /// `None` without a recent report.
    pub fn has_room<Claim>(
        &self,
        now: MonoTime,
        slots: SlotCount,
        is_owned: bool,
        claim: Claim,
    ) -> Option<bool>
    where
        Claim: Into<RoomClaim>,
    {
        let claim = claim.into();
        let size = claim.own_room();
        let reserved_tokens = u64::from(claim.reserved_streams()) * claim.size.total();
        let load = self.recent_report(now)?;
        let unreported = self.unreported(now);
        let requests = load
            .running
            .saturating_add(load.waiting)
            .saturating_add(unreported.streams);
        if requests == 0 {
            // A stream that is larger than the memory is left to the engine.
            return Some(true);
        }
        let queued_tokens = u64::from(load.waiting).saturating_mul(size.total());
        // Streams that have begun have generated half of their output on average.
        let unbegun = load.unread.saturating_sub(load.waiting).min(load.running);
        let halves = 2 * u64::from(unbegun) + u64::from(load.running - unbegun);
        let growth = halves.saturating_mul(u64::from(size.output.get())) / 2;
        let needed = u64::from(load.memory_used.get())
            .saturating_add(queued_tokens)
            .saturating_add(growth)
            .saturating_add(unreported.tokens)
            .saturating_add(size.total())
            .saturating_add(reserved_tokens);
        let has_slot = requests.saturating_add(claim.reserved_streams()) < slots.get();
        let unread = load.unread.saturating_add(unreported.unread);
        let has_memory = needed <= u64::from(load.memory_total.get());
        let reads_soon = unread <= u32::from(is_owned) * UNREAD_PROMPT_LIMIT;
        Some(has_slot && has_memory && reads_soon && !self.is_slow(now))
    }
}
