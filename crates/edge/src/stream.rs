//! Streams response bodies to callers: event streams in whole events, other bodies as the bytes
//! arrive.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::stream::unfold;
use http_body::{Body, Frame};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Incoming;
use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_policy::edge::health::Outcome;
use strum::IntoStaticStr;
use tokio::task::yield_now;
use tokio::time::timeout;

use crate::clock::millis;
use crate::crashes;
use crate::fleet::InFlightSend;
use crate::forward::{RoutedRequest, resume};
use crate::http1::{BodyDelimiter, Connection};
use crate::metrics::increment;
use crate::platform_api::WireCodec;
use crate::sse::EventSplitter;
use crate::state::EdgeState;
use crate::stopping::STOPPING;

/// Minimum time without a whole event after which a resumable stream is resumed at another
/// upstream.
const MIN_EVENT_TIMEOUT: Duration = Duration::from_millis(600);

/// Time after the deadline of a request for which bytes that have already arrived are still
/// forwarded. Without this limit, an upstream that never stops sending would keep the request open
/// forever.
const MAX_DEADLINE_OVERRUN: Duration = Duration::from_millis(250);

/// Time without a whole event after which an upstream is considered failed, as a multiple of the
/// maximum gap between events.
const EVENT_TIMEOUT_FACTOR: u32 = 4;

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
    ready: Option<Bytes>,
    sent_bytes: usize,
    /// Longest time between two pieces of the body.
    longest_gap: Duration,
    /// End of that gap.
    longest_gap_end: MonotonicTime,
    /// Time at which the last piece was forwarded.
    last_sent_at: MonotonicTime,
    /// Time at which the upstream last sent a piece that was forwarded, or took over the stream.
    last_received_at: MonotonicTime,
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
        ready: Some(ready),
        sent_bytes: 0,
        longest_gap: Duration::ZERO,
        longest_gap_end: first_result_at,
        last_sent_at: first_result_at,
        last_received_at: first_result_at,
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
                self.last_received_at = now;
                self.sent_bytes += bytes.len();
            }
            Some(Err(broken)) => {
                self.end = Some(broken.into());
                // `hyper` closes the connection at an error, without writing what is still in its
                // buffer. It writes that first if the body is pending.
                yield_now().await;
            }
            None => self.end = Some("complete"),
        }
        next
    }

    async fn read_next(&mut self) -> Option<Result<Bytes, ResponseBodyError>> {
        loop {
            let now = self.state.now();
            if now.since(self.request.deadline_at) > MAX_DEADLINE_OVERRUN {
                return Some(Err(ResponseBodyError::Deadline));
            }
            let time_left = self.request.time_left(now);
            // Bytes of an incomplete event do not extend the wait.
            let max_wait = self.event_timeout().map_or(time_left, |event_timeout| {
                let rest = event_timeout.saturating_sub(now.since(self.last_received_at));
                rest.min(time_left)
            });
            let source = self.source.as_mut()?;
            let read = match timeout(max_wait, source.next_bytes()).await {
                Err(_) if self.request.time_left(self.state.now()).is_zero() => {
                    return Some(Err(ResponseBodyError::Deadline));
                }
                Err(_) | Ok(Some(Err(_))) => ReadOutcome::Failed,
                // A response without a length or chunks ends with its connection, also when the
                // upstream fails.
                Ok(None) if !self.events.is_between_events() => ReadOutcome::Failed,
                Ok(None) => ReadOutcome::End,
                Ok(Some(Ok(bytes))) => ReadOutcome::Bytes(bytes),
            };
            match read {
                ReadOutcome::Bytes(bytes) if self.framing == Framing::Bytes => {
                    return Some(Ok(bytes));
                }
                ReadOutcome::Bytes(bytes) => match self.events.push(&bytes) {
                    Ok(Some(whole)) => return Some(Ok(whole)),
                    Ok(None) => {}
                    Err(_) => return Some(Err(ResponseBodyError::Upstream)),
                },
                ReadOutcome::End => {
                    if let Some(source) = self.source.take() {
                        crashes::record_complete_response(&self.state, &self.request);
                        source.finish(&self.state);
                    }
                    return None;
                }
                ReadOutcome::Failed => {
                    if !self.resume_elsewhere().await {
                        return Some(Err(ResponseBodyError::Upstream));
                    }
                    self.last_received_at = self.state.now();
                }
            }
        }
    }

    /// Resumes the stream at another upstream after the last event that was forwarded. Returns
    /// whether it did.
    async fn resume_elsewhere(&mut self) -> bool {
        let lost = self.source.take().map(|mut source| {
            source.record_failure(&self.state, &self.request);
            source.in_flight_send.key()
        });
        // Dropping the connection above tells the failed upstream to stop.
        self.events.take_rest();
        let may_resume = self.framing == Framing::Events && self.request.route.is_resumable;
        let (true, Some(lost), Some(id)) = (may_resume, lost, self.events.last_id()) else {
            return false;
        };
        let id: Box<str> = id.into();
        self.source = resume(&self.state, &self.request, lost, &id).await;
        let resumed = self.source.is_some();
        if resumed {
            increment(&self.state.metrics.streams_resumed);
        }
        tracing::info!(
            event = "stream_resumed",
            id = %self.request.head.id,
            after = %id,
            resumed,
        );
        resumed
    }

    /// Returns the time without a whole event after which the upstream is considered failed, or
    /// `None` if the stream cannot be resumed elsewhere.
    fn event_timeout(&self) -> Option<Duration> {
        let gap = self.request.route.event_gap?;
        let resumable = self.framing == Framing::Events && self.request.route.is_resumable;
        (resumable && self.events.last_id().is_some())
            .then(|| (gap * EVENT_TIMEOUT_FACTOR).max(MIN_EVENT_TIMEOUT))
    }
}

enum ReadOutcome {
    Bytes(Bytes),
    End,
    Failed,
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
            elapsed_ms = millis(self.request.elapsed),
            config = self.state.version(),
            prefill_ms = progress.prefill.map(millis),
            first_ms = millis(self.first_result_at.since(self.request.arrived)),
            longest_gap_ms = millis(self.longest_gap),
            gap_end_ms = millis(self.longest_gap_end.since(self.request.arrived)),
            total_ms = millis(now.since(self.request.arrived)),
            body_bytes = self.request.body.len(),
            bytes = self.sent_bytes,
        );
    }
}
