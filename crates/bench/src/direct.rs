//! Baseline without a node: a client that restarts a generation from the
//! beginning when its engine is lost, and counts only the tokens that are new.

use std::time::{Duration, Instant};

use eyre::{Result, bail};
use parsleylatch_endpoint::EngineClient;
use parsleylatch_types::AttemptNumber;
use parsleylatch_wire::{
    caller::GenerationBody,
    engine::{StreamEvent, StreamRequest},
};
use tokio::time::timeout;

use crate::{exchange::Timing, fleet::FleetEngine, latency::direct_request};

const FIRST_TOKEN_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Timeout for each further token: eight times the usual interval of 27 ms.
const TOKEN_TIMEOUT: Duration = Duration::from_millis(216);
/// Streams that may be opened for one response.
const MAX_STREAMS: usize = 8;
/// Fixed trace context, as direct streams are not traced.
const TRACEPARENT: &str = "00-00000000000000000000000000000002-0000000000000002-00";

/// Response that was read without a node.
#[derive(Clone, Debug, Default)]
pub(crate) struct DirectResponse {
    /// Arrival times of the new tokens.
    pub(crate) timing: Timing,
    /// Number of streams opened.
    pub(crate) streams: usize,
}

/// Reads a response, restarting it on the next engine after each loss.
///
/// # Errors
/// Returns an error if no engine delivers the complete response.
pub(crate) async fn restart_from_scratch(
    client: &EngineClient,
    engines: &[FleetEngine],
    first_engine: usize,
    body: &GenerationBody,
) -> Result<DirectResponse> {
    let mut response = DirectResponse::default();
    response.timing.sent_at = Some(Instant::now());
    while response.streams < MAX_STREAMS {
        let engine = &engines[(first_engine + response.streams) % engines.len()];
        response.streams += 1;
        let mut stream_request = direct_request(body, &engine.endpoint_version);
        stream_request.attempt = AttemptNumber::new(response.streams as u32);
        let (peer, request, attempt) = (
            engine.address,
            stream_request.request_id,
            stream_request.attempt,
        );
        if read_stream(client, engine, &stream_request, &mut response.timing).await {
            return Ok(response);
        }
        let client = client.clone();
        tokio::spawn(async move { client.cancel(peer, request, attempt).await });
    }
    bail!(
        "no complete response after {} attempts on engines",
        response.streams
    )
}

/// Returns whether the stream delivered the complete response.
async fn read_stream(
    client: &EngineClient,
    engine: &FleetEngine,
    stream_request: &StreamRequest,
    timing: &mut Timing,
) -> bool {
    let opening = client.open(engine.address, stream_request, TRACEPARENT);
    let Ok(Ok(mut stream)) = timeout(FIRST_TOKEN_TIMEOUT, opening).await else {
        return false;
    };
    let mut event_timeout = FIRST_TOKEN_TIMEOUT;
    loop {
        match timeout(event_timeout, stream.next()).await {
            Ok(Some(Ok(StreamEvent::Token { index, .. }))) => {
                event_timeout = TOKEN_TIMEOUT;
                if index.as_usize() == timing.arrivals.len() {
                    timing.arrivals.push(Instant::now());
                }
            }
            Ok(Some(Ok(StreamEvent::Opened { .. }))) => {}
            Ok(Some(Ok(StreamEvent::Finished { .. }))) => {
                return timing.arrivals.len() == stream_request.max_tokens.get() as usize;
            }
            _ => return false,
        }
    }
}
