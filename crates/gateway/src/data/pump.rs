//! Runs model work on upstreams until its answer is whole.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use nutmegbay_core::ids::{Fingerprint, RequestId};
use nutmegbay_core::verdict::Verdict;
use nutmegbay_proto::engine::Load;
use nutmegbay_proto::frame::End;
use nutmegbay_proto::prefix::estimate_tokens;
use nutmegbay_proto::problem::{Problem, ProblemKind};
use nutmegbay_proto::work::{LOAD_HEADER, WORK_PATH, Work};
use tokio::time::{Instant, sleep, timeout_at};

use super::client::Via;
use super::flight::Flight;
use super::refuse::not_run;
use super::suspects;
use super::wire::{FrameRef, Lines};
use crate::admit::{self, Grant, Need};
use crate::gateway::Gateway;
use crate::state::upstreams::Upstream;

/// Upstreams tried for one piece of work before it fails.
const MAX_ATTEMPTS: u32 = 6;

/// Pause before an upstream that has just failed is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Time after which an answer has no use to anybody.
const WORK_DEADLINE: Duration = Duration::from_mins(10);

/// Largest refusal of a sidecar that is read, in bytes.
const MAX_REFUSAL: usize = 64 * 1024;

/// What is to be run.
#[derive(Debug)]
pub struct Job {
    /// Request.
    pub id: RequestId,
    /// Client account.
    pub account: Box<str>,
    /// Model.
    pub model: Box<str>,
    /// Prompt.
    pub prompt: Box<str>,
    /// Most tokens.
    pub max_tokens: u32,
    /// Priority at the engine.
    pub priority: u8,
    /// Hash of the work.
    pub fingerprint: Fingerprint,
}

