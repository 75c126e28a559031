//! End-to-end tests that run a fleet as separate processes, one module per feature.

mod admin;
mod calls;
mod calls_random;
mod configuration;
mod connection_limits;
mod early_responses;
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
mod store_restore;
