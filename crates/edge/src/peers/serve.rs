//! Serves the readiness and control addresses of this process.

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

use super::{
    CHANGES_PATH, ChangesRequest, KNOWN_RECORDS_PATH, METRICS_PATH, START_RECORDS_PATH, USAGE_PATH,
    build_reply, build_start_reply, relay,
};
use crate::clock::millis;
use crate::members::own_counts;
use crate::own_delay::{CountedIo, DelayMonitor};
use crate::platform_api::WireCodec;
use crate::state::EdgeState;
use crate::versions::{self, ORIGIN_PATH};

/// Pause after a failed accept, for example if no file descriptor is free.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(500);

/// Maximum size of the body of a request, in bytes.
const MAX_REQUEST_BYTES: usize = 64 * 1024;

/// Maximum time to receive the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Handles requests to the readiness or the control address.
pub trait RequestHandler {
    /// Returns the status, content type and text of the response to a request for `path` with
    /// `body`.
    fn handle(
        &self,
        path: &str,
        body: &[u8],
    ) -> impl Future<Output = (StatusCode, &'static str, String)>;
}

/// Accepts connections and serves their requests with `handler`, for as long as the process runs.
pub async fn listen<A: RequestHandler + 'static>(
    listener: TcpListener,
    handler: Rc<A>,
    monitor: DelayMonitor,
) {
    loop {
        let io = match listener.accept().await {
            Ok((io, _)) => CountedIo::new(io, &monitor),
            Err(error) => {
                tracing::warn!(event = "accept_failed", %error);
                sleep(ACCEPT_ERROR_PAUSE).await;
                continue;
            }
        };
        let handler = Rc::clone(&handler);
        tokio::task::spawn_local(async move {
            let service = service_fn(async |req: Request<Incoming>| {
                let (parts, body) = req.into_parts();
                let body = Limited::new(body, MAX_REQUEST_BYTES).collect().await;
                let (status, kind, text) = match body {
                    Ok(body) => handler.handle(parts.uri.path(), &body.to_bytes()).await,
                    Err(_) => (StatusCode::BAD_REQUEST, "text/plain", String::new()),
                };
                let mut res = Response::new(Full::new(Bytes::from(text)));
                *res.status_mut() = status;
                res.headers_mut()
                    .insert(CONTENT_TYPE, HeaderValue::from_static(kind));
                Ok::<_, std::convert::Infallible>(res)
            });
            let served = Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .auto_date_header(false)
                .serve_connection(TokioIo::new(io), service);
            if let Err(error) = served.await {
                tracing::debug!(event = "control_connection_ended", %error);
            }
        });
    }
}

/// Handles the readiness checks of the platform.
pub struct ReadinessHandler<D>(pub Rc<EdgeState<D>>);

impl<D: WireCodec> RequestHandler for ReadinessHandler<D> {
    async fn handle(&self, path: &str, _: &[u8]) -> (StatusCode, &'static str, String) {
        let status = if !self.0.codec.is_readiness_path(path) {
            StatusCode::NOT_FOUND
        } else if self.0.is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        (status, "text/plain", String::new())
    }
}

/// Handles requests of peers and of operators: metrics, store records and usage counts.
pub struct ControlHandler<D>(pub Rc<EdgeState<D>>);

impl<D: WireCodec> RequestHandler for ControlHandler<D> {
    async fn handle(&self, path: &str, body: &[u8]) -> (StatusCode, &'static str, String) {
        let state = &self.0;
        match path {
            METRICS_PATH => {
                let dropped = nutmegbay_telemetry::log::dropped_lines();
                let mut text = state.metrics.render(&gauges(state), dropped);
                let quotas = state.quotas.borrow();
                quotas.write_metrics(&mut text, state.now());
                (StatusCode::OK, "text/plain", text)
            }
            KNOWN_RECORDS_PATH => json_response(&build_reply(state, &ChangesRequest::default())),
            START_RECORDS_PATH => json_response(&build_start_reply(state)),
            USAGE_PATH => match own_counts(state) {
                Some(counts) => json_response(&counts),
                None => (StatusCode::SERVICE_UNAVAILABLE, "text/plain", String::new()),
            },
            CHANGES_PATH => match serde_json::from_slice::<ChangesRequest>(body) {
                Ok(request) => {
                    state.observe_store_era(request.store_era, "follower");
                    versions::merge_waits(state, &request.caller_waits);
                    changes_response(state, &request).await
                }
                Err(error) => {
                    tracing::warn!(event = "changes_ask_unreadable", %error);
                    (StatusCode::BAD_REQUEST, "text/plain", String::new())
                }
            },
            ORIGIN_PATH => match serde_json::from_slice(body) {
                Ok(question) => json_response(&versions::answer(state, &question).await),
                Err(error) => {
                    tracing::warn!(event = "origin_question_unreadable", %error);
                    (StatusCode::BAD_REQUEST, "text/plain", String::new())
                }
            },
            _ => (StatusCode::NOT_FOUND, "text/plain", String::new()),
        }
    }
}

