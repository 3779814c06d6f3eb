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
use super::{PlatformCounts, RequestFault, ResponseFault, Shared};
use crate::server::DropConnection;

/// Maximum size of a request body in bytes; snapshot parts are the largest bodies.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Maximum time that a long-poll read waits for a record.
const MAX_READ_WAIT: Duration = Duration::from_secs(30);

type Cx = State<Arc<Shared>>;

pub(super) fn router(shared: Arc<Shared>) -> Router {
    Router::new()
        .route("/log", post(append).get(read))
        .route("/instances", get(instances))
        .route("/weights/{model}", get(weights))
        .route("/upstream-orders", post(receive_order))
        .route("/usage-reports", post(receive_report))
        .layer(from_fn(apply_faults))
        .route("/instances", axum::routing::put(set_instances))
        .route("/upstream-orders", get(orders))
        .route("/usage-reports", get(reports))
        .route("/faults", get(faults).put(set_faults))
        .route("/counts", get(counts))
        .layer(axum::extract::DefaultBodyLimit::max(MAX_BODY_BYTES))
        .layer(Extension(Arc::clone(&shared)))
        .with_state(shared)
}

/// Name of the calling client, from its header `x-instance`; empty if the header is absent.
#[derive(Debug, Clone)]
struct Client(Box<str>);

/// Middleware that applies the faults before and after a call.
async fn apply_faults(
    Extension(shared): Extension<Arc<Shared>>,
    mut req: Request,
    next: Next,
) -> Response {
    let Some(called) = called_interface(req.method(), req.uri().path()) else {
        return next.run(req).await;
    };
    let client = client_name(req.headers());
    let fault = shared.state().request_fault(called, &client);
    match fault {
        RequestFault::Delay(latency) if latency.is_zero() => {}
        RequestFault::Delay(latency) => sleep(latency).await,
        RequestFault::Refuse => return unavailable(),
        RequestFault::Drop(outage) => return withhold_response(&shared, outage).await,
    }
    req.extensions_mut().insert(Client(client.clone()));
    let res = next.run(req).await;
    // A long-poll read may have waited. A fault that was set in the meantime applies to its answer.
    let fault = shared.state().request_fault(called, &client);
    match fault {
        RequestFault::Drop(outage) if called == Interface::Read => {
            return withhold_response(&shared, outage).await;
        }
        RequestFault::Refuse if called == Interface::Read => return unavailable(),
        _ => {}
    }
    if !res.status().is_success() {
        return res;
    }
    let fault = shared.state().response_fault(called, &client);
    match fault {
        ResponseFault::Deliver => res,
        ResponseFault::Cut => DropConnection.into_response(),
        ResponseFault::Hang => withhold_response(&shared, Outage::Hang).await,
    }
}

/// Returns the published interface of a call, `None` for paths without one.
fn called_interface(method: &Method, path: &str) -> Option<Interface> {
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

/// Closes the connection of a call without an answer: immediately for [`Outage::Cut`], and when the
/// faults change for [`Outage::Hang`].
async fn withhold_response(shared: &Shared, outage: Outage) -> Response {
    if outage == Outage::Hang {
        let _ = shared.fault_changes.subscribe().changed().await;
    }
    DropConnection.into_response()
}

fn unavailable() -> Response {
    (StatusCode::SERVICE_UNAVAILABLE, "outage\n").into_response()
}

fn client_name(headers: &HeaderMap) -> Box<str> {
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
        let allowed = state.append_limit.try_take(Instant::now());
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
    let wait = Duration::from_millis(query.wait_ms).min(MAX_READ_WAIT);
    let mut head = shared.head.subscribe();
    let mut faults = shared.fault_changes.subscribe();
    // A change of the faults ends the wait, so that a new outage applies to this call as well.
    let append_or_fault_change = async {
        tokio::select! {
            _ = head.wait_for(|head| *head > query.from) => {}
            _ = faults.changed() => {}
        }
    };
    let _ = timeout_at(Instant::now() + wait, append_or_fault_change).await;
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
    if !shared.state().fetch_limit.try_take(Instant::now()) {
        return Err(StatusCode::TOO_MANY_REQUESTS);
    }
    tracing::debug!(model, "weights fetched");
    Ok(vec![0; shared.cfg.weight_bytes])
}

async fn receive_order(
    State(shared): Cx,
    Extension(Client(client)): Extension<Client>,
    Json(order): Json<UpstreamOrder>,
) -> Json<serde_json::Value> {
    shared.state().received.record_order(client, order);
    Json(json!({}))
}

async fn orders(State(shared): Cx) -> Json<Vec<ReceivedOrder>> {
    Json(shared.state().received.orders.clone())
}

async fn receive_report(
    State(shared): Cx,
    Extension(Client(client)): Extension<Client>,
    Json(report): Json<UsageReport>,
) -> Result<Json<serde_json::Value>, (StatusCode, &'static str)> {
    if shared.state().received.record_report(client, report) {
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
