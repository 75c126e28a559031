//! Model of two nodes that receive the same request, the key in the store and the
//! service.

use std::sync::Arc;

use parsleylatch_decide::{
    call::{
        CallAnswer, CallDigest, CallEffect, CallInput, CallSpec, Claim, ClaimCondition, ClaimNonce,
        ClaimOutcome, OnceOnlyCall, Settlement, SettlementEffect, SettlementInput, StoredClaim,
    },
    refusal::Refusal,
};
use parsleylatch_types::{EndpointId, MonoTime, Revision, UnixMillis};

/// Whether the claim is made, or skipped to verify that the tests detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClaimStep {
    Made,
    Skipped,
}

/// Faults that can still be injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Faults {
    pub(crate) lost_answers: u32,
    pub(crate) crashes: u32,
    pub(crate) timeouts: u32,
}

/// Reply to the caller of one request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum CallerReply {
    Answer(CallAnswer),
    Refused(Refusal),
}

impl CallerReply {
    pub(crate) fn is_not_run(&self) -> bool {
        matches!(self, Self::Refused(refusal) if refusal.not_run)
    }
}

/// Pending operation of a claimant.
#[derive(Clone, Debug)]
enum Operation {
    Write(Claim, ClaimCondition),
    Read,
    Watch(Revision),
    AskPeers,
    Send,
}

#[derive(Clone, Debug)]
struct Claimant {
    now: MonoTime,
    call: OnceOnlyCall,
    operation: Option<Operation>,
    settlement: Option<Settlement>,
    settlement_operation: Option<Operation>,
    sends: u32,
    reply: Option<CallerReply>,
    crashed: bool,
}

/// The state machine of a claimant that takes a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MachineKind {
    Call,
    Settlement,
}

/// How an operation completes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Completion {
    /// It takes effect, and its answer arrives.
    Answered,
    /// It takes effect, and its answer is lost.
    AnswerLost,
    /// Its answer is lost; it may take effect later.
    Delayed,
    /// A send that can't reach the endpoint.
    Unsent,
}

/// One step of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    Complete(usize, MachineKind, Completion),
    TimeOut(usize, MachineKind),
    Crash(usize),
    /// A write whose answer was lost takes effect.
    LateWrite(usize),
}

#[derive(Clone, Debug)]
pub(crate) struct World {
    claim_step: ClaimStep,
    key: Option<StoredClaim>,
    revision: Revision,
    claimants: Vec<Claimant>,
    late_writes: Vec<(Claim, ClaimCondition)>,
    faults: Faults,
    runs: u32,
}

fn claim(number: u64) -> Claim {
    let (service, operation) = ("dispatch".parse().unwrap(), "book".parse().unwrap());
    Claim {
        workspace: "w".parse().unwrap(),
        node: format!("node-{number}").parse().unwrap(),
        nonce: ClaimNonce::new(number),
        digest: CallDigest::of_call(&service, &operation, b"{}"),
        claimed_at_unix_ms: UnixMillis::ZERO,
        outcome: ClaimOutcome::Pending,
    }
}

impl World {
    pub(crate) fn new(claim_step: ClaimStep, faults: Faults, is_new_request: bool) -> Self {
        let mut world = Self {
            claim_step,
            key: None,
            revision: Revision::ZERO,
            claimants: Vec::new(),
            late_writes: Vec::new(),
            faults,
            runs: 0,
        };
        world.add_request(is_new_request);
        world.add_request(is_new_request);
        world
    }

    /// Adds a request with the same id at another node.
    pub(crate) fn add_request(&mut self, is_new_request: bool) {
        let claim = claim(self.claimants.len() as u64 + 1);
        let (call, effects) = OnceOnlyCall::start(
            MonoTime::ZERO,
            CallSpec {
                claim,
                is_new_request,
                store_is_down: false,
                is_rate_limited: false,
            },
        );
        self.claimants.push(Claimant {
            now: MonoTime::ZERO,
            call,
            operation: None,
            settlement: None,
            settlement_operation: None,
            sends: 0,
            reply: None,
            crashed: false,
        });
        self.apply_effects(self.claimants.len() - 1, effects);
    }

