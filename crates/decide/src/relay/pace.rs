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
//! attracts no requests, and the excess is bounded. As an old report has no effect, an endpoint
//! that is avoided is tried again.

use parsleylatch_types::{Micros, Millis, MonoTime, PacePercent};

/// Pace of an endpoint at which work takes the usual time.
const USUAL_PACE: PacePercent = PacePercent::new(100);
/// Largest pace that is believed; an endpoint that were a hundred times slower would not answer
/// in time to report it.
const PLAUSIBLE_LIMIT: PacePercent = PacePercent::new(10_000);
/// Largest pace that counts. Endpoints turn two to four times slower; more only keeps requests
/// away for longer.
const COUNTED_LIMIT: PacePercent = PacePercent::new(400);
/// Time in which the excess halves. Slow phases last 600 ms; of those seen at a random time, half
/// of the remaining time is over after 300 ms.
const HALF_LIFE_MS: Millis = Millis::new(300);
/// Age from which a reported pace has no effect.
const LIFETIME_MS: Millis = Millis::new(1_500);

/// Whether an endpoint can have this pace.
pub fn is_plausible_pace(pace: PacePercent) -> bool {
    pace > PacePercent::new(0) && pace <= PLAUSIBLE_LIMIT
}

/// Pace that an endpoint reported last.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportedPace {
    reported: Option<(PacePercent, MonoTime)>,
}

impl ReportedPace {
    /// Records a report.
    pub fn record(&mut self, now: MonoTime, pace: PacePercent) {
        self.reported = Some((pace, now));
    }

    /// Pace that is assumed at `now`; at least the usual one.
    pub fn assumed(&self, now: MonoTime) -> PacePercent {
        let excess = self.excess(now) * f64::from(USUAL_PACE.get());
        PacePercent::new(USUAL_PACE.get() + excess as u32)
    }

    /// Delay of work that usually takes `work` and begins at `now`.
    ///
    /// Work that begins at excess `e` and takes `T` gets done at the rate
    /// `1 / (1 + e * exp(-t / decay))`, whose integral over `T` is the usual time `W`. Solved for
    /// the delay, `T - W = decay * ln(1 + e * (1 - exp(-W / decay)))`.
    pub fn delay(&self, now: MonoTime, work: Micros) -> Micros {
        let excess = self.excess(now);
        if excess <= 0.0 {
            return Micros::ZERO;
        }
        let decay_us = HALF_LIFE_MS.micros().get() as f64 / std::f64::consts::LN_2;
        let done = -(-(work.get() as f64) / decay_us).exp_m1();
        Micros::new((decay_us * (excess * done).ln_1p()) as u64)
    }

    /// Part of the usual time by which work takes longer, as assumed at `now`.
    fn excess(&self, now: MonoTime) -> f64 {
        let Some((pace, at)) = self.reported else {
            return 0.0;
        };
        let age = now.since(at);
        if age >= LIFETIME_MS.micros() {
            return 0.0;
        }
        let counted = pace.clamp(USUAL_PACE, COUNTED_LIMIT).get() - USUAL_PACE.get();
        let half_lives = age.get() as f64 / HALF_LIFE_MS.micros().get() as f64;
        f64::from(counted) / f64::from(USUAL_PACE.get()) * 0.5_f64.powf(half_lives)
    }
}
