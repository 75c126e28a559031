//! Share of the requests that cross one border, by the cost of both sides. The chart is
//! `locality_share`.
//!
//! Load pattern: the callers of one domain send several times as much as its endpoints can
//! serve. All nodes of the domain see the same loads, late, so each changes its share in steps
//! that are small against the difference, of random size, and waits for their effect. A step
//! is smaller the older the reports are.
//!
//! Load pattern: nine in ten endpoints of a domain are lost for about a second. The share
//! grows to the lost part at once, and shrinks gradually after their return.

use parsleylatch_chart::{Bindings, ChartError, Instance, Machine, chart_names};
use parsleylatch_types::{Micros, Millis, MonoTime, Share};
use strum::Display;

use crate::charts::{self, LazyMachine};

/// Time to which the sizes of the steps refer.
pub(super) const STEP_INTERVAL_MS: Millis = Millis::new(200);
/// Steps that one decision may make up for if there was none for a while.
const MAX_RAISE_STEPS: f64 = 3.0;
/// Largest growth in one step, of the requests that don't cross the border. At 3 % the tests served
/// fewer calls in time.
const MAX_RAISE: f64 = 0.05;
/// Part of the share that is left after a step of a return, and a part of all requests that it
/// takes off, so that a whole return takes about 4 s.
const RETURN_FACTOR: f64 = 0.92;
const RETURN_STEP: f64 = 0.01;
/// Share below which a return is complete.
const SMALL_SHARE: f64 = 0.04;
/// Part of the near side's endpoints that have to be closed for it to count as lost.
const LOST_RATIO: f64 = 0.5;
/// Part of the near side's cost by which the sides have to differ.
const BAND_RATIO: f64 = 0.15;
/// Part of the callers' remaining time that work ahead of them may take without any reason to
/// cross a border: the caller is still in time, and the crossing would cost.
pub(super) const PATIENCE_DIVISOR: u64 = 8;
/// Parts in a share of 1, between which no difference is made.
const GRADES: f64 = 20.0;
/// Parts per million in a share of 1.
const FULL_SHARE_PPM: f64 = 1_000_000.0;

chart_names! {
    /// How the share at a border develops.
    pub enum LocalityShareState {
        /// No request crosses the border because of the load.
        Home,
        /// The share grows.
        Leaving,
        /// The share waits for its effect.
        Holding,
        /// The share stays as long as the costs are balanced.
        Settled,
        /// The share shrinks.
        Returning,
        /// Most endpoints of the near side are closed.
        Lost,
    }
}

chart_names! {
    /// Events of the share at a border.
    pub(crate) enum LocalityShareEvent {
        /// The near side costs more than the far side with its crossing.
        NearDearer,
        /// The sides cost about the same.
        Balanced,
        /// The near side costs less, or has time enough.
        NearCheaper,
        /// The near side's endpoints are closed.
        NearLost,
        /// The near side's load is unknown.
        LoadUnknown,
        /// The share was held for long enough.
        Held,
    }
}

/// Why the share at a border has its value.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum ShareReason {
    /// Nothing was decided yet.
    #[default]
    Start,
    /// The near side costs more than the far side with its crossing.
    NearDearer,
    /// The sides cost about the same.
    Balanced,
    /// The near side costs less.
    NearCheaper,
    /// The callers have time for the work ahead of them at the near side.
    NearInTime,
    /// The endpoints of the near side are closed.
    NearLost,
    /// The far side has no endpoint that takes requests of others.
    FarFull,
    /// The near side has not reported its load.
    LoadUnknown,
}

impl From<ShareReason> for LocalityShareEvent {
    fn from(reason: ShareReason) -> Self {
        match reason {
            ShareReason::NearDearer => Self::NearDearer,
            ShareReason::Start | ShareReason::Balanced => Self::Balanced,
            ShareReason::NearCheaper | ShareReason::NearInTime | ShareReason::FarFull => {
                Self::NearCheaper
            }
            ShareReason::NearLost => Self::NearLost,
            ShareReason::LoadUnknown => Self::LoadUnknown,
        }
    }
}

/// Load on one side of a border.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SideLoad {
    /// Endpoints that take requests.
    pub open: u32,
    /// Endpoints that are suspended or paused.
    pub closed: u32,
    /// Work ahead of a new request, if reported.
    pub wait: Option<Micros>,
    /// Reliability of the reports by their age, from 0 to 1.
    pub confidence: f64,
}

impl SideLoad {
    fn lost_ratio(&self) -> f64 {
        let endpoints = self.open + self.closed;
        match endpoints {
            0 => 1.0,
            _ => f64::from(self.closed) / f64::from(endpoints),
        }
    }
}

/// What the share at a border is decided from.
#[derive(Clone, Copy, Debug)]
pub struct BorderCosts {
    pub(super) near: SideLoad,
    pub(super) far: SideLoad,
    /// Cost of the crossing.
    pub(super) crossing: Micros,
    /// Time that callers have left; unknown before the first one.
    pub(super) remaining: Option<Micros>,
}

