//! Registry of the generations that run on this node.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use parsleylatch_decide::{
    generation::GenerationRequest,
    journal::{JournalInput, JournalKey, TakenOverGeneration},
};
use parsleylatch_types::{RequestId, WorkspaceId};
use tokio::sync::{mpsc, oneshot};

use crate::shared::Shared;

/// Capacity of the message channel of one generation's task.
const MESSAGE_BUFFER: usize = 128;

/// Message from another thread to the task of a generation.
#[derive(Debug)]
pub(crate) enum TaskMessage {
    /// Event of the generation's journal.
    Journal(JournalInput),
    /// Another connection or node continues the generation; the task replies with
    /// its state and ends.
    TakeOver(oneshot::Sender<TakenOverGeneration>),
}

/// A running generation.
#[derive(Clone)]
pub(crate) struct RunningGeneration {
    pub(crate) key: JournalKey,
    pub(crate) workspace: WorkspaceId,
    /// The caller's request; a retry must have the same parameters.
    pub(crate) request: Arc<GenerationRequest>,
    pub(crate) messages: mpsc::Sender<TaskMessage>,
}

impl RunningGeneration {
    /// Ends the task and returns its state; `None` if it has already ended.
    pub(crate) async fn take_over(&self) -> Option<TakenOverGeneration> {
        let (sender, receiver) = oneshot::channel();
        self.messages
            .send(TaskMessage::TakeOver(sender))
            .await
            .ok()?;
        receiver.await.ok()
    }

    /// Whether a request has the same generation parameters.
    pub(crate) fn has_same_parameters(&self, other: &GenerationRequest) -> bool {
        let own = &self.request;
        own.model == other.model
            && own.prompt == other.prompt
            && own.max_tokens == other.max_tokens
            && own.seed == other.seed
            && own.adapter == other.adapter
    }
}

/// The running generations of this node, by request id.
#[derive(Default)]
pub(crate) struct RunningGenerations {
    generations: Mutex<HashMap<RequestId, Vec<RunningGeneration>>>,
}

impl RunningGenerations {
    fn lock(&self) -> MutexGuard<'_, HashMap<RequestId, Vec<RunningGeneration>>> {
        self.generations
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Finds the latest generation of a request id within a workspace.
    pub(crate) fn find(
        &self,
        request_id: RequestId,
        workspace: &WorkspaceId,
    ) -> Option<RunningGeneration> {
        let generations = self.lock();
        let registered = generations.get(&request_id)?;
        let found = registered
            .iter()
            .rev()
            .find(|it| it.workspace == *workspace);
        found.cloned()
    }

    /// Finds the generation that owns a journal key.
    pub(crate) fn find_by_key(
        &self,
        key: JournalKey,
        workspace: &WorkspaceId,
    ) -> Option<RunningGeneration> {
        let generations = self.lock();
        let mut registered = generations.get(&key.request_id)?.iter().rev();
        registered
            .find(|it| it.key == key && it.workspace == *workspace)
            .cloned()
    }
}

/// Keeps a generation registered until it is dropped.
pub(crate) struct RunningGuard {
    shared: Arc<Shared>,
    key: JournalKey,
    messages: mpsc::Sender<TaskMessage>,
}

impl RunningGuard {
    /// Registers a generation and returns the receiver of its messages.
    pub(crate) fn register(
        shared: &Arc<Shared>,
        key: JournalKey,
        request: &GenerationRequest,
    ) -> (Self, mpsc::Receiver<TaskMessage>) {
        let (messages, inbox) = mpsc::channel(MESSAGE_BUFFER);
        let running = RunningGeneration {
            key,
            workspace: request.workspace.clone(),
            request: Arc::new(request.clone()),
            messages: messages.clone(),
        };
        let mut generations = shared.running.lock();
        generations.entry(key.request_id).or_default().push(running);
        drop(generations);
        let guard = Self {
            shared: Arc::clone(shared),
            key,
            messages,
        };
        (guard, inbox)
    }

    /// Returns a sender of messages to the generation.
    pub(crate) fn messages(&self) -> mpsc::Sender<TaskMessage> {
        self.messages.clone()
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        let mut generations = self.shared.running.lock();
        if let Some(registered) = generations.get_mut(&self.key.request_id) {
            registered.retain(|it| !it.messages.same_channel(&self.messages));
            if registered.is_empty() {
                generations.remove(&self.key.request_id);
            }
        }
    }
}
