//! One attempt: a request to one endpoint, run as a task that reports events.

use std::rc::Rc;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode, header};
use http_body_util::Full;
use parsleylatch_decide::relay::Choice;
use parsleylatch_endpoint::{ConnectionSettings, OpenConnection, SendError, is_connection_header};
use parsleylatch_http::RawEvent;
use parsleylatch_types::{ExchangeId, Millis, StreamEventId};
use tokio::{
    sync::mpsc,
    task::{AbortHandle, spawn_local},
};

use super::{
    byte_window::ByteWindow,
    job::Job,
    response_reader::{BodyRest, ResponseReader},
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
/// Media type of a stream of events.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// Response of an endpoint, other than a stream.
#[derive(Debug)]
pub(crate) struct EndpointResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) metadata: ResponseMetadata,
    /// What was read of the body.
    pub(crate) body: Vec<Bytes>,
    /// What follows of a large body; `None` if the body is complete.
    pub(crate) rest: Option<BodyRest>,
}

/// Event of an attempt.
#[derive(Debug)]
pub(crate) enum AttemptEvent {
    /// No connection could be established.
    Unreachable(String),
    /// The endpoint did not accept the connection in time.
    Unanswered(String),
    /// The connection failed before any of the request was written.
    Unsent(String),
    /// The connection was lost.
    Lost(String),
    /// The response is invalid or may belong to another request.
    Invalid(String),
    /// The process has no memory left for the response.
    MemoryUsedUp,
    /// A response, complete unless it is large.
    Response(Box<EndpointResponse>),
    /// Another part of the body of a large response.
    BodyPart(Bytes),
    /// The body of a large response is complete.
    BodyEnd,
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
    events: mpsc::UnboundedReceiver<AttemptEvent>,
    window: Rc<ByteWindow>,
    task: AbortHandle,
}

impl Attempt {
    /// Sends the request to the chosen endpoint.
    pub(crate) fn start(
        traffic: &Rc<Traffic>,
        job: &Rc<Job>,
        choice: &Choice,
        last_event: Option<StreamEventId>,
        window: &Rc<ByteWindow>,
    ) -> Self {
        // What waits in the queue is bounded by the window.
        let (sender, events) = mpsc::unbounded_channel();
        let runner = Runner {
            traffic: Rc::clone(traffic),
            job: Rc::clone(job),
            choice: choice.clone(),
            last_event,
            reader: ResponseReader {
                events: sender,
                window: Rc::clone(window),
            },
        };
        let task = spawn_local(runner.run()).abort_handle();
        Self {
            events,
            window: Rc::clone(window),
            task,
        }
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
        self.window.forget_wait();
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
    choice: Choice,
    last_event: Option<StreamEventId>,
    reader: ResponseReader,
}

impl Runner {
    async fn run(self) {
        let Self {
            traffic,
            job,
            choice,
            last_event,
            reader,
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
        let key = connection_key(&choice.endpoint);
        let began_at = traffic.now();
        let opened = traffic.connections.open(&key, rules, Some(id)).await;
        let is_connect = match &opened {
            Ok(ready) => !ready.is_reused(),
            Err(error) => matches!(error, SendError::Unanswered { .. }),
        };
        if is_connect {
            let service = &job.spec.service;
            traffic
                .turns
                .record_connect(service, began_at, traffic.now());
        }
        let ready = match opened {
            Ok(ready) => ready,
            Err(error) => return reader.report(send_failure(error)),
        };
        let turns = &traffic.turns;
        turns.look_once_more(traffic.now(), job.is_first).await;
        if job.caller.is_gone() {
            // The exchange learns of it in its next turn, and ends the attempt.
            traffic.connections.keep(ready, job.idle_connection_limit);
            return std::future::pending().await;
        }
        if traffic.now() >= job.spec.deadline {
            traffic.connections.keep(ready, job.idle_connection_limit);
            let reason = "the deadline passed before the request was sent".to_owned();
            return reader.report(AttemptEvent::Unsent(reason));
        }
        let request = build_request(&traffic, &job, &choice, last_event);
        let opened = match ready.send(request).await {
            Ok(opened) => opened,
            Err(error) => return reader.report(send_failure(error)),
        };
        let (response, mut connection) = opened.into_parts();
        let (parts, body) = response.into_parts();
        let metadata = (traffic.shared.codec.responses.read)(parts.status, &parts.headers);
        if is_foreign(&metadata, id, &connection) {
            let reason = "response may belong to another request".to_owned();
            return reader.report(AttemptEvent::Invalid(reason));
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
            reader.read_stream(head, body).await
        } else {
            let is_repeatable = repeat.may_run_again();
            reader.read_response(head, body, is_repeatable).await
        };
        if is_reusable {
            traffic.release(connection, job.idle_connection_limit);
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

fn send_failure(error: SendError) -> AttemptEvent {
    let reason = error.to_string();
    match error {
        SendError::Unreachable { .. } => AttemptEvent::Unreachable(reason),
        SendError::Unanswered { .. } => AttemptEvent::Unanswered(reason),
        SendError::Unsent { .. } => AttemptEvent::Unsent(reason),
        SendError::Lost { .. } => AttemptEvent::Lost(reason),
        SendError::InvalidStatus { .. } => AttemptEvent::Invalid(reason),
    }
}
