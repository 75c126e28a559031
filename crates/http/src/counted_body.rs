//! Body of a response that keeps its connection in use.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use parsleylatch_runtime::ConnectionUse;
use viz::Body;

/// Body whose connection is in use until it is dropped.
#[derive(Debug)]
pub(crate) struct CountedBody {
    body: Body,
    _in_use: ConnectionUse,
}

impl CountedBody {
    pub(crate) fn new(body: Body, in_use: ConnectionUse) -> Self {
        Self {
            body,
            _in_use: in_use,
        }
    }
}

impl HttpBody for CountedBody {
    type Data = Bytes;
    type Error = <Body as HttpBody>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
