//! Admission queue of one traffic thread.

use std::collections::{BTreeMap, VecDeque};

use parsleylatch_settings::Tier;
use parsleylatch_types::{ModelId, MonoTime, RequestCount, Weight, WorkspaceId};

use super::{
    capacity::{CapacityView, LocalUsage, has_free_slot},
    ticket::{Ticket, TicketEvent, TicketId, TicketState},
};
use crate::refusal::Refusal;

/// Longest queue of one workspace at one traffic thread, in requests.
const WORKSPACE_QUEUE_LIMIT: usize = 64;
/// Virtual service time of one request at weight 1.
const VIRTUAL_COST: u64 = 1 << 20;

/// A request for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Workspace of the request.
    pub workspace: WorkspaceId,
    /// Tier of the workspace.
    pub tier: Tier,
    /// Fair queueing weight of the workspace.
    pub weight: Weight,
    /// Requested model.
    pub model: ModelId,
}

/// Decision on a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmissionEffect {
    /// The request has a slot. Call [`AdmissionQueue::release`] when it ends.
    Admit(TicketId),
    /// The request is refused; no part of it was sent.
    Refuse(TicketId, Refusal),
}

struct QueuedRequest {
    id: TicketId,
    model: ModelId,
    ticket: Ticket,
}

struct WorkspaceQueue {
    tier: Tier,
    weight: Weight,
    /// Virtual start time of the workspace's next request.
    virtual_start: u64,
    waiting: VecDeque<QueuedRequest>,
}

/// Admission queue of one traffic thread.
#[derive(Default)]
pub struct AdmissionQueue {
    capacity: CapacityView,
    local: BTreeMap<ModelId, LocalUsage>,
    workspaces: BTreeMap<WorkspaceId, WorkspaceQueue>,
    virtual_time: u64,
    next_id: u64,
    effects: Vec<AdmissionEffect>,
}

impl AdmissionQueue {
    /// Creates a queue that admits nothing until [`AdmissionQueue::update`] sets a capacity.
    pub fn new() -> Self {
        Self::default()
    }

    /// Traffic threads on all live nodes, which share the slots.
    pub fn cluster_threads(&self) -> RequestCount {
        self.capacity.cluster_threads
    }

    /// Number of queued requests.
    pub fn waiting(&self) -> usize {
        self.workspaces
            .values()
            .map(|queue| queue.waiting.len())
            .sum()
    }

    /// Time at which [`AdmissionQueue::expire`] has to be called.
    pub fn next_deadline(&self) -> Option<MonoTime> {
        let waiting = self.workspaces.values().flat_map(|queue| &queue.waiting);
        waiting
            .filter_map(|waiting| waiting.ticket.next_deadline())
            .min()
    }

    /// Submits a request. The effects may concern any queued request.
    pub fn submit(
        &mut self,
        now: MonoTime,
        request: AdmissionRequest,
    ) -> (TicketId, Vec<AdmissionEffect>) {
        self.next_id += 1;
        let id = TicketId(self.next_id);
        let mut ticket = Ticket::new(now, request.tier, request.workspace.clone());
        let virtual_time = self.virtual_time;
        let queue = self
            .workspaces
            .entry(request.workspace)
            .or_insert_with(|| WorkspaceQueue {
                tier: request.tier,
                weight: request.weight,
                virtual_start: virtual_time,
                waiting: VecDeque::new(),
            });
        (queue.tier, queue.weight) = (request.tier, request.weight);
        if queue.waiting.is_empty() {
            // An idle workspace does not accumulate credit.
            queue.virtual_start = queue.virtual_start.max(virtual_time);
        }
        ticket.context.queue_full = queue.waiting.len() >= WORKSPACE_QUEUE_LIMIT;
        queue.waiting.push_back(QueuedRequest {
            id,
            model: request.model,
            ticket,
        });
        self.admit_eligible(now);
        self.enqueue_if_waiting(now, id);
        (id, std::mem::take(&mut self.effects))
    }

    /// Applies a new capacity.
    pub fn update(&mut self, now: MonoTime, capacity: CapacityView) -> Vec<AdmissionEffect> {
        self.capacity = capacity;
        if !self.capacity.accepting {
            self.step_all(now, TicketEvent::NodeStopping);
        }
        self.admit_eligible(now);
        std::mem::take(&mut self.effects)
    }

    /// Releases the slot of an admitted request.
    pub fn release(&mut self, now: MonoTime, tier: Tier, model: &ModelId) -> Vec<AdmissionEffect> {
        if let Some(local) = self.local.get_mut(model) {
            local.release(tier);
        }
        self.admit_eligible(now);
        std::mem::take(&mut self.effects)
    }

