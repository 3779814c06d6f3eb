//! Carries one request to upstreams until it has an answer or may not be sent again.

mod attempt;
mod job;
mod prefill;

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_LENGTH;
use http::{HeaderMap, Response, StatusCode};
use http_body::Body;
use http_body_util::{Either, Full};
use nutmegbay_core::verdict::Verdict;
use nutmegbay_policy::UpstreamKey;
use nutmegbay_policy::edge::admission::{AdmissionRequest, Decision, decide, retry_after};
use nutmegbay_policy::edge::health::Outcome;
use nutmegbay_policy::edge::placement::Placement;

use crate::crashes;
use crate::fleet::{Demand, ModelRequest, Waiting};
use crate::model::{Refusal, RequestKind, Stage};
use crate::port::Dialect;
use crate::site::Site;
use crate::stream::{Broken, Cut, Source, relay};

use attempt::{Reply, ReplyBody, Send};
pub use job::{Facts, Failure, InFlight, Job};

/// Connections that were found closed, or refused, for one request before it is given up.
const MOST_UNSENT: u32 = 4;

/// Room that is expected where no upstream of a service is known, in milliseconds: about the time
/// between two reads of the list of instances.
const NO_UPSTREAM_ROOM_MS: f64 = 400.0;

/// Room that is expected after upstreams refused a request, in milliseconds.
const REFUSED_ROOM_MS: f64 = 100.0;

/// Factor on the predicted time to the first result after which a request that may be repeated
/// goes elsewhere.
const PATIENCE_FACTOR: f64 = 4.0;

/// Headers of an answer that belong to one connection.
const CONNECTION_HEADERS: [http::HeaderName; 5] = [
    http::header::CONNECTION,
    http::header::TRANSFER_ENCODING,
    http::header::TRAILER,
    http::header::TE,
    http::header::UPGRADE,
];

/// Serves an admitted request.
pub async fn serve<D: Dialect>(
    site: &Rc<Site<D>>,
    job: &Rc<Job>,
) -> Result<Response<impl Body<Data = Bytes, Error = Broken> + use<D>>, Failure> {
    let reply = Forward::new(site, job).run().await?;
    job.facts.borrow_mut().first_at = Some(site.now());
    note_lateness(site, job);
    let is_delivered = reply.head.status.is_success();
    site.metrics
        .first_result(&job.route.name, site.now().since(job.arrived));
    let mut res = Response::new(());
    *res.status_mut() = reply.head.status;
    *res.headers_mut() = answer_headers(site, reply.headers);
    let body = match reply.body {
        ReplyBody::Whole(bytes) => Either::Left(Full::new(bytes)),
        ReplyBody::Rest {
            cut,
            source,
            events,
            ready,
        } => {
            if cut == Cut::Events && is_delivered {
                // A stream that goes on elsewhere may have another length.
                res.headers_mut().remove(CONTENT_LENGTH);
            }
            job.facts.borrow_mut().is_streaming = true;
            let status = reply.head.status.as_u16();
            let (site, job) = (Rc::clone(site), Rc::clone(job));
            Either::Right(relay(site, job, cut, source, events, ready, status))
        }
    };
    Ok(res.map(|()| crate::ingress::unify(body)))
}

/// Sends a stream once more, to go on after the event `after`. The former upstream is `lost`.
pub async fn resume<D: Dialect>(
    site: &Rc<Site<D>>,
    job: &Rc<Job>,
    lost: UpstreamKey,
    after: &str,
) -> Option<Source> {
    let mut forward = Forward::new(site, job);
    forward.tried.push(lost);
    forward.sends = job.facts.borrow().sends;
    if crashes::refused_for(site, job).is_some() || !forward.may_send_again() {
        return None;
    }
    let Placement::Whole { at, cost_ms, .. } = forward.place_whole()? else {
        return None;
    };
    forward.send_resumed(at, cost_ms, after).await
}

