//! Start and planned stop of a gateway.

use std::net::SocketAddr;
use std::sync::Arc;

use error_stack::{Report, ResultExt};
use nutmegbay_platform::{ClientSettings, PlatformClient};
use nutmegbay_telemetry::admin::{self, Readiness};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::data::serve::serve;
use crate::gateway::Gateway;
use crate::metrics::Metrics;
use crate::settings::GatewaySettings;
use crate::state::revoke::OpenKeys;
use crate::state::{Actor, instances, tail};

/// Inputs that may wait for the state task.
const INPUT_QUEUE: usize = 256;

/// Why a gateway could not start.
#[derive(Debug)]
pub struct RunError;

impl std::fmt::Display for RunError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the gateway could not start")
    }
}

impl std::error::Error for RunError {}

/// A gateway whose addresses are bound.
pub struct Bound {
    settings: GatewaySettings,
    platform: SocketAddr,
    listener: TcpListener,
    admin: SocketAddr,
    readiness: Readiness,
    admin_stop: CancellationToken,
}

/// Runs a gateway until `stop`, then finishes what is in flight.
pub async fn run(
    settings: GatewaySettings,
    stop: CancellationToken,
) -> Result<(), Report<RunError>> {
    bind(settings).await?.serve(stop).await
}

/// Binds all addresses; port 0 takes a free one.
pub async fn bind(settings: GatewaySettings) -> Result<Bound, Report<RunError>> {
    let platform = settings
        .platform_addr()
        .ok_or_else(|| Report::new(RunError).attach("`platform` is not http://<IP>:<port>"))?;
    let listener = TcpListener::bind(settings.listen)
        .await
        .change_context(RunError)
        .attach_with(|| format!("address for callers {}", settings.listen))?;
    let readiness = Readiness::new();
    let admin_stop = CancellationToken::new();
    let admin = admin::serve(settings.admin, readiness.clone(), admin_stop.clone())
        .await
        .change_context(RunError)
        .attach_with(|| format!("admin address {}", settings.admin))?;
    Ok(Bound {
        settings,
        platform,
        listener,
        admin,
        readiness,
        admin_stop,
    })
}

impl Bound {
    /// Address for callers.
    pub fn listen(&self) -> std::io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Address of `/ready` and `/health`.
    pub fn admin(&self) -> SocketAddr {
        self.admin
    }

    /// Serves until `stop`, then finishes what is in flight.
    pub async fn serve(self, stop: CancellationToken) -> Result<(), Report<RunError>> {
        let instance = self.settings.instance.clone();
        let metrics = Metrics::new(self.settings.statsd)
            .change_context(RunError)
            .attach("metrics socket")?;
        let platform = PlatformClient::new(ClientSettings::new(self.platform, instance.clone()));
        let open_keys = Arc::new(OpenKeys::default());
        let (actor, view) = Actor::new(self.settings.site.clone(), Arc::clone(&open_keys));
        let mut changes = view.clone();
        let gateway = Gateway::new(self.settings, open_keys, metrics, view);
        let (inputs, rx) = mpsc::channel(INPUT_QUEUE);
        let background = CancellationToken::new();
        let _stop_background = background.clone().drop_guard();
        tokio::spawn(background.clone().run_until_cancelled_owned(actor.run(rx)));
        let task = tail(platform.clone(), inputs.clone());
        tokio::spawn(background.clone().run_until_cancelled_owned(task));
        let task = instances(platform, inputs);
        tokio::spawn(background.clone().run_until_cancelled_owned(task));
        let shown = Arc::clone(&gateway);
        let readiness = self.readiness.clone();
        let task = async move {
            while changes.changed().await.is_ok() {
                readiness.set(shown.is_ready());
            }
        };
        tokio::spawn(background.clone().run_until_cancelled_owned(task));
        tracing::info!(event = "started", %instance, incarnation = %gateway.incarnation);
        let stopping = Arc::clone(&gateway);
        let readiness = self.readiness;
        let signal = stop.clone();
        let announce = async move {
            signal.cancelled().await;
            stopping.drain();
            readiness.set(false);
        };
        tokio::join!(serve(Arc::clone(&gateway), self.listener, stop), announce);
        gateway.idle().await;
        self.admin_stop.cancel();
        tracing::info!(event = "stopped", %instance);
        Ok(())
    }
}
