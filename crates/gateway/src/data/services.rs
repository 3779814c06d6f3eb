//! Routing of calls to plain services, and the handler of idempotent calls.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderValue, Request, Response, Uri};
use http_body_util::Full;
use hyper::body::Incoming;
use nutmegbay_core::ids::RequestId;
use nutmegbay_core::verdict::Verdict;
use nutmegbay_proto::platform::InstanceKind;
use nutmegbay_proto::problem::{Problem, ProblemKind};
use nutmegbay_proto::work::{CALL_HEADER, CALL_PATH, CallHead, REQUEST_HEADER, VERDICT_HEADER};
use nutmegbay_settings::model::{Route, SiteSettings};
use tokio::time::{Instant, timeout_at};

use super::body::{Body, ForwardedBody};
use super::client::ConnectionSource;
use super::headers;
use super::refuse::not_run;
use crate::auth::Identity;
use crate::gateway::Gateway;
use crate::state::upstreams::{OpenRequestGuard, Upstream};

/// Maximum number of attempts for one idempotent call.
const MAX_ATTEMPTS: u32 = 3;

/// Returns the route with the longest path prefix that matches the path and method of a request.
///
/// Fails if no route matches or the path is ambiguous: it contains an empty, `.` or `..` segment or
/// an encoded dot, slash or backslash.
pub fn find_route<'a>(site: &'a SiteSettings, parts: &Parts) -> Result<&'a Route, Problem> {
    let path = parts.uri.path();
    // Services resolve such segments in different ways, so a prefix match would not show which
    // resource is requested.
    let is_ambiguous = path.contains("//")
        || path.contains('%') && has_encoded_delimiter(path)
        || path.split('/').any(|s| s == "." || s == "..");
    site.routes
        .iter()
        .filter(|r| !is_ambiguous && is_prefix(&r.path, path))
        .filter(|r| r.methods.iter().any(|m| **m == *parts.method.as_str()))
        .max_by_key(|r| r.path.len())
        .ok_or_else(|| {
            let detail = format!("no route for {} {path}", parts.method);
            not_run(ProblemKind::UnknownRoute, detail)
        })
}

fn is_prefix(prefix: &str, path: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    path.strip_prefix(prefix)
        .is_some_and(|remainder| remainder.is_empty() || remainder.starts_with('/'))
}

/// Returns whether the path contains a percent-encoded dot, slash or backslash.
fn has_encoded_delimiter(path: &str) -> bool {
    path.as_bytes().windows(3).any(|w| {
        w[0] == b'%'
            && matches!(
                (w[1], w[2].to_ascii_lowercase()),
                (b'2', b'e' | b'f') | (b'5', b'c')
            )
    })
}

/// Runs an idempotent call on up to `MAX_ATTEMPTS` upstreams and forwards the first answer.
///
/// Fails if no upstream takes the call or the timeout of the route passes.
pub async fn call(
    gateway: &Arc<Gateway>,
    route: &Route,
    caller: Option<Identity>,
    parts: &Parts,
    body: Bytes,
) -> Result<Response<Body>, Problem> {
    let deadline = Instant::now() + Duration::from_millis(route.timeout_ms);
    let progress_timeout = gateway.view().progress_timeout();
    let id = gateway.new_request_id();
    let mut verdict = Verdict::NotRun;
    let mut avoid: Vec<Arc<Upstream>> = Vec::new();
    let mut source = ConnectionSource::Pool;
    for attempt in 1..=MAX_ATTEMPTS {
        let Some(upstream) = pick_upstream(gateway, &route.service, &avoid) else {
            break;
        };
        let head = CallHead {
            id,
            account: caller.as_ref().map(|c| (*c.key.account).into()),
            attempt: None,
            deadline_ms: millis(deadline.saturating_duration_since(Instant::now())),
        };
        let dispatch = OpenRequestGuard::new(upstream);
        let req = build_request(&dispatch.upstream, &head, parts, body.clone())?;
        // The connection may be unresponsive. A repeat of the call is harmless, so the next attempt
        // starts without proof that this one has failed.
        let attempt_deadline = match attempt {
            MAX_ATTEMPTS => deadline,
            _ => deadline.min(Instant::now() + progress_timeout),
        };
        match timeout_at(attempt_deadline, gateway.client.send(source, req)).await {
            Ok(Ok(res)) => match sidecar_verdict(&res) {
                None => {
                    dispatch.upstream.set_failing(false);
                    return Ok(forward_response(res, id, caller, dispatch));
                }
                Some(refusal_verdict) => verdict = verdict.or(refusal_verdict),
            },
            Ok(Err(e)) => {
                dispatch.upstream.set_failing(true);
                source = ConnectionSource::New;
                if !e.is_connect() {
                    verdict = Verdict::MayHaveRun;
                }
            }
            Err(_) if Instant::now() >= deadline => {
                let detail = format!("no answer within {} ms", route.timeout_ms);
                let verdict = Verdict::MayHaveRun;
                return Err(Problem::new(ProblemKind::UpstreamTimeout, verdict, detail));
            }
            Err(_) => {
                source = ConnectionSource::New;
                verdict = Verdict::MayHaveRun;
            }
        }
        avoid.push(Arc::clone(&dispatch.upstream));
    }
    let detail = format!("no upstream of service `{}` took the call", route.service);
    Err(Problem::new(ProblemKind::NoUpstream, verdict, detail).retry_after(1))
}

