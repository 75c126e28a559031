//! Simulated endpoint behind a relay: an engine that streams events and resumes
//! after any of them, or a service that answers calls. It reports each request it
//! receives, so that a test or a soak run can compare it with what callers sent.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures::stream::unfold;
use parsleylatch_http::encode_event;
use parsleylatch_types::{EndpointId, Millis};
use serde_json::{Value, json};
use strum::Display;
use tokio::sync::{mpsc, watch};
use viz::{
    Body, IntoResponse, Request, RequestLimitsExt, Response, Result, Router, StatusCode,
    types::State,
};
use xxhash_rust::xxh3::xxh3_64;

use crate::control::{self, FaultSpec};

/// Maximum size of a request body.
const MAX_REQUEST_BYTES: u64 = 1 << 20;
/// Stream chunks that may be queued for the reader.
const STREAM_QUEUE_CHUNKS: usize = 4;
/// Prompt parts that an endpoint reports as cached.
const MAX_CACHED_PROMPT_PARTS: usize = 20;
/// Age up to which a report of the state is used again.
const MAX_REPORT_AGE: Duration = Duration::from_millis(300);

/// Fault of an endpoint behind a relay. Faults of its process or its links are
/// injected from outside.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum RelayedFault {
    /// No fault.
    #[default]
    None,
    /// Responds with status 500 after running the request.
    Fail,
    /// Runs the request, then aborts the connection.
    LoseAnswer,
    /// Rejects the request as not run, without running it.
    Reject,
    /// Delays each response and each event by `delay_ms`.
    Slow,
    /// Aborts streams after half of their remaining events, and responses within their body.
    Cut,
    /// Responds with a different text, and omits an event from each stream.
    Garble,
    /// Responds that the request was not run, although it was reported as run.
    FalseReject,
}

/// What an endpoint says in its responses about further requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayedNotice {
    /// It leaves; it still runs what arrives.
    Leaving,
    /// It rejects all requests, and wants none for this long.
    Pause(Millis),
}

/// Notice of an endpoint, and whether its responses have it: an endpoint may violate its
/// protocol on purpose.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NoticeSpec {
    /// What the endpoint means.
    pub notice: Option<RelayedNotice>,
    /// Whether it says so.
    pub is_sent: bool,
}

/// How far an endpoint has fallen silent. Its connections stay, and it goes on where it was.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Silence {
    /// It reads, works and answers.
    #[default]
    None,
    /// It answers state requests only.
    Work,
    /// It reads nothing, answers nothing and generates nothing.
    All,
}

/// A request as the endpoint received it.
#[derive(Clone, Debug)]
pub struct ArrivedRequest {
    /// Endpoint that received it.
    pub endpoint: EndpointId,
    /// Request id given by the caller.
    pub id: String,
    /// Whether the endpoint ran it.
    pub has_run: bool,
    /// Method and path, including the query.
    pub target: String,
    /// Headers by lower-case name.
    pub headers: BTreeMap<String, String>,
    /// Digest of the body.
    pub body_digest: u64,
    /// What the response says about further requests.
    pub notice: Option<RelayedNotice>,
}

/// Callback that receives each request that arrives at an endpoint.
pub type ArrivalSink = Arc<dyn Fn(ArrivedRequest) + Send + Sync>;

/// Settings of a simulated endpoint.
#[derive(Clone)]
pub struct RelayedSettings {
    /// Id under which the endpoint is registered.
    pub id: EndpointId,
    /// Interval between two events unless the request's `event-interval-ms` says otherwise, and
    /// duration of a call.
    pub pace_ms: Millis,
    /// Called for each request that arrives.
    pub arrivals: ArrivalSink,
}

struct RelayedState {
    settings: RelayedSettings,
    fault: watch::Sender<FaultSpec<RelayedFault>>,
    notice: watch::Sender<NoticeSpec>,
    silence: watch::Sender<Silence>,
    /// Requests that have been read and not yet answered, by number of the run.
    runs: Mutex<BTreeMap<u64, Run>>,
    next_run: AtomicU64,
    /// When requests have run to their end, by id.
    finished: Mutex<HashMap<String, Instant>>,
    /// Last report of the state, and when it was made.
    report: Mutex<Option<(Instant, Value)>>,
    /// Last prompt parts of the most recently read prompts.
    prompt_parts: Mutex<VecDeque<String>>,
}

