//! Problems and their HTTP responses.

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use nutmegbay_core::verdict::Verdict;
use nutmegbay_proto::problem::{PROBLEM_JSON, Problem, ProblemKind};

use super::body::Body;

/// Creates the problem for a request that did not run.
pub fn not_run(kind: ProblemKind, detail: impl Into<Box<str>>) -> Problem {
    Problem::new(kind, Verdict::NotRun, detail)
}

/// Converts a problem into an HTTP response with an `application/problem+json` body.
pub fn respond(problem: &Problem) -> Response<Body> {
    let bytes = serde_json::to_vec(problem).unwrap_or_default();
    let mut res = Response::new(Body::full(Bytes::from(bytes)));
    *res.status_mut() =
        StatusCode::from_u16(problem.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = res.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(PROBLEM_JSON));
    if let Some(seconds) = problem.retry_after_s {
        headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    if problem.kind == ProblemKind::MissingKey {
        headers.insert(header::WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    }
    res
}
