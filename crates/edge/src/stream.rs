//! Streams response bodies to callers: event streams in whole events, other bodies as the bytes
//! arrive.

use std::future::{Future, pending};
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::stream::unfold;
use http_body::{Body, Frame};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Incoming;
use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_policy::edge::health::Outcome;
use nutmegbay_policy::edge::silence::{Silence, Step, event_timeout};
use strum::IntoStaticStr;
use tokio::task::yield_now;
use tokio::time::{sleep, timeout};

use crate::clock::millis;
use crate::crashes;
use crate::fleet::InFlightSend;
use crate::forward::{RoutedRequest, resume, upstream_id};
use crate::http1::{BodyDelimiter, Connection};
use crate::metrics::increment;
use crate::platform_api::WireCodec;
use crate::sse::{EventError, EventSplitter};
use crate::state::EdgeState;
use crate::stopping::STOPPING;
use crate::versions;

/// Maximum size of a stream that the kernel takes at once, in bytes: it is delivered although the
/// process ends.
const MAX_DELIVERED_BYTES: usize = 16 * 1024;

/// Time after the deadline of a request for which bytes that have already arrived are still
/// forwarded. Without this limit, an upstream that never stops sending would keep the request open
/// forever.
const MAX_DEADLINE_OVERRUN: Duration = Duration::from_millis(250);

/// Error for a response that cannot be completed. The connection to the caller is closed, so that
/// the response does not look complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ResponseBodyError {
    /// The upstream failed before the end of the body.
    Upstream,
    /// The request's deadline has passed.
    Deadline,
}

impl std::fmt::Display for ResponseBodyError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.into())
    }
}

impl std::error::Error for ResponseBodyError {}

/// Body of an upstream's response, with the connection from which it is read.
pub struct ResponseSource {
    /// Connection of the response. It is kept for another request after the whole body was read.
    pub connection: Connection,
    /// Idle time that the upstream states for its connections.
    pub keep_alive: Option<Duration>,
    /// Whether the connection cannot be used after this response.
    pub is_closing: bool,
    /// Unread rest of the body.
    pub incoming: Incoming,
    /// How the response shows where its body ends.
    pub delimiter: BodyDelimiter,
    /// Whether the body has begun.
    pub has_begun: bool,
    /// Counts the request as in flight at the upstream.
    pub in_flight_send: InFlightSend,
}

/// Error for a body that has not arrived whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BrokenBody;

impl ResponseSource {
    /// Returns the next bytes, or `None` at the end of the body.
    pub async fn next_bytes(&mut self) -> Option<Result<Bytes, BrokenBody>> {
        loop {
            match self.incoming.frame().await {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(bytes) if !bytes.is_empty() => {
                        self.has_begun = true;
                        return Some(Ok(bytes));
                    }
                    // Trailers and empty frames contain no bytes of the body.
                    _ => {}
                },
                Some(Err(error)) => {
                    tracing::debug!(event = "body_broken", %error);
                    return Some(Err(BrokenBody));
                }
                // An upstream with an empty body states its length. Without one, the upstream has
                // failed before the body.
                None if self.delimiter == BodyDelimiter::Connection && !self.has_begun => {
                    return Some(Err(BrokenBody));
                }
                None => return None,
            }
        }
    }

    /// Records a good response whose body was read whole, and keeps the connection.
    pub fn finish<D: WireCodec>(mut self, state: &EdgeState<D>) {
        self.in_flight_send
            .record_outcome(Outcome::Good, state.now());
        self.release_connection(state);
    }

    /// Records that the upstream failed before the end of the body.
    pub fn record_failure<D: WireCodec>(
        &mut self,
        state: &Rc<EdgeState<D>>,
        request: &RoutedRequest,
    ) {
        crashes::record_broken_send(state, request, &self.in_flight_send);
        self.in_flight_send
            .record_outcome(Outcome::Faulty, state.now());
    }

    /// Keeps the connection for another request unless the upstream closes it. The body must have
    /// been read whole.
    pub fn release_connection<D: WireCodec>(mut self, state: &EdgeState<D>) {
        if !self.is_closing {
            self.connection.mark_idle(self.keep_alive);
            let mut fleet = state.fleet.borrow_mut();
            fleet.keep_connection(self.in_flight_send.key(), self.connection);
        }
    }
}

