//! What engines should have loaded, and which orders bring that about.
//!
//! Orders are declarative: each names the whole of what is wanted. The table
//! reads back what an engine has and orders again until that is what is wanted,
//! and goes on reading, so that an order which arrives late and out of turn at an
//! engine that ignores fencing numbers is undone by the next round.

use std::collections::BTreeMap;

use parsleylatch_types::{EndpointId, FencingNumber, Millis, MonoTime};

use crate::lease_holder::COMMAND_TIMEOUT_MS;

/// Time between two reads of an engine that has what is wanted.
const READ_INTERVAL_MS: Millis = Millis::new(5_000);

/// What an engine should have or has loaded, in order.
pub type Deployment = Vec<String>;

/// What has to be done for an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DeploymentEffect {
    /// Read what the engine has.
    Read(EndpointId),
    /// Order what the engine should have; asks for the fencing number again right
    /// before the order leaves.
    Apply {
        /// Engine.
        endpoint: EndpointId,
        /// Fencing number of the holder.
        fencing: FencingNumber,
        /// All that the engine should have.
        desired: Deployment,
    },
}

#[derive(Clone, Debug)]
struct Engine {
    desired: Deployment,
    next_read_at: MonoTime,
}

/// Engines and what they should have.
#[derive(Clone, Debug, Default)]
pub struct DeploymentTable {
    engines: BTreeMap<EndpointId, Engine>,
}

impl DeploymentTable {
    /// Table without engines.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes over what the engines should have; others are forgotten.
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

    /// Reads the engines that are due, if this node may give orders.
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

    /// Orders what is wanted, if the engine has something else.
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
        // Read back once the order can no longer be on its way.
        engine.next_read_at = now + COMMAND_TIMEOUT_MS;
        Some(DeploymentEffect::Apply {
            endpoint: endpoint.clone(),
            fencing,
            desired: engine.desired.clone(),
        })
    }
}
