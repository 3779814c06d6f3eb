//! Attempts of non-idempotent calls: each runs at most once, also when the gateway that sent it
//! goes away.

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

use crate::call::{self, strip_answer};
use crate::control;
use crate::refuse::Refusal;
use crate::state::{InFlight, Shared};

/// Largest answer that is kept for repeats.
const MAX_KEPT_ANSWER_BYTES: usize = 64 << 10;

/// Time after which an attempt whose service does not answer counts as unknown. It is longer than
/// callers wait, so that a retry still finds the answer of a slow call.
const RUN_LIMIT: Duration = Duration::from_mins(2);

/// How an attempt ended.
enum Ended {
    /// It is known to have sent nothing.
    NotSent(Box<str>),
    /// It was sent and nothing is known of its effect.
    Unknown(Box<str>),
    /// The whole answer.
    Whole(StatusCode, HeaderMap, Bytes),
    /// An answer that is too large to keep: its start and the rest.
    Large(StatusCode, HeaderMap, Bytes, Incoming),
}

/// Runs an attempt or joins it.
pub(crate) async fn forward(
    shared: &Arc<Shared>,
    head: &CallHead,
    attempt: AttemptRef,
    req: Request,
) -> Result<Response, Refusal> {
    let until = Instant::now() + Duration::from_millis(head.deadline_ms);
    // Counted before the look at the drain, so that a stop waits for whatever is let in.
    let in_flight = shared.count();
    if shared.is_draining() {
        return refuse(shared, attempt, until, shared.draining_refusal()).await;
    }
    let (parts, body) = req.into_parts();
    // The whole body is read first: a call that the gateway stops sending has then reached nobody.
    let body = match read(body, shared.settings.max_body_bytes, until).await {
        Ok(body) => body,
        Err(refusal) => return refuse(shared, attempt, until, refusal).await,
    };
    let req = Request::from_parts(parts, Body::from(body));
    let req = match call::upstream_request(shared, head, req) {
        Ok(req) => req,
        Err(refusal) => return refuse(shared, attempt, until, refusal).await,
    };
    let admission = shared.guard().admit(attempt);
    if let Admission::Known(state) = admission {
        return join(shared, attempt, state, until).await;
    }
    let (tx, rx) = oneshot::channel();
    tokio::spawn(run(in_flight, attempt, req, tx));
    match timeout_at(until, rx).await {
        Ok(Ok(ended)) => answer(shared, ended),
        Ok(Err(_)) => Err(unknown("the run was given up")),
        Err(_) => Err(late()),
    }
}

/// Runs an attempt to its end, whoever still waits for it.
async fn run(
    in_flight: InFlight,
    attempt: AttemptRef,
    req: Request<Body>,
    tx: oneshot::Sender<Ended>,
) {
    let shared = &in_flight.0;
    let ended = match timeout(RUN_LIMIT, exchange(shared, req)).await {
        Ok(ended) => ended,
        Err(_) => Ended::Unknown(
            format!(
                "the service did not answer within {} s",
                RUN_LIMIT.as_secs()
            )
            .into(),
        ),
    };
    let state = match &ended {
        Ended::NotSent(_) => AttemptState::Fenced,
        Ended::Unknown(detail) => {
            tracing::warn!(event = "attempt_unknown", call = %attempt.call, %detail);
            AttemptState::Unknown
        }
        Ended::Whole(status, headers, body) => kept(*status, headers, Some(body)),
        Ended::Large(status, headers, ..) => kept(*status, headers, None),
    };
    shared.guard().finish(attempt, state);
    shared.attempt_ended.notify_waiters();
    // Nobody may wait for it any more; a retry finds it in the table.
    let _ = tx.send(ended);
}

async fn exchange(shared: &Shared, req: Request<Body>) -> Ended {
    let res = match shared.upstream.send_once(req).await {
        Ok(res) => res,
        Err(e) if e.is_connect() => {
            return Ended::NotSent(format!("the service cannot be reached: {e}").into());
        }
        Err(e) => return Ended::Unknown(format!("the service's connection failed: {e}").into()),
    };
    let (parts, mut body) = res.into_parts();
    let mut buf = BytesMut::new();
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => buf.extend_from_slice(&frame.into_data().unwrap_or_default()),
            Err(e) => {
                return Ended::Unknown(format!("the service's answer broke off: {e}").into());
            }
        }
        if buf.len() > MAX_KEPT_ANSWER_BYTES {
            return Ended::Large(parts.status, parts.headers, buf.freeze(), body);
        }
    }
    Ended::Whole(parts.status, parts.headers, buf.freeze())
}

