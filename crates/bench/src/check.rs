//! Checks of a history against the promises to callers.
//!
//! Only the history and the back ends' counts are read. A violation names the
//! request and what was state.

use std::collections::BTreeMap;

use parsleylatch_standin::completion;
use parsleylatch_types::{EndpointVersion, RequestId, TokenId, TokenIndex};
use parsleylatch_wire::caller::{DoneData, GenerationBody};
use thiserror::Error;

use crate::history::{HistoryEntry, HistoryEvent};

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Violation {
    /// A token is missing.
    #[error("{request}: token {found} arrived where {expected} was due")]
    MissingToken {
        /// Request.
        request: RequestId,
        /// Index that was expected.
        expected: TokenIndex,
        /// Index that arrived.
        found: TokenIndex,
    },
    /// A token arrived again.
    #[error("{request}: token {index} arrived again")]
    RepeatedToken {
        /// Request.
        request: RequestId,
        /// Index that arrived again.
        index: TokenIndex,
    },
    /// No version gives this answer, so it is another one's or a mix of two.
    #[error("{request}: token {index} belongs to no answer of {versions}")]
    UnexpectedToken {
        /// Request.
        request: RequestId,
        /// First index that no version explains.
        index: TokenIndex,
        /// Versions that were tried.
        versions: String,
    },
    /// The answer was called whole and is not.
    #[error("{request}: done after {found} of {requested} tokens")]
    Incomplete {
        /// Request.
        request: RequestId,
        /// Tokens that arrived.
        found: usize,
        /// Tokens that were asked for.
        requested: u32,
    },
    /// Something arrived after the end.
    #[error("{request}: more arrived after the end")]
    AfterEnd {
        /// Request.
        request: RequestId,
    },
    /// An accepted request ended without a whole answer.
    #[error("{request}: accepted, and no whole answer")]
    Unanswered {
        /// Request.
        request: RequestId,
    },
    /// A back end ran what a refusal said had not run.
    #[error("{request}: refused as not run, and ran {runs} times")]
    RanDespiteRefusal {
        /// Request.
        request: RequestId,
        /// Runs.
        runs: u64,
    },
    /// The engines opened more streams than the answers account for.
    #[error("engines opened {opened} streams, and answers account for {accounted}")]
    UnaccountedStreams {
        /// Streams that the engines opened.
        opened: u64,
        /// Attempts of the whole answers.
        accounted: u64,
    },
}

/// What back ends counted during a run.
#[derive(Clone, Debug, Default)]
pub struct BackEndCounts {
    /// Versions that engines ran.
    pub versions: Vec<EndpointVersion>,
    /// Streams that engines opened; `None` if an engine was lost with its count.
    pub streams_opened: Option<u64>,
    /// Runs by request that services counted.
    pub runs: BTreeMap<RequestId, u64>,
}

/// What a history holds, and what is wrong with it.
#[derive(Clone, Debug, Default)]
pub struct CheckSummary {
    /// Requests.
    pub requests: u64,
    /// Whole answers.
    pub done: u64,
    /// Requests that were refused as not run.
    pub refused: u64,
    /// Connections that took a generation up again.
    pub resumed: u64,
    /// Tokens that arrived.
    pub tokens: u64,
    /// Attempts that the whole answers took.
    pub attempts: u64,
    /// Broken promises.
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

/// Only a run in which each request was answered or refused accounts for all streams.
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

/// One request, as far as its history was read.
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
            // A refusal at a later node says nothing of the nodes before.
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
        let ran_after_all = self.refused_not_run && (runs > 0 || found > 0);
        if ran_after_all {
            self.violations
                .push(Violation::RanDespiteRefusal { request, runs });
        }
    }

    /// The tokens have to be the beginning of what one version gives.
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
        let longest = candidates
            .iter()
            .map(matching_tokens)
            .max()
            .unwrap_or_default();
        if longest < self.tokens.len() {
            let names = candidates.iter().map(ToString::to_string);
            self.violations.push(Violation::UnexpectedToken {
                request: self.request,
                index: TokenIndex::after(longest),
                versions: names.collect::<Vec<_>>().join(", "),
            });
        }
    }
}
