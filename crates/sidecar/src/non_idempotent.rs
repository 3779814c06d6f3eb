//! Attempts of non-idempotent calls. Each attempt runs at most once and to its end, even if the
//! gateway that sent it disconnects.

use std::sync::Arc;

use axum::body::Body;
use axum::extract::Request;
use axum::http::{HeaderMap, HeaderValue, StatusCode, header};
use axum::response::{IntoResponse, Response};
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use nutmegbay_core::guard::{Admission, AttemptRef, AttemptState};
use nutmegbay_core::record::Answer;
use nutmegbay_core::verdict::Verdict;
use nutmegbay_proto::problem::ProblemKind;
use nutmegbay_proto::work::CallHead;
use tokio::sync::oneshot;
use tokio::time::{Duration, Instant, timeout, timeout_at};

use crate::call::{self, prepare_answer_headers};
use crate::control;
use crate::refusal::Refusal;
use crate::state::{InFlightGuard, SharedState};

/// Target of this module's log lines: its former path, which log filters of operators may name.
const LOG_TARGET: &str = "nutmegbay_sidecar::once";

/// Maximum size in bytes of an answer that is kept for repeats.
const MAX_KEPT_ANSWER_BYTES: usize = 64 << 10;

/// Time after which the outcome of an attempt counts as unknown if the service has not answered. It
/// is longer than callers wait, so that a retry still finds the answer of a slow call.
const RUN_TIMEOUT: Duration = Duration::from_mins(2);

/// Outcome of the run of an attempt.
enum RunOutcome {
    /// Nothing was sent to the service.
    NotSent(Box<str>),
    /// The call was sent, but whether it took effect is unknown.
    Unknown(Box<str>),
    /// Complete answer.
    Complete(StatusCode, HeaderMap, Bytes),
    /// Answer that is too large to keep: the bytes read so far and the rest of the body.
    TooLarge(StatusCode, HeaderMap, Bytes, Incoming),
}

/// Runs an attempt, or waits for its outcome if it was started before.
pub(crate) async fn forward_attempt(
    shared: &Arc<SharedState>,
    head: &CallHead,
    attempt: AttemptRef,
    req: Request,
) -> Result<Response, Refusal> {
    let deadline = Instant::now() + Duration::from_millis(head.deadline_ms);
    // Counted before the drain flag is read, so that a shutdown waits for every admitted attempt.
    let in_flight = shared.track_request();
    if shared.is_draining() {
        return refuse_attempt(shared, attempt, deadline, shared.draining_refusal()).await;
    }
    let (parts, body) = req.into_parts();
    // The whole body is read before the call is sent, so a call whose body is cut off never reaches
    // the service.
    let body = match read_body(body, shared.settings.max_body_bytes, deadline).await {
        Ok(body) => body,
        Err(refusal) => return refuse_attempt(shared, attempt, deadline, refusal).await,
    };
    let req = Request::from_parts(parts, Body::from(body));
    let req = match call::upstream_request(shared, head, req) {
        Ok(req) => req,
        Err(refusal) => return refuse_attempt(shared, attempt, deadline, refusal).await,
    };
    let admission = shared.attempts().admit(attempt);
    if let Admission::Known(state) = admission {
        return join_attempt(shared, attempt, state, deadline).await;
    }
    let (tx, rx) = oneshot::channel();
    tokio::spawn(run_attempt(in_flight, attempt, req, tx));
    match timeout_at(deadline, rx).await {
        Ok(Ok(outcome)) => run_response(shared, outcome),
        Ok(Err(_)) => Err(outcome_unknown("the run was aborted")),
        Err(_) => Err(deadline_passed()),
    }
}

/// Runs an attempt to its end, even if no request waits for it any more.
async fn run_attempt(
    in_flight: InFlightGuard,
    attempt: AttemptRef,
    req: Request<Body>,
    tx: oneshot::Sender<RunOutcome>,
) {
    let shared = &in_flight.0;
    let outcome = match timeout(RUN_TIMEOUT, call_service(shared, req)).await {
        Ok(outcome) => outcome,
        Err(_) => RunOutcome::Unknown(
            format!(
                "the service did not answer within {} s",
                RUN_TIMEOUT.as_secs()
            )
            .into(),
        ),
    };
    let state = match &outcome {
        RunOutcome::NotSent(_) => AttemptState::Fenced,
        RunOutcome::Unknown(detail) => {
            tracing::warn!(
                target: LOG_TARGET,
                event = "attempt_unknown",
                call = %attempt.call,
                %detail,
            );
            AttemptState::Unknown
        }
        RunOutcome::Complete(status, headers, body) => answered_state(*status, headers, Some(body)),
        RunOutcome::TooLarge(status, headers, ..) => answered_state(*status, headers, None),
    };
    shared.attempts().finish(attempt, state);
    shared.attempt_ended.notify_waiters();
    // The request may have ended already. A retry finds the outcome in the table.
    let _ = tx.send(outcome);
}

/// Sends the call to the service and reads the answer, up to [`MAX_KEPT_ANSWER_BYTES`].
async fn call_service(shared: &SharedState, req: Request<Body>) -> RunOutcome {
    let res = match shared.upstream.send_once(req).await {
        Ok(res) => res,
        Err(e) if e.is_connect() => {
            return RunOutcome::NotSent(format!("the service cannot be reached: {e}").into());
        }
        Err(e) => {
            return RunOutcome::Unknown(format!("the service's connection failed: {e}").into());
        }
    };
    let (parts, mut body) = res.into_parts();
    let mut buf = BytesMut::new();
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => buf.extend_from_slice(&frame.into_data().unwrap_or_default()),
            Err(e) => {
                return RunOutcome::Unknown(
                    format!("the service's answer was cut off: {e}").into(),
                );
            }
        }
        if buf.len() > MAX_KEPT_ANSWER_BYTES {
            return RunOutcome::TooLarge(parts.status, parts.headers, buf.freeze(), body);
        }
    }
    RunOutcome::Complete(parts.status, parts.headers, buf.freeze())
}

