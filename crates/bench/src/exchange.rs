//! Client side of a generation, across reconnections.
//!
//! After a lost connection or a `moved` event the generation is resumed at the next
//! node after the last received event. Every request and event is recorded.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use eyre::Result;
use parsleylatch_types::{RequestId, WorkspaceId};
use parsleylatch_wire::caller::{DoneData, GenerationBody};

use crate::{
    caller::{Caller, GenerationResponse, ReceivedToken, StreamEnding},
    history::{HistoryEvent, Recorder},
};

/// Limit on connections for one generation.
const MAX_CONNECTIONS: usize = 40;
/// Delay before reconnecting.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// Send time of a request and arrival times of its tokens.
#[derive(Clone, Debug, Default)]
pub struct Timing {
    /// Send time of the first request.
    pub sent_at: Option<Instant>,
    /// Arrival time of each token.
    pub arrivals: Vec<Instant>,
}

impl Timing {
    /// Time to the first token.
    pub fn first_token(&self) -> Option<Duration> {
        let (sent_at, first) = (self.sent_at?, self.arrivals.first()?);
        Some(first.duration_since(sent_at))
    }

    /// Intervals between consecutive tokens.
    pub fn gaps(&self) -> impl Iterator<Item = Duration> {
        self.arrivals
            .windows(2)
            .map(|pair| pair[1].duration_since(pair[0]))
    }
}

/// Result of a generation.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Final event of a complete response; `None` if the response is incomplete.
    pub done: Option<DoneData>,
    /// Number of connections opened.
    pub connections: usize,
    /// Send and arrival times.
    pub timing: Timing,
}

/// Runs generations of one workspace against a list of nodes and records their history.
#[derive(Clone)]
pub struct GenerationClient {
    callers: Arc<[Caller]>,
    workspace: WorkspaceId,
    recorder: Arc<Recorder>,
}

/// How one connection ended.
enum ConnectionEnd {
    Done(DoneData),
    Failed,
    Retry,
}

impl GenerationClient {
    /// Creates a client from one [`Caller`] for each node.
    pub fn new(callers: Vec<Caller>, workspace: WorkspaceId, recorder: Arc<Recorder>) -> Self {
        Self {
            callers: callers.into(),
            workspace,
            recorder,
        }
    }

    /// Starts a generation at a node and resumes it at the following ones as needed.
    pub async fn run(&self, first_node: usize, id: RequestId, body: &GenerationBody) -> Outcome {
        self.run_observed(first_node, id, body, |_| {}).await
    }

    /// As [`GenerationClient::run`], and calls `on_token` with each token as it arrives.
    pub async fn run_observed(
        &self,
        first_node: usize,
        id: RequestId,
        body: &GenerationBody,
        mut on_token: impl FnMut(&ReceivedToken),
    ) -> Outcome {
        let mut outcome = Outcome {
            done: None,
            connections: 0,
            timing: Timing::default(),
        };
        let mut last_event_id: Option<String> = None;
        while outcome.connections < MAX_CONNECTIONS {
            let node = (first_node + outcome.connections) % self.callers.len();
            outcome.connections += 1;
            let caller = &self.callers[node];
            outcome.timing.sent_at.get_or_insert_with(Instant::now);
            let response = self.open(caller, id, body, last_event_id.as_deref()).await;
            let end = self
                .read_stream(caller, id, response, |token| {
                    last_event_id = Some(token.event_id.clone());
                    outcome.timing.arrivals.push(token.at);
                    on_token(token);
                })
                .await;
            match end {
                ConnectionEnd::Done(done) => {
                    outcome.done = Some(done);
                    return outcome;
                }
                ConnectionEnd::Failed => return outcome,
                ConnectionEnd::Retry => tokio::time::sleep(RECONNECT_DELAY).await,
            }
        }
        let address = self.callers[first_node % self.callers.len()].address();
        self.recorder.record(id, address, HistoryEvent::GivenUp);
        outcome
    }

    async fn open(
        &self,
        caller: &Caller,
        id: RequestId,
        body: &GenerationBody,
        last_event_id: Option<&str>,
    ) -> Result<GenerationResponse> {
        let Some(last_event_id) = last_event_id else {
            let event = HistoryEvent::Asked {
                workspace: self.workspace.clone(),
                body: body.clone(),
            };
            self.recorder.record(id, caller.address(), event);
            return caller.generate(id, body).await;
        };
        let event = HistoryEvent::Resumed {
            last_event_id: last_event_id.to_owned(),
        };
        self.recorder.record(id, caller.address(), event);
        caller.resume(id, last_event_id).await
    }

    /// Reads a connection to its end and records its events.
    async fn read_stream(
        &self,
        caller: &Caller,
        id: RequestId,
        response: Result<GenerationResponse>,
        mut on_token: impl FnMut(&ReceivedToken),
    ) -> ConnectionEnd {
        let record = |event| self.recorder.record(id, caller.address(), event);
        let events = match response {
            Ok(GenerationResponse::Events(events)) => events,
            Ok(GenerationResponse::Refused(problem)) => {
                // Another node may still hold a generation that has already started.
                let is_final = problem.not_run;
                record(HistoryEvent::Refused(problem));
                return if is_final {
                    ConnectionEnd::Failed
                } else {
                    ConnectionEnd::Retry
                };
            }
            Err(error) => {
                let reason = error.to_string();
                record(HistoryEvent::Broken { reason });
                return ConnectionEnd::Retry;
            }
        };
        let collected = events
            .collect(|token| {
                let (index, token_id) = (token.data.index, token.data.token);
                let token_event = HistoryEvent::Token {
                    index,
                    token: token_id,
                };
                record(token_event);
                on_token(token);
            })
            .await;
        match collected.ending {
            StreamEnding::Done(done) => {
                record(HistoryEvent::Done(done.clone()));
                ConnectionEnd::Done(done)
            }
            StreamEnding::Error(problem) => {
                record(HistoryEvent::Failed(problem));
                ConnectionEnd::Failed
            }
            StreamEnding::Moved(_) => {
                record(HistoryEvent::Moved);
                ConnectionEnd::Retry
            }
            StreamEnding::ConnectionLost(reason) => {
                record(HistoryEvent::Broken { reason });
                ConnectionEnd::Retry
            }
        }
    }
}
