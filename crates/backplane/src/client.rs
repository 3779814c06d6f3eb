//! HTTP client for all interfaces of the platform.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use error_stack::Report;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Collected, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use nutmegbay_core::ids::Offset;
use nutmegbay_proto::platform::{
    AppendRequest, AppendResponse, INSTANCE_HEADER, InstanceList, ReadResponse, UpstreamOrder,
    UsageReport,
};
use serde::Serialize;
use serde::de::{DeserializeOwned, IgnoredAny};
use serde_json::value::RawValue;
use tokio::time::timeout;

use crate::{
    Cause, InstanceDirectory, Log, PlatformError, UpstreamOrders, UsageReports, WeightStore,
};

/// Settings of a [`PlatformClient`].
#[derive(Debug, Clone)]
pub struct ClientSettings {
    /// Address of the platform's HTTP interfaces.
    pub addr: SocketAddr,
    /// Name of this instance, sent in [`INSTANCE_HEADER`] with each call.
    pub instance: Box<str>,
    /// Timeout of establishing a connection.
    pub connect_timeout: Duration,
    /// Timeout of a call, in addition to the wait that a read requests.
    pub timeout: Duration,
    /// Timeout of fetching weights, whose rate the platform limits.
    pub fetch_timeout: Duration,
}

impl ClientSettings {
    /// Creates settings with the default timeouts: 500 ms to connect, 2 s for a call, 10 min for
    /// weights.
    pub fn new(addr: SocketAddr, instance: impl Into<Box<str>>) -> Self {
        Self {
            addr,
            instance: instance.into(),
            connect_timeout: Duration::from_millis(500),
            timeout: Duration::from_secs(2),
            fetch_timeout: Duration::from_mins(10),
        }
    }
}

/// HTTP client for all interfaces of the platform. It does not retry: the verdict of an error tells
/// the caller whether a retry is safe. Clones share the connection pool.
#[derive(Debug, Clone)]
pub struct PlatformClient {
    settings: ClientSettings,
    http: Client<HttpConnector, Full<Bytes>>,
}

impl PlatformClient {
    /// Creates a client. Connections are opened on demand.
    pub fn new(settings: ClientSettings) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(settings.connect_timeout));
        let http = Client::builder(TokioExecutor::new())
            .timer(TokioTimer::new())
            .pool_timer(TokioTimer::new())
            // By default hyper silently retries a request on a pooled connection that was closed.
            .retry_canceled_requests(false)
            .build(connector);
        Self { settings, http }
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        wait: Duration,
    ) -> Result<T, Report<PlatformError>> {
        let call = Call { method, path };
        let exchange = async {
            let body = self.send(&call, body).await?.collect().await;
            body.map(Collected::to_bytes).map_err(|error| {
                Report::new(error).change_context(call.create_error(Cause::ConnectionLost))
            })
        };
        let bytes = timeout(self.settings.timeout + wait, exchange)
            .await
            .map_err(|_| call.create_report(Cause::Timeout))??;
        serde_json::from_slice(&bytes).map_err(|error| {
            Report::new(error).change_context(call.create_error(Cause::MalformedAnswer))
        })
    }

    /// Sends a call and returns the body of a successful answer, still unread.
    async fn send(&self, call: &Call<'_>, body: Bytes) -> Result<Incoming, Report<PlatformError>> {
        let req = Request::builder()
            .method(call.method.clone())
            .uri(format!("http://{}{}", self.settings.addr, call.path))
            .header(header::CONTENT_TYPE, "application/json")
            .header(INSTANCE_HEADER, &*self.settings.instance)
            .body(Full::new(body))
            .map_err(|error| {
                Report::new(error).change_context(call.create_error(Cause::InvalidRequest))
            })?;
        let res = self.http.request(req).await.map_err(|error| {
            let cause = if error.is_connect() {
                Cause::Connect
            } else {
                Cause::ConnectionLost
            };
            Report::new(error).change_context(call.create_error(cause))
        })?;
        let status = res.status();
        let cause = match status {
            _ if status.is_success() => return Ok(res.into_body()),
            StatusCode::TOO_MANY_REQUESTS => Cause::RateLimited,
            StatusCode::SERVICE_UNAVAILABLE => Cause::Unavailable,
            StatusCode::CONFLICT => Cause::Conflict,
            StatusCode::NOT_FOUND => Cause::NotFound,
            _ if status.is_client_error() => Cause::Refused,
            _ => Cause::UnexpectedStatus,
        };
        // Reading the rest of the short answer lets the connection be reused.
        let detail = res
            .into_body()
            .collect()
            .await
            .map(Collected::to_bytes)
            .unwrap_or_default();
        let detail = String::from_utf8_lossy(&detail).into_owned();
        Err(call
            .create_report(cause)
            .attach(format!("status {status}: {detail}")))
    }

    async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, Report<PlatformError>> {
        let body = serde_json::to_vec(body).map_err(|error| {
            let call = Call {
                method: Method::POST,
                path,
            };
            Report::new(error).change_context(call.create_error(Cause::InvalidRequest))
        })?;
        self.call(Method::POST, path, body.into(), Duration::ZERO)
            .await
    }
}

