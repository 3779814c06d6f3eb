//! Admin server: `GET /ready` and `GET /health`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use axum::Router;
use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::get;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Whether the process takes new work. Clones share one state, which starts as not ready.
#[derive(Debug, Default, Clone)]
pub struct Readiness(Arc<AtomicBool>);

impl Readiness {
    /// Creates a state that is not ready.
    pub fn new() -> Self {
        Self::default()
    }

    /// Changes the state and logs a change.
    pub fn set(&self, ready: bool) {
        if self.0.swap(ready, Ordering::AcqRel) != ready {
            tracing::info!(ready, "readiness changed");
        }
    }

    /// Whether the process takes new work.
    pub fn is_ready(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// Routes of the admin server, for embedding into another one.
pub fn router(readiness: Readiness) -> Router {
    Router::new()
        .route("/ready", get(ready))
        .route("/health", get(async || "ok\n"))
        .with_state(readiness)
}

/// Binds `listen`, serves until `stop` is cancelled and returns the bound address at once.
///
/// Cancel `stop` only when the process exits: while it drains, `GET /ready` must answer 503.
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
