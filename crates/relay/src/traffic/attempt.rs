//! One attempt: a request at one endpoint, as a task that tells what came.

use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use parsleylatch_decide::relay::Choice;
use parsleylatch_endpoint::{ConnectionKey, ConnectionRules, SendError, is_connection_header};
use parsleylatch_http::{EventFramer, RawEvent, describe};
use parsleylatch_types::{Millis, StreamEventId};
use tokio::{
    sync::mpsc,
    task::{AbortHandle, spawn_local},
};

use super::{
    job::Job,
    state::{Traffic, connection_key},
};
use crate::codec::{ForwardMetadata, ResponseMetadata};

/// Longest wait for a connection: several trips between regions.
pub(crate) const CONNECT_TIMEOUT_MS: Millis = Millis::new(250);
/// Age of an unused connection up to which a request that may run again is sent on it.
const IDLE_LIMIT_MS: Millis = Millis::new(1_500);
/// As before, for a request that may run once: endpoints drop unused connections,
/// and what was sent on one may have run.
const NON_REPEATABLE_IDLE_LIMIT_MS: Millis = Millis::new(200);
/// Largest answer that is not a stream.
const RESPONSE_LIMIT_BYTES: usize = 8 << 20;
/// Events that may wait for the exchange.
const EVENT_BUFFER: usize = 64;

/// Whole answer of an endpoint.
#[derive(Debug)]
pub(crate) struct FullResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) metadata: ResponseMetadata,
}

/// What came of an attempt.
#[derive(Debug)]
pub(crate) enum AttemptEvent {
    /// No connection could be made.
    Unreachable(String),
    /// Nothing was written.
    Unsent(String),
    /// The connection broke, or what came is no answer to the request.
    Lost(String),
    /// A whole answer.
    Response(Box<FullResponse>),
    /// Head of a stream.
    Head(Box<ResponseHead>),
    /// Events that came together.
    Events(Vec<RawEvent>),
    /// The stream ended as whole.
    Finished,
}

/// Head of a stream of events.
#[derive(Debug)]
pub(crate) struct ResponseHead {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) metadata: ResponseMetadata,
}

/// A running attempt; dropped, it closes its connection.
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
        let (sender, events) = mpsc::channel(EVENT_BUFFER);
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

    /// Next thing that came; a task that ended silently has lost the attempt.
    pub(crate) async fn next(&mut self) -> AttemptEvent {
        let event = self.events.recv().await;
        event.unwrap_or_else(|| AttemptEvent::Lost("the attempt ended".to_owned()))
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
    let passed = job.headers.iter().filter(|(name, _)| {
        !is_connection_header(name)
            && !(codec.is_system_header)(name)
            && *name != header::CONTENT_LENGTH
            && *name != header::EXPECT
    });
    for (name, value) in passed {
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
        let idle_limit_ms = match repeat.may_run_again() {
            true => IDLE_LIMIT_MS,
            false => NON_REPEATABLE_IDLE_LIMIT_MS,
        };
        let rules = ConnectionRules {
            connect_timeout_ms: CONNECT_TIMEOUT_MS,
            idle_limit_ms,
        };
        let opened = match traffic.connections.send(&key, rules, request).await {
            Ok(opened) => opened,
            Err(error) => return send_event(&events, send_failure(error)).await,
        };
        let (response, connection) = opened.into_parts();
        let (parts, body) = response.into_parts();
        let metadata = (traffic.shared.codec.responses.read)(parts.status, &parts.headers);
        if metadata
            .id
            .as_deref()
            .is_some_and(|id| id != job.metadata.id.as_str())
        {
            let reason = "the answer belongs to another request".to_owned();
            return send_event(&events, AttemptEvent::Lost(reason)).await;
        }
        let is_stream = repeat.is_stream() && parts.status.is_success();
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
                .give_back(connection, job.idle_connection_limit);
        }
    }
}

async fn send_event(events: &mpsc::Sender<AttemptEvent>, event: AttemptEvent) {
    // An exchange that has ended does not listen.
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

/// Reads a whole answer; returns whether its connection can be used again.
async fn read_full_response(
    events: &mpsc::Sender<AttemptEvent>,
    head: ResponseHead,
    mut body: Incoming,
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
                send_event(events, AttemptEvent::Lost(describe(&error))).await;
                return false;
            }
        }
        if received.len() > RESPONSE_LIMIT_BYTES {
            let reason = "the answer is too large".to_owned();
            send_event(events, AttemptEvent::Lost(reason)).await;
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

/// Passes whole events on; returns whether the connection can be used again.
async fn relay_stream(
    events: &mpsc::Sender<AttemptEvent>,
    head: ResponseHead,
    mut body: Incoming,
) -> bool {
    send_event(events, AttemptEvent::Head(Box::new(head))).await;
    let mut framer = EventFramer::new();
    while let Some(frame) = body.frame().await {
        let frame = match frame {
            Ok(frame) => frame,
            Err(error) => {
                send_event(events, AttemptEvent::Lost(describe(&error))).await;
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
                AttemptEvent::Lost("an event is too long".to_owned()),
            )
            .await;
            return false;
        }
    }
    if framer.rest() > 0 {
        send_event(
            events,
            AttemptEvent::Lost("the last event is cut".to_owned()),
        )
        .await;
        return false;
    }
    send_event(events, AttemptEvent::Finished).await;
    true
}
