//! Selection of the endpoint for a service call.

use std::sync::Arc;

use parsleylatch_types::{EndpointId, Region, ServiceName};

use crate::view::{EndpointCondition, EndpointKind, EndpointView, Snapshot};

/// Chooses an endpoint that has not been tried.
///
/// Live endpoints rank before suspect ones, then endpoints of the same region
/// first; `tie_breaker` selects among equally ranked endpoints.
pub fn choose_target(
    snapshot: &Snapshot,
    service: &ServiceName,
    region: &Region,
    tried: &[EndpointId],
    tie_breaker: u64,
) -> Option<Arc<EndpointView>> {
    let rank = |it: &EndpointView| {
        (
            it.condition == EndpointCondition::Suspect,
            it.region != *region,
        )
    };
    let serves = |it: &EndpointView| matches!(&it.kind, EndpointKind::Service { service: known } if known == service);
    let allowed: Vec<_> = snapshot
        .endpoints
        .iter()
        .filter(|it| serves(it) && it.condition != EndpointCondition::Leaving)
        .filter(|it| !tried.contains(&it.id))
        .collect();
    let best = allowed.iter().map(|it| rank(it)).min()?;
    let equally_ranked: Vec<_> = allowed.into_iter().filter(|it| rank(it) == best).collect();
    let index = tie_breaker % equally_ranked.len() as u64;
    equally_ranked.get(index as usize).map(|it| Arc::clone(it))
}
