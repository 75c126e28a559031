//! Requests that leave the failure domain: what the decision learns of them, and what is
//! counted and logged.

use parsleylatch_decide::relay::{
    Border, BorderShare, CrossingCosts, EndpointEntry, LocalityShareState,
};
use parsleylatch_settings::RelaySettings;
use parsleylatch_types::{ByteCount, Micros, ServiceName, Share};
use strum::Display;

use super::state::Traffic;
use crate::telemetry::CrossingCounter;

/// Why a request was sent beyond the node's failure domain, apart from the share in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum DepartureCause {
    /// Its endpoint has a copy of the run or has read the prompt.
    Prompt,
    /// It was sent before, and its next endpoint is chosen by cost.
    Repeated,
    /// It waited for an engine with room.
    Queued,
    /// It was drawn by the share, or no endpoint of the domain took requests.
    Share,
}

/// Cost of crossings; `None` if only round trips decide.
pub(crate) fn crossing_costs(settings: &RelaySettings) -> Option<CrossingCosts> {
    let locality = settings.locality;
    locality.enabled.then_some(CrossingCosts {
        domain: locality.domain_crossing_us_per_kb,
        region: locality.region_crossing_us_per_kb,
    })
}

/// Records a request whose caller has `remaining` time until its goal.
pub(crate) fn record_demand(traffic: &Traffic, service: &ServiceName, remaining: Micros) {
    if let Some(locality) = traffic.selector().locality_mut() {
        locality.record_demand(service, remaining);
    }
}

/// Records the bytes of a request that has ended, and of its response.
pub(crate) fn record_transfer(
    traffic: &Traffic,
    service: &ServiceName,
    border: Option<Border>,
    bytes: ByteCount,
) {
    if let Some(locality) = traffic.selector().locality_mut() {
        locality.record_transfer(service, bytes);
    }
    if let Some(border) = border {
        let metrics = &traffic.shared.metrics;
        metrics.add_crossing(service, border, CrossingCounter::Bytes, bytes.get());
    }
}

/// Records a copy of a run's memory that crosses a border on its way from engine to engine.
pub(crate) fn record_copy(
    traffic: &Traffic,
    service: &ServiceName,
    running: &EndpointEntry,
    backup: &EndpointEntry,
) {
    let selector = traffic.selector();
    if selector.locality().is_none() {
        return;
    }
    let border = selector.border_between(&running.failure_domain, &backup.failure_domain);
    if let Some(border) = border {
        let metrics = &traffic.shared.metrics;
        metrics.add_crossing(service, border, CrossingCounter::Copies, 1);
    }
}

/// Records a request that is sent to an endpoint; returns the border that it crosses.
pub(crate) fn record_departure(
    traffic: &Traffic,
    service: &ServiceName,
    endpoint: &EndpointEntry,
    id: &str,
    cause: DepartureCause,
) -> Option<Border> {
    let selector = traffic.selector();
    let locality = selector.locality()?;
    let border = selector.border(&endpoint.failure_domain)?;
    let share = locality.service(service).map(|it| it.border(border));
    traffic
        .shared
        .metrics
        .add_crossing(service, border, CrossingCounter::Requests, 1);
    log::info!(
        id = id,
        service:% = service,
        endpoint:% = endpoint.key.id,
        border:% = border,
        cause:% = cause,
        share_ppm = share.map_or(Share::ZERO, BorderShare::share).get(),
        state:% = share.map_or(LocalityShareState::Home, BorderShare::state),
        reason:% = share.map(BorderShare::reason).unwrap_or_default();
        "request leaves the failure domain"
    );
    Some(border)
}

/// Publishes the shares that have changed, and logs each change.
pub(crate) fn report_changes(traffic: &Traffic) {
    let mut selector = traffic.selector();
    let Some(locality) = selector.locality_mut() else {
        return;
    };
    for change in locality.take_changes() {
        let metrics = &traffic.shared.metrics;
        metrics.set_crossing_share(&change.service, change.border, change.share);
        log::info!(
            service:% = change.service,
            border:% = change.border,
            earlier_ppm = change.earlier.get(),
            share_ppm = change.share.get(),
            state:% = change.state,
            reason:% = change.reason,
            near_open = change.near.open,
            near_closed = change.near.closed,
            near_wait_us = change.near.wait.unwrap_or_default().get(),
            far_open = change.far.open,
            far_wait_us = change.far.wait.unwrap_or_default().get(),
            crossing_us = change.crossing.get();
            "share of requests that leave changed"
        );
    }
}
