//! Binds the sidecar's addresses, serves them and shuts down.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;

use axum::Router;
use axum::extract::{DefaultBodyLimit, Request};
use axum::response::Response;
use axum::routing::{any, post};
use axum::serve::ListenerExt;
use error_stack::{Report, ResultExt};
use nutmegbay_core::ids::Incarnation;
use nutmegbay_proto::work::{CALL_PATH, WORK_PATH};
use nutmegbay_telemetry::admin;
use tokio::net::{TcpListener, TcpSocket};
use tokio::time::Duration;
use tokio_util::sync::CancellationToken;
use tower::Service;

use crate::settings::Settings;
use crate::state::SharedState;
use crate::{call, control, log_view, monitor, work};

/// Path of the control interface on the data port.
const CONTROL_PATH: &str = "/";

/// Maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 1_024;

/// Sidecar whose addresses are bound and that is ready to run.
pub struct Sidecar {
    shared: Arc<SharedState>,
    data: TcpListener,
    admin: TcpListener,
}

/// Error of binding or running the sidecar.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunError {
    /// An address cannot be bound.
    Bind,
    /// Serving failed.
    Serve,
}

impl std::fmt::Display for RunError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Bind => "an address cannot be bound",
            Self::Serve => "serving failed",
        })
    }
}

impl std::error::Error for RunError {}

impl Sidecar {
    /// Binds the addresses in `settings`. The data port is bound exclusively, so a second sidecar
    /// on the instance cannot start while this process runs.
    ///
    /// # Errors
    ///
    /// [`RunError::Bind`] if an address cannot be bound.
    pub fn bind(settings: Settings) -> Result<Self, Report<RunError>> {
        let data = bind_exclusive(settings.listen)?;
        let admin = bind_exclusive(settings.admin)?;
        Ok(Self {
            shared: Arc::new(SharedState::new(settings).change_context(RunError::Bind)?),
            data,
            admin,
        })
    }

    /// Returns the address on which gateways reach the sidecar.
    ///
    /// # Errors
    ///
    /// [`RunError::Bind`] if the address of the socket cannot be read.
    pub fn data_addr(&self) -> Result<SocketAddr, Report<RunError>> {
        self.data.local_addr().change_context(RunError::Bind)
    }

    /// Returns the address that serves `/ready` and `/health`.
    ///
    /// # Errors
    ///
    /// [`RunError::Bind`] if the address of the socket cannot be read.
    pub fn admin_addr(&self) -> Result<SocketAddr, Report<RunError>> {
        self.admin.local_addr().change_context(RunError::Bind)
    }

    /// Returns the incarnation of this sidecar, drawn at random when it was created.
    pub fn incarnation(&self) -> Incarnation {
        self.shared.incarnation
    }

    /// Serves until `stop` is cancelled and all work has ended.
    ///
    /// # Errors
    ///
    /// [`RunError::Serve`] if serving fails.
    pub async fn run(self, stop: CancellationToken) -> Result<(), Report<RunError>> {
        let Self {
            shared,
            data,
            admin,
        } = self;
        let shutdown = CancellationToken::new();
        let _shutdown_on_exit = shutdown.clone().drop_guard();
        let (rpc, _rpc_handle) = control::service(&shared);
        let admin = serve(
            admin,
            admin::router(shared.readiness.clone()),
            shutdown.clone(),
        );
        let work = serve(data, data_router(&shared, rpc), shutdown.clone());
        let stopping = async {
            stop.cancelled().await;
            shared.drain();
            shared.wait_idle().await;
            // Gateways that do not know of the drain yet receive a refusal instead of a broken
            // connection.
            tokio::time::sleep(Duration::from_millis(shared.settings.linger_ms)).await;
            shared.wait_idle().await;
            shutdown.cancel();
            Ok(())
        };
        let background = async {
            let tasks = async { tokio::join!(monitor::run(&shared), log_view::run(&shared)) };
            tokio::select! {
                _ = tasks => {}
                () = shutdown.cancelled() => {}
            }
            Ok(())
        };
        tracing::info!(
            event = "started",
            instance = %shared.settings.instance,
            incarnation = %shared.incarnation
        );
        shared.readiness.set(true);
        tokio::try_join!(admin, work, stopping, background)?;
        tracing::info!(event = "stopped", instance = %shared.settings.instance);
        Ok(())
    }
}

/// Binds `addr` without `SO_REUSEPORT`, so that only one process can listen. `SO_REUSEADDR` lets a
/// restarted process bind while old connections are in `TIME_WAIT`; it does not let two processes
/// listen at once.
fn bind_exclusive(addr: SocketAddr) -> Result<TcpListener, Report<RunError>> {
    let bind = || {
        let socket = match addr {
            SocketAddr::V4(_) => TcpSocket::new_v4(),
            SocketAddr::V6(_) => TcpSocket::new_v6(),
        }?;
        socket.set_reuseaddr(true)?;
        socket.bind(addr)?;
        socket.listen(LISTEN_BACKLOG)
    };
    bind()
        .change_context(RunError::Bind)
        .attach_with(|| format!("address {addr}"))
}

async fn serve(
    listener: TcpListener,
    router: Router,
    shutdown: CancellationToken,
) -> Result<(), Report<RunError>> {
    let listener = listener.tap_io(|socket| {
        // With Nagle's algorithm, a small frame waits for the acknowledgement of the previous one.
        if let Err(error) = socket.set_nodelay(true) {
            tracing::debug!(event = "nodelay_failed", %error);
        }
    });
    axum::serve(listener, router)
        .with_graceful_shutdown(shutdown.cancelled_owned())
        .await
        .change_context(RunError::Serve)
}

/// Returns the router of the data port: work, calls and the control interface.
fn data_router<S>(shared: &Arc<SharedState>, rpc: S) -> Router
where
    S: Service<Request, Response = Response, Error = Infallible, Future: Send + 'static>
        + Clone
        + Send
        + Sync
        + 'static,
{
    Router::new()
        .route(WORK_PATH, post(work::handle))
        .route(&format!("{CALL_PATH}/{{*path}}"), any(call::handle))
        .route(CALL_PATH, any(call::handle))
        .route(&format!("{CALL_PATH}/"), any(call::handle))
        .layer(DefaultBodyLimit::max(shared.settings.max_body_bytes))
        .with_state(Arc::clone(shared))
        .route_service(CONTROL_PATH, rpc)
}
