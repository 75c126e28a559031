//! Generations that run on this node, by request id.

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

/// Messages that may wait for one generation's task.
const MESSAGE_BUFFER: usize = 128;

/// What other threads tell a generation's task.
#[derive(Debug)]
pub(crate) enum TaskMessage {
    /// What became of its journal.
    Journal(JournalInput),
    /// Another connection or node goes on; the task has to end.
    TakeOver(oneshot::Sender<TakenOverGeneration>),
}

/// A generation that runs.
#[derive(Clone)]
pub(crate) struct RunningGeneration {
    pub(crate) key: JournalKey,
    pub(crate) workspace: WorkspaceId,
    /// What the caller asked for; a repeat has to ask for the same.
    pub(crate) request: Arc<GenerationRequest>,
    pub(crate) messages: mpsc::Sender<TaskMessage>,
}

impl RunningGeneration {
    /// Makes the task end and returns what it has; `None` if it has ended.
    pub(crate) async fn take_over(&self) -> Option<TakenOverGeneration> {
        let (sender, receiver) = oneshot::channel();
        self.messages
            .send(TaskMessage::TakeOver(sender))
            .await
            .ok()?;
        receiver.await.ok()
    }

    /// Whether a request asks for the same answer.
    pub(crate) fn has_same_parameters(&self, other: &GenerationRequest) -> bool {
        let own = &self.request;
        own.model == other.model
            && own.prompt == other.prompt
            && own.max_tokens == other.max_tokens
            && own.seed == other.seed
            && own.adapter == other.adapter
    }
}

/// Every generation that runs on this node.
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

    /// The latest generation of a workspace under a request id.
    pub(crate) fn find(
        &self,
        request_id: RequestId,
        workspace: &WorkspaceId,
    ) -> Option<RunningGeneration> {
        let generations = self.lock();
        let listed = generations.get(&request_id)?;
        let found = listed.iter().rev().find(|it| it.workspace == *workspace);
        found.cloned()
    }

    /// The generation that a journal's key names.
    pub(crate) fn find_by_key(
        &self,
        key: JournalKey,
        workspace: &WorkspaceId,
    ) -> Option<RunningGeneration> {
        let generations = self.lock();
        let mut listed = generations.get(&key.request_id)?.iter().rev();
        listed
            .find(|it| it.key == key && it.workspace == *workspace)
            .cloned()
    }
}

/// Lists a generation for as long as it runs.
pub(crate) struct RunningGuard {
    shared: Arc<Shared>,
    key: JournalKey,
    messages: mpsc::Sender<TaskMessage>,
}

impl RunningGuard {
    /// Lists a generation; returns the way by which messages reach it.
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
        let listed = Self {
            shared: Arc::clone(shared),
            key,
            messages,
        };
        (listed, inbox)
    }

    /// Way by which messages reach the generation.
    pub(crate) fn messages(&self) -> mpsc::Sender<TaskMessage> {
        self.messages.clone()
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        let mut generations = self.shared.running.lock();
        if let Some(listed) = generations.get_mut(&self.key.request_id) {
            listed.retain(|it| !it.messages.same_channel(&self.messages));
            if listed.is_empty() {
                generations.remove(&self.key.request_id);
            }
        }
    }
}
