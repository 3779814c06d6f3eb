//! Fake platform: log, instance list, weight store, upstream orders and usage reports.
//!
//! Beside the published interfaces it has, for tests: `PUT /instances`, `GET /upstream-orders`,
//! `GET /usage-reports`, `GET /faults` and `PUT /faults`.

mod config;
mod http;
mod store;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use nutmegbay_core::ids::Offset;
use nutmegbay_proto::platform::{InstanceList, ReadResponse};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::value::RawValue;
use tokio::sync::watch;
use tokio::time::Instant;

use self::store::{Instances, LogStore, RateLimit, Received};
use crate::server::Server;

pub use self::config::{FaultRule, Interface, Outage, PlatformConfig, PlatformFaults};
pub use self::store::{ReceivedOrder, ReceivedReport};

/// A running fake platform. Clones control the same one; call [`FakePlatform::kill`] to end it.
#[derive(Debug, Clone)]
pub struct FakePlatform {
    shared: Arc<Shared>,
    server: Server,
}

impl FakePlatform {
    /// Starts a platform on a free loopback port.
    pub async fn start(cfg: PlatformConfig) -> std::io::Result<Self> {
        Self::start_on(crate::cli::any_port(), cfg).await
    }

    /// Starts a platform on `listen`.
    pub async fn start_on(listen: SocketAddr, cfg: PlatformConfig) -> std::io::Result<Self> {
        let lag = Duration::from_millis(cfg.instance_lag_ms);
        let state = State {
            log: LogStore::new(cfg.retain),
            appends: RateLimit::new(cfg.appends_per_s, cfg.append_burst),
            instances: Instances::new(cfg.instances.clone(), lag),
            fetches: RateLimit::new(cfg.fetches_per_s, cfg.fetch_burst),
            received: Received::default(),
            faults: PlatformFaults::default(),
            rng: ChaCha8Rng::seed_from_u64(cfg.seed),
            counts: PlatformCounts::default(),
        };
        let shared = Arc::new(Shared {
            cfg,
            state: Mutex::new(state),
            head: watch::Sender::new(Offset(0)),
            faults_set: watch::Sender::new(0),
        });
        let server = Server::start(listen, http::router(Arc::clone(&shared))).await?;
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

    /// Appends records without faults or rate limit.
    pub fn append(&self, records: Vec<Box<RawValue>>) -> Offset {
        self.shared.append(records)
    }

    /// Reads the log without faults.
    pub fn read(&self, from: Offset, max: usize) -> ReadResponse {
        self.shared.state().log.read(from, max)
    }

    /// Changes the instance list, visible after the lag.
    pub fn set_instances(&self, list: InstanceList) {
        self.shared.state().instances.set(list, Instant::now());
    }

    /// Upstream orders in order of arrival.
    pub fn orders(&self) -> Vec<ReceivedOrder> {
        self.shared.state().received.orders.clone()
    }

    /// Usage reports in order of arrival.
    pub fn reports(&self) -> Vec<ReceivedReport> {
        self.shared.state().received.reports.clone()
    }

    /// Calls so far.
    pub fn counts(&self) -> PlatformCounts {
        self.shared.state().counts
    }

    /// Replaces all faults, as `PUT /faults` does.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.shared.set_faults(faults);
    }

    /// Stops accepting, finishes what runs and ends.
    pub async fn stop(&self) {
        self.server.stop().await;
    }

    /// Ends at once, for good.
    pub fn kill(&self) {
        self.server.kill();
    }
}

/// Calls that took effect, and those over the rate.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, serde::Serialize)]
pub struct PlatformCounts {
    /// Appends.
    pub appends: u64,
    /// Records appended.
    pub records: u64,
    /// Appends over the rate.
    pub limited_appends: u64,
    /// Reads.
    pub reads: u64,
    /// Answers lost by a fault.
    pub lost_answers: u64,
}

#[derive(Debug)]
struct Shared {
    cfg: PlatformConfig,
    state: Mutex<State>,
    head: watch::Sender<Offset>,
    /// Number of changes of the faults, so that waiting calls look at them again.
    faults_set: watch::Sender<u64>,
}

#[derive(Debug)]
struct State {
    log: LogStore,
    appends: RateLimit,
    instances: Instances,
    fetches: RateLimit,
    received: Received,
    faults: PlatformFaults,
    rng: ChaCha8Rng,
    counts: PlatformCounts,
}

/// What the faults do to one call before it takes effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Before {
    Pass(Duration),
    Refuse,
    Lose(Outage),
}

/// What the faults do to the answer of one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum After {
    Answer,
    Cut,
    Hang,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn append(&self, records: Vec<Box<RawValue>>) -> Offset {
        let mut state = self.state();
        state.counts.appends += 1;
        state.counts.records += records.len() as u64;
        let first = state.log.append(records);
        self.head.send_replace(state.log.head());
        first
    }

    fn set_faults(&self, faults: PlatformFaults) {
        self.state().faults = faults;
        self.faults_set.send_modify(|count| *count += 1);
    }
}

impl State {
    fn before(&self, called: Interface, client: &str) -> Before {
        let mut latency = 0;
        for rule in self
            .faults
            .rules
            .iter()
            .filter(|rule| rule.holds(called, client))
        {
            match rule.outage {
                Some(outage) => return Before::Lose(outage),
                None if rule.refuse => return Before::Refuse,
                None => latency += rule.latency_ms,
            }
        }
        Before::Pass(Duration::from_millis(latency))
    }

    fn after(&mut self, called: Interface, client: &str) -> After {
        let Self {
            faults,
            rng,
            counts,
            ..
        } = self;
        let mut after = After::Answer;
        for rule in faults
            .rules
            .iter_mut()
            .filter(|rule| rule.holds(called, client))
        {
            let by_share = rule.lose_share > 0.0 && rng.random_bool(rule.lose_share.min(1.0));
            if rule.lose_answers > 0 || by_share {
                rule.lose_answers = rule.lose_answers.saturating_sub(1);
                after = if rule.lose_silently {
                    After::Hang
                } else {
                    After::Cut
                };
            }
        }
        counts.lost_answers += u64::from(after != After::Answer);
        after
    }
}

impl FaultRule {
    fn holds(&self, called: Interface, client: &str) -> bool {
        self.interface
            .is_none_or(|interface| interface.covers(called))
            && self.client.as_deref().is_none_or(|name| name == client)
    }
}
