//! Lifecycle of a node, from start to planned stop.

use parsleylatch_chart::{Bindings, ChartError, Instance, Machine, chart_names};
use parsleylatch_types::MonoTime;

use crate::charts::{self, LazyMachine};

chart_names! {
    /// States of a node.
    pub enum NodeState {
        /// Has no configuration yet.
        Starting,
        /// Accepts requests.
        Serving,
        /// Reports not ready, but still accepts requests.
        NotReady,
        /// Accepts no new requests and finishes the running ones.
        Draining,
        /// Moves long generations to other nodes.
        HandingOver,
        /// The process may exit.
        Stopped,
    }
}

chart_names! {
    /// Events in the lifecycle of a node.
    pub enum NodeEvent {
        /// The first configuration has been received.
        Configured,
        /// An operator or the platform requested a stop.
        StopRequested,
        /// No request is left.
        Idle,
        /// The timeout of the state has passed.
        TimedOut,
    }
}

/// Effect of a lifecycle transition. The node logs the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeEffect {
    /// Report the node as ready.
    AnnounceReady,
    /// Report the node as not ready.
    AnnounceNotReady,
    /// Refuse new requests.
    RefuseNew,
    /// Move the running generations to other nodes.
    MoveGenerations,
    /// Exit the process.
    Stop,
}

type Effects = Vec<NodeEffect>;

static MACHINE: LazyMachine<NodeState, NodeEvent, Effects> = LazyMachine::new(|| {
    let bindings = Bindings::<Effects>::new()
        .action("announce_ready", |effects| {
            effects.push(NodeEffect::AnnounceReady);
        })
        .action("announce_not_ready", |effects| {
            effects.push(NodeEffect::AnnounceNotReady);
        })
        .action("refuse_new", |effects| effects.push(NodeEffect::RefuseNew))
        .action("move_generations", |effects| {
            effects.push(NodeEffect::MoveGenerations);
        })
        .action("stop_process", |effects| effects.push(NodeEffect::Stop));
    charts::compile(charts::NODE_LIFE, &bindings)
});

fn machine() -> &'static Machine<NodeState, NodeEvent, Effects> {
    charts::verified(&MACHINE)
}

pub(crate) fn verify_chart() -> Result<(), ChartError> {
    MACHINE.as_ref().map(|_| ()).map_err(Clone::clone)
}

/// Lifecycle of this node.
pub struct NodeLifecycle {
    instance: Instance<NodeState>,
}

impl NodeLifecycle {
    /// Creates the lifecycle in its initial state.
    pub fn new(now: MonoTime) -> Self {
        Self {
            instance: machine().start(now, &mut Effects::new()),
        }
    }

    /// Current state.
    pub fn state(&self) -> NodeState {
        self.instance.state()
    }

    /// Time at which [`NodeLifecycle::expire`] has to be called.
    pub fn next_deadline(&self) -> Option<MonoTime> {
        self.instance.next_deadline()
    }

    /// Handles an event.
    pub fn handle(&mut self, now: MonoTime, event: NodeEvent) -> Vec<NodeEffect> {
        let mut effects = Effects::new();
        machine().step(&mut self.instance, now, event, &mut effects);
        effects
    }

    /// Handles a deadline that has passed.
    pub fn expire(&mut self, now: MonoTime) -> Vec<NodeEffect> {
        let mut effects = Effects::new();
        machine().expire(&mut self.instance, now, &mut effects);
        effects
    }
}
