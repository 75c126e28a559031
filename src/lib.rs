//! Parsleylatch: a serving system for long generations that survive the failure of
//! their engines. This crate re-exports the libraries that the binaries in `src/bin`
//! are built from.

pub use parsleylatch_bench as bench;
pub use parsleylatch_chart as chart;
pub use parsleylatch_ctl as ctl;
pub use parsleylatch_decide as decide;
pub use parsleylatch_endpoint as endpoint;
pub use parsleylatch_node as node;
pub use parsleylatch_peer as peer;
pub use parsleylatch_settings as settings;
pub use parsleylatch_standin as standin;
pub use parsleylatch_store as store;
pub use parsleylatch_types as types;
pub use parsleylatch_wire as wire;
