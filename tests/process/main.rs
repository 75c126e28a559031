//! Tests of whole fleets as separate processes, by feature.

mod admin;
mod calls;
mod calls_random;
mod extra_node;
mod generations;
mod harness;
mod limits;
mod moves;
mod operator;
mod planned_stop;
mod refusals;
mod regression;
mod resume;
mod services;
mod settings;
