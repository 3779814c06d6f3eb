//! HTTP responses for refused requests.

use axum::http::{HeaderValue, StatusCode, header};
use axum::response::{IntoResponse, Response};
use nutmegbay_core::verdict::Verdict;
use nutmegbay_proto::problem::{PROBLEM_JSON, Problem, ProblemKind};
use nutmegbay_proto::work::VERDICT_HEADER;

/// Refusal of a request, sent to the gateway as `application/problem+json`.
#[derive(Debug)]
pub(crate) struct Refusal(pub(crate) Problem);

impl Refusal {
    /// Refuses a request with the given verdict on whether it may have run.
    pub(crate) fn new(kind: ProblemKind, verdict: Verdict, detail: impl Into<Box<str>>) -> Self {
        Self(Problem::new(kind, verdict, detail))
    }

    /// Refuses a request that did not reach the upstream.
    pub(crate) fn not_run(kind: ProblemKind, detail: impl Into<Box<str>>) -> Self {
        Self::new(kind, Verdict::NotRun, detail)
    }
}

impl IntoResponse for Refusal {
    fn into_response(self) -> Response {
        let status =
            StatusCode::from_u16(self.0.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let body = serde_json::to_vec(&self.0).unwrap_or_default();
        let mut res = (status, body).into_response();
        let headers = res.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(PROBLEM_JSON));
        let verdict: &'static str = self.0.verdict.into();
        headers.insert(VERDICT_HEADER, HeaderValue::from_static(verdict));
        if let Some(seconds) = self.0.retry_after_s {
            headers.insert(header::RETRY_AFTER, seconds.into());
        }
        res
    }
}
