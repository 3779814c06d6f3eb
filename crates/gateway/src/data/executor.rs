//! Runs a model request on upstreams, with retries, until its answer is complete.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use nutmegbay_core::crashes::ContentId;
use nutmegbay_core::ids::{Fingerprint, RequestId};
use nutmegbay_core::verdict::Verdict;
use nutmegbay_proto::engine::Load;
use nutmegbay_proto::frame::End;
use nutmegbay_proto::prefix::estimate_tokens;
use nutmegbay_proto::problem::{Problem, ProblemKind};
use nutmegbay_proto::work::{LOAD_HEADER, WORK_PATH, Work};
use tokio::time::{Instant, sleep, timeout_at};

use super::client::ConnectionSource;
use super::refuse::not_run;
use super::shared_run::SharedRun;
use super::suspects;
use super::wire::{FrameRef, LineSplitter};
use crate::admit::{self, Requirements, Reservation};
use crate::gateway::Gateway;
use crate::state::upstreams::Upstream;

/// Target of this module's log lines: its former path, which log filters of operators may name.
const LOG_TARGET: &str = "nutmegbay_gateway::data::pump";

/// Maximum number of attempts for one request before it fails.
const MAX_ATTEMPTS: u32 = 6;

/// Delay before an upstream on which an attempt has failed is tried again; multiplied by the
/// attempt number.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time limit that is sent to the sidecar with every attempt. A later answer is of no use to any
/// caller.
const WORK_TIMEOUT: Duration = Duration::from_mins(10);

/// Maximum size of a refusal that is read from a sidecar, in bytes.
const MAX_REFUSAL_BYTES: usize = 64 * 1024;

/// Model request to run on an upstream.
#[derive(Debug)]
pub struct ModelRequest {
    /// Identifier of the request.
    pub id: RequestId,
    /// Client account of the caller that started the run.
    pub account: Box<str>,
    /// Name of the model.
    pub model: Box<str>,
    /// Full prompt text.
    pub prompt: Box<str>,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Priority of the request at the engine.
    pub priority: u8,
    /// Hash of account, model and prompt; identical requests have the same.
    pub fingerprint: Fingerprint,
    /// Content that may crash an upstream.
    pub contents: Box<[ContentId]>,
}

