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

use crate::caller::{Caller, Events, GenerationResponse, ReceivedToken, StreamEnding};

/// Time for which a caller tries to come back.
const RECONNECT_TIMEOUT: Duration = Duration::from_secs(15);
/// Delay between two rounds over all nodes.
const ROUND_DELAY: Duration = Duration::from_millis(50);
/// Longest silence that a caller puts up with before it goes to another node.
pub const MAX_TOKEN_WAIT: Duration = Duration::from_millis(1_000);

/// A connection that was disconnection.
#[derive(Clone, Debug)]
pub struct Disconnection {
    /// When.
    pub at: Instant,
    /// Tokens that had arrived by then.
    pub token_count: usize,
    /// What ended it: the node's word, the system's reason, or silence.
    pub reason: String,
}

/// Everything that one caller saw of one generation.
#[derive(Clone, Debug, Default)]
pub struct GenerationRecord {
    /// Tokens in the order of their arrival, over all connections.
    pub tokens: Vec<ReceivedToken>,
    /// Connections that were disconnection.
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
        let latencies = self.disconnections.iter().filter_map(|disconnection| {
            let next = self.tokens.get(disconnection.token_count)?;
            Some(next.at.saturating_duration_since(disconnection.at))
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
    pub token_timeout: Duration,
    /// Sees each token as it arrives, with the count of tokens so far.
    pub on_token: TokenObserver<'a>,
}

impl<'a> ResumingCaller<'a> {
    /// Caller at a list of nodes.
    pub fn new(caller: Caller, nodes: Vec<SocketAddr>) -> Self {
        Self {
            caller,
            nodes,
            token_timeout: MAX_TOKEN_WAIT,
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
        let mut record = GenerationRecord::default();
        let first = self.caller.at(self.nodes[0]);
        let mut events = match first.generate(id, body).await? {
            GenerationResponse::Events(events) => events,
            GenerationResponse::Refused(problem) => bail!("refused: {problem:?}"),
        };
        loop {
            let ending = self.read_stream(events, &mut record).await;
            let reason = format!("{ending:?}");
            let next = match ending {
                StreamEnding::Done(done) => {
                    record.done = Some(done);
                    return Ok(record);
                }
                StreamEnding::Error(problem) => bail!("failed: {problem:?}"),
                StreamEnding::Moved(data) => {
                    let moved: MovedData = serde_json::from_value(data)?;
                    let next = moved.caller_address;
                    record.moves.push(moved);
                    next
                }
                StreamEnding::ConnectionLost(_) => None,
            };
            record.disconnections.push(Disconnection {
                at: Instant::now(),
                token_count: record.tokens.len(),
                reason,
            });
            events = self.reconnect(id, body, &mut record, next).await?;
        }
    }

    async fn read_stream(
        &mut self,
        mut events: Events,
        record: &mut GenerationRecord,
    ) -> StreamEnding {
        loop {
            let next = tokio::time::timeout(self.token_timeout, events.next_token()).await;
            match next {
                Ok(Ok(token)) => {
                    record.tokens.push(token);
                    let token_count = record.tokens.len();
                    (self.on_token)(&record.tokens[token_count - 1], token_count);
                }
                Ok(Err(ending)) => return ending,
                Err(_) => return StreamEnding::ConnectionLost("silence".to_owned()),
            }
        }
    }

    /// Tries the named node, then every node, until one goes on.
    async fn reconnect(
        &self,
        id: RequestId,
        body: &GenerationBody,
        record: &mut GenerationRecord,
        preferred: Option<SocketAddr>,
    ) -> Result<Events> {
        let deadline = Instant::now() + RECONNECT_TIMEOUT;
        let mut reason = eyre!("no node was tried");
        while Instant::now() < deadline {
            let mut not_found_count = 0;
            for address in preferred.into_iter().chain(self.nodes.iter().copied()) {
                match self.open(address, id, body, record).await {
                    Ok(GenerationResponse::Events(events)) => return Ok(events),
                    Ok(GenerationResponse::Refused(problem)) => {
                        not_found_count += usize::from(is_not_found(&problem));
                        reason = eyre!("refused by {address}: {problem:?}");
                    }
                    Err(error) => reason = error,
                }
            }
            // Every node that answers says that the generation is disconnection.
            if not_found_count > 0
                && let Some(events) = self.rebuild(id, body, record).await?
            {
                return Ok(events);
            }
            tokio::time::sleep(ROUND_DELAY).await;
        }
        Err(reason)
    }

    async fn open(
        &self,
        address: SocketAddr,
        id: RequestId,
        body: &GenerationBody,
        record: &GenerationRecord,
    ) -> Result<GenerationResponse> {
        let caller = self.caller.at(address);
        match record.tokens.last() {
            Some(token) => caller.resume(id, &token.event_id).await,
            None => caller.generate(id, body).await,
        }
    }

    /// Brings the tokens to any node that takes them.
    async fn rebuild(
        &self,
        id: RequestId,
        body: &GenerationBody,
        record: &mut GenerationRecord,
    ) -> Result<Option<Events>> {
        let version = record
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
            tokens: record.token_data(),
            endpoint_version: version,
        };
        for address in &self.nodes {
            let caller = self.caller.at(*address);
            if let Ok(GenerationResponse::Events(events)) = caller.rebuild(id, &resume).await {
                record.rebuilds += 1;
                return Ok(Some(events));
            }
        }
        Ok(None)
    }
}

fn is_not_found(problem: &Problem) -> bool {
    problem.kind.ends_with(":not-found")
}
