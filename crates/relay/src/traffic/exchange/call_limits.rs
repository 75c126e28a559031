//! Limits on the calls to a crowded service, and waits for an endpoint that is not full.

use std::rc::Rc;

use parsleylatch_decide::relay::{
    CallPlan, Choice, ExchangeEffect, ExchangeInput, QueuedCall, RefusalReason, ResponseClass,
    SelectionCriteria, retry_delay,
};
use parsleylatch_types::{ByteCount, Micros, Millis, MonoTime};

use super::{ExchangeDriver, placement::PlaceRefusal};
use crate::{
    codec::ResponseMetadata,
    telemetry::{RelayCounter, RelayLatency},
    traffic::call_queue::{self, CallSlot},
};

/// Shortest `Retry-After` of a call that is refused; a new connection takes as long.
const MIN_RETRY_AFTER_MS: Millis = Millis::new(20);

impl ExchangeDriver {
    /// Whether the load of its service may delay this call. The endpoints of a service that is
    /// rolled out are chosen by their version.
    pub(super) fn is_limited_call(&self) -> bool {
        let traffic = &self.traffic;
        let spec = &self.job.spec;
        !spec.repeat.is_stream()
            && traffic.shared.settings.load().overload.calls_queue
            && !traffic
                .shared
                .snapshot
                .load()
                .versions
                .contains_key(&spec.service)
    }

    fn queued_call(&self, now: MonoTime) -> QueuedCall {
        let spec = &self.job.spec;
        let rank = self.job.workspace.as_ref().and_then(|it| it.rank);
        QueuedCall {
            rank: rank.unwrap_or(self.job.route.rank),
            is_retry: self.exchange.has_been_sent(),
            goal_ms: spec.goal_ms,
            deadline: spec.deadline,
            body_bytes: ByteCount::new(self.job.body.len() as u64),
            waits_since: self.call_waits_since.unwrap_or(now),
        }
    }

    /// Endpoint for a call; `None` if nothing is known about the load of its service. An endpoint
    /// that has rejected the call may get it again once it is presumed to have room.
    pub(super) fn plan_call(
        &self,
        criteria: &SelectionCriteria<'_>,
    ) -> Result<Option<Choice>, PlaceRefusal> {
        let traffic = &self.traffic;
        let now = traffic.now();
        let rejected = self.exchange.rejected_endpoints();
        let excluded = criteria.excluded.iter();
        let excluded: Vec<_> = excluded
            .filter(|it| !rejected.contains(it))
            .cloned()
            .collect();
        let criteria = SelectionCriteria {
            excluded: &excluded,
            ..criteria.clone()
        };
        match call_queue::plan(traffic, &criteria, &self.queued_call(now)) {
            CallPlan::Unrestricted => Ok(None),
            CallPlan::Send(key) => {
                let table = traffic.endpoint_table.borrow();
                Ok(traffic.selector().choose(now, &table, &criteria, &key))
            }
            CallPlan::Wait => Err(PlaceRefusal::EndpointsFull),
            CallPlan::Crowded { expected_wait } => Err(PlaceRefusal::Crowded(expected_wait)),
            CallPlan::Hopeless { expected_wait } => Err(PlaceRefusal::Unanswerable(expected_wait)),
        }
    }

    /// Queues a call that finds all endpoints full, or refuses it.
    pub(super) fn enter_call_queue(&mut self) -> Vec<ExchangeEffect> {
        let now = self.traffic.now();
        let (service, goal_ms) = (&self.job.spec.service, self.job.spec.goal_ms);
        let call = self.queued_call(now);
        let Some(slot) = CallSlot::enter(&self.traffic, service, call) else {
            let wait = call_queue::return_wait(&self.traffic, service, goal_ms);
            return self.refuse_crowded(wait);
        };
        self.call_slot = Some(slot);
        self.call_waits_since.get_or_insert(now);
        self.queued_at = now;
        self.traffic
            .shared
            .metrics
            .increment(RelayCounter::CallsQueued);
        log::info!(
            id:% = self.job.metadata.id,
            route:% = self.job.route.name,
            is_retry = call.is_retry,
            wait_ms = call.waits_until().since(now).millis().get(),
            remaining_ms = call.deadline.since(now).millis().get();
            "endpoints are full"
        );
        self.exchange.handle(now, ExchangeInput::Queued)
    }

