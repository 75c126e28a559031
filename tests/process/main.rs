//! Tests of whole fleets as separate processes, by feature.

mod calls;
mod calls_random;
mod generations;
mod harness;
mod limits;
mod planned_stop;
mod refusals;
mod regression;
mod resume;
mod services;
mod settings;
