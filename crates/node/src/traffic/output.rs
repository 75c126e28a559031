//! Bounded output to one caller.
//!
//! A process may be frozen while a piece waits for its connection, and another node
//! may own the answer when it wakes. The connection therefore asks before it sends
//! a piece that waited for long; one that waited for a slow reader costs a question
//! to the journal peer as well.

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

/// Pieces that may wait in the connection.
const CONNECTION_QUEUE_CHUNKS: usize = 32;
/// Time for which a caller may read nothing.
pub(crate) const STALL_TIMEOUT_MS: Millis = Millis::new(5_000);

/// A piece on its way to the caller.
struct Chunk {
    bytes: Bytes,
    /// How many were written before it.
    sequence: u64,
    written_at: MonoTime,
}

/// Question of a connection whether what was written may still be sent.
pub(crate) struct OwnershipCheck(oneshot::Sender<()>);

/// The connection's side of an output.
struct OutputStream {
    clock: Clock,
    chunks: mpsc::Receiver<Chunk>,
    ownership_checks: mpsc::Sender<OwnershipCheck>,
    /// When what had been written was confirmed last.
    confirmed_at: MonoTime,
    /// Number of the first piece that was not withdrawn.
    first_sendable: Arc<AtomicU64>,
}

impl OutputStream {
    /// Next piece that may be sent; `None` after the last one.
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

    /// Waits for word on what was written.
    async fn verify_ownership(&self) {
        let (sender, answer) = oneshot::channel();
        let ownership_check = OwnershipCheck(sender);
        if self.ownership_checks.send(ownership_check).await.is_ok() {
            // A task that ends has withdrawn what must not be sent.
            let _ = answer.await;
        }
    }
}

/// Output to one caller, in order. What the connection can't take yet waits
/// here; a caller that reads nothing for a while counts as gone.
pub(crate) struct Output {
    connection: mpsc::Sender<Chunk>,
    ownership_check: Option<OwnershipCheck>,
    first_sendable: Arc<AtomicU64>,
    backlog: VecDeque<Chunk>,
    written: u64,
    stalled_since: Option<MonoTime>,
}

impl Output {
    /// Output, the questions of its connection and the body that carries it.
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

    /// Writes a piece, or lets it wait.
    pub(crate) fn write(&mut self, now: MonoTime, bytes: Bytes) {
        self.backlog.push_back(Chunk {
            bytes,
            sequence: self.written,
            written_at: now,
        });
        self.written += 1;
        self.flush(now);
    }

    /// Writes as much as the connection takes.
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

    /// Whether nothing waits.
    pub(crate) fn is_flushed(&self) -> bool {
        self.backlog.is_empty()
    }

    /// Time at which a caller that reads nothing counts as gone.
    pub(crate) fn stall_deadline(&self) -> Option<MonoTime> {
        self.stalled_since.map(|since| since + STALL_TIMEOUT_MS)
    }

    /// Waits until the connection takes a piece again; for ever if nothing waits.
    pub(crate) async fn writable(&self) {
        if self.backlog.is_empty() {
            std::future::pending::<()>().await;
        }
        // An error means that the caller is gone, which `closed` tells too.
        drop(self.connection.reserve().await);
    }

    /// Waits until the caller is gone.
    pub(crate) async fn closed(&self) {
        self.connection.closed().await;
    }

    /// Takes a question of the connection; the answer is [`Output::confirm`] or
    /// [`Output::withdraw`].
    pub(crate) fn set_ownership_check(&mut self, ownership_check: OwnershipCheck) {
        self.ownership_check = Some(ownership_check);
    }

    /// Lets the connection send what was not withdrawn.
    pub(crate) fn confirm(&mut self) {
        if let Some(OwnershipCheck(answer)) = self.ownership_check.take() {
            // A connection that has ended needs no answer.
            let _ = answer.send(());
        }
    }

    /// Keeps the connection from sending what was written until now.
    pub(crate) fn discard_unsent(&mut self) {
        self.first_sendable.store(self.written, Ordering::Relaxed);
        self.confirm();
    }
}