/// Returns the state of an answered attempt; `body` is `None` if the answer is too large to keep.
fn answered_state(status: StatusCode, headers: &HeaderMap, body: Option<&Bytes>) -> AttemptState {
    let content_type = headers.get(header::CONTENT_TYPE);
    AttemptState::Answered(Answer {
        status: status.as_u16(),
        content_type: content_type.and_then(|v| v.to_str().ok()).map(Into::into),
        body: body
            .and_then(|body| std::str::from_utf8(body).ok())
            .map(Into::into),
    })
}

/// Returns the response to the request that started the run.
fn run_response(shared: &SharedState, outcome: RunOutcome) -> Result<Response, Refusal> {
    let (status, headers, body) = match outcome {
        RunOutcome::NotSent(detail) => {
            return Err(Refusal::not_run(ProblemKind::NoUpstream, detail));
        }
        RunOutcome::Unknown(detail) => return Err(outcome_unknown(&detail)),
        RunOutcome::Complete(status, headers, body) => (status, headers, Body::from(body)),
        RunOutcome::TooLarge(status, headers, start, rest) => {
            let start = futures::stream::iter([Ok::<_, hyper::Error>(start)]);
            let rest = futures::StreamExt::chain(start, rest.into_data_stream());
            (status, headers, Body::from_stream(rest))
        }
    };
    let mut res = Response::new(body);
    *res.status_mut() = status;
    *res.headers_mut() = headers;
    prepare_answer_headers(shared, res.headers_mut());
    Ok(res)
}

/// Refuses an attempt as not run and fences it, so that it never runs. If the attempt was started
/// before, returns its outcome instead.
async fn refuse_attempt(
    shared: &SharedState,
    attempt: AttemptRef,
    deadline: Instant,
    refusal: Refusal,
) -> Result<Response, Refusal> {
    let state = shared.attempts().refuse(attempt);
    match state {
        AttemptState::Fenced => Err(refusal),
        state => join_attempt(shared, attempt, state, deadline).await,
    }
}

/// Waits for the outcome of an attempt that was received before.
async fn join_attempt(
    shared: &SharedState,
    attempt: AttemptRef,
    state: AttemptState,
    deadline: Instant,
) -> Result<Response, Refusal> {
    let state = match state {
        AttemptState::Running => control::wait_outcome(shared, attempt, deadline).await,
        state => state,
    };
    match state {
        AttemptState::Answered(answer) => kept_response(shared, answer),
        AttemptState::Fenced => Err(Refusal::not_run(
            ProblemKind::Fenced,
            "this attempt was fenced; open a new one",
        )),
        AttemptState::OtherIncarnation => Err(Refusal::new(
            ProblemKind::OtherIncarnation,
            Verdict::MayHaveRun,
            format!(
                "the attempt is bound to sidecar incarnation {}; this is {}",
                attempt.sidecar, shared.incarnation
            ),
        )),
        AttemptState::Running | AttemptState::NotSeen => Err(deadline_passed()),
        AttemptState::Unknown => Err(outcome_unknown("the service did not answer this attempt")),
    }
}

/// Returns the response for an answer that was kept in the table.
fn kept_response(shared: &SharedState, answer: Answer) -> Result<Response, Refusal> {
    let Some(body) = answer.body else {
        return Err(Refusal::new(
            ProblemKind::AnswerNotKept,
            Verdict::Ran,
            format!(
                "the call ran and was answered with status {}",
                answer.status
            ),
        ));
    };
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let mut res = (status, String::from(body)).into_response();
    let headers = res.headers_mut();
    headers.remove(header::CONTENT_TYPE);
    let content_type = answer.content_type;
    if let Some(value) = content_type.and_then(|v| HeaderValue::from_str(&v).ok()) {
        headers.insert(header::CONTENT_TYPE, value);
    }
    prepare_answer_headers(shared, headers);
    Ok(res)
}

/// Reads the whole request body of at most `max_bytes`.
async fn read_body(body: Body, max_bytes: usize, deadline: Instant) -> Result<Bytes, Refusal> {
    let collected = timeout_at(deadline, Limited::new(body, max_bytes).collect()).await;
    match collected {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(Refusal::not_run(
            ProblemKind::BodyTooLarge,
            format!("the body is over {max_bytes} bytes"),
        )),
        Ok(Err(e)) => Err(Refusal::not_run(ProblemKind::IncompleteBody, e.to_string())),
        Err(_) => Err(Refusal::not_run(
            ProblemKind::IncompleteBody,
            "the deadline passed before the body was complete",
        )),
    }
}

/// Refuses an attempt whose effect is unknown.
fn outcome_unknown(detail: &str) -> Refusal {
    Refusal::new(ProblemKind::UpstreamLost, Verdict::MayHaveRun, detail)
}

/// Refuses an attempt whose outcome is not known by the deadline.
fn deadline_passed() -> Refusal {
    Refusal::new(
        ProblemKind::UpstreamTimeout,
        Verdict::MayHaveRun,
        "the deadline passed before the service answered",
    )
}
