//! Sends a request to one upstream and reads the start of the response.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::CONTENT_LENGTH;
use http::{HeaderMap, Request};
use nutmegbay_core::verdict::Verdict;
use nutmegbay_policy::UpstreamKey;
use nutmegbay_policy::edge::health::Outcome;
use tokio::time::timeout;

use super::upload::await_result;
use super::{
    CONNECTION_HEADERS, CRASHES_UPSTREAMS, Forwarder, UPSTREAM_MEMORY, upstream_id,
    upstream_outcome,
};
use crate::crashes;
use crate::fleet::{Demand, InFlightSend};
use crate::http1::{BodyDelimiter, CallError, Cause, Connection};
use crate::metrics::increment;
use crate::model::{RequestKind, ResponseHead, Stage, UpstreamRequestContext};
use crate::platform_api::{OutboundRequest, UnreadResponse, WireCodec};
use crate::quota::OVER_QUOTA;
use crate::sse::{EventError, EventSplitter};
use crate::stream::{BrokenBody, Framing, ResponseSource};

/// Largest body that is buffered before it is passed on, in bytes. A response that breaks within
/// this size can still be replaced by another upstream's.
pub const MAX_BUFFERED_BODY: usize = 64 * 1024;

/// Cause of a send that received the response to another request.
const FOREIGN_RESPONSE: &str = "answer_of_another_request";

/// Outcome of a send.
#[allow(
    clippy::large_enum_variant,
    reason = "one value exists for each request in flight"
)]
pub enum SendOutcome {
    /// The upstream responded.
    Response(UpstreamResponse),
    /// Nothing was sent, or only what cannot run the request. Contains the cause.
    NotRun(&'static str),
    /// The request was sent and no usable response came. Contains the cause.
    NoResponse(&'static str),
}

/// Response of an upstream, with its body or the beginning of it.
pub struct UpstreamResponse {
    pub head: ResponseHead,
    /// Headers as received.
    pub headers: HeaderMap,
    /// Body.
    pub body: ResponseBody,
}

/// Body of an upstream's response.
#[allow(
    clippy::large_enum_variant,
    reason = "one value exists for each request in flight"
)]
pub enum ResponseBody {
    /// Complete body.
    Whole(Bytes),
    /// Beginning of the body and the source of the rest.
    Rest {
        /// Units in which the rest is forwarded.
        framing: Framing,
        /// Source of the rest.
        source: ResponseSource,
        /// Buffer for an incomplete event.
        events: EventSplitter,
        /// Beginning of the body.
        ready: Bytes,
    },
}

/// Response whose body has not been read.
pub struct OpenedResponse {
    pub head: ResponseHead,
    /// Headers as received.
    pub headers: HeaderMap,
    /// Source of the body.
    pub source: ResponseSource,
}

