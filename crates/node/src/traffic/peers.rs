//! Queries to other nodes about once-only requests.

use futures::future::join_all;
use parsleylatch_types::Millis;
use serde::{Deserialize, Serialize};

use super::{Traffic, service::Call};

/// Timeout of a query to one node.
const PEER_QUERY_TIMEOUT_MS: Millis = Millis::new(200);
/// Maximum number of nodes to query; on a larger deployment no query is sent and
/// the result is inconclusive.
const MAX_QUERIED_PEERS: usize = 16;

/// Response of a node.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct KnownCall {
    /// Whether the node may have tried the request.
    pub(crate) known: bool,
}

/// Whether every other node confirms that it never tried the request.
pub(crate) async fn is_unknown_to_peers(traffic: &Traffic, call: &Call) -> bool {
    let snapshot = traffic.shared.snapshot.load_full();
    if snapshot.peers.len() > MAX_QUERIED_PEERS {
        return false;
    }
    let queries = snapshot.peers.iter().map(|peer| async {
        let address = peer.caller_address?;
        let request = http::Request::get(format!("/v1/calls/{}", call.request_id))
            .header("authorization", &call.authorization);
        let timeout = PEER_QUERY_TIMEOUT_MS.duration();
        let body = bytes::Bytes::new();
        let response = traffic
            .peers
            .call(address, request, body, timeout)
            .await
            .ok()?;
        let answer: KnownCall = response.json(address).ok()?;
        response.status.is_success().then_some(answer.known)
    });
    let answers = join_all(queries).await;
    answers.into_iter().all(|known| known == Some(false))
}
