//! Shares of one service at both borders.

use parsleylatch_types::{ByteCount, FailureDomain, Micros, Millis, MonoTime, ServiceName, Share};
use strum::Display;

use super::{
    border_share::{
        BorderCosts, BorderShare, LocalityShareState, PATIENCE_DIVISOR, STEP_INTERVAL_MS,
        ShareReason, SideLoad,
    },
    domain_load::{Distance, DomainLoad},
};

/// Divisor of a new sample's weight in the means of the callers' time and of their bytes.
const SMOOTHING: u64 = 8;
/// Time without any report of a load after which requests aren't bound any more.
const UNREPORTED_AFTER_MS: Millis = Millis::new(10_000);
/// Part of the callers' remaining time that the work of a single endpoint may take.
const ENDPOINT_PATIENCE_DIVISOR: u64 = 4;

/// A border that requests cross.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Border {
    /// Of the failure domain, within the region.
    Domain,
    /// Of the region.
    Region,
}

/// Where the endpoint of a request is looked for first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Binding {
    /// In the node's failure domain.
    Domain,
    /// In the other failure domains of the region.
    Region,
    /// In other regions.
    OtherRegion,
    /// Anywhere; the costs of the endpoints decide.
    Free,
}

/// Whether an endpoint takes a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Readiness {
    /// It is suspended.
    Closed,
    /// It takes the request, which would be late or has to wait for others there.
    Late,
    /// It takes the request.
    Open,
    /// It belongs to another failure domain, and keeps a reserve for the callers there.
    Reserve,
}

impl Binding {
    /// Where endpoints are looked for, in this order, and what they have to be ready for. Where
    /// no place is left, the costs decide. A slot that is free elsewhere isn't left empty by a
    /// request that would be late in its own domain.
    pub(crate) fn places(self) -> &'static [(Distance, Readiness)] {
        match self {
            Self::Domain => &[
                (Distance::OwnDomain, Readiness::Open),
                (Distance::OwnRegion, Readiness::Reserve),
                (Distance::OtherRegion, Readiness::Reserve),
                (Distance::OwnRegion, Readiness::Open),
                (Distance::OtherRegion, Readiness::Open),
                (Distance::OwnDomain, Readiness::Late),
            ],
            Self::Region => &[
                (Distance::OwnRegion, Readiness::Reserve),
                (Distance::OwnDomain, Readiness::Open),
                (Distance::OtherRegion, Readiness::Reserve),
                (Distance::OwnRegion, Readiness::Open),
                (Distance::OtherRegion, Readiness::Open),
                (Distance::OwnDomain, Readiness::Late),
            ],
            Self::OtherRegion => &[
                (Distance::OtherRegion, Readiness::Reserve),
                (Distance::OwnRegion, Readiness::Reserve),
                (Distance::OwnDomain, Readiness::Open),
                (Distance::OwnRegion, Readiness::Open),
                (Distance::OtherRegion, Readiness::Open),
                (Distance::OwnDomain, Readiness::Late),
            ],
            Self::Free => &[],
        }
    }
}

/// A change of a share.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareChange {
    /// Service whose requests it concerns.
    pub service: ServiceName,
    /// Border that they cross.
    pub border: Border,
    /// Share before.
    pub earlier: Share,
    /// Share in force.
    pub share: Share,
    /// State of the share.
    pub state: LocalityShareState,
    /// Why it was changed.
    pub reason: ShareReason,
    /// Load of the near side.
    pub near: SideLoad,
    /// Load of the far side.
    pub far: SideLoad,
    /// Cost of the crossing.
    pub crossing: Micros,
}

/// Cost of crossing each border, with the round trip.
#[derive(Clone, Copy, Debug)]
pub(super) struct Crossing {
    pub(super) domain: Micros,
    pub(super) region: Micros,
}

/// Shares of one service.
#[derive(Debug, Default)]
pub struct ServiceLocality {
    domain: BorderShare,
    region: BorderShare,
    /// Time that callers have left until their goal, on average.
    remaining: Option<Micros>,
    /// Bytes of a request and its response, on average.
    transfer: Option<ByteCount>,
    avoided: Vec<FailureDomain>,
    updated_at: Option<MonoTime>,
    reported_at: Option<MonoTime>,
}

impl ServiceLocality {
    pub(super) fn record_demand(&mut self, remaining: Micros) {
        let mean = self.remaining.map_or(remaining.get(), |mean| {
            smoothed(mean.get(), remaining.get())
        });
        self.remaining = Some(Micros::new(mean));
    }

    pub(super) fn record_transfer(&mut self, bytes: ByteCount) {
        let mean = self
            .transfer
            .map_or(bytes.get(), |mean| smoothed(mean.get(), bytes.get()));
        self.transfer = Some(ByteCount::new(mean));
    }

