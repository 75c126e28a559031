//! Limits under load: who gets a place at the engines, and who waits.
//!
//! Paying requests go first. They get a place while the model's engines have
//! one; free requests get one only while a part of the places stays unused, so
//! that a paying request finds room at once. No node knows what the others
//! admit at this moment. Each therefore keeps its free requests within its part
//! of a fixed share of all places, which bounds their sum, and counts what it
//! admitted since the last load report as if every other node had done the same.
//!
//! Requests without a place wait in a bounded queue with a deadline. Within a
//! tier, workspaces are served by start-time fair queueing with their weights.

mod capacity;
mod queue;
mod ticket;

pub use capacity::{CapacityView, ModelCapacity};
pub(crate) use capacity::{FREE_SHARE, FREE_UTILIZATION_LIMIT, LOAD_REPORT_MAX_AGE_MS, percent_of};
pub use queue::{AdmissionEffect, AdmissionQueue, AdmissionRequest};
pub use ticket::{TicketId, TicketState};

pub(crate) use ticket::verify_chart;
