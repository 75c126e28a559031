//! What this node has counted of a move, as other nodes read it.
//!
//! Each node sends its own counters only; what others counted comes from them.
//! A veto is final, so every node repeats the one that it knows: it outlives the
//! node that made it.

use std::sync::Arc;

use parsleylatch_decide::moves::{EvidenceKey, MoveEvidence, Observer, TrialCounts, Veto};
use parsleylatch_types::{Incarnation, Micros, MoveId, RequestCount};
use parsleylatch_wire::moves::{MoveCounts, RouteCounts, Veto as WireVeto};
use prost::Message;

/// Counters of another node, as they came.
#[derive(Clone, Debug)]
pub(crate) struct LearnedCounts {
    pub(crate) move_id: MoveId,
    pub(crate) observer: Observer,
    pub(crate) content: Arc<[u8]>,
}

/// Writes the counters of one observer, and the veto whoever made it.
pub(crate) fn encode(evidence: &MoveEvidence, observer: &Observer) -> Vec<u8> {
    let own = evidence
        .counts()
        .filter(|(key, _)| key.observer == *observer);
    let counts = own
        .map(|(key, counts)| route_counts(key, *counts))
        .collect();
    let veto = evidence.veto().map(|veto| WireVeto {
        route: veto.route.to_string(),
        node_id: veto.observer.node.to_string(),
        incarnation: veto.observer.incarnation.get(),
    });
    MoveCounts { counts, veto }.encode_to_vec()
}

/// Reads the counters of one observer; `None` if they can't be read.
pub(crate) fn decode(content: &[u8], observer: &Observer) -> Option<MoveEvidence> {
    let message = MoveCounts::decode(content).ok()?;
    let counts = message
        .counts
        .iter()
        .map(|counts| read_counts(counts, observer));
    let counts = counts.collect::<Option<Vec<_>>>()?;
    let veto = match &message.veto {
        Some(veto) => Some(read_veto(veto)?),
        None => None,
    };
    Some(MoveEvidence::from_parts(counts, veto))
}

fn read_veto(veto: &WireVeto) -> Option<Veto> {
    let observer = Observer {
        node: veto.node_id.parse().ok()?,
        incarnation: Incarnation::new(veto.incarnation),
    };
    let route = veto.route.parse().ok()?;
    Some(Veto { route, observer })
}

fn route_counts(key: &EvidenceKey, counts: TrialCounts) -> RouteCounts {
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

fn read_counts(counts: &RouteCounts, observer: &Observer) -> Option<(EvidenceKey, TrialCounts)> {
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
