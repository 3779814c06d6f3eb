//! Forwards one request to upstreams until it has a response or must not be sent again.

mod admit;
mod attempt;
mod continuation;
mod head;
mod prefill;
mod quota;
mod request;
mod start;
mod upload;

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_LENGTH;
use http::{HeaderMap, Response, StatusCode};
use http_body::Body;
use http_body_util::{Either, Full};
use nutmegbay_core::verdict::Verdict;
use nutmegbay_policy::UpstreamKey;
use nutmegbay_policy::edge::admission::{overload_retry_ms, retry_after};
use nutmegbay_policy::edge::health::Outcome;
use nutmegbay_policy::edge::placement::Placement;
use nutmegbay_policy::edge::software_versions::VersionTag;

use crate::crashes;
use crate::fleet::{ModelRequest, PrefillWait};
use crate::model::{Refusal, Stage};
use crate::platform_api::WireCodec;
use crate::quota::OVER_QUOTA;
use crate::state::EdgeState;
use crate::stream::{Framing, ResponseBodyError, ResponseSource, ResumeCause, response_body};

use attempt::{ResponseBody, SendOutcome, UpstreamResponse};
use continuation::NO_UPSTREAM_OF_VERSION;
pub use request::{Failure, InFlightGuard, RequestProgress, RoutedRequest};

/// Maximum number of placements of one request. Sends that an upstream refused, or whose connection
/// was closed before use, each need another one.
const MAX_PLACEMENTS: u32 = 4;

/// Expected time until a service without known upstreams has one, in milliseconds: about the time
/// between two reads of the list of instances.
const NO_UPSTREAM_RETRY_MS: f64 = 400.0;

/// Expected time until upstreams that refused a request have capacity again, in milliseconds.
const REFUSED_RETRY_MS: f64 = 100.0;

/// Multiple of the predicted time to the first result after which a repeatable request is sent to
/// another upstream.
const FIRST_RESULT_TIMEOUT_FACTOR: f64 = 4.0;

/// Cause of a request for which no upstream is known that accepts requests.
const NO_UPSTREAM: &str = "no_upstream";

/// Cause of a request that is refused because its content crashes upstreams.
const CRASHES_UPSTREAMS: &str = "crashes_upstreams";

/// Cause of a request that is not sent because the upstream would hold too much.
const UPSTREAM_MEMORY: &str = "upstream_memory";

/// Cause of a failure in place of a response whose status promises that the request did not run,
/// which its upstream does not state.
const UNPROVED_REFUSAL: &str = "unproved_refusal";

/// Response headers that apply to a single connection.
const CONNECTION_HEADERS: [http::HeaderName; 5] = [
    http::header::CONNECTION,
    http::header::TRANSFER_ENCODING,
    http::header::TRAILER,
    http::header::TE,
    http::header::UPGRADE,
];

/// Forwards a routed request and returns the response for the caller.
pub async fn serve<D: WireCodec>(
    state: &Rc<EdgeState<D>>,
    request: &Rc<RoutedRequest>,
) -> Result<Response<impl Body<Data = Bytes, Error = ResponseBodyError> + use<D>>, Failure> {
    let response = Forwarder::new(state, request).run().await?;
    request.progress.borrow_mut().first_result_at = Some(state.now());
    record_lateness(state, request);
    let is_delivered = response.head.status.is_success();
    state
        .metrics
        .record_first_result(&request.route.name, state.now().since(request.arrived));
    let mut res = Response::new(());
    *res.status_mut() = response.head.status;
    *res.headers_mut() = response_headers(state, response.headers);
    let body = match response.body {
        ResponseBody::Whole(bytes) => Either::Left(Full::new(bytes)),
        ResponseBody::Rest {
            framing,
            source,
            events,
            ready,
        } => {
            if framing == Framing::Events && is_delivered {
                // A stream that another upstream resumes may have a different length.
                res.headers_mut().remove(CONTENT_LENGTH);
            }
            request.progress.borrow_mut().is_streaming = true;
            let status = response.head.status.as_u16();
            let (state, request) = (Rc::clone(state), Rc::clone(request));
            Either::Right(response_body(
                state, request, framing, source, events, ready, status,
            ))
        }
    };
    Ok(res.map(|()| crate::ingress::unify_body(body)))
}

/// Sends a stream's request to another upstream, which continues after the event `after`. The
/// upstream `former` is tried again only if the stream broke there and there is no other one.
pub async fn resume<D: WireCodec>(
    state: &Rc<EdgeState<D>>,
    request: &Rc<RoutedRequest>,
    cause: ResumeCause,
    former: UpstreamKey,
    after: &str,
) -> Option<ResponseSource> {
    let mut forwarder = Forwarder::new(state, request);
    forwarder.tried.push(former);
    forwarder.sends = request.progress.borrow().sends;
    if crashes::refused_for(state, request).is_some() {
        return None;
    }
    let Placement::Whole { at, cost_ms, .. } = forwarder.place_unsplit()? else {
        return None;
    };
    // A retry is taken from the budget only if there is a place for it.
    if (cause == ResumeCause::Silent && at == former) || !forwarder.may_send_again() {
        return None;
    }
    forwarder.send_resumed(at, cost_ms, after).await
}

