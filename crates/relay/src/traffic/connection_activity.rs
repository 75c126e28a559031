//! What a caller's connection is doing, to report a request that gets no complete response.

use std::{
    cell::RefCell,
    pin::Pin,
    rc::Rc,
    sync::Arc,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use parsleylatch_http::error_chain;
use parsleylatch_types::{ExchangeId, MonoTime};

use super::body::{RelayBody, StreamAborted};
use crate::{shared::Shared, telemetry::RelayCounter};

/// A request whose response is not complete.
struct OpenRequest {
    id: Option<ExchangeId>,
    arrived_at: MonoTime,
}

/// Activity of one connection. Reports the open request when it is dropped.
pub(crate) struct ConnectionActivity {
    shared: Arc<Shared>,
    request: RefCell<Option<OpenRequest>>,
    /// Error that the connection ended with.
    failure: RefCell<Option<String>>,
}

impl ConnectionActivity {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            request: RefCell::default(),
            failure: RefCell::default(),
        }
    }

    /// Records that a request has arrived.
    pub(crate) fn begin_request(self: &Rc<Self>) -> RequestGuard {
        *self.request.borrow_mut() = Some(OpenRequest {
            id: None,
            arrived_at: self.shared.now(),
        });
        RequestGuard {
            activity: Rc::clone(self),
            is_complete: false,
        }
    }

    /// Records the error that the connection ends with.
    pub(crate) fn record_failure(&self, error: &hyper::Error) {
        *self.failure.borrow_mut() = Some(error_chain(error));
        if self.request.borrow().is_none() && !error.is_timeout() {
            log::info!(reason = error_chain(error).as_str(); "caller connection failed");
        }
    }
}

impl Drop for ConnectionActivity {
    fn drop(&mut self) {
        let Some(request) = self.request.take() else {
            return;
        };
        let shared = &self.shared;
        shared.metrics.increment(RelayCounter::ResponsesCutOff);
        let failure = self.failure.take();
        let revision = shared
            .snapshot
            .load()
            .configuration
            .as_ref()
            .map(|it| it.revision());
        log::info!(
            id:% = request.id.as_ref().map_or("-", ExchangeId::as_str),
            reason = failure.as_deref().unwrap_or("the connection's task ended"),
            age_ms = shared.now().since(request.arrived_at).millis().get(),
            configuration_revision = revision.unwrap_or_default().get();
            "caller connection ended before the response"
        );
    }
}

/// A request in progress; dropped with its response.
pub(crate) struct RequestGuard {
    activity: Rc<ConnectionActivity>,
    /// Whether the whole response was passed to the connection.
    is_complete: bool,
}

impl RequestGuard {
    /// Records the id of the request.
    pub(crate) fn identify(&self, id: &ExchangeId) {
        if let Some(request) = self.activity.request.borrow_mut().as_mut() {
            request.id = Some(id.clone());
        }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        if self.is_complete {
            *self.activity.request.borrow_mut() = None;
        }
    }
}

/// Body of a response that ends its request.
pub(crate) struct GuardedBody {
    body: RelayBody,
    guard: RequestGuard,
}

impl GuardedBody {
    pub(crate) fn new(body: RelayBody, mut guard: RequestGuard) -> Self {
        // The HTTP library may drop a whole body without polling it, for example if it is
        // empty.
        guard.is_complete = matches!(body, RelayBody::Whole(_));
        Self { body, guard }
    }
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = StreamAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamAborted>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        if matches!(polled, Poll::Ready(None)) {
            self.guard.is_complete = true;
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
