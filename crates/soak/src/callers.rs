//! Callers of the relays. Each reuses its connection for many requests until the relay or a
//! fault closes it, and records every request and its outcome.

use std::{future::Future, ops::RangeInclusive, sync::Arc, time::Duration};

use bytes::Bytes;
use eyre::{Result, WrapErr};
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::{
    body::Incoming,
    client::conn::http1::{SendRequest, handshake},
};
use hyper_util::rt::TokioIo;
use parsleylatch_http::SseReader;
use parsleylatch_standin::body_digest;
use parsleylatch_types::{Millis, MonoTime};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use tokio::{net::TcpStream, sync::watch, task::JoinHandle};

use crate::{
    environment::{Environment, HOST, LONG_STREAM_PATH, WORKSPACE, WORKSPACE_KEY, version_path},
    invariants::{LONG_STREAM_TIMEOUT_MS, REQUEST_TIMEOUT_MS},
    observations::{Observed, Outcome, RequestKind, SentRequest},
    plan::Profile,
};

/// Number of events in a complete stream.
const STREAM_EVENTS: u64 = 60;
/// Number of events in a complete long stream, which lasts several seconds.
const LONG_STREAM_EVENTS: u64 = 120;
const LONG_STREAM_EVENT_INTERVAL_MS: Millis = Millis::new(25);
/// Share of streams that are long, in the silence profile.
const LONG_STREAM_PERCENT: u32 = 60;
/// Prompt size that callers declare. Endpoints ignore it; the relay looks for an endpoint
/// that has cached a prompt of this size.
const PROMPT_TOKENS: u64 = 1_000;
/// Number of distinct prompts.
const PROMPT_COUNT: u32 = 200;
/// Caller that sends one request after the other.
pub(crate) const STEADY: CallerHabit = CallerHabit {
    requests_per_connection: 40,
    pause_ms: 0..=60,
    start_ms: 0..=0,
    is_look_up_only: false,
};
/// Caller whose connection rests most of the time.
pub(crate) const RESTING: CallerHabit = CallerHabit {
    requests_per_connection: 40,
    pause_ms: 2_000..=12_000,
    start_ms: 0..=4_000,
    is_look_up_only: false,
};
/// Caller that opens a connection for each look-up or request without a route.
pub(crate) const FRESH: CallerHabit = CallerHabit {
    requests_per_connection: 1,
    pause_ms: 0..=400,
    start_ms: 0..=400,
    is_look_up_only: true,
};
/// Time that a caller keeps waiting after the request timeout, to detect late responses.
const RESPONSE_WAIT_SLACK_MS: Millis = Millis::new(2_500);
/// Share of requests that the caller cancels.
const CANCELLED_PERCENT: u32 = 4;
/// Longest time between sending a request and cancelling it.
const MAX_CANCEL_DELAY_MS: u64 = 300;
/// Shares of requests that are streams and bookings; the others are look-ups.
const STREAM_PERCENT: u32 = 35;
const BOOKING_PERCENT: u32 = 30;
/// Share of requests without a route, of callers that send look-ups only.
const UNROUTED_PERCENT: u32 = 50;
/// Share of look-ups that use the route added by the newest configuration version.
const NEWEST_ROUTE_PERCENT: u32 = 20;

/// Phase of a run, as callers see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Relays are starting; callers wait.
    Waiting,
    /// Callers send requests.
    Load,
    /// Callers send no further requests.
    Done,
}

/// How a caller uses its connections.
#[derive(Clone, Debug)]
pub(crate) struct CallerHabit {
    requests_per_connection: u32,
    /// Pause between two requests.
    pause_ms: RangeInclusive<u64>,
    /// Time from the start of the load to the first request.
    start_ms: RangeInclusive<u64>,
    is_look_up_only: bool,
}

/// State shared by all callers.
#[derive(Clone)]
pub(crate) struct CallerContext {
    pub(crate) environment: Arc<Environment>,
    pub(crate) profile: Profile,
    pub(crate) phase: watch::Receiver<Phase>,
    /// Newest configuration version that the store has acknowledged.
    pub(crate) newest_version: watch::Receiver<u64>,
}

