//! Control interface, JSON-RPC on the data port.

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
    LogStatus, OrderReply, SidecarControlServer, SidecarQuery, SidecarStatus, Tail,
};
use nutmegbay_proto::engine::EngineOrder;
use nutmegbay_proto::problem::ProblemKind;
use tokio::time::{Duration, Instant, timeout_at};
use tower::{Service, ServiceExt, service_fn};

use crate::orders;
use crate::refuse::Refusal;
use crate::state::Shared;

/// Largest request, for relayed log records.
const MAX_REQUEST_BYTES: u32 = 16 << 20;

/// Longest wait for an outcome in one question.
const MAX_OUTCOME_WAIT: Duration = Duration::from_secs(30);

struct Control(Arc<Shared>);

#[async_trait]
impl SidecarControlServer for Control {
    async fn status(&self, query: SidecarQuery) -> RpcResult<SidecarStatus> {
        let shared = &self.0;
        let log = {
            let mut log = shared.log();
            log.hear(query.log);
            log.status()
        };
        let mut load = shared.monitor.load(shared.in_flight());
        load.waiting = load.waiting.saturating_add(shared.gate.waiting());
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
        // An order that has begun is finished even if the gateway goes away: otherwise the next one
        // could overtake it on its way to the engine.
        let shared = Arc::clone(&self.0);
        let in_flight = shared.count();
        let order = tokio::spawn(async move {
            let _in_flight = in_flight;
            let reply = orders::order(&shared, order).await;
            shared.count_metric(if reply.accepted {
                "orders"
            } else {
                "orders_refused"
            });
            reply
        });
        Ok(order.await.unwrap_or_else(|e| OrderReply {
            accepted: false,
            note: format!("the order may have taken effect: {e}").into(),
            state: nutmegbay_proto::engine::OrderState::default(),
        }))
    }

    async fn fence(&self, attempt: AttemptRef) -> RpcResult<AttemptState> {
        Ok(self.0.guard().fence(attempt))
    }

    async fn outcome(&self, attempt: AttemptRef, wait_ms: u64) -> RpcResult<AttemptState> {
        let wait = Duration::from_millis(wait_ms).min(MAX_OUTCOME_WAIT);
        let until = Instant::now() + wait;
        Ok(outcome(&self.0, attempt, until).await)
    }

    async fn relay(&self, tail: Tail) -> RpcResult<LogStatus> {
        let mut log = self.0.log();
        log.relay(tail);
        Ok(log.ring_status())
    }

    async fn tail(&self, from: Offset) -> RpcResult<Tail> {
        Ok(self.0.log().tail(from))
    }

    async fn drain(&self) -> RpcResult<u32> {
        Ok(self.0.drain())
    }
}

/// Waits for the end of an attempt, also for one that has not arrived yet.
pub(crate) async fn outcome(shared: &Shared, attempt: AttemptRef, until: Instant) -> AttemptState {
    loop {
        let ended = shared.attempt_ended.notified();
        tokio::pin!(ended);
        // Registers before the state is read, so that an end in between is not missed.
        ended.as_mut().enable();
        let state = shared.guard().state(attempt);
        let is_over = !matches!(state, AttemptState::Running | AttemptState::NotSeen);
        if is_over || timeout_at(until, ended).await.is_err() {
            return state;
        }
    }
}

/// The control interface as a service of the data port. The handle must be kept as long as it is
/// served.
pub(crate) fn service(
    shared: &Arc<Shared>,
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
        .max_request_body_size(MAX_REQUEST_BYTES)
        .max_response_body_size(MAX_REQUEST_BYTES)
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
