//! Timeouts of a caller's connection.
//!
//! The HTTP library has one timeout, which starts when a connection becomes idle, also
//! limits the head that follows, and is fixed when the connection is accepted. Here the
//! idle time and the time for a head have their own limits, those of the configuration
//! in force.

use std::{
    future::poll_fn,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use parsleylatch_http::HeadInspection;
use parsleylatch_types::{Millis, MonoTime};
use tokio::time::{Sleep, sleep};

use super::connection_activity::ConnectionActivity;

/// Maximum time for which a caller may take none of the bytes of a response.
const WRITE_TIMEOUT_MS: Millis = Millis::new(15_000);

/// What a connection took too long for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionTimeout {
    /// Sending the next request, for as long as no other connection needs the place.
    Idle,
    /// Completing a head.
    Head,
    /// Taking any bytes of a response.
    Write,
}

/// Timer of one connection.
pub(crate) struct ConnectionTimer {
    activity: Rc<ConnectionActivity>,
    inspection: HeadInspection,
    sleep: Pin<Box<Sleep>>,
    /// When an incomplete head was noticed.
    head_since: Option<MonoTime>,
}

impl ConnectionTimer {
    pub(crate) fn new(activity: Rc<ConnectionActivity>, inspection: HeadInspection) -> Self {
        Self {
            activity,
            inspection,
            sleep: Box::pin(sleep(Duration::ZERO)),
            head_since: None,
        }
    }

    /// Waits for a timeout. Notices changes of the connection only when it is polled, so
    /// the task that polls the connection has to poll this afterwards.
    pub(crate) async fn expired(&mut self) {
        poll_fn(|context| self.poll_expired(context)).await;
    }

    /// The timeout that has passed.
    pub(crate) fn expired_now(&mut self) -> Option<ConnectionTimeout> {
        let now = self.activity.now();
        let expired = self.next_deadline().filter(|(_, it)| *it <= now);
        expired.map(|(timeout, _)| timeout)
    }

    /// Whether a head has begun to arrive.
    pub(crate) fn has_partial_head(&self) -> bool {
        self.inspection.has_partial_head()
    }

    fn poll_expired(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let Some((_, deadline)) = self.next_deadline() else {
            return Poll::Pending;
        };
        let deadline = self.activity.to_instant(deadline);
        if self.sleep.deadline() != deadline {
            self.sleep.as_mut().reset(deadline);
        }
        self.sleep.as_mut().poll(context)
    }

    /// The next timeout and its time; `None` while a request is in progress and its caller
    /// takes the response.
    fn next_deadline(&mut self) -> Option<(ConnectionTimeout, MonoTime)> {
        if let Some(blocked_since) = self.activity.blocked_since() {
            return Some((ConnectionTimeout::Write, blocked_since + WRITE_TIMEOUT_MS));
        }
        let Some(idle_since) = self.activity.idle_since() else {
            self.head_since = None;
            return None;
        };
        let limits = self.activity.limits();
        if !self.inspection.has_partial_head() {
            self.head_since = None;
            let is_needed = self.activity.place().must_close();
            let idle_until = match is_needed {
                true => idle_since,
                false => idle_since + limits.idle_timeout_ms,
            };
            return Some((ConnectionTimeout::Idle, idle_until));
        }
        let now = self.activity.now();
        let head_since = *self.head_since.get_or_insert(now);
        Some((ConnectionTimeout::Head, head_since + limits.head_timeout_ms))
    }
}
