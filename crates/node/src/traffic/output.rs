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
const CONNECTION_BUFFER: usize = 32;
/// Time for which a caller may read nothing.
pub(crate) const STALL_TIMEOUT_MS: Millis = Millis::new(5_000);

/// A piece on its way to the caller.
struct Piece {
    bytes: Bytes,
    /// How many were written before it.
    number: u64,
    written_at: MonoTime,
}

/// Question of a connection whether what was written may still be sent.
pub(crate) struct Doubt(oneshot::Sender<()>);

/// The connection's side of an output.
struct Carrier {
    clock: Clock,
    pieces: mpsc::Receiver<Piece>,
    doubts: mpsc::Sender<Doubt>,
    /// When what had been written was confirmed last.
    confirmed_at: MonoTime,
    /// Number of the first piece that was not withdrawn.
    first_allowed: Arc<AtomicU64>,
}

impl Carrier {
    /// Next piece that may be sent; `None` after the last one.
    async fn next(&mut self) -> Option<Bytes> {
        loop {
            let piece = self.pieces.recv().await?;
            let vouched_at = piece.written_at.max(self.confirmed_at);
            if self.clock.now().since(vouched_at) > PAUSE_THRESHOLD_MS.micros() {
                self.ask().await;
                self.confirmed_at = self.clock.now();
            }
            if piece.number >= self.first_allowed.load(Ordering::Relaxed) {
                return Some(piece.bytes);
            }
        }
    }

    /// Waits for word on what was written.
    async fn ask(&self) {
        let (sender, answer) = oneshot::channel();
        let doubt = Doubt(sender);
        if self.doubts.send(doubt).await.is_ok() {
            // A task that ends has withdrawn what must not be sent.
            let _ = answer.await;
        }
    }
}

/// Output to one caller, in order. What the connection can't take yet waits
/// here; a caller that reads nothing for a while counts as gone.
pub(crate) struct Output {
    connection: mpsc::Sender<Piece>,
    doubt: Option<Doubt>,
    first_allowed: Arc<AtomicU64>,
    waiting: VecDeque<Piece>,
    written: u64,
    stalled_since: Option<MonoTime>,
}

impl Output {
    /// Output, the questions of its connection and the body that carries it.
    pub(crate) fn new(clock: Clock) -> (Self, mpsc::Receiver<Doubt>, Body) {
        let (connection, pieces) = mpsc::channel(CONNECTION_BUFFER);
        let (doubt_sender, doubts) = mpsc::channel(1);
        let first_allowed = Arc::default();
        let carrier = Carrier {
            clock,
            pieces,
            doubts: doubt_sender,
            confirmed_at: MonoTime::ZERO,
            first_allowed: Arc::clone(&first_allowed),
        };
        let body = unfold(carrier, |mut carrier| async {
            let piece = carrier.next().await?;
            Some((Ok::<_, io::Error>(piece), carrier))
        });
        let output = Self {
            connection,
            doubt: None,
            first_allowed,
            waiting: VecDeque::new(),
            written: 0,
            stalled_since: None,
        };
        (output, doubts, Body::from_stream(body))
    }

    /// Writes a piece, or lets it wait.
    pub(crate) fn write(&mut self, now: MonoTime, bytes: Bytes) {
        self.waiting.push_back(Piece {
            bytes,
            number: self.written,
            written_at: now,
        });
        self.written += 1;
        self.flush(now);
    }

    /// Writes as much as the connection takes.
    pub(crate) fn flush(&mut self, now: MonoTime) {
        while let Some(piece) = self.waiting.pop_front() {
            if let Err(error) = self.connection.try_send(piece) {
                self.waiting.push_front(error.into_inner());
                self.stalled_since.get_or_insert(now);
                return;
            }
            self.stalled_since = None;
        }
    }

    /// Whether nothing waits.
    pub(crate) fn is_flushed(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Time at which a caller that reads nothing counts as gone.
    pub(crate) fn stall_deadline(&self) -> Option<MonoTime> {
        self.stalled_since.map(|since| since + STALL_TIMEOUT_MS)
    }

    /// Waits until the connection takes a piece again; for ever if nothing waits.
    pub(crate) async fn writable(&self) {
        if self.waiting.is_empty() {
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
    pub(crate) fn note_doubt(&mut self, doubt: Doubt) {
        self.doubt = Some(doubt);
    }

    /// Lets the connection send what was not withdrawn.
    pub(crate) fn confirm(&mut self) {
        if let Some(Doubt(answer)) = self.doubt.take() {
            // A connection that has ended needs no answer.
            let _ = answer.send(());
        }
    }

    /// Keeps the connection from sending what was written until now.
    pub(crate) fn withdraw(&mut self) {
        self.first_allowed.store(self.written, Ordering::Relaxed);
        self.confirm();
    }
}
