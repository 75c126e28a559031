//! Tests of whole fleets as separate processes, by feature.

mod admin;
mod extra_node;
mod generations;
mod harness;
mod moves;
mod operator;
mod refusals;
mod services;
mod settings;
