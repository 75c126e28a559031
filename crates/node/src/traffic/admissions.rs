//! Carries out the admission queue of one traffic thread.

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

/// Answer to a request that asks for a place.
type Answer = Result<(), Refusal>;

#[derive(Default)]
struct Inner {
    queue: AdmissionQueue,
    answers: HashMap<TicketId, oneshot::Sender<Answer>>,
}

/// Admission queue of one traffic thread, with those that wait for it.
pub(crate) struct Admissions {
    shared: Arc<Shared>,
    inner: Mutex<Inner>,
    changed: Notify,
}

impl Admissions {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            inner: Mutex::default(),
            changed: Notify::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for a place at the engines.
    pub(crate) async fn admit(self: &Arc<Self>, ask: AdmissionRequest) -> Result<Place, Refusal> {
        let (tier, model) = (ask.tier, ask.model.clone());
        let (sender, answer) = oneshot::channel();
        let id = {
            let mut inner = self.lock();
            let (id, effects) = inner.queue.submit(self.shared.clock.now(), ask);
            inner.answers.insert(id, sender);
            inner.carry_out(effects);
            id
        };
        self.changed.notify_one();
        let waiting = WaitingTicket {
            admissions: Arc::clone(self),
            id,
            tier,
            model,
            answer,
        };
        waiting.settle().await
    }

    /// Traffic threads of all live nodes.
    pub(crate) fn cluster_threads(&self) -> RequestCount {
        self.lock().queue.cluster_threads()
    }

    /// Follows the snapshots and the deadlines of those that wait.
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
                () = self.changed.notified() => {}
            }
        }
    }

    fn update(&self) {
        let threads = self.shared.settings.traffic_threads;
        let capacity = CapacityView::from_snapshot(&self.shared.snapshot.load(), threads);
        let mut inner = self.lock();
        let effects = inner.queue.update(self.shared.clock.now(), capacity);
        inner.carry_out(effects);
    }

    fn expire(&self) {
        let mut inner = self.lock();
        let effects = inner.queue.expire(self.shared.clock.now());
        inner.carry_out(effects);
    }

    fn abandon(&self, id: TicketId) {
        let mut inner = self.lock();
        inner.answers.remove(&id);
        inner.queue.abandon(self.shared.clock.now(), id);
    }

    fn release(&self, tier: Tier, model: &ModelId) {
        let mut inner = self.lock();
        let effects = inner.queue.release(self.shared.clock.now(), tier, model);
        inner.carry_out(effects);
    }
}

impl Inner {
    fn carry_out(&mut self, effects: Vec<AdmissionEffect>) {
        for effect in effects {
            let (id, answer) = match effect {
                AdmissionEffect::Admit(id) => (id, Ok(())),
                AdmissionEffect::Refuse(id, refusal) => (id, Err(refusal)),
            };
            if let Some(sender) = self.answers.remove(&id) {
                // The receiver lives as long as the ticket waits.
                let _ = sender.send(answer);
            }
        }
    }
}

/// A ticket that waits; leaves the queue when its caller goes away.
struct WaitingTicket {
    admissions: Arc<Admissions>,
    id: TicketId,
    tier: Tier,
    model: ModelId,
    answer: oneshot::Receiver<Answer>,
}

impl WaitingTicket {
    async fn settle(mut self) -> Result<Place, Refusal> {
        let stopping = || Refusal::not_run(RefusalKind::Stopping, "this node is stopping");
        (&mut self.answer).await.map_err(|_| stopping())??;
        Ok(self.granted())
    }

    fn granted(&self) -> Place {
        Place {
            admissions: Arc::clone(&self.admissions),
            tier: self.tier,
            model: self.model.clone(),
        }
    }
}

impl Drop for WaitingTicket {
    fn drop(&mut self) {
        match self.answer.try_recv() {
            // The place was given out, but the caller did not wait for it.
            Ok(Ok(())) => drop(self.granted()),
            Err(oneshot::error::TryRecvError::Empty) => self.admissions.abandon(self.id),
            // Refused, or answered before.
            Ok(Err(_)) | Err(oneshot::error::TryRecvError::Closed) => {}
        }
    }
}

/// A place at the engines; free again when dropped.
pub(crate) struct Place {
    admissions: Arc<Admissions>,
    tier: Tier,
    model: ModelId,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.admissions.release(self.tier, &self.model);
    }
}
