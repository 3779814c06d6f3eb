//! Answers on their way to the caller: events as they come, other bodies as bytes.

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
use tokio::time::timeout;

use crate::clock::millis;
use crate::crashes;
use crate::fleet::InFlightSend;
use crate::forward::{RoutedRequest, resume};
use crate::http1::Connection;
use crate::metrics::count;
use crate::platform_api::WireCodec;
use crate::sse::Events;
use crate::state::EdgeState;

/// Shortest silence after which a resumable stream goes on elsewhere.
const LEAST_SILENCE: Duration = Duration::from_millis(600);

/// Time after the end of a request for which bytes that are ready are still passed on. An upstream that
/// sends without end would otherwise hold the request for ever.
const LATE_BYTES: Duration = Duration::from_millis(250);

/// Pauses at their longest that make a silence.
const SILENCE_GAPS: u32 = 4;

/// An answer cannot be completed. The connection is closed, so that it does not look complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Broken {
    /// The upstream broke off.
    Upstream,
    /// The request's time is over.
    Deadline,
}

impl std::fmt::Display for Broken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.into())
    }
}

impl std::error::Error for Broken {}

/// Body of an upstream's answer with what it was read from.
pub struct Source {
    /// Connection that carries it; kept for the next request once the body is whole.
    pub connection: Connection,
    /// What the upstream says of idle connections.
    pub keep_alive: Option<Duration>,
    /// Whether the upstream closes the connection after it.
    pub is_closing: bool,
    /// Rest of the body.
    pub incoming: Incoming,
    /// The request at the upstream.
    pub in_flight_send: InFlightSend,
}

impl Source {
    /// Next bytes; none at the end of the body.
    pub async fn next(&mut self) -> Option<Result<Bytes, hyper::Error>> {
        loop {
            match self.incoming.frame().await? {
                Ok(frame) => match frame.into_data() {
                    Ok(bytes) if !bytes.is_empty() => return Some(Ok(bytes)),
                    // Trailers and empty frames carry nothing of the body.
                    _ => {}
                },
                Err(error) => return Some(Err(error)),
            }
        }
    }

    /// Ends a good answer whose body was read whole.
    pub fn finish<D: WireCodec>(mut self, state: &EdgeState<D>) {
        self.in_flight_send
            .record_outcome(Outcome::Good, state.now());
        self.give_back(state);
    }

    /// Notes that the upstream broke off.
    pub fn broke<D: WireCodec>(&mut self, state: &EdgeState<D>, request: &RoutedRequest) {
        crashes::broke(state, request, &self.in_flight_send);
        self.in_flight_send
            .record_outcome(Outcome::Faulty, state.now());
    }

    /// Keeps the connection for the next request, once the body was read whole.
    pub fn give_back<D: WireCodec>(mut self, state: &EdgeState<D>) {
        if !self.is_closing {
            self.connection.rest(self.keep_alive);
            let mut fleet = state.fleet.borrow_mut();
            fleet.keep_connection(self.in_flight_send.key(), self.connection);
        }
    }
}

/// How the bytes of an answer are cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// At the ends of events.
    Events,
    /// As they come.
    Bytes,
}

struct Relay<D: WireCodec> {
    state: Rc<EdgeState<D>>,
    request: Rc<RoutedRequest>,
    cut: Cut,
    source: Option<Source>,
    events: Events,
    ready: Option<Bytes>,
    sent_bytes: usize,
    /// Longest pause between two pieces, and when the last piece came.
    longest_gap: Duration,
    gap_ended: MonotonicTime,
    last_at: MonotonicTime,
    /// When the upstream last sent what was passed on, or took the stream over.
    heard_at: MonotonicTime,
    first_at: MonotonicTime,
    status: u16,
    end: Option<&'static str>,
}

/// Body that goes on with `ready` and then with the rest of `source`.
pub fn relay<D: WireCodec>(
    state: Rc<EdgeState<D>>,
    request: Rc<RoutedRequest>,
    cut: Cut,
    source: Source,
    events: Events,
    ready: Bytes,
    status: u16,
) -> impl Body<Data = Bytes, Error = Broken> {
    let first_at = state.now();
    let relay = Relay {
        state,
        request,
        cut,
        source: Some(source),
        events,
        ready: Some(ready),
        sent_bytes: 0,
        longest_gap: Duration::ZERO,
        gap_ended: first_at,
        last_at: first_at,
        heard_at: first_at,
        first_at,
        status,
        end: None,
    };
    StreamBody::new(unfold(relay, async |mut relay| {
        let next = relay.next().await?;
        Some((next.map(Frame::data), relay))
    }))
}

