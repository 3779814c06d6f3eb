//! Startup, main loop and shutdown of one edge process.

use std::rc::Rc;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use nutmegbay_core::environment::MonotonicTime;
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

/// Time before the exit at which the requests in flight are given up, so that their callers still
/// get a response.
const LAST_RESPONSE_MARGIN: Duration = Duration::from_millis(100);

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
    let clients = (store.clone(), reports.clone());
    spawn_local(follow_settings(Rc::clone(&state), clients, changes));
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
    let until_exit = state.settings().bounds.grace.saturating_sub(SIGKILL_MARGIN);
    let until_last_responses = until_exit.saturating_sub(LAST_RESPONSE_MARGIN);
    let last_responses_at = state.now().plus(until_last_responses);
    state.planned_stop.begin(last_responses_at);
    versions::leave(&state);
    tracing::info!(event = "stopping", in_flight = state.in_flight.get());
    if let Some(duty) = &duty {
        duty.release().await;
    }
    sleep_until(stop_began + ACCEPT_AFTER_SIGTERM.min(until_last_responses)).await;
    state.close_idle.cancel();
    if let Err(error) = accepting.await {
        tracing::error!(event = "accepting_ended", %error);
    }
    finish(&state, last_responses_at, stop_began + until_exit).await;
    Ok(())
}

/// Waits until all responses are written and all counts are in the store, until `exit_at` at most.
/// The requests that are in flight at `last_responses_at` are given up.
async fn finish<D: WireCodec>(
    state: &EdgeState<D>,
    last_responses_at: MonotonicTime,
    exit_at: Instant,
) {
    // Counts that are not in the store when the process exits are lost, and so is the usage report
    // that depends on them.
    while is_in_use(state) && Instant::now() < exit_at {
        if state.in_flight.get() == 0 {
            state.flush_usage.notify_one();
        }
        if state.now() >= last_responses_at {
            state.planned_stop.ended.cancel();
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
}

/// Returns whether a response is not written whole, or counts are not in the store.
fn is_in_use<D: WireCodec>(state: &EdgeState<D>) -> bool {
    state.in_flight.get() > 0
        || state.planned_stop.connections.get() > 0
        || !state.is_usage_stored()
}

/// Puts changed settings in force for as long as they are watched.
async fn follow_settings<D: WireCodec, S: Store, R: UsageReporter>(
    state: Rc<EdgeState<D>>,
    (store, reports): (S, Option<R>),
    mut changes: watch::Receiver<EdgeSettings>,
) {
    while changes.changed().await.is_ok() {
        let settings = changes.borrow_and_update().clone();
        store.set_addr(settings.store);
        if let (Some(reports), Some(addr)) = (&reports, settings.reports) {
            reports.set_addr(addr);
        }
        state.reload(settings);
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