impl BorderCosts {
    fn reason(&self, was_leaving: bool) -> ShareReason {
        if self.far.open == 0 {
            return ShareReason::FarFull;
        }
        if self.near.lost_ratio() >= LOST_RATIO {
            return ShareReason::NearLost;
        }
        let Some(near) = self.near.wait else {
            return ShareReason::LoadUnknown;
        };
        let patience = self.patience().get();
        // Hysteresis: those who have left come back at half of the cost.
        let patience = if was_leaving { patience / 2 } else { patience };
        if near.get() <= patience {
            return ShareReason::NearInTime;
        }
        let gain = self.gain();
        let band = near.get() as f64 * BAND_RATIO;
        if gain > band {
            ShareReason::NearDearer
        } else if gain < -band {
            ShareReason::NearCheaper
        } else {
            ShareReason::Balanced
        }
    }

    /// Wait for which no request crosses the border.
    fn patience(&self) -> Micros {
        Micros::new(self.remaining.unwrap_or_default().get() / PATIENCE_DIVISOR)
    }

    /// What a request gains by crossing, in microseconds. A far side that has reported nothing
    /// counts as idle; its first responses show its load.
    fn gain(&self) -> f64 {
        let near = self.near.wait.unwrap_or_default().get() as f64;
        let far = self.far.wait.unwrap_or_default().get() as f64;
        near - far - self.crossing.get() as f64
    }
}

struct ShareContext {
    share: f64,
    costs: BorderCosts,
    /// Time since the last decision, in steps.
    steps: f64,
    draw: f64,
}

impl ShareContext {
    /// Random factor that keeps nodes from moving together.
    fn spread(&self) -> f64 {
        0.5 + self.draw
    }

    fn raise_share(&mut self) {
        let near = self.costs.near.wait.unwrap_or_default().get().max(1) as f64;
        let excess = near - self.costs.patience().get() as f64;
        let difference = (self.costs.gain().min(excess) / near).clamp(0.0, 1.0);
        let steps = self.steps.min(MAX_RAISE_STEPS);
        let raise = MAX_RAISE * difference * self.costs.near.confidence * steps * self.spread();
        self.share += (1.0 - self.share) * raise.min(1.0);
    }

    fn lower_share(&mut self) {
        let steps = self.steps * self.spread();
        self.share = (self.share * RETURN_FACTOR.powf(steps) - RETURN_STEP * steps).max(0.0);
    }

    fn leave_at_once(&mut self) {
        self.share = self.share.max(self.costs.near.lost_ratio());
    }
}

static MACHINE: LazyMachine<LocalityShareState, LocalityShareEvent, ShareContext> =
    LazyMachine::new(|| {
        let bindings = Bindings::<ShareContext>::new()
            .guard("is_share_small", |it| it.share < SMALL_SHARE)
            .action("raise_share", ShareContext::raise_share)
            .action("lower_share", ShareContext::lower_share)
            .action("leave_at_once", ShareContext::leave_at_once)
            .action("clear_share", |it| it.share = 0.0);
        charts::compile(charts::LOCALITY_SHARE, &bindings)
    });

fn machine() -> &'static Machine<LocalityShareState, LocalityShareEvent, ShareContext> {
    charts::verified(&MACHINE)
}

pub(crate) fn verify_chart() -> Result<(), ChartError> {
    MACHINE.as_ref().map(|_| ()).map_err(Clone::clone)
}

/// Share of the requests that cross one border.
#[derive(Debug, Default)]
pub struct BorderShare {
    instance: Option<Instance<LocalityShareState>>,
    share: f64,
    reason: ShareReason,
    decided_at: MonoTime,
}

impl BorderShare {
    /// Decides the share again; `draw` is a uniform random number in [0, 1).
    pub fn update(&mut self, now: MonoTime, costs: BorderCosts, draw: f64) {
        let elapsed = now.since(self.decided_at).get() as f64;
        let mut context = ShareContext {
            share: self.share,
            costs,
            steps: elapsed / STEP_INTERVAL_MS.micros().get() as f64,
            draw: draw.clamp(0.0, 1.0),
        };
        let machine = machine();
        let mut instance = self
            .instance
            .unwrap_or_else(|| machine.start(now, &mut context));
        machine.expire(&mut instance, now, &mut context);
        self.reason = costs.reason(instance.state() != LocalityShareState::Home);
        machine.step(&mut instance, now, self.reason.into(), &mut context);
        self.instance = Some(instance);
        self.share = context.share.clamp(0.0, 1.0);
        self.decided_at = now;
    }

    /// Share in force, rounded so that it changes seldom.
    pub fn share(&self) -> Share {
        let graded = (self.share * GRADES).round() / GRADES;
        Share::new((graded * FULL_SHARE_PPM) as u32)
    }

    /// Whether a request crosses the border; `draw` is a uniform random number in [0, 1).
    pub(super) fn crosses(&self, draw: f64) -> bool {
        draw * FULL_SHARE_PPM < f64::from(self.share().get())
    }

    /// Current state.
    pub fn state(&self) -> LocalityShareState {
        let instance = self.instance.as_ref();
        instance.map_or(LocalityShareState::Home, Instance::state)
    }

    /// Why the share has its value.
    pub fn reason(&self) -> ShareReason {
        self.reason
    }
}
