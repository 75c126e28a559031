//! Connector of the client, whose connections limit what they read.

use std::task::{Context, Poll};

use futures::{TryFutureExt, future::MapOk};
use http::Uri;
use hyper_util::{
    client::legacy::connect::{Connected, Connection, HttpConnector},
    rt::TokioIo,
};
use tokio::net::TcpStream;
use tower_service::Service;

use crate::{limited_reader::LimitedReader, read_progress::ReadProgress, unsent::limit_unsent};

type LimitedStream = LimitedReader<TcpStream, fn(&[u8])>;

/// Opens connections that fail without progress. A response carries the [`ReadProgress`] of
/// its connection as an extension.
#[derive(Clone, Debug)]
pub(crate) struct LimitedConnector(HttpConnector);

impl LimitedConnector {
    pub(crate) fn new(connector: HttpConnector) -> Self {
        Self(connector)
    }
}

impl Service<Uri> for LimitedConnector {
    type Response = TokioIo<LimitedStream>;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = MapOk<
        <HttpConnector as Service<Uri>>::Future,
        fn(TokioIo<TcpStream>) -> TokioIo<LimitedStream>,
    >;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.0.poll_ready(context)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        self.0.call(uri).map_ok(limit)
    }
}

fn limit(stream: TokioIo<TcpStream>) -> TokioIo<LimitedStream> {
    let progress = ReadProgress::of_responses();
    let stream = stream.into_inner();
    // Without the bound, fewer incomplete responses are recognized.
    if let Err(error) = limit_unsent(&stream) {
        log::debug!("unsent bytes of a connection can't be limited: {error}");
    }
    TokioIo::new(LimitedReader::new(stream, progress, |_| ()))
}

impl Connection for LimitedStream {
    fn connected(&self) -> Connected {
        let connected = self.get_ref().connected();
        connected.extra(self.progress().clone())
    }
}