    pub(crate) fn reply_to(&self, index: usize) -> Option<&CallerReply> {
        self.claimants[index].reply.as_ref()
    }

    pub(crate) fn runs(&self) -> u32 {
        self.runs
    }

    pub(crate) fn replies(&self) -> impl Iterator<Item = &CallerReply> {
        self.claimants.iter().filter_map(|it| it.reply.as_ref())
    }

    /// Number of sends of each claimant, with the reply to its caller.
    pub(crate) fn sends(&self) -> impl Iterator<Item = (u32, Option<&CallerReply>)> {
        self.claimants
            .iter()
            .map(|it| (it.sends, it.reply.as_ref()))
    }

    pub(crate) fn key_outcome(&self) -> Option<&ClaimOutcome> {
        self.key.as_ref().map(|stored| &stored.claim.outcome)
    }

    pub(crate) fn has_crashed(&self) -> bool {
        self.claimants.iter().any(|it| it.crashed)
    }

    /// Possible next steps.
    pub(crate) fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        for (index, claimant) in self.claimants.iter().enumerate() {
            if claimant.crashed {
                continue;
            }
            self.push_completions(
                &mut steps,
                index,
                MachineKind::Call,
                claimant.operation.as_ref(),
            );
            let settlement_operation = claimant.settlement_operation.as_ref();
            self.push_completions(
                &mut steps,
                index,
                MachineKind::Settlement,
                settlement_operation,
            );
            self.push_timeouts(&mut steps, index, claimant);
            if self.faults.crashes > 0 {
                steps.push(Step::Crash(index));
            }
        }
        steps.extend((0..self.late_writes.len()).map(Step::LateWrite));
        steps
    }

    fn push_timeouts(&self, steps: &mut Vec<Step>, index: usize, claimant: &Claimant) {
        let waits_for_watch = matches!(&claimant.operation, Some(Operation::Watch(after))
            if !self.is_newer_than(*after));
        if claimant.call.next_deadline().is_some() && (self.faults.timeouts > 0 || waits_for_watch)
        {
            steps.push(Step::TimeOut(index, MachineKind::Call));
        }
        let settlement = claimant.settlement.as_ref();
        let is_backing_off = claimant.settlement_operation.is_none();
        if settlement.is_some_and(|it| it.next_deadline().is_some())
            && (self.faults.timeouts > 0 || is_backing_off)
        {
            steps.push(Step::TimeOut(index, MachineKind::Settlement));
        }
    }

    fn push_completions(
        &self,
        steps: &mut Vec<Step>,
        index: usize,
        machine: MachineKind,
        operation: Option<&Operation>,
    ) {
        let mut push = |completion| steps.push(Step::Complete(index, machine, completion));
        let may_lose = self.faults.lost_answers > 0;
        match operation {
            None => {}
            Some(Operation::Watch(after)) if !self.is_newer_than(*after) => {}
            Some(Operation::Read | Operation::Watch(_) | Operation::AskPeers) => {
                push(Completion::Answered);
            }
            Some(Operation::Write(..) | Operation::Send) => {
                push(Completion::Answered);
                if may_lose {
                    push(Completion::AnswerLost);
                    push(Completion::Delayed);
                }
                if may_lose && matches!(operation, Some(Operation::Send)) {
                    push(Completion::Unsent);
                }
            }
        }
    }

    fn is_newer_than(&self, revision: Revision) -> bool {
        self.key.as_ref().is_some_and(|it| it.revision > revision)
    }

    /// Takes a step.
    pub(crate) fn apply(&mut self, step: Step) {
        match step {
            Step::Complete(index, machine, completion) => self.complete(index, machine, completion),
            Step::TimeOut(index, machine) => self.time_out(index, machine),
            Step::Crash(index) => {
                self.faults.crashes -= 1;
                let claimant = &mut self.claimants[index];
                claimant.crashed = true;
                let operations = [
                    claimant.operation.take(),
                    claimant.settlement_operation.take(),
                ];
                operations.into_iter().for_each(|it| self.abandon(it));
            }
            Step::LateWrite(index) => {
                let (claim, condition) = self.late_writes.remove(index);
                self.write(claim, condition);
            }
        }
    }

    /// An abandoned operation may take effect later.
    fn abandon(&mut self, operation: Option<Operation>) {
        match operation {
            Some(Operation::Write(claim, condition)) => self.late_writes.push((claim, condition)),
            Some(Operation::Send) => self.runs += 1,
            _ => {}
        }
    }

    fn write(&mut self, claim: Claim, condition: ClaimCondition) -> bool {
        let holds = match condition {
            ClaimCondition::Absent => self.key.is_none(),
            ClaimCondition::At(revision) => {
                self.key.as_ref().is_some_and(|it| it.revision == revision)
            }
        };
        if holds {
            self.revision = self.revision.next();
            let revision = self.revision;
            self.key = Some(StoredClaim { claim, revision });
        }
        holds
    }

    fn time_out(&mut self, index: usize, machine: MachineKind) {
        self.faults.timeouts = self.faults.timeouts.saturating_sub(1);
        let claimant = &mut self.claimants[index];
        match machine {
            MachineKind::Call => {
                claimant.now = claimant.call.next_deadline().unwrap().max(claimant.now);
                let effects = claimant.call.expire(claimant.now);
                let abandoned = claimant.operation.take();
                self.abandon(abandoned);
                self.apply_effects(index, effects);
            }
            MachineKind::Settlement => {
                let settlement = claimant.settlement.as_mut().unwrap();
                claimant.now = settlement.next_deadline().unwrap().max(claimant.now);
                let effects = settlement.expire(claimant.now);
                let abandoned = claimant.settlement_operation.take();
                self.abandon(abandoned);
                self.apply_settlement_effects(index, effects);
            }
        }
    }

    fn complete(&mut self, index: usize, machine: MachineKind, completion: Completion) {
        if completion != Completion::Answered {
            self.faults.lost_answers -= 1;
        }
        let claimant = &mut self.claimants[index];
        let operation = match machine {
            MachineKind::Call => claimant.operation.take(),
            MachineKind::Settlement => claimant.settlement_operation.take(),
        };
        let result = self.perform(index, operation.expect("an operation runs"), completion);
        let claimant = &mut self.claimants[index];
        match machine {
            MachineKind::Call => {
                let effects = claimant.call.handle(claimant.now, call_input(result));
                self.apply_effects(index, effects);
            }
            MachineKind::Settlement => {
                let settlement = claimant.settlement.as_mut().unwrap();
                let effects = settlement.handle(claimant.now, settlement_input(result));
                self.apply_settlement_effects(index, effects);
            }
        }
    }

    fn perform(
        &mut self,
        index: usize,
        operation: Operation,
        completion: Completion,
    ) -> OperationResult {
        match (operation, completion) {
            (Operation::Write(claim, condition), Completion::Answered) => {
                let written = self.write(claim, condition);
                let stored = self.key.clone();
                match (written, stored) {
                    (true, Some(stored)) => OperationResult::Written(stored.revision),
                    (false, Some(stored)) => OperationResult::Found(stored),
                    (_, None) => OperationResult::Absent,
                }
            }
            (Operation::Write(claim, condition), Completion::Delayed) => {
                self.late_writes.push((claim, condition));
                OperationResult::Unclear
            }
            (Operation::Write(claim, condition), _) => {
                self.write(claim, condition);
                OperationResult::Unclear
            }
            (Operation::Read | Operation::Watch(_), _) => match self.key.clone() {
                Some(stored) => OperationResult::Found(stored),
                None => OperationResult::Absent,
            },
            (Operation::AskPeers, _) => OperationResult::Peers(self.is_unknown_to_peers(index)),
            (Operation::Send, Completion::Unsent) => OperationResult::Unsent,
            (Operation::Send, completion) => {
                self.claimants[index].sends += 1;
                // A delayed send did not run, but the node can't distinguish the two.
                self.runs += u32::from(completion != Completion::Delayed);
                match completion {
                    Completion::Answered => OperationResult::Answered(answer(self.runs)),
                    _ => OperationResult::Lost,
                }
            }
        }
    }

    /// Whether all other nodes reply that they have not seen the request.
    fn is_unknown_to_peers(&self, index: usize) -> bool {
        let others = self.claimants.iter().enumerate();
        let mut others = others.filter(|(other, _)| *other != index);
        others.all(|(_, it)| !it.crashed && it.reply.as_ref().is_some_and(CallerReply::is_not_run))
    }

    fn apply_effects(&mut self, index: usize, effects: Vec<CallEffect>) {
        for effect in effects {
            let claimant = &mut self.claimants[index];
            match effect {
                CallEffect::WriteClaim { claim, condition } => {
                    claimant.operation = Some(Operation::Write(claim, condition));
                    if self.claim_step == ClaimStep::Skipped {
                        claimant.operation = None;
                        let input = CallInput::ClaimWritten(Revision::new(1));
                        let effects = claimant.call.handle(claimant.now, input);
                        self.apply_effects(index, effects);
                    }
                }
                CallEffect::AskPeers => claimant.operation = Some(Operation::AskPeers),
                CallEffect::ReadClaim => claimant.operation = Some(Operation::Read),
                CallEffect::WatchClaim { after } => {
                    claimant.operation = Some(Operation::Watch(after));
                }
                CallEffect::Send { send_before, .. } => {
                    assert!(claimant.now <= send_before, "sent after the window");
                    claimant.operation = Some(Operation::Send);
                }
                CallEffect::Settle(spec) => {
                    let (settlement, effects) = Settlement::start(claimant.now, spec);
                    claimant.settlement = Some(settlement);
                    self.apply_settlement_effects(index, effects);
                }
                CallEffect::Answer(answer) => claimant.reply = Some(CallerReply::Answer(answer)),
                CallEffect::Refuse(refusal) => claimant.reply = Some(CallerReply::Refused(refusal)),
            }
        }
    }

    fn apply_settlement_effects(&mut self, index: usize, effects: Vec<SettlementEffect>) {
        let claimant = &mut self.claimants[index];
        for effect in effects {
            claimant.settlement_operation = Some(match effect {
                SettlementEffect::Write { claim, condition } => Operation::Write(claim, condition),
                SettlementEffect::Read => Operation::Read,
            });
        }
        let over = claimant
            .settlement
            .as_ref()
            .is_some_and(Settlement::is_over);
        if over && !claimant.call.is_over() {
            let effects = claimant.call.handle(claimant.now, CallInput::Settled);
            self.apply_effects(index, effects);
        }
    }
}

