//! Whether a stream waits, and which engine a waiting stream is assigned to.
//!
//! Load pattern: a burst that fills all engines, on many nodes at once. A stream is sent
//! at once as long as the engines are presumed to have room, so that calm days need no
//! state reports. Otherwise it is assigned to the engine of the lowest cost among those that
//! report room.

use parsleylatch_types::{MonoTime, ServiceName};

use super::{
    pressure::may_be_full,
    queue::{PlacementQueue, QueueTicket},
    rank_reserve::RoomClaim,
};
use crate::relay::{
    endpoint_table::{EndpointKey, EndpointTable},
    selector::Selector,
};

/// Result of a wait.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Assignment {
    /// An engine that has room.
    Engine(EndpointKey),
    /// No engine has reported its state for a while, so that any of them may be used.
    Unrestricted,
    /// The stream can't begin before its deadline.
    Hopeless,
    /// The stream would outlast the process.
    Stopping,
}

/// What is known about the room of an engine for one more stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Room {
    /// The engine has room, by its report or because few streams run.
    Free,
    /// The engines may be full, and this one has not reported its state lately.
    Unknown,
    /// The engine is full, or other streams wait for room.
    Taken,
}

/// What is known about the room of the engine `key`. `queue` is that of its service, and
/// `threads` the number of traffic threads of all nodes.
pub fn room(
    now: MonoTime,
    table: &EndpointTable,
    queue: Option<&PlacementQueue>,
    service: &ServiceName,
    key: &EndpointKey,
    claim: RoomClaim,
    threads: usize,
) -> Room {
    if queue.is_some_and(|it| !it.is_reported(now)) {
        return Room::Free;
    }
    if queue.is_some_and(|it| !it.is_empty()) {
        return Room::Taken;
    }
    if !may_be_full(table.own_streams(service), threads, claim.size) {
        return Room::Free;
    }
    match table.has_room(now, key, claim) {
        Some(true) => Room::Free,
        Some(false) => Room::Taken,
        None => Room::Unknown,
    }
}

/// Assigns the engines that have room to waiting streams, and takes those out of the queue
/// that have become hopeless. `has_reports` is false if no engine has reported its state now.
pub fn assign_engines(
    now: MonoTime,
    table: &mut EndpointTable,
    selector: &mut Selector,
    service: &ServiceName,
    queue: &mut PlacementQueue,
    has_reports: bool,
) -> Vec<(QueueTicket, Assignment)> {
    queue.record_round(now, has_reports);
    let is_reported = queue.is_reported(now);
    let mut assignments = queue.take_hopeless(now);
    loop {
        let has_room = |claim: RoomClaim| !is_reported || table.any_has_room(now, service, claim);
        let Some((ticket, stream, claim)) = queue.take_next(now, has_room) else {
            // A stream that only leaves room to others finds the engines busy, but not full.
            let is_full = |claim: RoomClaim| !table.any_has_room(now, service, claim.bare());
            if queue.has_any(now, is_full) {
                queue.record_full(now);
            }
            return assignments;
        };
        let assignment = match selector.engine_with_room(now, table, service, claim) {
            Some(key) => {
                table.reserve(now, &key, stream.size);
                Assignment::Engine(key)
            }
            None => Assignment::Unrestricted,
        };
        assignments.push((ticket, assignment));
    }
}
