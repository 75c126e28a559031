//! At-most-once call: claims the request, sends the call, records the answer.

use parsleylatch_chart::{Bindings, ChartError, Instance, Machine, chart_names};
use parsleylatch_types::{EndpointId, Millis, MonoTime, Revision};

use super::{
    claim::{CallAnswer, Claim, ClaimOutcome, StoredClaim},
    settlement::SettlementSpec,
};
use crate::{
    charts::{self, LazyMachine},
    refusal::{Refusal, RefusalKind},
};

/// Maximum time from the write of a claim to the sending of the call.
const SEND_WINDOW_MS: Millis = Millis::new(2_000);
/// Maximum size of a recorded answer; for a larger one, a repeated request gets
/// "unknown".
const MAX_RECORDED_ANSWER_BYTES: usize = 512 << 10;
/// Retry delay given to callers while the store is unavailable.
const STORE_RETRY_AFTER_MS: Millis = Millis::new(1_000);

chart_names! {
    /// States of an at-most-once call.
    pub enum CallState {
        /// The call has not started.
        Starting,
        /// Writes the claim.
        Claiming,
        /// Reads the claim, because the rate limit forbids a new one.
        LookingUp,
        /// Reads the claim after a write with unclear result.
        ReadingBack,
        /// Asks the other nodes whether they have seen the request.
        AskingPeers,
        /// The claim is confirmed; the call is being sent.
        Sending,
        /// The answer is being recorded.
        Recording,
        /// A concurrent request with the same id holds the claim.
        Waiting,
        /// The answer was returned to the caller.
        Answered,
        /// The call was refused.
        Refused,
        /// It is not known whether the call ran.
        Unknown,
    }
}

chart_names! {
    /// Events of an at-most-once call.
    pub(crate) enum CallEvent {
        /// The call was started.
        Started,
        /// The claim was written.
        ClaimWritten,
        /// The key holds a claim.
        ClaimFound,
        /// There is no claim.
        ClaimAbsent,
        /// An earlier claim of the request may be missing from a restored store.
        ClaimLost,
        /// The claim may or may not have been written.
        ClaimUnclear,
        /// The store did not answer a read, or rejected a write.
        StoreFailed,
        /// The service answered.
        Answered,
        /// The call certainly did not reach the service.
        Unsent,
        /// The call was sent, and no answer was received.
        Lost,
        /// The answer is recorded in the store, or can't be recorded.
        Settled,
        /// All other nodes replied that they have not seen the request.
        UnknownToPeers,
        /// Another node has seen the request, or did not reply.
        PeersInconclusive,
        /// The timeout of the state expired.
        TimedOut,
    }
}

/// Precondition of a claim write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ClaimCondition {
    /// The key does not exist.
    Absent,
    /// The key has this revision.
    At(Revision),
}

/// Input of an at-most-once call.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum CallInput {
    /// The claim was written with this revision.
    ClaimWritten(Revision),
    /// The key holds a claim.
    ClaimFound(StoredClaim),
    /// There is no claim.
    ClaimAbsent,
    /// The store holds no other claim, but it was restored since the id was made, so an
    /// earlier claim may be missing. Has the revision of the new claim if it was written.
    ClaimLost(Option<Revision>),
    /// The claim may or may not have been written.
    ClaimUnclear,
    /// The store did not answer a read, or rejected a write.
    StoreFailed,
    /// The service answered.
    Answered(CallAnswer),
    /// The call certainly did not reach the service.
    Unsent {
        /// Endpoint of the attempt, if one was available.
        endpoint: Option<EndpointId>,
    },
    /// The call was sent, and no answer was received.
    Lost,
    /// The answer is recorded in the store, or can't be recorded.
    Settled,
    /// All other nodes replied that they have not seen the request.
    UnknownToPeers,
    /// Another node has seen the request, or did not reply.
    PeersInconclusive,
}