/// A caller that sends one request at a time.
pub(crate) struct Caller {
    context: CallerContext,
    habit: CallerHabit,
    name: String,
    random: Pcg64Mcg,
    count: u64,
}

/// Parameters of a request to send.
struct RequestSpec {
    kind: RequestKind,
    path: String,
    route_version: u64,
    output_events: u64,
    last_event: u64,
    timeout_ms: Millis,
    /// Name of the prompt, drawn from a small set so that prompts repeat.
    prompt_part: String,
    body: String,
}

impl Caller {
    pub(crate) fn new(
        context: CallerContext,
        habit: CallerHabit,
        name: String,
        random: Pcg64Mcg,
    ) -> Self {
        Self {
            context,
            habit,
            name,
            random,
            count: 0,
        }
    }

    /// Sends requests until the load phase ends.
    pub(crate) async fn run(mut self) {
        if self
            .context
            .phase
            .wait_for(|it| *it != Phase::Waiting)
            .await
            .is_err()
        {
            return;
        }
        // A habit without a range draws nothing, so that the choices of its seeds stay as they are.
        if *self.habit.start_ms.end() > 0 {
            let start_ms = self.random.random_range(self.habit.start_ms.clone());
            self.wait_ms(start_ms).await;
        }
        while *self.context.phase.borrow() == Phase::Load {
            let relay = self
                .random
                .random_range(0..self.context.environment.caller_links.len());
            // If the relay is unavailable, the next iteration picks a relay at random again.
            let _ = self.use_connection(relay).await;
            self.pause().await;
        }
    }

    /// Waits until the next request, or the end of the load.
    async fn pause(&mut self) {
        let pause_ms = self.random.random_range(self.habit.pause_ms.clone());
        self.wait_ms(pause_ms).await;
    }

    async fn wait_ms(&mut self, time_ms: u64) {
        let done = self.context.phase.wait_for(|it| *it != Phase::Load);
        // Both the time and the end of the load end the wait.
        let _ = tokio::time::timeout(Duration::from_millis(time_ms), done).await;
    }

    async fn use_connection(&mut self, relay: usize) -> Result<()> {
        let mut connection = Connection::open(&self.context.environment, relay).await?;
        for _ in 0..self.habit.requests_per_connection {
            let spec = self.next_spec();
            let cancel_after = self.cancel_after();
            let outcome = self.send(relay, &mut connection, &spec, cancel_after).await;
            let is_load_over = *self.context.phase.borrow() != Phase::Load;
            if is_load_over || !outcome.allows_reuse() {
                return Ok(());
            }
            self.pause().await;
            if *self.context.phase.borrow() != Phase::Load {
                return Ok(());
            }
        }
        Ok(())
    }

    fn next_spec(&mut self) -> RequestSpec {
        let percentile = self.random.random_range(0..100);
        let newest = *self.context.newest_version.borrow();
        let kind = if self.habit.is_look_up_only {
            match percentile < UNROUTED_PERCENT {
                true => RequestKind::Unrouted,
                false => RequestKind::LookUp,
            }
        } else if percentile < STREAM_PERCENT {
            RequestKind::Stream
        } else if percentile < STREAM_PERCENT + BOOKING_PERCENT {
            RequestKind::Booking
        } else {
            RequestKind::LookUp
        };
        let uses_newest = self.random.random_range(0..100) < NEWEST_ROUTE_PERCENT;
        let is_long = kind == RequestKind::Stream
            && self.context.profile == Profile::Silence
            && self.random.random_range(0..100) < LONG_STREAM_PERCENT;
        let (path, route_version) = match kind {
            RequestKind::LookUp if uses_newest && newest > 1 => {
                (format!("{}1", version_path(newest)), newest)
            }
            _ if is_long => (format!("{LONG_STREAM_PATH}1"), 0),
            kind => (initial_path(kind).to_owned(), 0),
        };
        let (output_events, timeout_ms) = match is_long {
            true => (LONG_STREAM_EVENTS, LONG_STREAM_TIMEOUT_MS),
            false => (STREAM_EVENTS, REQUEST_TIMEOUT_MS),
        };
        // Streams may resume after events that an earlier request delivered.
        let last_event = match kind {
            RequestKind::Stream => self.random.random_range(0..STREAM_EVENTS / 2),
            _ => 0,
        };
        RequestSpec {
            kind,
            path,
            route_version,
            output_events,
            last_event,
            timeout_ms,
            prompt_part: format!("part-{}", self.random.random_range(0..PROMPT_COUNT)),
            body: format!("{}:{}", self.name, self.random.random::<u64>()),
        }
    }

