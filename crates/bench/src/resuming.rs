//! A caller that reconnects: it follows `moved` events and resumes at the next
//! node when its connection is lost.

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

/// Time limit for reconnecting.
const RECONNECT_TIMEOUT: Duration = Duration::from_secs(15);
/// Delay between two rounds over all nodes.
const ROUND_DELAY: Duration = Duration::from_millis(50);
/// Longest wait for the next event before the caller reconnects to another node.
pub const MAX_TOKEN_WAIT: Duration = Duration::from_millis(1_000);

/// A lost connection.
#[derive(Clone, Debug)]
pub struct Disconnection {
    /// Time of the loss.
    pub at: Instant,
    /// Tokens received before the loss.
    pub token_count: usize,
    /// Cause: an event from the node, a network error, or a timeout.
    pub reason: String,
}

/// Record of one generation at its caller.
#[derive(Clone, Debug, Default)]
pub struct GenerationRecord {
    /// Tokens in the order of their arrival, over all connections.
    pub tokens: Vec<ReceivedToken>,
    /// Lost connections.
    pub disconnections: Vec<Disconnection>,
    /// Received `moved` events.
    pub moves: Vec<MovedData>,
    /// Number of times that the caller had to supply the tokens itself.
    pub rebuilds: usize,
    /// Final event of the response.
    pub done: Option<DoneData>,
}

impl GenerationRecord {
    /// Data of the tokens.
    pub fn token_data(&self) -> Vec<TokenData> {
        self.tokens.iter().map(|token| token.data.clone()).collect()
    }

    /// Times from each disconnection to the next token.
    pub fn resume_latencies(&self) -> Vec<Duration> {
        let latencies = self.disconnections.iter().filter_map(|disconnection| {
            let next = self.tokens.get(disconnection.token_count)?;
            Some(next.at.saturating_duration_since(disconnection.at))
        });
        latencies.collect()
    }

    /// Longest interval between two tokens.
    pub fn longest_gap(&self) -> Duration {
        let gaps = self
            .tokens
            .windows(2)
            .map(|pair| pair[1].at.saturating_duration_since(pair[0].at));
        gaps.max().unwrap_or_default()
    }
}

/// Callback for each token, with the number of tokens so far.
pub type TokenObserver<'a> = Box<dyn FnMut(&ReceivedToken, usize) + Send + 'a>;

/// A caller that reconnects and resumes until its generation ends.
pub struct ResumingCaller<'a> {
    /// Caller of a workspace.
    pub caller: Caller,
    /// Nodes in the order in which they are tried.
    pub nodes: Vec<SocketAddr>,
    /// Timeout for the next event.
    pub token_timeout: Duration,
    /// Called with each token as it arrives and the number of tokens so far.
    pub on_token: TokenObserver<'a>,
}

impl<'a> ResumingCaller<'a> {
    /// Creates a caller for a list of nodes.
    pub fn new(caller: Caller, nodes: Vec<SocketAddr>) -> Self {
        Self {
            caller,
            nodes,
            token_timeout: MAX_TOKEN_WAIT,
            on_token: Box::new(|_, _| {}),
        }
    }

    /// Sets the callback for each token.
    #[must_use]
    pub fn on_token(mut self, on_token: impl FnMut(&ReceivedToken, usize) + Send + 'a) -> Self {
        self.on_token = Box::new(on_token);
        self
    }

    /// Runs a generation to its end and reconnects as needed.
    ///
    /// # Errors
    /// The problem that a node reported, or that no node continued the generation.
    pub async fn run(mut self, id: RequestId, body: &GenerationBody) -> Result<GenerationRecord> {
        let mut record = GenerationRecord::default();
        let first = self.caller.at(self.nodes[0]);
        let mut events = match first.generate(id, body).await? {
            GenerationResponse::Events(events) => events,
            GenerationResponse::Refused(problem) => bail!("request refused: {problem:?}"),
        };
        loop {
            let ending = self.read_stream(events, &mut record).await;
            let reason = format!("{ending:?}");
            let next = match ending {
                StreamEnding::Done(done) => {
                    record.done = Some(done);
                    return Ok(record);
                }
                StreamEnding::Error(problem) => bail!("generation failed: {problem:?}"),
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
                Err(_) => return StreamEnding::ConnectionLost("token timeout".to_owned()),
            }
        }
    }

    /// Tries the preferred node, then every node, until one continues the generation.
    async fn reconnect(
        &self,
        id: RequestId,
        body: &GenerationBody,
        record: &mut GenerationRecord,
        preferred: Option<SocketAddr>,
    ) -> Result<Events> {
        let deadline = Instant::now() + RECONNECT_TIMEOUT;
        let mut reason = eyre!("no nodes were tried");
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
            // At least one node does not have the generation and no node continues it, so
            // it may be lost.
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

    /// Sends the received tokens to each node until one continues from them.
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
