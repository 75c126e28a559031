//! Wire encoding of the trial counters that a node publishes for a version move.
//!
//! A veto is final, so every node republishes the one it knows. It thereby
//! survives the node that issued it.

use parsleylatch_decide::moves::{EvidenceKey, MoveEvidence, Observer, TrialCounts, Veto};
use parsleylatch_types::{Incarnation, Micros, RequestCount};
use parsleylatch_wire::moves::{MoveCounts, RouteCounts, Veto as WireVeto};

/// Encodes the counters of one observer, and the veto regardless of its issuer.
pub fn encode_move_counts(evidence: &MoveEvidence, observer: &Observer) -> MoveCounts {
    let own = evidence
        .counts()
        .filter(|(key, _)| key.observer == *observer);
    let counts = own
        .map(|(key, counts)| encode_route_counts(key, *counts))
        .collect();
    let veto = evidence.veto().map(|veto| WireVeto {
        route: veto.route.to_string(),
        node_id: veto.observer.node.to_string(),
        incarnation: veto.observer.incarnation.get(),
    });
    MoveCounts { counts, veto }
}

/// Decodes the counters of one observer; `None` if any field is malformed.
pub fn decode_move_counts(message: &MoveCounts, observer: &Observer) -> Option<MoveEvidence> {
    let counts = message
        .counts
        .iter()
        .map(|counts| decode_route_counts(counts, observer));
    let counts = counts.collect::<Option<Vec<_>>>()?;
    let veto = match &message.veto {
        Some(veto) => Some(decode_veto(veto)?),
        None => None,
    };
    Some(MoveEvidence::from_parts(counts, veto))
}

fn decode_veto(veto: &WireVeto) -> Option<Veto> {
    let observer = Observer {
        node: veto.node_id.parse().ok()?,
        incarnation: Incarnation::new(veto.incarnation),
    };
    let route = veto.route.parse().ok()?;
    Some(Veto { route, observer })
}

fn encode_route_counts(key: &EvidenceKey, counts: TrialCounts) -> RouteCounts {
    RouteCounts {
        endpoint_version: key.version.to_string(),
        route: key.route.to_string(),
        trials: counts.trials.get(),
        failures: counts.failures.get(),
        slow: counts.slow.get(),
        paced: counts.paced.get(),
        pace_total_us: counts.pace_total_us.get(),
    }
}

fn decode_route_counts(
    counts: &RouteCounts,
    observer: &Observer,
) -> Option<(EvidenceKey, TrialCounts)> {
    let key = EvidenceKey {
        version: counts.endpoint_version.parse().ok()?,
        route: counts.route.parse().ok()?,
        observer: observer.clone(),
    };
    let counts = TrialCounts {
        trials: RequestCount::new(counts.trials),
        failures: RequestCount::new(counts.failures),
        slow: RequestCount::new(counts.slow),
        paced: RequestCount::new(counts.paced),
        pace_total_us: Micros::new(counts.pace_total_us),
    };
    Some((key, counts))
}