/// Reason for which another upstream is asked to go on with a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ResumeCause {
    /// The upstream is silent and may go on.
    Silent,
    /// The upstream has broken the stream off.
    Broken,
}

/// Units in which a response body is forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// Whole events of an event stream.
    Events,
    /// Bytes as they arrive.
    Bytes,
}

struct BodyStream<D: WireCodec> {
    state: Rc<EdgeState<D>>,
    request: Rc<RoutedRequest>,
    framing: Framing,
    source: Option<ResponseSource>,
    events: EventSplitter,
    /// Whether another upstream has gone on with the stream.
    is_resumed: bool,
    ready: Option<Bytes>,
    sent_bytes: usize,
    /// Longest time between two pieces of the body.
    longest_gap: Duration,
    /// End of that gap.
    longest_gap_end: MonotonicTime,
    /// Time at which the last piece was forwarded.
    last_sent_at: MonotonicTime,
    first_result_at: MonotonicTime,
    status: u16,
    end: Option<&'static str>,
}

/// Returns the body for the caller: `ready`, followed by the rest of `source`.
pub fn response_body<D: WireCodec>(
    state: Rc<EdgeState<D>>,
    request: Rc<RoutedRequest>,
    framing: Framing,
    source: ResponseSource,
    events: EventSplitter,
    ready: Bytes,
    status: u16,
) -> impl Body<Data = Bytes, Error = ResponseBodyError> {
    let first_result_at = state.now();
    let stream = BodyStream {
        state,
        request,
        framing,
        source: Some(source),
        events,
        is_resumed: false,
        ready: Some(ready),
        sent_bytes: 0,
        longest_gap: Duration::ZERO,
        longest_gap_end: first_result_at,
        last_sent_at: first_result_at,
        first_result_at,
        status,
        end: None,
    };
    StreamBody::new(unfold(stream, async |mut stream| {
        let next = stream.next().await?;
        Some((next.map(Frame::data), stream))
    }))
}

impl<D: WireCodec> BodyStream<D> {
    async fn next(&mut self) -> Option<Result<Bytes, ResponseBodyError>> {
        if self.end.is_some() {
            return None;
        }
        let next = match self.ready.take() {
            Some(bytes) => Some(Ok(bytes)),
            None => self.read_next().await,
        };
        match &next {
            Some(Ok(bytes)) => {
                let now = self.state.now();
                let gap = now.since(self.last_sent_at);
                if gap > self.longest_gap {
                    self.longest_gap = gap;
                    self.longest_gap_end = now;
                }
                self.last_sent_at = now;
                self.sent_bytes += bytes.len();
            }
            Some(Err(broken)) => {
                self.end = Some(broken.into());
                // `hyper` closes the connection at an error, without writing what is still in its
                // buffer. It writes that first if the body is pending.
                yield_now().await;
            }
            None => {
                self.end = Some("complete");
                if self.framing == Framing::Events && self.sent_bytes <= MAX_DELIVERED_BYTES {
                    versions::record_complete(&self.state, &self.request);
                }
            }
        }
        next
    }

