//! Refusals as problem documents (RFC 9457).

use http::StatusCode;
use parsleylatch_decide::refusal::{Refusal, RefusalKind};
use parsleylatch_types::Millis;
use parsleylatch_wire::caller::Problem;
use viz::Response;

/// HTTP status of a refusal.
fn status_of(kind: RefusalKind) -> StatusCode {
    match kind {
        RefusalKind::BadRequest => StatusCode::BAD_REQUEST,
        RefusalKind::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        RefusalKind::WrongKey => StatusCode::UNAUTHORIZED,
        RefusalKind::NotAllowed => StatusCode::FORBIDDEN,
        RefusalKind::NotFound => StatusCode::NOT_FOUND,
        RefusalKind::RequestIdReused => StatusCode::CONFLICT,
        RefusalKind::Expired => StatusCode::GONE,
        RefusalKind::Overloaded => StatusCode::TOO_MANY_REQUESTS,
        RefusalKind::NoEndpoint
        | RefusalKind::Stopping
        | RefusalKind::StoreUnavailable
        | RefusalKind::Superseded => StatusCode::SERVICE_UNAVAILABLE,
        RefusalKind::AttemptsExhausted => StatusCode::BAD_GATEWAY,
        RefusalKind::OutcomeUnknown => StatusCode::GATEWAY_TIMEOUT,
    }
}

/// Converts a refusal to a problem document.
pub(crate) fn problem_of(refusal: &Refusal) -> Problem {
    let status = status_of(refusal.kind);
    Problem {
        kind: format!("urn:parsleylatch:problem:{}", refusal.kind),
        title: status.canonical_reason().unwrap_or("Refused").to_owned(),
        status: status.as_u16(),
        detail: refusal.detail.clone(),
        not_run: refusal.not_run,
    }
}

/// Converts a refusal to a response.
pub(crate) fn response_of(refusal: &Refusal) -> Response {
    let body = serde_json::to_vec(&problem_of(refusal)).unwrap_or_default();
    let mut response = http::Response::builder()
        .status(status_of(refusal.kind))
        .header("content-type", "application/problem+json");
    if let Some(delay_ms) = refusal.retry_after_ms {
        response = response.header("retry-after", whole_seconds(delay_ms).to_string());
    }
    response
        .body(http_body_util::Full::from(body).into())
        .unwrap_or_default()
}

/// Delay in seconds, rounded up, for the `Retry-After` header.
fn whole_seconds(delay_ms: Millis) -> u64 {
    delay_ms.get().div_ceil(1_000)
}