/// How an attempt ended.
enum Attempt {
    Whole(End),
    /// The sidecar did not take the work.
    Refused(Problem),
    /// No connection came about, so the work did not reach the sidecar.
    Unreached,
    /// The upstream or the connection to it was lost.
    Lost(&'static str),
    /// The upstream crashed, perhaps because of the work.
    Crashed,
    /// The work cannot succeed anywhere.
    Failed(Problem),
}

/// One attempt.
#[derive(Clone, Copy)]
struct Run {
    attempt: u32,
    via: Via,
    is_alone: bool,
}

/// Runs `job` and writes its answer into `flight`, until all callers have left.
pub async fn run(gateway: Arc<Gateway>, flight: Arc<Flight>, job: Job) {
    tokio::select! {
        () = flight.abandoned() => {
            let gone = not_run(ProblemKind::Internal, "all callers have left");
            flight.finish(Err(Box::new(gone)));
        }
        result = drive(&gateway, &flight, &job) => flight.finish(result.map_err(Box::new)),
    }
    gateway
        .flights
        .remove(job.fingerprint, job.max_tokens, &flight);
}

async fn drive(gateway: &Gateway, flight: &Flight, job: &Job) -> Result<End, Problem> {
    let mut need = Need::new(&job.model, &job.prompt, job.max_tokens);
    let mut via = Via::Pool;
    let mut has_lost = false;
    for attempt in 1..=MAX_ATTEMPTS {
        let grant = grant(gateway, job, &need, attempt, has_lost).await?;
        let upstream = &grant.upstream;
        if is_avoided(&need, upstream) {
            sleep(RETRY_PAUSE * attempt).await;
        }
        let alone = suspects::admit(gateway, job.fingerprint, verdict_of(has_lost)).await?;
        let run = Run {
            attempt,
            via,
            is_alone: alone.is_some(),
        };
        match attempt_on(gateway, flight, job, upstream, run).await {
            Attempt::Whole(end) => {
                upstream.set_failing(false);
                grant.answered(&need, end.cached_tokens);
                if let Some(alone) = alone {
                    alone.survived();
                }
                return Ok(end);
            }
            Attempt::Crashed => {
                upstream.set_failing(true);
                via = Via::New;
                has_lost = true;
                tracing::warn!(event = "upstream_crashed", request = %job.id, attempt,
                    upstream = %upstream.name, delivered = flight.len());
                suspects::report(gateway, upstream, job.fingerprint).await;
            }
            Attempt::Failed(problem) => return Err(problem),
            Attempt::Unreached => {
                upstream.set_failing(true);
                flight.set_dispatched(has_lost);
                tracing::warn!(event = "upstream_unreached", request = %job.id,
                    upstream = %upstream.name);
            }
            Attempt::Refused(problem) => {
                flight.set_dispatched(has_lost);
                upstream.set_draining(problem.kind == ProblemKind::Draining);
                tracing::info!(event = "work_refused", request = %job.id, upstream = %upstream.name,
                    kind = %problem.kind);
            }
            Attempt::Lost(reason) => {
                upstream.set_failing(true);
                via = Via::New;
                has_lost = true;
                tracing::warn!(event = "upstream_lost", request = %job.id, attempt, reason,
                    upstream = %upstream.name, delivered = flight.len());
            }
        }
        need.avoid.push(Arc::clone(upstream));
        need.prompt_tokens = estimate_tokens(&job.prompt).saturating_add(flight.len());
    }
    let verdict = verdict_of(flight.is_dispatched());
    let detail = format!("the request failed on {MAX_ATTEMPTS} upstreams; send it again later");
    Err(Problem::new(ProblemKind::UpstreamLost, verdict, detail).retry_after(1))
}

/// Waits for a place in the queue; a request that has run before does not wait again.
async fn grant(
    gateway: &Gateway,
    job: &Job,
    need: &Need,
    attempt: u32,
    has_lost: bool,
) -> Result<Grant, Problem> {
    let view = gateway.view();
    let req = admit::Request {
        account: &job.account,
        model: &job.model,
        priority: job.priority,
        need,
    };
    if attempt == 1 {
        return gateway.admission.admit(&view, req).await;
    }
    let grant = gateway.admission.replace(&view, req);
    grant.ok_or_else(|| no_upstream(&job.model, has_lost))
}

fn is_avoided(need: &Need, upstream: &Arc<Upstream>) -> bool {
    need.avoid.iter().any(|u| Arc::ptr_eq(u, upstream))
}

async fn attempt_on(
    gateway: &Gateway,
    flight: &Flight,
    job: &Job,
    upstream: &Arc<Upstream>,
    run: Run,
) -> Attempt {
    let progress = gateway.view().progress_timeout();
    let mut deadline = Instant::now() + progress;
    let Some(req) = request(flight, job, upstream, run) else {
        return Attempt::Failed(not_run(ProblemKind::Internal, "the work cannot be encoded"));
    };
    flight.set_dispatched(true);
    let res = match timeout_at(deadline, gateway.client.send(run.via, req)).await {
        Ok(Ok(res)) => res,
        Ok(Err(e)) if e.is_connect() => return Attempt::Unreached,
        Ok(Err(_)) => return Attempt::Lost("connection broke"),
        Err(_) => return Attempt::Lost("no response in time"),
    };
    if !res.status().is_success() {
        return refusal(res.into_body(), deadline).await;
    }
    if let Some(load) = load_of(&res) {
        gateway.admission.reported_load(upstream, &load);
    }
    let mut body = res.into_body();
    let mut lines = Lines::default();
    loop {
        let chunk = match timeout_at(deadline, body.frame()).await {
            Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            Ok(Some(Err(_))) => return Attempt::Lost("connection broke"),
            Ok(None) => return Attempt::Lost("stream ended without its last frame"),
            Err(_) => return Attempt::Lost("silent connection"),
        };
        if lines.push(&chunk).is_err() {
            return Attempt::Lost("line too long");
        }
        let mut is_ahead = false;
        while let Some(line) = lines.next_line() {
            match check(line, flight, job, run.attempt) {
                Checked::Alive => deadline = Instant::now() + progress,
                Checked::Ahead => is_ahead = true,
                Checked::Foreign => gateway.metrics.frame_rejected(),
                Checked::Over(outcome) => return outcome,
            }
        }
        if is_ahead {
            flight.caught_up().await;
            deadline = Instant::now() + progress;
        }
    }
}

/// Load that the sidecar sends with its answer.
fn load_of(res: &Response<Incoming>) -> Option<Load> {
    serde_json::from_slice(res.headers().get(LOAD_HEADER)?.as_bytes()).ok()
}

fn request(
    flight: &Flight,
    job: &Job,
    upstream: &Upstream,
    run: Run,
) -> Option<Request<Full<Bytes>>> {
    let deadline_ms = u64::try_from(WORK_DEADLINE.as_millis()).unwrap_or(u64::MAX);
    let work = Work {
        id: job.id,
        attempt: run.attempt,
        account: job.account.clone(),
        model: job.model.clone(),
        prompt: job.prompt.clone(),
        max_tokens: job.max_tokens,
        priority: job.priority,
        delivered: flight.tokens(),
        fingerprint: job.fingerprint,
        exclusive: run.is_alone,
        deadline_ms,
    };
    Request::builder()
        .method(Method::POST)
        .uri(format!("http://{}{WORK_PATH}", upstream.data))
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(serde_json::to_vec(&work).ok()?)))
        .ok()
}

