//! Limit on the bytes that a peer may send without progress: without the head of a message
//! and without data of a body.
//!
//! The HTTP library skips informational responses, and reads the size of a chunk, for as
//! long as bytes arrive. A peer that sends them without end would occupy the thread, so
//! reading fails once the limit is reached.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite};

use crate::limited_reader::LimitedReader;

/// Bytes that may arrive without progress.
const MAX_BYTES_WITHOUT_PROGRESS: usize = 64 << 10;
/// Count while bytes are not limited here.
const NOT_COUNTED: usize = usize::MAX;

/// Number of bytes received since the last progress, shared with its connection.
#[derive(Clone, Debug)]
pub struct ReadProgress {
    bytes: Arc<AtomicUsize>,
    /// Count between two bodies.
    bytes_between_bodies: usize,
}

impl ReadProgress {
    /// Progress of a connection that receives responses.
    pub(crate) fn of_responses() -> Self {
        Self::new(0)
    }

    /// Progress of a connection that receives requests, whose heads the HTTP library limits
    /// by the size of its buffer.
    pub(crate) fn of_requests() -> Self {
        Self::new(NOT_COUNTED)
    }

    fn new(bytes_between_bodies: usize) -> Self {
        Self {
            bytes: Arc::new(AtomicUsize::new(bytes_between_bodies)),
            bytes_between_bodies,
        }
    }

    /// Records progress.
    pub fn restart(&self) {
        self.bytes.store(0, Ordering::Relaxed);
    }

    /// Whether the connection receives responses.
    pub(crate) fn is_of_responses(&self) -> bool {
        self.bytes_between_bodies != NOT_COUNTED
    }

    fn end_body(&self) {
        self.bytes
            .store(self.bytes_between_bodies, Ordering::Relaxed);
    }

    pub(crate) fn check(&self) -> io::Result<()> {
        let count = self.bytes.load(Ordering::Relaxed);
        if count == NOT_COUNTED || count < MAX_BYTES_WITHOUT_PROGRESS {
            return Ok(());
        }
        let error =
            format!("received {MAX_BYTES_WITHOUT_PROGRESS} bytes without a head or body data");
        Err(io::Error::new(io::ErrorKind::InvalidData, error))
    }

    /// Bytes received since the last progress; zero if they aren't counted.
    pub(crate) fn bytes_without(&self) -> u64 {
        match self.bytes.load(Ordering::Relaxed) {
            NOT_COUNTED => 0,
            count => count as u64,
        }
    }

    pub(crate) fn record(&self, bytes: usize) {
        let count = self.bytes.load(Ordering::Relaxed);
        if count != NOT_COUNTED {
            self.bytes
                .store(count.saturating_add(bytes), Ordering::Relaxed);
        }
    }
}

/// Wraps a connection that receives responses, and whose bytes without progress are limited;
/// the second value tells it about progress.
pub fn limit_reads<Io>(io: Io) -> (impl AsyncRead + AsyncWrite + Send + Unpin, ReadProgress)
where
    Io: AsyncRead + AsyncWrite + Send + Unpin,
{
    let progress = ReadProgress::of_responses();
    let limited = LimitedReader::new(io, progress.clone(), |_: &[u8]| ());
    (limited, progress)
}

/// Body that is being received, whose data is progress of its connection.
#[derive(Debug)]
pub struct ReceivedBody {
    body: Incoming,
    /// `None` once the body has ended, or if the connection isn't limited.
    progress: Option<ReadProgress>,
}

impl ReceivedBody {
    /// Wraps a body whose head was received; without `progress`, the connection isn't
    /// limited.
    pub fn new(body: Incoming, progress: Option<ReadProgress>) -> Self {
        if let Some(progress) = &progress {
            progress.restart();
        }
        Self { body, progress }
    }

    fn end(&mut self) {
        if let Some(progress) = self.progress.take() {
            progress.end_body();
        }
    }
}

impl Body for ReceivedBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        match &polled {
            Poll::Ready(Some(Ok(frame))) => {
                let has_data = frame.data_ref().is_some_and(|it| !it.is_empty());
                if let Some(progress) = self.progress.as_ref().filter(|_| has_data) {
                    progress.restart();
                }
            }
            Poll::Ready(None | Some(Err(_))) => self.end(),
            Poll::Pending => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for ReceivedBody {
    fn drop(&mut self) {
        self.end();
    }
}
