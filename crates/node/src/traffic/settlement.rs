//! Executes the effects of a claim's settlement.

use std::sync::Arc;

use futures::{
    FutureExt,
    future::{self, BoxFuture},
};
use parsleylatch_decide::call::{
    Claim, Settlement, SettlementEffect, SettlementInput, SettlementSpec,
};
use parsleylatch_runtime::Clock;
use parsleylatch_types::RequestId;

use crate::{
    claims::{ClaimReply, ClaimStore},
    shared::InFlightGuard,
};

/// Writes the final state of a claim; returns when the settlement is over.
pub(crate) async fn run(
    claims: ClaimStore,
    clock: Clock,
    id: RequestId,
    spec: SettlementSpec,
    in_flight: Arc<InFlightGuard>,
) {
    let own = spec.claim.clone();
    let (mut machine, mut effects) = Settlement::start(clock.now(), spec);
    let mut operation: BoxFuture<'static, SettlementInput> = future::pending().boxed();
    while !machine.is_over() {
        for effect in effects {
            operation = start(claims.clone(), id, own.clone(), effect);
        }
        effects = tokio::select! {
            input = &mut operation => {
                operation = future::pending().boxed();
                machine.handle(clock.now(), input)
            }
            () = clock.sleep_until(machine.next_deadline()) => machine.expire(clock.now()),
        };
    }
    drop(in_flight);
}

fn start(
    claims: ClaimStore,
    id: RequestId,
    own: Claim,
    effect: SettlementEffect,
) -> BoxFuture<'static, SettlementInput> {
    async move {
        let reply = match effect {
            SettlementEffect::Write { claim, condition } => {
                claims.write(id, &claim, condition).await
            }
            SettlementEffect::Read => claims.read(id, &own).await,
        };
        match reply {
            // The settlement's own write; whether another claim was lost doesn't matter to it.
            ClaimReply::Written(_) | ClaimReply::Lost(Some(_)) => SettlementInput::Written,
            ClaimReply::Lost(None) => SettlementInput::Lost,
            ClaimReply::Found(found) => SettlementInput::Found(found),
            ClaimReply::Absent => SettlementInput::Absent,
            ClaimReply::Unclear => SettlementInput::Unclear,
            ClaimReply::Failed => SettlementInput::Failed,
        }
    }
    .boxed()
}
