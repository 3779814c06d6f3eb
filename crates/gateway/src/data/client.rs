//! Pooled HTTP client towards sidecars.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{Client, Error};
use hyper_util::rt::{TokioExecutor, TokioTimer};

/// Time to open a connection to a sidecar of the same region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which an idle connection is closed; below the idle limits of common middleboxes.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Idle connections kept to one sidecar.
const MAX_IDLE: usize = 256;

/// Client towards sidecars.
#[derive(Clone)]
pub struct Upstreams {
    pooled: Client<HttpConnector, Full<Bytes>>,
    fresh: Client<HttpConnector, Full<Bytes>>,
}

/// Which connections a request may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Via {
    /// An idle connection, if there is one.
    Pool,
    /// A new connection: idle ones may be as silent as the one that was just abandoned.
    New,
}

impl Upstreams {
    /// Creates a client without connections.
    pub fn new() -> Self {
        Self {
            pooled: build(MAX_IDLE),
            fresh: build(0),
        }
    }

    /// Sends one request.
    pub async fn send(
        &self,
        via: Via,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Error> {
        match via {
            Via::Pool => self.pooled.request(req).await,
            Via::New => self.fresh.request(req).await,
        }
    }
}

impl Default for Upstreams {
    fn default() -> Self {
        Self::new()
    }
}

fn build(max_idle: usize) -> Client<HttpConnector, Full<Bytes>> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(max_idle)
        .http1_max_buf_size(MAX_READ_BUFFER)
        .build(connector)
}

/// Read buffer of one upstream connection in bytes: bounds the memory of an open stream.
const MAX_READ_BUFFER: usize = 16 * 1024;