/// Returns the names and values of the gauges.
fn gauges<D: WireCodec>(state: &EdgeState<D>) -> [(&'static str, u64); 22] {
    let now = state.now();
    let measured = state.delay_monitor.measure();
    let known_records = state.known_records.borrow();
    let (paced, fastest, slowest) = state.fleet.borrow().pace_summary(now);
    let (asked, done) = state.fleet.borrow_mut().account_work(now);
    [
        ("config_version", state.version().unwrap_or(0)),
        ("config_age_ms", millis(known_records.config_age(now))),
        ("instances_age_ms", millis(known_records.instances_age(now))),
        ("store_era", state.store_era()),
        ("members", state.process_count() as u64),
        ("follows_relay", state.is_relayed().into()),
        ("requests_in_flight", state.in_flight.get() as u64),
        (
            "quarantined_contents",
            state.crashes.borrow().quarantines().len() as u64,
        ),
        ("timer_late_ms", millis(measured.timer_lateness)),
        ("waits_extended_total", state.delay_monitor.waits_extended()),
        ("received_bytes_per_second", measured.received_per_s as u64),
        (
            "link_share_percent",
            (measured.link_share.unwrap_or(0.0) * 100.0) as u64,
        ),
        ("accounts_asked_ms_per_second", asked),
        ("accounts_done_ms_per_second", done),
        (
            "stream_origins",
            state.versions.borrow().known_origins() as u64,
        ),
        ("engines_with_pace", paced as u64),
        ("engine_pace_fastest_percent", fastest as u64),
        ("engine_pace_slowest_percent", slowest as u64),
        ("held_body_bytes", state.bodies.borrow().used()),
        ("held_response_bytes", state.callers.held.borrow().total()),
        ("callers_cut_total", state.callers.cut.get()),
        ("responses_read_ahead_total", state.callers.read_ahead.get()),
    ]
}

/// Replies to a peer that receives its changes from this process, as soon as there is a read that
/// is not in the peer's `reads`.
async fn changes_response<D: WireCodec>(
    state: &EdgeState<D>,
    request: &ChangesRequest,
) -> (StatusCode, &'static str, String) {
    let wait = async {
        loop {
            let mut done = std::pin::pin!(state.read_done.notified());
            done.as_mut().enable();
            // A process that does not read the store itself has no reads to report.
            if state.is_relayed() || state.stop.is_cancelled() {
                return None;
            }
            let reads = state.known_records.borrow().reads;
            if reads != request.reads && reads.config > 0 && reads.instances > 0 {
                return Some(build_reply(state, request));
            }
            done.await;
        }
    };
    match timeout(relay::max_reply_wait(&state.settings().bounds), wait).await {
        Ok(Some(reply)) => json_response(&reply),
        Ok(None) | Err(_) => (StatusCode::SERVICE_UNAVAILABLE, "text/plain", String::new()),
    }
}

fn json_response(reply: &impl Serialize) -> (StatusCode, &'static str, String) {
    match serde_json::to_string(reply) {
        Ok(text) => (StatusCode::OK, "application/json", text),
        Err(error) => {
            tracing::error!(event = "reply_not_encoded", %error);
            (
                StatusCode::INTERNAL_SERVER_ERROR,
                "text/plain",
                String::new(),
            )
        }
    }
}
