//! Waiting, rejection and placement of streams while the engines are overloaded.
//!
//! An engine that is sent more prompts than it can read or hold queues them, preempts
//! running streams and reads their prompts again. A queue in an engine can't be
//! reordered, and its requests can't use another engine that has room first. Streams
//! therefore wait at the node while the engines are full:
//!
//! - [`EngineLoad`] decides from an engine's state report whether it has room for another
//!   prompt. Load pattern: several times the usual traffic, which fills the engines'
//!   memory.
//! - [`may_be_full`] decides when the engines are asked for their state. Load pattern: a
//!   burst that is spread over so many nodes that none of them sees it.
//! - [`room`] and [`assign_engines`] bring these decisions together. Load pattern:
//!   a burst on many nodes at once.
//! - [`PlacementQueue`] decides which waiting stream is placed next and which are
//!   rejected. Load pattern: a burst whose end leaves a backlog of late streams that
//!   would make the following ones late as well.
//! - [`RankClass`] and [`RoomClaim`] make streams of lower ranks leave room to those of higher
//!   ranks at other nodes. Load pattern: a burst of a kind of low rank.
//! - [`is_hopeless`] rejects a stream that can't begin before its deadline. Load pattern:
//!   callers that return with little time left.
//! - [`StreamDurations`] tells which streams would outlast a stopping process. Load
//!   pattern: a planned stop of a node while the engines are full.
//! - [`retry_delay`] spreads the callers that are rejected over the time at which they
//!   can be served. Load pattern: callers that return all at once.
//! - [`CallAdmission`] decides whether a call is sent, waits or is refused, and which endpoint it
//!   is sent to. Load pattern: calls of many nodes that fill the queues of a few endpoints.
//! - [`TrafficLoad`] refuses new requests while the thread that relays them can't keep up.
//!   Load pattern: few nodes are left and get the traffic of all.

mod assignment;
mod call_admission;
mod call_limit;
mod call_load;
mod call_queue;
mod engine_load;
mod hopeless;
mod pressure;
mod queue;
mod rank_reserve;
mod retry_delay;
mod stream_duration;
mod traffic_load;

pub use assignment::{Assignment, Room, assign_engines, room};
pub use call_admission::{CallAdmission, CallPlan};
pub use call_limit::{CallLimit, CallLimitState};
pub use call_queue::{CallQueue, CallTicket, QueuedCall};
pub use engine_load::{EngineLoad, StreamSize};
pub use hopeless::{is_hopeless, is_restart_hopeless};
pub use pressure::{OwnStreams, is_copy_unaffordable, may_be_full};
pub use queue::{PlacementQueue, QueueRejection, QueueTicket, QueuedStream};
pub use rank_reserve::{RankClass, RoomClaim};
pub use retry_delay::retry_delay;
pub use stream_duration::StreamDurations;
pub use traffic_load::{TrafficLoad, TrafficLoadState, TrafficTurn};

use parsleylatch_chart::ChartError;

pub(crate) fn verify_charts() -> Result<(), ChartError> {
    call_limit::verify_chart()?;
    traffic_load::verify_chart()
}
