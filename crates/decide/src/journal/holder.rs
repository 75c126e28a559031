//! Journals that a node holds for other nodes, within a memory limit.
//!
//! Closed journals are evicted first, oldest first. If that does not free enough
//! memory, the holder refuses the record and the owner chooses another peer.

use std::collections::HashMap;

use parsleylatch_chart::{Bindings, ChartError, Instance, Machine, chart_names};
use parsleylatch_types::{
    AttemptNumber, ByteCount, EndpointVersion, Millis, MonoTime, NodeId, OwnerEpoch, TokenIndex,
};

use super::{
    CloseReason, JournalAck, JournalAppend, JournalBody, JournalKey, JournalRecord, JournalStatus,
    TakeOverRequest, TakenOverGeneration,
};
use crate::{
    charts::{self, LazyMachine},
    generation::{GenerationRequest, Token},
};

/// Interval at which expired journals are removed.
const SWEEP_INTERVAL_MS: Millis = Millis::new(1_000);
/// Memory accounted for a journal in addition to its texts.
const ENTRY_OVERHEAD_BYTES: u64 = 1_024;
/// Memory accounted for a token in addition to its text.
const TOKEN_OVERHEAD_BYTES: u64 = 32;

chart_names! {
    /// States of a held journal.
    pub(crate) enum EntryState {
        /// Its owner appends tokens.
        Running,
        /// Another node took it over.
        Taken,
        /// Its owner no longer needs it.
        Closed,
        /// Its retention time has passed.
        Dropped,
    }
}

chart_names! {
    /// Events of a held journal.
    pub(crate) enum EntryEvent {
        /// An owner opens or reopens it.
        Open,
        /// An owner appends tokens.
        Append,
        /// An owner no longer needs it.
        Close,
        /// Another node takes it over.
        TakeOver,
        /// The timeout of the state expired.
        TimedOut,
    }
}

/// Settings of a holder.
#[derive(Clone, Copy, Debug)]
pub struct HolderSettings {
    /// Memory limit of the held journals.
    pub limit: ByteCount,
    /// Whether records of previous owners are refused. Tests turn this off to
    /// verify that they detect the violation.
    pub check_epoch: bool,
}

/// Memory usage of a holder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HolderUsage {
    /// Number of journals.
    pub journals: usize,
    /// Memory in use.
    pub bytes: ByteCount,
    /// Number of journals of incomplete answers that no other node has taken over.
    pub unfinished: usize,
}

struct EntryContext {
    key: JournalKey,
    epoch: OwnerEpoch,
    owner: NodeId,
    request: GenerationRequest,
    tokens: Vec<Token>,
    attempts_started: AttemptNumber,
    endpoint_version: Option<EndpointVersion>,
    close_reason: Option<CloseReason>,
    bytes: ByteCount,
    check_epoch: bool,
    free_bytes: ByteCount,
    input_epoch: OwnerEpoch,
    input_owner: NodeId,
    input_request: Option<GenerationRequest>,
    input_append: Option<JournalAppend>,
    input_reason: Option<CloseReason>,
    status: Option<JournalStatus>,
}

static MACHINE: LazyMachine<EntryState, EntryEvent, EntryContext> = LazyMachine::new(|| {
    let bindings = Bindings::<EntryContext>::new()
        .guard("is_stale", |it| it.check_epoch && it.is_stale())
        .guard("is_newer", |it| it.input_epoch > it.epoch)
        .guard("leaves_gap", EntryContext::leaves_gap)
        .guard("exceeds_limit", |it| it.appended_bytes() > it.free_bytes)
        .action("reset", EntryContext::reset)
        .action("store", EntryContext::store)
        .action("record_close", |it| it.close_reason = it.input_reason)
        .action("raise_epoch", |it| {
            it.epoch = it.epoch.next();
            it.owner = it.input_owner.clone();
        })
        .action("ack_held", |it| it.status = Some(JournalStatus::Held))
        .action("refuse_stale", |it| {
            it.status = Some(JournalStatus::StaleEpoch);
        })
        .action("refuse_full", |it| it.status = Some(JournalStatus::Full))
        .action("refuse_unknown", |it| {
            it.status = Some(JournalStatus::Unknown);
        });
    charts::compile(charts::JOURNAL_ENTRY, &bindings)
});

fn machine() -> &'static Machine<EntryState, EntryEvent, EntryContext> {
    charts::verified(&MACHINE)
}

pub(crate) fn verify_chart() -> Result<(), ChartError> {
    MACHINE.as_ref().map(|_| ()).map_err(Clone::clone)
}

fn request_bytes(request: &GenerationRequest) -> ByteCount {
    ByteCount::new(ENTRY_OVERHEAD_BYTES + request.prompt.len() as u64)
}

