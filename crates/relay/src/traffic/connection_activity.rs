//! What a caller's connection is doing, for its timeouts and to report a request that gets
//! no complete response.

use std::{
    cell::{Cell, RefCell},
    pin::Pin,
    rc::{Rc, Weak},
    sync::Arc,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use parsleylatch_decide::relay::CallerLimits;
use parsleylatch_types::{ExchangeId, MonoTime};
use tokio::time::Instant;

use super::{
    body::{RelayBody, StreamAborted},
    request_handler,
};
use crate::{shared::Shared, telemetry::RelayCounter};

/// A request whose response has not been sent.
struct OpenRequest {
    id: Option<ExchangeId>,
    arrived_at: MonoTime,
    /// Whether the HTTP library has taken the whole response. Its bytes may wait in the
    /// library's write buffer.
    is_buffered: bool,
}

/// Activity of one connection. Reports the open request when it is dropped.
pub(crate) struct ConnectionActivity {
    shared: Arc<Shared>,
    request: RefCell<Option<OpenRequest>>,
    /// When the connection was accepted, or its last response was sent.
    idle_since: Cell<MonoTime>,
    /// When the HTTP library had taken its last response, before the caller can have it.
    responded_at: Cell<Option<MonoTime>>,
    /// Since when the caller has taken none of the bytes that wait to be written.
    blocked_since: Cell<Option<MonoTime>>,
    /// Reason for which the connection ended.
    failure: RefCell<Option<String>>,
}

impl ConnectionActivity {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self {
            idle_since: Cell::new(shared.now()),
            shared,
            responded_at: Cell::default(),
            blocked_since: Cell::default(),
            request: RefCell::default(),
            failure: RefCell::default(),
        }
    }

    /// Records that a request has arrived.
    pub(crate) fn begin_request(self: &Rc<Self>) -> RequestGuard {
        *self.request.borrow_mut() = Some(OpenRequest {
            id: None,
            arrived_at: self.shared.now(),
            is_buffered: false,
        });
        RequestGuard {
            activity: Rc::clone(self),
            presence: Rc::default(),
            is_complete: false,
        }
    }

    /// When the connection became idle; `None` while a request is in progress.
    pub(crate) fn idle_since(&self) -> Option<MonoTime> {
        let is_idle = self.request.borrow().is_none();
        is_idle.then(|| self.idle_since.get())
    }

    /// Since when the caller has taken none of the bytes that wait to be written.
    pub(crate) fn blocked_since(&self) -> Option<MonoTime> {
        self.blocked_since.get()
    }

    /// Records an attempt to write; `has_progress` is `false` if the caller took nothing.
    pub(crate) fn record_write(&self, has_progress: bool) {
        let since = match has_progress {
            true => None,
            false => self.blocked_since.get().or_else(|| Some(self.now())),
        };
        self.blocked_since.set(since);
    }

    /// Records that all bytes that were written have left the process.
    pub(crate) fn record_flush(&self) {
        self.blocked_since.set(None);
        let mut request = self.request.borrow_mut();
        if request.take_if(|it| it.is_buffered).is_some() {
            self.idle_since.set(self.now());
        }
    }

    /// Limits of the configuration in force.
    pub(crate) fn limits(&self) -> CallerLimits {
        request_handler::limits(&self.shared.snapshot.load())
    }

    pub(crate) fn now(&self) -> MonoTime {
        self.shared.now()
    }

    pub(crate) fn to_instant(&self, time: MonoTime) -> Instant {
        self.shared.clock.to_instant(time)
    }

    /// Records the reason for which the connection ends.
    pub(crate) fn record_failure(&self, reason: String) {
        if self.request.borrow().is_none() {
            log::info!(reason = reason.as_str(); "caller connection failed");
        }
        *self.failure.borrow_mut() = Some(reason);
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
        let blocked_for = self.blocked_since.get().map(|it| shared.now().since(it));
        log::info!(
            id:% = request.id.as_ref().map_or("-", ExchangeId::as_str),
            reason = failure.as_deref().unwrap_or("the connection's task ended"),
            is_buffered = request.is_buffered,
            blocked_ms = blocked_for.unwrap_or_default().millis().get(),
            age_ms = shared.now().since(request.arrived_at).millis().get(),
            configuration_revision = revision.unwrap_or_default().get();
            "caller connection ended before the response"
        );
    }
}

/// A request in progress; dropped with its response.
pub(crate) struct RequestGuard {
    activity: Rc<ConnectionActivity>,
    presence: Rc<()>,
    /// Whether the whole response was passed to the connection.
    is_complete: bool,
}

/// Whether the caller of a request still waits for its response, as far as the connection has
/// been polled.
pub(crate) struct CallerPresence(Weak<()>);

impl CallerPresence {
    pub(crate) fn is_gone(&self) -> bool {
        self.0.strong_count() == 0
    }
}

impl RequestGuard {
    pub(crate) fn presence(&self) -> CallerPresence {
        CallerPresence(Rc::downgrade(&self.presence))
    }

    /// Time before which the request can't have been sent; `None` for the first of its connection.
    pub(crate) fn responded_at(&self) -> Option<MonoTime> {
        self.activity.responded_at.get()
    }

    /// Records the id of the request.
    pub(crate) fn identify(&self, id: &ExchangeId) {
        if let Some(request) = self.activity.request.borrow_mut().as_mut() {
            request.id = Some(id.clone());
        }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.activity.responded_at.set(Some(self.activity.now()));
        if let Some(request) = self.activity.request.borrow_mut().as_mut() {
            request.is_buffered = self.is_complete;
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
        // A body of known length is not polled after its last byte.
        if matches!(polled, Poll::Ready(None)) || self.body.is_end_stream() {
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
