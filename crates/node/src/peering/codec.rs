//! Wire encoding of journal messages between nodes.
//!
//! A message with a malformed field is treated as if it had not been sent.

use parsleylatch_decide::{
    generation::{GenerationRequest, Token},
    journal::{
        CloseReason, JournalAck, JournalAppend, JournalBody, JournalKey, JournalOrigin,
        JournalRecord, JournalStatus, TakeOverRequest, TakenOverGeneration,
    },
};
use parsleylatch_types::{
    AttemptNumber, EndpointVersion, NodeId, OwnerEpoch, Priority, RequestId, Seed, TokenCount,
    TokenId, TokenIndex,
};
use parsleylatch_wire::journal as wire;

fn key_of(request_id: &[u8], origin: u64) -> Option<JournalKey> {
    Some(JournalKey {
        request_id: RequestId::from_bytes(request_id)?,
        origin: JournalOrigin::new(origin),
    })
}

fn encode_tokens(tokens: &[Token]) -> Vec<wire::Token> {
    let tokens = tokens.iter().map(|token| wire::Token {
        id: token.id.get(),
        text: token.text.to_string(),
    });
    tokens.collect()
}

fn decode_tokens(tokens: Vec<wire::Token>) -> Vec<Token> {
    let tokens = tokens.into_iter().map(|token| Token {
        id: TokenId::new(token.id),
        text: token.text.into(),
    });
    tokens.collect()
}

fn encode_version(version: Option<&EndpointVersion>) -> String {
    version.map(ToString::to_string).unwrap_or_default()
}

fn encode_open(
    key: JournalKey,
    epoch: OwnerEpoch,
    request: &GenerationRequest,
) -> wire::JournalOpen {
    wire::JournalOpen {
        request_id: key.request_id.to_bytes().to_vec(),
        owner_epoch: epoch.get(),
        workspace: request.workspace.to_string(),
        model: request.model.to_string(),
        adapter: request.adapter.as_ref().map(ToString::to_string),
        prompt: request.prompt.to_string(),
        max_tokens: request.max_tokens.get(),
        seed: request.seed.map(Seed::get),
        priority: request.priority.get(),
        endpoint_versions: request
            .endpoint_versions
            .iter()
            .map(ToString::to_string)
            .collect(),
        origin: key.origin.get(),
    }
}

fn decode_open(open: wire::JournalOpen) -> Option<GenerationRequest> {
    let versions = open.endpoint_versions.iter().map(|text| text.parse().ok());
    Some(GenerationRequest {
        request_id: RequestId::from_bytes(&open.request_id)?,
        workspace: open.workspace.parse().ok()?,
        model: open.model.parse().ok()?,
        adapter: match open.adapter {
            Some(text) => Some(text.parse().ok()?),
            None => None,
        },
        prompt: open.prompt.into(),
        max_tokens: TokenCount::new(open.max_tokens),
        seed: open.seed.map(Seed::new),
        priority: Priority::new(open.priority),
        endpoint_versions: versions.collect::<Option<_>>()?,
    })
}

fn encode_reason(reason: CloseReason) -> wire::JournalCloseReason {
    match reason {
        CloseReason::Left => wire::JournalCloseReason::Left,
        CloseReason::Finished => wire::JournalCloseReason::Finished,
        CloseReason::Replaced => wire::JournalCloseReason::Replaced,
    }
}

fn decode_reason(reason: wire::JournalCloseReason) -> CloseReason {
    match reason {
        wire::JournalCloseReason::Left => CloseReason::Left,
        wire::JournalCloseReason::Finished => CloseReason::Finished,
        wire::JournalCloseReason::Replaced => CloseReason::Replaced,
    }
}

/// Encodes a record. The owner is left out: the link identifies the sender.
pub(crate) fn encode_record(record: &JournalRecord) -> wire::JournalRecord {
    let JournalRecord {
        key, epoch, body, ..
    } = record;
    let request_id = key.request_id.to_bytes().to_vec();
    let origin = key.origin.get();
    let owner_epoch = epoch.get();
    let record = match body {
        JournalBody::Open(request) => {
            wire::journal_record::Record::Open(encode_open(*key, *epoch, request))
        }
        JournalBody::Append(append) => wire::journal_record::Record::Append(wire::JournalAppend {
            request_id,
            owner_epoch,
            start_index: append.start.get(),
            tokens: encode_tokens(&append.tokens),
            attempts_started: append.attempts_started.get(),
            endpoint_version: encode_version(append.endpoint_version.as_ref()),
            origin,
        }),
        JournalBody::Close(reason) => wire::journal_record::Record::Close(wire::JournalClose {
            request_id,
            owner_epoch,
            origin,
            reason: encode_reason(*reason).into(),
        }),
    };
    wire::JournalRecord {
        record: Some(record),
    }
}