/// A request at work.
struct Run {
    request_id: String,
    /// Events generated so far.
    events: u64,
}

/// Keeps a run in the state until dropped.
struct RunEntry {
    state: Arc<RelayedState>,
    number: u64,
}

impl RunEntry {
    fn create(state: &Arc<RelayedState>, request_id: &str) -> Self {
        let number = state.next_run.fetch_add(1, Ordering::Relaxed);
        let run = Run {
            request_id: request_id.to_owned(),
            events: 0,
        };
        state.runs().insert(number, run);
        Self {
            state: Arc::clone(state),
            number,
        }
    }

    fn record_event(&self, event: u64) {
        if let Some(run) = self.state.runs().get_mut(&self.number) {
            run.events = event;
        }
    }
}

impl Drop for RunEntry {
    fn drop(&mut self) {
        self.state.runs().remove(&self.number);
    }
}

impl RelayedState {
    fn prompt_parts(&self) -> MutexGuard<'_, VecDeque<String>> {
        self.prompt_parts
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Notice that responses have.
    fn sent_notice(&self) -> Option<RelayedNotice> {
        let spec = *self.notice.borrow();
        spec.notice.filter(|_| spec.is_sent)
    }

    fn finished(&self) -> MutexGuard<'_, HashMap<String, Instant>> {
        self.finished.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn runs(&self) -> MutexGuard<'_, BTreeMap<u64, Run>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits while the endpoint is silent beyond `limit`.
    async fn wait_for_silence_end(&self, limit: Silence) {
        let mut silence = self.silence.subscribe();
        // The sender is part of the state.
        let _ = silence.wait_for(|it| *it <= limit).await;
    }

    /// Report of the state, which may be up to [`MAX_REPORT_AGE`] old.
    fn report(&self) -> Value {
        let mut last = self.report.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((made_at, report)) = &*last
            && made_at.elapsed() < MAX_REPORT_AGE
        {
            return report.clone();
        }
        let runs = self.runs();
        let entries: Vec<_> = runs
            .values()
            .map(|it| json!({"request_id": it.request_id, "events": it.events}))
            .collect();
        let report = json!({"running": runs.len(), "waiting": 0, "runs": entries});
        *last = Some((Instant::now(), report.clone()));
        report
    }
}

