//! The journal of a generation: what another node keeps of it while it runs.
//!
//! The owner of a generation sends every token to a *journal peer* before the
//! caller sees it. [`JournalHolder`] is the peer's side, [`JournalOwner`] the
//! owner's. A take-over raises the owner epoch at the holder; from then on the
//! holder refuses what the earlier owner sends, so that one can't release any
//! token that the new owner doesn't know.

mod choice;
mod holder;
mod owner;
mod peer;

use std::{fmt, num::ParseIntError, str::FromStr};

use parsleylatch_chart::ChartError;
use parsleylatch_types::{
    AttemptNumber, EndpointVersion, NodeId, OwnerEpoch, RequestId, TokenIndex, WorkspaceId,
};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64_with_seed;

pub use choice::{choose_journal_peer, choose_resume_node, journal_neighbours};
pub use holder::{HolderSettings, HolderUsage, JournalHolder};
pub use owner::{JournalEffect, JournalInput, JournalOwner, JournalState, PAUSE_THRESHOLD_MS};
pub use peer::{PeerEvent, PeerLiveness, PeerState};

use crate::generation::{GenerationRequest, Token};

/// Epoch of the owner that accepted the request.
pub const FIRST_EPOCH: OwnerEpoch = OwnerEpoch::new(1);

/// Tells apart generations that were accepted under the same request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JournalOrigin(u64);

impl JournalOrigin {
    /// Wraps a random number.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Plain number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for JournalOrigin {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl FromStr for JournalOrigin {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// Names one journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JournalKey {
    /// Request that is answered.
    pub request_id: RequestId,
    /// Which generation under that request id.
    pub origin: JournalOrigin,
}

impl JournalKey {
    /// Id under which the engines know the generation's streams.
    ///
    /// Two generations under one request id must not cancel each other's streams.
    pub fn stream_id(self) -> RequestId {
        let hash = xxh3_64_with_seed(&self.request_id.to_bytes(), self.origin.0);
        RequestId::from_parts(self.request_id.created_at(), u128::from(hash))
    }
}

/// Why an owner needs a journal no longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The answer is whole.
    Finished,
    /// Another journal peer holds it now.
    Replaced,
    /// The caller left or was sent to another node.
    Left,
}

/// What an owner sends to a holder.
#[derive(Clone, Debug)]
pub struct JournalRecord {
    /// Journal.
    pub key: JournalKey,
    /// Node that sends it.
    pub owner: NodeId,
    /// Epoch of the sender.
    pub epoch: OwnerEpoch,
    /// What is to be done.
    pub body: JournalBody,
}

/// What is to be done with a journal.
#[derive(Clone, Debug)]
pub enum JournalBody {
    /// Start it.
    Open(GenerationRequest),
    /// Add tokens.
    Append(JournalAppend),
    /// Keep it for a short time only.
    Close(CloseReason),
}

/// Tokens for a journal, with what a new owner needs beside them.
#[derive(Clone, Debug)]
pub struct JournalAppend {
    /// Index of the first token.
    pub start: TokenIndex,
    /// Tokens.
    pub tokens: Vec<Token>,
    /// Attempts that were started.
    pub attempts_started: AttemptNumber,
    /// Version that answers.
    pub endpoint_version: Option<EndpointVersion>,
}

/// A holder's word on a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JournalStatus {
    /// Every token before the end is held.
    Held,
    /// Another node owns the generation.
    StaleEpoch,
    /// The holder has no room, or is leaving.
    Full,
    /// The holder doesn't have the journal, or lacks tokens before these.
    Unknown,
}

/// A holder's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JournalAck {
    /// Journal.
    pub key: JournalKey,
    /// Epoch of the record that is answered.
    pub epoch: OwnerEpoch,
    /// Index after the last held token.
    pub end: TokenIndex,
    /// The holder's word.
    pub status: JournalStatus,
}

/// Question of a node that wants to own a generation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TakeOverRequest {
    /// Journal.
    pub key: JournalKey,
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Index after the last token that the caller has.
    pub received: TokenIndex,
}

/// A generation as an earlier owner left it.
#[derive(Clone, Debug)]
pub struct TakenOverGeneration {
    /// Request that is answered.
    pub request: GenerationRequest,
    /// Epoch of the new owner.
    pub epoch: OwnerEpoch,
    /// Tokens, from index 0.
    pub tokens: Vec<Token>,
    /// Attempts that were started.
    pub attempts_started: AttemptNumber,
    /// Version that answers.
    pub endpoint_version: Option<EndpointVersion>,
    /// Whether the answer is whole.
    pub finished: bool,
}

/// A text that is not the id of a `token` event.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{text}` is not an event id: expected INDEX.OWNER/JOURNAL_PEER/ORIGIN/ENDPOINT_VERSION")]
pub struct ParseEventIdError {
    /// Text that was given.
    pub text: String,
}

/// Id of a `token` event: where a caller that has it can go on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventId {
    /// Index of the token.
    pub index: TokenIndex,
    /// Node that released it.
    pub owner: NodeId,
    /// Node that holds it; `None` if none does.
    pub journal_peer: Option<NodeId>,
    /// Which generation under the request id.
    pub origin: JournalOrigin,
    /// Version that answers; a caller that brings its tokens names it.
    pub endpoint_version: EndpointVersion,
}

/// Stands for the journal peer where there is none.
const NO_PEER: &str = "-";

impl fmt::Display for EventId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let peer = self.journal_peer.as_ref().map_or(NO_PEER, NodeId::as_str);
        write!(
            formatter,
            "{}.{}/{peer}/{}/{}",
            self.index, self.owner, self.origin, self.endpoint_version
        )
    }
}

impl FromStr for EventId {
    type Err = ParseEventIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse_event_id(text).ok_or_else(|| ParseEventIdError {
            text: text.to_owned(),
        })
    }
}

fn parse_event_id(text: &str) -> Option<EventId> {
    let (index, rest) = text.split_once('.')?;
    let mut fields = rest.split('/');
    let owner = fields.next()?.parse().ok()?;
    let journal_peer = match fields.next()? {
        NO_PEER => None,
        peer => Some(peer.parse().ok()?),
    };
    let origin = fields.next()?.parse().ok()?;
    let endpoint_version = fields.next()?.parse().ok()?;
    fields.next().is_none().then_some(EventId {
        index: index.parse().ok()?,
        owner,
        journal_peer,
        origin,
        endpoint_version,
    })
}

pub(crate) fn verify_charts() -> Result<(), ChartError> {
    holder::verify_chart()?;
    owner::verify_chart()?;
    peer::verify_chart()
}
