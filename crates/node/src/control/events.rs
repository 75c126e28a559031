//! Live events for operators.

use parsleylatch_decide::{
    moves::{MoveState, MoveView},
    view::WorkspaceView,
};
use serde_json::{Value, json};

/// Events buffered for a slow client; the oldest are dropped and counted.
pub(crate) const ADMIN_EVENT_BUFFER: usize = 256;

/// An event for operators.
#[derive(Clone, Debug)]
pub(crate) struct AdminEvent {
    /// Event type on the wire.
    pub(crate) name: &'static str,
    pub(crate) data: Value,
}

/// Makes the event for a change of a move's state.
pub(crate) fn move_event(view: &MoveView) -> AdminEvent {
    let name = match view.state {
        MoveState::Observing => "move_started",
        MoveState::Growing => "move_growing",
        MoveState::RecordingDone | MoveState::RecordingTakenBack => "move_decided",
        MoveState::Done => "move_done",
        MoveState::TakenBack => "move_taken_back",
    };
    AdminEvent {
        name,
        data: describe_move(view),
    }
}

/// Makes the event for a template that has come into force.
pub(crate) fn template_event(view: &WorkspaceView) -> AdminEvent {
    AdminEvent {
        name: "template_in_force",
        data: json!({
            "workspace": view.template.workspace, "revision": view.revision,
        }),
    }
}

/// Describes a move for the administration API.
pub(crate) fn describe_move(view: &MoveView) -> Value {
    let plan = &view.plan;
    json!({
        "id": plan.id, "workspace": plan.workspace, "from": plan.from.named(), "to": plan.to,
        "state": view.state.to_string(), "share_ppm": view.share,
        "trials": view.counts.trials, "failures": view.counts.failures,
        "slow": view.counts.slow, "elapsed_ms": view.elapsed_ms,
        "deadline_ms": plan.deadline_ms, "reason": view.reason,
        "vetoed_route": view.vetoed_route,
    })
}
