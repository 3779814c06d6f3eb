//! HTTP server for health checks: `GET /ready` and `GET /health`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use axum::Router;
use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::get;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Flag that tells whether the process accepts new work. Clones share one flag, initially not
/// ready.
#[derive(Debug, Default, Clone)]
pub struct Readiness(Arc<AtomicBool>);

impl Readiness {
    /// Creates a flag that is not ready.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the flag and logs if it changed.
    pub fn set(&self, ready: bool) {
        if self.0.swap(ready, Ordering::AcqRel) != ready {
            tracing::info!(ready, "readiness changed");
        }
    }

    /// Whether the process accepts new work.
    pub fn is_ready(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// Returns the routes of the admin server, for mounting in another server.
pub fn router(readiness: Readiness) -> Router {
    Router::new()
        .route("/ready", get(ready))
        .route("/health", get(async || "ok\n"))
        .with_state(readiness)
}

/// Binds `listen` and returns the bound address. A background task serves until `stop` is
/// cancelled.
///
/// Cancel `stop` only when the process exits: while the process drains, `GET /ready` must return
/// 503.
pub async fn serve(
    listen: SocketAddr,
    readiness: Readiness,
    stop: CancellationToken,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(listen).await?;
    let addr = listener.local_addr()?;
    tokio::spawn(async move {
        let server =
            axum::serve(listener, router(readiness)).with_graceful_shutdown(stop.cancelled_owned());
        if let Err(error) = server.await {
            tracing::error!(%error, "admin server failed");
        }
    });
    Ok(addr)
}

async fn ready(State(readiness): State<Readiness>) -> (StatusCode, &'static str) {
    if readiness.is_ready() {
        (StatusCode::OK, "ready\n")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}
