//! Health of an endpoint, as a node uses it to place work, by chart.

use parsleylatch_chart::{Bindings, ChartError, Instance, Machine, chart_names};
use parsleylatch_types::MonoTime;

use crate::{
    charts::{self, LazyMachine},
    gossip::ObservedCondition,
    view::EndpointCondition,
};

chart_names! {
    /// States of an endpoint.
    pub enum HealthState {
        /// Gets new work.
        Live,
        /// This node's own traffic failed there.
        CoolingDown,
        /// Its watchers get no answer.
        Suspect,
        /// Its watchers have had no answer for long.
        Gone,
        /// Wants no new work.
        Leaving,
    }
}

chart_names! {
    /// Events of an endpoint.
    pub enum HealthEvent {
        /// Its watchers say that it lives.
        ObservedLive,
        /// Its watchers suspect it.
        ObservedSuspect,
        /// Its watchers say that it is gone.
        ObservedGone,
        /// A watcher or the platform's list says that it leaves.
        ObservedLeaving,
        /// An attempt of this node was lost there.
        AttemptLost,
        /// An attempt of this node went well there.
        AttemptDone,
        /// The state lasted its longest time.
        TimedOut,
    }
}

impl From<ObservedCondition> for HealthEvent {
    fn from(condition: ObservedCondition) -> Self {
        match condition {
            ObservedCondition::Live => Self::ObservedLive,
            ObservedCondition::Suspect => Self::ObservedSuspect,
            ObservedCondition::Gone => Self::ObservedGone,
            ObservedCondition::Leaving => Self::ObservedLeaving,
        }
    }
}

static MACHINE: LazyMachine<HealthState, HealthEvent, ()> =
    LazyMachine::new(|| charts::compile(charts::ENDPOINT_HEALTH, &Bindings::new()));

fn machine() -> &'static Machine<HealthState, HealthEvent, ()> {
    charts::verified(&MACHINE)
}

pub(crate) fn verify_chart() -> Result<(), ChartError> {
    MACHINE.as_ref().map(|_| ()).map_err(Clone::clone)
}

/// Health of one endpoint.
#[derive(Clone, Debug)]
pub(crate) struct EndpointHealth {
    instance: Instance<HealthState>,
}

impl EndpointHealth {
    pub(crate) fn new(now: MonoTime) -> Self {
        Self {
            instance: machine().start(now, &mut ()),
        }
    }

    /// Handles an event; returns whether the state changed.
    pub(crate) fn handle(&mut self, now: MonoTime, event: HealthEvent) -> bool {
        let before = self.instance.state();
        machine().step(&mut self.instance, now, event, &mut ());
        self.instance.state() != before
    }

    pub(crate) fn expire(&mut self, now: MonoTime) -> bool {
        machine().expire(&mut self.instance, now, &mut ())
    }

    pub(crate) fn next_deadline(&self) -> Option<MonoTime> {
        self.instance.next_deadline()
    }

    pub(crate) fn condition(&self) -> EndpointCondition {
        match self.instance.state() {
            HealthState::Live => EndpointCondition::Live,
            // With no other endpoint left, a try there beats a refusal.
            HealthState::CoolingDown | HealthState::Suspect | HealthState::Gone => {
                EndpointCondition::Suspect
            }
            HealthState::Leaving => EndpointCondition::Leaving,
        }
    }
}
