//! Bodies of responses to callers.

use std::{
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use thiserror::Error;
use tokio::sync::mpsc;

/// Number of events buffered for a caller that reads slowly.
const EVENT_QUEUE_CAPACITY: usize = 256;

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
    /// Complete events.
    Events(Bytes),
    /// The stream is complete.
    End,
}

/// Body of a response: complete, or a stream that is being relayed.
pub(crate) enum RelayBody {
    Whole(Option<Bytes>),
    Stream(mpsc::Receiver<StreamPart>),
}

impl RelayBody {
    pub(crate) fn whole(bytes: Bytes) -> Self {
        Self::Whole(Some(bytes))
    }

    /// Returns a body and the sender that feeds it. Dropping the sender before
    /// [`StreamPart::End`] aborts the stream.
    pub(crate) fn stream() -> (mpsc::Sender<StreamPart>, Self) {
        let (sender, receiver) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        (sender, Self::Stream(receiver))
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
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|it| Ok(Frame::data(it)))),
            Self::Stream(receiver) => receiver.poll_recv(context).map(|part| match part {
                Some(StreamPart::Events(bytes)) => Some(Ok(Frame::data(bytes))),
                Some(StreamPart::End) => None,
                None => Some(Err(StreamAborted)),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |it| it.len() as u64))
            }
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
