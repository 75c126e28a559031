//! Frames between nodes: a length, then one prost message.

use bytes::{Bytes, BytesMut};
use parsleylatch_types::ByteCount;
use prost::Message;
use thiserror::Error;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::peer::{PeerMessage, peer_message::Body};

/// Largest frame.
pub const FRAME_LIMIT: ByteCount = ByteCount::new(16 << 20);

/// Bytes of the length before each frame.
const LENGTH_BYTES: u64 = 4;

/// Bytes that a message takes on a connection.
pub fn message_bytes(body: &Body) -> ByteCount {
    ByteCount::new(body.encoded_len() as u64 + LENGTH_BYTES)
}

/// A frame that can't be sent or read.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The connection broke, or the frame is larger than the limit.
    #[error("frame: {0}")]
    Io(#[from] std::io::Error),
    /// The message can't be read.
    #[error("message: {0}")]
    Message(#[from] prost::DecodeError),
}

/// Codec of the messages between nodes.
#[derive(Debug)]
pub struct PeerCodec {
    frames: LengthDelimitedCodec,
}

impl Default for PeerCodec {
    fn default() -> Self {
        let mut frames = LengthDelimitedCodec::new();
        frames.set_max_frame_length(FRAME_LIMIT.get() as usize);
        Self { frames }
    }
}

impl Decoder for PeerCodec {
    type Item = PeerMessage;
    type Error = FrameError;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<PeerMessage>, FrameError> {
        let frame = self.frames.decode(source)?;
        Ok(frame
            .map(|frame| PeerMessage::decode(frame.freeze()))
            .transpose()?)
    }
}

impl Encoder<PeerMessage> for PeerCodec {
    type Error = FrameError;

    fn encode(&mut self, message: PeerMessage, target: &mut BytesMut) -> Result<(), FrameError> {
        let frame = Bytes::from(message.encode_to_vec());
        Ok(self.frames.encode(frame, target)?)
    }
}
