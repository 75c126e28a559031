//! Errors of the administration API as problem documents (RFC 9457).

use parsleylatch_settings::SettingsError;
use parsleylatch_store::StoreError;
use parsleylatch_types::Revision;
use serde_json::{Value, json};
use viz::{Response, Result, StatusCode};

use super::json_response;

/// Reason why a request to the administration API is refused.
#[derive(Debug)]
pub(super) enum AdminRefusal {
    /// The request is malformed.
    BadRequest(String),
    /// The body exceeds the size limit of a template.
    TooLarge(String),
    /// The template is invalid.
    Invalid(SettingsError),
    /// There is no such template, draft or move.
    NotFound(String),
    /// The request has no `If-Match` header.
    RevisionMissing,
    /// The given revision is not the current one.
    Conflict {
        /// Revision that the request is based on.
        given: Revision,
        /// Current revision.
        current: Revision,
        /// Description of the conflict.
        detail: String,
    },
    /// The store is unavailable; nothing was changed.
    StoreUnavailable(StoreError),
    /// Whether the change took effect is unknown.
    OutcomeUnknown(StoreError),
}

impl AdminRefusal {
    fn status(&self) -> StatusCode {
        match self {
            Self::BadRequest(_) => StatusCode::BAD_REQUEST,
            Self::TooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Invalid(_) => StatusCode::UNPROCESSABLE_ENTITY,
            Self::NotFound(_) => StatusCode::NOT_FOUND,
            Self::RevisionMissing => StatusCode::PRECONDITION_REQUIRED,
            Self::Conflict { .. } => StatusCode::PRECONDITION_FAILED,
            Self::StoreUnavailable(_) => StatusCode::SERVICE_UNAVAILABLE,
            Self::OutcomeUnknown(_) => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    fn kind(&self) -> &'static str {
        match self {
            Self::BadRequest(_) => "bad-request",
            Self::TooLarge(_) => "body-too-large",
            Self::Invalid(_) => "invalid-template",
            Self::NotFound(_) => "not-found",
            Self::RevisionMissing => "revision-missing",
            Self::Conflict { .. } => "revision-conflict",
            Self::StoreUnavailable(_) => "store-unavailable",
            Self::OutcomeUnknown(_) => "outcome-unknown",
        }
    }

    fn detail(&self) -> String {
        match self {
            Self::BadRequest(detail) | Self::TooLarge(detail) | Self::NotFound(detail) => {
                detail.clone()
            }
            Self::Invalid(error) => error.to_string(),
            Self::RevisionMissing => "the request needs an If-Match header".to_owned(),
            Self::Conflict { detail, .. } => detail.clone(),
            Self::StoreUnavailable(error) => format!("nothing was changed: {error}"),
            Self::OutcomeUnknown(error) => {
                format!("the change may have been made; read the template back: {error}")
            }
        }
    }

    /// Adds the fields that are specific to a kind of problem.
    fn add_fields(&self, problem: &mut Value) {
        match self {
            Self::Invalid(error) => {
                problem["file"] = json!(error.file);
                problem["line"] = json!(error.line);
                problem["field"] = json!(error.field);
                problem["reason"] = json!(error.kind.to_string());
            }
            Self::Conflict { given, current, .. } => {
                problem["given_revision"] = json!(given);
                problem["current_revision"] = json!(current);
            }
            _ => {}
        }
    }

    /// Builds the response with the problem document.
    pub(super) fn response(&self) -> Result<Response> {
        let status = self.status();
        let mut problem = json!({
            "type": format!("urn:parsleylatch:problem:{}", self.kind()),
            "title": status.canonical_reason(),
            "status": status.as_u16(),
            "detail": self.detail(),
        });
        self.add_fields(&mut problem);
        let headers = [("content-type", "application/problem+json")];
        json_response(status, &headers, &problem)
    }
}