    /// Returns the next piece of the body, or `None` at its end. A silent upstream is kept until
    /// another one has answered; an event that it sends before ends the request to the other one.
    async fn read_next(&mut self) -> Option<Result<Bytes, ResponseBodyError>> {
        let mut other = None;
        // A caller that reads slowly delays the start, and does not make the upstream silent.
        let mut silence = Silence::new(self.state.now());
        loop {
            let now = self.state.now();
            if now.since(self.request.deadline_at) > MAX_DEADLINE_OVERRUN {
                return Some(Err(ResponseBodyError::Deadline));
            }
            let time_left = self.request.time_left(now);
            // Bytes of an incomplete event do not extend the wait.
            let measured = self.state.delay_monitor.measure();
            let event_timeout = self.event_timeout();
            let max_wait = match silence.step(now, event_timeout, &measured) {
                Step::Wait(until) => until.map_or(time_left, |until| until.since(now)),
                Step::Ask => {
                    other = self.resumption(ResumeCause::Silent).map(Box::pin);
                    silence.record_asked(now);
                    continue;
                }
                Step::KeepSilent => {
                    other = None;
                    self.log_resumption("no_answer", false);
                    silence.record_not_taken(now);
                    continue;
                }
            };
            let source = self.source.as_mut()?;
            let input = next_input(source, other.as_mut(), max_wait.min(time_left)).await;
            match self.classify(input) {
                Next::Wait if self.request.time_left(self.state.now()).is_zero() => {
                    return Some(Err(ResponseBodyError::Deadline));
                }
                Next::Wait => {}
                Next::Piece(piece) => {
                    if other.is_some() {
                        self.log_resumption("event", false);
                    }
                    return Some(Ok(piece));
                }
                Next::End => {
                    if let Some(source) = self.source.take() {
                        if !self.is_resumed && !self.request.is_taken_up() {
                            crashes::record_complete_response(&self.state, &self.request);
                        }
                        source.finish(&self.state);
                    }
                    return None;
                }
                Next::Unusable => return Some(Err(ResponseBodyError::Upstream)),
                Next::Resumed(source) => {
                    other = None;
                    self.replace_source(ResumeCause::Silent, source);
                    silence = Silence::new(self.state.now());
                }
                Next::NotResumed => {
                    other = None;
                    self.log_resumption("not_taken", false);
                    silence.record_not_taken(self.state.now());
                }
                Next::Broken => {
                    let resumption = self.resumption(ResumeCause::Broken);
                    self.drop_source(ResumeCause::Broken);
                    let max_wait = silence.overlap_left(self.state.now());
                    let Some(source) = either(other.take(), max_wait, resumption).await else {
                        self.log_resumption("broken", false);
                        return Some(Err(ResponseBodyError::Upstream));
                    };
                    self.replace_source(ResumeCause::Broken, source);
                    silence = Silence::new(self.state.now());
                }
            }
        }
    }

    fn classify(&mut self, input: Input) -> Next {
        match input {
            Input::Due => Next::Wait,
            Input::Other(Some(source)) => Next::Resumed(source),
            Input::Other(None) => Next::NotResumed,
            Input::Read(Some(Err(_))) => Next::Broken,
            // A response without a length or chunks ends with its connection, also when the
            // upstream fails.
            Input::Read(None) if !self.events.is_between_events() => Next::Broken,
            Input::Read(None) => Next::End,
            Input::Read(Some(Ok(bytes))) if self.framing == Framing::Bytes => Next::Piece(bytes),
            Input::Read(Some(Ok(bytes))) => match self.events.push(&bytes) {
                Ok(Some(whole)) => Next::Piece(whole),
                Ok(None) => Next::Wait,
                Err(EventError::Repeated) => Next::Broken,
                Err(EventError::TooLong) => Next::Unusable,
            },
        }
    }

    /// Returns the request to another upstream to go on after the last event that was forwarded,
    /// or `None` if none may.
    fn resumption(
        &self,
        cause: ResumeCause,
    ) -> Option<impl Future<Output = Option<ResponseSource>> + use<D>> {
        let former = self.source.as_ref()?.in_flight_send.key();
        let id: Box<str> = self.resumable_after()?.into();
        let (state, request) = (Rc::clone(&self.state), Rc::clone(&self.request));
        Some(async move { resume(&state, &request, cause, former, &id).await })
    }

    /// Drops the upstream of the stream and the part of an event that it has sent. Dropping its
    /// connection tells it to stop.
    fn drop_source(&mut self, cause: ResumeCause) {
        if let Some(mut source) = self.source.take() {
            let id = upstream_id(&self.state, source.in_flight_send.key());
            if cause == ResumeCause::Broken || !self.state.delay_monitor.excuses(&id) {
                source.record_failure(&self.state, &self.request);
            }
        }
        self.events.resume();
    }

    /// Replaces the upstream of the stream, which is silent or has broken off.
    fn replace_source(&mut self, cause: ResumeCause, source: ResponseSource) {
        self.drop_source(cause);
        self.source = Some(source);
        self.is_resumed = true;
        increment(&self.state.metrics.streams_resumed);
        self.log_resumption(cause.into(), true);
    }

    /// Logs whether a resumable stream goes on at another upstream.
    fn log_resumption(&self, cause: &'static str, resumed: bool) {
        let Some(after) = self.resumable_after() else {
            return;
        };
        tracing::info!(
            event = "stream_resumed",
            id = %self.request.head.id,
            after = %after,
            resumed,
            cause,
            silent_ms = millis(self.state.now().since(self.last_sent_at)),
        );
    }

