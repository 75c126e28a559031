//! HTTP plumbing shared by the processes.
//!
//! Connections carry small messages that must not wait for each other, so both
//! sides set `TCP_NODELAY`. Errors carry the step and the peer.

mod client;
mod error;
mod head_inspector;
mod header;
mod listener;
mod signal;
mod sse;

pub use client::{Body, Client, Reply};
pub use error::{HttpError, HttpErrorKind, Step, error_chain};
pub use head_inspector::{HeadInspection, HeadInspector};
pub use header::{single_header, u64_header};
pub use listener::{NodelayListener, bind_field, bind_group, serve};
pub use signal::shutdown_signal;
pub use sse::{EventFramer, RawEvent, SseEvent, SseReader, encode_event};
