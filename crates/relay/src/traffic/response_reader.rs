//! Reads the body of a response and reports its parts to the exchange.
//!
//! A small body is held until it is complete, so that the request can still be repeated. The
//! rest of a larger one is passed on as fast as its caller takes it. An idempotent call goes
//! to another endpoint if a body of unknown length has no end, so such a body is held for
//! longer while few others are.

use std::{pin::pin, rc::Rc, sync::Arc};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body as _;
use parsleylatch_http::{EventFramer, RawEvent, ReceivedBody, error_chain};
use tokio::sync::mpsc;

use super::{
    attempt::{AttemptEvent, EndpointResponse, ResponseHead},
    byte_window::{ByteWindow, MemoryUsedUp},
};
use crate::memory::{Claim, MemoryBudget, Reservation};

/// Maximum size of a response that is not a stream.
const RESPONSE_LIMIT_BYTES: usize = 8 << 20;
/// Size up to which a body is always held until it is complete.
const HOLD_BYTES: usize = 64 << 10;

/// Parts of a response, as they are passed to the exchange.
pub(super) struct ResponseReader {
    pub(super) events: mpsc::UnboundedSender<AttemptEvent>,
    pub(super) window: Rc<ByteWindow>,
}

impl ResponseReader {
    /// Reports an event; returns `false`, as the value of a reader whose connection can't be
    /// reused.
    fn fail(&self, event: AttemptEvent) -> bool {
        self.report(event);
        false
    }

    pub(super) fn report(&self, event: AttemptEvent) {
        // Fails only if the exchange has ended.
        let _ = self.events.send(event);
    }

    /// Reads a response other than a stream; returns whether its connection can be reused.
    pub(super) async fn read_response(
        &self,
        head: ResponseHead,
        mut body: ReceivedBody,
        is_repeatable: bool,
    ) -> bool {
        let length = body.size_hint().exact();
        if length.is_some_and(|it| it > RESPONSE_LIMIT_BYTES as u64) {
            return self.fail(too_large());
        }
        let hold_bytes = match is_repeatable && length.is_none() {
            true => RESPONSE_LIMIT_BYTES,
            false => HOLD_BYTES,
        };
        let mut held = HeldBody::new(self.window.budget());
        loop {
            let chunk = match next_chunk(&mut body).await {
                Ok(chunk) => chunk,
                Err(reason) => return self.fail(AttemptEvent::Lost(reason)),
            };
            let Some(chunk) = chunk else {
                let response = held.into_response(head, None);
                self.report(AttemptEvent::Response(Box::new(response)));
                return true;
            };
            let size = held.bytes + chunk.len();
            if size > RESPONSE_LIMIT_BYTES {
                return self.fail(too_large());
            }
            if size <= hold_bytes && held.try_push(&chunk) {
                continue;
            }
            if size <= HOLD_BYTES {
                return self.fail(AttemptEvent::MemoryUsedUp);
            }
            let read = held.bytes;
            let response = held.into_response(head, Some(BodyRest { length }));
            self.report(AttemptEvent::Response(Box::new(response)));
            return self.pass_on(body, length, read, chunk).await;
        }
    }

    /// Passes on a body from `chunk` on.
    async fn pass_on(
        &self,
        mut body: ReceivedBody,
        length: Option<u64>,
        mut read: usize,
        mut chunk: Bytes,
    ) -> bool {
        loop {
            read += chunk.len();
            if read > RESPONSE_LIMIT_BYTES {
                return self.fail(too_large());
            }
            let Ok(part) = self.window.admit(chunk).await else {
                return self.fail(AttemptEvent::MemoryUsedUp);
            };
            // The caller has a body of known length once it has its last byte, so the end has
            // to be reported with it.
            let is_last = length == Some(read as u64);
            let mut part = Some(part);
            if !is_last {
                self.report_part(part.take());
            }
            chunk = match next_chunk(&mut body).await {
                Ok(Some(chunk)) => chunk,
                Ok(None) => {
                    self.report_part(part);
                    self.report(AttemptEvent::BodyEnd);
                    return true;
                }
                Err(reason) => return self.fail(AttemptEvent::Lost(reason)),
            };
        }
    }

    fn report_part(&self, part: Option<Bytes>) {
        if let Some(part) = part {
            self.report(AttemptEvent::BodyPart(part));
        }
    }

