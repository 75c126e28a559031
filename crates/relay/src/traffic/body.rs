//! Bodies of responses to callers.

use std::{
    collections::VecDeque,
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use thiserror::Error;
use tokio::sync::mpsc;

/// Size of the parts in which bytes are passed to the caller's connection, which counts only
/// whole parts against its bound.
const PART_BYTES: usize = 16 << 10;

/// The stream was not completed; the connection is closed without the last chunk.
#[derive(Clone, Copy, Debug, Error)]
#[error("stream aborted before its end")]
pub(crate) struct StreamAborted;

impl From<Infallible> for StreamAborted {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// Part of a stream.
#[derive(Clone, Debug)]
pub(crate) enum StreamPart {
    /// Complete events, or bytes of a response that is not a stream.
    Data(Bytes),
    /// The body is complete.
    End,
}

/// Body of a response: complete, or one that is being relayed.
pub(crate) enum RelayBody {
    Whole(VecDeque<Bytes>),
    Relayed(RelayedBody),
}

/// Body that arrives while it is sent.
pub(crate) struct RelayedBody {
    parts: mpsc::UnboundedReceiver<StreamPart>,
    /// What the connection has not taken yet of the latest part.
    part: Bytes,
    /// Bytes that are still to come, if the length is known.
    remaining: Option<u64>,
}

impl RelayBody {
    pub(crate) fn whole(parts: Vec<Bytes>) -> Self {
        let parts = parts.into_iter().filter(|it| !it.is_empty());
        Self::Whole(parts.collect())
    }

    /// Returns a body of the given length, if it is known, and the sender that feeds it.
    /// Dropping the sender before [`StreamPart::End`] aborts the body. What waits in the
    /// queue is bounded by the exchange's window.
    pub(crate) fn relayed(length: Option<u64>) -> (mpsc::UnboundedSender<StreamPart>, Self) {
        let (sender, parts) = mpsc::unbounded_channel();
        let body = RelayedBody {
            parts,
            part: Bytes::new(),
            remaining: length,
        };
        (sender, Self::Relayed(body))
    }
}

impl RelayedBody {
    fn poll_part(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, StreamAborted>>> {
        while self.part.is_empty() {
            match self.parts.poll_recv(context) {
                Poll::Ready(Some(StreamPart::Data(bytes))) => self.part = bytes,
                Poll::Ready(Some(StreamPart::End)) => return Poll::Ready(None),
                Poll::Ready(None) => return Poll::Ready(Some(Err(StreamAborted))),
                Poll::Pending => return Poll::Pending,
            }
        }
        let taken = take_part(&mut self.part);
        if let Some(remaining) = &mut self.remaining {
            *remaining = remaining.saturating_sub(taken.len() as u64);
        }
        Poll::Ready(Some(Ok(taken)))
    }
}

/// Takes the beginning of `bytes`, and leaves no reference to them once all is taken.
fn take_part(bytes: &mut Bytes) -> Bytes {
    match bytes.len() <= PART_BYTES {
        true => std::mem::take(bytes),
        false => bytes.split_to(PART_BYTES),
    }
}

impl Body for RelayBody {
    type Data = Bytes;
    type Error = StreamAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamAborted>>> {
        match self.get_mut() {
            Self::Whole(parts) => {
                let taken = parts.front_mut().map(take_part);
                if parts.front().is_some_and(Bytes::is_empty) {
                    parts.pop_front();
                }
                Poll::Ready(taken.map(|it| Ok(Frame::data(it))))
            }
            Self::Relayed(relayed) => relayed
                .poll_part(context)
                .map(|part| part.map(|it| it.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(parts) => parts.is_empty(),
            Self::Relayed(relayed) => relayed.remaining == Some(0),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(parts) => {
                let bytes: usize = parts.iter().map(Bytes::len).sum();
                SizeHint::with_exact(bytes as u64)
            }
            Self::Relayed(relayed) => relayed
                .remaining
                .map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}
