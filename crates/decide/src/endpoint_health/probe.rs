//! What a watcher's own load requests say of an endpoint, by chart.

use parsleylatch_chart::{Bindings, ChartError, Instance, Machine, chart_names};
use parsleylatch_types::MonoTime;

use crate::{
    charts::{self, LazyMachine},
    gossip::ObservedCondition,
};

chart_names! {
    /// States of an endpoint, as one of its watchers sees it.
    pub enum ProbeState {
        /// No request has ended yet.
        Unknown,
        /// It answers.
        Live,
        /// One request got no answer.
        Missed,
        /// Several requests got no answer.
        Suspect,
        /// It has not answered for long.
        Gone,
        /// It said that it wants no new work.
        Leaving,
    }
}

chart_names! {
    /// Events of an endpoint, as one of its watchers sees it.
    pub enum ProbeEvent {
        /// It told its load.
        Answered,
        /// It told its load, and that it wants no new work.
        AnsweredLeaving,
        /// It did not answer.
        Unanswered,
        /// The state lasted its longest time.
        TimedOut,
    }
}

static MACHINE: LazyMachine<ProbeState, ProbeEvent, ()> =
    LazyMachine::new(|| charts::compile(charts::ENDPOINT_PROBE, &Bindings::new()));

fn machine() -> &'static Machine<ProbeState, ProbeEvent, ()> {
    charts::verified(&MACHINE)
}

pub(crate) fn verify_chart() -> Result<(), ChartError> {
    MACHINE.as_ref().map(|_| ()).map_err(Clone::clone)
}

/// One endpoint that this node watches.
#[derive(Clone, Debug)]
pub(crate) struct EndpointProbe {
    instance: Instance<ProbeState>,
}

impl EndpointProbe {
    pub(crate) fn new(now: MonoTime) -> Self {
        Self {
            instance: machine().start(now, &mut ()),
        }
    }

    pub(crate) fn handle(&mut self, now: MonoTime, event: ProbeEvent) {
        machine().step(&mut self.instance, now, event, &mut ());
    }

    pub(crate) fn expire(&mut self, now: MonoTime) -> bool {
        machine().expire(&mut self.instance, now, &mut ())
    }

    pub(crate) fn next_deadline(&self) -> Option<MonoTime> {
        self.instance.next_deadline()
    }

    /// What the watcher says; nothing before the first request has ended.
    pub(crate) fn condition(&self) -> Option<ObservedCondition> {
        match self.instance.state() {
            ProbeState::Unknown => None,
            ProbeState::Live | ProbeState::Missed => Some(ObservedCondition::Live),
            ProbeState::Suspect => Some(ObservedCondition::Suspect),
            ProbeState::Gone => Some(ObservedCondition::Gone),
            ProbeState::Leaving => Some(ObservedCondition::Leaving),
        }
    }
}
