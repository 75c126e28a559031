//! Cost of an endpoint for a request: the expected delay by what is known of its load, and the
//! risk of a failure.

use parsleylatch_types::{Micros, Millis, MonoTime, TokenCount};

use super::endpoint_table::{EndpointStats, EndpointTable};

/// Assumed latency of a call at an endpoint without samples.
const DEFAULT_CALL_LATENCY_US: Micros = Micros::new(15_000);
/// Prompt tokens that an engine reads per millisecond, as specified by the operators.
pub const PREFILL_TOKENS_PER_MS: u64 = 5;
/// Delay that an additional stream causes to the streams running beside it.
pub(super) const STREAM_COST_US: Micros = Micros::new(150_000);
/// Cost of a queued request, whose prompt is still to be read.
const WAITING_COST_US: Micros = Micros::new(1_000_000);
/// Work that another node is assumed to have placed at an endpoint assigned to it: one
/// or two streams and an occasional prompt.
const NOT_OWNED_COST_US: Micros = Micros::new(300_000);
/// Cost of an endpoint that fails every request.
const FAILURE_COST_US: Micros = Micros::new(400_000);
/// Cost of a suspended endpoint or failure domain.
pub(super) const SUSPENSION_COST_US: Micros = Micros::new(10_000_000);
/// Cost of an endpoint that may be lost with its failure domain: a wasted round trip
/// and a retry from the budget.
const POSSIBLY_LOST_COST_US: Micros = Micros::new(1_500_000);

/// Cost of recent failures of an endpoint or of its failure domain.
pub(super) fn failure_penalty(now: MonoTime, table: &EndpointTable, stats: &EndpointStats) -> u64 {
    let entry = &stats.entry;
    let own = stats.suspended_until > now;
    let domain = table.is_domain_suspended(now, &entry.service, &entry.failure_domain);
    let suspended = u64::from(own) + u64::from(domain);
    SUSPENSION_COST_US.get() * suspended
        + POSSIBLY_LOST_COST_US.get() * u64::from(table.may_be_lost(stats))
}

/// Cost of the recent failure rate of an endpoint.
pub(super) fn failure_rate_cost(now: MonoTime, stats: &EndpointStats) -> u64 {
    (stats.failure_rate(now) * FAILURE_COST_US.get() as f64) as u64
}

/// Time for an engine to read a prompt.
pub(super) fn prefill(prompt: TokenCount) -> Micros {
    Millis::new(u64::from(prompt.get()) / PREFILL_TOKENS_PER_MS).micros()
}

/// Work ahead of a new stream, its delay by the engine's pace, and the reading of the stream's
/// prompt. The work is unread prompts, queued requests, and streams that share the engine's
/// steps.
pub(super) fn stream_cost(now: MonoTime, stats: &EndpointStats, reading: Micros) -> u64 {
    let unread = Millis::new(stats.unread_tokens / PREFILL_TOKENS_PER_MS).micros();
    let streams = u64::from(stats.occupancy(now));
    let waiting = WAITING_COST_US.saturating_mul(u64::from(stats.waiting(now)));
    let not_owned = match stats.is_owned {
        true => Micros::ZERO,
        false => NOT_OWNED_COST_US,
    };
    let work = unread
        .saturating_add(STREAM_COST_US.saturating_mul(streams))
        .saturating_add(waiting)
        .saturating_add(reading);
    let delay = stats.engine_load.pace().delay(now, work);
    work.get() + delay.get() + not_owned.get()
}

/// Wait of a new request for a slot, or the delay by the streams beside it, as other nodes see it
/// too: without unread prompts and the assignment of endpoints, of which only this node knows.
pub(super) fn load_cost(now: MonoTime, stats: &EndpointStats, is_stream: bool) -> Micros {
    if !is_stream {
        let latency = stats.latency.unwrap_or(DEFAULT_CALL_LATENCY_US);
        let slots = stats.entry.slots.get().max(1);
        let ahead = stats.occupancy(now).saturating_add(1).saturating_sub(slots);
        return Micros::new(latency.saturating_mul(u64::from(ahead)).get() / u64::from(slots));
    }
    let streams = STREAM_COST_US.saturating_mul(u64::from(stats.occupancy(now)));
    let waiting = WAITING_COST_US.saturating_mul(u64::from(stats.waiting(now)));
    streams.saturating_add(waiting)
}

/// Work ahead of a new call, which is the mean latency times the occupancy per slot, and the
/// delay of the call and of that work by the endpoint's pace.
pub(super) fn call_cost(now: MonoTime, stats: &EndpointStats) -> u64 {
    let latency = stats.latency.unwrap_or(DEFAULT_CALL_LATENCY_US);
    let slots = u64::from(stats.entry.slots.get().max(1));
    let occupancy = u64::from(stats.occupancy(now));
    let ahead = Micros::new(latency.saturating_mul(occupancy).get() / slots);
    let work = latency.saturating_add(ahead);
    ahead.get() + stats.engine_load.pace().delay(now, work).get()
}
