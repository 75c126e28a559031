//! The last write under a claim, repeated until the store has it.
//!
//! Only the node that made a claim settles it. A release first tries to create
//! the key: then a claim write whose answer was lost finds the key taken.

use parsleylatch_chart::{Bindings, ChartError, Instance, Machine, chart_names};
use parsleylatch_types::{Millis, MonoTime};

use super::{
    claim::{Claim, ClaimOutcome, StoredClaim},
    once_only::ClaimCondition,
};
use crate::charts::{self, LazyMachine};

/// Longest time for which the write is repeated.
const SETTLE_WINDOW_MS: Millis = Millis::new(10 * 60 * 1_000);

chart_names! {
    /// States of a settlement.
    pub enum SettlementState {
        /// Writes the record.
        Writing,
        /// Reads what became of an unclear write.
        Reading,
        /// Waits before it tries again.
        BackingOff,
        /// The store has the record.
        Settled,
        /// The record can't be written any more, or need not be.
        Abandoned,
    }
}

chart_names! {
    /// Events of a settlement.
    pub(crate) enum SettlementEvent {
        /// The record was written.
        Written,
        /// The key holds a claim.
        Found,
        /// There is no such key.
        Absent,
        /// The write may or may not have taken effect.
        Unclear,
        /// The store did not answer, or did not write.
        Failed,
        /// The state lasted its longest time.
        TimedOut,
    }
}

/// What the store said.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum SettlementInput {
    /// The record was written.
    Written,
    /// The key holds a claim.
    Found(StoredClaim),
    /// There is no such key.
    Absent,
    /// The write may or may not have taken effect.
    Unclear,
    /// The store did not answer, or did not write.
    Failed,
}

/// What the caller of the decisions has to do.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum SettlementEffect {
    /// Write the record.
    Write {
        /// Value.
        claim: Claim,
        /// What the key has to be.
        condition: ClaimCondition,
    },
    /// Read the key.
    Read,
}

/// What has to be written under a claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SettlementSpec {
    /// The claim with its outcome.
    pub claim: Claim,
    /// What the key has to be: the claim itself, or what the claim was written over.
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
                it.found_matches(|found, wanted| found.outcome == wanted.outcome)
            })
            .guard("is_own", |it| {
                it.found_matches(|found, _| found.outcome == ClaimOutcome::Pending)
            })
            .guard("is_release", |it| {
                it.spec.claim.outcome == ClaimOutcome::Released
            })
            .guard("is_other_release", |it| {
                let outcome = it.found.as_ref().map(|found| &found.claim.outcome);
                let wanted = &it.spec.claim.outcome;
                *wanted == ClaimOutcome::Released && outcome == Some(wanted)
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

/// One settlement.
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

    /// Whether nothing is left to do.
    pub fn is_over(&self) -> bool {
        machine().is_final(&self.instance)
    }

    /// Time at which [`Settlement::expire`] has to be called.
    pub fn next_deadline(&self) -> Option<MonoTime> {
        self.instance.next_deadline()
    }

    /// Takes what the store said.
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
            SettlementInput::Unclear => SettlementEvent::Unclear,
            SettlementInput::Failed => SettlementEvent::Failed,
        };
        machine().step(&mut self.instance, now, event, context);
        std::mem::take(&mut context.effects)
    }

    /// Handles a deadline that has passed.
    pub fn expire(&mut self, now: MonoTime) -> Vec<SettlementEffect> {
        self.context.now = now;
        machine().expire(&mut self.instance, now, &mut self.context);
        std::mem::take(&mut self.context.effects)
    }
}
