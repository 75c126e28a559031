//! Client of the administration API.

use std::{env, net::SocketAddr};

use bytes::Bytes;
use eyre::{Result, WrapErr, bail, eyre};
use http::{Method, Request};
use http_body_util::BodyExt;
use parsleylatch_http::{Body, Client, Reply, SseEvent, SseReader};
use parsleylatch_types::Millis;
use serde_json::Value;

/// Timeout of an API call.
const CALL_TIMEOUT_MS: Millis = Millis::new(10_000);

/// Path of the event stream.
const EVENTS_PATH: &str = "/admin/v1/events";

/// An open event stream.
pub(crate) struct EventStream {
    body: Body,
    reader: SseReader,
}

impl EventStream {
    /// Waits for the next event. Returns `None` at the end of the stream.
    pub(crate) async fn next(&mut self) -> Result<Option<SseEvent>> {
        loop {
            match self.reader.next_event().map_err(|reason| eyre!(reason))? {
                // Keep-alive comments have no event type.
                Some(event) if event.event.is_empty() => {}
                Some(event) => return Ok(Some(event)),
                None => match self.body.frame().await {
                    None => return Ok(None),
                    Some(frame) => {
                        if let Some(chunk) = frame?.data_ref() {
                            self.reader.push(chunk);
                        }
                    }
                },
            }
        }
    }
}

/// Client of one node's administration API.
pub(crate) struct Api {
    client: Client,
    address: SocketAddr,
    key: String,
}

impl Api {
    /// Creates a client. The address and the key default to the environment variables
    /// `PARSLEYLATCH_ADMIN` and `PARSLEYLATCH_KEY`.
    pub(crate) fn new(address: Option<SocketAddr>, key: Option<String>) -> Result<Self> {
        let address = match address {
            Some(address) => address,
            None => from_env("PARSLEYLATCH_ADMIN", "--admin")?
                .parse()
                .wrap_err("PARSLEYLATCH_ADMIN is not a socket address")?,
        };
        let key = key.map_or_else(|| from_env("PARSLEYLATCH_KEY", "--key"), Ok)?;
        Ok(Self {
            client: Client::new(),
            address,
            key,
        })
    }

    /// Returns the address of the node, for error messages.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Opens the event stream.
    pub(crate) async fn events(&self) -> Result<EventStream> {
        let request =
            Request::get(EVENTS_PATH).header("authorization", format!("Bearer {}", self.key));
        let deadline = CALL_TIMEOUT_MS.duration();
        let response = self
            .client
            .open(self.address, request, Bytes::new(), deadline)
            .await?;
        let status = response.status();
        if !status.is_success() {
            bail!("{EVENTS_PATH} at {}: {status}", self.address);
        }
        Ok(EventStream {
            body: response.into_body(),
            reader: SseReader::new(),
        })
    }

    pub(crate) async fn get(&self, path: &str) -> Result<Value> {
        let reply = self.call(Method::GET, path, Bytes::new(), &[]).await?;
        Ok(reply.json(self.address)?)
    }

    pub(crate) async fn post(&self, path: &str) -> Result<Reply> {
        self.call(Method::POST, path, Bytes::new(), &[]).await
    }

    /// Sends a request. A response with a status other than 2xx is an error.
    pub(crate) async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        headers: &[(&str, &str)],
    ) -> Result<Reply> {
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header("authorization", format!("Bearer {}", self.key));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let deadline = CALL_TIMEOUT_MS.duration();
        let reply = self
            .client
            .call(self.address, request, body, deadline)
            .await?;
        if !reply.status.is_success() {
            let text = String::from_utf8_lossy(&reply.body);
            bail!("{path} at {}: {} {text}", self.address, reply.status);
        }
        Ok(reply)
    }
}

fn from_env(variable: &str, option: &str) -> Result<String> {
    env::var(variable).map_err(|_| eyre!("missing {option}: pass it or set {variable}"))
}
