//! Starts a gateway process and shuts it down in order.

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
use crate::control::ControlServer;
use crate::data::client::UpstreamClient;
use crate::data::serve::serve;
use crate::gateway::Gateway;
use crate::metrics::Metrics;
use crate::settings::GatewaySettings;
use crate::state::crash_history::SharedCrashHistory;
use crate::state::environment::Clock;
use crate::state::view::View;
use crate::state::{Actor, Input, SharedContext, append, poll_instances, relay};

/// Largest control message in bytes. It must hold a snapshot of the whole replica.
const MAX_CONTROL_BYTES: u32 = 64 << 20;

/// Maximum time for which a planned stop waits until leases are released and usage is flushed to
/// the log. After that, leases expire by themselves and usage that is not in the log is lost.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(10);

/// Capacity of the input queue of the state task.
const INPUT_QUEUE_CAPACITY: usize = 256;

/// The gateway could not start; the report has the cause attached.
#[derive(Debug)]
pub struct RunError;

impl std::fmt::Display for RunError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the gateway could not start")
    }
}

impl std::error::Error for RunError {}

/// A gateway that has bound its addresses and is ready to serve.
pub struct BoundGateway {
    settings: GatewaySettings,
    platform: SocketAddr,
    listener: TcpListener,
    control: Server,
    admin: SocketAddr,
    readiness: Readiness,
    admin_stop: CancellationToken,
}

/// Runs a gateway until `stop` is cancelled and the requests in flight have ended.
///
/// Fails if the gateway cannot start.
pub async fn run(
    settings: GatewaySettings,
    stop: CancellationToken,
) -> Result<(), Report<RunError>> {
    bind(settings).await?.serve(stop).await
}

/// Binds all addresses; port 0 selects a free port.
///
/// Fails if an address is in use or the URL of the platform is invalid.
pub async fn bind(settings: GatewaySettings) -> Result<BoundGateway, Report<RunError>> {
    let platform = settings
        .platform_addr()
        .ok_or_else(|| Report::new(RunError).attach("`platform` must be http://<IP>:<port>"))?;
    let listener = TcpListener::bind(settings.listen)
        .await
        .change_context(RunError)
        .attach_with(|| format!("listen address {}", settings.listen))?;
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
    Ok(BoundGateway {
        settings,
        platform,
        listener,
        control,
        admin,
        readiness,
        admin_stop,
    })
}

impl BoundGateway {
    /// Address on which callers connect.
    pub fn listen(&self) -> std::io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Address of the JSON-RPC control interface.
    pub fn control(&self) -> std::io::Result<SocketAddr> {
        self.control.local_addr()
    }

    /// Address that serves `/ready` and `/health`.
    pub fn admin(&self) -> SocketAddr {
        self.admin
    }

    /// Serves until `stop` is cancelled and the requests in flight have ended.
    pub async fn serve(self, stop: CancellationToken) -> Result<(), Report<RunError>> {
        let instance = self.settings.instance.clone();
        let linger = Duration::from_millis(self.settings.linger_ms);
        let metrics = Metrics::new(self.settings.statsd)
            .change_context(RunError)
            .attach("cannot open the metrics socket")?;
        let clock = Clock::new();
        let context = SharedContext {
            platform: PlatformClient::new(ClientSettings::new(self.platform, instance.clone())),
            settings: self.settings,
            incarnation: Incarnation(rand::random()),
            clock,
            crash_history: Arc::new(SharedCrashHistory::new(clock)),
            keyed_streams: Arc::default(),
            recent_records: Arc::default(),
            sidecars: UpstreamClient::new(),
            clients: Arc::default(),
            gate: Arc::default(),
            usage_counter: Arc::default(),
            metrics,
        };
        let (inputs, inputs_rx) = mpsc::channel(INPUT_QUEUE_CAPACITY);
        let (appends, queued_appends) = mpsc::unbounded_channel();
        let (actor, view) = Actor::new(context.clone(), inputs.clone(), appends)
            .ok_or_else(|| Report::new(RunError).attach("an embedded state chart is invalid"))?;
        let changes = view.clone();
        let gateway = Gateway::new(&context, inputs.clone(), view);
        let background = BackgroundTasks::default();
        background.spawn(actor.run(inputs_rx));
        background.spawn(append::run(
            context.platform.clone(),
            queued_appends,
            inputs.clone(),
        ));
        background.spawn(poll_instances(context.platform.clone(), inputs.clone()));
        background.spawn(relay(Arc::clone(&gateway), context.clone(), inputs.clone()));
        background.spawn(update_readiness(
            Arc::clone(&gateway),
            changes,
            self.readiness.clone(),
        ));
        background.spawn(admit::plan(Arc::clone(&gateway), inputs.clone()));
        let control =
            ControlServer::new(Arc::clone(&gateway), context.recent_records, inputs.clone());
        let control = self.control.start(control.into_rpc());
        tracing::info!(event = "started", %instance, incarnation = %gateway.incarnation);

        let serving = serve(Arc::clone(&gateway), self.listener, stop.clone(), linger);
        let stopping = async {
            stop.cancelled().await;
            tracing::info!(event = "stopping", %instance, in_flight = gateway.in_flight());
            gateway.drain();
            self.readiness.set(false);
            // Releases the leases now, so that other gateways take over while streams still run.
            let _ = inputs.send(Input::Node(Event::StopRequested)).await;
        };
        tokio::join!(serving, stopping);
        gateway.wait_until_idle().await;
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

/// Background tasks, aborted on drop.
#[derive(Default)]
struct BackgroundTasks {
    tasks: std::sync::Mutex<Vec<AbortOnDropHandle<()>>>,
}

impl BackgroundTasks {
    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let task = AbortOnDropHandle::new(tokio::spawn(task));
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        tasks.push(task);
    }
}

/// Updates the answer of `/ready` whenever the view changes.
async fn update_readiness(
    gateway: Arc<Gateway>,
    mut changes: watch::Receiver<Arc<View>>,
    readiness: Readiness,
) {
    while changes.changed().await.is_ok() {
        readiness.set(gateway.is_ready());
    }
}