    /// Handles the plan for a call that waited.
    pub(super) fn handle_call_plan(&mut self, plan: CallPlan) -> Vec<ExchangeEffect> {
        self.call_slot = None;
        let traffic = Rc::clone(&self.traffic);
        let now = traffic.now();
        let waited = now.since(self.queued_at);
        traffic
            .shared
            .metrics
            .observe(RelayLatency::CallQueueWait, waited);
        let input = match plan {
            CallPlan::Send(key) => match self.choose_assigned(&key) {
                Some(choice) => {
                    self.log_placed(&choice);
                    ExchangeInput::Placed(Box::new(choice))
                }
                None => ExchangeInput::AssignmentFailed,
            },
            CallPlan::Crowded { expected_wait } => return self.refuse_crowded(expected_wait),
            CallPlan::Hopeless { expected_wait } => {
                return self.refuse_unanswerable(expected_wait);
            }
            CallPlan::Unrestricted | CallPlan::Wait => ExchangeInput::AssignmentFailed,
        };
        self.exchange.handle(now, input)
    }

    /// Refuses a call whose service is crowded.
    pub(super) fn refuse_crowded(&mut self, expected_wait: Micros) -> Vec<ExchangeEffect> {
        self.refuse_call(
            RefusalReason::Overloaded,
            RelayCounter::CallsShed,
            expected_wait,
        )
    }

    /// Refuses a call that no endpoint can answer before its deadline.
    pub(super) fn refuse_unanswerable(&mut self, expected_wait: Micros) -> Vec<ExchangeEffect> {
        let counter = RelayCounter::CallsHopeless;
        self.refuse_call(RefusalReason::Hopeless, counter, expected_wait)
    }

    fn refuse_call(
        &mut self,
        reason: RefusalReason,
        counter: RelayCounter,
        expected_wait: Micros,
    ) -> Vec<ExchangeEffect> {
        self.traffic.shared.metrics.increment(counter);
        let input = ExchangeInput::Hopeless {
            reason,
            retry_after_ms: Some(self.call_retry_delay(expected_wait)),
        };
        self.exchange.handle(self.traffic.now(), input)
    }

    fn call_retry_delay(&self, expected_wait: Micros) -> Millis {
        let remaining = self.job.spec.deadline.since(self.traffic.now());
        retry_delay(expected_wait, remaining, MIN_RETRY_AFTER_MS, rand::random())
    }

    /// `Retry-After` of a call that endpoints rejected, spread over the time that others take.
    pub(super) fn spread_retry_after(
        &self,
        reason: RefusalReason,
        retry_after_ms: Option<Millis>,
    ) -> Option<Millis> {
        let is_rejected = matches!(reason, RefusalReason::Rejected | RefusalReason::NoEndpoint);
        if !is_rejected || !self.is_limited_call() {
            return retry_after_ms;
        }
        let spec = &self.job.spec;
        let wait = call_queue::return_wait(&self.traffic, &spec.service, spec.goal_ms);
        retry_after_ms.map(|_| self.call_retry_delay(wait))
    }

    /// Records what a response tells about the load of its endpoint.
    pub(super) fn record_call_response(&self, metadata: &ResponseMetadata, class: ResponseClass) {
        let Some(sent) = self.sent.as_ref().filter(|_| self.is_limited_call()) else {
            return;
        };
        let latency = match class {
            ResponseClass::Final => Some(self.traffic.now().since(sent.at)),
            ResponseClass::NotRun if !metadata.is_misdirected => None,
            // Tells neither how long calls take nor that the endpoint is full.
            ResponseClass::Failure | ResponseClass::NotRun => return,
        };
        let endpoint = &sent.choice.endpoint;
        let goal_ms = self.job.spec.goal_ms;
        call_queue::record_response(
            &self.traffic,
            endpoint,
            metadata.usable_load(),
            latency,
            goal_ms,
        );
    }

    /// Whether a rejection shows that the endpoint is full, which is no failure.
    pub(super) fn is_full(&self, metadata: &ResponseMetadata) -> bool {
        metadata.usable_load().is_some() && self.is_limited_call()
    }

    /// Whether the load of its endpoint explains why a call has no response yet.
    pub(super) fn is_call_delay_explained(&self, now: MonoTime) -> bool {
        let Some(sent) = self.sent.as_ref().filter(|_| self.is_limited_call()) else {
            return false;
        };
        let waited = now.since(sent.at);
        call_queue::explains_delay(&self.traffic, &self.job.spec.service, &sent.key, waited)
    }
}
