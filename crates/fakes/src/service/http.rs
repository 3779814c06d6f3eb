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

/// Header with the reference of a call.
const REFERENCE_HEADER: &str = "x-reference";

type Cx = State<Arc<Shared>>;

pub(super) fn router(shared: Arc<Shared>) -> Router {
    Router::new()
        .route("/{*path}", get(read).post(execute))
        .layer(from_fn_with_state(Arc::clone(&shared), answering))
        .route("/executions", get(executions))
        .route("/faults", get(faults).put(set_faults))
        .with_state(shared)
}

async fn answering(State(shared): Cx, req: Request, next: Next) -> Response {
    shared.wait_answering().await;
    next.run(req).await
}

#[derive(Debug, Default, Deserialize)]
struct Wishes {
    echo: Option<Box<str>>,
    #[serde(default)]
    pad: usize,
}

impl Wishes {
    fn headers(&self, headers: &HeaderMap) -> Option<BTreeMap<String, Vec<String>>> {
        let wanted = self.echo.as_deref() == Some("headers");
        wanted.then(|| {
            let mut all: BTreeMap<String, Vec<String>> = BTreeMap::new();
            for (name, value) in headers {
                let text = String::from_utf8_lossy(value.as_bytes()).into_owned();
                all.entry(name.to_string()).or_default().push(text);
            }
            all
        })
    }

    fn padding(&self) -> Option<Box<str>> {
        (self.pad > 0).then(|| "x".repeat(self.pad).into())
    }
}

async fn execute(
    State(shared): Cx,
    Query(wishes): Query<Wishes>,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let reference = reference_of(&headers, &body);
    let (slow, slow_answer) = {
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
    pause(slow).await;
    if due(&mut shared.state().faults.drop_before) {
        return DropConnection.into_response();
    }
    if due(&mut shared.state().faults.fail_before) {
        return failure("failed before executing");
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
    pause(slow_answer).await;
    if due(&mut shared.state().faults.drop_after) {
        return DropConnection.into_response();
    }
    if due(&mut shared.state().faults.fail_after) {
        return failure("failed after executing");
    }
    let executed = Executed {
        service: shared.cfg.name.clone(),
        reference,
        executions: count,
        headers: wishes.headers(&headers),
        pad: wishes.padding(),
    };
    (StatusCode::CREATED, Json(executed)).into_response()
}

async fn read(
    State(shared): Cx,
    Path(path): Path<String>,
    Query(wishes): Query<Wishes>,
    headers: HeaderMap,
) -> Response {
    let slow = {
        let mut state = shared.state();
        state.executions.reads += 1;
        state
            .executions
            .header_names
            .extend(headers.keys().map(ToString::to_string));
        shared.cfg.delay_ms + state.faults.slow_ms
    };
    pause(slow).await;
    let Some((_, reference)) = path.trim_end_matches('/').rsplit_once('/') else {
        let known = shared.state().executions.by_reference.clone();
        return Json(known).into_response();
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
        headers: wishes.headers(&headers),
        pad: wishes.padding(),
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

fn reference_of(headers: &HeaderMap, body: &[u8]) -> Box<str> {
    #[derive(Deserialize)]
    struct Named {
        reference: Box<str>,
    }
    let header = headers
        .get(REFERENCE_HEADER)
        .and_then(|value| value.to_str().ok());
    if let Some(reference) = header {
        return reference.into();
    }
    match serde_json::from_slice::<Named>(body) {
        Ok(named) => named.reference,
        Err(_) => format!("{:032x}", xxh3_128(body)).into(),
    }
}

async fn pause(ms: u64) {
    if ms > 0 {
        tokio::time::sleep(Duration::from_millis(ms)).await;
    }
}

fn due(count: &mut u32) -> bool {
    let due = *count > 0;
    *count = count.saturating_sub(1);
    due
}

fn failure(text: &'static str) -> Response {
    (StatusCode::INTERNAL_SERVER_ERROR, text).into_response()
}