/// Effect that the caller of [`OnceOnlyCall`] carries out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallEffect {
    /// Write the claim.
    WriteClaim {
        /// Claim to write.
        claim: Claim,
        /// Precondition of the write.
        condition: ClaimCondition,
    },
    /// Read the claim.
    ReadClaim,
    /// Wait until the claim changes, then read it.
    WatchClaim {
        /// Last known revision.
        after: Revision,
    },
    /// Send the call, unless `send_before` has passed.
    Send {
        /// Endpoints that have been tried.
        tried: Vec<EndpointId>,
        /// Time after which the call must not be sent.
        send_before: MonoTime,
    },
    /// Ask all other nodes whether they have seen the request.
    AskPeers,
    /// Settle the claim; this may continue after the call has ended.
    Settle(SettlementSpec),
    /// Return the answer to the caller.
    Answer(CallAnswer),
    /// Refuse the call.
    Refuse(Refusal),
}

/// Parameters of an at-most-once call.
#[derive(Clone, Debug)]
pub struct CallSpec {
    /// Claim to write.
    pub claim: Claim,
    /// Whether the id is new and this node has not seen it before.
    pub is_new_request: bool,
    /// Whether a store operation failed recently.
    pub store_is_down: bool,
    /// Whether the tier's claim rate is exhausted.
    pub is_rate_limited: bool,
}

#[derive(Clone, Debug)]
struct CallContext {
    spec: CallSpec,
    now: MonoTime,
    claim_started_at: MonoTime,
    condition: ClaimCondition,
    confirmed_revision: Option<Revision>,
    found: Option<StoredClaim>,
    tried: Vec<EndpointId>,
    may_retry_elsewhere: bool,
    answer: Option<CallAnswer>,
    refusal: Option<Refusal>,
    effects: Vec<CallEffect>,
}

static MACHINE: LazyMachine<CallState, CallEvent, CallContext> = LazyMachine::new(|| {
    let bindings = guards(Bindings::new())
        .action("write_claim", CallContext::write_claim)
        .action("read_claim", |it| it.effects.push(CallEffect::ReadClaim))
        .action("watch_claim", CallContext::watch_claim)
        .action("send_call", CallContext::send_call)
        .action("record_answer", CallContext::record_answer)
        .action("record_unknown", |it| it.settle(ClaimOutcome::Unknown))
        .action("release_claim", |it| it.settle(ClaimOutcome::Released))
        .action("use_recorded_answer", CallContext::use_recorded_answer)
        .action("return_answer", |it| {
            let answer = it.answer.take().map(CallEffect::Answer);
            it.effects.extend(answer);
        })
        .action(
            "refuse_outcome_unknown",
            CallContext::refuse_outcome_unknown,
        )
        .action("refuse", |it| {
            let refusal = it.refusal.take().map(CallEffect::Refuse);
            it.effects.extend(refusal);
        })
        .action("ask_peers", |it| it.effects.push(CallEffect::AskPeers))
        .action("set_store_refusal", |it| {
            it.refusal = Some(store_unreachable(it.spec.is_new_request));
        })
        .action("set_store_inconclusive_refusal", |it| {
            it.refusal = Some(store_unreachable(false));
        })
        .action("set_unclear_claim_refusal", |it| {
            let detail = "the store did not confirm the claim; the call was not sent";
            it.set_unsent_refusal(RefusalKind::StoreUnavailable, detail);
        })
        .action("set_delay_refusal", |it| {
            let detail = "the claim was confirmed too late; the call was not sent";
            it.set_unsent_refusal(RefusalKind::StoreUnavailable, detail);
        })
        .action("set_endpoint_refusal", |it| {
            let detail = "no endpoint of the service could be reached";
            it.set_unsent_refusal(RefusalKind::NoEndpoint, detail);
        })
        .action("set_rate_refusal", |it| {
            let detail = "the free tier's calls of this kind are used up; the call was not sent";
            it.set_unsent_refusal(RefusalKind::Overloaded, detail);
        })
        .action("set_reuse_refusal", |it| {
            let detail = "the request id was used for another call";
            it.refusal = Some(Refusal::may_have_run(RefusalKind::RequestIdReused, detail));
        });
    charts::compile(charts::CALL, &bindings)
});