    fn cancel_after(&mut self) -> Option<Duration> {
        let is_cancelled = self.random.random_range(0..100) < CANCELLED_PERCENT;
        is_cancelled
            .then(|| Duration::from_millis(self.random.random_range(1..=MAX_CANCEL_DELAY_MS)))
    }

    /// Sends one request, records it and its outcome.
    async fn send(
        &mut self,
        relay: usize,
        connection: &mut Connection,
        spec: &RequestSpec,
        cancel_after: Option<Duration>,
    ) -> Outcome {
        self.count += 1;
        let id = format!("{}-{}", self.name, self.count);
        let environment = &self.context.environment;
        let method = match spec.kind {
            RequestKind::LookUp | RequestKind::Unrouted => "GET",
            _ => "POST",
        };
        environment.checker().record_sent(SentRequest {
            id: id.clone(),
            kind: spec.kind,
            relay,
            target: format!("{method} {}", spec.path),
            body_digest: body_digest(spec.body.as_bytes()),
            workspace: WORKSPACE,
            output_events: spec.output_events,
            last_event: spec.last_event,
            route_version: spec.route_version,
            timeout_ms: spec.timeout_ms,
            connection_opened_at: connection.opened_at,
            requests_before: connection.requests,
            run_time_us: environment.run_time.elapsed(),
            sent_at: environment.clock.now(),
        });
        connection.requests += 1;
        let response = connection.send_and_receive(method, &id, spec);
        let outcome = match cancel_after {
            Some(limit) => tokio::time::timeout(limit, response)
                .await
                .unwrap_or(Outcome::Left),
            None => wait_for_outcome(response, spec.timeout_ms).await,
        };
        let observed = Observed {
            at: environment.clock.now(),
            run_time_us: environment.run_time.elapsed(),
            finished: environment.find_finished(&id),
        };
        environment
            .checker()
            .record_outcome(&observed, &id, &outcome);
        outcome
    }

    /// Checks that a relay serves one request of each kind; the error gives the first failure.
    pub(crate) async fn probe(&mut self, relay: usize) -> Result<(), String> {
        for kind in [
            RequestKind::LookUp,
            RequestKind::Booking,
            RequestKind::Stream,
        ] {
            let mut connection = Connection::open(&self.context.environment, relay)
                .await
                .map_err(|error| format!("{error:#}"))?;
            let spec = RequestSpec {
                kind,
                path: initial_path(kind).to_owned(),
                route_version: 0,
                output_events: STREAM_EVENTS,
                last_event: 0,
                timeout_ms: REQUEST_TIMEOUT_MS,
                prompt_part: "part-probe".to_owned(),
                body: "probe".to_owned(),
            };
            let outcome = self.send(relay, &mut connection, &spec, None).await;
            if !outcome.is_success() {
                return Err(format!("{kind:?} request ended with {outcome:?}"));
            }
        }
        Ok(())
    }
}

/// Path on the route that the first configuration has for this kind, if it has one.
fn initial_path(kind: RequestKind) -> &'static str {
    match kind {
        RequestKind::LookUp => "/look-up/1",
        RequestKind::Booking => "/book/1",
        RequestKind::Stream => "/stream/1",
        RequestKind::Unrouted => "/unrouted/1",
    }
}