/// Returns the headers of an upstream's response without those that apply to a single connection.
fn response_headers<D: WireCodec>(state: &EdgeState<D>, mut headers: HeaderMap) -> HeaderMap {
    for name in &CONNECTION_HEADERS {
        headers.remove(name);
    }
    let per_connection: Vec<_> = headers
        .keys()
        .filter(|name| state.codec.is_connection_header(name))
        .cloned()
        .collect();
    for name in per_connection {
        headers.remove(name);
    }
    headers
}

/// Forwards one request, to several upstreams in turn if necessary.
struct Forwarder<'a, D: WireCodec> {
    state: &'a Rc<EdgeState<D>>,
    request: &'a Rc<RoutedRequest>,
    tried: Vec<UpstreamKey>,
    /// Number of sends that count as attempts.
    sends: u32,
    verdict: Verdict,
    last_error_response: Option<UpstreamResponse>,
    /// Time for which the request is refused because it crashes upstreams.
    refused_for: Option<Duration>,
    /// Time until an upstream accepts a request from this instance again.
    busy_wait: Option<Duration>,
    /// Counts the request as pending work until its first result.
    prefill_wait: Option<PrefillWait>,
    /// Whether an engine has run a separate prefill.
    has_prefill: bool,
    /// Version of the engine that holds the prefill result which is to be decoded.
    prefill_version: Option<VersionTag>,
    /// Whether the last send is the only one that may have run the request so far.
    is_first_run: bool,
    /// Whether the request may begin a stream at a version that is not in use: there is no other.
    may_begin_anywhere: bool,
    cause: &'static str,
}

impl<'a, D: WireCodec> Forwarder<'a, D> {
    fn new(state: &'a Rc<EdgeState<D>>, request: &'a Rc<RoutedRequest>) -> Self {
        Self {
            state,
            request,
            tried: Vec::new(),
            sends: 0,
            verdict: Verdict::NotRun,
            last_error_response: None,
            refused_for: None,
            busy_wait: None,
            prefill_wait: None,
            has_prefill: false,
            prefill_version: None,
            is_first_run: false,
            may_begin_anywhere: false,
            cause: NO_UPSTREAM,
        }
    }

    /// Sends the request until it has a response or must not be sent again.
    async fn run(self) -> Result<UpstreamResponse, Failure> {
        let response = self.send_in_turn().await?;
        // Every response of an upstream to a caller passes here.
        if response.head.is_unproved_refusal() {
            return Err(Failure {
                status: StatusCode::BAD_GATEWAY,
                verdict: Verdict::Ran,
                cause: UNPROVED_REFUSAL,
                retry_after: None,
            });
        }
        Ok(response)
    }

    async fn send_in_turn(mut self) -> Result<UpstreamResponse, Failure> {
        self.acquire_quota().await?;
        self.find_version().await?;
        for round in 0..MAX_PLACEMENTS {
            self.prefill_version = None;
            self.refused_for = crashes::refused_for(self.state, self.request);
            if self.refused_for.is_some() {
                self.cause = CRASHES_UPSTREAMS;
                break;
            }
            let Some(mut placement) = self.place_in_turn(round == 0).await? else {
                self.record_placement_cause();
                break;
            };
            if round > 0 && self.sends > 0 && !self.may_send_again() {
                break;
            }
            if self.has_prefill && matches!(placement, Placement::Split { .. }) {
                let Some(affordable) = self.repeat_prefill(placement) else {
                    break;
                };
                placement = affordable;
            }
            let outcome = match placement {
                Placement::Whole {
                    at,
                    cost_ms,
                    first_result_ms,
                } => {
                    let max_wait = self.first_result_timeout(first_result_ms);
                    self.send(at, cost_ms, Stage::Whole, max_wait).await
                }
                Placement::Split { .. } => self.send_split(placement).await,
            };
            if let Some(response) = self.select_response(outcome) {
                if let Some(prefill_wait) = self.prefill_wait.take() {
                    prefill_wait.record_first_result();
                    self.record_done();
                }
                return Ok(response);
            }
            if !self.request.route.is_repeatable() && self.verdict != Verdict::NotRun {
                break;
            }
            if self.cause == OVER_QUOTA {
                break;
            }
            if self.request.time_left(self.state.now()).is_zero() {
                self.cause = "deadline";
                break;
            }
        }
        // An error response of an upstream is passed on in preference to an error of the edge's
        // own.
        match self.last_error_response.take() {
            Some(response) => Ok(response),
            None => Err(self.failure()),
        }
    }