/// How an attempt ended.
enum AttemptOutcome {
    Completed(End),
    /// The sidecar refused the work without running it.
    Refused(Problem),
    /// No connection could be opened, so the work did not reach the sidecar.
    Unreachable,
    /// The upstream or the connection to it was lost, with the reason for the log.
    Lost(&'static str),
    /// The upstream crashed, possibly because of this request.
    Crashed,
    /// The request would fail on every upstream.
    NotRetryable(Problem),
}

/// Options of one attempt.
#[derive(Clone, Copy)]
struct AttemptOptions {
    attempt: u32,
    source: ConnectionSource,
    is_exclusive: bool,
}

/// Runs `request` and writes its answer into `shared_run`. Stops early when all callers have left.
pub async fn run(gateway: Arc<Gateway>, shared_run: Arc<SharedRun>, request: ModelRequest) {
    tokio::select! {
        () = shared_run.abandoned() => {
            let problem = not_run(ProblemKind::Internal, "all callers have left");
            shared_run.finish(Err(Box::new(problem)));
        }
        result = run_attempts(&gateway, &shared_run, &request) => {
            shared_run.finish(result.map_err(Box::new));
        }
    }
    gateway
        .shared_runs
        .remove(request.fingerprint, request.max_tokens, &shared_run);
}

async fn run_attempts(
    gateway: &Gateway,
    shared_run: &SharedRun,
    request: &ModelRequest,
) -> Result<End, Problem> {
    let mut requirements = Requirements::new(&request.model, &request.prompt, request.max_tokens);
    let mut source = ConnectionSource::Pool;
    let mut may_have_run = false;
    for attempt in 1..=MAX_ATTEMPTS {
        let reservation = reserve(gateway, request, &requirements, attempt, may_have_run).await?;
        let upstream = &reservation.upstream;
        if is_avoided(&requirements, upstream) {
            sleep(RETRY_DELAY * attempt).await;
        }
        let exclusive_run = suspects::admit(gateway, request, verdict_of(may_have_run)).await?;
        let sent_ms = gateway.clock.wall_ms();
        let is_whole_run = shared_run.is_empty();
        let options = AttemptOptions {
            attempt,
            source,
            is_exclusive: exclusive_run.is_some(),
        };
        match attempt_on(gateway, shared_run, request, upstream, options).await {
            AttemptOutcome::Completed(end) => {
                upstream.set_failing(false);
                reservation.record_cache_hits(&requirements, end.cached_tokens);
                // A run that continued an answer may have ended before it would crash.
                if is_whole_run {
                    gateway.crash_history.record_answer(&request.contents);
                }
                if let Some(exclusive_run) = exclusive_run {
                    exclusive_run.survived();
                }
                return Ok(end);
            }
            AttemptOutcome::Crashed => {
                upstream.set_failing(true);
                source = ConnectionSource::New;
                may_have_run = true;
                tracing::warn!(target: LOG_TARGET, event = "upstream_crashed",
                    request = %request.id, attempt,
                    upstream = %upstream.name, delivered = shared_run.len());
                suspects::report_crash(gateway, upstream, request, sent_ms).await;
            }
            AttemptOutcome::NotRetryable(problem) => return Err(problem),
            AttemptOutcome::Unreachable => {
                upstream.set_failing(true);
                shared_run.set_may_have_run(may_have_run);
                tracing::warn!(target: LOG_TARGET, event = "upstream_unreached",
                    request = %request.id, upstream = %upstream.name);
            }
            AttemptOutcome::Refused(problem) => {
                shared_run.set_may_have_run(may_have_run);
                upstream.set_draining(problem.kind == ProblemKind::Draining);
                tracing::info!(target: LOG_TARGET, event = "work_refused",
                    request = %request.id, upstream = %upstream.name, kind = %problem.kind);
            }
            AttemptOutcome::Lost(reason) => {
                upstream.set_failing(true);
                source = ConnectionSource::New;
                may_have_run = true;
                tracing::warn!(target: LOG_TARGET, event = "upstream_lost",
                    request = %request.id, attempt, reason,
                    upstream = %upstream.name, delivered = shared_run.len());
            }
        }
        requirements.avoid.push(Arc::clone(upstream));
        requirements.prompt_tokens =
            estimate_tokens(&request.prompt).saturating_add(shared_run.len());
    }
    let verdict = verdict_of(shared_run.may_have_run());
    let detail = format!("the request failed on {MAX_ATTEMPTS} upstreams; send it again later");
    Err(Problem::new(ProblemKind::UpstreamLost, verdict, detail).retry_after(1))
}

/// Reserves an upstream. The first attempt waits in the admission queue; a retry does not.
async fn reserve(
    gateway: &Gateway,
    request: &ModelRequest,
    requirements: &Requirements,
    attempt: u32,
    may_have_run: bool,
) -> Result<Reservation, Problem> {
    let view = gateway.view();
    let req = admit::AdmissionRequest {
        account: &request.account,
        model: &request.model,
        priority: request.priority,
        requirements,
    };
    if attempt == 1 {
        return gateway.admission.admit(&view, req).await;
    }
    let reservation = gateway.admission.readmit(&view, req);
    reservation.ok_or_else(|| no_upstream(&request.model, may_have_run))
}

fn is_avoided(requirements: &Requirements, upstream: &Arc<Upstream>) -> bool {
    requirements.avoid.iter().any(|u| Arc::ptr_eq(u, upstream))
}

async fn attempt_on(
    gateway: &Gateway,
    shared_run: &SharedRun,
    request: &ModelRequest,
    upstream: &Arc<Upstream>,
    options: AttemptOptions,
) -> AttemptOutcome {
    let progress_timeout = gateway.view().progress_timeout();
    let mut deadline = Instant::now() + progress_timeout;
    let Some(req) = build_request(shared_run, request, upstream, options) else {
        return AttemptOutcome::NotRetryable(not_run(
            ProblemKind::Internal,
            "the work cannot be encoded",
        ));
    };
    shared_run.set_may_have_run(true);
    let res = match timeout_at(deadline, gateway.client.send(options.source, req)).await {
        Ok(Ok(res)) => res,
        Ok(Err(e)) if e.is_connect() => return AttemptOutcome::Unreachable,
        Ok(Err(_)) => return AttemptOutcome::Lost("connection broke"),
        Err(_) => return AttemptOutcome::Lost("no response in time"),
    };
    if !res.status().is_success() {
        return read_refusal(res.into_body(), deadline).await;
    }
    if let Some(load) = load_from_headers(&res) {
        gateway.admission.on_load_report(upstream, &load);
    }
    let mut body = res.into_body();
    let mut lines = LineSplitter::default();
    loop {
        let chunk = match timeout_at(deadline, body.frame()).await {
            Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            Ok(Some(Err(_))) => return AttemptOutcome::Lost("connection broke"),
            Ok(None) => return AttemptOutcome::Lost("stream ended without its last frame"),
            Err(_) => return AttemptOutcome::Lost("no frame within the progress timeout"),
        };
        if lines.push(&chunk).is_err() {
            return AttemptOutcome::Lost("line too long");
        }
        let mut is_read_ahead_full = false;
        while let Some(line) = lines.next_line() {
            match process_frame(line, shared_run, request, options.attempt) {
                FrameOutcome::Progress => deadline = Instant::now() + progress_timeout,
                FrameOutcome::ReadAheadFull => is_read_ahead_full = true,
                FrameOutcome::Rejected => gateway.metrics.count_rejected_frame(),
                FrameOutcome::AttemptEnded(outcome) => return outcome,
            }
        }
        if is_read_ahead_full {
            shared_run.wait_for_readers().await;
            deadline = Instant::now() + progress_timeout;
        }
    }
}

/// Returns the load report in the response headers of a sidecar.
fn load_from_headers(res: &Response<Incoming>) -> Option<Load> {
    serde_json::from_slice(res.headers().get(LOAD_HEADER)?.as_bytes()).ok()
}

fn build_request(
    shared_run: &SharedRun,
    request: &ModelRequest,
    upstream: &Upstream,
    options: AttemptOptions,
) -> Option<Request<Full<Bytes>>> {
    let deadline_ms = u64::try_from(WORK_TIMEOUT.as_millis()).unwrap_or(u64::MAX);
    let work = Work {
        id: request.id,
        attempt: options.attempt,
        account: request.account.clone(),
        model: request.model.clone(),
        prompt: request.prompt.clone(),
        max_tokens: request.max_tokens,
        priority: request.priority,
        delivered: shared_run.tokens(),
        fingerprint: request.fingerprint,
        exclusive: options.is_exclusive,
        deadline_ms,
    };
    Request::builder()
        .method(Method::POST)
        .uri(format!("http://{}{WORK_PATH}", upstream.data))
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(serde_json::to_vec(&work).ok()?)))
        .ok()
}

