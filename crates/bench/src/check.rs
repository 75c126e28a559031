//! Checks a recorded history against the delivery guarantees to callers.
//!
//! The inputs are the history and the counters of the backends. Each violation names the
//! request and what was observed.

use std::collections::BTreeMap;

use parsleylatch_standin::completion;
use parsleylatch_types::{EndpointVersion, RequestId, TokenId, TokenIndex};
use parsleylatch_wire::caller::{DoneData, GenerationBody};
use thiserror::Error;

use crate::history::{HistoryEntry, HistoryEvent};

/// A violated delivery guarantee.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Violation {
    /// A token is missing.
    #[error("{request}: token {found} arrived where {expected} was expected")]
    MissingToken {
        /// Request.
        request: RequestId,
        /// Expected index.
        expected: TokenIndex,
        /// Received index.
        found: TokenIndex,
    },
    /// A token arrived more than once.
    #[error("{request}: token {index} arrived again")]
    RepeatedToken {
        /// Request.
        request: RequestId,
        /// Index of the repeated token.
        index: TokenIndex,
    },
    /// No version generates this response: it belongs to another request or mixes two.
    #[error("{request}: token {index} matches no response of {versions}")]
    UnexpectedToken {
        /// Request.
        request: RequestId,
        /// First index that no version generates.
        index: TokenIndex,
        /// Versions that were tried.
        versions: String,
    },
    /// A response was reported complete although tokens are missing.
    #[error("{request}: done after {found} of {requested} tokens")]
    Incomplete {
        /// Request.
        request: RequestId,
        /// Number of received tokens.
        found: usize,
        /// Number of requested tokens.
        requested: u32,
    },
    /// An event arrived after the end of the response.
    #[error("{request}: events arrived after the end")]
    AfterEnd {
        /// Request.
        request: RequestId,
    },
    /// An accepted request ended without a complete response.
    #[error("{request}: accepted, but got no complete response")]
    Unanswered {
        /// Request.
        request: RequestId,
    },
    /// A backend ran a request whose refusal stated that it had not run.
    #[error("{request}: refused as not run, but ran {runs} times")]
    RanDespiteRefusal {
        /// Request.
        request: RequestId,
        /// Number of runs.
        runs: u64,
    },
    /// The engines opened more streams than the responses account for.
    #[error("engines opened {opened} streams, but responses account for {accounted}")]
    UnaccountedStreams {
        /// Streams that the engines opened.
        opened: u64,
        /// Attempts of the complete responses.
        accounted: u64,
    },
}

/// Counters of the backends after a run.
#[derive(Clone, Debug, Default)]
pub struct BackEndCounts {
    /// Versions that engines ran.
    pub versions: Vec<EndpointVersion>,
    /// Streams that engines opened; `None` if an engine was lost and its counter with it.
    pub streams_opened: Option<u64>,
    /// Number of runs of each request, as counted by the services.
    pub runs: BTreeMap<RequestId, u64>,
}

/// Totals and violations of a history.
#[derive(Clone, Debug, Default)]
pub struct CheckSummary {
    /// Number of requests.
    pub requests: u64,
    /// Complete responses.
    pub done: u64,
    /// Requests refused as not run.
    pub refused: u64,
    /// Connections that resumed a generation.
    pub resumed: u64,
    /// Received tokens.
    pub tokens: u64,
    /// Attempts of the complete responses.
    pub attempts: u64,
    /// Violated guarantees.
    pub violations: Vec<Violation>,
}

/// Checks a history.
pub fn check(entries: &[HistoryEntry], counts: &BackEndCounts) -> CheckSummary {
    let mut by_request: BTreeMap<RequestId, Vec<&HistoryEvent>> = BTreeMap::new();
    for entry in entries {
        let events = by_request.entry(entry.request_id).or_default();
        events.push(&entry.event);
    }
    let mut summary = CheckSummary::default();
    for (request, events) in by_request {
        let mut state = RequestState::new(request);
        for event in events {
            state.apply(event);
        }
        state.finish(counts, &mut summary);
    }
    check_streams(counts, &mut summary);
    summary
}

/// Streams can only be accounted for if every request was completed or refused.
fn check_streams(counts: &BackEndCounts, summary: &mut CheckSummary) {
    let Some(opened) = counts.streams_opened else {
        return;
    };
    let all_ended = summary.done + summary.refused == summary.requests;
    if all_ended && opened > summary.attempts {
        summary.violations.push(Violation::UnaccountedStreams {
            opened,
            accounted: summary.attempts,
        });
    }
}

