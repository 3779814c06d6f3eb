//! Control interface of the sidecar: JSON-RPC on the data port.

use std::convert::Infallible;
use std::sync::Arc;

use axum::body::Body;
use axum::http::Request;
use axum::response::{IntoResponse, Response};
use jsonrpsee::Methods;
use jsonrpsee::core::{RpcResult, async_trait};
use jsonrpsee::server::{Server, ServerConfig, StopHandle, stop_channel};
use nutmegbay_core::guard::{AttemptRef, AttemptState};
use nutmegbay_core::ids::Offset;
use nutmegbay_proto::control::{
    LogStatus, LogTail, OrderReply, SidecarControlServer, SidecarQuery, SidecarStatus,
};
use nutmegbay_proto::engine::EngineOrder;
use nutmegbay_proto::problem::ProblemKind;
use tokio::time::{Duration, Instant, timeout_at};
use tower::{Service, ServiceExt, service_fn};

use crate::orders;
use crate::refusal::Refusal;
use crate::state::SharedState;

/// Maximum size of a request or response in bytes, large enough for relayed log records.
const MAX_MESSAGE_BYTES: u32 = 16 << 20;

/// Maximum time that one request waits for the outcome of an attempt.
const MAX_OUTCOME_WAIT: Duration = Duration::from_secs(30);

/// Implementation of [`SidecarControlServer`] on the shared state.
struct Control(Arc<SharedState>);

#[async_trait]
impl SidecarControlServer for Control {
    async fn status(&self, query: SidecarQuery) -> RpcResult<SidecarStatus> {
        let shared = &self.0;
        let log = {
            let mut log = shared.log();
            log.observe_status(query.log);
            log.status()
        };
        let mut load = shared.monitor.load(shared.in_flight());
        load.waiting = load.waiting.saturating_add(shared.run_scheduler.waiting());
        Ok(SidecarStatus {
            upstream: shared.settings.instance.clone(),
            incarnation: shared.incarnation,
            healthy: shared.monitor.is_healthy(),
            draining: shared.is_draining(),
            load,
            cache: shared.monitor.events(query.cache_from),
            log,
            crashes: shared.crashes.reports(),
        })
    }

    async fn order(&self, order: EngineOrder) -> RpcResult<OrderReply> {
        // An order that was started is finished even if the gateway disconnects. Otherwise the next
        // order could reach the engine before it.
        let shared = Arc::clone(&self.0);
        let in_flight = shared.track_request();
        let task = tokio::spawn(async move {
            let _in_flight = in_flight;
            let reply = orders::forward_order(&shared, order).await;
            shared.increment_metric(if reply.accepted {
                "orders"
            } else {
                "orders_refused"
            });
            reply
        });
        Ok(task.await.unwrap_or_else(|e| OrderReply {
            accepted: false,
            note: format!("the order may have taken effect: {e}").into(),
            state: nutmegbay_proto::engine::OrderState::default(),
        }))
    }

    async fn fence(&self, attempt: AttemptRef) -> RpcResult<AttemptState> {
        Ok(self.0.attempts().fence(attempt))
    }

    async fn outcome(&self, attempt: AttemptRef, wait_ms: u64) -> RpcResult<AttemptState> {
        let wait = Duration::from_millis(wait_ms).min(MAX_OUTCOME_WAIT);
        let deadline = Instant::now() + wait;
        Ok(wait_outcome(&self.0, attempt, deadline).await)
    }

    async fn relay(&self, tail: LogTail) -> RpcResult<LogStatus> {
        let mut log = self.0.log();
        log.apply_relayed(tail);
        Ok(log.ring_status())
    }

    async fn tail(&self, from: Offset) -> RpcResult<LogTail> {
        Ok(self.0.log().tail(from))
    }

    async fn drain(&self) -> RpcResult<u32> {
        Ok(self.0.drain())
    }
}

/// Waits until `attempt` has ended or `deadline` has passed and returns its state. The attempt need
/// not have arrived yet.
pub(crate) async fn wait_outcome(
    shared: &SharedState,
    attempt: AttemptRef,
    deadline: Instant,
) -> AttemptState {
    loop {
        let ended = shared.attempt_ended.notified();
        tokio::pin!(ended);
        // Registers before the state is read, so that an attempt that ends in between is not
        // missed.
        ended.as_mut().enable();
        let state = shared.attempts().state(attempt);
        let has_ended = !matches!(state, AttemptState::Running | AttemptState::NotSeen);
        if has_ended || timeout_at(deadline, ended).await.is_err() {
            return state;
        }
    }
}

/// Returns the control interface as a service for the data port. The handle must live as long as
/// the service.
pub(crate) fn service(
    shared: &Arc<SharedState>,
) -> (
    impl Service<Request<Body>, Response = Response, Error = Infallible, Future: Send>
    + Clone
    + Send
    + Sync
    + 'static,
    jsonrpsee::server::ServerHandle,
) {
    let (stop, handle): (StopHandle, _) = stop_channel();
    let config = ServerConfig::builder()
        .http_only()
        .max_request_body_size(MAX_MESSAGE_BYTES)
        .max_response_body_size(MAX_MESSAGE_BYTES)
        .build();
    let builder = Server::builder().set_config(config).to_service_builder();
    let methods = Methods::from(Control(Arc::clone(shared)).into_rpc());
    let service = service_fn(move |req: Request<Body>| {
        let rpc = builder.clone().build(methods.clone(), stop.clone());
        async move {
            Ok(match rpc.oneshot(req).await {
                Ok(res) => res.map(Body::new).into_response(),
                Err(e) => Refusal::not_run(ProblemKind::Internal, e.to_string()).into_response(),
            })
        }
    });
    (service, handle)
}
