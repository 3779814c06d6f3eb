//! HTTP client for requests to sidecars, with a connection pool.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{Client, Error};
use hyper_util::rt::{TokioExecutor, TokioTimer};

/// Maximum time to open a connection to a sidecar in the same region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which an idle connection is closed. It is below the idle limits of common
/// middleboxes, so that a pooled connection is still usable.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum number of idle connections kept to one sidecar.
const MAX_IDLE_CONNECTIONS: usize = 256;

/// HTTP client for all sidecars.
#[derive(Clone)]
pub struct UpstreamClient {
    pooled: Client<HttpConnector, Full<Bytes>>,
    unpooled: Client<HttpConnector, Full<Bytes>>,
}

/// Where the connection of a request comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionSource {
    /// An idle connection of the pool, or a new one if there is none.
    Pool,
    /// A new connection. After a connection was abandoned as unresponsive, idle connections to the
    /// same sidecar may be unresponsive too.
    New,
}

impl UpstreamClient {
    /// Creates a client with an empty pool.
    pub fn new() -> Self {
        Self {
            pooled: build(MAX_IDLE_CONNECTIONS),
            unpooled: build(0),
        }
    }

    /// Sends one request and returns the response once its head has arrived.
    pub async fn send(
        &self,
        source: ConnectionSource,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Error> {
        match source {
            ConnectionSource::Pool => self.pooled.request(req).await,
            ConnectionSource::New => self.unpooled.request(req).await,
        }
    }
}

impl Default for UpstreamClient {
    fn default() -> Self {
        Self::new()
    }
}

fn build(max_idle_connections: usize) -> Client<HttpConnector, Full<Bytes>> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(max_idle_connections)
        .http1_max_buf_size(MAX_READ_BUFFER)
        .build(connector)
}

/// Maximum size of the read buffer of one upstream connection in bytes; bounds the memory of an
/// open stream.
const MAX_READ_BUFFER: usize = 16 * 1024;
