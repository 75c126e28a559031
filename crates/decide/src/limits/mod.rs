//! Admission control: which requests get a slot at the engines, and which wait.
//!
//! Requests of the paying tier have priority and are admitted while the model's
//! engines have a slot. Requests of the free tier are admitted only while part of
//! the slots stays unused, so that a paying request finds a slot at once. No node
//! knows what the others admit at the same time. Each traffic thread therefore
//! keeps its free requests within an equal part of a fixed share of all slots, which
//! bounds their sum. For free requests it also assumes that every other thread has
//! admitted as many requests since the last load report as it has itself.
//!
//! Requests without a slot wait in a bounded queue with a deadline. Within a tier,
//! workspaces are served by start-time fair queueing, according to their weights.

mod capacity;
mod queue;
mod ticket;

pub use capacity::{CapacityView, ModelCapacity};
pub(crate) use capacity::{FREE_SHARE, FREE_UTILIZATION_LIMIT, LOAD_REPORT_MAX_AGE_MS, percent_of};
pub use queue::{AdmissionEffect, AdmissionQueue, AdmissionRequest};
pub use ticket::{TicketId, TicketState};

pub(crate) use ticket::verify_chart;