async fn wait_for_outcome(response: impl Future<Output = Outcome>, timeout_ms: Millis) -> Outcome {
    let limit = timeout_ms.saturating_add(RESPONSE_WAIT_SLACK_MS).duration();
    let waited = tokio::time::timeout(limit, response).await;
    waited.unwrap_or(Outcome::Unanswered)
}

impl Outcome {
    fn allows_reuse(&self) -> bool {
        match self {
            Self::Answered { is_whole, .. } | Self::Streamed { is_whole, .. } => *is_whole,
            Self::Closed | Self::Unanswered | Self::Left => false,
        }
    }

    fn is_success(&self) -> bool {
        match self {
            Self::Answered {
                status, is_whole, ..
            } => *status == 200 && *is_whole,
            Self::Streamed { is_whole, .. } => *is_whole,
            Self::Closed | Self::Unanswered | Self::Left => false,
        }
    }
}

/// HTTP connection to a relay through its link.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    opened_at: MonoTime,
    /// Number of requests that it has carried.
    requests: u32,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    async fn open(environment: &Environment, relay: usize) -> Result<Self> {
        let address = environment.caller_links[relay].address;
        let stream = TcpStream::connect(address)
            .await
            .wrap_err("connecting to a relay")?;
        stream.set_nodelay(true).wrap_err("connecting to a relay")?;
        let opened = handshake(TokioIo::new(stream)).await;
        let (sender, connection) = opened.wrap_err("opening HTTP to a relay")?;
        let driver = tokio::spawn(async move {
            // Connection errors surface in the requests on it.
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            driver,
            opened_at: environment.clock.now(),
            requests: 0,
        })
    }

    async fn send_and_receive(&mut self, method: &str, id: &str, spec: &RequestSpec) -> Outcome {
        let request = Request::builder()
            .method(method)
            .uri(&spec.path)
            .header("host", HOST)
            .header("request-id", id)
            .header("remaining-ms", spec.timeout_ms.get())
            .header("workspace-key", WORKSPACE_KEY);
        let request = match spec.kind {
            RequestKind::Stream => request
                .header("prompt-tokens", PROMPT_TOKENS)
                .header("prompt-part", &spec.prompt_part)
                .header("output-tokens", spec.output_events)
                .header("last-event-id", spec.last_event),
            _ => request,
        };
        let request = match spec.output_events {
            LONG_STREAM_EVENTS => {
                request.header("event-interval-ms", LONG_STREAM_EVENT_INTERVAL_MS.get())
            }
            _ => request,
        };
        let body = Full::new(Bytes::from(spec.body.clone()));
        let Ok(request) = request.body(body) else {
            return Outcome::Closed;
        };
        match self.sender.send_request(request).await {
            Ok(response) if is_stream(&response) => read_events(response).await,
            Ok(response) => read_response(response).await,
            Err(_) => Outcome::Closed,
        }
    }
}

fn is_stream(response: &Response<Incoming>) -> bool {
    let kind = response.headers().get("content-type");
    response.status().is_success() && kind.is_some_and(|it| it == "text/event-stream")
}

async fn read_response(response: Response<Incoming>) -> Outcome {
    let status = response.status().as_u16();
    let read = response.into_body().collect().await;
    let is_whole = read.is_ok();
    let body = read
        .map(http_body_util::Collected::to_bytes)
        .unwrap_or_default();
    Outcome::Answered {
        status,
        body: String::from_utf8_lossy(&body).into_owned(),
        is_whole,
    }
}

async fn read_events(response: Response<Incoming>) -> Outcome {
    let mut body = response.into_body();
    let mut reader = SseReader::default();
    let mut events = Vec::new();
    let is_whole = loop {
        match body.frame().await {
            None => break true,
            Some(Err(_)) => break false,
            Some(Ok(frame)) => {
                if let Some(piece) = frame.data_ref() {
                    reader.push(piece);
                }
            }
        }
        while let Ok(Some(event)) = reader.next_event() {
            events.push((event.id.parse().unwrap_or_default(), event.data));
        }
    };
    Outcome::Streamed { events, is_whole }
}
