//! One attempt: a request to one endpoint, run as a task that reports events.

use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use parsleylatch_decide::relay::Choice;
use parsleylatch_endpoint::{
    ConnectionKey, ConnectionSettings, OpenConnection, SendError, is_connection_header,
};
use parsleylatch_http::{EventFramer, RawEvent, ReceivedBody, error_chain};
use parsleylatch_types::{ExchangeId, Millis, StreamEventId};
use tokio::{
    sync::mpsc,
    task::{AbortHandle, spawn_local},
};

use super::{
    job::Job,
    state::{Traffic, connection_key},
};
use crate::codec::{ForwardMetadata, ResponseMetadata};

/// Connect timeout: several round trips between regions.
pub(crate) const CONNECT_TIMEOUT_MS: Millis = Millis::new(250);
/// Maximum idle time of a connection that is reused for a request that may run twice.
const IDLE_LIMIT_MS: Millis = Millis::new(1_500);
/// Maximum idle time of a connection that is reused for a request that must not run
/// twice: endpoints close idle connections, and a request lost on one may have run.
const NON_REPEATABLE_IDLE_LIMIT_MS: Millis = Millis::new(200);
/// Maximum size of a response that is not a stream.
const RESPONSE_LIMIT_BYTES: usize = 8 << 20;
/// Media type of a stream of events.
const EVENT_STREAM: &[u8] = b"text/event-stream";
/// Capacity of the queue of events for the exchange.
const EVENT_QUEUE_CAPACITY: usize = 64;

/// Complete response of an endpoint.
#[derive(Debug)]
pub(crate) struct FullResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) metadata: ResponseMetadata,
}

/// Event of an attempt.
#[derive(Debug)]
pub(crate) enum AttemptEvent {
    /// No connection could be established.
    Unreachable(String),
    /// The connection failed before any of the request was written.
    Unsent(String),
    /// The connection was lost.
    Lost(String),
    /// The response is invalid or may belong to another request.
    Invalid(String),
    /// A complete response.
    Response(Box<FullResponse>),
    /// Head of a stream.
    Head(Box<ResponseHead>),
    /// Stream events that arrived together.
    Events(Vec<RawEvent>),
    /// The stream ended after a complete event.
    Finished,
}

/// Status, headers and metadata of a response.
#[derive(Debug)]
pub(crate) struct ResponseHead {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) metadata: ResponseMetadata,
}

/// A running attempt; dropping it closes its connection.
pub(crate) struct Attempt {
    events: mpsc::Receiver<AttemptEvent>,
    task: AbortHandle,
}

impl Attempt {
    /// Sends the request to the chosen endpoint.
    pub(crate) fn start(
        traffic: &Rc<Traffic>,
        job: &Rc<Job>,
        choice: &Choice,
        last_event: Option<StreamEventId>,
    ) -> Self {
        let (sender, events) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        let runner = Runner {
            traffic: Rc::clone(traffic),
            job: Rc::clone(job),
            key: connection_key(&choice.endpoint),
            request: build_request(traffic, job, choice, last_event),
            events: sender,
        };
        let task = spawn_local(runner.run()).abort_handle();
        Self { events, task }
    }