/// Headers of an upstream's answer as the caller gets them.
fn answer_headers<D: Dialect>(site: &Site<D>, mut headers: HeaderMap) -> HeaderMap {
    for name in &CONNECTION_HEADERS {
        headers.remove(name);
    }
    let of_connection: Vec<_> = headers
        .keys()
        .filter(|name| site.dialect.is_connection_header(name))
        .cloned()
        .collect();
    for name in of_connection {
        headers.remove(name);
    }
    headers
}

/// The sends of one request.
struct Forward<'a, D: Dialect> {
    site: &'a Rc<Site<D>>,
    job: &'a Rc<Job>,
    tried: Vec<UpstreamKey>,
    /// Arrivals at upstreams that count as attempts.
    sends: u32,
    verdict: Verdict,
    last: Option<Reply>,
    /// Time for which it is refused because it crashes upstreams.
    refused_for: Option<Duration>,
    /// Counts the request as waiting for its first result.
    waiting: Option<Waiting>,
    cause: &'static str,
}

impl<'a, D: Dialect> Forward<'a, D> {
    fn new(site: &'a Rc<Site<D>>, job: &'a Rc<Job>) -> Self {
        Self {
            site,
            job,
            tried: Vec::new(),
            sends: 0,
            verdict: Verdict::NotRun,
            last: None,
            refused_for: None,
            waiting: None,
            cause: "no_upstream",
        }
    }

    async fn run(mut self) -> Result<Reply, Failure> {
        for round in 0..MOST_UNSENT {
            self.refused_for = crashes::refused_for(self.site, self.job);
            if self.refused_for.is_some() {
                self.cause = "crashes_upstreams";
                break;
            }
            let Some(placement) = self.place() else {
                break;
            };
            if round == 0 {
                self.admit(&placement)?;
            } else if self.sends > 0 && !self.may_send_again() {
                break;
            }
            let reply = match placement {
                Placement::Whole {
                    at,
                    cost_ms,
                    first_result_ms,
                } => {
                    let patience = self.patience(first_result_ms);
                    self.send(at, cost_ms, Stage::Whole, patience).await
                }
                Placement::Split { .. } => self.send_split(placement).await,
            };
            if let Some(reply) = self.judge(reply) {
                if let Some(waiting) = self.waiting.take() {
                    waiting.served();
                }
                return Ok(reply);
            }
            if !self.job.route.is_repeatable() && self.verdict != Verdict::NotRun {
                break;
            }
            if self.job.left(self.site.now()).is_zero() {
                self.cause = "deadline";
                break;
            }
        }
        // A failure that an upstream answered itself is passed on rather than replaced.
        match self.last.take() {
            Some(reply) => Ok(reply),
            None => Err(self.failure()),
        }
    }

    /// Refuses the request at once if its first result cannot be on time.
    fn admit(&mut self, placement: &Placement) -> Result<(), Failure> {
        let now = self.site.now();
        let reads_prompt = self.job.reads_prompt();
        let demand = Demand {
            urgency: self.job.urgency(),
            cost_ms: placement.cost_ms(),
            is_long: self.job.is_long(),
            reads_prompt,
        };
        let mut predicted_ms = placement.first_result_ms();
        {
            let mut facts = self.job.facts.borrow_mut();
            facts.is_split = matches!(placement, Placement::Split { .. });
            let fleet = self.site.fleet.borrow();
            let service = &self.job.service.name;
            facts.summed_ms =
                predicted_ms - fleet.excess_ms(service, facts.is_split, self.job.urgency(), now);
            if reads_prompt {
                predicted_ms =
                    predicted_ms.max(fleet.flow_ms(service, demand, self.site.instances(), now));
            }
            facts.predicted_ms = predicted_ms;
            facts.cost_ms = demand.cost_ms;
        }
        let objective = match self.job.route.kind {
            RequestKind::Streaming => self.job.route.objective,
            // A plain call is short: it is served late rather than not at all.
            RequestKind::Idempotent | RequestKind::NonIdempotent => self.job.route.timeout,
        };
        let claim = AdmissionRequest {
            first_result_ms: predicted_ms,
            cost_ms: demand.cost_ms,
            objective,
            elapsed: self.job.elapsed + now.since(self.job.arrived),
            remaining: self.job.left(now),
        };
        match decide(claim, rand::random()) {
            Decision::Admit => {
                self.waiting = reads_prompt.then(|| {
                    let Site { fleet, moments, .. } = &**self.site;
                    Waiting::new(fleet, &self.job.service, demand, *moments)
                });
                Ok(())
            }
            Decision::Refuse { retry_after } => Err(Failure {
                status: StatusCode::SERVICE_UNAVAILABLE,
                verdict: Verdict::NotRun,
                cause: "no_room_in_time",
                retry_after: Some(retry_after),
            }),
        }
    }

