//! Binding, serving and stopping.

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
use crate::state::Shared;
use crate::{call, control, log_view, monitor, work};

/// Path of the control interface on the data port.
const CONTROL_PATH: &str = "/";

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
    /// Binds the addresses in `settings`. The one data port excludes a second sidecar on the
    /// instance for the life of the process.
    pub fn bind(settings: Settings) -> Result<Self, Report<RunError>> {
        let data = listen(settings.listen)?;
        let admin = listen(settings.admin)?;
        Ok(Self {
            shared: Arc::new(Shared::new(settings).change_context(RunError::Bind)?),
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
        let (rpc, _rpc_handle) = control::service(&shared);
        let admin = serve(
            admin,
            admin::router(shared.readiness.clone()),
            closed.clone(),
        );
        let work = serve(data, data_router(&shared, rpc), closed.clone());
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
        let background = async {
            let tasks = async { tokio::join!(monitor::run(&shared), log_view::run(&shared)) };
            tokio::select! {
                _ = tasks => {}
                () = closed.cancelled() => {}
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

/// Routes of the data port: work, calls and the control interface.
fn data_router<S>(shared: &Arc<Shared>, rpc: S) -> Router
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