    pub(super) fn mean_transfer(&self) -> ByteCount {
        self.transfer.unwrap_or_default()
    }

    pub(super) fn endpoint_patience(&self) -> Option<Micros> {
        let remaining = self.remaining?;
        Some(Micros::new(remaining.get() / ENDPOINT_PATIENCE_DIVISOR))
    }

    pub(super) fn is_due(&self, now: MonoTime) -> bool {
        let interval = STEP_INTERVAL_MS.micros();
        self.updated_at.is_none_or(|at| now.since(at) >= interval)
    }

    pub(super) fn update(
        &mut self,
        now: MonoTime,
        service: &ServiceName,
        loads: &[DomainLoad],
        crossing: Crossing,
        draw: f64,
    ) -> Vec<ShareChange> {
        self.updated_at = Some(now);
        if loads.iter().any(|it| it.reported > 0) {
            self.reported_at = Some(now);
        }
        let remaining = self.remaining;
        let is_overloaded = |load: &DomainLoad| {
            let limit = remaining.unwrap_or(Micros::MAX).get() / PATIENCE_DIVISOR;
            load.is_full() || load.reported > 0 && load.wait.get() > limit
        };
        let others = loads.iter().filter(|it| it.distance != Distance::OwnDomain);
        self.avoided = others
            .filter(|it| is_overloaded(it))
            .map(|it| it.domain.clone())
            .collect();
        let accepts = |load: &&DomainLoad| !self.avoided.contains(&load.domain);
        let at = |distance: Distance| loads.iter().filter(move |it| it.distance == distance);
        let own = side(at(Distance::OwnDomain));
        let in_region = side(at(Distance::OwnRegion).filter(accepts));
        // Requests that leave the domain look for room in the rest of the region first.
        let rest = side(at(Distance::OwnRegion));
        let region = match rest.open + rest.closed {
            0 => own,
            _ => rest,
        };
        let abroad = side(at(Distance::OtherRegion).filter(accepts));
        // If the region has no other domain, the next one is in another region.
        let (far, domain_crossing) = match in_region.open {
            0 => (abroad, crossing.region),
            _ => (in_region, crossing.domain),
        };
        let steps = [
            (Border::Domain, own, far, domain_crossing),
            (Border::Region, region, abroad, crossing.region),
        ];
        let mut changes = Vec::new();
        for (border, near, far, crossing) in steps {
            let costs = BorderCosts {
                near,
                far,
                crossing,
                remaining,
            };
            let changed = match border {
                Border::Domain => &mut self.domain,
                Border::Region => &mut self.region,
            };
            let earlier = changed.share();
            changed.update(now, costs, draw);
            if changed.share() != earlier {
                changes.push(ShareChange {
                    service: service.clone(),
                    border,
                    earlier,
                    share: changed.share(),
                    state: changed.state(),
                    reason: changed.reason(),
                    near,
                    far,
                    crossing,
                });
            }
        }
        changes
    }

    pub(super) fn binding(&self, draws: (f64, f64)) -> Binding {
        let limit = UNREPORTED_AFTER_MS.micros();
        let is_reported = self
            .reported_at
            .zip(self.updated_at)
            .is_some_and(|(reported, updated)| updated.since(reported) < limit);
        if !is_reported {
            return Binding::Free;
        }
        match (self.domain.crosses(draws.0), self.region.crosses(draws.1)) {
            (false, _) => Binding::Domain,
            (true, false) => Binding::Region,
            (true, true) => Binding::OtherRegion,
        }
    }

    pub(super) fn avoids(&self, domain: &FailureDomain) -> bool {
        self.avoided.contains(domain)
    }

    /// Share at a border: of all requests those that leave the failure domain, and of these
    /// the ones that leave the region.
    pub fn border(&self, border: Border) -> &BorderShare {
        match border {
            Border::Domain => &self.domain,
            Border::Region => &self.region,
        }
    }
}

fn smoothed(mean: u64, sample: u64) -> u64 {
    mean - mean / SMOOTHING + sample / SMOOTHING
}

/// Load of one side of a border, which consists of several failure domains.
fn side<'a>(loads: impl Iterator<Item = &'a DomainLoad>) -> SideLoad {
    let mut side = SideLoad::default();
    let (mut weight, mut weighted_wait, mut reported) = (0.0, 0.0, 0);
    for load in loads {
        side.open += load.open;
        side.closed += load.closed;
        reported += load.reported;
        weight += load.weight;
        weighted_wait += load.wait.get() as f64 * load.weight;
    }
    if weight > 0.0 {
        side.wait = Some(Micros::new((weighted_wait / weight) as u64));
        side.confidence = weight / f64::from(reported);
    }
    side
}