fn token_bytes(tokens: &[Token]) -> ByteCount {
    let texts: usize = tokens.iter().map(|token| token.text.len()).sum();
    ByteCount::new(texts as u64 + TOKEN_OVERHEAD_BYTES * tokens.len() as u64)
}

impl EntryContext {
    fn new(key: JournalKey, epoch: OwnerEpoch, owner: NodeId, request: GenerationRequest) -> Self {
        Self {
            key,
            epoch,
            input_owner: owner.clone(),
            owner,
            bytes: request_bytes(&request),
            request,
            tokens: Vec::new(),
            attempts_started: AttemptNumber::ZERO,
            endpoint_version: None,
            close_reason: None,
            check_epoch: true,
            free_bytes: ByteCount::ZERO,
            input_epoch: epoch,
            input_request: None,
            input_append: None,
            input_reason: None,
            status: None,
        }
    }

    /// Of two owners with the same epoch, the first one is the valid owner.
    fn is_stale(&self) -> bool {
        let is_other = self.input_owner != self.owner;
        self.input_epoch < self.epoch || (self.input_epoch == self.epoch && is_other)
    }

    fn end(&self) -> TokenIndex {
        TokenIndex::after(self.tokens.len())
    }

    fn leaves_gap(&self) -> bool {
        self.input_append
            .as_ref()
            .is_some_and(|append| append.start > self.end())
    }

    /// Appended tokens that are not held yet.
    fn new_tokens(&self) -> &[Token] {
        let Some(append) = &self.input_append else {
            return &[];
        };
        let already_held = self.end().saturating_sub(append.start).as_usize();
        append.tokens.get(already_held..).unwrap_or_default()
    }

    fn appended_bytes(&self) -> ByteCount {
        token_bytes(self.new_tokens())
    }

    /// Clears the journal for a new owner, which sends all tokens again.
    fn reset(&mut self) {
        self.epoch = self.input_epoch;
        self.owner = self.input_owner.clone();
        if let Some(request) = self.input_request.take() {
            self.request = request;
        }
        self.tokens.clear();
        self.close_reason = None;
        self.bytes = request_bytes(&self.request);
    }

    fn store(&mut self) {
        let new_tokens = self.new_tokens().to_vec();
        self.bytes = self.bytes.saturating_add(token_bytes(&new_tokens));
        self.tokens.extend(new_tokens);
        if let Some(append) = self.input_append.take() {
            self.attempts_started = self.attempts_started.max(append.attempts_started);
            self.endpoint_version = append.endpoint_version.or(self.endpoint_version.take());
        }
    }

    fn ack(&mut self) -> Option<JournalAck> {
        self.status.take().map(|status| JournalAck {
            key: self.key,
            epoch: self.input_epoch,
            end: self.end(),
            status,
        })
    }
}

struct Entry {
    instance: Instance<EntryState>,
    context: EntryContext,
}

impl Entry {
    fn step(&mut self, now: MonoTime, event: EntryEvent) {
        machine().step(&mut self.instance, now, event, &mut self.context);
    }

    /// Whether the answer is incomplete and no other node has taken over the journal.
    fn is_unfinished(&self) -> bool {
        match self.instance.state() {
            EntryState::Running => true,
            EntryState::Closed => self.context.close_reason == Some(CloseReason::Left),
            EntryState::Taken | EntryState::Dropped => false,
        }
    }
}

/// Journals that a node holds for other nodes.
pub struct JournalHolder {
    settings: HolderSettings,
    entries: HashMap<JournalKey, Entry>,
    bytes: ByteCount,
    next_sweep: Option<MonoTime>,
    draining: bool,
}

impl JournalHolder {
    /// Creates a holder without journals.
    pub fn new(settings: HolderSettings) -> Self {
        Self {
            settings,
            entries: HashMap::new(),
            bytes: ByteCount::ZERO,
            next_sweep: None,
            draining: false,
        }
    }

    /// Current usage.
    pub fn usage(&self) -> HolderUsage {
        HolderUsage {
            journals: self.entries.len(),
            bytes: self.bytes,
            unfinished: self
                .entries
                .values()
                .filter(|it| it.is_unfinished())
                .count(),
        }
    }

    /// Whether a journal is held.
    pub fn holds(&self, key: JournalKey) -> bool {
        self.entries.contains_key(&key)
    }

