//! Token stream of an engine.

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

/// Chunk of a response body; an error aborts the connection.
pub(crate) type Chunk = Result<Bytes, std::io::Error>;

/// Why a stream ended early.
enum StreamEnd {
    /// The reader disconnected or the stream was cancelled.
    Cancelled,
    /// A fault aborted the connection.
    ConnectionAborted,
    /// A fault omitted the rest; the stream ends as if all tokens had been sent.
    Truncated,
}

/// Runs a stream until it completes, is cancelled or is ended by a fault.
pub(crate) async fn run(
    state: Arc<EngineState>,
    request: StreamRequest,
    chunks: mpsc::Sender<Chunk>,
) {
    let mut cancelled = state.register(request.request_id, request.attempt);
    let stream = Stream {
        state: &state,
        request: &request,
        chunks: &chunks,
        faults: state.subscribe_faults(),
    };
    let outcome = tokio::select! {
        outcome = stream.run() => outcome,
        _ = cancelled.wait_for(|cancelled| *cancelled) => Err(StreamEnd::Cancelled),
        () = chunks.closed() => Err(StreamEnd::Cancelled),
    };
    state.unregister(request.request_id, request.attempt);
    let last = match outcome {
        Ok(()) | Err(StreamEnd::Truncated) => finished_chunk(request.max_tokens),
        Err(StreamEnd::Cancelled) => return,
        Err(StreamEnd::ConnectionAborted) => {
            Err(std::io::Error::other("stream aborted by an injected fault"))
        }
    };
    let _ = chunks.send(last).await;
}

fn finished_chunk(tokens: TokenCount) -> Chunk {
    Ok(encode(&StreamEvent::Finished { tokens }))
}

fn encode(event: &StreamEvent) -> Bytes {
    let data = serde_json::to_string(event).unwrap_or_default();
    encode_event("", "", &data)
}

struct Stream<'a> {
    state: &'a EngineState,
    request: &'a StreamRequest,
    chunks: &'a mpsc::Sender<Chunk>,
    faults: watch::Receiver<FaultSpec<EngineFault>>,
}

impl Stream<'_> {
    async fn run(mut self) -> Result<(), StreamEnd> {
        let endpoint_version = self.state.settings.endpoint_version.clone();
        self.send(&StreamEvent::Opened { endpoint_version }).await?;
        let _slot = self.state.acquire_slot(self.request.priority).await;
        let uncached = self.state.prefill(&self.request.prompt);
        tokio::time::sleep(EngineState::prefill_time(uncached).duration()).await;
        let mut next_token_at = Instant::now();
        let start = self.request.prefix.len() as u32;
        for index in (start..self.request.max_tokens.get()).map(TokenIndex::new) {
            next_token_at = next_token_at.max(Instant::now()) + self.token_interval();
            tokio::time::sleep_until(next_token_at).await;
            self.emit(index).await?;
        }
        Ok(())
    }

    /// Sends the token at an index, subject to the current fault.
    async fn emit(&mut self, index: TokenIndex) -> Result<(), StreamEnd> {
        match self.fault_at(index) {
            EngineFault::Die | EngineFault::Cut => return Err(StreamEnd::ConnectionAborted),
            EngineFault::Garbage => return self.send_bytes(Bytes::from("\u{7f}%%%\n\n")).await,
            EngineFault::Truncate => return Err(StreamEnd::Truncated),
            EngineFault::Skip => return Ok(()),
            EngineFault::Repeat => self.send_token(index).await?,
            EngineFault::Pause => {
                let cleared = self
                    .faults
                    .wait_for(|fault_spec| fault_spec.fault != EngineFault::Pause)
                    .await;
                cleared.map_err(|_| StreamEnd::ConnectionAborted)?;
            }
            _ => {}
        }
        self.state.count(|counters| counters.generated_tokens += 1);
        self.send_token(index).await
    }

    async fn send_token(&self, index: TokenIndex) -> Result<(), StreamEnd> {
        let version = &self.state.settings.endpoint_version;
        let token = completion::token_at(&self.request.prompt, version, index);
        let text = completion::token_text(token);
        self.send(&StreamEvent::Token {
            attempt: self.request.attempt,
            index,
            token,
            text,
        })
        .await
    }

    fn fault_at(&self, index: TokenIndex) -> EngineFault {
        let fault_spec = self.faults.borrow();
        match fault_spec.at_index {
            Some(at) if index < at => EngineFault::None,
            // Only the token at `at` is omitted; the rest of the stream continues.
            Some(at) if fault_spec.fault == EngineFault::Skip && index > at => EngineFault::None,
            _ => fault_spec.fault,
        }
    }

    fn token_interval(&self) -> Duration {
        let fault_spec = self.faults.borrow();
        let is_slowed = match fault_spec.fault {
            EngineFault::Slow => true,
            EngineFault::SlowUnderLoad => self.state.is_half_full(),
            _ => false,
        };
        let delay = if is_slowed {
            fault_spec.delay_ms.unwrap_or_default()
        } else {
            Default::default()
        };
        (self.state.settings.pace_ms.saturating_add(delay)).duration()
    }

    async fn send(&self, event: &StreamEvent) -> Result<(), StreamEnd> {
        self.send_bytes(encode(event)).await
    }

    async fn send_bytes(&self, bytes: Bytes) -> Result<(), StreamEnd> {
        self.chunks
            .send(Ok(bytes))
            .await
            .map_err(|_| StreamEnd::Cancelled)
    }
}