/// State of one request while its history is replayed.
struct RequestState<'a> {
    request: RequestId,
    body: Option<&'a GenerationBody>,
    tokens: Vec<TokenId>,
    done: Option<&'a DoneData>,
    refused_not_run: bool,
    resumed: u64,
    violations: Vec<Violation>,
}

impl<'a> RequestState<'a> {
    fn new(request: RequestId) -> Self {
        Self {
            request,
            body: None,
            tokens: Vec::new(),
            done: None,
            refused_not_run: false,
            resumed: 0,
            violations: Vec::new(),
        }
    }

    fn apply(&mut self, event: &'a HistoryEvent) {
        let request = self.request;
        if self.done.is_some() {
            self.violations.push(Violation::AfterEnd { request });
        }
        match event {
            HistoryEvent::Asked { body, .. } => self.body = Some(body),
            HistoryEvent::Token { index, token } => self.apply_token(*index, *token),
            HistoryEvent::Done(done) => self.done = Some(done),
            HistoryEvent::Resumed { .. } => self.resumed += 1,
            // A refusal by a later node does not cover the nodes tried before it.
            HistoryEvent::Refused(problem) => {
                self.refused_not_run = problem.not_run && self.resumed == 0;
            }
            HistoryEvent::Failed(_)
            | HistoryEvent::Moved
            | HistoryEvent::Broken { .. }
            | HistoryEvent::GivenUp => {}
        }
    }

    fn apply_token(&mut self, found: TokenIndex, token: TokenId) {
        let request = self.request;
        let expected = TokenIndex::after(self.tokens.len());
        if found == expected {
            self.tokens.push(token);
        } else if found < expected {
            let index = found;
            self.violations
                .push(Violation::RepeatedToken { request, index });
        } else {
            let violation = Violation::MissingToken {
                request,
                expected,
                found,
            };
            self.violations.push(violation);
        }
    }

    fn finish(mut self, counts: &BackEndCounts, summary: &mut CheckSummary) {
        self.check_end(counts);
        self.check_tokens(counts);
        summary.requests += 1;
        summary.done += u64::from(self.done.is_some());
        summary.attempts += self.done.map_or(0, |done| u64::from(done.attempts.get()));
        summary.refused += u64::from(self.refused_not_run && self.done.is_none());
        summary.resumed += self.resumed;
        summary.tokens += self.tokens.len() as u64;
        summary.violations.append(&mut self.violations);
    }

    fn check_end(&mut self, counts: &BackEndCounts) {
        let request = self.request;
        let requested = self.body.map_or(0, |body| body.max_tokens.get());
        let found = self.tokens.len();
        if self.done.is_some() && found != requested as usize {
            self.violations.push(Violation::Incomplete {
                request,
                found,
                requested,
            });
        }
        if self.done.is_none() && !self.refused_not_run {
            self.violations.push(Violation::Unanswered { request });
        }
        let runs = counts.runs.get(&request).copied().unwrap_or_default();
        let ran_despite_refusal = self.refused_not_run && (runs > 0 || found > 0);
        if ran_despite_refusal {
            self.violations
                .push(Violation::RanDespiteRefusal { request, runs });
        }
    }

    /// Checks that the tokens are a prefix of the response of a single version.
    fn check_tokens(&mut self, counts: &BackEndCounts) {
        let Some(body) = self.body else {
            return;
        };
        let candidates: Vec<&EndpointVersion> = match self.done {
            Some(done) => vec![&done.endpoint_version],
            None => counts.versions.iter().collect(),
        };
        let matching_tokens = |version: &&EndpointVersion| {
            let pairs = self.tokens.iter().enumerate();
            pairs
                .take_while(|(position, token)| {
                    let index = TokenIndex::after(*position);
                    completion::token_at(&body.prompt, version, index) == **token
                })
                .count()
        };
        let longest_match = candidates
            .iter()
            .map(matching_tokens)
            .max()
            .unwrap_or_default();
        if longest_match < self.tokens.len() {
            let names = candidates.iter().map(ToString::to_string);
            self.violations.push(Violation::UnexpectedToken {
                request: self.request,
                index: TokenIndex::after(longest_match),
                versions: names.collect::<Vec<_>>().join(", "),
            });
        }
    }
}
