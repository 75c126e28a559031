//! Which endpoint of a service a call goes to.

use std::sync::Arc;

use parsleylatch_types::{EndpointId, Region, ServiceName};

use crate::view::{EndpointCondition, EndpointKind, EndpointView, Snapshot};

/// Endpoint that was not tried yet: live before suspect, the same region first,
/// and of equals the one that the spread number picks.
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