    fn place(&self) -> Option<Placement> {
        let now = self.site.now();
        let fleet = self.site.fleet.borrow();
        let service = &self.job.service;
        match (&service.engine, &self.job.inbound.work) {
            (Some(engine), Some(work)) => {
                let req = ModelRequest {
                    service,
                    engine,
                    work,
                    urgency: self.job.urgency(),
                    objective: self.job.route.objective,
                    body_bytes: self.job.body.len(),
                    tried: &self.tried,
                };
                fleet.place_model(&req, self.site.instances(), now)
            }
            _ => {
                let (at, wait_ms) = fleet.place_plain(service, &self.tried, now)?;
                let cost_ms = fleet.mean_ms(&service.name);
                Some(Placement::Whole {
                    at,
                    cost_ms,
                    first_result_ms: wait_ms + cost_ms,
                })
            }
        }
    }

    /// Place for the rest of a stream: a decode engine, since a prefill result has no more use.
    fn place_whole(&self) -> Option<Placement> {
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

    /// Whether the request may be sent once more: by its route and by the budget of all instances.
    fn may_send_again(&mut self) -> bool {
        if self.sends >= self.job.route.attempts {
            return false;
        }
        let allowed = self.site.try_retry(&self.job.service.name);
        if !allowed {
            self.cause = "retry_budget";
        }
        allowed
    }

    /// Time for the first result of a send. Only what may be repeated goes elsewhere before the
    /// request's own end.
    fn patience(&self, first_result_ms: f64) -> Duration {
        let left = self.job.left(self.site.now());
        let can_move = self.job.route.is_repeatable() && self.sends + 1 < self.job.route.attempts;
        if can_move {
            self.prefill_patience(first_result_ms)
        } else {
            left
        }
    }

    /// Time for reading a prompt ahead, which may go elsewhere on every route.
    fn prefill_patience(&self, first_result_ms: f64) -> Duration {
        let left = self.job.left(self.site.now());
        let predicted = Duration::try_from_secs_f64(first_result_ms * PATIENCE_FACTOR / 1e3);
        let patience = predicted.unwrap_or(left).max(self.job.route.objective * 2);
        patience.min(left)
    }

    /// Reads the prompt at one engine and generates at another.
    async fn send_split(&mut self, placement: Placement) -> Send {
        let Placement::Split {
            prefill,
            decode,
            cost_ms,
            transfer_ms,
            first_result_ms,
        } = placement
        else {
            return Send::NotRun("no_upstream");
        };
        let patience = self.prefill_patience(first_result_ms);
        let handle = match self.prefill(prefill, cost_ms, patience).await {
            Ok(handle) => handle,
            Err(send) => return send,
        };
        let stage = Stage::Decode {
            source: handle.source,
            handle: &handle.name,
        };
        let patience = self.patience(first_result_ms);
        let Some(decode) = self.decode_engine(decode) else {
            return Send::NotRun("no_upstream");
        };
        let reply = self.send(decode, transfer_ms, stage, patience).await;
        if matches!(&reply, Send::Reply(reply) if !reply.head.is_not_run()) {
            handle.taken();
        }
        reply
    }

    /// Engine that generates from a prompt that was just read: the one that was `chosen` with the prefill
    /// engine, or another one where it has announced its end since then.
    fn decode_engine(&self, chosen: UpstreamKey) -> Option<UpstreamKey> {
        let now = self.site.now();
        if self.site.fleet.borrow().takes_work(chosen, now) {
            return Some(chosen);
        }
        match self.place_whole()? {
            Placement::Whole { at, .. } => Some(at),
            Placement::Split { .. } => None,
        }
    }

    /// Takes an answer that goes to the caller out of `send`, or notes why there is none.
    fn judge(&mut self, send: Send) -> Option<Reply> {
        match send {
            Send::Reply(reply) if reply.head.is_not_run() => {
                self.cause = "upstream_refused";
                None
            }
            Send::Reply(reply) if reply.head.status.is_server_error() => {
                self.verdict = Verdict::Ran;
                self.cause = "upstream_failed";
                if self.job.route.is_repeatable() {
                    self.last = Some(reply);
                    None
                } else {
                    Some(reply)
                }
            }
            Send::Reply(reply) => Some(reply),
            Send::NotRun(cause) => {
                self.cause = cause;
                None
            }
            Send::Lost(cause) => {
                self.verdict = self.verdict.or(Verdict::MayHaveRun);
                self.cause = cause;
                None
            }
        }
    }

    fn failure(&self) -> Failure {
        let is_late = self.job.left(self.site.now()).is_zero();
        let status = match self.verdict {
            Verdict::NotRun => StatusCode::SERVICE_UNAVAILABLE,
            _ if is_late => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::BAD_GATEWAY,
        };
        let room_ms = if self.cause == "no_upstream" {
            NO_UPSTREAM_ROOM_MS
        } else {
            REFUSED_ROOM_MS
        };
        Failure {
            status,
            verdict: self.verdict,
            cause: self.cause,
            retry_after: (self.verdict == Verdict::NotRun).then(|| {
                let room = || retry_after(room_ms, rand::random());
                self.refused_for.unwrap_or_else(room)
            }),
        }
    }
}

/// Compares the first result of a model request with its prediction.
fn note_lateness<D: Dialect>(site: &Site<D>, job: &Job) {
    if !job.reads_prompt() {
        return;
    }
    let facts = job.facts.borrow();
    let now = site.now();
    let late_ms = now.since(job.arrived).as_secs_f64() * 1e3 - facts.summed_ms;
    let mut fleet = site.fleet.borrow_mut();
    let urgency = job.urgency();
    fleet.saw_first(&job.service.name, facts.is_split, urgency, late_ms, now);
}

/// Name of an upstream for the log.
fn upstream_id<D: Dialect>(site: &Site<D>, key: UpstreamKey) -> Box<str> {
    let fleet = site.fleet.borrow();
    fleet
        .get(key)
        .map_or_else(|| "gone".into(), |up| up.id.clone())
}

/// Service of a request whose route names one that is not known.
pub fn unknown_service(name: &str) -> Failure {
    tracing::debug!(event = "service_unknown", service = name);
    Failure {
        status: StatusCode::SERVICE_UNAVAILABLE,
        verdict: Verdict::NotRun,
        cause: "service_unknown",
        retry_after: Some(retry_after(NO_UPSTREAM_ROOM_MS, rand::random())),
    }
}

/// Evidence that an answer's head gives about its upstream.
fn outcome_of(head: &crate::model::AnswerHead, stage: Stage<'_>) -> Option<Outcome> {
    match head.status {
        _ if head.refusal == Some(Refusal::Misdirected) => Some(Outcome::Unreachable),
        // The refusal may be about the prefill result, which another engine holds.
        _ if head.is_not_run() && matches!(stage, Stage::Decode { .. }) => None,
        _ if head.is_not_run() => Some(Outcome::Refusing),
        status if status.is_server_error() => Some(Outcome::Faulty),
        _ => Some(Outcome::Good),
    }
}
