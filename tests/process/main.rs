//! Tests of whole fleets as separate processes, by feature.

mod calls;
mod calls_random;
mod generations;
mod harness;
mod limits;
mod refusals;
mod regression;
mod services;
mod settings;