impl<D: WireCodec> Forwarder<'_, D> {
    /// Sends the request to `at` and waits up to `max_wait` for its first result, or longer while the
    /// edge is late.
    pub async fn send(
        &mut self,
        at: UpstreamKey,
        cost_ms: f64,
        stage: Stage<'_>,
        max_wait: Duration,
    ) -> SendOutcome {
        let (edge, request) = (self.state, self.request);
        let response = self.send_and_read(at, cost_ms, stage);
        match await_result(edge, request, max_wait, response).await {
            Ok(send) => send,
            Err(_) => SendOutcome::NoResponse(self.record_unresponsive(at)),
        }
    }

    /// Resumes a stream at `at` after the event `after`. Returns the source of the rest of the
    /// stream.
    pub async fn send_resumed(
        &mut self,
        at: UpstreamKey,
        cost_ms: f64,
        after: &str,
    ) -> Option<ResponseSource> {
        let time_left = self.request.time_left(self.state.now());
        let sent = self.open(at, cost_ms, Stage::Whole, Some(after));
        match timeout(time_left, sent).await {
            Ok(Ok(OpenedResponse { head, source, .. }))
                if head.status.is_success() && head.is_signed =>
            {
                Some(source)
            }
            _ => None,
        }
    }

    /// Records that an upstream is unresponsive, unless the edge itself is late, and returns the
    /// cause. The dropped connection already tells the upstream to stop.
    pub fn record_unresponsive(&self, at: UpstreamKey) -> &'static str {
        let now = self.state.now();
        let id = upstream_id(self.state, at);
        if !self.state.delay_monitor.excuses(&id) {
            let mut fleet = self.state.fleet.borrow_mut();
            fleet.record_outcome(at, Outcome::Unreachable, now);
        }
        if self.request.time_left(now).is_zero() {
            "deadline"
        } else {
            "silent"
        }
    }

    async fn send_and_read(
        &mut self,
        at: UpstreamKey,
        cost_ms: f64,
        stage: Stage<'_>,
    ) -> SendOutcome {
        let OpenedResponse {
            head,
            headers,
            mut source,
        } = match self.open(at, cost_ms, stage, None).await {
            Ok(head) => head,
            Err(send) => return send,
        };
        if head.is_not_run() || !head.status.is_success() {
            return self.read_error_response(head, headers, source, stage).await;
        }
        if !head.is_signed {
            source
                .in_flight_send
                .record_outcome(Outcome::Faulty, self.state.now());
            return SendOutcome::NoResponse("unsigned_answer");
        }
        match self.request.route.kind {
            RequestKind::Streaming => self.read_first_event(head, headers, source).await,
            _ => self.read_whole_response(head, headers, source).await,
        }
    }

    /// Reads the complete body of a refusal or an error response.
    async fn read_error_response(
        &mut self,
        head: ResponseHead,
        headers: HeaderMap,
        mut source: ResponseSource,
        stage: Stage<'_>,
    ) -> SendOutcome {
        let Ok((body, true)) = read_up_to(&mut source, MAX_BUFFERED_BODY).await else {
            return if head.is_not_run() {
                SendOutcome::Response(UpstreamResponse {
                    head,
                    headers,
                    body: ResponseBody::Whole(Bytes::new()),
                })
            } else {
                SendOutcome::NoResponse("upstream_broke")
            };
        };
        if !head.is_not_run() {
            source.in_flight_send.record_first_result(self.state.now());
            self.count_usage_once();
        }
        if let Some(outcome) = upstream_outcome(&head, stage) {
            source
                .in_flight_send
                .record_outcome(outcome, self.state.now());
        }
        source.release_connection(self.state);
        SendOutcome::Response(UpstreamResponse {
            head,
            headers,
            body: ResponseBody::Whole(body),
        })
    }

    /// Reads up to the first complete event, so that a stream that breaks before it can be replaced
    /// by another upstream's.
    async fn read_first_event(
        &mut self,
        head: ResponseHead,
        headers: HeaderMap,
        mut source: ResponseSource,
    ) -> SendOutcome {
        let may_resume = self.request.route.is_resumable;
        let resume_after = self.request.head.resume_after.as_deref();
        let resume_after = resume_after.filter(|_| may_resume);
        let mut events = EventSplitter::resumed_after(resume_after);
        loop {
            let read = source.next_bytes().await;
            let Some(Ok(bytes)) = read else {
                source.record_failure(self.state, self.request);
                return SendOutcome::NoResponse(match read {
                    None if events.is_between_events() => "empty_stream",
                    _ => "upstream_broke",
                });
            };
            match events.push(&bytes) {
                Ok(Some(ready)) => {
                    let now = self.state.now();
                    source.in_flight_send.record_speed(now);
                    source.in_flight_send.record_first_result(now);
                    self.count_usage_once();
                    self.record_prefix_use_at(source.in_flight_send.key());
                    self.record_stream_version(&source.in_flight_send);
                    return SendOutcome::Response(UpstreamResponse {
                        head,
                        headers,
                        body: ResponseBody::Rest {
                            framing: Framing::Events,
                            source,
                            events,
                            ready,
                        },
                    });
                }
                Ok(None) => {}
                Err(EventError::TooLong) => return SendOutcome::NoResponse("event_too_long"),
                Err(EventError::Repeated) => {
                    source.record_failure(self.state, self.request);
                    return SendOutcome::NoResponse("event_repeated");
                }
            }
        }
    }

    async fn read_whole_response(
        &mut self,
        head: ResponseHead,
        headers: HeaderMap,
        mut source: ResponseSource,
    ) -> SendOutcome {
        let began = self.state.now();
        let Ok((body, is_whole)) = read_up_to(&mut source, MAX_BUFFERED_BODY).await else {
            source.record_failure(self.state, self.request);
            self.count_usage_once();
            return SendOutcome::NoResponse("upstream_broke");
        };
        self.count_usage_once();
        source.in_flight_send.record_first_result(self.state.now());
        let took = self.state.now().since(began.min(self.request.arrived));
        self.state
            .fleet
            .borrow_mut()
            .record_plain_request(&self.request.service.name, took.as_secs_f64() * 1e3);
        let body = if is_whole {
            crashes::record_complete_response(self.state, self.request);
            source.finish(self.state);
            ResponseBody::Whole(body)
        } else {
            ResponseBody::Rest {
                framing: Framing::Bytes,
                source,
                events: EventSplitter::default(),
                ready: body,
            }
        };
        SendOutcome::Response(UpstreamResponse {
            head,
            headers,
            body,
        })
    }

    /// Counts a send to `at` that is about to happen. Returns the cause if it must not happen.
    /// Every send of a request passes through this check.
    fn check_send(&self, at: UpstreamKey, stage: Stage<'_>) -> Result<(), &'static str> {
        if crashes::refused_for(self.state, self.request).is_some() {
            return Err(CRASHES_UPSTREAMS);
        }
        self.check_version(at)?;
        let now = self.state.now();
        let mut fleet = self.state.fleet.borrow_mut();
        if !fleet.has_room_for(at, self.request.body.len(), now) {
            return Err(UPSTREAM_MEMORY);
        }
        fleet.try_send(at, now)?;
        if stage != Stage::Prefill {
            crashes::record_sent(self.state, self.request);
        }
        Ok(())
    }

    /// Sends the request and reads the head of the response.
    pub async fn open(
        &mut self,
        at: UpstreamKey,
        cost_ms: f64,
        stage: Stage<'_>,
        after: Option<&str>,
    ) -> Result<OpenedResponse, SendOutcome> {
        self.check_send(at, stage).map_err(SendOutcome::NotRun)?;
        self.tried.push(at);
        let id = upstream_id(self.state, at);
        self.request
            .progress
            .borrow_mut()
            .record_upstream(&id, stage);
        let now = self.state.now();
        let fleet = &self.state.fleet;
        let link_ms = fleet.borrow().link_ms(self.request.body.len(), now);
        let demand = Demand {
            urgency: self.request.urgency(),
            cost_ms,
            link_ms,
            is_long: stage != Stage::Prefill && self.request.is_long(),
            needs_prefill: !matches!(stage, Stage::Decode { .. }),
        };
        let body_bytes = self.request.body.len();
        let mut in_flight_send = InFlightSend::new(fleet, at, demand, body_bytes, now);
        let req = self.build_request(&id, stage, after);
        let counts = stage != Stage::Prefill;
        let (connection, response) = match self.deliver(at, req.clone(), counts).await {
            Ok(sent) => sent,
            Err(error) => return Err(self.record_failed_send(error, stage, in_flight_send)),
        };
        let mut is_reusable = true;
        let (mut connection, mut response) = (connection, response);
        let mut head = self.head(&response);
        if self.is_foreign(&head, connection.has_carried_others()) {
            in_flight_send.record_outcome(Outcome::Faulty, self.state.now());
            let lost = match stage {
                Stage::Prefill => SendOutcome::NotRun(FOREIGN_RESPONSE),
                _ => SendOutcome::NoResponse(FOREIGN_RESPONSE),
            };
            let Some(next) = self.skip_foreign_response(connection, response, req).await else {
                return Err(lost);
            };
            (connection, response) = next;
            is_reusable = false;
            head = self.head(&response);
            if self.is_foreign(&head, true) {
                return Err(lost);
            }
        }
        self.record_head(&head, stage, &mut in_flight_send);
        let delimiter = BodyDelimiter::of(&response);
        self.request.progress.borrow_mut().delimiter = Some(delimiter);
        if head.is_not_run() {
            connection.record_refusal(self.request.id_hash());
            self.record_not_run();
        }
        let (parts, incoming) = response.into_parts();
        Ok(OpenedResponse {
            headers: parts.headers,
            source: ResponseSource {
                connection,
                keep_alive: head.keep_alive,
                is_closing: head.is_closing || !is_reusable,
                incoming,
                delimiter,
                has_begun: false,
                in_flight_send,
            },
            head,
        })
    }

    /// Records a send that got no response, and returns its outcome.
    fn record_failed_send(
        &self,
        CallError { verdict, cause }: CallError,
        stage: Stage<'_>,
        mut in_flight_send: InFlightSend,
    ) -> SendOutcome {
        match verdict {
            _ if cause == Cause::OverQuota => return SendOutcome::NotRun(OVER_QUOTA),
            Verdict::NotRun => self.record_not_run(),
            _ => crashes::record_broken_send(self.state, self.request, &in_flight_send),
        }
        let id = upstream_id(self.state, in_flight_send.key());
        let is_timeout = cause == Cause::Timeout;
        if !(is_timeout && self.state.delay_monitor.excuses(&id)) {
            in_flight_send.record_outcome(Outcome::Unreachable, self.state.now());
        }
        match verdict {
            Verdict::NotRun => SendOutcome::NotRun("connect"),
            // A prefill does not run the request.
            _ if stage == Stage::Prefill => SendOutcome::NotRun(cause.into()),
            _ => SendOutcome::NoResponse(cause.into()),
        }
    }

    /// Sends the request on an idle connection or a new one. Repeats the send only if the request
    /// was certainly not written. `counts` states whether the request may run, and so counts toward
    /// the quota of its account.
    async fn deliver(
        &mut self,
        at: UpstreamKey,
        req: OutboundRequest,
        counts: bool,
    ) -> Result<(Connection, UnreadResponse), CallError> {
        let addr = {
            let fleet = self.state.fleet.borrow();
            fleet.get(at).map(|upstream| upstream.report.addr)
        };
        let Some(addr) = addr else {
            return Err(CallError {
                verdict: Verdict::NotRun,
                cause: Cause::Connect,
            });
        };
        self.is_first_run = false;
        loop {
            let kept = self.state.fleet.borrow_mut().take_connection(at);
            let kept = kept.filter(|connection| !connection.has_refused(self.request.id_hash()));
            let mut connection = match kept {
                Some(connection) => connection,
                None => {
                    increment(&self.state.metrics.connections_opened);
                    let monitor = &self.state.delay_monitor;
                    let opened = Connection::open_small(addr, monitor).await;
                    opened.inspect_err(|error| {
                        crashes::record_connect_error(self.state, at, error);
                    })?
                }
            };
            self.check_start(at, &mut connection).await?;
            // The list may have changed while the connection was opened.
            self.check_version(at).map_err(|_| CallError {
                verdict: Verdict::NotRun,
                cause: Cause::Connect,
            })?;
            if counts {
                connection = self.spend_quota(at, connection).await?;
            }
            self.sends += 1;
            self.request.progress.borrow_mut().record_send(&connection);
            {
                let mut fleet = self.state.fleet.borrow_mut();
                fleet.record_sent_bytes(self.request.body.len(), self.state.now());
            }
            match connection.send(req.clone()).await {
                Ok(response) => return Ok((connection, response)),
                Err(error) if error.verdict == Verdict::NotRun && connection.is_reused() => {
                    self.record_not_run();
                    self.sends -= 1;
                    self.request.progress.borrow_mut().sends -= 1;
                }
                Err(error) => return Err(error),
            }
        }
    }

    fn build_request(
        &self,
        instance: &str,
        stage: Stage<'_>,
        after: Option<&str>,
    ) -> OutboundRequest {
        let request = self.request;
        let is_model = request.service.engine.is_some();
        let mut req = Request::new(request.body.clone().into());
        *req.method_mut() = request.method.clone();
        *req.uri_mut() = request.target.parse().unwrap_or_default();
        let headers = req.headers_mut();
        *headers = request.head.forwarded.clone();
        for name in &CONNECTION_HEADERS {
            headers.remove(name);
        }
        headers.remove(CONTENT_LENGTH);
        self.state.codec.encode_request_context(
            &UpstreamRequestContext {
                instance,
                deadline: Some(request.time_left(self.state.now())),
                account: request.account.as_ref().map(|account| &*account.name),
                priority: is_model.then(|| request.rank()),
                stage,
                resume_after: after,
            },
            headers,
        );
        req
    }

    /// Counts the request for its client account unless it was counted before.
    fn count_usage_once(&self) {
        let mut progress = self.request.progress.borrow_mut();
        if !std::mem::replace(&mut progress.is_counted, true)
            && let Some(account) = &self.request.account
        {
            self.state.count_usage(&account.name);
        }
    }

    fn record_prefix_use_at(&self, at: UpstreamKey) {
        if let Some(work) = &self.request.head.work {
            let mut fleet = self.state.fleet.borrow_mut();
            fleet.record_prefix_use(work, at, self.state.now());
        }
    }
}

/// Reads until the body ends or more than `limit` bytes are buffered. The flag is true if the body
/// has ended.
pub async fn read_up_to(
    source: &mut ResponseSource,
    limit: usize,
) -> Result<(Bytes, bool), BrokenBody> {
    let mut first = Bytes::new();
    let mut buf = BytesMut::new();
    while let Some(bytes) = source.next_bytes().await {
        let bytes = bytes?;
        if first.is_empty() && buf.is_empty() {
            first = bytes;
            continue;
        }
        if buf.is_empty() {
            buf.extend_from_slice(&first);
        }
        buf.extend_from_slice(&bytes);
        if buf.len() > limit {
            return Ok((buf.freeze(), false));
        }
    }
    Ok((if buf.is_empty() { first } else { buf.freeze() }, true))
}
