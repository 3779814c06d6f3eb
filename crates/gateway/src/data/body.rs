//! Response bodies towards callers.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Body as _, Frame, SizeHint};
use hyper::body::Incoming;

use super::reader::EventStream;
use crate::state::keyed_streams::RevocationSignal;

/// Body of a response.
pub enum Body {
    /// Complete bytes.
    Whole(Option<Bytes>),
    /// Answer of a plain service, passed on as it comes.
    Passed(Box<Passed>),
    /// Server-sent events of a model's answer.
    Events(Box<EventStream>),
}

/// Answer of a plain service with what ends or accompanies it.
pub struct Passed {
    /// Body as it comes from the sidecar.
    pub body: Incoming,
    /// Resolves when the caller's key stops being good.
    pub ended: Option<RevocationSignal>,
    /// Counts the call while it is open.
    pub open: Option<crate::state::upstreams::OpenRequestGuard>,
}

/// Why a body breaks off.
#[derive(Debug)]
pub enum BodyError {
    /// The upstream broke off.
    Upstream(hyper::Error),
    /// The caller's key is no longer good.
    Revoked,
}

impl std::fmt::Display for BodyError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Upstream(e) => write!(f, "the upstream broke off: {e}"),
            Self::Revoked => f.write_str("the key of the request is no longer valid"),
        }
    }
}

impl std::error::Error for BodyError {}

impl Body {
    /// Body of complete bytes.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()))
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
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Events(events) => events.poll_bytes(cx).map(|b| b.map(|b| Ok(Frame::data(b)))),
            Self::Passed(passed) => passed.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.is_none(),
            Self::Passed(passed) => passed.body.is_end_stream(),
            Self::Events(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            Self::Passed(passed) => passed.body.size_hint(),
            Self::Events(_) => SizeHint::default(),
        }
    }
}

impl Passed {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let is_ended = self
            .ended
            .as_mut()
            .is_some_and(|ended| ended.poll(cx).is_ready());
        if is_ended {
            return Poll::Ready(Some(Err(BodyError::Revoked)));
        }
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if frame.is_none() {
            self.open = None;
        }
        Poll::Ready(frame.map(|f| f.map_err(BodyError::Upstream)))
    }
}
