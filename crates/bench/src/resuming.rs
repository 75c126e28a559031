//! A caller that comes back: it follows `moved` events and reconnects to the
//! next node when its connection disconnections.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use eyre::{Result, bail, eyre};
use parsleylatch_types::RequestId;
use parsleylatch_wire::caller::{
    DoneData, GenerationBody, MovedData, Problem, ResumeBody, TokenData,
};

use crate::caller::{Caller, Events, GenerationResponse, ReceivedToken, StreamEnd};

/// Time for which a caller tries to come back.
const GIVE_UP_AFTER: Duration = Duration::from_secs(15);
/// Delay between two rounds over all nodes.
const ROUND_DELAY: Duration = Duration::from_millis(50);
/// Longest silence that a caller puts up with before it goes to another node.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A connection that was lost.
#[derive(Clone, Debug)]
pub struct Disconnection {
    /// When.
    pub at: Instant,
    /// Tokens that had arrived by then.
    pub count: usize,
    /// What ended it: the node's word, the system's reason, or silence.
    pub reason: String,
}

/// Everything that one caller saw of one generation.
#[derive(Clone, Debug, Default)]
pub struct GenerationRecord {
    /// Tokens in the order of their arrival, over all connections.
    pub tokens: Vec<ReceivedToken>,
    /// Connections that were lost.
    pub disconnections: Vec<Disconnection>,
    /// `moved` events.
    pub moves: Vec<MovedData>,
    /// Times that the caller had to bring its tokens.
    pub rebuilds: usize,
    /// End of the answer.
    pub done: Option<DoneData>,
}

impl GenerationRecord {
    /// Data of the tokens.
    pub fn token_data(&self) -> Vec<TokenData> {
        self.tokens.iter().map(|token| token.data.clone()).collect()
    }

    /// Times from each break to the next token.
    pub fn resume_latencies(&self) -> Vec<Duration> {
        let latencies = self.disconnections.iter().filter_map(|lost| {
            let next = self.tokens.get(lost.count)?;
            Some(next.at.saturating_duration_since(lost.at))
        });
        latencies.collect()
    }

    /// Longest time between two tokens.
    pub fn longest_gap(&self) -> Duration {
        let gaps = self
            .tokens
            .windows(2)
            .map(|pair| pair[1].at.saturating_duration_since(pair[0].at));
        gaps.max().unwrap_or_default()
    }
}

/// Function that sees each token, with the count of tokens so far.
pub type TokenObserver<'a> = Box<dyn FnMut(&ReceivedToken, usize) + Send + 'a>;

/// How a caller comes back.
pub struct ResumingCaller<'a> {
    /// Caller of a workspace.
    pub caller: Caller,
    /// Nodes, the first one is asked first.
    pub nodes: Vec<SocketAddr>,
    /// Longest silence.
    pub silence: Duration,
    /// Sees each token as it arrives, with the count of tokens so far.
    pub on_token: TokenObserver<'a>,
}

impl<'a> ResumingCaller<'a> {
    /// Caller at a list of nodes.
    pub fn new(caller: Caller, nodes: Vec<SocketAddr>) -> Self {
        Self {
            caller,
            nodes,
            silence: SILENCE_TIMEOUT,
            on_token: Box::new(|_, _| {}),
        }
    }

    /// Calls a function with each token.
    #[must_use]
    pub fn on_token(mut self, on_token: impl FnMut(&ReceivedToken, usize) + Send + 'a) -> Self {
        self.on_token = Box::new(on_token);
        self
    }

