//! Simulated platform components for tests, benchmarks and the quick start.
//!
//! Each stand-in follows the platform's protocol (see `docs/DESIGN.md`) and accepts
//! fault injection requests on a control address. An engine's tokens are a pure
//! function of prompt, version and index, so that any client can verify a complete
//! response exactly.

mod args;
pub mod completion;
mod control;
mod engine;
mod relayed;
mod serve;
mod service;
mod store;
mod vm_list;

pub use args::{Args, run};
pub use control::{EngineFault, FaultSpec, ServiceFault, StoreFault};
pub use engine::{Engine, EngineSettings};
pub use relayed::{
    ArrivalSink, ArrivedRequest, NoticeSpec, RelayedEndpoint, RelayedFault, RelayedNotice,
    RelayedSettings, Silence, body_digest, call_text, event_text,
};
pub use serve::{Addresses, ServerHandle};
pub use service::{Service, ServiceSettings};
pub use store::{Store, StoreLogEntry, StoreSettings};
pub use vm_list::{VmList, VmListSettings};
