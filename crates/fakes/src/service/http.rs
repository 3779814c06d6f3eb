//! HTTP interface of the fake service.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use axum::extract::{Extension, Path, Query, Request, State};
use axum::middleware::{Next, from_fn_with_state};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use axum::{Json, Router};
use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use serde::Deserialize;
use xxhash_rust::xxh3::xxh3_128;

use super::{Executed, Executions, ServiceFaults, Shared};
use crate::server::{ConnId, DropConnection};

/// Header that carries the reference of a call.
const REFERENCE_HEADER: &str = "x-reference";

type Cx = State<Arc<Shared>>;

pub(super) fn router(shared: Arc<Shared>) -> Router {
    Router::new()
        .route("/{*path}", get(read).post(execute))
        .layer(from_fn_with_state(
            Arc::clone(&shared),
            wait_until_answering,
        ))
        .route("/executions", get(executions))
        .route("/faults", get(faults).put(set_faults))
        .with_state(shared)
}

async fn wait_until_answering(State(shared): Cx, req: Request, next: Next) -> Response {
    shared.wait_until_answering().await;
    next.run(req).await
}

/// Query parameters that change the answer to a call.
#[derive(Debug, Default, Deserialize)]
struct AnswerOptions {
    /// `headers` returns the received headers; other values have no effect.
    echo: Option<Box<str>>,
    /// Length of the padding in bytes.
    #[serde(default)]
    pad: usize,
}

impl AnswerOptions {
    /// Returns the headers by name if the query asks for them.
    fn headers(&self, headers: &HeaderMap) -> Option<BTreeMap<String, Vec<String>>> {
        let is_requested = self.echo.as_deref() == Some("headers");
        is_requested.then(|| {
            let mut by_name: BTreeMap<String, Vec<String>> = BTreeMap::new();
            for (name, value) in headers {
                let text = String::from_utf8_lossy(value.as_bytes()).into_owned();
                by_name.entry(name.to_string()).or_default().push(text);
            }
            by_name
        })
    }

    fn padding(&self) -> Option<Box<str>> {
        (self.pad > 0).then(|| "x".repeat(self.pad).into())
    }
}

async fn execute(
    State(shared): Cx,
    Query(options): Query<AnswerOptions>,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let reference = call_reference(&headers, &body);
    let (delay_ms, answer_delay_ms) = {
        let mut state = shared.state();
        state.executions.started += 1;
        state
            .executions
            .header_names
            .extend(headers.keys().map(ToString::to_string));
        (
            shared.cfg.delay_ms + state.faults.slow_ms,
            state.faults.slow_answer_ms,
        )
    };
    pause(delay_ms).await;
    if take_due(&mut shared.state().faults.drop_before) {
        return DropConnection.into_response();
    }
    if take_due(&mut shared.state().faults.fail_before) {
        return internal_error("failed before executing");
    }
    let count = {
        let executions = &mut shared.state().executions;
        executions.total += 1;
        let count = executions
            .by_reference
            .entry(reference.clone())
            .or_default();
        *count += 1;
        *count
    };
    pause(answer_delay_ms).await;
    if take_due(&mut shared.state().faults.drop_after) {
        return DropConnection.into_response();
    }
    if take_due(&mut shared.state().faults.fail_after) {
        return internal_error("failed after executing");
    }
    let executed = Executed {
        service: shared.cfg.name.clone(),
        reference,
        executions: count,
        headers: options.headers(&headers),
        pad: options.padding(),
    };
    (StatusCode::CREATED, Json(executed)).into_response()
}

async fn read(
    State(shared): Cx,
    Path(path): Path<String>,
    Query(options): Query<AnswerOptions>,
    headers: HeaderMap,
) -> Response {
    let delay_ms = {
        let mut state = shared.state();
        state.executions.reads += 1;
        state
            .executions
            .header_names
            .extend(headers.keys().map(ToString::to_string));
        shared.cfg.delay_ms + state.faults.slow_ms
    };
    pause(delay_ms).await;
    let Some((_, reference)) = path.trim_end_matches('/').rsplit_once('/') else {
        let executions = shared.state().executions.by_reference.clone();
        return Json(executions).into_response();
    };
    let Some(count) = shared
        .state()
        .executions
        .by_reference
        .get(reference)
        .copied()
    else {
        return (StatusCode::NOT_FOUND, "unknown reference\n").into_response();
    };
    let executed = Executed {
        service: shared.cfg.name.clone(),
        reference: reference.into(),
        executions: count,
        headers: options.headers(&headers),
        pad: options.padding(),
    };
    Json(executed).into_response()
}

async fn executions(State(shared): Cx) -> Json<Executions> {
    Json(shared.state().executions.clone())
}

async fn faults(State(shared): Cx) -> Json<ServiceFaults> {
    Json(shared.state().faults)
}

async fn set_faults(
    State(shared): Cx,
    Extension(conn): Extension<ConnId>,
    Json(faults): Json<ServiceFaults>,
) -> StatusCode {
    shared.set_faults(faults, Some(conn));
    StatusCode::NO_CONTENT
}

/// Returns the reference of a call: from its header, otherwise from its body, otherwise a hash of
/// the body.
fn call_reference(headers: &HeaderMap, body: &[u8]) -> Box<str> {
    #[derive(Deserialize)]
    struct ReferencedBody {
        reference: Box<str>,
    }
    let header = headers
        .get(REFERENCE_HEADER)
        .and_then(|value| value.to_str().ok());
    if let Some(reference) = header {
        return reference.into();
    }
    match serde_json::from_slice::<ReferencedBody>(body) {
        Ok(body) => body.reference,
        Err(_) => format!("{:032x}", xxh3_128(body)).into(),
    }
}

async fn pause(ms: u64) {
    if ms > 0 {
        tokio::time::sleep(Duration::from_millis(ms)).await;
    }
}

/// Decrements a fault counter. Returns whether the fault was due.
fn take_due(count: &mut u32) -> bool {
    let due = *count > 0;
    *count = count.saturating_sub(1);
    due
}

fn internal_error(text: &'static str) -> Response {
    (StatusCode::INTERNAL_SERVER_ERROR, text).into_response()
}
