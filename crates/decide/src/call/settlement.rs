//! Settlement: the final write of a claim, retried until the store confirms it.
//!
//! Only the node that made a claim settles it. A release first tries to create
//! the key, so that a delayed claim write fails because the key exists.

use parsleylatch_chart::{Bindings, ChartError, Instance, Machine, chart_names};
use parsleylatch_types::{Millis, MonoTime};

use super::{
    claim::{Claim, ClaimOutcome, StoredClaim},
    once_only::ClaimCondition,
};
use crate::charts::{self, LazyMachine};

/// Maximum time for which the write is retried.
const SETTLE_WINDOW_MS: Millis = Millis::new(10 * 60 * 1_000);

chart_names! {
    /// States of a settlement.
    pub enum SettlementState {
        /// Writes the claim.
        Writing,
        /// Reads the claim after a write with unclear result.
        Reading,
        /// Backs off before the next retry.
        BackingOff,
        /// The store has the claim with its outcome.
        Settled,
        /// The claim can no longer be written, or need not be.
        Abandoned,
    }
}

chart_names! {
    /// Events of a settlement.
    pub(crate) enum SettlementEvent {
        /// The claim was written.
        Written,
        /// The key holds a claim.
        Found,
        /// The key does not exist.
        Absent,
        /// The key does not exist, as the store was restored since the claim was made.
        Lost,
        /// The write may or may not have taken effect.
        Unclear,
        /// The store did not answer a read, or rejected the write.
        Failed,
        /// The timeout of the state expired.
        TimedOut,
    }
}

/// Reply of the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum SettlementInput {
    /// The claim was written.
    Written,
    /// The key holds a claim.
    Found(StoredClaim),
    /// The key does not exist.
    Absent,
    /// The key does not exist, as the store was restored since the claim was made.
    Lost,
    /// The write may or may not have taken effect.
    Unclear,
    /// The store did not answer a read, or rejected the write.
    Failed,
}

/// Effect that the caller of [`Settlement`] carries out.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum SettlementEffect {
    /// Write the claim.
    Write {
        /// Claim with its outcome.
        claim: Claim,
        /// Precondition of the write.
        condition: ClaimCondition,
    },
    /// Read the key.
    Read,
}

/// Final write of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SettlementSpec {
    /// Claim with its outcome.
    pub claim: Claim,
    /// Precondition: the key holds this claim, or what this claim would replace.
    pub condition: ClaimCondition,
}

#[derive(Clone, Debug)]
struct SettlementContext {
    spec: SettlementSpec,
    started_at: MonoTime,
    now: MonoTime,
    found: Option<StoredClaim>,
    effects: Vec<SettlementEffect>,
}

impl SettlementContext {
    fn found_matches(&self, accepts: fn(&Claim, &Claim) -> bool) -> bool {
        let found = self.found.as_ref();
        found.is_some_and(|found| {
            found.claim.nonce == self.spec.claim.nonce && accepts(&found.claim, &self.spec.claim)
        })
    }

    fn write_record(&mut self) {
        let SettlementSpec { claim, condition } = self.spec.clone();
        self.effects
            .push(SettlementEffect::Write { claim, condition });
    }
}

static MACHINE: LazyMachine<SettlementState, SettlementEvent, SettlementContext> =
    LazyMachine::new(|| {
        let bindings = Bindings::<SettlementContext>::new()
            .guard("is_settled", |it| {
                it.found_matches(|found, expected| found.outcome == expected.outcome)
            })
            .guard("is_own", |it| {
                it.found_matches(|found, _| found.outcome == ClaimOutcome::Pending)
            })
            .guard("is_release", |it| {
                it.spec.claim.outcome == ClaimOutcome::Released
            })
            .guard("is_other_release", |it| {
                let outcome = it.found.as_ref().map(|found| &found.claim.outcome);
                let expected = &it.spec.claim.outcome;
                *expected == ClaimOutcome::Released && outcome == Some(expected)
            })
            .guard("in_time", |it| {
                it.now.since(it.started_at) <= SETTLE_WINDOW_MS.micros()
            })
            .action("write_record", SettlementContext::write_record)
            .action("read_record", |it| it.effects.push(SettlementEffect::Read))
            .action("update_revision", |it| {
                if let Some(found) = &it.found {
                    it.spec.condition = ClaimCondition::At(found.revision);
                }
            })
            .action("clear_revision", |it| {
                it.spec.condition = ClaimCondition::Absent;
            });
        charts::compile(charts::CLAIM_SETTLEMENT, &bindings)
    });

fn machine() -> &'static Machine<SettlementState, SettlementEvent, SettlementContext> {
    charts::verified(&MACHINE)
}

pub(crate) fn verify_chart() -> Result<(), ChartError> {
    MACHINE.as_ref().map(|_| ()).map_err(Clone::clone)
}

/// State machine of one settlement.
#[derive(Clone, Debug)]
pub struct Settlement {
    instance: Instance<SettlementState>,
    context: SettlementContext,
}

impl Settlement {
    /// Starts a settlement.
    pub fn start(now: MonoTime, spec: SettlementSpec) -> (Self, Vec<SettlementEffect>) {
        let mut context = SettlementContext {
            spec,
            started_at: now,
            now,
            found: None,
            effects: Vec::new(),
        };
        let instance = machine().start(now, &mut context);
        let effects = std::mem::take(&mut context.effects);
        (Self { instance, context }, effects)
    }

    /// Current state.
    pub fn state(&self) -> SettlementState {
        self.instance.state()
    }

    /// Whether the settlement has ended.
    pub fn is_over(&self) -> bool {
        machine().is_final(&self.instance)
    }

    /// Time at which [`Settlement::expire`] must be called.
    pub fn next_deadline(&self) -> Option<MonoTime> {
        self.instance.next_deadline()
    }

    /// Applies a reply of the store and returns its effects.
    pub fn handle(&mut self, now: MonoTime, input: SettlementInput) -> Vec<SettlementEffect> {
        let context = &mut self.context;
        context.now = now;
        let event = match input {
            SettlementInput::Written => SettlementEvent::Written,
            SettlementInput::Found(found) => {
                context.found = Some(found);
                SettlementEvent::Found
            }
            SettlementInput::Absent => SettlementEvent::Absent,
            SettlementInput::Lost => SettlementEvent::Lost,
            SettlementInput::Unclear => SettlementEvent::Unclear,
            SettlementInput::Failed => SettlementEvent::Failed,
        };
        machine().step(&mut self.instance, now, event, context);
        std::mem::take(&mut context.effects)
    }

    /// Handles an expired deadline.
    pub fn expire(&mut self, now: MonoTime) -> Vec<SettlementEffect> {
        self.context.now = now;
        machine().expire(&mut self.instance, now, &mut self.context);
        std::mem::take(&mut self.context.effects)
    }
}