    /// Returns the id of the last event that was forwarded, if another upstream may go on after it.
    fn resumable_after(&self) -> Option<&str> {
        let may_resume = self.framing == Framing::Events && self.request.route.is_resumable;
        self.events.last_id().filter(|_| may_resume)
    }

    /// Returns the time without a whole event after which another upstream is asked to go on, or
    /// `None` if none may.
    fn event_timeout(&self) -> Option<Duration> {
        let gap = self.request.route.event_gap?;
        self.resumable_after().map(|_| event_timeout(gap))
    }
}

/// Waits up to `max_wait` for bytes of `source` or the answer of `other`.
async fn next_input(
    source: &mut ResponseSource,
    other: Option<&mut Pin<Box<impl Future<Output = Option<ResponseSource>>>>>,
    max_wait: Duration,
) -> Input {
    let answer = async {
        match other {
            Some(other) => other.await,
            None => pending().await,
        }
    };
    tokio::select! {
        biased;
        read = source.next_bytes() => Input::Read(read),
        source = answer => Input::Other(source),
        () = sleep(max_wait) => Input::Due,
    }
}

/// Returns the answer to the request that was sent first, or that of `next` if it has none within
/// `max_wait`.
async fn either<F: Future<Output = Option<ResponseSource>>>(
    sent: Option<Pin<Box<F>>>,
    max_wait: Duration,
    next: Option<F>,
) -> Option<ResponseSource> {
    let answer = match sent {
        Some(sent) => timeout(max_wait, sent).await.ok().flatten(),
        None => None,
    };
    match (answer, next) {
        (None, Some(next)) => next.await,
        (answer, _) => answer,
    }
}

/// What a stream has waited for.
#[allow(
    clippy::large_enum_variant,
    reason = "one value exists for each request in flight"
)]
enum Input {
    /// Bytes of the upstream, or the end of its body.
    Read(Option<Result<Bytes, BrokenBody>>),
    /// The end of the request to another upstream, with its response if that goes on.
    Other(Option<ResponseSource>),
    /// The end of the wait.
    Due,
}

/// What follows from an [`Input`].
#[allow(
    clippy::large_enum_variant,
    reason = "one value exists for each request in flight"
)]
enum Next {
    Wait,
    Piece(Bytes),
    End,
    Broken,
    /// The upstream sends what cannot be forwarded.
    Unusable,
    Resumed(ResponseSource),
    NotResumed,
}

impl<D: WireCodec> Drop for BodyStream<D> {
    fn drop(&mut self) {
        let end = match self.end {
            Some(end) => end,
            None if self.state.planned_stop.ended.is_cancelled() => STOPPING,
            None => {
                increment(&self.state.metrics.callers_left);
                "caller_left"
            }
        };
        let now = self.state.now();
        if self.end.is_some() {
            let took = now.since(self.request.arrived);
            let route = &self.request.route.name;
            self.state.planned_stop.record_duration(route, took, now);
        }
        let progress = self.request.progress.borrow();
        tracing::info!(
            event = "request",
            id = %self.request.head.id,
            route = %self.request.route.name,
            account = self.request.account_name(),
            status = self.status,
            cause = end,
            upstreams = %progress.upstreams,
            sends = progress.sends,
            delimiter = progress.delimiter.map(<&str>::from),
            prompt = self.request.head.work.as_ref().map(|work| work.prompt_tokens),
            output = self.request.head.work.as_ref().map(|work| work.output_tokens),
            cost_ms = progress.cost_ms.round(),
            summed_ms = progress.summed_ms.round(),
            predicted_ms = progress.predicted_ms.round(),
            load_age_ms = progress.load_age.map(millis),
            elapsed_ms = millis(self.request.elapsed),
            config = self.state.version(),
            prefill_ms = progress.prefill.map(millis),
            first_ms = millis(self.first_result_at.since(self.request.arrived)),
            longest_gap_ms = millis(self.longest_gap),
            gap_end_ms = millis(self.longest_gap_end.since(self.request.arrived)),
            total_ms = millis(now.since(self.request.arrived)),
            body_ms = millis(self.request.body_time),
            body_bytes = self.request.body.len(),
            bytes = self.sent_bytes,
        );
    }
}
