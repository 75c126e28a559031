//! Output to one caller, with a limit on how long the caller may stall.
//!
//! The process may be paused while a chunk is queued, and another node may own the
//! answer when it resumes. The connection therefore verifies the ownership before it
//! sends a chunk that was queued for long. A chunk delayed by a slow reader causes
//! such a check with the journal peer as well.

use std::{
    collections::VecDeque,
    io,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use bytes::Bytes;
use futures::stream::unfold;
use parsleylatch_decide::journal::PAUSE_THRESHOLD_MS;
use parsleylatch_runtime::Clock;
use parsleylatch_types::{Millis, MonoTime};
use tokio::sync::{mpsc, oneshot};
use viz::Body;

/// Capacity of the connection's queue, in chunks.
const CONNECTION_QUEUE_CHUNKS: usize = 32;
/// Time without progress after which a caller is treated as disconnected.
pub(crate) const STALL_TIMEOUT_MS: Millis = Millis::new(5_000);

/// A chunk of output to the caller.
struct Chunk {
    bytes: Bytes,
    /// Number of chunks written before it.
    sequence: u64,
    written_at: MonoTime,
}

/// Request of a connection to verify that queued chunks may still be sent.
pub(crate) struct OwnershipCheck(oneshot::Sender<()>);

/// Connection side of an output.
struct OutputStream {
    clock: Clock,
    chunks: mpsc::Receiver<Chunk>,
    ownership_checks: mpsc::Sender<OwnershipCheck>,
    /// Time of the last ownership check.
    confirmed_at: MonoTime,
    /// Sequence number of the first chunk that was not discarded.
    first_sendable: Arc<AtomicU64>,
}

impl OutputStream {
    /// Next chunk to send; `None` after the last one.
    async fn next(&mut self) -> Option<Bytes> {
        loop {
            let chunk = self.chunks.recv().await?;
            let verified_at = chunk.written_at.max(self.confirmed_at);
            if self.clock.now().since(verified_at) > PAUSE_THRESHOLD_MS.micros() {
                self.verify_ownership().await;
                self.confirmed_at = self.clock.now();
            }
            if chunk.sequence >= self.first_sendable.load(Ordering::Relaxed) {
                return Some(chunk.bytes);
            }
        }
    }

    /// Waits for the task to verify the ownership.
    async fn verify_ownership(&self) {
        let (sender, answer) = oneshot::channel();
        let ownership_check = OwnershipCheck(sender);
        if self.ownership_checks.send(ownership_check).await.is_ok() {
            // If the task ended instead, it has discarded what must not be sent.
            let _ = answer.await;
        }
    }
}

/// Output to one caller, in order. Chunks that exceed the connection's queue are
/// kept in a backlog; a caller that stalls for too long is treated as disconnected.
pub(crate) struct Output {
    connection: mpsc::Sender<Chunk>,
    ownership_check: Option<OwnershipCheck>,
    first_sendable: Arc<AtomicU64>,
    backlog: VecDeque<Chunk>,
    written: u64,
    stalled_since: Option<MonoTime>,
}

impl Output {
    /// Returns an output, its ownership checks and the response body that streams it.
    pub(crate) fn new(clock: Clock) -> (Self, mpsc::Receiver<OwnershipCheck>, Body) {
        let (connection, chunks) = mpsc::channel(CONNECTION_QUEUE_CHUNKS);
        let (check_sender, ownership_checks) = mpsc::channel(1);
        let first_sendable = Arc::default();
        let stream = OutputStream {
            clock,
            chunks,
            ownership_checks: check_sender,
            confirmed_at: MonoTime::ZERO,
            first_sendable: Arc::clone(&first_sendable),
        };
        let body = unfold(stream, |mut stream| async {
            let chunk = stream.next().await?;
            Some((Ok::<_, io::Error>(chunk), stream))
        });
        let output = Self {
            connection,
            ownership_check: None,
            first_sendable,
            backlog: VecDeque::new(),
            written: 0,
            stalled_since: None,
        };
        (output, ownership_checks, Body::from_stream(body))
    }

    /// Writes a chunk to the connection, or to the backlog if its queue is full.
    pub(crate) fn write(&mut self, now: MonoTime, bytes: Bytes) {
        self.backlog.push_back(Chunk {
            bytes,
            sequence: self.written,
            written_at: now,
        });
        self.written += 1;
        self.flush(now);
    }

    /// Writes as much of the backlog as the connection's queue accepts.
    pub(crate) fn flush(&mut self, now: MonoTime) {
        while let Some(chunk) = self.backlog.pop_front() {
            if let Err(error) = self.connection.try_send(chunk) {
                self.backlog.push_front(error.into_inner());
                self.stalled_since.get_or_insert(now);
                return;
            }
            self.stalled_since = None;
        }
    }

    /// Whether the backlog is empty.
    pub(crate) fn is_flushed(&self) -> bool {
        self.backlog.is_empty()
    }

    /// Time at which a stalled caller is treated as disconnected.
    pub(crate) fn stall_deadline(&self) -> Option<MonoTime> {
        self.stalled_since.map(|since| since + STALL_TIMEOUT_MS)
    }

    /// Waits until the connection accepts a chunk; never completes if the backlog is empty.
    pub(crate) async fn writable(&self) {
        if self.backlog.is_empty() {
            std::future::pending::<()>().await;
        }
        // An error means that the caller disconnected, which `closed` reports too.
        drop(self.connection.reserve().await);
    }

    /// Waits until the caller disconnects.
    pub(crate) async fn closed(&self) {
        self.connection.closed().await;
    }

    /// Stores a check requested by the connection, to be answered by
    /// [`Output::confirm`] or [`Output::discard_unsent`].
    pub(crate) fn set_ownership_check(&mut self, ownership_check: OwnershipCheck) {
        self.ownership_check = Some(ownership_check);
    }

    /// Allows the connection to send all chunks that were not discarded.
    pub(crate) fn confirm(&mut self) {
        if let Some(OwnershipCheck(answer)) = self.ownership_check.take() {
            // The receiver is gone if the connection has closed.
            let _ = answer.send(());
        }
    }

    /// Discards all unsent chunks written so far.
    pub(crate) fn discard_unsent(&mut self) {
        self.first_sendable.store(self.written, Ordering::Relaxed);
        self.confirm();
    }
}
