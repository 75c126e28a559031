//! Requests that are refused because of a quarantined prompt part, and those that test it.
//!
//! Crashes don't tell the parts apart that all crashed requests had in common. Only one of
//! them crashes endpoints, so a request with all of them is refused, and one that lacks some
//! of them is a trial: an answer that gets under way clears its parts, and a crash shows that
//! the parts it lacks are not needed for one. Refusals show nothing, so that a request with
//! all parts is a trial as well once there was no crash for some time.

use std::collections::{BTreeMap, BTreeSet};

use parsleylatch_types::{Millis, MonoTime, NodeId, PromptPartId};

use super::{PartVerdicts, PromptChain};
use crate::relay::readers::NodeLocation;

/// Time after which another trial of a part may start although the last one has no outcome.
const TRIAL_LIMIT_MS: Millis = Millis::new(3_000);
/// Interval between the turns of two nodes at trials of requests with all parts.
const TURN_INTERVAL_MS: Millis = Millis::new(4_000);
/// Part of the interval in which a trial may start; the rest is left for its outcome to
/// reach the next node.
const TURN_MS: Millis = Millis::new(2_000);

/// Quarantine of one part.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Quarantine {
    /// Parts that explain the crashes as well, because the requests had them too.
    pub companions: BTreeSet<PromptPartId>,
    /// Time from which a request with all these parts may be a trial.
    pub retrial_at: MonoTime,
}

impl Quarantine {
    /// Whether a prompt has all parts that may have caused the crashes.
    fn covers(&self, prompt: &PromptChain) -> bool {
        self.companions.iter().all(|part| prompt.contains(part))
    }

    /// Whether a node may start a trial of a request with all parts. Nodes take turns, as
    /// each trial may crash an endpoint.
    fn is_retrial_due(&self, now: MonoTime, turn: NodeTurn) -> bool {
        if now < self.retrial_at {
            return false;
        }
        let waited_ms = now.since(self.retrial_at).millis().get();
        let holder = waited_ms / TURN_INTERVAL_MS.get() % turn.nodes.max(1) as u64;
        let is_early = waited_ms % TURN_INTERVAL_MS.get() < TURN_MS.get();
        holder == turn.index as u64 && is_early
    }
}

/// Position of a node among all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeTurn {
    /// Number of nodes with a smaller id.
    pub index: usize,
    /// Number of nodes.
    pub nodes: usize,
}

impl NodeTurn {
    /// Position of `own` among the known nodes.
    pub fn of(own: &NodeId, nodes: &[NodeLocation]) -> Self {
        Self {
            index: nodes.iter().filter(|it| it.id < *own).count(),
            nodes: nodes.len(),
        }
    }
}

/// Decision on an attempt at a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PartAdmission {
    /// No part is in quarantine.
    Unrestricted,
    /// The attempt is a trial.
    Trial(PartTrial),
    /// Another trial of this part has to end first.
    Pending(PromptPartId),
    /// The request is refused because of this part.
    Refused(PromptPartId),
}

/// Trial of the quarantined parts of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartTrial {
    /// Parts that it tests.
    pub parts: Vec<PromptPartId>,
    /// Time until which no other trial of them starts.
    pub ends_at: MonoTime,
}

/// Trials that a node has started: one at a time for each quarantined part.
#[derive(Debug, Default)]
pub struct PartTrials {
    /// Times at which trials that are running end at the latest.
    running: BTreeMap<PromptPartId, MonoTime>,
}

impl PartTrials {
    /// Decides on an attempt without starting a trial.
    pub fn judge(
        &self,
        now: MonoTime,
        verdicts: &PartVerdicts,
        prompt: &PromptChain,
        turn: NodeTurn,
    ) -> PartAdmission {
        let quarantines = || {
            let parts = prompt.parts();
            parts.filter_map(|part| verdicts.quarantined.get_key_value(part))
        };
        let refused = quarantines()
            .find(|(_, it)| it.covers(prompt) && !it.is_retrial_due(now, turn))
            .map(|(part, _)| PartAdmission::Refused(part.clone()));
        let pending = quarantines()
            .find(|(part, _)| self.running.get(*part).is_some_and(|end| now < *end))
            .map(|(part, quarantine)| match quarantine.covers(prompt) {
                true => PartAdmission::Refused(part.clone()),
                false => PartAdmission::Pending(part.clone()),
            });
        if let Some(restricted) = refused.or(pending) {
            return restricted;
        }
        let parts: Vec<PromptPartId> = quarantines().map(|(part, _)| part.clone()).collect();
        let ends_at = now + TRIAL_LIMIT_MS;
        match parts.is_empty() {
            true => PartAdmission::Unrestricted,
            false => PartAdmission::Trial(PartTrial { parts, ends_at }),
        }
    }

    /// Decides on an attempt, and starts the trial if it is one.
    pub fn admit(
        &mut self,
        now: MonoTime,
        verdicts: &PartVerdicts,
        prompt: &PromptChain,
        turn: NodeTurn,
    ) -> PartAdmission {
        let admission = self.judge(now, verdicts, prompt, turn);
        if let PartAdmission::Trial(trial) = &admission {
            self.running.retain(|_, end| now < *end);
            let parts = trial.parts.iter();
            self.running
                .extend(parts.map(|part| (part.clone(), trial.ends_at)));
        }
        admission
    }

    /// Ends a trial without a crash, so that another one may start. After a crash the limit
    /// of the trial has to pass, as its evidence takes time to reach all nodes.
    pub fn end(&mut self, trial: &PartTrial) {
        self.running.retain(|part, _| !trial.parts.contains(part));
    }
}
