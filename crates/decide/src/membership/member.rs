//! Liveness of one other node, by chart.

use parsleylatch_chart::{Bindings, ChartError, Instance, Machine, chart_names};
use parsleylatch_types::MonoTime;

use crate::{
    charts::{self, LazyMachine},
    gossip::NodeStatus,
};

chart_names! {
    /// States of another node.
    pub enum MemberState {
        /// It answers.
        Alive,
        /// A prober got no answer.
        Suspect,
        /// It did not say in time that it lives.
        Dead,
        /// It said that it stops.
        Leaving,
    }
}

chart_names! {
    /// Events of another node.
    pub enum MemberEvent {
        /// It answered too few probes of this node.
        Unanswered,
        /// Another node suspects it.
        Suspected,
        /// Another node says that it is dead.
        DeclaredDead,
        /// It says that it stops.
        Left,
        /// It says that it lives, with a higher version.
        Refuted,
        /// The suspicion lasted its time.
        TimedOut,
    }
}

type Announcement = Option<NodeStatus>;

static MACHINE: LazyMachine<MemberState, MemberEvent, Announcement> = LazyMachine::new(|| {
    let bindings = Bindings::<Announcement>::new()
        .action("announce_suspect", |announcement| {
            *announcement = Some(NodeStatus::Suspect)
        })
        .action("announce_dead", |announcement| {
            *announcement = Some(NodeStatus::Dead)
        });
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

    /// Handles an event; returns what the other nodes have to be told.
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