impl<D: WireCodec> Relay<D> {
    async fn next(&mut self) -> Option<Result<Bytes, Broken>> {
        if self.end.is_some() {
            return None;
        }
        let next = match self.ready.take() {
            Some(bytes) => Some(Ok(bytes)),
            None => self.pull().await,
        };
        match &next {
            Some(Ok(bytes)) => {
                let now = self.state.now();
                let gap = now.since(self.last_at);
                if gap > self.longest_gap {
                    self.longest_gap = gap;
                    self.gap_ended = now;
                }
                self.last_at = now;
                self.heard_at = now;
                self.sent_bytes += bytes.len();
            }
            Some(Err(broken)) => self.end = Some(broken.into()),
            None => self.end = Some("complete"),
        }
        next
    }

    async fn pull(&mut self) -> Option<Result<Bytes, Broken>> {
        loop {
            let now = self.state.now();
            if now.since(self.request.deadline_at) > LATE_BYTES {
                return Some(Err(Broken::Deadline));
            }
            let time_left = self.request.time_left(now);
            // Bytes of an event that does not end are silence as well.
            let silence = self.silence().map_or(time_left, |silence| {
                let rest = silence.saturating_sub(now.since(self.heard_at));
                rest.min(time_left)
            });
            let source = self.source.as_mut()?;
            let read = match timeout(silence, source.next()).await {
                Err(_) if self.request.time_left(self.state.now()).is_zero() => {
                    return Some(Err(Broken::Deadline));
                }
                Err(_) | Ok(Some(Err(_))) => Read::Lost,
                Ok(None) => Read::End,
                Ok(Some(Ok(bytes))) => Read::Bytes(bytes),
            };
            match read {
                Read::Bytes(bytes) if self.cut == Cut::Bytes => return Some(Ok(bytes)),
                Read::Bytes(bytes) => match self.events.push(&bytes) {
                    Ok(Some(whole)) => return Some(Ok(whole)),
                    Ok(None) => {}
                    Err(_) => return Some(Err(Broken::Upstream)),
                },
                Read::End => {
                    if let Some(source) = self.source.take() {
                        crashes::served(&self.state, &self.request);
                        source.finish(&self.state);
                    }
                    let rest = self.events.rest();
                    return (!rest.is_empty()).then_some(Ok(rest));
                }
                Read::Lost => {
                    if !self.go_on_elsewhere().await {
                        return Some(Err(Broken::Upstream));
                    }
                    self.heard_at = self.state.now();
                }
            }
        }
    }

    /// Lets another upstream continue after the last event that was forwarded.
    async fn go_on_elsewhere(&mut self) -> bool {
        let lost = self.source.take().map(|mut source| {
            source.broke(&self.state, &self.request);
            source.in_flight_send.key()
        });
        // Dropping the connection above has told the former upstream to stop.
        self.events.rest();
        let may_resume = self.cut == Cut::Events && self.request.route.is_resumable;
        let (true, Some(lost), Some(id)) = (may_resume, lost, self.events.last_id()) else {
            return false;
        };
        let id: Box<str> = id.into();
        self.source = resume(&self.state, &self.request, lost, &id).await;
        let resumed = self.source.is_some();
        if resumed {
            count(&self.state.metrics.streams_resumed);
        }
        tracing::info!(
            event = "stream_resumed",
            id = %self.request.head.id,
            after = %id,
            resumed,
        );
        resumed
    }

    /// Pause after which the upstream is taken for lost; none where nothing could go on elsewhere.
    fn silence(&self) -> Option<Duration> {
        let gap = self.request.route.event_gap?;
        let resumable = self.cut == Cut::Events && self.request.route.is_resumable;
        (resumable && self.events.last_id().is_some())
            .then(|| (gap * SILENCE_GAPS).max(LEAST_SILENCE))
    }
}

enum Read {
    Bytes(Bytes),
    End,
    Lost,
}

impl<D: WireCodec> Drop for Relay<D> {
    fn drop(&mut self) {
        let end = self.end.unwrap_or("caller_left");
        if self.end.is_none() {
            count(&self.state.metrics.callers_left);
        }
        let now = self.state.now();
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
            prompt = self.request.head.work.as_ref().map(|work| work.prompt_tokens),
            output = self.request.head.work.as_ref().map(|work| work.output_tokens),
            cost_ms = progress.cost_ms.round(),
            summed_ms = progress.summed_ms.round(),
            predicted_ms = progress.predicted_ms.round(),
            elapsed_ms = millis(self.request.elapsed),
            config = self.state.version(),
            prefill_ms = progress.prefill.map(millis),
            first_ms = millis(self.first_at.since(self.request.arrived)),
            longest_gap_ms = millis(self.longest_gap),
            gap_end_ms = millis(self.gap_ended.since(self.request.arrived)),
            total_ms = millis(now.since(self.request.arrived)),
            body_bytes = self.request.body.len(),
            bytes = self.sent_bytes,
        );
    }
}
