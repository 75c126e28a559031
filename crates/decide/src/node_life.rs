//! Life of a node, from start to planned stop.

use parsleylatch_chart::{Bindings, ChartError, Instance, Machine, chart_names};
use parsleylatch_types::MonoTime;

use crate::charts::{self, LazyMachine};

chart_names! {
    /// States of a node.
    pub enum NodeState {
        /// Has no configuration yet.
        Starting,
        /// Takes requests.
        Serving,
        /// Says that it is not ready, and still takes requests.
        NotReady,
        /// Takes no new requests; finishes those it has.
        Draining,
        /// Moves long generations to other nodes.
        HandingOver,
        /// Has ended.
        Stopped,
    }
}

chart_names! {
    /// Events of a node's life.
    pub enum NodeEvent {
        /// The first configuration is there.
        Configured,
        /// An operator or the platform asked for a stop.
        StopRequested,
        /// No request is left.
        Idle,
        /// The state lasted its longest time.
        TimedOut,
    }
}

/// What a node has to do on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeEffect {
    /// Say that the node is ready.
    AnnounceReady,
    /// Say that the node is not ready.
    AnnounceNotReady,
    /// Refuse new requests.
    RefuseNew,
    /// Move the generations that still run to other nodes.
    MoveGenerations,
    /// End the process.
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

/// Life of this node.
pub struct NodeLifecycle {
    instance: Instance<NodeState>,
}

impl NodeLifecycle {
    /// Starts the life.
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