    fn place(&self) -> Option<Placement> {
        let now = self.state.now();
        let fleet = self.state.fleet.borrow();
        let service = &self.request.service;
        let mut avoided = self.avoided(&fleet, now).into_owned();
        avoided.extend(fleet.full_upstreams(&service.name, self.request.body.len(), now));
        avoided.extend(self.held_upstreams(&fleet));
        match (&service.engine, &self.request.head.work) {
            (Some(engine), Some(work)) => {
                let req = ModelRequest {
                    service,
                    engine,
                    work,
                    urgency: self.request.urgency(),
                    objective: self.request.route.objective,
                    body_bytes: self.request.body.len(),
                    tried: &avoided,
                    version: self.version(),
                };
                fleet.place_model(&req, self.state.process_count(), now)
            }
            _ => {
                let (at, wait_ms) = fleet.place_plain(service, &avoided, self.version(), now)?;
                let cost_ms = fleet.mean_ms(&service.name);
                Some(Placement::Whole {
                    at,
                    cost_ms,
                    first_result_ms: wait_ms + cost_ms,
                })
            }
        }
    }

    /// Chooses an upstream for the rest of a stream, or for the decode after a prefill. Both need
    /// only a decode engine: a separate prefill has no more use.
    fn place_unsplit(&self) -> Option<Placement> {
        match self.place()? {
            Placement::Split {
                decode,
                cost_ms,
                first_result_ms,
                ..
            } => Some(Placement::Whole {
                at: decode,
                cost_ms,
                first_result_ms,
            }),
            whole @ Placement::Whole { .. } => Some(whole),
        }
    }

    /// Returns whether the route's limit and the retry budget of all instances allow another send.
    fn may_send_again(&mut self) -> bool {
        if self.sends >= self.request.route.attempts {
            return false;
        }
        let allowed = self.state.try_retry(&self.request.service.name);
        if !allowed {
            self.cause = "retry_budget";
        }
        allowed
    }

    /// Returns the placement of a request whose prefill is repeated. Only the first prefill is
    /// free, so another one needs a retry of its own; without it, the decode engine prefills.
    fn repeat_prefill(&self, split: Placement) -> Option<Placement> {
        if self.state.try_retry(&self.request.service.name) {
            return Some(split);
        }
        self.place_unsplit()
    }

    /// Returns the maximum wait for the first result of a send. Only a repeatable request is sent
    /// elsewhere before its deadline.
    fn first_result_timeout(&self, first_result_ms: f64) -> Duration {
        let time_left = self.request.time_left(self.state.now());
        let can_move =
            self.request.route.is_repeatable() && self.sends + 1 < self.request.route.attempts;
        if can_move {
            self.prefill_timeout(first_result_ms)
        } else {
            time_left
        }
    }

    /// Returns the maximum wait for a separate prefill. It may be sent elsewhere on every route.
    fn prefill_timeout(&self, first_result_ms: f64) -> Duration {
        let time_left = self.request.time_left(self.state.now());
        let predicted =
            Duration::try_from_secs_f64(first_result_ms * FIRST_RESULT_TIMEOUT_FACTOR / 1e3);
        let max_wait = predicted
            .unwrap_or(time_left)
            .max(self.request.route.objective * 2);
        max_wait.min(time_left)
    }

    /// Runs the prefill at one engine and the decode at another.
    async fn send_split(&mut self, placement: Placement) -> SendOutcome {
        let Placement::Split {
            prefill,
            decode,
            cost_ms,
            transfer_ms,
            first_result_ms,
        } = placement
        else {
            return SendOutcome::NotRun(NO_UPSTREAM);
        };
        let max_wait = self.prefill_timeout(first_result_ms);
        let claim = self.claim_slot(decode);
        let handle = match self.prefill(prefill, cost_ms, max_wait).await {
            Ok(handle) => handle,
            Err(send) => return send,
        };
        self.prefill_version = Some(handle.version);
        let stage = Stage::Decode {
            source: handle.source,
            handle: &handle.name,
        };
        let max_wait = self.first_result_timeout(first_result_ms);
        drop(claim);
        let Some(decode) = self.decode_engine(decode) else {
            return SendOutcome::NotRun(NO_UPSTREAM);
        };
        let outcome = self.send(decode, transfer_ms, stage, max_wait).await;
        if matches!(&outcome, SendOutcome::Response(response) if !response.head.is_not_run()) {
            handle.mark_transferred();
        }
        outcome
    }

