//! Fake platform with a log, an instance list, a weight store, upstream orders and usage reports.
//!
//! In addition to the published interfaces it serves, for tests, `PUT /instances`,
//! `GET /upstream-orders`, `GET /usage-reports`, `GET /counts`, `GET /faults` and `PUT /faults`.

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

use self::store::{LaggingInstanceList, ReceivedCalls, RecordLog, TokenBucket};
use crate::server::Server;

pub use self::config::{FaultRule, Interface, Outage, PlatformConfig, PlatformFaults};
pub use self::store::{ReceivedOrder, ReceivedReport};

/// Handle of a running fake platform. Clones control the same platform, which runs until
/// [`FakePlatform::stop`] or [`FakePlatform::kill`] is called.
#[derive(Debug, Clone)]
pub struct FakePlatform {
    shared: Arc<Shared>,
    server: Server,
}

impl FakePlatform {
    /// Starts a platform on a free loopback port.
    pub async fn start(cfg: PlatformConfig) -> std::io::Result<Self> {
        Self::start_on(crate::cli::any_loopback_port(), cfg).await
    }

    /// Starts a platform on `listen`. Fails if the address cannot be bound.
    pub async fn start_on(listen: SocketAddr, cfg: PlatformConfig) -> std::io::Result<Self> {
        let lag = Duration::from_millis(cfg.instance_lag_ms);
        let state = State {
            log: RecordLog::new(cfg.retain),
            append_limit: TokenBucket::new(cfg.appends_per_s, cfg.append_burst),
            instances: LaggingInstanceList::new(cfg.instances.clone(), lag),
            fetch_limit: TokenBucket::new(cfg.fetches_per_s, cfg.fetch_burst),
            received: ReceivedCalls::default(),
            faults: PlatformFaults::default(),
            rng: ChaCha8Rng::seed_from_u64(cfg.seed),
            counts: PlatformCounts::default(),
        };
        let shared = Arc::new(Shared {
            cfg,
            state: Mutex::new(state),
            head: watch::Sender::new(Offset(0)),
            fault_changes: watch::Sender::new(0),
        });
        let server = Server::start(listen, http::router(Arc::clone(&shared))).await?;
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

    /// Appends records as one group, bypassing faults and the rate limit. Returns the offset of the
    /// first record.
    pub fn append(&self, records: Vec<Box<RawValue>>) -> Offset {
        self.shared.append(records)
    }

    /// Reads at most `max` records from `from`, bypassing faults.
    pub fn read(&self, from: Offset, max: usize) -> ReadResponse {
        self.shared.state().log.read(from, max)
    }

    /// Replaces the instance list; the change becomes visible after `instance_lag_ms`.
    pub fn set_instances(&self, list: InstanceList) {
        self.shared.state().instances.set(list, Instant::now());
    }

    /// Returns the received upstream orders in order of arrival, repeated ones included.
    pub fn orders(&self) -> Vec<ReceivedOrder> {
        self.shared.state().received.orders.clone()
    }

    /// Returns the received usage reports in order of arrival, rejected ones included.
    pub fn reports(&self) -> Vec<ReceivedReport> {
        self.shared.state().received.reports.clone()
    }

    /// Returns the call counts since the start.
    pub fn counts(&self) -> PlatformCounts {
        self.shared.state().counts
    }

    /// Replaces all faults, as `PUT /faults` does.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.shared.set_faults(faults);
    }

    /// Stops accepting connections and returns when the requests in flight have ended.
    pub async fn stop(&self) {
        self.server.stop().await;
    }

    /// Closes the port and all connections immediately and permanently.
    pub fn kill(&self) {
        self.server.kill();
    }
}

/// Number of calls since the start, served by `GET /counts`.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, serde::Serialize)]
pub struct PlatformCounts {
    /// Appends that took effect.
    pub appends: u64,
    /// Records in the appends that took effect.
    pub records: u64,
    /// Appends refused with status 429 because they exceeded the rate.
    pub limited_appends: u64,
    /// Reads of the log, including those whose answer a fault dropped.
    pub reads: u64,
    /// Answers of successful calls that a fault dropped, on any interface.
    pub lost_answers: u64,
}

#[derive(Debug)]
struct Shared {
    cfg: PlatformConfig,
    state: Mutex<State>,
    /// Offset after the last record; a change wakes long-poll reads.
    head: watch::Sender<Offset>,
    /// Number of times that the faults were replaced. A change makes waiting calls check them
    /// again.
    fault_changes: watch::Sender<u64>,
}

#[derive(Debug)]
struct State {
    log: RecordLog,
    append_limit: TokenBucket,
    instances: LaggingInstanceList,
    fetch_limit: TokenBucket,
    received: ReceivedCalls,
    faults: PlatformFaults,
    rng: ChaCha8Rng,
    counts: PlatformCounts,
}

/// Effect of the faults on a call before it takes effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestFault {
    Delay(Duration),
    Refuse,
    Drop(Outage),
}

/// Effect of the faults on the answer of a call that took effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ResponseFault {
    Deliver,
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
        self.fault_changes.send_modify(|count| *count += 1);
    }
}

impl State {
    fn request_fault(&self, called: Interface, client: &str) -> RequestFault {
        let mut latency_ms = 0;
        for rule in self
            .faults
            .rules
            .iter()
            .filter(|rule| rule.matches(called, client))
        {
            match rule.outage {
                Some(outage) => return RequestFault::Drop(outage),
                None if rule.refuse => return RequestFault::Refuse,
                None => latency_ms += rule.latency_ms,
            }
        }
        RequestFault::Delay(Duration::from_millis(latency_ms))
    }

    fn response_fault(&mut self, called: Interface, client: &str) -> ResponseFault {
        let Self {
            faults,
            rng,
            counts,
            ..
        } = self;
        let mut fault = ResponseFault::Deliver;
        for rule in faults
            .rules
            .iter_mut()
            .filter(|rule| rule.matches(called, client))
        {
            let by_probability = rule.lose_share > 0.0 && rng.random_bool(rule.lose_share.min(1.0));
            if rule.lose_answers > 0 || by_probability {
                rule.lose_answers = rule.lose_answers.saturating_sub(1);
                fault = if rule.lose_silently {
                    ResponseFault::Hang
                } else {
                    ResponseFault::Cut
                };
            }
        }
        counts.lost_answers += u64::from(fault != ResponseFault::Deliver);
        fault
    }
}

impl FaultRule {
    fn matches(&self, called: Interface, client: &str) -> bool {
        self.interface
            .is_none_or(|interface| interface.covers(called))
            && self.client.as_deref().is_none_or(|name| name == client)
    }
}