fn kept(status: StatusCode, headers: &HeaderMap, body: Option<&Bytes>) -> AttemptState {
    let content_type = headers.get(header::CONTENT_TYPE);
    AttemptState::Answered(Answer {
        status: status.as_u16(),
        content_type: content_type.and_then(|v| v.to_str().ok()).map(Into::into),
        body: body
            .and_then(|body| std::str::from_utf8(body).ok())
            .map(Into::into),
    })
}

/// Answer of the run that this request started.
fn answer(shared: &Shared, ended: Ended) -> Result<Response, Refusal> {
    let (status, headers, body) = match ended {
        Ended::NotSent(detail) => return Err(Refusal::not_run(ProblemKind::NoUpstream, detail)),
        Ended::Unknown(detail) => return Err(unknown(&detail)),
        Ended::Whole(status, headers, body) => (status, headers, Body::from(body)),
        Ended::Large(status, headers, start, rest) => {
            let start = futures::stream::iter([Ok::<_, hyper::Error>(start)]);
            let rest = futures::StreamExt::chain(start, rest.into_data_stream());
            (status, headers, Body::from_stream(rest))
        }
    };
    let mut res = Response::new(body);
    *res.status_mut() = status;
    *res.headers_mut() = headers;
    strip_answer(shared, res.headers_mut());
    Ok(res)
}

/// Refuses an attempt as not run, which takes the promise never to run it; if it is known already,
/// its end is told instead.
async fn refuse(
    shared: &Shared,
    attempt: AttemptRef,
    until: Instant,
    refusal: Refusal,
) -> Result<Response, Refusal> {
    let state = shared.guard().refuse(attempt);
    match state {
        AttemptState::Fenced => Err(refusal),
        state => join(shared, attempt, state, until).await,
    }
}

/// Waits for the end of an attempt that is known already.
async fn join(
    shared: &Shared,
    attempt: AttemptRef,
    state: AttemptState,
    until: Instant,
) -> Result<Response, Refusal> {
    let state = match state {
        AttemptState::Running => control::outcome(shared, attempt, until).await,
        state => state,
    };
    match state {
        AttemptState::Answered(answer) => repeat(shared, answer),
        AttemptState::Fenced => Err(Refusal::not_run(
            ProblemKind::Fenced,
            "this attempt was fenced; open another one",
        )),
        AttemptState::OtherIncarnation => Err(Refusal::new(
            ProblemKind::OtherIncarnation,
            Verdict::MayHaveRun,
            format!(
                "the attempt is bound to sidecar life {}; this is {}",
                attempt.sidecar, shared.incarnation
            ),
        )),
        AttemptState::Running | AttemptState::NotSeen => Err(late()),
        AttemptState::Unknown => Err(unknown("the service did not answer this attempt")),
    }
}

/// Answer from the table.
fn repeat(shared: &Shared, answer: Answer) -> Result<Response, Refusal> {
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
    strip_answer(shared, headers);
    Ok(res)
}

async fn read(body: Body, limit: usize, until: Instant) -> Result<Bytes, Refusal> {
    let collected = timeout_at(until, Limited::new(body, limit).collect()).await;
    match collected {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(Refusal::not_run(
            ProblemKind::BodyTooLarge,
            format!("the body is over {limit} bytes"),
        )),
        Ok(Err(e)) => Err(Refusal::not_run(ProblemKind::IncompleteBody, e.to_string())),
        Err(_) => Err(Refusal::not_run(
            ProblemKind::IncompleteBody,
            "the deadline passed before the body was complete",
        )),
    }
}

fn unknown(detail: &str) -> Refusal {
    Refusal::new(ProblemKind::UpstreamLost, Verdict::MayHaveRun, detail)
}

fn late() -> Refusal {
    Refusal::new(
        ProblemKind::UpstreamTimeout,
        Verdict::MayHaveRun,
        "the deadline passed before the service answered",
    )
}
