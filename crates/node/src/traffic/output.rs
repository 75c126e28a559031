//! Bounded output to one caller.

use std::collections::VecDeque;

use bytes::Bytes;
use futures::stream::unfold;
use parsleylatch_types::{Millis, MonoTime};
use tokio::sync::mpsc;
use viz::Body;

/// Pieces that may wait in the connection.
const CONNECTION_BUFFER: usize = 32;
/// Time for which a caller may read nothing.
pub(crate) const STALL_TIMEOUT_MS: Millis = Millis::new(5_000);

/// Output to one caller, in order. What the connection can't take yet waits
/// here; a caller that reads nothing for a while counts as gone.
pub(crate) struct Output {
    connection: mpsc::Sender<Bytes>,
    waiting: VecDeque<Bytes>,
    stalled_since: Option<MonoTime>,
}

impl Output {
    /// Output and the body that carries it.
    pub(crate) fn new() -> (Self, Body) {
        let (connection, receiver) = mpsc::channel(CONNECTION_BUFFER);
        let pieces = unfold(receiver, |mut receiver: mpsc::Receiver<Bytes>| async {
            let piece = receiver.recv().await?;
            Some((Ok::<_, std::io::Error>(piece), receiver))
        });
        let output = Self {
            connection,
            waiting: VecDeque::new(),
            stalled_since: None,
        };
        (output, Body::from_stream(pieces))
    }

    /// Writes a piece, or lets it wait.
    pub(crate) fn write(&mut self, now: MonoTime, piece: Bytes) {
        self.waiting.push_back(piece);
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
}