/// Result of an operation, as seen by the claimant.
enum OperationResult {
    Written(Revision),
    Found(StoredClaim),
    Absent,
    Unclear,
    Answered(CallAnswer),
    Unsent,
    Lost,
    Peers(bool),
}

fn call_input(result: OperationResult) -> CallInput {
    match result {
        OperationResult::Written(revision) => CallInput::ClaimWritten(revision),
        OperationResult::Found(stored) => CallInput::ClaimFound(stored),
        OperationResult::Absent => CallInput::ClaimAbsent,
        OperationResult::Unclear => CallInput::ClaimUnclear,
        OperationResult::Answered(answer) => CallInput::Answered(answer),
        OperationResult::Unsent => CallInput::Unsent {
            endpoint: Some("service-1".parse::<EndpointId>().unwrap()),
        },
        OperationResult::Lost => CallInput::Lost,
        OperationResult::Peers(true) => CallInput::UnknownToPeers,
        OperationResult::Peers(false) => CallInput::PeersInconclusive,
    }
}

fn settlement_input(result: OperationResult) -> SettlementInput {
    match result {
        OperationResult::Written(_) => SettlementInput::Written,
        OperationResult::Found(stored) => SettlementInput::Found(stored),
        OperationResult::Absent => SettlementInput::Absent,
        _ => SettlementInput::Unclear,
    }
}

/// Answer that identifies the run.
fn answer(run: u32) -> CallAnswer {
    CallAnswer {
        status: 200,
        body: Arc::from(run.to_string().as_bytes()),
    }
}
