//! Parsing of callers' requests: key, request id and body.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use parsleylatch_decide::refusal::{Refusal, RefusalKind};
use parsleylatch_settings::KeyDigest;
use parsleylatch_types::{ByteCount, RequestId};
use parsleylatch_wire::engine::REQUEST_ID_HEADER;
use serde::de::DeserializeOwned;
use tokio::time;
use viz::{Request, RequestExt};

/// Time within which a caller has to send the whole body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Digest of the key in the `Authorization` header.
pub(crate) fn caller_key(request: &Request) -> Option<KeyDigest> {
    let header: String = request.header("authorization")?;
    header.strip_prefix("Bearer ").map(KeyDigest::of_key)
}

/// The request id sent by the caller, or a generated one.
pub(crate) fn request_id(request: &Request) -> Result<RequestId, Refusal> {
    match request.header::<_, String>(REQUEST_ID_HEADER) {
        None => Ok(RequestId::generate()),
        Some(text) => text
            .parse()
            .map_err(|error| Refusal::not_run(RefusalKind::BadRequest, format!("{error}"))),
    }
}

/// Reads a body of at most `limit` bytes.
pub(crate) async fn read_body(request: Request, limit: ByteCount) -> Result<Bytes, Refusal> {
    let body = Limited::new(request.into_body(), limit.get() as usize);
    let collected = time::timeout(BODY_TIMEOUT, body.collect()).await;
    let collected = collected.map_err(|_| {
        let detail = format!("the body was not complete after {BODY_TIMEOUT:?}");
        Refusal::not_run(RefusalKind::BadRequest, detail)
    })?;
    let collected = collected.map_err(|error| {
        if error.downcast_ref::<LengthLimitError>().is_some() {
            let detail = format!("the body is larger than {limit}");
            Refusal::not_run(RefusalKind::BodyTooLarge, detail)
        } else {
            let detail = format!("the body can't be read: {error}");
            Refusal::not_run(RefusalKind::BadRequest, detail)
        }
    })?;
    Ok(collected.to_bytes())
}

/// Parses a JSON body; the refusal contains line and column.
pub(crate) fn parse_body<Message>(body: &Bytes) -> Result<Message, Refusal>
where
    Message: DeserializeOwned,
{
    serde_json::from_slice(body).map_err(|error| {
        let detail = format!("the body is not of the documented form: {error}");
        Refusal::not_run(RefusalKind::BadRequest, detail)
    })
}
