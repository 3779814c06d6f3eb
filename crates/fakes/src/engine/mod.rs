//! Fake model engine. `GET /seen`, `GET /faults` and `PUT /faults` are for tests only.

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

pub use self::batch::EngineSeen;
pub use self::config::{CostModel, EngineConfig, EngineFaults};
pub use self::tokens::{TokenSource, expected_text, expected_tokens};

/// Shortest wait on the timer, which has a resolution of one millisecond; shorter steps add up.
const TIMER_RESOLUTION: Duration = Duration::from_millis(1);

/// A running fake engine. Clones control the same one; call [`FakeEngine::kill`] to end it.
#[derive(Debug, Clone)]
pub struct FakeEngine {
    shared: Arc<Shared>,
    server: Server,
}

impl FakeEngine {
    /// Starts an engine on a free loopback port.
    pub async fn start(cfg: EngineConfig) -> std::io::Result<Self> {
        Self::start_on(crate::cli::any_port(), cfg).await
    }

    /// Starts an engine on `listen`.
    pub async fn start_on(listen: SocketAddr, cfg: EngineConfig) -> std::io::Result<Self> {
        let shared = Arc::new(Shared {
            engine: Mutex::new(Engine::new(cfg)),
            changed: Notify::new(),
            answering: Notify::new(),
            server: std::sync::OnceLock::new(),
            ended: CancellationToken::new(),
        });
        let server = Server::start(listen, http::router(Arc::clone(&shared))).await?;
        let _ = shared.server.set(server.clone());
        let scheduler = Arc::clone(&shared);
        tokio::spawn(async move {
            tokio::select! {
                () = scheduler.ended.cancelled() => {}
                () = schedule(&scheduler) => {}
            }
        });
        Ok(Self { shared, server })
    }

    /// Bound address.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Server below, for faults of connections.
    pub fn server(&self) -> &Server {
        &self.server
    }

    /// What the engine saw and did so far.
    pub fn seen(&self) -> EngineSeen {
        self.shared.engine().seen.clone()
    }

    /// Requests that run or wait.
    pub fn jobs(&self) -> usize {
        self.shared.engine().jobs()
    }

    /// Replaces all faults, as `PUT /faults` does.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.shared.set_faults(faults, None);
    }

    /// Stops accepting, finishes what runs and ends.
    pub async fn stop(&self) {
        self.server.stop().await;
        self.shared.ended.cancel();
    }

    /// Ends at once, for good.
    pub fn kill(&self) {
        self.server.kill();
        self.shared.ended.cancel();
        self.shared.engine().crash();
    }
}

#[derive(Debug)]
struct Shared {
    engine: Mutex<Engine>,
    changed: Notify,
    answering: Notify,
    server: std::sync::OnceLock<Server>,
    ended: CancellationToken,
}

impl Shared {
    fn engine(&self) -> MutexGuard<'_, Engine> {
        self.engine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_faults(&self, faults: EngineFaults, spare: Option<ConnId>) {
        let (silence, crash) = (faults.silence, faults.crash);
        self.engine().faults = EngineFaults {
            silence: false,
            crash: false,
            ..faults
        };
        self.answering.notify_waiters();
        self.changed.notify_one();
        if let Some(server) = self.server.get().filter(|_| silence) {
            server.silence(spare);
        }
        if crash {
            self.crash(spare);
        }
    }

    fn crash(&self, spare: Option<ConnId>) {
        let Some(server) = self.server.get() else {
            return;
        };
        let mut engine = self.engine();
        tracing::info!(addr = %server.addr(), batch = engine.jobs(), "fake engine crashes");
        server.crash(engine.cfg.restart_ms.map(Duration::from_millis), spare);
        engine.crash();
    }

    /// Waits while the engine does not answer.
    async fn wait_answering(&self) {
        loop {
            let changed = self.answering.notified();
            if !self.engine().faults.stop_answering {
                return;
            }
            changed.await;
        }
    }
}

/// Runs one step after the other.
async fn schedule(shared: &Shared) {
    let mut due = Instant::now();
    loop {
        let now = Instant::now();
        let plan = shared.engine().plan(now);
        match plan {
            Plan::Idle => {
                shared.changed.notified().await;
                due = Instant::now();
                continue;
            }
            Plan::Hold(until) => {
                let until = async {
                    match until {
                        Some(at) => tokio::time::sleep_until(at).await,
                        None => std::future::pending().await,
                    }
                };
                tokio::select! {
                    () = until => {}
                    () = shared.changed.notified() => {}
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
        let crashed = shared.engine().commit();
        if crashed {
            shared.crash(None);
        }
    }
}
