//! Live event stream for operators.

use bytes::Bytes;
use futures::stream::unfold;
use parsleylatch_http::encode_event;
use parsleylatch_settings::Role;
use parsleylatch_types::Millis;
use tokio::{
    sync::broadcast::{Receiver, error::RecvError},
    time::timeout,
};
use viz::{Body, IntoResponse, Request, Response, Result, StatusCode};

use super::authorize;
use crate::control::events::AdminEvent;

/// Limit of concurrently open event streams.
pub(crate) const MAX_EVENT_STREAMS: usize = 64;
/// Time without events after which a keep-alive comment is sent.
const KEEP_ALIVE_INTERVAL_MS: Millis = Millis::new(10_000);
/// SSE comment that keeps an idle stream open.
const KEEP_ALIVE: &[u8] = b": keep-alive\n\n";

/// `GET /admin/v1/events`.
pub(super) async fn stream(request: Request) -> Result<Response> {
    let authorized = authorize(&request, Role::Read)?;
    let events = &authorized.shared().events;
    if events.receiver_count() >= MAX_EVENT_STREAMS {
        let reason = format!("{MAX_EVENT_STREAMS} streams of events are open");
        return Ok((StatusCode::SERVICE_UNAVAILABLE, reason).into_response());
    }
    let chunks = unfold(events.subscribe(), |mut events| async {
        let chunk = next_chunk(&mut events).await?;
        Some((Ok::<_, std::io::Error>(chunk), events))
    });
    Ok(http::Response::builder()
        .header("content-type", "text/event-stream")
        .header("cache-control", "no-store")
        .body(Body::from_stream(chunks))
        .unwrap_or_default())
}

/// Returns the next event or keep-alive; a client that fell behind gets the number
/// of events that it missed.
async fn next_chunk(events: &mut Receiver<AdminEvent>) -> Option<Bytes> {
    match timeout(KEEP_ALIVE_INTERVAL_MS.duration(), events.recv()).await {
        Err(_) => Some(Bytes::from_static(KEEP_ALIVE)),
        Ok(Ok(event)) => Some(encode_event("", event.name, &event.data.to_string())),
        Ok(Err(RecvError::Lagged(missed))) => {
            let data = serde_json::json!({ "events": missed });
            Some(encode_event("", "missed", &data.to_string()))
        }
        Ok(Err(RecvError::Closed)) => None,
    }
}