    /// Waits for the next event; returns `Lost` if the task has ended without one.
    pub(crate) async fn next(&mut self) -> AttemptEvent {
        let event = self.events.recv().await;
        event.unwrap_or_else(|| AttemptEvent::Lost("attempt ended without a result".to_owned()))
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn build_request(
    traffic: &Traffic,
    job: &Job,
    choice: &Choice,
    last_event: Option<StreamEventId>,
) -> Request<Full<Bytes>> {
    let codec = &traffic.shared.codec.requests;
    let mut request = Request::new(Full::new(job.body.clone()));
    *request.method_mut() = job.method.clone();
    *request.uri_mut() = job.path.clone().into();
    let headers = request.headers_mut();
    let forwarded = job.headers.iter().filter(|(name, _)| {
        !is_connection_header(name)
            && !(codec.is_system_header)(name)
            && *name != header::CONTENT_LENGTH
            && *name != header::EXPECT
    });
    for (name, value) in forwarded {
        headers.append(name.clone(), value.clone());
    }
    let remaining = job.spec.deadline.since(traffic.now()).millis();
    let metadata = ForwardMetadata {
        id: &job.metadata.id,
        remaining_ms: remaining.max(Millis::new(1)),
        endpoint: &choice.endpoint.key.id,
        workspace: job.workspace.as_ref().map(|it| &it.id),
        rank: job
            .workspace
            .as_ref()
            .and_then(|it| it.rank)
            .or(Some(job.route.rank)),
        last_event,
        backup: choice.backup.as_ref().map(|it| it.address),
        copy: choice
            .copy
            .as_ref()
            .map(|copy| (choice.endpoint.address, &copy.source)),
    };
    (codec.write)(&metadata, headers);
    request
}

struct Runner {
    traffic: Rc<Traffic>,
    job: Rc<Job>,
    key: ConnectionKey,
    request: Request<Full<Bytes>>,
    events: mpsc::Sender<AttemptEvent>,
}

impl Runner {
    async fn run(self) {
        let Self {
            traffic,
            job,
            key,
            request,
            events,
        } = self;
        let repeat = job.spec.repeat;
        let max_idle_ms = match repeat.may_run_again() {
            true => IDLE_LIMIT_MS,
            false => NON_REPEATABLE_IDLE_LIMIT_MS,
        };
        let rules = ConnectionSettings {
            connect_timeout_ms: CONNECT_TIMEOUT_MS,
            max_idle_ms,
        };
        let id = &job.metadata.id;
        let sent = traffic.connections.send(&key, rules, Some(id), request);
        let opened = match sent.await {
            Ok(opened) => opened,
            Err(error) => return send_event(&events, send_failure(error)).await,
        };
        let (response, mut connection) = opened.into_parts();
        let (parts, body) = response.into_parts();
        let metadata = (traffic.shared.codec.responses.read)(parts.status, &parts.headers);
        if is_foreign(&metadata, id, &connection) {
            let reason = "response may belong to another request".to_owned();
            return send_event(&events, AttemptEvent::Invalid(reason)).await;
        }
        if metadata.is_not_run || metadata.is_misdirected {
            connection.record_refusal(id.clone());
        }
        let is_stream =
            repeat.is_stream() && parts.status.is_success() && may_be_events(&parts.headers);
        let head = ResponseHead {
            status: parts.status,
            headers: parts.headers,
            metadata,
        };
        let is_reusable = if is_stream {
            relay_stream(&events, head, body).await
        } else {
            read_full_response(&events, head, body).await
        };
        if is_reusable {
            traffic
                .connections
                .release(connection, job.idle_connection_limit);
        }
    }
}

/// Whether a body may consist of events, by its type if it has one.
fn may_be_events(headers: &HeaderMap) -> bool {
    headers.get(header::CONTENT_TYPE).is_none_or(|it| {
        let media_type = it.as_bytes().split(|byte| *byte == b';').next();
        media_type.is_some_and(|it| it.trim_ascii().eq_ignore_ascii_case(EVENT_STREAM))
    })
}

/// Whether a response may belong to another request.
fn is_foreign(metadata: &ResponseMetadata, id: &ExchangeId, connection: &OpenConnection) -> bool {
    match metadata.id.as_deref() {
        Some(found) => found != id.as_str(),
        // On a connection in use again, it may be a late response to another request.
        None => connection.is_reused(),
    }
}

async fn send_event(events: &mpsc::Sender<AttemptEvent>, event: AttemptEvent) {
    // Fails only if the exchange has ended.
    let _ = events.send(event).await;
}

fn send_failure(error: SendError) -> AttemptEvent {
    let reason = error.to_string();
    match error {
        SendError::Unreachable { .. } => AttemptEvent::Unreachable(reason),
        SendError::Unsent { .. } => AttemptEvent::Unsent(reason),
        SendError::Lost { .. } => AttemptEvent::Lost(reason),
    }
}

/// Reads a complete response; returns whether its connection can be reused.
async fn read_full_response(
    events: &mpsc::Sender<AttemptEvent>,
    head: ResponseHead,
    mut body: ReceivedBody,
) -> bool {
    let mut received = BytesMut::new();
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => {
                if let Ok(chunk) = frame.into_data() {
                    received.extend_from_slice(&chunk);
                }
            }
            Err(error) => {
                send_event(events, AttemptEvent::Lost(error_chain(&error))).await;
                return false;
            }
        }
        if received.len() > RESPONSE_LIMIT_BYTES {
            let reason = "response body too large".to_owned();
            send_event(events, AttemptEvent::Invalid(reason)).await;
            return false;
        }
    }
    let response = FullResponse {
        status: head.status,
        headers: head.headers,
        body: received.freeze(),
        metadata: head.metadata,
    };
    send_event(events, AttemptEvent::Response(Box::new(response))).await;
    true
}

/// Forwards complete events; returns whether the connection can be reused.
async fn relay_stream(
    events: &mpsc::Sender<AttemptEvent>,
    head: ResponseHead,
    mut body: ReceivedBody,
) -> bool {
    send_event(events, AttemptEvent::Head(Box::new(head))).await;
    let mut framer = EventFramer::new();
    while let Some(frame) = body.frame().await {
        let frame = match frame {
            Ok(frame) => frame,
            Err(error) => {
                send_event(events, AttemptEvent::Lost(error_chain(&error))).await;
                return false;
            }
        };
        let Ok(chunk) = frame.into_data() else {
            continue;
        };
        framer.push(&chunk);
        let mut complete = Vec::new();
        while let Some(event) = framer.next_event() {
            complete.push(event);
        }
        if !complete.is_empty() && events.send(AttemptEvent::Events(complete)).await.is_err() {
            return false;
        }
        if framer.is_too_long() {
            send_event(
                events,
                AttemptEvent::Invalid(
                    "stream event, or comments between events, too long".to_owned(),
                ),
            )
            .await;
            return false;
        }
    }
    if framer.incomplete_bytes() > 0 {
        send_event(
            events,
            AttemptEvent::Lost("stream ended within an event".to_owned()),
        )
        .await;
        return false;
    }
    send_event(events, AttemptEvent::Finished).await;
    true
}
