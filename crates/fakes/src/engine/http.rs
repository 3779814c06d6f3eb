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
use super::batch::{self, EngineCrashed, EngineStats, FrameReceiver};
use super::config::EngineFaults;
use super::orders::OrderRejection;
use crate::server::ConnId;

/// Maximum size of a request body in bytes; allows prompts of several hundred thousand tokens.
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
        .layer(from_fn_with_state(
            Arc::clone(&shared),
            wait_until_answering,
        ))
        .route("/faults", get(faults).put(set_faults))
        .route("/seen", get(seen))
        .layer(axum::extract::DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(shared)
}

async fn wait_until_answering(State(shared): Cx, req: Request, next: Next) -> Response {
    shared.wait_until_answering().await;
    next.run(req).await
}

async fn generate(
    State(shared): Cx,
    headers: HeaderMap,
    Json(generate): Json<Generate>,
) -> Result<Response, Rejection> {
    let mut engine = shared.engine();
    engine
        .stats
        .header_names
        .extend(headers.keys().map(ToString::to_string));
    if engine
        .orders
        .completes_at()
        .is_some_and(|at| at > Instant::now())
    {
        return Err(reject(
            ProblemKind::Draining,
            "the engine carries out an order",
        ));
    }
    if !engine.orders.serves(&generate.model) {
        let detail = format!("model {} is not loaded", generate.model);
        return Err(reject(ProblemKind::UnknownModel, detail));
    }
    let frames = engine.submit(&generate);
    let keep_alive_interval = Duration::from_millis(engine.cfg.keep_alive_ms);
    drop(engine);
    shared.scheduler_wakeup.notify_one();
    let next_seq = u32::try_from(generate.delivered.len()).unwrap_or(u32::MAX);
    let keep_alive_frame = Frame {
        id: generate.id,
        attempt: generate.attempt,
        seq: next_seq,
        body: FrameBody::KeepAlive,
    };
    let answer = AnswerStream {
        shared,
        frames,
        keep_alive_interval,
        keep_alive_frame,
    };
    let body = Body::from_stream(unfold(answer, |mut answer| async move {
        Some((answer.next().await?, answer))
    }));
    Ok(([(header::CONTENT_TYPE, "application/x-ndjson")], body).into_response())
}

/// Body stream of one answer.
struct AnswerStream {
    shared: Arc<Shared>,
    frames: FrameReceiver,
    keep_alive_interval: Duration,
    /// Keep-alive frame with the sequence number of the next frame.
    keep_alive_frame: Frame,
}

impl AnswerStream {
    /// Returns the next line: a frame of the answer, or a keep-alive if none was sent for the
    /// interval.
    async fn next(&mut self) -> Option<Result<Bytes, EngineCrashed>> {
        loop {
            let frame = if self.keep_alive_interval.is_zero() {
                self.frames.recv().await
            } else {
                match timeout(self.keep_alive_interval, self.frames.recv()).await {
                    Ok(frame) => frame,
                    Err(_) if self.shared.engine().faults.stop_answering => continue,
                    Err(_) => return Some(Ok(batch::encode_frame(&self.keep_alive_frame))),
                }
            };
            return Some(frame?.map(|frame| {
                self.keep_alive_frame.seq = frame.next_seq;
                frame.bytes
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
    let blocks = prefix_block_hashes(&export.model, &export.prompt);
    Json(CachedPrefixBlocks {
        blocks: shared.engine().cache.prefix(&blocks).to_vec(),
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
    engine
        .orders
        .complete_due(now)
        .then(|| engine.cache.clear());
    match engine.orders.start(order.clone(), now) {
        Ok(true) => {
            engine.stats.orders_under_load += u64::from(engine.requests_in_flight() > 0);
            engine.stats.orders.push(order);
        }
        Ok(false) => {}
        Err(rejection) => {
            engine.stats.fenced_orders += u64::from(rejection == OrderRejection::Fenced);
            let status = match rejection {
                OrderRejection::Fenced | OrderRejection::Busy => StatusCode::CONFLICT,
                OrderRejection::UnsupportedCommand => StatusCode::BAD_REQUEST,
            };
            return Err((status, Json(engine.orders.state())));
        }
    }
    let state = engine.orders.state();
    drop(engine);
    shared.scheduler_wakeup.notify_one();
    Ok(Json(state))
}

async fn order_state(State(shared): Cx) -> Json<OrderState> {
    let mut engine = shared.engine();
    engine
        .orders
        .complete_due(Instant::now())
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

async fn seen(State(shared): Cx) -> Result<Json<EngineStats>, Infallible> {
    Ok(Json(shared.engine().stats.clone()))
}

/// Refusal of a generation as a problem document.
struct Rejection(Problem);

impl IntoResponse for Rejection {
    fn into_response(self) -> Response {
        let status = StatusCode::from_u16(self.0.status).unwrap_or(StatusCode::BAD_REQUEST);
        (status, [(header::CONTENT_TYPE, PROBLEM_JSON)], Json(self.0)).into_response()
    }
}

fn reject(kind: ProblemKind, detail: impl Into<Box<str>>) -> Rejection {
    Rejection(Problem::new(kind, Verdict::NotRun, detail))
}
