//! HTTP interface of the fake platform.

use std::sync::Arc;
use std::time::Duration;

use axum::extract::{Extension, Path, Query, Request, State};
use axum::middleware::{Next, from_fn};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use http::{HeaderMap, Method, StatusCode};
use nutmegbay_core::ids::Offset;
use nutmegbay_proto::platform::{
    AppendRequest, AppendResponse, INSTANCE_HEADER, InstanceList, UpstreamOrder, UsageReport,
};
use serde::Deserialize;
use serde_json::json;
use tokio::time::{Instant, sleep, timeout_at};

use super::config::{Interface, Outage, PlatformFaults};
use super::store::{ReceivedOrder, ReceivedReport};
use super::{After, Before, PlatformCounts, Shared};
use crate::server::DropConnection;

/// Largest body taken, for snapshot parts.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Longest wait of a read.
const MAX_WAIT: Duration = Duration::from_secs(30);

type Cx = State<Arc<Shared>>;

pub(super) fn router(shared: Arc<Shared>) -> Router {
    Router::new()
        .route("/log", post(append).get(read))
        .route("/instances", get(instances))
        .route("/weights/{model}", get(weights))
        .route("/upstream-orders", post(order))
        .route("/usage-reports", post(report))
        .layer(from_fn(faulty))
        .route("/instances", axum::routing::put(set_instances))
        .route("/upstream-orders", get(orders))
        .route("/usage-reports", get(reports))
        .route("/faults", get(faults).put(set_faults))
        .route("/counts", get(counts))
        .layer(axum::extract::DefaultBodyLimit::max(MAX_BODY_BYTES))
        .layer(Extension(Arc::clone(&shared)))
        .with_state(shared)
}

/// Name of the calling client.
#[derive(Debug, Clone)]
struct Client(Box<str>);

/// Applies the faults around a call.
async fn faulty(
    Extension(shared): Extension<Arc<Shared>>,
    mut req: Request,
    next: Next,
) -> Response {
    let Some(called) = interface(req.method(), req.uri().path()) else {
        return next.run(req).await;
    };
    let client = client_of(req.headers());
    let before = shared.state().before(called, &client);
    match before {
        Before::Pass(latency) if latency.is_zero() => {}
        Before::Pass(latency) => sleep(latency).await,
        Before::Refuse => return refusal(),
        Before::Lose(outage) => return lose(&shared, outage).await,
    }
    req.extensions_mut().insert(Client(client.clone()));
    let res = next.run(req).await;
    // A read may have waited for long: an outage that began meanwhile holds for its answer.
    let now = shared.state().before(called, &client);
    match now {
        Before::Lose(outage) if called == Interface::Read => return lose(&shared, outage).await,
        Before::Refuse if called == Interface::Read => return refusal(),
        _ => {}
    }
    if !res.status().is_success() {
        return res;
    }
    let after = shared.state().after(called, &client);
    match after {
        After::Answer => res,
        After::Cut => DropConnection.into_response(),
        After::Hang => lose(&shared, Outage::Hang).await,
    }
}

fn interface(method: &Method, path: &str) -> Option<Interface> {
    match path {
        "/log" if method == Method::POST => Some(Interface::Append),
        "/log" => Some(Interface::Read),
        "/instances" => Some(Interface::Instances),
        "/upstream-orders" => Some(Interface::UpstreamOrders),
        "/usage-reports" => Some(Interface::UsageReports),
        _ if path.starts_with("/weights/") => Some(Interface::Weights),
        _ => None,
    }
}

/// Leaves a call without an answer; a hanging one is cut when the faults change.
async fn lose(shared: &Shared, outage: Outage) -> Response {
    if outage == Outage::Hang {
        let _ = shared.faults_set.subscribe().changed().await;
    }
    DropConnection.into_response()
}

fn refusal() -> Response {
    (StatusCode::SERVICE_UNAVAILABLE, "outage\n").into_response()
}

fn client_of(headers: &HeaderMap) -> Box<str> {
    let name = headers
        .get(INSTANCE_HEADER)
        .and_then(|value| value.to_str().ok());
    name.unwrap_or_default().into()
}

async fn append(
    State(shared): Cx,
    Json(append): Json<AppendRequest>,
) -> Result<Json<AppendResponse>, StatusCode> {
    let allowed = {
        let mut state = shared.state();
        let allowed = state.appends.take(Instant::now());
        state.counts.limited_appends += u64::from(!allowed);
        allowed
    };
    if !allowed {
        return Err(StatusCode::TOO_MANY_REQUESTS);
    }
    Ok(Json(AppendResponse {
        first: shared.append(append.records),
    }))
}

#[derive(Debug, Deserialize)]
struct ReadQuery {
    from: Offset,
    max: Option<usize>,
    #[serde(default)]
    wait_ms: u64,
}

async fn read(State(shared): Cx, Query(query): Query<ReadQuery>) -> Response {
    let wait = Duration::from_millis(query.wait_ms).min(MAX_WAIT);
    let mut head = shared.head.subscribe();
    let mut faults = shared.faults_set.subscribe();
    // A change of the faults ends the wait, so that an outage holds for this call, too.
    let news = async {
        tokio::select! {
            _ = head.wait_for(|head| *head > query.from) => {}
            _ = faults.changed() => {}
        }
    };
    let _ = timeout_at(Instant::now() + wait, news).await;
    let max = query
        .max
        .unwrap_or(shared.cfg.max_read)
        .min(shared.cfg.max_read);
    let mut state = shared.state();
    state.counts.reads += 1;
    Json(state.log.read(query.from, max)).into_response()
}

async fn instances(State(shared): Cx) -> Json<InstanceList> {
    Json(shared.state().instances.get(Instant::now()).clone())
}

async fn set_instances(State(shared): Cx, Json(list): Json<InstanceList>) -> StatusCode {
    shared.state().instances.set(list, Instant::now());
    StatusCode::NO_CONTENT
}

async fn weights(State(shared): Cx, Path(model): Path<String>) -> Result<Vec<u8>, StatusCode> {
    if !shared.state().fetches.take(Instant::now()) {
        return Err(StatusCode::TOO_MANY_REQUESTS);
    }
    tracing::debug!(model, "weights fetched");
    Ok(vec![0; shared.cfg.weight_bytes])
}

async fn order(
    State(shared): Cx,
    Extension(Client(client)): Extension<Client>,
    Json(order): Json<UpstreamOrder>,
) -> Json<serde_json::Value> {
    shared.state().received.order(client, order);
    Json(json!({}))
}

async fn orders(State(shared): Cx) -> Json<Vec<ReceivedOrder>> {
    Json(shared.state().received.orders.clone())
}

async fn report(
    State(shared): Cx,
    Extension(Client(client)): Extension<Client>,
    Json(report): Json<UsageReport>,
) -> Result<Json<serde_json::Value>, (StatusCode, &'static str)> {
    if shared.state().received.report(client, report) {
        Ok(Json(json!({})))
    } else {
        Err((
            StatusCode::CONFLICT,
            "the window is known with other figures\n",
        ))
    }
}

async fn reports(State(shared): Cx) -> Json<Vec<ReceivedReport>> {
    Json(shared.state().received.reports.clone())
}

async fn counts(State(shared): Cx) -> Json<PlatformCounts> {
    Json(shared.state().counts)
}

async fn faults(State(shared): Cx) -> Json<PlatformFaults> {
    Json(shared.state().faults.clone())
}

async fn set_faults(State(shared): Cx, Json(faults): Json<PlatformFaults>) -> StatusCode {
    shared.set_faults(faults);
    StatusCode::NO_CONTENT
}
