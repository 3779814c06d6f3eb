//! Response bodies sent to callers.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Body as _, Frame, SizeHint};
use hyper::body::Incoming;

use super::reader::EventStream;
use crate::state::keyed_streams::RevocationSignal;

/// Body of a response to a caller.
pub enum Body {
    /// Complete body in memory; `None` once it was sent.
    Full(Option<Bytes>),
    /// Answer of a plain service, forwarded as it arrives.
    Forwarded(Box<ForwardedBody>),
    /// Answer of a model as server-sent events.
    Events(Box<EventStream>),
}

/// Answer of a plain service, with the conditions that end it.
pub struct ForwardedBody {
    /// Body from the sidecar.
    pub body: Incoming,
    /// Resolves when the caller's key is no longer valid; `None` on an open route.
    pub revocation: Option<RevocationSignal>,
    /// Counts the call as open at the upstream until the body has ended.
    pub dispatch: Option<crate::state::upstreams::OpenRequestGuard>,
}

/// Why a body ended before it was complete.
#[derive(Debug)]
pub enum BodyError {
    /// Reading from the upstream failed.
    Upstream(hyper::Error),
    /// The caller's key is no longer valid.
    Revoked,
}

impl std::fmt::Display for BodyError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Upstream(e) => write!(f, "reading from the upstream failed: {e}"),
            Self::Revoked => f.write_str("the key of the request is no longer valid"),
        }
    }
}

impl std::error::Error for BodyError {}

impl Body {
    /// Creates a body from complete bytes.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        Self::Full(Some(bytes.into()))
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Events(events) => events.poll_bytes(cx).map(|b| b.map(|b| Ok(Frame::data(b)))),
            Self::Forwarded(forwarded) => forwarded.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(bytes) => bytes.is_none(),
            Self::Forwarded(forwarded) => forwarded.body.is_end_stream(),
            Self::Events(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64)),
            Self::Forwarded(forwarded) => forwarded.body.size_hint(),
            Self::Events(_) => SizeHint::default(),
        }
    }
}

impl ForwardedBody {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let is_revoked = self
            .revocation
            .as_mut()
            .is_some_and(|revocation| revocation.poll(cx).is_ready());
        if is_revoked {
            return Poll::Ready(Some(Err(BodyError::Revoked)));
        }
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if frame.is_none() {
            self.dispatch = None;
        }
        Poll::Ready(frame.map(|f| f.map_err(BodyError::Upstream)))
    }
}
