//! Tests of whole fleets as separate processes, by feature.

mod generations;
mod harness;
mod limits;
mod refusals;
mod services;
mod settings;
