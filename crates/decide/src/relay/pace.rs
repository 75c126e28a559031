//! Momentary pace of an endpoint: how long work takes there at present.
//!
//! Load pattern: some endpoints turn several times slower, others every fraction of a second.
//! An endpoint reports its pace with its responses, so that what is known of it is up to half a
//! second old, and may be over before a request gets there. The excess over the usual time is
//! therefore assumed to decay, both since the report and while the request runs: a short call
//! takes as many times longer as was just reported, while a stream, which outlasts the slow
//! phase, loses at most a few hundred milliseconds.
//!
//! Endpoints may report false values. A pace below the usual one counts as usual, so that it
//! attracts no requests, and the excess is bounded. A pace that stays slow for longer than slow
//! phases last is no longer believed: whether the endpoint is slow shows in the time that its
//! responses take. As an old report has no effect either, no endpoint is avoided for long because
//! of what it reports.

use parsleylatch_types::{Micros, Millis, MonoTime, PacePercent};

/// Pace of an endpoint at which work takes the usual time.
const USUAL_PACE: PacePercent = PacePercent::new(100);
/// Largest pace that is believed; an endpoint that were a hundred times slower would not answer
/// in time to report it.
const PLAUSIBLE_LIMIT: PacePercent = PacePercent::new(10_000);
/// Largest pace that counts. Endpoints turn two to four times slower; more only keeps requests
/// away for longer.
const COUNTED_LIMIT: PacePercent = PacePercent::new(400);
/// Time in which the excess halves. Slow phases last 600 ms, so that half of those seen at a
/// random time are over 300 ms later.
const HALF_LIFE_MS: Millis = Millis::new(300);
/// Age from which a reported pace has no effect.
const LIFETIME_MS: Millis = Millis::new(1_500);
/// Smallest pace that counts as slow; less is ordinary variation, and may last.
const SLOW_PACE: PacePercent = PacePercent::new(125);
/// Time for which an endpoint that keeps reporting a slow pace is believed: more than three slow
/// phases of 600 ms in a row, which three in a thousand are if 15 % of the endpoints are slow.
const BELIEVED_FOR_MS: Millis = Millis::new(2_000);

/// Whether an endpoint can have this pace.
pub fn is_plausible_pace(pace: PacePercent) -> bool {
    pace > PacePercent::new(0) && pace <= PLAUSIBLE_LIMIT
}

/// Pace that an endpoint reported last.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportedPace {
    last: Option<Report>,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    pace: PacePercent,
    at: MonoTime,
    /// Time of the first of the slow reports in a row that this one ends.
    slow_since: Option<MonoTime>,
}

impl ReportedPace {
    /// Records a report.
    pub fn record(&mut self, now: MonoTime, pace: PacePercent) {
        let recent = self.last.filter(|it| !it.is_old(now));
        let slow_since = recent.and_then(|it| it.slow_since).unwrap_or(now);
        self.last = Some(Report {
            pace,
            at: now,
            slow_since: (pace >= SLOW_PACE).then_some(slow_since),
        });
    }

    /// Pace that is assumed at `now`; at least the usual one.
    pub fn assumed(&self, now: MonoTime) -> PacePercent {
        let (excess, weight) = self.excess(now);
        let counted = excess * weight * f64::from(USUAL_PACE.get());
        PacePercent::new(USUAL_PACE.get() + counted as u32)
    }

    /// Expected delay of work that usually takes `work` and begins at `now`.
    ///
    /// The endpoint is still slow with the probability to which the excess `e` has decayed, and
    /// turns usual at the same rate, after `decay` on average. Work `W` that begins meanwhile gets
    /// done at the rate `1 / (1 + e)`, and is delayed by
    /// `decay * e / (1 + e) * (1 - exp(-W * (1 + e) / decay))` on average.
    pub fn delay(&self, now: MonoTime, work: Micros) -> Micros {
        let (excess, weight) = self.excess(now);
        let decay_us = HALF_LIFE_MS.micros().get() as f64 / std::f64::consts::LN_2;
        let slowed_us = work.get() as f64 * (1.0 + excess);
        let slow_us = -decay_us * (-slowed_us / decay_us).exp_m1();
        Micros::new((weight * slow_us * excess / (1.0 + excess)) as u64)
    }

    /// Part of the usual time by which work took longer when the pace was reported, and the
    /// weight that this has at `now`.
    fn excess(&self, now: MonoTime) -> (f64, f64) {
        let recent = self.last.filter(|it| !it.is_old(now));
        let Some(report) = recent.filter(Report::is_believed) else {
            return (0.0, 0.0);
        };
        let counted = report.pace.min(COUNTED_LIMIT).get() - USUAL_PACE.get();
        let half_lives = now.since(report.at).get() as f64 / HALF_LIFE_MS.micros().get() as f64;
        (
            f64::from(counted) / f64::from(USUAL_PACE.get()),
            0.5_f64.powf(half_lives),
        )
    }
}

impl Report {
    fn is_old(&self, now: MonoTime) -> bool {
        now.since(self.at) >= LIFETIME_MS.micros()
    }

    /// Whether the pace is slow, and has not been so for too long.
    fn is_believed(&self) -> bool {
        self.slow_since
            .is_some_and(|since| self.at.since(since) < BELIEVED_FOR_MS.micros())
    }
}
