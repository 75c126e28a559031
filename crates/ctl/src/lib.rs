//! Operators' command line over the administration API.

mod api;
mod args;
mod chart;
mod check;
mod show;

pub use args::{Args, run};