impl Log for PlatformClient {
    async fn append(
        &self,
        records: Vec<Box<RawValue>>,
    ) -> Result<AppendResponse, Report<PlatformError>> {
        self.post("/log", &AppendRequest { records }).await
    }

    async fn read(
        &self,
        from: Offset,
        max: u32,
        wait: Duration,
    ) -> Result<ReadResponse, Report<PlatformError>> {
        let path = format!("/log?from={from}&max={max}&wait_ms={}", wait.as_millis());
        self.call(Method::GET, &path, Bytes::new(), wait).await
    }
}

impl InstanceDirectory for PlatformClient {
    async fn instances(&self) -> Result<InstanceList, Report<PlatformError>> {
        self.call(Method::GET, "/instances", Bytes::new(), Duration::ZERO)
            .await
    }
}

impl WeightStore for PlatformClient {
    async fn fetch(&self, model: &str) -> Result<u64, Report<PlatformError>> {
        let path = format!("/weights/{model}");
        let call = Call {
            method: Method::GET,
            path: &path,
        };
        let exchange = async {
            let mut body = self.send(&call, Bytes::new()).await?;
            let mut total = 0;
            while let Some(frame) = body.frame().await {
                let frame = frame.map_err(|error| {
                    Report::new(error).change_context(call.create_error(Cause::ConnectionLost))
                })?;
                total += frame.data_ref().map_or(0, |data| data.len() as u64);
            }
            Ok(total)
        };
        timeout(self.settings.fetch_timeout, exchange)
            .await
            .map_err(|_| call.create_report(Cause::Timeout))?
    }
}

impl UpstreamOrders for PlatformClient {
    async fn order(&self, order: &UpstreamOrder) -> Result<(), Report<PlatformError>> {
        self.post::<IgnoredAny>("/upstream-orders", order)
            .await
            .map(drop)
    }
}

impl UsageReports for PlatformClient {
    async fn report(&self, report: &UsageReport) -> Result<(), Report<PlatformError>> {
        self.post::<IgnoredAny>("/usage-reports", report)
            .await
            .map(drop)
    }
}

/// Call to the platform, for error messages.
struct Call<'a> {
    method: Method,
    path: &'a str,
}

impl Call<'_> {
    fn create_error(&self, cause: Cause) -> PlatformError {
        let call = format!("{} {}", self.method, self.path).into();
        PlatformError {
            verdict: cause.verdict(),
            cause,
            call,
        }
    }

    fn create_report(&self, cause: Cause) -> Report<PlatformError> {
        Report::new(self.create_error(cause))
    }
}
