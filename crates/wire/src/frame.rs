//! Frames between nodes: a length, a byte that tells the encoding, and one prost
//! message. Large messages are compressed: they hold entries of the store, which are
//! alike, and links between regions carry little.

use std::io;

use bytes::{Buf, Bytes, BytesMut};
use lz4_flex::block::{DecompressError, compress_prepend_size, decompress_size_prepended};
use parsleylatch_types::ByteCount;
use prost::Message;
use thiserror::Error;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::peer::{PeerMessage, peer_message::Body};

/// Largest frame.
pub const MAX_FRAME_SIZE: ByteCount = ByteCount::new(16 << 20);

/// Bytes of the length and the encoding before each message.
const FRAME_HEADER_BYTES: u64 = 5;
/// Size from which a message is compressed; smaller ones fit a few packets.
const COMPRESSION_THRESHOLD: ByteCount = ByteCount::new(8 << 10);
/// First byte of a frame: the message as it is.
const ENCODING_PLAIN: u8 = 0;
/// First byte of a frame: the size of the message, four bytes of little end, and the
/// message as an LZ4 block.
const ENCODING_LZ4: u8 = 1;

/// Bytes that a message takes on a connection, uncompressed.
pub fn uncompressed_frame_size(body: &Body) -> ByteCount {
    ByteCount::new(body.encoded_len() as u64 + FRAME_HEADER_BYTES)
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
    /// The compressed message can't be unpacked.
    #[error("compressed message: {0}")]
    Compressed(#[from] DecompressError),
    /// The frame has an encoding that this version does not know.
    #[error("unknown encoding {0}")]
    UnknownEncoding(u8),
    /// The frame ends before its message, or its message is larger than the limit.
    #[error("message of a wrong size")]
    InvalidSize,
}

/// Codec of the messages between nodes.
#[derive(Debug)]
pub struct PeerCodec {
    frames: LengthDelimitedCodec,
}

impl Default for PeerCodec {
    fn default() -> Self {
        let mut frames = LengthDelimitedCodec::new();
        frames.set_max_frame_length(MAX_FRAME_SIZE.get() as usize);
        Self { frames }
    }
}

impl Decoder for PeerCodec {
    type Item = PeerMessage;
    type Error = FrameError;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<PeerMessage>, FrameError> {
        let frame = self.frames.decode(source)?;
        frame.map(|frame| decode_frame(frame.freeze())).transpose()
    }
}

fn decode_frame(mut frame: Bytes) -> Result<PeerMessage, FrameError> {
    match frame.try_get_u8() {
        Ok(ENCODING_PLAIN) => Ok(PeerMessage::decode(frame)?),
        Ok(ENCODING_LZ4) => {
            let size = frame.clone().try_get_u32_le();
            let size = size.map_err(|_| FrameError::InvalidSize)?;
            if u64::from(size) > MAX_FRAME_SIZE.get() {
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
        Ok(self.frames.encode(Bytes::from(frame), target)?)
    }
}
