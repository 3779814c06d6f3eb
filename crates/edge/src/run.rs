//! Startup, main loop and shutdown of one edge process.

use std::rc::Rc;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::watch;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};
use tokio_util::sync::CancellationToken;

use crate::clock::SmoothedWallClock;
use crate::duty::UsageDuty;
use crate::own_delay::DelayMonitor;
use crate::peers::{ControlHandler, ReadinessHandler};
use crate::platform_api::{Store, UsageReporter, WireCodec};
use crate::settings::EdgeSettings;
use crate::state::EdgeState;
use crate::{crashes, exchange, follow, ingress, members, peers, versions};

/// Maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 1_024;

/// Time after SIGTERM during which connections are still accepted. The platform checks readiness
/// every second and removes an instance from its rotation after two failed checks.
const ACCEPT_AFTER_SIGTERM: Duration = Duration::from_millis(2_700);

/// Time before SIGKILL at which the process exits even if requests are open.
const SIGKILL_MARGIN: Duration = Duration::from_millis(400);

/// Time between two checks for whether the last request has ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Implementations of the platform's interfaces.
pub struct Adapter<D, S, R> {
    /// Wire format.
    pub codec: D,
    /// Store client.
    pub store: S,
    /// Client for usage reports, if the deployment requires them.
    pub reports: Option<R>,
    /// Monitor that counts the bytes received by the clients above.
    pub delay_monitor: DelayMonitor,
}

/// Error for a process that cannot start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartError;

impl std::fmt::Display for StartError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the edge cannot start")
    }
}

impl std::error::Error for StartError {}

/// Serves until `stop` is cancelled and the requests in flight have ended. `settings` provides the
/// initial settings and each change to them.
///
/// Returns an error if a listener cannot be opened.
pub async fn run<D: WireCodec, S: Store, R: UsageReporter>(
    settings: watch::Receiver<EdgeSettings>,
    adapter: Adapter<D, S, R>,
    stop: CancellationToken,
) -> Result<(), Report<StartError>> {
    let local = LocalSet::new();
    local.run_until(serve(settings, adapter, stop)).await
}

async fn serve<D: WireCodec, S: Store, R: UsageReporter>(
    settings: watch::Receiver<EdgeSettings>,
    adapter: Adapter<D, S, R>,
    stop: CancellationToken,
) -> Result<(), Report<StartError>> {
    let mut changes = settings;
    let settings = changes.borrow_and_update().clone();
    let ingress = bind(settings.ingress)?;
    let readiness = bind(settings.readiness)?;
    let control = settings.control.map(bind).transpose()?;
    let grace = settings.bounds.grace;
    tracing::info!(
        event = "start",
        version = env!("CARGO_PKG_VERSION"),
        node = %settings.node,
        domain = %settings.domain,
        ingress = %settings.ingress,
        store = %settings.store,
    );
    let Adapter {
        codec,
        store,
        reports,
        delay_monitor,
    } = adapter;
    let state = Rc::new(EdgeState::new(
        codec,
        settings,
        SmoothedWallClock::system(),
        delay_monitor.clone(),
        stop.clone(),
    ));
    spawn_local(delay_monitor.clone().run());
    spawn_local(follow::follow_config(Rc::clone(&state), store.clone()));
    spawn_local(follow::follow_instances(Rc::clone(&state), store.clone()));
    spawn_local(members::watch(Rc::clone(&state), store.clone()));
    spawn_local(members::publish(Rc::clone(&state), store.clone()));
    spawn_local(peers::ask_during_outage(Rc::clone(&state)));
    spawn_local(peers::relay::follow(Rc::clone(&state)));
    spawn_local(exchange::run(Rc::clone(&state)));
    spawn_local(crashes::follow(Rc::clone(&state), store.clone()));
    spawn_local(crashes::publish(Rc::clone(&state), store.clone()));
    spawn_local(versions::run(Rc::clone(&state), store.clone()));
    spawn_local(follow_settings(Rc::clone(&state), changes));
    let handler = Rc::new(ReadinessHandler(Rc::clone(&state)));
    spawn_local(peers::listen(readiness, handler, delay_monitor.clone()));
    if let Some(control) = control {
        let handler = Rc::new(ControlHandler(Rc::clone(&state)));
        spawn_local(peers::listen(control, handler, delay_monitor));
    }
    let duty = reports.map(|reports| Rc::new(UsageDuty::new(Rc::clone(&state), store, reports)));
    if let Some(duty) = &duty {
        let (follower, runner) = (Rc::clone(duty), Rc::clone(duty));
        spawn_local(async move { follower.follow().await });
        spawn_local(async move { runner.run().await });
    }
    let accepting = spawn_local(ingress::listen(Rc::clone(&state), ingress));

    stop.cancelled().await;
    let stop_began = Instant::now();
    tracing::info!(event = "stopping", in_flight = state.in_flight.get());
    if let Some(duty) = &duty {
        duty.release().await;
    }
    sleep_until(stop_began + ACCEPT_AFTER_SIGTERM).await;
    state.close_idle.cancel();
    accepting.abort();
    let exit_at = stop_began + grace.saturating_sub(SIGKILL_MARGIN);
    // Counts that are not in the store when the process exits are lost, and so is the usage report
    // that depends on them.
    while (state.in_flight.get() > 0 || !state.is_usage_stored()) && Instant::now() < exit_at {
        if state.in_flight.get() == 0 {
            state.flush_usage.notify_one();
        }
        sleep(DRAIN_POLL_INTERVAL).await;
    }
    if !state.is_usage_stored() {
        tracing::warn!(
            event = "usage_lost",
            "the store accepted no usage counts before the process exited"
        );
    }
    tracing::info!(event = "stopped", in_flight = state.in_flight.get());
    Ok(())
}

/// Puts changed settings in force for as long as they are watched.
async fn follow_settings<D: WireCodec>(
    state: Rc<EdgeState<D>>,
    mut changes: watch::Receiver<EdgeSettings>,
) {
    while changes.changed().await.is_ok() {
        state.reload(changes.borrow_and_update().clone());
    }
}

fn bind(addr: std::net::SocketAddr) -> Result<TcpListener, Report<StartError>> {
    let socket = if addr.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    };
    socket
        .and_then(|socket| {
            socket.set_reuseaddr(true)?;
            socket.bind(addr)?;
            socket.listen(LISTEN_BACKLOG)
        })
        .change_context(StartError)
        .attach_with(|| format!("cannot listen on {addr}"))
}