fn guards(bindings: Bindings<CallContext>) -> Bindings<CallContext> {
    bindings
        .guard("is_rate_limited", |it| it.spec.is_rate_limited)
        .guard("store_is_down", |it| it.spec.store_is_down)
        .guard("may_send", CallContext::may_send)
        .guard("may_send_own", |it| it.is_own() && it.may_send())
        .guard("may_send_elsewhere", |it| {
            it.may_retry_elsewhere && it.may_send()
        })
        .guard("is_own", CallContext::is_own)
        .guard("is_other_call", CallContext::is_other_call)
        .guard("is_released", |it| {
            it.found_outcome() == Some(&ClaimOutcome::Released)
        })
        .guard("is_unknown", |it| {
            it.found_outcome() == Some(&ClaimOutcome::Unknown)
        })
        .guard("is_answered", |it| {
            matches!(it.found_outcome(), Some(ClaimOutcome::Answered(_)))
        })
}

fn machine() -> &'static Machine<CallState, CallEvent, CallContext> {
    charts::verified(&MACHINE)
}

pub(crate) fn verify_chart() -> Result<(), ChartError> {
    MACHINE.as_ref().map(|_| ()).map_err(Clone::clone)
}

impl CallContext {
    fn found_outcome(&self) -> Option<&ClaimOutcome> {
        self.found.as_ref().map(|found| &found.claim.outcome)
    }

    fn is_own(&self) -> bool {
        let found = self.found.as_ref();
        found.is_some_and(|found| found.claim.nonce == self.spec.claim.nonce)
    }

    fn is_other_call(&self) -> bool {
        let claim = &self.spec.claim;
        self.found.as_ref().is_some_and(|found| {
            found.claim.workspace != claim.workspace || found.claim.digest != claim.digest
        })
    }

    fn send_before(&self) -> MonoTime {
        self.claim_started_at + SEND_WINDOW_MS
    }

    fn may_send(&self) -> bool {
        self.now <= self.send_before()
    }

    fn write_claim(&mut self) {
        self.claim_started_at = self.now;
        let condition = self.condition;
        let claim = self.spec.claim.clone();
        self.effects
            .push(CallEffect::WriteClaim { claim, condition });
    }

    fn watch_claim(&mut self) {
        let found = self.found.as_ref();
        let after = found.map_or(Revision::ZERO, |found| found.revision);
        self.effects.push(CallEffect::WatchClaim { after });
    }

    fn send_call(&mut self) {
        self.effects.push(CallEffect::Send {
            tried: self.tried.clone(),
            send_before: self.send_before(),
        });
    }

    fn record_answer(&mut self) {
        let is_text = |answer: &CallAnswer| std::str::from_utf8(&answer.body).is_ok();
        let answer = self.answer.clone();
        let recordable =
            answer.filter(|it| it.body.len() <= MAX_RECORDED_ANSWER_BYTES && is_text(it));
        self.settle(recordable.map_or(ClaimOutcome::Unknown, ClaimOutcome::Answered));
    }

    fn settle(&mut self, outcome: ClaimOutcome) {
        let claim = self.spec.claim.with_outcome(outcome);
        let condition = match self.confirmed_revision {
            Some(revision) => ClaimCondition::At(revision),
            None => self.condition,
        };
        self.effects
            .push(CallEffect::Settle(SettlementSpec { claim, condition }));
    }

    fn use_recorded_answer(&mut self) {
        if let Some(ClaimOutcome::Answered(answer)) = self.found_outcome() {
            self.answer = Some(answer.clone());
        }
    }

    /// Sets the refusal of a call that was not sent and has no other claim.
    fn set_unsent_refusal(&mut self, kind: RefusalKind, detail: &str) {
        self.refusal = Some(Refusal::not_run(kind, detail).retry_after(STORE_RETRY_AFTER_MS));
    }

    fn refuse_outcome_unknown(&mut self) {
        let detail = "the call was claimed, and no answer is known; it will not be run again";
        let refusal = Refusal::may_have_run(RefusalKind::OutcomeUnknown, detail);
        self.effects.push(CallEffect::Refuse(refusal));
    }

    fn apply_found(&mut self, found: StoredClaim) {
        // Only a released claim may be replaced; any other is permanent.
        if found.claim.outcome == ClaimOutcome::Released {
            self.condition = ClaimCondition::At(found.revision);
        }
        if found.claim.nonce == self.spec.claim.nonce {
            self.confirmed_revision = Some(found.revision);
        }
        self.found = Some(found);
    }

