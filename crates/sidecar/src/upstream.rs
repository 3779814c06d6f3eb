//! HTTP client of the upstream.

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

/// Timeout of connecting to the upstream, which is on the same instance.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which an idle connection is closed. It is shorter than the idle timeout of common
/// servers, so that a server does not close a connection that is about to be used.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum size in bytes of the answer to a request that the sidecar makes itself, such as a probe.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// HTTP client of the upstream.
pub(crate) struct UpstreamClient {
    addr: SocketAddr,
    probe_timeout: Duration,
    /// Client for requests that may be sent again if a pooled connection was closed before any byte
    /// of the request was written.
    pooled: Client<HttpConnector, Body>,
    /// Client for calls that must not be repeated. Each call opens a new connection, so that a
    /// failure to connect proves that nothing was sent, and no idle connection can be closed during
    /// a call.
    unpooled: Client<HttpConnector, Body>,
}

/// Error of a request that the sidecar makes to the upstream itself.
#[derive(Debug)]
pub(crate) enum UpstreamError {
    /// No connection could be opened, so the request was not sent.
    Unreachable,
    /// The upstream did not answer in time or closed the connection.
    NoAnswer,
    /// The upstream refused with this status and body.
    Refused(StatusCode, Box<[u8]>),
    /// The answer does not parse.
    Malformed(serde_json::Error),
}

impl std::fmt::Display for UpstreamError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Unreachable => f.write_str("the upstream cannot be reached"),
            Self::NoAnswer => f.write_str("the upstream did not answer"),
            Self::Refused(status, _) => write!(f, "the upstream refused with status {status}"),
            Self::Malformed(e) => write!(f, "the upstream's answer does not parse: {e}"),
        }
    }
}

impl std::error::Error for UpstreamError {}

impl UpstreamClient {
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
            unpooled: builder()
                .pool_max_idle_per_host(0)
                .retry_canceled_requests(false)
                .build(connector()),
        }
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the URI of `path` at the upstream.
    pub(crate) fn uri(&self, path: &str) -> Result<Uri, http::Error> {
        Uri::builder()
            .scheme("http")
            .authority(self.addr.to_string())
            .path_and_query(path)
            .build()
    }

    /// Sends a request that is sent again if a pooled connection closes before any byte was
    /// written.
    pub(crate) fn send(&self, req: Request<Body>) -> ResponseFuture {
        self.pooled.request(req)
    }

    /// Sends a request at most once, on a new connection.
    pub(crate) async fn send_once(&self, req: Request<Body>) -> Result<Response<Incoming>, Error> {
        self.unpooled.request(req).await
    }

    /// Builds a POST request with a JSON body.
    pub(crate) fn json_request<T: Serialize>(
        &self,
        path: &str,
        body: &T,
    ) -> Result<Request<Body>, http::Error> {
        let body = serde_json::to_vec(body).unwrap_or_default();
        Request::post(self.uri(path)?)
            .header(header::CONTENT_TYPE, "application/json")
            .body(Body::from(body))
    }

    /// Gets `path` within the probe timeout and parses the JSON answer.
    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, UpstreamError> {
        let uri = self.uri(path).map_err(|_| UpstreamError::Unreachable)?;
        let mut req = Request::new(Body::empty());
        *req.method_mut() = Method::GET;
        *req.uri_mut() = uri;
        self.request_json(req).await
    }

    /// Posts `body` to `path` within the probe timeout and parses the JSON answer.
    pub(crate) async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, UpstreamError> {
        let req = self
            .json_request(path, body)
            .map_err(|_| UpstreamError::Unreachable)?;
        self.request_json(req).await
    }

    /// Posts `body` to `path` within the probe timeout and ignores the body of the answer.
    pub(crate) async fn post_ignoring_body(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<(), UpstreamError> {
        let req = self
            .json_request(path, body)
            .map_err(|_| UpstreamError::Unreachable)?;
        self.request(req).await.map(drop)
    }

    /// Sends a request and parses the JSON answer.
    async fn request_json<T: DeserializeOwned>(
        &self,
        req: Request<Body>,
    ) -> Result<T, UpstreamError> {
        let body = self.request(req).await?;
        serde_json::from_slice(&body).map_err(UpstreamError::Malformed)
    }

    /// Sends a request within the probe timeout and returns the body of a successful answer.
    async fn request(&self, req: Request<Body>) -> Result<bytes::Bytes, UpstreamError> {
        let exchange = async {
            let res = self.pooled.request(req).await.map_err(|e| {
                if e.is_connect() {
                    UpstreamError::Unreachable
                } else {
                    UpstreamError::NoAnswer
                }
            })?;
            let status = res.status();
            let body = Limited::new(res.into_body(), MAX_ANSWER_BYTES);
            let body = body.collect().await.map_err(|_| UpstreamError::NoAnswer)?;
            let body = body.to_bytes();
            if status.is_success() {
                Ok(body)
            } else {
                Err(UpstreamError::Refused(status, body.to_vec().into()))
            }
        };
        timeout(self.probe_timeout, exchange)
            .await
            .map_err(|_| UpstreamError::NoAnswer)?
    }
}
