//! Which share of the requests of a service leaves the node's failure domain, and its region.
//!
//! Traffic between failure domains is slower and costs money, but the endpoints of a domain
//! are sometimes too few for its callers. Each node decides by itself, from what it knows:
//!
//! - [`DomainLoad`] is the load of a failure domain's endpoints, with its age. The reports
//!   come with responses, so they are old or missing where a node sends little.
//! - [`BorderShare`] is the share that crosses one border, a state chart that compares the
//!   cost of the near side with that of the far side and its crossing. It grows with the
//!   difference, holds until its effect is reported, and shrinks gradually. Load pattern: the
//!   endpoints of a domain are lost together; the share then grows at once.
//! - [`Locality`] holds the shares of all services at both borders, and yields the
//!   [`Binding`] of a request from a random number.
//!
//! A domain that is overloaded itself gets no requests of others. A binding is a preference:
//! without an endpoint that takes requests where it points, the request is free.

mod border_share;
mod domain_load;
mod service_locality;

use std::collections::HashMap;

use parsleylatch_types::{
    ByteCount, FailureDomain, Micros, MicrosPerKilobyte, MonoTime, ServiceName,
};

pub(crate) use border_share::verify_chart;
pub use border_share::{BorderShare, LocalityShareState, ShareReason, SideLoad};
pub(crate) use domain_load::domain_loads;
pub use domain_load::{Distance, DomainLoad};
pub(crate) use service_locality::Readiness;
pub use service_locality::{Binding, Border, ServiceLocality, ShareChange};

use service_locality::Crossing;

/// Bytes in a kilobyte.
const BYTES_PER_KB: u64 = 1_000;

/// Cost of bytes that cross a border.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CrossingCosts {
    /// To another failure domain of the region.
    pub domain: MicrosPerKilobyte,
    /// To another region.
    pub region: MicrosPerKilobyte,
}

/// Shares of all services, as one traffic thread decides them.
#[derive(Debug)]
pub struct Locality {
    costs: CrossingCosts,
    services: HashMap<ServiceName, ServiceLocality>,
    changes: Vec<ShareChange>,
}

impl Locality {
    /// Creates the decision with the cost of crossings.
    pub fn new(costs: CrossingCosts) -> Self {
        Self {
            costs,
            services: HashMap::new(),
            changes: Vec::new(),
        }
    }

    /// Cost of crossings.
    pub fn costs(&self) -> CrossingCosts {
        self.costs
    }

    /// Records a request whose caller has `remaining` time until its goal.
    pub fn record_demand(&mut self, service: &ServiceName, remaining: Micros) {
        self.service_mut(service).record_demand(remaining);
    }

    /// Records the bytes of a request and of its response.
    pub fn record_transfer(&mut self, service: &ServiceName, bytes: ByteCount) {
        self.service_mut(service).record_transfer(bytes);
    }

    /// What the bytes of a request cost that crosses a border.
    pub fn crossing_cost(&self, service: &ServiceName, border: Border) -> Micros {
        let known = self.services.get(service);
        let bytes = known.map_or(ByteCount::ZERO, ServiceLocality::mean_transfer);
        let per_kb = match border {
            Border::Domain => self.costs.domain,
            Border::Region => self.costs.region,
        };
        Micros::new(per_kb.get().saturating_mul(bytes.get()) / BYTES_PER_KB)
    }

    /// Whether the shares of a service are due to be decided again.
    pub(crate) fn is_due(&self, now: MonoTime, service: &ServiceName) -> bool {
        let known = self.services.get(service);
        known.is_none_or(|it| it.is_due(now))
    }

    /// Decides the shares of a service again. `round_trips` are those beyond the failure domain
    /// and beyond the region; `draw` is a uniform random number in [0, 1).
    pub fn update(
        &mut self,
        now: MonoTime,
        service: &ServiceName,
        loads: &[DomainLoad],
        round_trips: (Micros, Micros),
        draw: f64,
    ) {
        let cost = |border| self.crossing_cost(service, border);
        let crossing = Crossing {
            domain: round_trips.0.saturating_add(cost(Border::Domain)),
            region: round_trips.1.saturating_add(cost(Border::Region)),
        };
        let changes = self
            .service_mut(service)
            .update(now, service, loads, crossing, draw);
        self.changes.extend(changes);
    }

    /// Where a request is bound to; `draws` are uniform random numbers in [0, 1).
    pub fn binding(&self, service: &ServiceName, draws: (f64, f64)) -> Binding {
        let known = self.services.get(service);
        known.map_or(Binding::Free, |it| it.binding(draws))
    }

    /// Whether a failure domain gets no requests of other domains at present.
    pub fn avoids(&self, service: &ServiceName, domain: &FailureDomain) -> bool {
        let known = self.services.get(service);
        known.is_some_and(|it| it.avoids(domain))
    }

    /// Work of a single endpoint above which a request is not bound to it: it would take a
    /// large part of the caller's time. `None` if the callers' time is unknown.
    pub(crate) fn patience(&self, service: &ServiceName) -> Option<Micros> {
        self.services.get(service)?.endpoint_patience()
    }

    /// Shares of a service in force.
    pub fn service(&self, service: &ServiceName) -> Option<&ServiceLocality> {
        self.services.get(service)
    }

    /// Changes of shares since the last call.
    pub fn take_changes(&mut self) -> Vec<ShareChange> {
        std::mem::take(&mut self.changes)
    }

    fn service_mut(&mut self, service: &ServiceName) -> &mut ServiceLocality {
        if !self.services.contains_key(service) {
            let added = ServiceLocality::default();
            self.services.insert(service.clone(), added);
        }
        let known = self.services.get_mut(service);
        known.expect("the service was inserted")
    }
}
