//! Messages: JSON bodies over HTTP, and (later modules) prost between nodes.
//!
//! Nothing here decides; the types mirror what travels.

pub mod caller;
pub mod engine;
pub mod platform;
