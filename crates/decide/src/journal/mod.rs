//! Journal of a generation: a copy of its state at another node while it runs.
//!
//! The owner of a generation sends every token to a *journal peer* before the
//! caller receives it. [`JournalHolder`] implements the peer's side and
//! [`JournalOwner`] the owner's. A take-over increments the owner epoch at the
//! holder, which then refuses records of the previous owner. The previous owner
//! therefore can't release a token that the new owner doesn't have.

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

/// Distinguishes generations that were accepted under the same request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JournalOrigin(u64);

impl JournalOrigin {
    /// Wraps a random number.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Raw value.
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

/// Identifies a journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JournalKey {
    /// Id of the request.
    pub request_id: RequestId,
    /// Generation under that request id.
    pub origin: JournalOrigin,
}

impl JournalKey {
    /// Id of the generation's streams at the engines.
    ///
    /// It differs from the request id because two generations with the same request
    /// id must not cancel each other's streams.
    pub fn stream_id(self) -> RequestId {
        let hash = xxh3_64_with_seed(&self.request_id.to_bytes(), self.origin.0);
        RequestId::from_parts(self.request_id.created_at(), u128::from(hash))
    }
}

/// Why an owner no longer needs a journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The answer is complete.
    Finished,
    /// Another journal peer holds the journal.
    Replaced,
    /// The caller disconnected or was redirected to another node.
    Left,
}

/// Message from an owner to a holder.
#[derive(Clone, Debug)]
pub struct JournalRecord {
    /// Journal.
    pub key: JournalKey,
    /// Sender.
    pub owner: NodeId,
    /// Epoch of the sender.
    pub epoch: OwnerEpoch,
    /// Operation on the journal.
    pub body: JournalBody,
}

/// Operation on a journal.
#[derive(Clone, Debug)]
pub enum JournalBody {
    /// Open the journal.
    Open(GenerationRequest),
    /// Append tokens.
    Append(JournalAppend),
    /// Close the journal; it is retained for a short time.
    Close(CloseReason),
}

/// Tokens for a journal, with the other state that a new owner needs.
#[derive(Clone, Debug)]
pub struct JournalAppend {
    /// Index of the first token.
    pub start: TokenIndex,
    /// Tokens.
    pub tokens: Vec<Token>,
    /// Number of attempts started.
    pub attempts_started: AttemptNumber,
    /// Endpoint version of the answer.
    pub endpoint_version: Option<EndpointVersion>,
}

/// Status of a record at the holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JournalStatus {
    /// All tokens before the end are held.
    Held,
    /// Another node owns the generation.
    StaleEpoch,
    /// The holder's memory limit is reached, or it is draining.
    Full,
    /// The holder doesn't have the journal, or lacks preceding tokens.
    Unknown,
}

/// Acknowledgement by a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JournalAck {
    /// Journal.
    pub key: JournalKey,
    /// Epoch of the acknowledged record.
    pub epoch: OwnerEpoch,
    /// Exclusive end index of the held tokens.
    pub end: TokenIndex,
    /// Status of the record.
    pub status: JournalStatus,
}

/// Request of a node to become the owner of a generation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TakeOverRequest {
    /// Journal.
    pub key: JournalKey,
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Exclusive end index of the tokens that the caller has received.
    pub received: TokenIndex,
}

/// State of a generation that is handed to a new owner.
#[derive(Clone, Debug)]
pub struct TakenOverGeneration {
    /// Request of the caller.
    pub request: GenerationRequest,
    /// Epoch of the new owner.
    pub epoch: OwnerEpoch,
    /// Tokens, from index 0.
    pub tokens: Vec<Token>,
    /// Number of attempts started.
    pub attempts_started: AttemptNumber,
    /// Endpoint version of the answer.
    pub endpoint_version: Option<EndpointVersion>,
    /// Whether the answer is complete.
    pub finished: bool,
}

/// Error for a text that is not the id of a `token` event.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{text}` is not an event id: expected INDEX.OWNER/JOURNAL_PEER/ORIGIN/ENDPOINT_VERSION")]
pub struct ParseEventIdError {
    /// Rejected text.
    pub text: String,
}

/// Id of a `token` event, from which a caller can resume.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventId {
    /// Index of the token.
    pub index: TokenIndex,
    /// Node that released the token.
    pub owner: NodeId,
    /// Node that holds the token, if any.
    pub journal_peer: Option<NodeId>,
    /// Generation under the request id.
    pub origin: JournalOrigin,
    /// Endpoint version of the answer; a caller that resumes with its own tokens
    /// passes it back.
    pub endpoint_version: EndpointVersion,
}

/// Text form of an absent journal peer.
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
