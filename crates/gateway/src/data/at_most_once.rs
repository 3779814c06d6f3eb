//! Handler of non-idempotent calls, which run at most once for each idempotency key.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use nutmegbay_core::attempt::{CallEnd, TicketId};
use nutmegbay_core::ids::{CallKey, Fingerprint, RequestId};
use nutmegbay_core::record::Answer;
use nutmegbay_core::verdict::Verdict;
use nutmegbay_proto::problem::{Problem, ProblemKind};
use nutmegbay_proto::work::REQUEST_HEADER;
use nutmegbay_settings::model::Route;

use super::body::Body;
use super::headers;
use super::refuse::not_run;
use crate::auth::Identity;
use crate::gateway::Gateway;
use crate::state::Input;
use crate::state::once::{AtMostOnceCall, AtMostOnceResult, RawAnswer};

/// Maximum length of an idempotency key in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Runs a non-idempotent call, or returns the recorded outcome if its idempotency key was used
/// before with the same content.
///
/// Fails if the idempotency key is missing or was used with other content, the call failed, or the
/// key of the caller is no longer valid.
pub async fn call(
    gateway: &Arc<Gateway>,
    route: &Route,
    mut caller: Identity,
    parts: Parts,
    body: Bytes,
) -> Result<Response<Body>, Problem> {
    let key = idempotency_key(route, &parts)?;
    let account = &caller.key.account;
    let id = gateway.new_request_id();
    let timeout = Duration::from_millis(route.timeout_ms);
    let call = AtMostOnceCall {
        id,
        account: (**account).into(),
        service: route.service.clone(),
        call: CallKey::of(account, &route.path, key),
        content: content_fingerprint(&parts, &body),
        parts,
        body,
        deadline: gateway.clock.now().plus(timeout),
    };
    let ticket = gateway.ticket();
    let waiting_caller = WaitingCaller { gateway, ticket };
    let pending = gateway.query_state(|reply| Input::AtMostOnceCall(ticket, Box::new(call), reply));
    let end = tokio::select! {
        end = pending => end.ok_or_else(|| {
            Problem::new(ProblemKind::Internal, Verdict::MayHaveRun, "the instance is stopping")
        })?,
        kind = caller.revocation.wait() => {
            drop(waiting_caller);
            let detail = "the key is no longer valid, or that cannot be confirmed; the call may run";
            return Err(Problem::new(kind, Verdict::MayHaveRun, detail));
        }
    };
    std::mem::forget(waiting_caller);
    respond(gateway, id, end)
}

/// Adjusts the verdict of a refusal that was made before the call was looked up in the log. The
/// caller may have sent the call before, to this or another gateway. It is known not to have run
/// only if the request lacks the idempotency key or the API key.
pub fn refuse_before_lookup(route: &Route, headers: &HeaderMap, mut problem: Problem) -> Problem {
    let has_idempotency_key = headers.contains_key(&*route.idempotency_header);
    if has_idempotency_key && problem.kind != ProblemKind::MissingKey {
        problem.verdict = problem.verdict.or(Verdict::MayHaveRun);
    }
    problem
}

/// Caller that waits for its call. When it leaves early, the drop informs the state task.
struct WaitingCaller<'a> {
    gateway: &'a Gateway,
    ticket: TicketId,
}

impl Drop for WaitingCaller<'_> {
    fn drop(&mut self) {
        self.gateway.notify_state(Input::CallerLeft(self.ticket));
    }
}

fn idempotency_key<'a>(route: &Route, parts: &'a Parts) -> Result<&'a str, Problem> {
    let name = &*route.idempotency_header;
    let mut values = parts.headers.get_all(name).iter();
    let value = values.next().and_then(|v| v.to_str().ok()).map(str::trim);
    match value {
        Some(key) if !key.is_empty() && key.len() <= MAX_KEY_BYTES && values.next().is_none() => {
            Ok(key)
        }
        _ => {
            let detail = format!(
                "send one header `{name}` of at most {MAX_KEY_BYTES} characters, \
                 the same for each repeat of this call"
            );
            Err(not_run(ProblemKind::MissingIdempotencyKey, detail))
        }
    }
}

/// Returns a hash of method, path with query, and body.
fn content_fingerprint(parts: &Parts, body: &Bytes) -> Fingerprint {
    let path = parts.uri.path_and_query().map_or("", |p| p.as_str());
    match std::str::from_utf8(body) {
        Ok(text) => Fingerprint::of(parts.method.as_str(), path, text),
        // A method contains no space, so the suffix separates an escaped body from a UTF-8 body
        // with the same text.
        Err(_) => Fingerprint::of(
            &format!("{} binary", parts.method),
            path,
            &body.escape_ascii().to_string(),
        ),
    }
}

fn respond(
    gateway: &Gateway,
    id: RequestId,
    end: AtMostOnceResult,
) -> Result<Response<Body>, Problem> {
    let mut res = match (end.end, end.raw) {
        (CallEnd::Answered(answer), Some(raw)) => forwarded_response(answer.status, raw),
        (CallEnd::Answered(answer), None) => recorded_response(answer)?,
        (CallEnd::Failed(verdict), _) => return Err(failure_problem(gateway, verdict)),
        (CallEnd::KeyReused, _) => {
            let detail = "this idempotency key was used before with other content; use a new key";
            return Err(not_run(ProblemKind::IdempotencyKeyReused, detail));
        }
    };
    if let Ok(value) = HeaderValue::from_str(&id.to_string()) {
        res.headers_mut().insert(REQUEST_HEADER, value);
    }
    Ok(res)
}

fn forwarded_response(status: u16, raw: RawAnswer) -> Response<Body> {
    let mut res = Response::new(Body::full(raw.body));
    *res.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    headers::copy_response(&raw.headers, res.headers_mut());
    res
}

fn recorded_response(answer: Answer) -> Result<Response<Body>, Problem> {
    let body = answer.body.ok_or_else(|| {
        let detail = format!(
            "the call ran and was answered with status {}",
            answer.status
        );
        Problem::new(ProblemKind::AnswerNotKept, Verdict::Ran, detail)
    })?;
    let mut res = Response::new(Body::full(String::from(body)));
    *res.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let content_type = answer.content_type;
    if let Some(value) = content_type.and_then(|v| HeaderValue::from_str(&v).ok()) {
        res.headers_mut().insert(header::CONTENT_TYPE, value);
    }
    Ok(res)
}

fn failure_problem(gateway: &Gateway, verdict: Verdict) -> Problem {
    let (kind, detail) = match verdict {
        // Another gateway may have recorded the call shortly before the log became unavailable.
        _ if !gateway.is_log_available() => (
            ProblemKind::LogUnavailable,
            "the call could not be recorded in the platform's log; repeat it with the same \
             idempotency key",
        ),
        Verdict::NotRun => (
            ProblemKind::NoUpstream,
            "no upstream took the call in time; repeat it with the same idempotency key",
        ),
        _ => (
            ProblemKind::UpstreamTimeout,
            "the call may have run; a repeat with the same idempotency key is safe and returns \
             its outcome if that is known",
        ),
    };
    Problem::new(kind, verdict, detail).retry_after(1)
}