/// Returns the verdict of a refusal by the sidecar, and `None` for an answer of the service. An
/// unreadable verdict counts as [`Verdict::MayHaveRun`].
fn sidecar_verdict(res: &Response<Incoming>) -> Option<Verdict> {
    let value = res.headers().get(VERDICT_HEADER)?;
    let verdict = value.to_str().ok().and_then(|v| v.parse().ok());
    Some(verdict.unwrap_or(Verdict::MayHaveRun))
}

fn pick_upstream(
    gateway: &Gateway,
    service: &str,
    avoid: &[Arc<Upstream>],
) -> Option<Arc<Upstream>> {
    let view = gateway.view();
    let is_avoided = |u: &Arc<Upstream>| avoid.iter().any(|a| Arc::ptr_eq(a, u));
    view.upstreams
        .iter()
        .filter(|u| u.kind == InstanceKind::Service && *u.serves == *service && u.accepts_work())
        .min_by_key(|u| (is_avoided(u), u.is_failing(), u.open_requests()))
        .cloned()
}

/// Builds the HTTP request to the sidecar, with `head` in its call header. Fails if the call cannot
/// be encoded.
pub fn build_request(
    upstream: &Upstream,
    head: &CallHead,
    parts: &Parts,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, Problem> {
    let internal = || not_run(ProblemKind::Internal, "the call cannot be encoded");
    let path = parts.uri.path_and_query().map_or("/", |p| p.as_str());
    let uri: Uri = format!("http://{}{CALL_PATH}{path}", upstream.data)
        .parse()
        .map_err(|_| internal())?;
    let head = serde_json::to_string(head).map_err(|_| internal())?;
    let head = HeaderValue::try_from(head).map_err(|_| internal())?;
    let mut req = Request::new(Full::new(body));
    *req.method_mut() = parts.method.clone();
    *req.uri_mut() = uri;
    headers::copy_request(&parts.headers, req.headers_mut());
    req.headers_mut().insert(CALL_HEADER, head);
    Ok(req)
}

/// Converts the response of a sidecar into the response to the caller. `dispatch` counts the call
/// as open until the body has ended.
pub fn forward_response(
    res: Response<Incoming>,
    id: RequestId,
    caller: Option<Identity>,
    dispatch: OpenRequestGuard,
) -> Response<Body> {
    let (parts, body) = res.into_parts();
    let mut response = Response::new(Body::Forwarded(Box::new(ForwardedBody {
        body,
        revocation: caller.map(|c| c.revocation),
        dispatch: Some(dispatch),
    })));
    *response.status_mut() = parts.status;
    headers::copy_response(&parts.headers, response.headers_mut());
    if let Ok(value) = HeaderValue::from_str(&id.to_string()) {
        response.headers_mut().insert(REQUEST_HEADER, value);
    }
    response
}

fn millis(d: Duration) -> u64 {
    u64::try_from(d.as_millis()).unwrap_or(u64::MAX)
}
