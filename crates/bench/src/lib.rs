//! Load, histories, measurements and plots.

pub mod caller;
pub mod calls;
pub mod fleet;