async fn read_refusal(body: Incoming, deadline: Instant) -> AttemptOutcome {
    let read = timeout_at(deadline, Limited::new(body, MAX_REFUSAL_BYTES).collect()).await;
    let problem = match read {
        Ok(Ok(bytes)) => serde_json::from_slice::<Problem>(&bytes.to_bytes()).ok(),
        _ => None,
    };
    match problem {
        None => AttemptOutcome::Lost("refusal without a verdict"),
        Some(problem) => classify_problem(problem),
    }
}

/// Decides from the problem of a sidecar whether another upstream can be tried.
fn classify_problem(problem: Problem) -> AttemptOutcome {
    match problem.kind {
        ProblemKind::Quarantined | ProblemKind::MalformedBody | ProblemKind::BodyTooLarge => {
            AttemptOutcome::NotRetryable(problem)
        }
        ProblemKind::UpstreamCrashed => AttemptOutcome::Crashed,
        _ if problem.verdict == Verdict::NotRun => AttemptOutcome::Refused(problem),
        ProblemKind::UpstreamTimeout => AttemptOutcome::Lost("the engine did not answer in time"),
        _ => AttemptOutcome::Lost("the engine was lost"),
    }
}

/// Result of processing one frame.
enum FrameOutcome {
    /// A keep-alive or a token: the connection works.
    Progress,
    /// A token, after which the run is too far ahead of the callers.
    ReadAheadFull,
    /// A repeated token, or a frame of another request or attempt. It is dropped.
    Rejected,
    /// The attempt has ended.
    AttemptEnded(AttemptOutcome),
}

fn process_frame(
    line: &[u8],
    shared_run: &SharedRun,
    request: &ModelRequest,
    attempt: u32,
) -> FrameOutcome {
    let Ok(frame) = serde_json::from_slice::<FrameRef<'_>>(line) else {
        return FrameOutcome::AttemptEnded(AttemptOutcome::Lost("malformed frame"));
    };
    if frame.id != request.id || frame.attempt != attempt {
        return FrameOutcome::Rejected;
    }
    let count = shared_run.len();
    match (frame.token, frame.end, frame.failed) {
        (Some(_), None, None) if frame.seq < count => FrameOutcome::Rejected,
        (Some(_), None, None) if frame.seq > count => {
            FrameOutcome::AttemptEnded(AttemptOutcome::Lost("missing token"))
        }
        (Some(token), None, None) => {
            if shared_run.push(&token.0) {
                FrameOutcome::ReadAheadFull
            } else {
                FrameOutcome::Progress
            }
        }
        (None, Some(end), None) if frame.seq == count => {
            FrameOutcome::AttemptEnded(AttemptOutcome::Completed(end))
        }
        (None, Some(_), None) => {
            FrameOutcome::AttemptEnded(AttemptOutcome::Lost("wrong count in the last frame"))
        }
        (None, None, Some(problem)) => FrameOutcome::AttemptEnded(classify_problem(*problem)),
        (None, None, None) => FrameOutcome::Progress,
        _ => FrameOutcome::AttemptEnded(AttemptOutcome::Lost("two contents in one frame")),
    }
}

fn verdict_of(may_have_run: bool) -> Verdict {
    if may_have_run {
        Verdict::MayHaveRun
    } else {
        Verdict::NotRun
    }
}

fn no_upstream(model: &str, may_have_run: bool) -> Problem {
    let detail = format!("no upstream that serves `{model}` takes work now");
    Problem::new(ProblemKind::NoUpstream, verdict_of(may_have_run), detail).retry_after(1)
}
