//! Executes the decisions of one traffic thread's admission queue.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use parsleylatch_decide::{
    limits::{AdmissionEffect, AdmissionQueue, AdmissionRequest, CapacityView, TicketId},
    refusal::{Refusal, RefusalKind},
};
use parsleylatch_settings::Tier;
use parsleylatch_types::{ModelId, RequestCount};
use tokio::sync::{Notify, oneshot};

use crate::shared::Shared;

/// Outcome of a request for a slot.
type AdmissionResult = Result<(), Refusal>;

#[derive(Default)]
struct QueueState {
    queue: AdmissionQueue,
    waiters: HashMap<TicketId, oneshot::Sender<AdmissionResult>>,
}

/// Admission queue of one traffic thread, with the requests that wait in it.
pub(crate) struct Admissions {
    shared: Arc<Shared>,
    state: Mutex<QueueState>,
    queue_changed: Notify,
}

impl Admissions {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            state: Mutex::default(),
            queue_changed: Notify::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, QueueState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for a slot at the engines.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        request: AdmissionRequest,
    ) -> Result<AdmissionSlot, Refusal> {
        let (tier, model) = (request.tier, request.model.clone());
        let (sender, result) = oneshot::channel();
        let id = {
            let mut state = self.lock();
            let (id, effects) = state.queue.submit(self.shared.clock.now(), request);
            state.waiters.insert(id, sender);
            state.apply_effects(effects);
            id
        };
        self.queue_changed.notify_one();
        let ticket = WaitingTicket {
            admissions: Arc::clone(self),
            id,
            tier,
            model,
            result,
        };
        ticket.wait().await
    }

    /// Number of traffic threads on all live nodes.
    pub(crate) fn cluster_threads(&self) -> RequestCount {
        self.lock().queue.cluster_threads()
    }

    /// Updates the queue on new snapshots and at its deadlines.
    pub(crate) async fn run(self: Arc<Self>) {
        let mut snapshots = self.shared.snapshot_changed.subscribe();
        self.update();
        loop {
            let deadline = self.lock().queue.next_deadline();
            tokio::select! {
                changed = snapshots.changed() => match changed {
                    Ok(()) => self.update(),
                    Err(_) => return,
                },
                () = self.shared.clock.sleep_until(deadline) => self.expire(),
                () = self.queue_changed.notified() => {}
            }
        }
    }

    fn update(&self) {
        let threads = self.shared.settings.traffic_threads;
        let capacity = CapacityView::from_snapshot(&self.shared.snapshot.load(), threads);
        let mut state = self.lock();
        let effects = state.queue.update(self.shared.clock.now(), capacity);
        state.apply_effects(effects);
    }

    fn expire(&self) {
        let mut state = self.lock();
        let effects = state.queue.expire(self.shared.clock.now());
        state.apply_effects(effects);
    }

    fn abandon(&self, id: TicketId) {
        let mut state = self.lock();
        state.waiters.remove(&id);
        state.queue.abandon(self.shared.clock.now(), id);
    }

    fn release(&self, tier: Tier, model: &ModelId) {
        let mut state = self.lock();
        let effects = state.queue.release(self.shared.clock.now(), tier, model);
        state.apply_effects(effects);
    }
}

impl QueueState {
    fn apply_effects(&mut self, effects: Vec<AdmissionEffect>) {
        for effect in effects {
            let (id, result) = match effect {
                AdmissionEffect::Admit(id) => (id, Ok(())),
                AdmissionEffect::Refuse(id, refusal) => (id, Err(refusal)),
            };
            if let Some(sender) = self.waiters.remove(&id) {
                // A dropped receiver means that the request is no longer waiting.
                let _ = sender.send(result);
            }
        }
    }
}

/// A queued request; leaves the queue when dropped.
struct WaitingTicket {
    admissions: Arc<Admissions>,
    id: TicketId,
    tier: Tier,
    model: ModelId,
    result: oneshot::Receiver<AdmissionResult>,
}

impl WaitingTicket {
    async fn wait(mut self) -> Result<AdmissionSlot, Refusal> {
        let stopping = || Refusal::not_run(RefusalKind::Stopping, "this node is stopping");
        (&mut self.result).await.map_err(|_| stopping())??;
        Ok(self.slot())
    }

    fn slot(&self) -> AdmissionSlot {
        AdmissionSlot {
            admissions: Arc::clone(&self.admissions),
            tier: self.tier,
            model: self.model.clone(),
        }
    }
}

impl Drop for WaitingTicket {
    fn drop(&mut self) {
        match self.result.try_recv() {
            // The slot was granted, but the request no longer waits for it.
            Ok(Ok(())) => drop(self.slot()),
            Err(oneshot::error::TryRecvError::Empty) => self.admissions.abandon(self.id),
            // The request was refused, or its result was received.
            Ok(Err(_)) | Err(oneshot::error::TryRecvError::Closed) => {}
        }
    }
}

/// A slot at the engines; released when dropped.
pub(crate) struct AdmissionSlot {
    admissions: Arc<Admissions>,
    tier: Tier,
    model: ModelId,
}

impl Drop for AdmissionSlot {
    fn drop(&mut self) {
        self.admissions.release(self.tier, &self.model);
    }
}