    /// Stores the data of an input and returns its event.
    fn apply_input(&mut self, input: CallInput) -> CallEvent {
        match input {
            CallInput::ClaimWritten(revision) => {
                self.confirmed_revision = Some(revision);
                CallEvent::ClaimWritten
            }
            CallInput::ClaimFound(found) => {
                self.apply_found(found);
                CallEvent::ClaimFound
            }
            CallInput::ClaimAbsent => {
                self.condition = ClaimCondition::Absent;
                CallEvent::ClaimAbsent
            }
            CallInput::ClaimLost(written) => {
                self.condition = ClaimCondition::Absent;
                self.confirmed_revision = written;
                CallEvent::ClaimLost
            }
            CallInput::ClaimUnclear => CallEvent::ClaimUnclear,
            CallInput::StoreFailed => CallEvent::StoreFailed,
            CallInput::Answered(answer) => {
                self.answer = Some(answer);
                CallEvent::Answered
            }
            CallInput::Unsent { endpoint } => {
                self.may_retry_elsewhere = endpoint.is_some();
                self.tried.extend(endpoint);
                CallEvent::Unsent
            }
            CallInput::Lost => CallEvent::Lost,
            CallInput::Settled => CallEvent::Settled,
            CallInput::UnknownToPeers => CallEvent::UnknownToPeers,
            CallInput::PeersInconclusive => CallEvent::PeersInconclusive,
        }
    }
}

/// Refusal of a call whose claim could not be made or read.
///
/// Nothing was sent for this request. Unless it is the first one with its id, an
/// earlier request may have run.
fn store_unreachable(is_first_request: bool) -> Refusal {
    let detail = if is_first_request {
        "the store can't be reached to claim the call; the call was not sent"
    } else {
        "the store can't be reached to claim the call; an earlier try may have run"
    };
    Refusal {
        kind: RefusalKind::StoreUnavailable,
        detail: detail.to_owned(),
        not_run: is_first_request,
        retry_after_ms: Some(STORE_RETRY_AFTER_MS),
    }
}

/// State machine of one at-most-once call.
#[derive(Clone, Debug)]
pub struct OnceOnlyCall {
    instance: Instance<CallState>,
    context: CallContext,
}

impl OnceOnlyCall {
    /// Starts the call by writing its claim, unless the store is down or the tier's
    /// claim rate is exhausted.
    pub fn start(now: MonoTime, spec: CallSpec) -> (Self, Vec<CallEffect>) {
        let mut context = CallContext {
            spec,
            now,
            claim_started_at: now,
            condition: ClaimCondition::Absent,
            confirmed_revision: None,
            found: None,
            tried: Vec::new(),
            may_retry_elsewhere: false,
            answer: None,
            refusal: None,
            effects: Vec::new(),
        };
        let mut instance = machine().start(now, &mut context);
        machine().step(&mut instance, now, CallEvent::Started, &mut context);
        let effects = std::mem::take(&mut context.effects);
        (Self { instance, context }, effects)
    }

    /// Current state.
    pub fn state(&self) -> CallState {
        self.instance.state()
    }

    /// Whether the call has ended with an answer or a refusal.
    pub fn is_over(&self) -> bool {
        machine().is_final(&self.instance)
    }

    /// Time at which [`OnceOnlyCall::expire`] must be called.
    pub fn next_deadline(&self) -> Option<MonoTime> {
        self.instance.next_deadline()
    }

    /// Applies an input and returns its effects.
    pub fn handle(&mut self, now: MonoTime, input: CallInput) -> Vec<CallEffect> {
        self.context.now = now;
        let event = self.context.apply_input(input);
        machine().step(&mut self.instance, now, event, &mut self.context);
        std::mem::take(&mut self.context.effects)
    }

    /// Handles an expired deadline.
    pub fn expire(&mut self, now: MonoTime) -> Vec<CallEffect> {
        self.context.now = now;
        machine().expire(&mut self.instance, now, &mut self.context);
        std::mem::take(&mut self.context.effects)
    }
}
