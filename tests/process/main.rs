//! Tests of whole fleets as separate processes, by feature.

mod admin;
mod calls;
mod calls_random;
mod configuration;
mod extra_node;
mod generations;
mod harness;
mod history;
mod limits;
mod membership;
mod moves;
mod operator;
mod planned_stop;
mod refusals;
mod regression;
mod resume;
mod services;
mod settings;
