//! Clients for back ends: model engines and other services.

mod connections;
mod engine;
mod service;

pub use connections::{
    ConnectionKey, ConnectionPool, ConnectionSettings, OpenConnection, OpenResponse,
    READ_BUFFER_BYTES, RECEIVE_BUFFER_BYTES, ReadyConnection, SendError, is_connection_header,
    lacks_descriptors,
};
pub use engine::{EngineClient, EngineError, EngineErrorKind, EngineStep, EngineStream};
pub use service::{ServiceClient, ServiceResponse};
