//! Tests of whole fleets as separate processes, by feature.

mod calls;
mod calls_random;
mod generations;
mod harness;
mod refusals;
mod services;
mod settings;
