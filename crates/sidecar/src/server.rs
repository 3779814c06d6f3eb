//! Binding, serving and stopping.

use std::net::SocketAddr;
use std::sync::Arc;

use axum::Router;
use axum::extract::{DefaultBodyLimit, State};
use axum::http::StatusCode;
use axum::routing::{any, get, post};
use axum::serve::ListenerExt;
use error_stack::{Report, ResultExt};
use nutmegbay_core::ids::Incarnation;
use nutmegbay_proto::work::{CALL_PATH, WORK_PATH};
use tokio::net::{TcpListener, TcpSocket};
use tokio::time::Duration;
use tokio_util::sync::CancellationToken;

use crate::settings::Settings;
use crate::state::Shared;
use crate::{call, work};

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// A sidecar whose addresses are bound.
pub struct Sidecar {
    shared: Arc<Shared>,
    data: TcpListener,
    admin: TcpListener,
}

/// Why the sidecar could not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunError {
    /// The settings cannot be used.
    Settings,
    /// An address cannot be bound.
    Bind,
    /// Serving failed.
    Serve,
}

impl std::fmt::Display for RunError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Settings => "the settings cannot be used",
            Self::Bind => "an address cannot be bound",
            Self::Serve => "serving failed",
        })
    }
}

impl std::error::Error for RunError {}

impl Sidecar {
    /// Binds the addresses in `settings`. The one data port excludes a second sidecar on the
    /// instance for the life of the process.
    pub fn bind(settings: Settings) -> Result<Self, Report<RunError>> {
        let data = listen(settings.listen)?;
        let admin = listen(settings.admin)?;
        Ok(Self {
            shared: Arc::new(Shared::new(settings)),
            data,
            admin,
        })
    }

    /// Address for gateways.
    pub fn data_addr(&self) -> Result<SocketAddr, Report<RunError>> {
        self.data.local_addr().change_context(RunError::Bind)
    }

    /// Address for `/ready` and `/health`.
    pub fn admin_addr(&self) -> Result<SocketAddr, Report<RunError>> {
        self.admin.local_addr().change_context(RunError::Bind)
    }

    /// Life of this sidecar.
    pub fn incarnation(&self) -> Incarnation {
        self.shared.incarnation
    }

    /// Serves until `stop` is cancelled and all work has ended.
    pub async fn run(self, stop: CancellationToken) -> Result<(), Report<RunError>> {
        let Self {
            shared,
            data,
            admin,
        } = self;
        let closed = CancellationToken::new();
        let _close_on_exit = closed.clone().drop_guard();
        let admin = serve(admin, admin_router(&shared), closed.clone());
        let work = serve(data, data_router(&shared), closed.clone());
        let stopping = async {
            stop.cancelled().await;
            shared.drain();
            shared.idle().await;
            // Gateways that have not yet seen the drain get a refusal instead of a broken
            // connection.
            tokio::time::sleep(Duration::from_millis(shared.settings.linger_ms)).await;
            shared.idle().await;
            closed.cancel();
            Ok(())
        };
        tracing::info!(
            event = "started",
            instance = %shared.settings.instance,
            incarnation = %shared.incarnation
        );
        tokio::try_join!(admin, work, stopping)?;
        tracing::info!(event = "stopped", instance = %shared.settings.instance);
        Ok(())
    }
}

/// Binds without `SO_REUSEPORT`. `SO_REUSEADDR` lets a restart bind while old connections are in
/// `TIME_WAIT`; it does not let two processes listen at once.
fn listen(addr: SocketAddr) -> Result<TcpListener, Report<RunError>> {
    let bind = || {
        let socket = match addr {
            SocketAddr::V4(_) => TcpSocket::new_v4(),
            SocketAddr::V6(_) => TcpSocket::new_v6(),
        }?;
        socket.set_reuseaddr(true)?;
        socket.bind(addr)?;
        socket.listen(BACKLOG)
    };
    bind()
        .change_context(RunError::Bind)
        .attach_with(|| format!("address {addr}"))
}

async fn serve(
    listener: TcpListener,
    router: Router,
    closed: CancellationToken,
) -> Result<(), Report<RunError>> {
    let listener = listener.tap_io(|socket| {
        // Without this, small frames wait for the acknowledgement of the previous one.
        if let Err(error) = socket.set_nodelay(true) {
            tracing::debug!(event = "nodelay_failed", %error);
        }
    });
    axum::serve(listener, router)
        .with_graceful_shutdown(closed.cancelled_owned())
        .await
        .change_context(RunError::Serve)
}

fn data_router(shared: &Arc<Shared>) -> Router {
    Router::new()
        .route(WORK_PATH, post(work::handle))
        .route(&format!("{CALL_PATH}/{{*path}}"), any(call::handle))
        .route(CALL_PATH, any(call::handle))
        .route(&format!("{CALL_PATH}/"), any(call::handle))
        .layer(DefaultBodyLimit::max(shared.settings.max_body_bytes))
        .with_state(Arc::clone(shared))
}

fn admin_router(shared: &Arc<Shared>) -> Router {
    Router::new()
        .route("/health", get(|| async { StatusCode::OK }))
        .route("/ready", get(ready))
        .with_state(Arc::clone(shared))
}

async fn ready(State(shared): State<Arc<Shared>>) -> StatusCode {
    if shared.is_draining() {
        StatusCode::SERVICE_UNAVAILABLE
    } else {
        StatusCode::OK
    }
}