    /// Removes a request whose caller disconnected.
    pub fn abandon(&mut self, now: MonoTime, id: TicketId) {
        for queue in self.workspaces.values_mut() {
            queue
                .waiting
                .iter_mut()
                .filter(|waiting| waiting.id == id)
                .for_each(|waiting| {
                    waiting.ticket.step(now, TicketEvent::CallerGone);
                });
        }
        self.remove_resolved();
    }

    /// Refuses the requests whose queue timeout has passed.
    pub fn expire(&mut self, now: MonoTime) -> Vec<AdmissionEffect> {
        let waiting = self
            .workspaces
            .values_mut()
            .flat_map(|queue| &mut queue.waiting);
        waiting.for_each(|waiting| waiting.ticket.expire(now));
        self.remove_resolved();
        std::mem::take(&mut self.effects)
    }

    /// Admits queued requests while slots are free: paying workspaces first, and
    /// within a tier the workspace with the smallest virtual start time.
    fn admit_eligible(&mut self, now: MonoTime) {
        self.local
            .values_mut()
            .for_each(|local| local.drop_reported(now));
        while let Some(workspace) = self.next_workspace() {
            self.admit_head(now, &workspace);
        }
        self.remove_idle();
    }

    fn next_workspace(&self) -> Option<WorkspaceId> {
        let eligible = self.workspaces.iter().filter(|(_, queue)| {
            let first = queue.waiting.front();
            first.is_some_and(|waiting| self.has_free_slot(&waiting.model, queue.tier))
        });
        let first =
            eligible.min_by_key(|(_, queue)| (std::cmp::Reverse(queue.tier), queue.virtual_start));
        first.map(|(workspace, _)| workspace.clone())
    }

    fn has_free_slot(&self, model: &ModelId, tier: Tier) -> bool {
        let capacity = self.capacity.models.get(model).copied();
        let unused = LocalUsage::default();
        let local = self.local.get(model).unwrap_or(&unused);
        // Requests for a model without engines wait, as engines may be about to start.
        capacity.is_some_and(|capacity| {
            has_free_slot(capacity, self.capacity.cluster_threads, local, tier)
        })
    }

    fn admit_head(&mut self, now: MonoTime, workspace: &WorkspaceId) {
        let Some(queue) = self.workspaces.get_mut(workspace) else {
            return;
        };
        let Some(mut first) = queue.waiting.pop_front() else {
            return;
        };
        self.virtual_time = self.virtual_time.max(queue.virtual_start);
        queue.virtual_start += VIRTUAL_COST / u64::from(queue.weight.get().max(1));
        first.ticket.step(now, TicketEvent::SlotAvailable);
        if first.ticket.context.admitted {
            self.local
                .entry(first.model)
                .or_default()
                .admit(now, queue.tier);
            self.effects.push(AdmissionEffect::Admit(first.id));
        }
    }

    /// Queues a new request that was not admitted at once.
    fn enqueue_if_waiting(&mut self, now: MonoTime, id: TicketId) {
        let waiting = self
            .workspaces
            .values_mut()
            .flat_map(|queue| &mut queue.waiting);
        if let Some(new) = waiting.into_iter().find(|waiting| waiting.id == id) {
            new.ticket.step(now, TicketEvent::NoSlot);
            self.remove_resolved();
        }
    }

    fn step_all(&mut self, now: MonoTime, event: TicketEvent) {
        let waiting = self
            .workspaces
            .values_mut()
            .flat_map(|queue| &mut queue.waiting);
        waiting.for_each(|waiting| waiting.ticket.step(now, event));
        self.remove_resolved();
    }

    /// Removes the requests that are no longer queued, and emits their refusals.
    fn remove_resolved(&mut self) {
        for queue in self.workspaces.values_mut() {
            queue.waiting.retain_mut(|waiting| {
                if let Some(refusal) = waiting.ticket.context.refusal.take() {
                    self.effects
                        .push(AdmissionEffect::Refuse(waiting.id, refusal));
                }
                waiting.ticket.state() == TicketState::Queued
            });
        }
        self.remove_idle();
    }

    /// Removes empty queues whose virtual start time is not ahead of the virtual time.
    fn remove_idle(&mut self) {
        let virtual_time = self.virtual_time;
        self.workspaces
            .retain(|_, queue| !queue.waiting.is_empty() || queue.virtual_start > virtual_time);
    }
}