    /// Applies a record; a close is answered only if it is refused.
    pub fn handle(&mut self, now: MonoTime, record: JournalRecord) -> Option<JournalAck> {
        self.next_sweep.get_or_insert(now + SWEEP_INTERVAL_MS);
        let JournalRecord {
            key,
            owner,
            epoch,
            body,
        } = record;
        let refusal = |status| JournalAck {
            key,
            epoch,
            end: TokenIndex::ZERO,
            status,
        };
        if let JournalBody::Open(request) = &body {
            if self.draining || !self.evict_closed(request_bytes(request)) {
                return Some(refusal(JournalStatus::Full));
            }
            self.create(now, key, epoch, &owner, request);
        }
        if let JournalBody::Append(append) = &body {
            self.evict_closed(token_bytes(&append.tokens));
        }
        let free_bytes = self.settings.limit.saturating_sub(self.bytes);
        let Some(entry) = self.entries.get_mut(&key) else {
            let is_close = matches!(body, JournalBody::Close(_));
            return (!is_close).then(|| refusal(JournalStatus::Unknown));
        };
        let bytes_before = entry.context.bytes;
        entry.context.check_epoch = self.settings.check_epoch;
        entry.context.free_bytes = free_bytes;
        entry.context.input_epoch = epoch;
        entry.context.input_owner = owner;
        let event = entry.context.apply_input(body);
        entry.step(now, event);
        let ack = entry.context.ack();
        self.bytes = self
            .bytes
            .saturating_add(entry.context.bytes)
            .saturating_sub(bytes_before);
        ack
    }

    /// Hands a journal to a new owner; records of previous owners are then refused.
    ///
    /// Returns `None` for a journal of another workspace, and for one that lacks
    /// tokens the caller has received.
    pub fn take_over(
        &mut self,
        now: MonoTime,
        request: &TakeOverRequest,
        new_owner: &NodeId,
    ) -> Option<TakenOverGeneration> {
        let entry = self.entries.get_mut(&request.key)?;
        let is_other_workspace = entry.context.request.workspace != request.workspace;
        if is_other_workspace || entry.context.end() < request.received {
            return None;
        }
        entry.context.input_owner = new_owner.clone();
        entry.step(now, EntryEvent::TakeOver);
        let context = &entry.context;
        Some(TakenOverGeneration {
            request: context.request.clone(),
            epoch: context.epoch,
            tokens: context.tokens.clone(),
            attempts_started: context.attempts_started,
            endpoint_version: context.endpoint_version.clone(),
            finished: context.close_reason == Some(CloseReason::Finished),
        })
    }

    /// Refuses new journals from now on; returns refusals for the running ones, so
    /// that their owners move them to other peers.
    pub fn start_draining(&mut self) -> Vec<JournalAck> {
        self.draining = true;
        let running = self
            .entries
            .values()
            .filter(|entry| entry.instance.state() == EntryState::Running);
        running
            .map(|entry| JournalAck {
                key: entry.context.key,
                epoch: entry.context.epoch,
                end: entry.context.end(),
                status: JournalStatus::Full,
            })
            .collect()
    }

    /// Time at which [`JournalHolder::expire`] must be called.
    pub fn next_deadline(&self) -> Option<MonoTime> {
        self.next_sweep
    }

    /// Removes journals whose retention time has passed.
    pub fn expire(&mut self, now: MonoTime) {
        for entry in self.entries.values_mut() {
            machine().expire(&mut entry.instance, now, &mut entry.context);
        }
        self.entries
            .retain(|_, entry| entry.instance.state() != EntryState::Dropped);
        let bytes = self.entries.values().map(|entry| entry.context.bytes);
        self.bytes = bytes.fold(ByteCount::ZERO, ByteCount::saturating_add);
        self.next_sweep = (!self.entries.is_empty()).then(|| now + SWEEP_INTERVAL_MS);
    }

    fn create(
        &mut self,
        now: MonoTime,
        key: JournalKey,
        epoch: OwnerEpoch,
        owner: &NodeId,
        request: &GenerationRequest,
    ) {
        if self.entries.contains_key(&key) {
            return;
        }
        let mut context = EntryContext::new(key, epoch, owner.clone(), request.clone());
        let instance = machine().start(now, &mut context);
        self.bytes = self.bytes.saturating_add(context.bytes);
        self.entries.insert(key, Entry { instance, context });
    }

    /// Evicts closed journals until `required` bytes are free; returns whether they are.
    fn evict_closed(&mut self, required: ByteCount) -> bool {
        while self.bytes.saturating_add(required) > self.settings.limit {
            let closed = self
                .entries
                .iter()
                .filter(|(_, entry)| entry.instance.state() == EntryState::Closed);
            let oldest = closed.min_by_key(|(key, entry)| (entry.instance.next_deadline(), **key));
            let Some(key) = oldest.map(|(key, _)| *key) else {
                return false;
            };
            if let Some(entry) = self.entries.remove(&key) {
                self.bytes = self.bytes.saturating_sub(entry.context.bytes);
            }
        }
        true
    }
}

impl EntryContext {
    fn apply_input(&mut self, body: JournalBody) -> EntryEvent {
        match body {
            JournalBody::Open(request) => {
                self.input_request = Some(request);
                EntryEvent::Open
            }
            JournalBody::Append(append) => {
                self.input_append = Some(append);
                EntryEvent::Append
            }
            JournalBody::Close(reason) => {
                self.input_reason = Some(reason);
                EntryEvent::Close
            }
        }
    }
}