/// Decodes a record sent by `owner`.
pub(crate) fn decode_record(record: wire::JournalRecord, owner: &NodeId) -> Option<JournalRecord> {
    let (key, epoch, body) = match record.record? {
        wire::journal_record::Record::Open(open) => {
            let key = key_of(&open.request_id, open.origin)?;
            (key, open.owner_epoch, JournalBody::Open(decode_open(open)?))
        }
        wire::journal_record::Record::Append(append) => {
            let key = key_of(&append.request_id, append.origin)?;
            let body = JournalBody::Append(JournalAppend {
                start: TokenIndex::new(append.start_index),
                tokens: decode_tokens(append.tokens),
                attempts_started: AttemptNumber::new(append.attempts_started),
                endpoint_version: append.endpoint_version.parse().ok(),
            });
            (key, append.owner_epoch, body)
        }
        wire::journal_record::Record::Close(close) => {
            let key = key_of(&close.request_id, close.origin)?;
            let reason = decode_reason(close.reason());
            (key, close.owner_epoch, JournalBody::Close(reason))
        }
    };
    Some(JournalRecord {
        key,
        owner: owner.clone(),
        epoch: OwnerEpoch::new(epoch),
        body,
    })
}

pub(crate) fn encode_ack(ack: &JournalAck) -> wire::JournalAck {
    let status = match ack.status {
        JournalStatus::Held => wire::JournalStatus::Held,
        JournalStatus::StaleEpoch => wire::JournalStatus::StaleEpoch,
        JournalStatus::Full => wire::JournalStatus::Full,
        JournalStatus::Unknown => wire::JournalStatus::Unknown,
    };
    wire::JournalAck {
        request_id: ack.key.request_id.to_bytes().to_vec(),
        owner_epoch: ack.epoch.get(),
        end_index: ack.end.get(),
        status: status.into(),
        origin: ack.key.origin.get(),
    }
}

pub(crate) fn decode_ack(ack: &wire::JournalAck) -> Option<JournalAck> {
    let status = match ack.status() {
        wire::JournalStatus::Held => JournalStatus::Held,
        wire::JournalStatus::StaleEpoch => JournalStatus::StaleEpoch,
        wire::JournalStatus::Full => JournalStatus::Full,
        wire::JournalStatus::Unknown => JournalStatus::Unknown,
    };
    Some(JournalAck {
        key: key_of(&ack.request_id, ack.origin)?,
        epoch: OwnerEpoch::new(ack.owner_epoch),
        end: TokenIndex::new(ack.end_index),
        status,
    })
}

pub(crate) fn encode_request(
    correlation_id: u64,
    request: &TakeOverRequest,
) -> wire::TakeOverRequest {
    wire::TakeOverRequest {
        correlation_id,
        request_id: request.key.request_id.to_bytes().to_vec(),
        workspace: request.workspace.to_string(),
        origin: request.key.origin.get(),
        received: request.received.get(),
    }
}

pub(crate) fn decode_request(request: &wire::TakeOverRequest) -> Option<TakeOverRequest> {
    Some(TakeOverRequest {
        key: key_of(&request.request_id, request.origin)?,
        workspace: request.workspace.parse().ok()?,
        received: TokenIndex::new(request.received),
    })
}

pub(crate) fn encode_reply(
    request: &wire::TakeOverRequest,
    generation: Option<&TakenOverGeneration>,
    held: bool,
) -> wire::TakeOverReply {
    let Some(generation) = generation else {
        return wire::TakeOverReply {
            correlation_id: request.correlation_id,
            ..Default::default()
        };
    };
    let key = JournalKey {
        request_id: generation.request.request_id,
        origin: JournalOrigin::new(request.origin),
    };
    wire::TakeOverReply {
        correlation_id: request.correlation_id,
        found: true,
        owner_epoch: generation.epoch.get(),
        open: Some(encode_open(key, generation.epoch, &generation.request)),
        tokens: encode_tokens(&generation.tokens),
        attempts_started: generation.attempts_started.get(),
        endpoint_version: encode_version(generation.endpoint_version.as_ref()),
        finished: generation.finished,
        held,
    }
}

pub(crate) fn decode_reply(reply: wire::TakeOverReply) -> Option<TakenOverGeneration> {
    if !reply.found {
        return None;
    }
    Some(TakenOverGeneration {
        request: decode_open(reply.open?)?,
        epoch: OwnerEpoch::new(reply.owner_epoch),
        tokens: decode_tokens(reply.tokens),
        attempts_started: AttemptNumber::new(reply.attempts_started),
        endpoint_version: reply.endpoint_version.parse().ok(),
        finished: reply.finished,
    })
}