    /// Returns the engine that decodes after a prefill: the one `chosen` together with the prefill
    /// engine, or another one of the same version if `chosen` accepts no new requests any more.
    fn decode_engine(&self, chosen: UpstreamKey) -> Option<UpstreamKey> {
        let now = self.state.now();
        if self.state.fleet.borrow().takes_work(chosen, now) && self.gets_slot(chosen) {
            return Some(chosen);
        }
        match self.place_unsplit()? {
            Placement::Whole { at, .. } => Some(at),
            Placement::Split { .. } => None,
        }
    }

    /// Returns the response that goes to the caller, or records why `outcome` has none.
    fn select_response(&mut self, outcome: SendOutcome) -> Option<UpstreamResponse> {
        match outcome {
            SendOutcome::Response(response) if response.head.is_not_run() => {
                self.cause = "upstream_refused";
                None
            }
            SendOutcome::Response(response) if response.head.is_failure() => {
                self.verdict = Verdict::Ran;
                self.cause = "upstream_failed";
                if self.request.route.is_repeatable() {
                    self.last_error_response = Some(response);
                    None
                } else {
                    Some(response)
                }
            }
            SendOutcome::Response(response) => Some(response),
            SendOutcome::NotRun(cause) => {
                self.cause = cause;
                None
            }
            SendOutcome::NoResponse(cause) => {
                self.verdict = self.verdict.or(Verdict::MayHaveRun);
                self.cause = cause;
                None
            }
        }
    }

    /// Records why no upstream was found, if it is what they state about further requests, or their
    /// version.
    fn record_placement_cause(&mut self) {
        let now = self.state.now();
        let fleet = self.state.fleet.borrow();
        let service = &self.request.service.name;
        match fleet.busy_cause(service, self.version(), now) {
            Some((cause, wait)) => {
                self.cause = cause;
                self.busy_wait = Some(wait.unwrap_or_default());
            }
            None if self.version().is_some() => self.cause = NO_UPSTREAM_OF_VERSION,
            None => {}
        }
    }

    fn failure(&self) -> Failure {
        let is_late = self.request.time_left(self.state.now()).is_zero();
        let status = match self.verdict {
            Verdict::NotRun if self.cause == OVER_QUOTA => StatusCode::TOO_MANY_REQUESTS,
            Verdict::NotRun => StatusCode::SERVICE_UNAVAILABLE,
            _ if is_late => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::BAD_GATEWAY,
        };
        let retry_ms = match self.busy_wait {
            Some(wait) => overload_retry_ms(wait.as_secs_f64() * 1e3),
            None if [NO_UPSTREAM, NO_UPSTREAM_OF_VERSION].contains(&self.cause) => {
                NO_UPSTREAM_RETRY_MS
            }
            None => REFUSED_RETRY_MS,
        };
        Failure {
            status,
            verdict: self.verdict,
            cause: self.cause,
            retry_after: (self.verdict == Verdict::NotRun).then(|| {
                let default = || retry_after(retry_ms, rand::random());
                self.refused_for.unwrap_or_else(default)
            }),
        }
    }
}

/// Records by how much the first result of a model request missed its prediction.
fn record_lateness<D: WireCodec>(state: &EdgeState<D>, request: &RoutedRequest) {
    if !request.needs_prefill() {
        return;
    }
    let progress = request.progress.borrow();
    let now = state.now();
    let late_ms = now.since(request.arrived).as_secs_f64() * 1e3 - progress.summed_ms;
    let mut fleet = state.fleet.borrow_mut();
    let urgency = request.urgency();
    fleet.record_lateness(
        &request.service.name,
        progress.is_split,
        urgency,
        late_ms,
        now,
    );
}

/// Returns the id of an upstream for the log.
pub fn upstream_id<D: WireCodec>(state: &EdgeState<D>, key: UpstreamKey) -> Box<str> {
    let fleet = state.fleet.borrow();
    fleet
        .get(key)
        .map_or_else(|| "gone".into(), |up| up.id.clone())
}

/// Returns the failure of a request whose route names an unknown service.
pub fn unknown_service(name: &str) -> Failure {
    tracing::debug!(event = "service_unknown", service = name);
    Failure {
        status: StatusCode::SERVICE_UNAVAILABLE,
        verdict: Verdict::NotRun,
        cause: "service_unknown",
        retry_after: Some(retry_after(NO_UPSTREAM_RETRY_MS, rand::random())),
    }
}

/// Returns what a response head shows about the health of its upstream.
fn upstream_outcome(head: &crate::model::ResponseHead, stage: Stage<'_>) -> Option<Outcome> {
    match head.status {
        _ if head.refusal == Some(Refusal::Misdirected) => Some(Outcome::Unreachable),
        // The refusal may concern the prefill result, which another engine holds.
        _ if head.is_not_run() && matches!(stage, Stage::Decode { .. }) => None,
        _ if head.is_not_run() => Some(Outcome::Refusing),
        _ if head.is_failure() => Some(Outcome::Faulty),
        _ => Some(Outcome::Good),
    }
}
