//! Wait of a stream for an engine with room.

use std::rc::Rc;

use parsleylatch_decide::relay::{
    Assignment, Choice, EndpointKey, ExchangeEffect, ExchangeInput, QueueRejection, QueuedStream,
    RefusalReason, RoomClaim, STOPPING_RETRY_AFTER_MS, SelectionCriteria, StreamSize,
    is_restart_hopeless, retry_delay,
};
use parsleylatch_types::{ByteCount, Millis};

use super::{ExchangeDriver, placement::PlaceRefusal};
use crate::{
    telemetry::{RelayCounter, RelayLatency},
    traffic::placement_queue::{self, QueueSlot},
};

/// Shortest `Retry-After` of a stream that finds the queue full.
const MIN_RETRY_AFTER_MS: Millis = Millis::new(500);

impl ExchangeDriver {
    pub(super) fn stream_size(&self) -> StreamSize {
        StreamSize {
            prompt: self.job.spec.prompt,
            output: self.job.metadata.max_output_tokens,
        }
    }

    /// Room that an engine must have for the stream.
    pub(super) fn room_claim(&self) -> RoomClaim {
        RoomClaim {
            size: self.stream_size(),
            rank_class: self.job.rank_class,
            is_late: false,
        }
    }

    /// Whether the next attempt may have to wait for an engine: its prompt has to be read
    /// from the start, and its caller has received no event.
    pub(super) fn is_queueable(&self, has_copy: bool) -> bool {
        let is_stream = self.job.spec.repeat.is_stream();
        let has_events = self.last_event.is_some_and(|it| it.get() > 0);
        let has_prompt = self.job.prompt_holder.is_some() || has_copy;
        is_stream && !has_events && !has_prompt
    }

    /// Whether another engine could not read the prompt before the deadline.
    pub(super) fn is_restart_hopeless(&self) -> bool {
        let spec = &self.job.spec;
        let now = self.traffic.now();
        self.is_queueable(false) && is_restart_hopeless(now, spec.deadline, spec.prompt)
    }

    /// Whether the stream would run from its start and outlast a stopping process.
    pub(super) fn outlasts_process(&self, has_copy: bool) -> bool {
        if !self.is_stopping || !self.is_queueable(has_copy) {
            return false;
        }
        let (service, size) = (&self.job.spec.service, self.stream_size());
        placement_queue::outlasts_process(&self.traffic, service, size)
    }

    /// Queues a stream that finds the engines full, or refuses it.
    pub(super) fn enter_queue(&mut self) -> Vec<ExchangeEffect> {
        let now = self.traffic.now();
        let spec = &self.job.spec;
        let size = self.stream_size();
        let rank = self.job.workspace.as_ref().and_then(|it| it.rank);
        let stream = QueuedStream {
            rank: rank.unwrap_or(self.job.route.rank),
            goal_at: self.started_at + spec.goal_ms,
            deadline: spec.deadline,
            size,
            rank_class: self.job.rank_class,
            body_bytes: ByteCount::new(self.job.body.len() as u64),
        };
        let metrics = &self.traffic.shared.metrics;
        let input = match QueueSlot::enter(&self.traffic, &spec.service, stream) {
            Ok(slot) => {
                metrics.increment(RelayCounter::StreamsQueued);
                self.queue_slot = Some(slot);
                self.queued_at = now;
                ExchangeInput::Queued
            }
            Err(QueueRejection::Full { expected_wait }) => {
                metrics.increment(RelayCounter::StreamsRejected);
                let remaining = spec.deadline.since(now);
                let draw = rand::random();
                let delay = retry_delay(expected_wait, remaining, MIN_RETRY_AFTER_MS, draw);
                ExchangeInput::Hopeless {
                    reason: RefusalReason::Overloaded,
                    retry_after_ms: Some(delay),
                }
            }
            Err(QueueRejection::Stopping) => stopping(),
        };
        log::info!(
            id:% = self.job.metadata.id,
            route:% = self.job.route.name,
            is_queued = self.queue_slot.is_some(),
            expected_wait_ms =
                placement_queue::expected_wait(&self.traffic, &spec.service).millis().get(),
            remaining_ms = spec.deadline.since(now).millis().get();
            "engines are full"
        );
        self.exchange.handle(now, input)
    }

    pub(super) fn handle_assignment(&mut self, assignment: &Assignment) -> Vec<ExchangeEffect> {
        self.queue_slot = None;
        let now = self.traffic.now();
        let waited = now.since(self.queued_at);
        self.traffic
            .shared
            .metrics
            .observe(RelayLatency::QueueWait, waited);
        match self.admit_prompt() {
            Ok(()) => {}
            Err(PlaceRefusal::Quarantined(part)) => return self.refuse_quarantined(&part),
            Err(_) => return self.exchange.handle(now, ExchangeInput::AssignmentFailed),
        }
        let choice = match assignment {
            Assignment::Engine(key) => self.choose_assigned(key),
            Assignment::Unrestricted => None,
            Assignment::Hopeless => return self.refuse_hopeless(),
            Assignment::Stopping => return self.exchange.handle(now, stopping()),
        };
        log::info!(
            id:% = self.job.metadata.id,
            route:% = self.job.route.name,
            endpoint = choice.as_ref().map_or("-", |it| it.endpoint.key.id.as_str()),
            waited_ms = waited.millis().get(),
            age_ms = now.since(self.started_at).millis().get();
            "stream assigned to an engine"
        );
        let input = match choice {
            Some(choice) => ExchangeInput::Placed(Box::new(choice)),
            None => {
                self.bypasses_queue = true;
                ExchangeInput::AssignmentFailed
            }
        };
        self.exchange.handle(now, input)
    }

    pub(super) fn choose_assigned(&self, key: &EndpointKey) -> Option<Choice> {
        let traffic = Rc::clone(&self.traffic);
        let snapshot = traffic.snapshot();
        let spec = &self.job.spec;
        let excluded = self.exchange.excluded_endpoints();
        // A roll-out may have begun or ended while the stream waited.
        let version = self.version_limit(&snapshot, excluded);
        let criteria = SelectionCriteria {
            service: &spec.service,
            excluded,
            copy: None,
            prompt_holder: None,
            prompt: spec.prompt,
            with_backup: self.job.has_backups
                && !traffic.are_copies_unaffordable(&spec.service, self.stream_size()),
            version: version.as_ref(),
        };
        traffic.selector().choose(
            traffic.now(),
            &traffic.endpoint_table.borrow(),
            &criteria,
            key,
        )
    }

    pub(super) fn refuse_stopping(&mut self) -> Vec<ExchangeEffect> {
        self.exchange.handle(self.traffic.now(), stopping())
    }

    pub(super) fn refuse_hopeless(&mut self) -> Vec<ExchangeEffect> {
        let input = ExchangeInput::Hopeless {
            reason: RefusalReason::Hopeless,
            retry_after_ms: None,
        };
        self.exchange.handle(self.traffic.now(), input)
    }
}

/// Input for a stream that would outlast the process. Its caller can wait for an engine at
/// another node at once.
fn stopping() -> ExchangeInput {
    ExchangeInput::Hopeless {
        reason: RefusalReason::Stopping,
        retry_after_ms: Some(STOPPING_RETRY_AFTER_MS),
    }
}
