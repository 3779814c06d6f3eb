//! Start and planned stop of a gateway.

use std::net::SocketAddr;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use error_stack::{Report, ResultExt};
use jsonrpsee::server::{Server, ServerConfig};
use nutmegbay_backplane::{ClientSettings, PlatformClient};
use nutmegbay_core::ids::Incarnation;
use nutmegbay_core::node::Event;
use nutmegbay_proto::control::GatewayControlServer;
use nutmegbay_telemetry::admin::{self, Readiness};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;

use crate::admit;
use crate::control::Control;
use crate::data::client::UpstreamClient;
use crate::data::serve::serve;
use crate::gateway::Gateway;
use crate::metrics::Metrics;
use crate::settings::GatewaySettings;
use crate::state::view::View;
use crate::state::world::Clock;
use crate::state::{Actor, Input, Parts, append, instances, relay};

/// Largest control message in bytes: a whole replica state.
const MAX_CONTROL_BYTES: u32 = 64 << 20;

/// Longest wait for the log at a planned stop. Afterwards leases expire by themselves, and counts
/// that the log has not taken are lost.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(10);

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
    control: Server,
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
    let control = Server::builder()
        .set_config(
            ServerConfig::builder()
                .max_request_body_size(MAX_CONTROL_BYTES)
                .max_response_body_size(MAX_CONTROL_BYTES)
                .build(),
        )
        .build(settings.control)
        .await
        .change_context(RunError)
        .attach_with(|| format!("control address {}", settings.control))?;
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
        control,
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

    /// Address of the control interface.
    pub fn control(&self) -> std::io::Result<SocketAddr> {
        self.control.local_addr()
    }

    /// Address of `/ready` and `/health`.
    pub fn admin(&self) -> SocketAddr {
        self.admin
    }

    /// Serves until `stop`, then finishes what is in flight.
    pub async fn serve(self, stop: CancellationToken) -> Result<(), Report<RunError>> {
        let instance = self.settings.instance.clone();
        let linger = Duration::from_millis(self.settings.linger_ms);
        let metrics = Metrics::new(self.settings.statsd)
            .change_context(RunError)
            .attach("metrics socket")?;
        let parts = Parts {
            platform: PlatformClient::new(ClientSettings::new(self.platform, instance.clone())),
            settings: self.settings,
            incarnation: Incarnation(rand::random()),
            clock: Clock::new(),
            open_keys: Arc::default(),
            recent: Arc::default(),
            sidecars: UpstreamClient::new(),
            clients: Arc::default(),
            gate: Arc::default(),
            tally: Arc::default(),
            metrics,
        };
        let (inputs, inputs_rx) = mpsc::channel(INPUT_QUEUE);
        let (appends, appends_rx) = mpsc::unbounded_channel();
        let (actor, view) = Actor::new(parts.clone(), inputs.clone(), appends)
            .ok_or_else(|| Report::new(RunError).attach("a state chart of the build is invalid"))?;
        let changes = view.clone();
        let gateway = Gateway::new(&parts, inputs.clone(), view);
        let background = Background::default();
        background.spawn(actor.run(inputs_rx));
        background.spawn(append::run(
            parts.platform.clone(),
            appends_rx,
            inputs.clone(),
        ));
        background.spawn(instances(parts.platform.clone(), inputs.clone()));
        background.spawn(relay(Arc::clone(&gateway), parts.clone(), inputs.clone()));
        background.spawn(announce(
            Arc::clone(&gateway),
            changes,
            self.readiness.clone(),
        ));
        background.spawn(admit::plan(Arc::clone(&gateway), inputs.clone()));
        let control = Control::new(Arc::clone(&gateway), parts.recent, inputs.clone());
        let control = self.control.start(control.into_rpc());
        tracing::info!(event = "started", %instance, incarnation = %gateway.incarnation);

        let serving = serve(Arc::clone(&gateway), self.listener, stop.clone(), linger);
        let stopping = async {
            stop.cancelled().await;
            tracing::info!(event = "stopping", %instance, in_flight = gateway.in_flight());
            gateway.drain();
            self.readiness.set(false);
            // Leases go to others at once, while the streams in flight are finished.
            let _ = inputs.send(Input::Node(Event::StopRequested)).await;
        };
        tokio::join!(serving, stopping);
        gateway.idle().await;
        let (reply, stopped) = oneshot::channel();
        let _ = inputs.send(Input::Stop(reply)).await;
        if timeout(RELEASE_TIMEOUT, stopped).await.is_err() {
            tracing::warn!(event = "stopped_without_log", %instance);
        }
        let _ = control.stop();
        self.admin_stop.cancel();
        tracing::info!(event = "stopped", %instance);
        Ok(())
    }
}

/// Tasks that end with the gateway.
#[derive(Default)]
struct Background {
    tasks: std::sync::Mutex<Vec<AbortOnDropHandle<()>>>,
}

impl Background {
    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let task = AbortOnDropHandle::new(tokio::spawn(task));
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        tasks.push(task);
    }
}

/// Keeps the answer of `/ready` current.
async fn announce(
    gateway: Arc<Gateway>,
    mut changes: watch::Receiver<Arc<View>>,
    readiness: Readiness,
) {
    while changes.changed().await.is_ok() {
        readiness.set(gateway.is_ready());
    }
}
