//! Reconciles what engines have loaded with the desired deployment.
//!
//! Commands are declarative: each carries the complete desired deployment. The
//! table reads the actual deployment of an engine and sends the command until both
//! are equal. It keeps reading after that, so the next round corrects a delayed
//! command that an engine without fencing checks applied out of order.

use std::collections::BTreeMap;

use parsleylatch_types::{EndpointId, FencingNumber, Millis, MonoTime};

use crate::lease_holder::COMMAND_TIMEOUT_MS;

/// Time between two reads of an engine that has the desired deployment.
const READ_INTERVAL_MS: Millis = Millis::new(5_000);

/// What an engine has or should have loaded, in order.
pub type Deployment = Vec<String>;

/// Effect that has to be carried out for an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DeploymentEffect {
    /// Read the actual deployment of the engine.
    Read(EndpointId),
    /// Command the desired deployment. The sender has to get the fencing number
    /// again right before the command is sent.
    Apply {
        /// Engine that receives the command.
        endpoint: EndpointId,
        /// Fencing number of the lease holder.
        fencing: FencingNumber,
        /// Complete desired deployment.
        desired: Deployment,
    },
}

#[derive(Clone, Debug)]
struct Engine {
    desired: Deployment,
    next_read_at: MonoTime,
}

/// Engines and their desired deployments.
#[derive(Clone, Debug, Default)]
pub struct DeploymentTable {
    engines: BTreeMap<EndpointId, Engine>,
}

impl DeploymentTable {
    /// Creates a table without engines.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the desired deployments; engines that are not listed are removed.
    pub fn set_desired(&mut self, now: MonoTime, desired: BTreeMap<EndpointId, Deployment>) {
        self.engines.retain(|id, _| desired.contains_key(id));
        for (id, desired) in desired {
            let engine = self.engines.entry(id).or_insert_with(|| Engine {
                desired: Deployment::new(),
                next_read_at: now,
            });
            if engine.desired != desired {
                engine.desired = desired;
                engine.next_read_at = now;
            }
        }
    }

    /// Time at which [`DeploymentTable::expire`] has to be called.
    pub fn next_deadline(&self) -> Option<MonoTime> {
        self.engines
            .values()
            .map(|engine| engine.next_read_at)
            .min()
    }

    /// Reads the engines that are due, if this node may send commands.
    pub fn expire(
        &mut self,
        now: MonoTime,
        fencing: Option<FencingNumber>,
    ) -> Vec<DeploymentEffect> {
        let mut effects = Vec::new();
        for (id, engine) in &mut self.engines {
            if engine.next_read_at > now {
                continue;
            }
            engine.next_read_at = now + READ_INTERVAL_MS;
            if fencing.is_some() {
                effects.push(DeploymentEffect::Read(id.clone()));
            }
        }
        effects
    }

    /// Commands the desired deployment if the actual one differs.
    pub fn handle_read(
        &mut self,
        now: MonoTime,
        fencing: Option<FencingNumber>,
        endpoint: &EndpointId,
        actual: &[String],
    ) -> Option<DeploymentEffect> {
        let engine = self.engines.get_mut(endpoint)?;
        let fencing = fencing?;
        if engine.desired == actual {
            return None;
        }
        // Read again once the command can no longer be in transit.
        engine.next_read_at = now + COMMAND_TIMEOUT_MS;
        Some(DeploymentEffect::Apply {
            endpoint: endpoint.clone(),
            fencing,
            desired: engine.desired.clone(),
        })
    }
}
