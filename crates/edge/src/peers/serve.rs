//! Serves the process's own addresses: readiness, metrics, and what it has read of the store.

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
    CHANGES_PATH, CRASHES_PATH, ChangesAsk, METRICS_PATH, SEEN_PATH, USAGE_PATH, relay, reply,
};
use crate::clock::millis;
use crate::crashes::{self, LONGEST_REPORT};
use crate::members::own_counts;
use crate::platform_api::WireCodec;
use crate::state::EdgeState;

/// Pause after a listener failed, for example because no descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(500);

/// Time for the head of a peer's request.
const HEAD_TIME: Duration = Duration::from_secs(10);

/// Answers a small request on one of the process's own addresses.
pub trait Answer {
    /// Answer to a request for `path` with `body`: status, content type and text.
    fn answer(
        &self,
        path: &str,
        body: &[u8],
    ) -> impl Future<Output = (StatusCode, &'static str, String)>;
}

/// Serves one of the process's own addresses for as long as it runs.
pub async fn listen<A: Answer + 'static>(listener: TcpListener, answerer: Rc<A>) {
    loop {
        let io = match listener.accept().await {
            Ok((io, _)) => io,
            Err(error) => {
                tracing::warn!(event = "accept_failed", %error);
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let answerer = Rc::clone(&answerer);
        tokio::task::spawn_local(async move {
            let service = service_fn(async |req: Request<Incoming>| {
                let (parts, body) = req.into_parts();
                let body = Limited::new(body, LONGEST_REPORT).collect().await;
                let (status, kind, text) = match body {
                    Ok(body) => answerer.answer(parts.uri.path(), &body.to_bytes()).await,
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
                .header_read_timeout(HEAD_TIME)
                .auto_date_header(false)
                .serve_connection(TokioIo::new(io), service);
            if let Err(error) = served.await {
                tracing::debug!(event = "control_connection_ended", %error);
            }
        });
    }
}

/// Readiness address.
pub struct ReadinessFace<D>(pub Rc<EdgeState<D>>);

impl<D: WireCodec> Answer for ReadinessFace<D> {
    async fn answer(&self, path: &str, _: &[u8]) -> (StatusCode, &'static str, String) {
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

/// Control address: metrics, and what was read of the store.
pub struct ControlFace<D>(pub Rc<EdgeState<D>>);

impl<D: WireCodec> Answer for ControlFace<D> {
    async fn answer(&self, path: &str, body: &[u8]) -> (StatusCode, &'static str, String) {
        let state = &self.0;
        match path {
            METRICS_PATH => {
                let dropped = nutmegbay_telemetry::log::dropped_lines();
                let text = state.metrics.text(&gauges(state), dropped);
                (StatusCode::OK, "text/plain", text)
            }
            CRASHES_PATH if crashes::heard(state, body) => {
                (StatusCode::OK, "text/plain", String::new())
            }
            CRASHES_PATH => (StatusCode::BAD_REQUEST, "text/plain", String::new()),
            SEEN_PATH => json(&reply(state, &ChangesAsk::default())),
            USAGE_PATH => match own_counts(state) {
                Some(counts) => json(&counts),
                None => (StatusCode::SERVICE_UNAVAILABLE, "text/plain", String::new()),
            },
            CHANGES_PATH => match serde_json::from_slice(body) {
                Ok(ask) => changes(state, &ask).await,
                Err(error) => {
                    tracing::warn!(event = "changes_ask_unreadable", %error);
                    (StatusCode::BAD_REQUEST, "text/plain", String::new())
                }
            },
            _ => (StatusCode::NOT_FOUND, "text/plain", String::new()),
        }
    }
}

/// What the process believes, and how old that is.
fn gauges<D: WireCodec>(state: &EdgeState<D>) -> [(&'static str, u64); 6] {
    let now = state.now();
    let known_records = state.known_records.borrow();
    [
        ("config_version", state.version().unwrap_or(0)),
        ("config_age_ms", millis(known_records.config_age(now))),
        ("instances_age_ms", millis(known_records.instances_age(now))),
        ("members", state.process_count() as u64),
        ("follows_relay", state.is_relayed().into()),
        ("requests_in_flight", state.in_flight.get() as u64),
    ]
}

/// Answers a peer that follows this process's reads, once there is a read that it has not heard of.
async fn changes<D: WireCodec>(
    state: &EdgeState<D>,
    ask: &ChangesAsk,
) -> (StatusCode, &'static str, String) {
    let wait = async {
        loop {
            let mut done = std::pin::pin!(state.read_done.notified());
            done.as_mut().enable();
            // A process that does not read itself has nothing to vouch for.
            if state.is_relayed() || state.stop.is_cancelled() {
                return None;
            }
            let reads = state.known_records.borrow().reads;
            if reads != ask.reads && reads.config > 0 && reads.instances > 0 {
                return Some(reply(state, ask));
            }
            done.await;
        }
    };
    match timeout(relay::longest_wait(&state.settings().bounds), wait).await {
        Ok(Some(reply)) => json(&reply),
        Ok(None) | Err(_) => (StatusCode::SERVICE_UNAVAILABLE, "text/plain", String::new()),
    }
}

fn json(reply: &impl Serialize) -> (StatusCode, &'static str, String) {
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
