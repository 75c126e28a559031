//! Tests of whole fleets as separate processes, by feature.

mod generations;
mod harness;
mod refusals;
mod resume;
mod services;
mod settings;
