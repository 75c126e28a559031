//! Liveness of one other node, as a state chart.

use parsleylatch_chart::{Bindings, ChartError, Instance, Machine, chart_names};
use parsleylatch_types::MonoTime;

use crate::{
    charts::{self, LazyMachine},
    gossip::NodeStatus,
};

chart_names! {
    /// Liveness states of another node.
    pub enum MemberState {
        /// It answers probes.
        Alive,
        /// A node that probes it got no answer.
        Suspect,
        /// It did not refute the suspicion in time.
        Dead,
        /// It announced that it is shutting down.
        Leaving,
    }
}

chart_names! {
    /// Liveness events of another node.
    pub enum MemberEvent {
        /// It missed too many probes of this node.
        Unanswered,
        /// Another node suspects it.
        Suspected,
        /// Another node has declared it dead.
        DeclaredDead,
        /// It announced that it is shutting down.
        Left,
        /// It announced with a higher version that it is alive.
        Refuted,
        /// The suspicion was not refuted in time.
        TimedOut,
    }
}

type Announcement = Option<NodeStatus>;

static MACHINE: LazyMachine<MemberState, MemberEvent, Announcement> = LazyMachine::new(|| {
    let bindings = Bindings::<Announcement>::new()
        .action("announce_suspect", |it| *it = Some(NodeStatus::Suspect))
        .action("announce_dead", |it| *it = Some(NodeStatus::Dead));
    charts::compile(charts::MEMBER, &bindings)
});

fn machine() -> &'static Machine<MemberState, MemberEvent, Announcement> {
    charts::verified(&MACHINE)
}

pub(crate) fn verify_chart() -> Result<(), ChartError> {
    MACHINE.as_ref().map(|_| ()).map_err(Clone::clone)
}

/// Liveness of one other node.
#[derive(Clone, Debug)]
pub(crate) struct MemberLiveness {
    instance: Instance<MemberState>,
}

impl MemberLiveness {
    pub(crate) fn new(now: MonoTime) -> Self {
        Self {
            instance: machine().start(now, &mut None),
        }
    }

    pub(crate) fn state(&self) -> MemberState {
        self.instance.state()
    }

    pub(crate) fn next_deadline(&self) -> Option<MonoTime> {
        self.instance.next_deadline()
    }

    /// Handles an event and returns the status to announce to the other nodes, if any.
    pub(crate) fn handle(&mut self, now: MonoTime, event: MemberEvent) -> Option<NodeStatus> {
        let mut announcement = None;
        machine().step(&mut self.instance, now, event, &mut announcement);
        announcement
    }

    pub(crate) fn expire(&mut self, now: MonoTime) -> Option<NodeStatus> {
        let mut announcement = None;
        machine().expire(&mut self.instance, now, &mut announcement);
        announcement
    }
}