/// A running simulated endpoint.
pub struct RelayedEndpoint {
    /// Address of the protocol.
    pub address: SocketAddr,
    state: Arc<RelayedState>,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for RelayedEndpoint {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl RelayedEndpoint {
    /// Starts an endpoint on the current Tokio runtime, on a free loopback port.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    pub fn start(settings: RelayedSettings) -> io::Result<Self> {
        let no_fault = FaultSpec::immediate(RelayedFault::None);
        let state = Arc::new(RelayedState {
            settings,
            fault: watch::Sender::new(no_fault),
            notice: watch::Sender::default(),
            silence: watch::Sender::default(),
            runs: Mutex::default(),
            next_run: AtomicU64::default(),
            finished: Mutex::default(),
            report: Mutex::default(),
            prompt_parts: Mutex::default(),
        });
        let router = Router::new()
            .get("/v1/state", get_state)
            .get("/v1/prompt-parts", get_prompt_parts)
            .post("/v1/copies", create_copy)
            .post("/stream/*", open_stream)
            .any("/*", call)
            .with(State::new(Arc::clone(&state)));
        let (address, task) = crate::serve::serve(SocketAddr::from(([127, 0, 0, 1], 0)), router)?;
        Ok(Self {
            address,
            state,
            task,
        })
    }

    /// Injects a fault, replacing the current one.
    pub fn inject_fault(&self, fault_spec: FaultSpec<RelayedFault>) {
        self.state.fault.send_replace(fault_spec);
    }

    /// Time since a request has run to its end here, if it has.
    pub fn finished_for(&self, request_id: &str) -> Option<Duration> {
        let finished = self.state.finished();
        finished.get(request_id).map(Instant::elapsed)
    }

    /// Makes the endpoint fall silent, or go on.
    pub fn set_silence(&self, silence: Silence) {
        self.state.silence.send_replace(silence);
    }

    /// Sets what the endpoint says in its responses about further requests.
    pub fn set_notice(&self, notice_spec: NoticeSpec) {
        self.state.notice.send_replace(notice_spec);
    }
}

/// Returns the text of an event: a pure function of request body and event number.
pub fn event_text(body_digest: u64, number: u64) -> String {
    format!("{body_digest:x}.{number}")
}

/// Returns the response text of a call: a pure function of the request.
pub fn call_text(id: &str, body_digest: u64) -> String {
    format!("{id}:{body_digest:x}")
}

/// Returns the digest of a request body.
pub fn body_digest(body: &[u8]) -> u64 {
    xxh3_64(body)
}

/// A request that was read, reported and accepted for execution.
struct AcceptedRequest {
    id: String,
    body_digest: u64,
    output_events: u64,
    last_event: u64,
    event_interval_ms: Millis,
    fault_spec: FaultSpec<RelayedFault>,
    run: RunEntry,
}

/// Reads and reports a request; returns the response if it is rejected.
async fn accept_request(
    state: &Arc<RelayedState>,
    request: &mut Request,
) -> Result<std::result::Result<AcceptedRequest, Response>> {
    let header_text = |name: &str| control::header(request, name);
    let header_number = |name: &str| {
        header_text(name)
            .and_then(|it| it.parse().ok())
            .unwrap_or(0)
    };
    let id = header_text("request-id").unwrap_or_default();
    let (output_events, last_event) = (
        header_number("output-tokens"),
        header_number("last-event-id"),
    );
    let event_interval_ms = match header_number("event-interval-ms") {
        0 => state.settings.pace_ms,
        interval_ms => Millis::new(interval_ms),
    };
    let prompt_part = header_text("prompt-part");
    let is_addressed_here =
        header_text("endpoint-id").as_deref() == Some(state.settings.id.as_str());
    let headers = request
        .headers()
        .iter()
        .map(|(name, value)| {
            (
                name.to_string(),
                String::from_utf8_lossy(value.as_bytes()).into(),
            )
        })
        .collect();
    let target = format!("{} {}", request.method(), request.uri());
    let body = request.bytes_with(None, MAX_REQUEST_BYTES).await?;
    state.wait_for_silence_end(Silence::None).await;
    let fault_spec = state.fault.borrow().clone();
    let notice = state.notice.borrow().notice;
    let rejects =
        fault_spec.fault == RelayedFault::Reject || matches!(notice, Some(RelayedNotice::Pause(_)));
    let has_run = is_addressed_here && !rejects;
    let body_digest = body_digest(&body);
    (state.settings.arrivals)(ArrivedRequest {
        endpoint: state.settings.id.clone(),
        id: id.clone(),
        has_run,
        target,
        headers,
        body_digest,
        notice: notice.filter(|_| is_addressed_here),
    });
    if !is_addressed_here {
        return Ok(Err(StatusCode::MISDIRECTED_REQUEST.into_response()));
    }
    if !has_run || fault_spec.fault == RelayedFault::FalseReject {
        let mut response = response_head(state, &id).header("not-run", "1");
        if let Some(RelayedNotice::Pause(pause_ms)) = state.sent_notice() {
            response = response.header("pause-ms", pause_ms.to_string());
        }
        return Ok(Err(with_body(response.status(503), Body::empty())));
    }
    if let Some(prompt_part) = prompt_part {
        let mut prompt_parts = state.prompt_parts();
        prompt_parts.push_back(prompt_part);
        if prompt_parts.len() > MAX_CACHED_PROMPT_PARTS {
            prompt_parts.pop_front();
        }
    }
    Ok(Ok(AcceptedRequest {
        run: RunEntry::create(state, &id),
        id,
        body_digest,
        output_events,
        last_event,
        event_interval_ms,
        fault_spec,
    }))
}

fn response_head(state: &RelayedState, id: &str) -> http::response::Builder {
    let running = state.runs().len();
    let head = http::Response::builder()
        .header("request-id", id)
        .header("endpoint-load", format!("{running},0"));
    match state.sent_notice() {
        Some(RelayedNotice::Leaving) => head.header("endpoint-leaving", "1"),
        _ => head,
    }
}

fn with_body(head: http::response::Builder, body: Body) -> Response {
    head.body(body).unwrap_or_default()
}

async fn call(mut request: Request) -> Result<Response> {
    let state = control::state::<RelayedState>(&request)?;
    let accepted = match accept_request(&state, &mut request).await? {
        Ok(accepted) => accepted,
        Err(response) => return Ok(response),
    };
    let delay_ms = accepted.fault_spec.delay_ms.unwrap_or_default();
    tokio::time::sleep(state.settings.pace_ms.saturating_add(delay_ms).duration()).await;
    state.wait_for_silence_end(Silence::None).await;
    state.finished().insert(accepted.id.clone(), Instant::now());
    let head = response_head(&state, &accepted.id).header("answer-digest", "1");
    let text = call_text(&accepted.id, accepted.body_digest);
    match accepted.fault_spec.fault {
        RelayedFault::Fail => Ok(with_body(head.status(500), Body::empty())),
        RelayedFault::LoseAnswer | RelayedFault::Cut => {
            let head = head.header("content-length", text.len());
            let half = Bytes::from(text).split_to(1);
            let error = io::Error::other("connection aborted by an injected fault");
            let chunks = futures::stream::iter([Ok(half), Err(error)]);
            Ok(with_body(head, Body::from_stream(chunks)))
        }
        RelayedFault::Garble => Ok(with_body(
            head,
            http_body_util::Full::from("garbled").into(),
        )),
        _ => Ok(with_body(head, http_body_util::Full::from(text).into())),
    }
}

async fn open_stream(mut request: Request) -> Result<Response> {
    let state = control::state::<RelayedState>(&request)?;
    let accepted = match accept_request(&state, &mut request).await? {
        Ok(accepted) => accepted,
        Err(response) => return Ok(response),
    };
    if accepted.fault_spec.fault == RelayedFault::Fail {
        let head = response_head(&state, &accepted.id).header("answer-digest", "1");
        return Ok(with_body(head.status(500), Body::empty()));
    }
    let head = response_head(&state, &accepted.id)
        .header("answer-digest", "1")
        .header("content-type", "text/event-stream");
    let (sender, receiver) = mpsc::channel(STREAM_QUEUE_CHUNKS);
    tokio::spawn(send_events(state, accepted, sender));
    let chunks = unfold(receiver, |mut receiver| async {
        receiver.recv().await.map(|chunk| (chunk, receiver))
    });
    Ok(with_body(head, Body::from_stream(chunks)))
}

async fn send_events(
    state: Arc<RelayedState>,
    accepted: AcceptedRequest,
    chunks: mpsc::Sender<io::Result<Bytes>>,
) {
    let midpoint = accepted.last_event
        + (accepted.output_events - accepted.last_event.min(accepted.output_events)) / 2;
    for number in accepted.last_event + 1..=accepted.output_events {
        let fault_spec = state.fault.borrow().clone();
        let delay_ms = fault_spec.delay_ms.unwrap_or_default();
        tokio::time::sleep(
            accepted
                .event_interval_ms
                .saturating_add(delay_ms)
                .duration(),
        )
        .await;
        state.wait_for_silence_end(Silence::None).await;
        if fault_spec.fault == RelayedFault::Garble && number == midpoint {
            continue;
        }
        let is_aborted = matches!(
            fault_spec.fault,
            RelayedFault::Cut | RelayedFault::LoseAnswer
        );
        let chunk = if is_aborted && number > midpoint {
            Err(io::Error::other("stream aborted by an injected fault"))
        } else {
            let text = event_text(accepted.body_digest, number);
            Ok(encode_event(&number.to_string(), "", &text))
        };
        let is_last = chunk.is_err();
        accepted.run.record_event(number);
        if chunks.send(chunk).await.is_err() || is_last {
            break;
        }
        if number == accepted.output_events {
            let id = accepted.id.clone();
            state.finished().insert(id, Instant::now());
        }
    }
}

async fn get_state(request: Request) -> Result<Response> {
    let state = control::state::<RelayedState>(&request)?;
    state.wait_for_silence_end(Silence::Work).await;
    control::json(&state.report())
}

async fn get_prompt_parts(request: Request) -> Result<Response> {
    let state = control::state::<RelayedState>(&request)?;
    state.wait_for_silence_end(Silence::None).await;
    let prompt_parts = state.prompt_parts().clone();
    control::json(&prompt_parts)
}

async fn create_copy(request: Request) -> Result<Response> {
    let state = control::state::<RelayedState>(&request)?;
    state.wait_for_silence_end(Silence::None).await;
    control::json(&json!({"copy": format!("copy-{}", state.runs().len())}))
}
