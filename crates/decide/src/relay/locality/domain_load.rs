//! Load of a service's endpoints by failure domain, as one node knows it.

use std::collections::HashMap;

use parsleylatch_types::{FailureDomain, Micros, MonoTime, Region, ServiceName};

use crate::relay::{
    endpoint_table::{EndpointStats, EndpointTable, LOAD_AGE_LIMIT_MS},
    placement_cost::load_cost,
};

/// Distance of a failure domain from a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// The node's own domain.
    OwnDomain,
    /// Another domain of the node's region.
    OwnRegion,
    /// Another region.
    OtherRegion,
}

impl Distance {
    /// Distance of `domain` from a node in `own_domain` and `own_region`.
    pub fn of(
        domain: &FailureDomain,
        own_domain: &FailureDomain,
        own_region: &Region,
        regions: &HashMap<FailureDomain, Region>,
    ) -> Self {
        if domain == own_domain {
            return Self::OwnDomain;
        }
        match regions.get(domain) == Some(own_region) {
            true => Self::OwnRegion,
            false => Self::OtherRegion,
        }
    }
}

/// Load of a service's endpoints in one failure domain.
#[derive(Clone, Debug, PartialEq)]
pub struct DomainLoad {
    /// Failure domain.
    pub domain: FailureDomain,
    /// Its distance from the node.
    pub distance: Distance,
    /// Endpoints that take requests, as far as is known.
    pub open: u32,
    /// Endpoints that are suspended or paused.
    pub closed: u32,
    /// Open endpoints without a free slot, by a recent report.
    pub full: u32,
    /// Open endpoints that have reported their load recently.
    pub reported: u32,
    /// Sum of the weights of these reports; a new report weighs 1, one at the age limit 0.
    pub weight: f64,
    /// Weighted mean of the work ahead of a new request at these endpoints.
    pub wait: Micros,
}

impl DomainLoad {
    /// A domain of which no endpoint is known.
    pub fn unknown(domain: FailureDomain, distance: Distance) -> Self {
        Self {
            domain,
            distance,
            open: 0,
            closed: 0,
            full: 0,
            reported: 0,
            weight: 0.0,
            wait: Micros::ZERO,
        }
    }

    /// Whether at least half of the endpoints that report are full.
    pub(super) fn is_full(&self) -> bool {
        self.reported > 0 && 2 * self.full >= self.reported
    }

    fn add(
        &mut self,
        now: MonoTime,
        table: &EndpointTable,
        stats: &EndpointStats,
        is_stream: bool,
    ) {
        let key = &stats.entry.key;
        if table.is_suspended(now, key) || table.is_paused(now, key) {
            self.closed += 1;
            return;
        }
        self.open += 1;
        let Some(age) = stats.load_age(now) else {
            return;
        };
        let limit = LOAD_AGE_LIMIT_MS.micros().get() as f64;
        let weight = 1.0 - age.get() as f64 / limit;
        let wait = load_cost(now, stats, is_stream).get() as f64;
        let total = self.weight + weight;
        if total > 0.0 {
            let mean = (self.wait.get() as f64 * self.weight + wait * weight) / total;
            self.wait = Micros::new(mean as u64);
        }
        self.weight = total;
        self.reported += 1;
        let is_full = stats.occupancy(now) >= stats.entry.slots.get().max(1);
        self.full += u32::from(is_full || stats.waiting(now) > 0);
    }
}

/// Loads of the failure domains that have endpoints of a service, and of `own_domain`.
pub(crate) fn domain_loads<DistanceOf>(
    now: MonoTime,
    table: &EndpointTable,
    service: &ServiceName,
    own_domain: &FailureDomain,
    distance_of: DistanceOf,
    is_stream: bool,
) -> Vec<DomainLoad>
where
    DistanceOf: Fn(&FailureDomain) -> Distance,
{
    let own = DomainLoad::unknown(own_domain.clone(), Distance::OwnDomain);
    let mut loads = vec![own];
    for stats in table.usable(service) {
        let domain = &stats.entry.failure_domain;
        let known = loads.iter().position(|it| it.domain == *domain);
        let index = known.unwrap_or_else(|| {
            loads.push(DomainLoad::unknown(domain.clone(), distance_of(domain)));
            loads.len() - 1
        });
        loads[index].add(now, table, stats, is_stream);
    }
    loads
}