async fn refusal(body: Incoming, deadline: Instant) -> Attempt {
    let read = timeout_at(deadline, Limited::new(body, MAX_REFUSAL).collect()).await;
    let problem = match read {
        Ok(Ok(bytes)) => serde_json::from_slice::<Problem>(&bytes.to_bytes()).ok(),
        _ => None,
    };
    match problem {
        None => Attempt::Lost("refusal without a verdict"),
        Some(problem) => sort(problem),
    }
}

/// Decides whether another upstream can help.
fn sort(problem: Problem) -> Attempt {
    match problem.kind {
        ProblemKind::Quarantined | ProblemKind::MalformedBody | ProblemKind::BodyTooLarge => {
            Attempt::Failed(problem)
        }
        ProblemKind::UpstreamCrashed => Attempt::Crashed,
        _ if problem.verdict == Verdict::NotRun => Attempt::Refused(problem),
        ProblemKind::UpstreamTimeout => Attempt::Lost("the engine did not answer in time"),
        _ => Attempt::Lost("the engine was lost"),
    }
}

/// What a line turned out to be.
enum Checked {
    /// A sign of life, with or without a token.
    Alive,
    /// A token, and the callers are far behind.
    Ahead,
    /// A repeated piece, or one of another request: dropped.
    Foreign,
    /// The attempt is over.
    Over(Attempt),
}

fn check(line: &[u8], flight: &Flight, job: &Job, attempt: u32) -> Checked {
    let Ok(frame) = serde_json::from_slice::<FrameRef<'_>>(line) else {
        return Checked::Over(Attempt::Lost("malformed frame"));
    };
    if frame.id != job.id || frame.attempt != attempt {
        return Checked::Foreign;
    }
    let count = flight.len();
    match (frame.token, frame.end, frame.failed) {
        (Some(_), None, None) if frame.seq < count => Checked::Foreign,
        (Some(_), None, None) if frame.seq > count => Checked::Over(Attempt::Lost("missing token")),
        (Some(token), None, None) => {
            if flight.push(&token.0) {
                Checked::Ahead
            } else {
                Checked::Alive
            }
        }
        (None, Some(end), None) if frame.seq == count => Checked::Over(Attempt::Whole(end)),
        (None, Some(_), None) => Checked::Over(Attempt::Lost("wrong count in the last frame")),
        (None, None, Some(problem)) => Checked::Over(sort(*problem)),
        (None, None, None) => Checked::Alive,
        _ => Checked::Over(Attempt::Lost("two contents in one frame")),
    }
}

fn verdict_of(is_dispatched: bool) -> Verdict {
    if is_dispatched {
        Verdict::MayHaveRun
    } else {
        Verdict::NotRun
    }
}

fn no_upstream(model: &str, is_dispatched: bool) -> Problem {
    let detail = format!("no upstream that serves `{model}` takes work now");
    Problem::new(ProblemKind::NoUpstream, verdict_of(is_dispatched), detail).retry_after(1)
}
