//! Text ids: short, printable strings that are cheap to clone.

use std::{fmt, str::FromStr, sync::Arc};

use serde_with::{DeserializeFromStr, SerializeDisplay};
use thiserror::Error;

/// Maximum length of a text id, in bytes.
const MAX_ID_BYTES: usize = 128;

/// Error returned when a string is not a valid id of the expected kind.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error(
    "`{text}` is not a {kind}: expected 1 to {MAX_ID_BYTES} characters of a-z, A-Z, 0-9, '.', '_', '-', ':'"
)]
pub struct ParseIdError {
    /// Expected kind of id.
    pub kind: &'static str,
    /// Rejected input.
    pub text: String,
}

fn is_id_char(character: char) -> bool {
    character.is_ascii_alphanumeric() || matches!(character, '.' | '_' | '-' | ':')
}

fn parse_id(kind: &'static str, text: &str) -> Result<Arc<str>, ParseIdError> {
    let valid = (1..=MAX_ID_BYTES).contains(&text.len()) && text.chars().all(is_id_char);
    if valid {
        Ok(Arc::from(text))
    } else {
        Err(ParseIdError {
            kind,
            text: text.to_owned(),
        })
    }
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
        )]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the id as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{}({})", stringify!($name), self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                parse_id($kind, text).map(Self)
            }
        }
    };
}

text_id!(
    /// Id of a node, a single process of the system.
    NodeId,
    "node id"
);
text_id!(
    /// Id of an endpoint: an instance of a model engine or of a plain service.
    EndpointId,
    "endpoint id"
);
text_id!(
    /// Version of the model and the engine that an endpoint runs.
    EndpointVersion,
    "endpoint version"
);
text_id!(
    /// Id of a workspace, the configuration of one customer.
    WorkspaceId,
    "workspace id"
);
text_id!(
    /// Name of a failure domain: a group of machines that may fail together.
    FailureDomain,
    "failure domain"
);
text_id!(
    /// Name of a region.
    Region,
    "region"
);
text_id!(
    /// Name of a model.
    ModelId,
    "model"
);
text_id!(
    /// Name of an adapter that is applied to a model.
    AdapterName,
    "adapter"
);
text_id!(
    /// Name of a plain service, one that is not a model engine.
    ServiceName,
    "service"
);
text_id!(
    /// Name of an operation of a service.
    OperationName,
    "operation"
);
text_id!(
    /// Name of a route: the network path from one region to the region of an endpoint.
    RouteName,
    "route"
);
text_id!(
    /// Id of a version move, the migration of a workspace to another endpoint version.
    MoveId,
    "move id"
);
text_id!(
    /// Id of the holder of a lease.
    HolderId,
    "lease holder id"
);
text_id!(
    /// Id that a caller assigned to one try of a relayed request.
    ExchangeId,
    "exchange id"
);
text_id!(
    /// Id of a prompt part. Several requests may share a part.
    PromptPartId,
    "prompt part id"
);
