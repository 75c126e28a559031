//! Node settings and workspace templates, written as JSON with comments.
//!
//! A document is deserialized into a raw struct that mirrors the file, then
//! validated and converted to the struct that the rest of the code uses. Errors
//! name the file, the line, the field and the reason. For an unknown field the
//! error suggests the most similar known name.

mod document;
mod error;
mod json_lines;
mod key;
mod node;
mod relay;
mod template;
mod version_move;
mod vm_memory;

pub use document::Document;
pub use error::{SettingsError, SettingsErrorKind};
pub use json_lines::json_line;
pub use key::{KeyDigest, ParseKeyDigestError};
pub use node::{AdminKey, LogFormat, LogSettings, NodeLimits, NodeSettings, Role};
pub use relay::{RelayBounds, RelayLocality, RelayOverload, RelaySettings};
pub use template::{
    CallKind, MAX_TOKENS_HARD_LIMIT, Operation, ServiceTemplate, Template, Tier, TokenTimeouts,
};
pub use version_move::VersionMoveTemplate;
pub use vm_memory::parse_total_memory;