    /// Runs a generation to its end, over as many connections as it takes.
    ///
    /// # Errors
    /// The problem that a node told, or that no node goes on.
    pub async fn run(mut self, id: RequestId, body: &GenerationBody) -> Result<GenerationRecord> {
        let mut history = GenerationRecord::default();
        let first = self.caller.at(self.nodes[0]);
        let mut opened = match first.generate(id, body).await? {
            GenerationResponse::Events(events) => events,
            GenerationResponse::Refused(problem) => bail!("refused: {problem:?}"),
        };
        loop {
            let ending = self.follow(opened, &mut history).await;
            let reason = format!("{ending:?}");
            let next = match ending {
                StreamEnd::Done(done) => {
                    history.done = Some(done);
                    return Ok(history);
                }
                StreamEnd::Error(problem) => bail!("failed: {problem:?}"),
                StreamEnd::Moved(data) => {
                    let moved: MovedData = serde_json::from_value(data)?;
                    let next = moved.caller_address;
                    history.moves.push(moved);
                    next
                }
                StreamEnd::ConnectionLost(_) => None,
            };
            history.disconnections.push(Disconnection {
                at: Instant::now(),
                count: history.tokens.len(),
                reason,
            });
            opened = self.come_back(id, body, &mut history, next).await?;
        }
    }

    async fn follow(&mut self, mut events: Events, history: &mut GenerationRecord) -> StreamEnd {
        loop {
            let next = tokio::time::timeout(self.silence, events.next_token()).await;
            match next {
                Ok(Ok(token)) => {
                    history.tokens.push(token);
                    let count = history.tokens.len();
                    (self.on_token)(&history.tokens[count - 1], count);
                }
                Ok(Err(ending)) => return ending,
                Err(_) => return StreamEnd::ConnectionLost("silence".to_owned()),
            }
        }
    }

    /// Tries the named node, then every node, until one goes on.
    async fn come_back(
        &self,
        id: RequestId,
        body: &GenerationBody,
        history: &mut GenerationRecord,
        named: Option<SocketAddr>,
    ) -> Result<Events> {
        let deadline = Instant::now() + GIVE_UP_AFTER;
        let mut reason = eyre!("no node was tried");
        while Instant::now() < deadline {
            let mut unknown = 0;
            for address in named.into_iter().chain(self.nodes.iter().copied()) {
                match self.ask(address, id, body, history).await {
                    Ok(GenerationResponse::Events(events)) => return Ok(events),
                    Ok(GenerationResponse::Refused(problem)) => {
                        unknown += usize::from(is_unknown(&problem));
                        reason = eyre!("refused by {address}: {problem:?}");
                    }
                    Err(error) => reason = error,
                }
            }
            // Every node that answers says that the generation is lost.
            if unknown > 0
                && let Some(events) = self.rebuild(id, body, history).await?
            {
                return Ok(events);
            }
            tokio::time::sleep(ROUND_DELAY).await;
        }
        Err(reason)
    }

    async fn ask(
        &self,
        address: SocketAddr,
        id: RequestId,
        body: &GenerationBody,
        history: &GenerationRecord,
    ) -> Result<GenerationResponse> {
        let caller = self.caller.at(address);
        match history.tokens.last() {
            Some(token) => caller.resume(id, &token.event_id).await,
            None => caller.generate(id, body).await,
        }
    }

    /// Brings the tokens to any node that takes them.
    async fn rebuild(
        &self,
        id: RequestId,
        body: &GenerationBody,
        history: &mut GenerationRecord,
    ) -> Result<Option<Events>> {
        let version = history
            .tokens
            .last()
            .and_then(ReceivedToken::endpoint_version);
        let Some(version) = version else {
            return Ok(None);
        };
        let resume = ResumeBody {
            model: body.model.clone(),
            prompt: body.prompt.clone(),
            max_tokens: body.max_tokens,
            seed: body.seed,
            adapter: body.adapter.clone(),
            tokens: history.token_data(),
            endpoint_version: version,
        };
        for address in &self.nodes {
            let caller = self.caller.at(*address);
            if let Ok(GenerationResponse::Events(events)) = caller.rebuild(id, &resume).await {
                history.rebuilds += 1;
                return Ok(Some(events));
            }
        }
        Ok(None)
    }
}

fn is_unknown(problem: &Problem) -> bool {
    problem.kind.ends_with(":not-found")
}
