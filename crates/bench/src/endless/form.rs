//! Forms of messages that do not end.

use std::fmt::Write;

use bytes::Bytes;
use parsleylatch_http::encode_event;
use strum::{Display, EnumString, VariantArray};

/// Size of a piece, unless it is one large event.
const PIECE_BYTES: usize = 64 << 10;
/// Small events in a piece.
const EVENTS_PER_PIECE: u64 = 256;
/// Text of a large event, so that the whole event has just under 1 MiB.
const LARGE_EVENT_BYTES: usize = (1 << 20) - 1_024;
/// Declared length of a body that does not end in the time of a measurement.
const DECLARED_LENGTH_BYTES: u64 = 1 << 40;

/// Form of an endless message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, VariantArray)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Form {
    /// Body of a success, chunked.
    SuccessChunked,
    /// Body of a success with a length.
    SuccessSized,
    /// Body of a success that ends with the connection.
    SuccessUntilClose,
    /// Body of an error, chunked.
    ErrorChunked,
    /// Body of an error with a length.
    ErrorSized,
    /// Body of an error that ends with the connection.
    ErrorUntilClose,
    /// Stream of small events.
    SmallEvents,
    /// Stream of events of almost 1 MiB.
    LargeEvents,
    /// Digits of a chunk's size.
    ChunkSizeDigits,
    /// Blank lines after an event.
    BlankLines,
    /// Comments after an event.
    Comments,
    /// Informational responses.
    InformationalHeads,
    /// Fields of a head.
    HeadFields,
    /// Digits of a chunk's size in a request's body.
    RequestChunkSizeDigits,
    /// Request bodies of the configured limit that stop before their last byte.
    StalledRequestBodies,
}

/// Service that a faulty request is sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Target {
    /// Calls of the faulty service.
    FaultyCall,
    /// Streams of the faulty service.
    FaultyStream,
    /// Calls of the sound service, as the caller is at fault.
    Sound,
}

impl Form {
    /// Where requests of this form are sent.
    pub(crate) fn target(self) -> Target {
        match self {
            Self::SmallEvents | Self::LargeEvents | Self::BlankLines | Self::Comments => {
                Target::FaultyStream
            }
            Self::RequestChunkSizeDigits | Self::StalledRequestBodies => Target::Sound,
            _ => Target::FaultyCall,
        }
    }

    /// Whether the caller's reading makes a difference.
    pub(crate) fn depends_on_reader(self) -> bool {
        matches!(
            self,
            Self::SuccessChunked
                | Self::SuccessSized
                | Self::SuccessUntilClose
                | Self::ErrorChunked
                | Self::ErrorSized
                | Self::ErrorUntilClose
                | Self::SmallEvents
                | Self::LargeEvents
        )
    }

    /// Start of an endpoint's response to the request with this id.
    pub(crate) fn response_start(self, request_id: &str) -> String {
        let status = match self {
            Self::InformationalHeads => return String::new(),
            Self::ErrorChunked | Self::ErrorSized | Self::ErrorUntilClose => {
                "500 Internal Server Error"
            }
            _ => "200 OK",
        };
        let mut head = format!(
            "HTTP/1.1 {status}\r\nrequest-id: {request_id}\r\nanswer-digest: 1\r\n\
             endpoint-load: 1,0\r\n"
        );
        if self.target() == Target::FaultyStream {
            head.push_str("content-type: text/event-stream\r\n");
        }
        match self {
            Self::HeadFields => return head,
            Self::SuccessSized | Self::ErrorSized => {
                // Writing to a string does not fail.
                let _ = write!(head, "content-length: {DECLARED_LENGTH_BYTES}\r\n");
            }
            Self::SuccessUntilClose | Self::ErrorUntilClose => {
                head.push_str("connection: close\r\n");
            }
            _ => head.push_str("transfer-encoding: chunked\r\n"),
        }
        head.push_str("\r\n");
        head
    }

    /// Piece `number`, from 0, of the part without end.
    pub(crate) fn piece(self, number: u64) -> Bytes {
        match self {
            Self::SuccessChunked | Self::ErrorChunked => chunk(&[b'x'; PIECE_BYTES]),
            Self::SuccessSized
            | Self::ErrorSized
            | Self::SuccessUntilClose
            | Self::ErrorUntilClose => Bytes::from_static(&[b'x'; PIECE_BYTES]),
            Self::SmallEvents => {
                let first = number * EVENTS_PER_PIECE + 1;
                let events = first..first + EVENTS_PER_PIECE;
                let events: Vec<u8> = events.flat_map(|id| event(id, "token")).collect();
                chunk(&events)
            }
            Self::LargeEvents => chunk(&event(number + 1, &"x".repeat(LARGE_EVENT_BYTES))),
            Self::BlankLines | Self::Comments if number == 0 => chunk(&event(1, "token")),
            Self::BlankLines => chunk(&[b'\n'; PIECE_BYTES]),
            Self::Comments => chunk(&b": comment\n".repeat(PIECE_BYTES / 10)),
            Self::ChunkSizeDigits | Self::RequestChunkSizeDigits => {
                Bytes::from_static(&[b'0'; PIECE_BYTES])
            }
            Self::InformationalHeads => b"HTTP/1.1 103 Early Hints\r\n\r\n".repeat(2_048).into(),
            Self::HeadFields => b"field: value\r\n".repeat(4_096).into(),
            Self::StalledRequestBodies => Bytes::new(),
        }
    }
}

fn event(id: u64, text: &str) -> Bytes {
    encode_event(&id.to_string(), "", text)
}

fn chunk(content: &[u8]) -> Bytes {
    let mut chunk = format!("{:x}\r\n", content.len()).into_bytes();
    chunk.extend_from_slice(content);
    chunk.extend_from_slice(b"\r\n");
    chunk.into()
}
