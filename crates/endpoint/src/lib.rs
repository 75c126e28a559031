//! Clients of the back ends: model engines and plain services.

mod engine;
mod service;

pub use engine::{EngineClient, EngineError, EngineErrorKind, EngineStep, EngineStream};
pub use service::{ServiceAnswer, ServiceClient};
