//! Settings of a node and templates of workspaces: JSON with comments.
//!
//! A document is read into a raw form that mirrors the file, then checked into
//! the form that the rest of the code uses. An error names the file, the line,
//! the field and the reason; an unknown field names the nearest known one.

mod document;
mod error;
mod key;
mod node;
mod relay;
mod template;
mod version_move;

pub use document::Document;
pub use error::{SettingsError, SettingsErrorKind};
pub use key::{KeyDigest, ParseKeyDigestError};
pub use node::{AdminKey, LogFormat, LogSettings, NodeLimits, NodeSettings, Role};
pub use relay::{RelayBounds, RelaySettings};
pub use template::{
    CallKind, MAX_TOKENS_HARD_LIMIT, Operation, ServiceTemplate, Template, Tier, TokenTimeouts,
};
pub use version_move::VersionMoveTemplate;
