//! One stream of an engine.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use parsleylatch_http::encode_event;
use parsleylatch_types::{TokenCount, TokenIndex};
use parsleylatch_wire::engine::{StreamEvent, StreamRequest};
use tokio::{
    sync::{mpsc, watch},
    time::Instant,
};

use super::state::EngineState;
use crate::{
    completion,
    control::{EngineFault, FaultSpec},
};

/// Piece of a response body; an error breaks the connection.
pub(crate) type Piece = Result<Bytes, std::io::Error>;

/// Why a stream ended early.
enum Ended {
    /// The reader is gone or the stream was cancelled.
    Unwanted,
    /// A fault broke the connection.
    Broken,
    /// A fault left the rest out; the stream says that all was sent.
    Truncated,
}

/// Runs a stream to its end.
pub(crate) async fn run(
    state: Arc<EngineState>,
    order: StreamRequest,
    pieces: mpsc::Sender<Piece>,
) {
    let mut cancelled = state.register(order.request_id, order.attempt);
    let stream = Stream {
        state: &state,
        order: &order,
        pieces: &pieces,
        faults: state.faults(),
    };
    let outcome = tokio::select! {
        outcome = stream.run() => outcome,
        _ = cancelled.wait_for(|cancelled| *cancelled) => Err(Ended::Unwanted),
        () = pieces.closed() => Err(Ended::Unwanted),
    };
    state.unregister(order.request_id, order.attempt);
    let last = match outcome {
        Ok(()) | Err(Ended::Truncated) => finished(order.max_tokens),
        Err(Ended::Unwanted) => return,
        Err(Ended::Broken) => Err(std::io::Error::other("stream broken by a fault order")),
    };
    let _ = pieces.send(last).await;
}

fn finished(tokens: TokenCount) -> Piece {
    Ok(encode(&StreamEvent::Finished { tokens }))
}

fn encode(event: &StreamEvent) -> Bytes {
    let data = serde_json::to_string(event).unwrap_or_default();
    encode_event("", "", &data)
}

struct Stream<'a> {
    state: &'a EngineState,
    order: &'a StreamRequest,
    pieces: &'a mpsc::Sender<Piece>,
    faults: watch::Receiver<FaultSpec<EngineFault>>,
}

impl Stream<'_> {
    async fn run(mut self) -> Result<(), Ended> {
        let endpoint_version = self.state.settings.endpoint_version.clone();
        self.send(&StreamEvent::Opened { endpoint_version }).await?;
        let _place = self.state.take_place(self.order.priority).await;
        let missing = self.state.prefill(&self.order.prompt);
        tokio::time::sleep(EngineState::prefill_time(missing).duration()).await;
        let mut due = Instant::now();
        let start = self.order.prefix.len() as u32;
        for index in (start..self.order.max_tokens.get()).map(TokenIndex::new) {
            due = due.max(Instant::now()) + self.pace();
            tokio::time::sleep_until(due).await;
            self.emit(index).await?;
        }
        Ok(())
    }

    /// Sends the token at an index, or what the fault in force makes of it.
    async fn emit(&mut self, index: TokenIndex) -> Result<(), Ended> {
        match self.fault_at(index) {
            EngineFault::Die | EngineFault::Cut => return Err(Ended::Broken),
            EngineFault::Garbage => return self.send_bytes(Bytes::from("\u{7f}%%%\n\n")).await,
            EngineFault::Truncate => return Err(Ended::Truncated),
            EngineFault::Skip => return Ok(()),
            EngineFault::Repeat => self.send_token(index).await?,
            EngineFault::Pause => {
                let lifted = self
                    .faults
                    .wait_for(|order| order.fault != EngineFault::Pause)
                    .await;
                lifted.map_err(|_| Ended::Broken)?;
            }
            _ => {}
        }
        self.state.count(|counters| counters.generated_tokens += 1);
        self.send_token(index).await
    }

    async fn send_token(&self, index: TokenIndex) -> Result<(), Ended> {
        let version = &self.state.settings.endpoint_version;
        let token = completion::token_at(&self.order.prompt, version, index);
        let text = completion::token_text(token);
        self.send(&StreamEvent::Token {
            attempt: self.order.attempt,
            index,
            token,
            text,
        })
        .await
    }

    fn fault_at(&self, index: TokenIndex) -> EngineFault {
        let order = self.faults.borrow();
        match order.at_index {
            Some(at) if index < at => EngineFault::None,
            // A single token is left out; the rest of the stream goes on.
            Some(at) if order.fault == EngineFault::Skip && index > at => EngineFault::None,
            _ => order.fault,
        }
    }

    fn pace(&self) -> Duration {
        let order = self.faults.borrow();
        let slow = match order.fault {
            EngineFault::Slow => true,
            EngineFault::SlowUnderLoad => self.state.is_half_full(),
            _ => false,
        };
        let delay = if slow {
            order.delay_ms.unwrap_or_default()
        } else {
            Default::default()
        };
        (self.state.settings.pace_ms.saturating_add(delay)).duration()
    }

    async fn send(&self, event: &StreamEvent) -> Result<(), Ended> {
        self.send_bytes(encode(event)).await
    }

    async fn send_bytes(&self, bytes: Bytes) -> Result<(), Ended> {
        self.pieces
            .send(Ok(bytes))
            .await
            .map_err(|_| Ended::Unwanted)
    }
}
