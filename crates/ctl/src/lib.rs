//! Command line tool for operators, a client of the administration API.

mod api;
mod args;
mod chart;
mod check;
mod events;
mod explain;
mod show;
mod templates;

pub use args::{Args, run};
pub use check::{CheckReport, ConfigurationForm, check_file};
pub use explain::Explanation;
