//! Questions to the other nodes about once-only requests.

use futures::future::join_all;
use parsleylatch_types::Millis;
use serde::{Deserialize, Serialize};

use super::{Traffic, service::Call};

/// Longest wait for a node's answer.
const ASK_TIMEOUT_MS: Millis = Millis::new(200);
/// Most nodes that are asked; in a larger fleet nothing is known for sure.
const PEER_LIMIT: usize = 16;

/// Answer of a node.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct KnownCall {
    /// Whether the node may have tried the request.
    pub(crate) known: bool,
}

/// Whether every other node answers that it never tried the request.
pub(crate) async fn are_unaware(traffic: &Traffic, call: &Call) -> bool {
    let snapshot = traffic.shared.snapshot.load_full();
    if snapshot.peers.len() > PEER_LIMIT {
        return false;
    }
    let asked = snapshot.peers.iter().map(|peer| async {
        let address = peer.caller_address?;
        let request = http::Request::get(format!("/v1/calls/{}", call.request_id))
            .header("authorization", &call.authorization);
        let deadline = ASK_TIMEOUT_MS.duration();
        let empty = bytes::Bytes::new();
        let reply = traffic
            .peers
            .call(address, request, empty, deadline)
            .await
            .ok()?;
        let answer: KnownCall = reply.json(address).ok()?;
        reply.status.is_success().then_some(answer.known)
    });
    let answers = join_all(asked).await;
    answers.into_iter().all(|known| known == Some(false))
}
