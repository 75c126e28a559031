//! HTTP client, listeners and server-sent events, shared by all processes.
//!
//! Connections carry small messages that Nagle's algorithm would delay, so both sides
//! set `TCP_NODELAY`. Errors name the step that failed and the peer.

mod client;
mod connector;
mod counted_body;
mod error;
mod head_inspector;
mod header;
mod limited_reader;
mod listener;
mod read_progress;
mod server;
mod signal;
mod sse;
mod status;
mod unsent;

pub use client::{Body, Client, Reply};
pub use error::{HttpError, HttpErrorKind, Step, error_chain};
pub use head_inspector::{HeadInspection, InspectedHead, inspect_heads};
pub use header::{single_header, u64_header};
pub use listener::{NodelayListener, bind_field, bind_group, serve};
pub use read_progress::{ReadProgress, ReceivedBody, limit_reads};
pub use server::{ServerBounds, serve_bounded, serve_status, unavailable};
pub use signal::shutdown_signal;
pub use sse::{EventFramer, RawEvent, SseEvent, SseReader, encode_event};
pub use status::{InvalidStatus, check_response_status};
pub use unsent::limit_unsent;