    /// Passes on complete events; returns whether the connection can be reused.
    pub(super) async fn read_stream(&self, head: ResponseHead, mut body: ReceivedBody) -> bool {
        self.report(AttemptEvent::Head(Box::new(head)));
        let mut framer = EventFramer::new();
        let mut memory = Reservation::empty(self.window.budget());
        loop {
            let chunk = match next_chunk(&mut body).await {
                Ok(Some(chunk)) => chunk,
                Ok(None) => break,
                Err(reason) => return self.fail(AttemptEvent::Lost(reason)),
            };
            if !reserve_buffer(&mut memory, framer.buffer_limit(chunk.len())) {
                return self.fail(AttemptEvent::MemoryUsedUp);
            }
            framer.push(&chunk);
            match self.pass_on_events(&mut framer).await {
                Ok(true) => {
                    framer.shrink_buffer();
                    if !reserve_buffer(&mut memory, framer.buffer_limit(0)) {
                        return self.fail(AttemptEvent::MemoryUsedUp);
                    }
                }
                Ok(false) => {}
                Err(MemoryUsedUp) => return self.fail(AttemptEvent::MemoryUsedUp),
            }
            if framer.is_too_long() {
                let reason = "stream event, or comments between events, too long".to_owned();
                return self.fail(AttemptEvent::Invalid(reason));
            }
        }
        if framer.incomplete_bytes() > 0 {
            let reason = "stream ended within an event".to_owned();
            return self.fail(AttemptEvent::Lost(reason));
        }
        self.report(AttemptEvent::Finished);
        true
    }

    /// Passes on the complete events of a framer, in batches that fit into the window;
    /// returns whether there was one.
    async fn pass_on_events(&self, framer: &mut EventFramer) -> Result<bool, MemoryUsedUp> {
        let mut batch = Vec::new();
        let mut has_event = false;
        while let Some(mut event) = framer.next_event() {
            has_event = true;
            let mut admitted = pin!(self.window.admit(event.bytes));
            event.bytes = tokio::select! {
                biased;
                bytes = admitted.as_mut() => bytes?,
                // The window may be full of the batch itself.
                () = std::future::ready(()) => {
                    self.report_batch(&mut batch);
                    admitted.await?
                }
            };
            batch.push(event);
        }
        self.report_batch(&mut batch);
        Ok(has_event)
    }

    fn report_batch(&self, batch: &mut Vec<RawEvent>) {
        if !batch.is_empty() {
            self.report(AttemptEvent::Events(std::mem::take(batch)));
        }
    }
}

fn too_large() -> AttemptEvent {
    AttemptEvent::Invalid("response body too large".to_owned())
}

/// Next data of a body; `None` at its end. Trailers are not forwarded.
pub(super) async fn next_chunk(body: &mut ReceivedBody) -> Result<Option<Bytes>, String> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| error_chain(&error))?;
        if let Ok(chunk) = frame.into_data() {
            return Ok(Some(chunk));
        }
    }
    Ok(None)
}

/// Reserves memory for the buffer of an event.
fn reserve_buffer(memory: &mut Reservation, bytes: usize) -> bool {
    let claim = match bytes <= 2 * HOLD_BYTES {
        true => Claim::Small,
        false => Claim::Large,
    };
    memory.try_resize_as(claim, bytes)
}

/// The part of a body that is still to be read.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyRest {
    /// Length of the whole body, if it is known.
    pub(crate) length: Option<u64>,
}

/// A body while it is held, in blocks that never move.
pub(super) struct HeldBody {
    budget: Arc<MemoryBudget>,
    blocks: Vec<Bytes>,
    last: BytesMut,
    last_memory: Reservation,
    bytes: usize,
}

impl HeldBody {
    pub(super) fn new(budget: &Arc<MemoryBudget>) -> Self {
        Self {
            budget: Arc::clone(budget),
            blocks: Vec::new(),
            last: BytesMut::new(),
            last_memory: Reservation::empty(budget),
            bytes: 0,
        }
    }

    /// Appends a chunk; returns `false`, and appends nothing, if memory is used up.
    pub(super) fn try_push(&mut self, chunk: &Bytes) -> bool {
        if self.last.len() + chunk.len() > HOLD_BYTES {
            self.seal_block();
        }
        let claim = match self.bytes + chunk.len() <= HOLD_BYTES {
            true => Claim::Small,
            false => Claim::Optional,
        };
        let is_taken = self.last_memory.try_grow_as(claim, chunk.len());
        if is_taken {
            self.last.extend_from_slice(chunk);
            self.bytes += chunk.len();
        }
        is_taken
    }

    fn seal_block(&mut self) {
        if self.last.is_empty() {
            return;
        }
        let memory = Reservation::empty(&self.budget);
        let memory = std::mem::replace(&mut self.last_memory, memory);
        let block = std::mem::take(&mut self.last).freeze();
        self.blocks.push(memory.attach(block));
    }

    pub(super) fn into_blocks(mut self) -> Vec<Bytes> {
        self.seal_block();
        self.blocks
    }

    fn into_response(self, head: ResponseHead, rest: Option<BodyRest>) -> EndpointResponse {
        EndpointResponse {
            status: head.status,
            headers: head.headers,
            metadata: head.metadata,
            body: self.into_blocks(),
            rest,
        }
    }
}
