//! Health of an endpoint, used for placement, as a state chart.

use parsleylatch_chart::{Bindings, ChartError, Instance, Machine, chart_names};
use parsleylatch_types::MonoTime;

use crate::{
    charts::{self, LazyMachine},
    gossip::ObservedCondition,
    view::EndpointCondition,
};

chart_names! {
    /// Health states of an endpoint.
    pub enum HealthState {
        /// Gets new work.
        Live,
        /// An attempt of this node failed there recently.
        CoolingDown,
        /// Its watchers got no answer lately.
        Suspect,
        /// Its watchers have had no answer for a long time.
        Gone,
        /// Accepts no new work.
        Leaving,
    }
}

chart_names! {
    /// Health events of an endpoint.
    pub enum HealthEvent {
        /// Its watchers observe that it is live.
        ObservedLive,
        /// Its watchers suspect it.
        ObservedSuspect,
        /// Its watchers observe that it is gone.
        ObservedGone,
        /// A watcher or the platform's list reports that it is leaving.
        ObservedLeaving,
        /// An attempt of this node failed there.
        AttemptLost,
        /// An attempt of this node succeeded there.
        AttemptDone,
        /// The state has timed out.
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

    /// Handles an event and returns whether the state changed.
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
            // If no other endpoint is left, an attempt there is better than a refusal.
            HealthState::CoolingDown | HealthState::Suspect | HealthState::Gone => {
                EndpointCondition::Suspect
            }
            HealthState::Leaving => EndpointCondition::Leaving,
        }
    }
}
