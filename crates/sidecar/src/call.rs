//! Calls to a plain service: `/call/...` is forwarded with its body streamed both ways.

use std::sync::Arc;

use axum::body::Body;
use axum::extract::{Request, State};
use axum::http::{HeaderMap, HeaderName, HeaderValue, header};
use axum::response::{IntoResponse, Response};
use http_body_util::BodyExt;
use nutmegbay_core::verdict::Verdict;
use nutmegbay_proto::problem::ProblemKind;
use nutmegbay_proto::work::{
    ACCOUNT_HEADER, CALL_HEADER, CALL_PATH, CallHead, LOAD_HEADER, REQUEST_HEADER,
};
use nutmegbay_settings::model::UpstreamKind;
use tokio::time::{Duration, timeout};

use crate::once;
use crate::refuse::Refusal;
use crate::state::Shared;

/// Headers that concern one connection only.
const HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Headers with which a caller identifies itself to nutmegbay.
const CALLER_SECRETS: [HeaderName; 3] = [
    header::AUTHORIZATION,
    HeaderName::from_static("x-api-key"),
    header::COOKIE,
];

/// Prefix of the headers that only nutmegbay sets.
const OWN_PREFIX: &str = "x-nutmegbay-";

/// Handles every method on `/call/...`.
pub(crate) async fn handle(State(shared): State<Arc<Shared>>, req: Request) -> Response {
    let (head, res) = match call_head(req.headers()) {
        Ok(head) => {
            let res = forward(&shared, &head, req).await;
            (Some(head), res)
        }
        Err(refusal) => (None, Err(refusal)),
    };
    shared.count_metric(if res.is_ok() {
        "calls"
    } else {
        "calls_refused"
    });
    let mut res = res.unwrap_or_else(IntoResponse::into_response);
    let id = head.and_then(|head| HeaderValue::try_from(head.id.to_string()).ok());
    if let Some(id) = id {
        res.headers_mut().insert(REQUEST_HEADER, id);
    }
    res
}

/// Removes from an answer what concerns one connection or only nutmegbay sets, and adds the load.
pub(crate) fn strip_answer(shared: &Shared, headers: &mut HeaderMap) {
    strip_hop_by_hop(headers);
    strip_own(headers);
    if let Some(load) = shared.load_header() {
        headers.insert(LOAD_HEADER, load);
    }
}

async fn forward(shared: &Arc<Shared>, head: &CallHead, req: Request) -> Result<Response, Refusal> {
    if shared.settings.kind != UpstreamKind::Service {
        return Err(Refusal::not_run(
            ProblemKind::NoUpstream,
            format!("upstream `{}` is not a service", shared.settings.instance),
        ));
    }
    if let Some(attempt) = head.once {
        return once::forward(shared, head, attempt, req).await;
    }
    let in_flight = shared.enter()?;
    let req = upstream_request(shared, head, req)?;
    let deadline = Duration::from_millis(head.deadline_ms);
    let res = match timeout(deadline, shared.upstream.send(req)).await {
        Ok(Ok(res)) => res,
        Ok(Err(e)) if e.is_connect() => {
            return Err(Refusal::not_run(
                ProblemKind::NoUpstream,
                format!("the service cannot be reached: {e}"),
            ));
        }
        Ok(Err(e)) => {
            return Err(Refusal::new(
                ProblemKind::UpstreamLost,
                Verdict::MayHaveRun,
                format!("the service's connection failed: {e}"),
            ));
        }
        Err(_) => {
            return Err(Refusal::new(
                ProblemKind::UpstreamTimeout,
                Verdict::MayHaveRun,
                format!("the service did not answer within {} ms", head.deadline_ms),
            ));
        }
    };
    let (mut parts, body) = res.into_parts();
    strip_answer(shared, &mut parts.headers);
    // The call is in flight until its answer's body is complete or abandoned.
    let body = Body::new(body.map_frame(move |frame| {
        let _ = &in_flight;
        frame
    }));
    Ok(Response::from_parts(parts, body))
}

fn call_head(headers: &HeaderMap) -> Result<CallHead, Refusal> {
    let malformed = |detail: String| Refusal::not_run(ProblemKind::MalformedBody, detail);
    let value = headers
        .get(CALL_HEADER)
        .ok_or_else(|| malformed(format!("header `{CALL_HEADER}` is missing")))?;
    serde_json::from_slice(value.as_bytes())
        .map_err(|e| malformed(format!("header `{CALL_HEADER}` does not parse: {e}")))
}

/// The request as the service sees it: no caller's secrets, no header of nutmegbay but the account.
pub(crate) fn upstream_request(
    shared: &Shared,
    head: &CallHead,
    req: Request,
) -> Result<Request<Body>, Refusal> {
    let malformed = |detail: String| Refusal::not_run(ProblemKind::MalformedBody, detail);
    let (mut parts, body) = req.into_parts();
    let path = parts
        .uri
        .path_and_query()
        .and_then(|path| path.as_str().strip_prefix(CALL_PATH))
        .unwrap_or_default();
    let path = if path.starts_with('/') {
        path.to_owned()
    } else {
        format!("/{path}")
    };
    parts.uri = shared
        .upstream
        .uri(&path)
        .map_err(|e| malformed(format!("the path cannot be forwarded: {e}")))?;
    strip_hop_by_hop(&mut parts.headers);
    strip_own(&mut parts.headers);
    for name in CALLER_SECRETS {
        parts.headers.remove(name);
    }
    // The client sets the service's own host.
    parts.headers.remove(header::HOST);
    if let Some(account) = &head.account {
        let value = HeaderValue::from_str(account)
            .map_err(|_| malformed("the client account is not a header value".to_owned()))?;
        parts.headers.insert(ACCOUNT_HEADER, value);
    }
    let mut out = Request::new(body);
    *out.method_mut() = parts.method;
    *out.uri_mut() = parts.uri;
    *out.headers_mut() = parts.headers;
    Ok(out)
}

/// Removes the headers that concern one connection, also those that `Connection` names.
fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP.iter().chain(&named) {
        headers.remove(name);
    }
}

/// Removes the headers that only nutmegbay sets.
fn strip_own(headers: &mut HeaderMap) {
    let own: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(OWN_PREFIX))
        .cloned()
        .collect();
    for name in own {
        headers.remove(name);
    }
}
