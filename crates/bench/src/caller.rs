//! A client of one node: sends requests and parses the event streams of its responses.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use eyre::{Result, bail, ensure, eyre};
use http::{HeaderMap, Request, StatusCode};
use http_body_util::BodyExt;
use parsleylatch_http::{Body, Client, Reply, SseEvent, SseReader};
use parsleylatch_types::{EndpointVersion, RequestId, TokenIndex};
use parsleylatch_wire::caller::{DoneData, GenerationBody, Problem, ResumeBody, TokenData};

/// Timeout for the head of a response.
const HEAD_TIMEOUT: Duration = Duration::from_secs(15);

/// How a stream of events ended.
#[derive(Clone, Debug, PartialEq)]
pub enum StreamEnding {
    /// The response is complete.
    Done(DoneData),
    /// The node reported an error.
    Error(Problem),
    /// The node redirected the caller to another node.
    Moved(serde_json::Value),
    /// The connection was lost without a final event, or the stream is malformed.
    ConnectionLost(String),
}

/// A token event with its arrival time.
#[derive(Clone, Debug)]
pub struct ReceivedToken {
    /// Id of the event.
    pub event_id: String,
    /// Data of the event.
    pub data: TokenData,
    /// Time of arrival.
    pub at: Instant,
}

impl ReceivedToken {
    /// Version that generates the response: the last field of the event's id.
    pub fn endpoint_version(&self) -> Option<EndpointVersion> {
        self.event_id.rsplit('/').next()?.parse().ok()
    }

    /// Node that holds a journal copy of the token, besides the node that released it.
    pub fn journal_peer(&self) -> Option<&str> {
        let peer = self.event_id.split('/').nth(1)?;
        (peer != "-").then_some(peer)
    }
}

/// An open stream of events.
pub struct Events {
    body: Body,
    reader: SseReader,
    /// Head of the response.
    pub headers: HeaderMap,
}

impl Events {
    /// Waits for the next event; `None` at the end of the stream.
    ///
    /// # Errors
    /// The connection was lost or the stream is malformed.
    pub async fn next(&mut self) -> Result<Option<SseEvent>> {
        loop {
            if let Some(event) = self.reader.next_event().map_err(|reason| eyre!(reason))? {
                return Ok(Some(event));
            }
            match self.body.frame().await {
                None => return Ok(None),
                Some(frame) => {
                    if let Some(chunk) = frame?.data_ref() {
                        self.reader.push(chunk);
                    }
                }
            }
        }
    }

    /// Waits for the next token.
    ///
    /// # Errors
    /// How the stream ended.
    pub async fn next_token(&mut self) -> std::result::Result<ReceivedToken, StreamEnding> {
        let event = match self.next().await {
            Ok(Some(event)) => event,
            Ok(None) => return Err(StreamEnding::ConnectionLost("truncated stream".to_owned())),
            Err(error) => return Err(StreamEnding::ConnectionLost(error.to_string())),
        };
        match parse_event(event) {
            Ok(StreamItem::Token(token)) => Ok(token),
            Ok(StreamItem::End(ending)) => Err(ending),
            Err(error) => Err(StreamEnding::ConnectionLost(error.to_string())),
        }
    }

    /// Reads to the end and calls `on_token` with each token as it arrives.
    pub async fn collect(mut self, mut on_token: impl FnMut(&ReceivedToken)) -> Collected {
        let mut tokens = Vec::new();
        let ending = loop {
            match self.next_token().await {
                Ok(token) => {
                    on_token(&token);
                    tokens.push(token);
                }
                Err(ending) => break ending,
            }
        };
        Collected { tokens, ending }
    }
}

enum StreamItem {
    Token(ReceivedToken),
    End(StreamEnding),
}

fn parse_event(event: SseEvent) -> Result<StreamItem> {
    match event.event.as_str() {
        "token" => {
            let data = serde_json::from_str(&event.data)?;
            Ok(StreamItem::Token(ReceivedToken {
                event_id: event.id,
                data,
                at: Instant::now(),
            }))
        }
        "done" => Ok(StreamItem::End(StreamEnding::Done(serde_json::from_str(
            &event.data,
        )?))),
        "error" => Ok(StreamItem::End(StreamEnding::Error(serde_json::from_str(
            &event.data,
        )?))),
        "moved" => Ok(StreamItem::End(StreamEnding::Moved(serde_json::from_str(
            &event.data,
        )?))),
        other => bail!("unknown event `{other}`"),
    }
}

/// Contents of a stream that was read to its end.
#[derive(Clone, Debug)]
pub struct Collected {
    /// Tokens in the order of their arrival.
    pub tokens: Vec<ReceivedToken>,
    /// How the stream ended.
    pub ending: StreamEnding,
}

