//! Fake model engine that simulates continuous batching and a prefix cache.
//!
//! In addition to the published protocol it serves, for tests, `GET /seen`, `GET /faults` and
//! `PUT /faults`.

mod batch;
mod cache;
mod config;
mod http;
mod orders;
mod tokens;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use self::batch::{Engine, Plan};
use crate::server::{ConnId, Server};

pub use self::batch::EngineStats;
pub use self::config::{CostModel, EngineConfig, EngineFaults};
pub use self::tokens::{TokenSource, expected_text, expected_tokens};

/// Resolution of the Tokio timer. The scheduler sleeps only once the shorter steps add up to it.
const TIMER_RESOLUTION: Duration = Duration::from_millis(1);

/// Handle of a running fake engine. Clones control the same engine, which runs until
/// [`FakeEngine::stop`] or [`FakeEngine::kill`] is called.
#[derive(Debug, Clone)]
pub struct FakeEngine {
    shared: Arc<Shared>,
    server: Server,
}

impl FakeEngine {
    /// Starts an engine on a free loopback port.
    pub async fn start(cfg: EngineConfig) -> std::io::Result<Self> {
        Self::start_on(crate::cli::any_loopback_port(), cfg).await
    }

    /// Starts an engine on `listen`. Fails if the address cannot be bound.
    pub async fn start_on(listen: SocketAddr, cfg: EngineConfig) -> std::io::Result<Self> {
        let shared = Arc::new(Shared {
            engine: Mutex::new(Engine::new(cfg)),
            scheduler_wakeup: Notify::new(),
            faults_changed: Notify::new(),
            server: std::sync::OnceLock::new(),
            stopped: CancellationToken::new(),
        });
        let server = Server::start(listen, http::router(Arc::clone(&shared))).await?;
        let _ = shared.server.set(server.clone());
        let scheduler = Arc::clone(&shared);
        tokio::spawn(async move {
            tokio::select! {
                () = scheduler.stopped.cancelled() => {}
                () = schedule(&scheduler) => {}
            }
        });
        Ok(Self { shared, server })
    }

    /// Returns the listening address, with the port that was bound.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns the underlying server, for injecting connection faults.
    pub fn server(&self) -> &Server {
        &self.server
    }

    /// Returns the statistics since the start, as `GET /seen` does.
    pub fn seen(&self) -> EngineStats {
        self.shared.engine().stats.clone()
    }

    /// Returns the number of running and waiting requests.
    pub fn requests_in_flight(&self) -> usize {
        self.shared.engine().requests_in_flight()
    }

    /// Replaces all faults, as `PUT /faults` does.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.shared.set_faults(faults, None);
    }

    /// Stops accepting connections and returns when the requests in flight have ended.
    pub async fn stop(&self) {
        self.server.stop().await;
        self.shared.stopped.cancel();
    }

    /// Closes the port and all connections immediately and permanently, and discards all requests.
    pub fn kill(&self) {
        self.server.kill();
        self.shared.stopped.cancel();
        self.shared.engine().crash();
    }
}

#[derive(Debug)]
struct Shared {
    engine: Mutex<Engine>,
    /// Wakes the scheduler after a new request, order or change of the faults.
    scheduler_wakeup: Notify,
    faults_changed: Notify,
    server: std::sync::OnceLock<Server>,
    stopped: CancellationToken,
}

impl Shared {
    fn engine(&self) -> MutexGuard<'_, Engine> {
        self.engine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_faults(&self, faults: EngineFaults, except: Option<ConnId>) {
        let (blackhole, crash) = (faults.silence, faults.crash);
        self.engine().faults = EngineFaults {
            silence: false,
            crash: false,
            ..faults
        };
        self.faults_changed.notify_waiters();
        self.scheduler_wakeup.notify_one();
        if let Some(server) = self.server.get().filter(|_| blackhole) {
            server.blackhole(except);
        }
        if crash {
            self.crash(except);
        }
    }

    fn crash(&self, except: Option<ConnId>) {
        let Some(server) = self.server.get() else {
            return;
        };
        let mut engine = self.engine();
        tracing::info!(
            addr = %server.addr(),
            batch = engine.requests_in_flight(),
            "fake engine crashes"
        );
        server.crash(engine.cfg.restart_ms.map(Duration::from_millis), except);
        engine.crash();
    }

    /// Waits until the fault `stop_answering` is cleared.
    async fn wait_until_answering(&self) {
        loop {
            let faults_changed = self.faults_changed.notified();
            if !self.engine().faults.stop_answering {
                return;
            }
            faults_changed.await;
        }
    }
}

/// Runs the scheduler: plans a step, waits for its simulated time and executes it. Never returns.
async fn schedule(shared: &Shared) {
    // Time at which the current step ends.
    let mut due = Instant::now();
    loop {
        let now = Instant::now();
        let plan = shared.engine().plan_step(now);
        match plan {
            Plan::Idle => {
                shared.scheduler_wakeup.notified().await;
                due = Instant::now();
                continue;
            }
            Plan::Pause(until) => {
                let pause_end = async {
                    match until {
                        Some(at) => tokio::time::sleep_until(at).await,
                        None => std::future::pending().await,
                    }
                };
                tokio::select! {
                    () = pause_end => {}
                    () = shared.scheduler_wakeup.notified() => {}
                }
                due = Instant::now();
                continue;
            }
            Plan::Step(time) => due = due.max(now.checked_sub(time).unwrap_or(now)) + time,
        }
        if due >= Instant::now() + TIMER_RESOLUTION {
            tokio::time::sleep_until(due).await;
        } else {
            tokio::task::yield_now().await;
        }
        let crashed = shared.engine().execute_step();
        if crashed {
            shared.crash(None);
        }
    }
}
