//! Calls to a plain service: `/call/...` is forwarded, and both bodies are streamed.

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

use crate::non_idempotent;
use crate::refusal::Refusal;
use crate::state::SharedState;

/// Hop-by-hop headers, which apply to a single connection.
const HOP_BY_HOP_HEADERS: [HeaderName; 9] = [
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

/// Headers with a caller's credentials for nutmegbay, which must not reach the service.
const CREDENTIAL_HEADERS: [HeaderName; 3] = [
    header::AUTHORIZATION,
    HeaderName::from_static("x-api-key"),
    header::COOKIE,
];

/// Prefix of the headers that only nutmegbay may set.
const NUTMEGBAY_HEADER_PREFIX: &str = "x-nutmegbay-";

/// Handles every method on `/call/...`.
pub(crate) async fn handle(State(shared): State<Arc<SharedState>>, req: Request) -> Response {
    let (head, res) = match parse_call_head(req.headers()) {
        Ok(head) => {
            let res = forward(&shared, &head, req).await;
            (Some(head), res)
        }
        Err(refusal) => (None, Err(refusal)),
    };
    shared.increment_metric(if res.is_ok() {
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

/// Removes hop-by-hop headers and nutmegbay's own headers from an answer, and adds the load header.
pub(crate) fn prepare_answer_headers(shared: &SharedState, headers: &mut HeaderMap) {
    strip_hop_by_hop(headers);
    strip_nutmegbay_headers(headers);
    if let Some(load) = shared.load_header() {
        headers.insert(LOAD_HEADER, load);
    }
}

/// Forwards a call to the service. A non-idempotent call runs at most once.
async fn forward(
    shared: &Arc<SharedState>,
    head: &CallHead,
    req: Request,
) -> Result<Response, Refusal> {
    if shared.settings.kind != UpstreamKind::Service {
        return Err(Refusal::not_run(
            ProblemKind::NoUpstream,
            format!("upstream `{}` is not a service", shared.settings.instance),
        ));
    }
    if let Some(attempt) = head.attempt {
        return non_idempotent::forward_attempt(shared, head, attempt, req).await;
    }
    let in_flight = shared.admit_request()?;
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
    prepare_answer_headers(shared, &mut parts.headers);
    // The call is in flight until the body of its answer is complete or dropped.
    let body = Body::new(body.map_frame(move |frame| {
        let _ = &in_flight;
        frame
    }));
    Ok(Response::from_parts(parts, body))
}

/// Parses the call head in the request's headers.
fn parse_call_head(headers: &HeaderMap) -> Result<CallHead, Refusal> {
    let malformed = |detail: String| Refusal::not_run(ProblemKind::MalformedBody, detail);
    let value = headers
        .get(CALL_HEADER)
        .ok_or_else(|| malformed(format!("header `{CALL_HEADER}` is missing")))?;
    serde_json::from_slice(value.as_bytes())
        .map_err(|e| malformed(format!("header `{CALL_HEADER}` does not parse: {e}")))
}

/// Builds the request to the service. It carries no credentials of the caller, and the client
/// account is its only nutmegbay header.
pub(crate) fn upstream_request(
    shared: &SharedState,
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
    strip_nutmegbay_headers(&mut parts.headers);
    for name in CREDENTIAL_HEADERS {
        parts.headers.remove(name);
    }
    // The HTTP client sets the host of the service.
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

/// Removes the hop-by-hop headers, including those that `Connection` names.
fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP_HEADERS.iter().chain(&named) {
        headers.remove(name);
    }
}

/// Removes the headers that only nutmegbay may set.
fn strip_nutmegbay_headers(headers: &mut HeaderMap) {
    let own: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(NUTMEGBAY_HEADER_PREFIX))
        .cloned()
        .collect();
    for name in own {
        headers.remove(name);
    }
}
