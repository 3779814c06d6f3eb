//! HTTP interface of the fake engine.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use axum::extract::{Extension, Query, Request, State};
use axum::middleware::{Next, from_fn_with_state};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use bytes::Bytes;
use futures::stream::unfold;
use http::{HeaderMap, StatusCode, header};
use nutmegbay_core::verdict::Verdict;
use nutmegbay_proto::engine::{
    CacheEvents, CacheExport, CachedPrefixBlocks, Cancel, EngineOrder, Generate, Load, OrderState,
};
use nutmegbay_proto::frame::{Frame, FrameBody};
use nutmegbay_proto::prefix::prefix_block_hashes;
use nutmegbay_proto::problem::{PROBLEM_JSON, Problem, ProblemKind};
use serde::Deserialize;
use tokio::time::{Instant, timeout};

use super::Shared;
use super::batch::{self, EngineSeen, Lines, Lost};
use super::config::EngineFaults;
use super::orders::Refusal;
use crate::server::ConnId;

/// Largest body taken, for prompts of several hundred thousand tokens.
const MAX_BODY_BYTES: usize = 16 << 20;

type Cx = State<Arc<Shared>>;

pub(super) fn router(shared: Arc<Shared>) -> Router {
    Router::new()
        .route("/generate", post(generate))
        .route("/cancel", post(cancel))
        .route("/load", get(load))
        .route("/cache/events", get(cache_events))
        .route("/cache/export", post(cache_export))
        .route("/cache/import", post(cache_import))
        .route("/order", post(order).get(order_state))
        .layer(from_fn_with_state(Arc::clone(&shared), answering))
        .route("/faults", get(faults).put(set_faults))
        .route("/seen", get(seen))
        .layer(axum::extract::DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(shared)
}

async fn answering(State(shared): Cx, req: Request, next: Next) -> Response {
    shared.wait_answering().await;
    next.run(req).await
}

async fn generate(
    State(shared): Cx,
    headers: HeaderMap,
    Json(generate): Json<Generate>,
) -> Result<Response, Refused> {
    let mut engine = shared.engine();
    engine
        .seen
        .header_names
        .extend(headers.keys().map(ToString::to_string));
    if engine
        .orders
        .done_at()
        .is_some_and(|at| at > Instant::now())
    {
        return Err(refused(
            ProblemKind::Draining,
            "the engine carries out an order",
        ));
    }
    if !engine.orders.serves(&generate.model) {
        let detail = format!("model {} is not loaded", generate.model);
        return Err(refused(ProblemKind::UnknownModel, detail));
    }
    let lines = engine.submit(&generate);
    let keep_alive = Duration::from_millis(engine.cfg.keep_alive_ms);
    drop(engine);
    shared.changed.notify_one();
    let next = u32::try_from(generate.delivered.len()).unwrap_or(u32::MAX);
    let head = Frame {
        id: generate.id,
        attempt: generate.attempt,
        seq: next,
        body: FrameBody::KeepAlive,
    };
    let answer = Answer {
        shared,
        lines,
        keep_alive,
        head,
    };
    let body = Body::from_stream(unfold(answer, |mut answer| async move {
        Some((answer.next().await?, answer))
    }));
    Ok(([(header::CONTENT_TYPE, "application/x-ndjson")], body).into_response())
}

/// One answer on its way out.
struct Answer {
    shared: Arc<Shared>,
    lines: Lines,
    keep_alive: Duration,
    /// Sign of life at the current position.
    head: Frame,
}

impl Answer {
    /// Next line: a frame of the answer, or a sign of life where none is due.
    async fn next(&mut self) -> Option<Result<Bytes, Lost>> {
        loop {
            let line = if self.keep_alive.is_zero() {
                self.lines.recv().await
            } else {
                match timeout(self.keep_alive, self.lines.recv()).await {
                    Ok(line) => line,
                    Err(_) if self.shared.engine().faults.stop_answering => continue,
                    Err(_) => return Some(Ok(batch::line(&self.head))),
                }
            };
            return Some(line?.map(|line| {
                self.head.seq = line.next;
                line.bytes
            }));
        }
    }
}

async fn cancel(State(shared): Cx, Json(cancel): Json<Cancel>) -> StatusCode {
    shared.engine().cancel(cancel.id);
    StatusCode::NO_CONTENT
}

async fn load(State(shared): Cx) -> Json<Load> {
    Json(shared.engine().load(Instant::now()))
}

#[derive(Debug, Deserialize)]
struct EventsQuery {
    #[serde(default)]
    from: u64,
}

async fn cache_events(State(shared): Cx, Query(query): Query<EventsQuery>) -> Json<CacheEvents> {
    Json(shared.engine().cache.events(query.from, Instant::now()))
}

async fn cache_export(
    State(shared): Cx,
    Json(export): Json<CacheExport>,
) -> Json<CachedPrefixBlocks> {
    let pieces = prefix_block_hashes(&export.model, &export.prompt);
    Json(CachedPrefixBlocks {
        blocks: shared.engine().cache.prefix(&pieces).to_vec(),
    })
}

async fn cache_import(State(shared): Cx, Json(import): Json<CachedPrefixBlocks>) -> StatusCode {
    shared.engine().cache.store(&import.blocks);
    StatusCode::NO_CONTENT
}

async fn order(
    State(shared): Cx,
    Json(order): Json<EngineOrder>,
) -> Result<Json<OrderState>, (StatusCode, Json<OrderState>)> {
    let mut engine = shared.engine();
    let now = Instant::now();
    engine.orders.complete(now).then(|| engine.cache.clear());
    match engine.orders.take(order.clone(), now) {
        Ok(true) => {
            engine.seen.orders_under_load += u64::from(engine.jobs() > 0);
            engine.seen.orders.push(order);
        }
        Ok(false) => {}
        Err(refusal) => {
            engine.seen.fenced_orders += u64::from(refusal == Refusal::Fenced);
            let status = match refusal {
                Refusal::Fenced | Refusal::Busy => StatusCode::CONFLICT,
                Refusal::NotForEngines => StatusCode::BAD_REQUEST,
            };
            return Err((status, Json(engine.orders.state())));
        }
    }
    let state = engine.orders.state();
    drop(engine);
    shared.changed.notify_one();
    Ok(Json(state))
}

async fn order_state(State(shared): Cx) -> Json<OrderState> {
    let mut engine = shared.engine();
    engine
        .orders
        .complete(Instant::now())
        .then(|| engine.cache.clear());
    Json(engine.orders.state())
}

async fn faults(State(shared): Cx) -> Json<EngineFaults> {
    Json(shared.engine().faults)
}

async fn set_faults(
    State(shared): Cx,
    Extension(conn): Extension<ConnId>,
    Json(faults): Json<EngineFaults>,
) -> StatusCode {
    shared.set_faults(faults, Some(conn));
    StatusCode::NO_CONTENT
}

async fn seen(State(shared): Cx) -> Result<Json<EngineSeen>, Infallible> {
    Ok(Json(shared.engine().seen.clone()))
}

struct Refused(Problem);

impl IntoResponse for Refused {
    fn into_response(self) -> Response {
        let status = StatusCode::from_u16(self.0.status).unwrap_or(StatusCode::BAD_REQUEST);
        (status, [(header::CONTENT_TYPE, PROBLEM_JSON)], Json(self.0)).into_response()
    }
}

fn refused(kind: ProblemKind, detail: impl Into<Box<str>>) -> Refused {
    Refused(Problem::new(kind, Verdict::NotRun, detail))
}
