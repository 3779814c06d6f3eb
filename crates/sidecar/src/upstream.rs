//! HTTP towards the upstream.

use std::net::SocketAddr;

use axum::body::Body;
use axum::http::{Method, Request, Response, StatusCode, Uri, header};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{Client, Error, ResponseFuture};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::{Duration, timeout};

use crate::settings::Settings;

/// Time for a connection to the upstream on the same instance.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which an idle connection is closed; shorter than the usual idle time of servers.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest answer to a question of the sidecar's own.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Clients towards the upstream.
pub(crate) struct Upstream {
    addr: SocketAddr,
    probe_timeout: Duration,
    /// For work that may be sent again if the old connection was closed before anything of it was
    /// written.
    pooled: Client<HttpConnector, Body>,
    /// For calls that must not be repeated: each has a connection of its own, so that a failure to
    /// connect proves that nothing was sent, and no idle connection can close underneath a call.
    single: Client<HttpConnector, Body>,
}

/// Why a question to the upstream has no answer.
#[derive(Debug)]
pub(crate) enum AskError {
    /// No connection came about.
    Unreachable,
    /// The upstream did not answer, or not in time.
    NoAnswer,
    /// The upstream refused with this status and body.
    Refused(StatusCode, Box<[u8]>),
    /// The answer does not parse.
    Malformed(serde_json::Error),
}

impl std::fmt::Display for AskError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Unreachable => f.write_str("the upstream cannot be reached"),
            Self::NoAnswer => f.write_str("the upstream did not answer"),
            Self::Refused(status, _) => write!(f, "the upstream refused with status {status}"),
            Self::Malformed(e) => write!(f, "the upstream's answer does not parse: {e}"),
        }
    }
}

impl std::error::Error for AskError {}

impl Upstream {
    pub(crate) fn new(settings: &Settings) -> Self {
        let connector = || {
            let mut connector = HttpConnector::new();
            connector.set_nodelay(true);
            connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
            connector
        };
        let builder = || {
            let mut builder = Client::builder(TokioExecutor::new());
            builder.pool_timer(TokioTimer::new());
            builder
        };
        Self {
            addr: settings.upstream,
            probe_timeout: Duration::from_millis(settings.probe_timeout_ms),
            pooled: builder().pool_idle_timeout(IDLE_TIMEOUT).build(connector()),
            single: builder()
                .pool_max_idle_per_host(0)
                .retry_canceled_requests(false)
                .build(connector()),
        }
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Address of `path` at the upstream.
    pub(crate) fn uri(&self, path: &str) -> Result<Uri, http::Error> {
        Uri::builder()
            .scheme("http")
            .authority(self.addr.to_string())
            .path_and_query(path)
            .build()
    }

    /// Sends a request that may be sent again as long as nothing of it was written.
    pub(crate) fn send(&self, req: Request<Body>) -> ResponseFuture {
        self.pooled.request(req)
    }

    /// Sends a request at most once, on a connection of its own.
    pub(crate) async fn send_once(&self, req: Request<Body>) -> Result<Response<Incoming>, Error> {
        self.single.request(req).await
    }

    /// Builds a request with a JSON body.
    pub(crate) fn json<T: Serialize>(
        &self,
        path: &str,
        body: &T,
    ) -> Result<Request<Body>, http::Error> {
        let body = serde_json::to_vec(body).unwrap_or_default();
        Request::post(self.uri(path)?)
            .header(header::CONTENT_TYPE, "application/json")
            .body(Body::from(body))
    }

    /// Asks for `path` within the probe timeout.
    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, AskError> {
        let uri = self.uri(path).map_err(|_| AskError::Unreachable)?;
        let mut req = Request::new(Body::empty());
        *req.method_mut() = Method::GET;
        *req.uri_mut() = uri;
        self.ask(req).await
    }

    /// Posts `body` to `path` within the probe timeout.
    pub(crate) async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, AskError> {
        let req = self.json(path, body).map_err(|_| AskError::Unreachable)?;
        self.ask(req).await
    }

    /// Posts `body` to `path` where only the status of the answer counts.
    pub(crate) async fn tell(&self, path: &str, body: &impl Serialize) -> Result<(), AskError> {
        let req = self.json(path, body).map_err(|_| AskError::Unreachable)?;
        self.exchange(req).await.map(drop)
    }

    async fn ask<T: DeserializeOwned>(&self, req: Request<Body>) -> Result<T, AskError> {
        let body = self.exchange(req).await?;
        serde_json::from_slice(&body).map_err(AskError::Malformed)
    }

    async fn exchange(&self, req: Request<Body>) -> Result<bytes::Bytes, AskError> {
        let exchange = async {
            let res = self.pooled.request(req).await.map_err(|e| {
                if e.is_connect() {
                    AskError::Unreachable
                } else {
                    AskError::NoAnswer
                }
            })?;
            let status = res.status();
            let body = Limited::new(res.into_body(), MAX_ANSWER_BYTES);
            let body = body.collect().await.map_err(|_| AskError::NoAnswer)?;
            let body = body.to_bytes();
            if status.is_success() {
                Ok(body)
            } else {
                Err(AskError::Refused(status, body.to_vec().into()))
            }
        };
        timeout(self.probe_timeout, exchange)
            .await
            .map_err(|_| AskError::NoAnswer)?
    }
}