/// Response to a request for a stream.
pub enum GenerationResponse {
    /// The node accepted the request.
    Events(Events),
    /// The node refused it.
    Refused(Problem),
}

/// A client of one workspace at one node.
#[derive(Clone)]
pub struct Caller {
    client: Client,
    address: SocketAddr,
    key: String,
}

impl Caller {
    /// Creates a client for a node's address with an API key.
    pub fn new(address: SocketAddr, key: &str) -> Self {
        Self {
            client: Client::new(),
            address,
            key: key.to_owned(),
        }
    }

    /// Address of the node.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the same client for another node.
    #[must_use]
    pub fn at(&self, address: SocketAddr) -> Self {
        Self {
            address,
            ..self.clone()
        }
    }

    /// Starts a generation.
    ///
    /// # Errors
    /// The failed step and the peer if there was no response.
    pub async fn generate(
        &self,
        id: RequestId,
        body: &GenerationBody,
    ) -> Result<GenerationResponse> {
        let request = Request::post("/v1/generations").header("request-id", id.to_string());
        self.open(request, serde_json::to_vec(body)?.into()).await
    }

    /// Resumes a generation after the event with the given id.
    ///
    /// # Errors
    /// The failed step and the peer if there was no response.
    pub async fn resume(&self, id: RequestId, last_event_id: &str) -> Result<GenerationResponse> {
        let request =
            Request::get(format!("/v1/generations/{id}")).header("last-event-id", last_event_id);
        self.open(request, Bytes::new()).await
    }

    /// Continues a generation from the tokens in `body`.
    ///
    /// # Errors
    /// The failed step and the peer if there was no response.
    pub async fn rebuild(&self, id: RequestId, body: &ResumeBody) -> Result<GenerationResponse> {
        let request = Request::post(format!("/v1/generations/{id}"));
        self.open(request, serde_json::to_vec(body)?.into()).await
    }

    /// Calls a service and reads the full response.
    ///
    /// # Errors
    /// The failed step and the peer if there was no response.
    pub async fn call_service(
        &self,
        id: RequestId,
        path: &str,
        body: &serde_json::Value,
    ) -> Result<Reply> {
        let request = Request::post(format!("/v1/services/{path}"))
            .header("authorization", format!("Bearer {}", self.key))
            .header("content-type", "application/json")
            .header("request-id", id.to_string());
        let body = serde_json::to_vec(body)?.into();
        Ok(self
            .client
            .call(self.address, request, body, HEAD_TIMEOUT)
            .await?)
    }

    async fn open(
        &self,
        request: http::request::Builder,
        body: Bytes,
    ) -> Result<GenerationResponse> {
        let request = request
            .header("authorization", format!("Bearer {}", self.key))
            .header("content-type", "application/json");
        let response = self
            .client
            .open(self.address, request, body, HEAD_TIMEOUT)
            .await?;
        let (head, body) = response.into_parts();
        if head.status == StatusCode::OK {
            let events = Events {
                body,
                reader: SseReader::new(),
                headers: head.headers,
            };
            return Ok(GenerationResponse::Events(events));
        }
        let body = body.collect().await?.to_bytes();
        Ok(GenerationResponse::Refused(serde_json::from_slice(&body)?))
    }
}

/// Checks that a response is complete and is the one that its version generates.
///
/// # Errors
/// The first token that is missing, repeated or different from the expected one.
pub fn check_response(body: &GenerationBody, tokens: &[TokenData], done: &DoneData) -> Result<()> {
    ensure!(
        done.tokens == body.max_tokens,
        "response ended after {} of {} tokens",
        done.tokens,
        body.max_tokens
    );
    ensure!(
        tokens.len() == body.max_tokens.get() as usize,
        "received {} tokens",
        tokens.len()
    );
    check_prefix(body, tokens, &done.endpoint_version)
}

/// Checks that tokens are a prefix of the response that a version generates.
///
/// # Errors
/// The first token that is missing, repeated or different from the expected one.
pub fn check_prefix(
    body: &GenerationBody,
    tokens: &[TokenData],
    version: &parsleylatch_types::EndpointVersion,
) -> Result<()> {
    for (position, token) in tokens.iter().enumerate() {
        let index = TokenIndex::after(position);
        ensure!(
            token.index == index,
            "token {} arrived where {index} was expected",
            token.index
        );
        let expected = parsleylatch_standin::completion::token_at(&body.prompt, version, index);
        ensure!(
            token.token == expected,
            "token {index} is {}, expected {expected}",
            token.token
        );
    }
    Ok(())
}
