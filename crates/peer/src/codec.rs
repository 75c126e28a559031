//! Codec of a connection that is in use while a message is partly read.

use bytes::BytesMut;
use parsleylatch_runtime::ConnectionHandle;
use parsleylatch_types::ByteCount;
use parsleylatch_wire::{FrameError, PeerCodec, peer::PeerMessage};
use tokio_util::codec::{Decoder, Encoder};

/// Codec of a connection to or from another node.
#[derive(Debug, Default)]
pub(crate) struct LinkCodec {
    codec: PeerCodec,
    /// Handle of an accepted connection.
    handle: Option<ConnectionHandle>,
}

impl LinkCodec {
    /// Codec of an accepted connection, for frames of up to `limit`.
    pub(crate) fn accepted(limit: ByteCount, handle: ConnectionHandle) -> Self {
        Self {
            codec: PeerCodec::with_limit(limit),
            handle: Some(handle),
        }
    }

    /// Replaces the limit on received frames, from the next frame on.
    pub(crate) fn set_limit(&mut self, limit: ByteCount) {
        self.codec.set_limit(limit);
    }
}

impl Decoder for LinkCodec {
    type Item = PeerMessage;
    type Error = FrameError;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<PeerMessage>, FrameError> {
        let has_bytes = !source.is_empty();
        let decoded = self.codec.decode(source)?;
        // Without bytes nothing has changed: a length that was read is kept by the codec.
        if let Some(handle) = self.handle.as_ref().filter(|_| has_bytes) {
            handle.set_in_message(decoded.is_none());
        }
        Ok(decoded)
    }
}

impl Encoder<PeerMessage> for LinkCodec {
    type Error = FrameError;

    fn encode(&mut self, message: PeerMessage, target: &mut BytesMut) -> Result<(), FrameError> {
        self.codec.encode(message, target)
    }
}
