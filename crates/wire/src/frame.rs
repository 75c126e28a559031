//! Framing of messages between nodes: a length, an encoding byte, and one protobuf
//! message.
//!
//! Large messages are compressed with LZ4. They mostly hold store entries, which are
//! similar to each other, and bandwidth between regions is low.

use std::io;

use bytes::{Buf, Bytes, BytesMut};
use lz4_flex::block::{DecompressError, compress_prepend_size, decompress_size_prepended};
use parsleylatch_types::ByteCount;
use prost::Message;
use thiserror::Error;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::peer::{PeerMessage, peer_message::Body};

/// Largest frame that is sent or accepted.
pub const MAX_FRAME_SIZE: ByteCount = ByteCount::new(16 << 20);

/// Length field and encoding byte before each message.
const FRAME_HEADER_BYTES: u64 = 5;
/// Size from which a message is compressed; a smaller one fits into a few packets anyway.
const COMPRESSION_THRESHOLD: ByteCount = ByteCount::new(8 << 10);
/// Encoding byte of an uncompressed message.
const ENCODING_PLAIN: u8 = 0;
/// Encoding byte of a compressed message: its uncompressed size as a little-endian
/// `u32`, then an LZ4 block.
const ENCODING_LZ4: u8 = 1;

/// Size of the frame of a message without compression.
pub fn uncompressed_frame_size(body: &Body) -> ByteCount {
    ByteCount::new(body.encoded_len() as u64 + FRAME_HEADER_BYTES)
}

/// Error of encoding or decoding a frame.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The connection was lost, or the frame exceeds [`MAX_FRAME_SIZE`].
    #[error("frame I/O: {0}")]
    Io(#[from] std::io::Error),
    /// The message is not valid protobuf.
    #[error("malformed message: {0}")]
    Message(#[from] prost::DecodeError),
    /// The LZ4 block can't be decompressed.
    #[error("decompression failed: {0}")]
    Compressed(#[from] DecompressError),
    /// This version does not support the frame's encoding.
    #[error("unknown frame encoding {0}")]
    UnknownEncoding(u8),
    /// The frame is truncated, or the uncompressed message exceeds [`MAX_FRAME_SIZE`].
    #[error("frame truncated, or message exceeds the size limit")]
    InvalidSize,
}

/// Codec for framed messages between nodes.
#[derive(Debug)]
pub struct PeerCodec {
    sent: LengthDelimitedCodec,
    received: LengthDelimitedCodec,
}

impl Default for PeerCodec {
    fn default() -> Self {
        Self::with_limit(MAX_FRAME_SIZE)
    }
}

impl PeerCodec {
    /// Creates a codec that sends up to [`MAX_FRAME_SIZE`], and accepts frames and messages
    /// of up to `limit`.
    pub fn with_limit(limit: ByteCount) -> Self {
        let frames = |limit: ByteCount| {
            let mut frames = LengthDelimitedCodec::new();
            frames.set_max_frame_length(limit.get() as usize);
            frames
        };
        Self {
            sent: frames(MAX_FRAME_SIZE),
            received: frames(limit),
        }
    }

    /// Replaces the limit on received frames and messages, from the next frame on.
    pub fn set_limit(&mut self, limit: ByteCount) {
        self.received.set_max_frame_length(limit.get() as usize);
    }
}

impl Decoder for PeerCodec {
    type Item = PeerMessage;
    type Error = FrameError;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<PeerMessage>, FrameError> {
        let frame = self.received.decode(source)?;
        let limit = self.received.max_frame_length();
        frame
            .map(|frame| decode_frame(frame.freeze(), limit))
            .transpose()
    }
}

fn decode_frame(mut frame: Bytes, limit: usize) -> Result<PeerMessage, FrameError> {
    match frame.try_get_u8() {
        Ok(ENCODING_PLAIN) => Ok(PeerMessage::decode(frame)?),
        Ok(ENCODING_LZ4) => {
            let size = frame.clone().try_get_u32_le();
            let size = size.map_err(|_| FrameError::InvalidSize)?;
            if size as usize > limit {
                return Err(FrameError::InvalidSize);
            }
            let message = decompress_size_prepended(&frame)?;
            Ok(PeerMessage::decode(message.as_slice())?)
        }
        Ok(other) => Err(FrameError::UnknownEncoding(other)),
        Err(_) => Err(FrameError::InvalidSize),
    }
}

impl Encoder<PeerMessage> for PeerCodec {
    type Error = FrameError;

    fn encode(&mut self, message: PeerMessage, target: &mut BytesMut) -> Result<(), FrameError> {
        let size = message.encoded_len();
        let frame = if size as u64 >= COMPRESSION_THRESHOLD.get() {
            let compressed = compress_prepend_size(&message.encode_to_vec());
            [&[ENCODING_LZ4], compressed.as_slice()].concat()
        } else {
            let mut frame = Vec::with_capacity(size + 1);
            frame.push(ENCODING_PLAIN);
            message.encode(&mut frame).map_err(io::Error::other)?;
            frame
        };
        Ok(self.sent.encode(Bytes::from(frame), target)?)
    }
}
