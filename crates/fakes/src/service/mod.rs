//! Fake plain service that executes calls, such as orders or bookings, and counts the executions by
//! reference.
//!
//! | method and path | effect |
//! |---|---|
//! | `POST /{any}` | executes the call, a repeated one again; answers 201 with [`Executed`] |
//! | `GET /{any}/{reference}` | 200 with [`Executed`], 404 if no call with the reference executed |
//! | `GET /{any}` | 200 with the number of executions by reference |
//! | `GET /executions` | [`Executions`], for tests |
//! | `PUT /faults` | replaces the [`ServiceFaults`], for tests |
//!
//! The reference of a call is its header `x-reference`, otherwise the field `reference` of its JSON
//! body, otherwise a hash of the body. The query `?echo=headers` adds the received headers to the
//! answer, and `?pad=N` adds N bytes of text.

mod http;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use crate::server::{ConnId, Server};

/// Handle of a running fake service. Clones control the same service, which runs until
/// [`FakeService::stop`] or [`FakeService::kill`] is called.
#[derive(Debug, Clone)]
pub struct FakeService {
    shared: Arc<Shared>,
    server: Server,
}

impl FakeService {
    /// Starts a service on a free loopback port.
    pub async fn start(cfg: ServiceConfig) -> std::io::Result<Self> {
        Self::start_on(crate::cli::any_loopback_port(), cfg).await
    }

    /// Starts a service on `listen`. Fails if the address cannot be bound.
    pub async fn start_on(listen: SocketAddr, cfg: ServiceConfig) -> std::io::Result<Self> {
        let shared = Arc::new(Shared {
            cfg,
            state: Mutex::default(),
            faults_changed: Notify::new(),
            server: std::sync::OnceLock::new(),
        });
        let server = Server::start(listen, http::router(Arc::clone(&shared))).await?;
        let _ = shared.server.set(server.clone());
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

    /// Returns the executions since the start, as `GET /executions` does.
    pub fn executions(&self) -> Executions {
        self.shared.state().executions.clone()
    }

    /// Replaces all faults, as `PUT /faults` does.
    pub fn set_faults(&self, faults: ServiceFaults) {
        self.shared.set_faults(faults, None);
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

/// Settings of a fake service.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceConfig {
    /// Name of the service, returned in each answer.
    pub name: Box<str>,
    /// Duration of each call before it executes, in milliseconds.
    pub delay_ms: u64,
}

/// Faults of a fake service; `PUT /faults` replaces all of them. Each counter is the number of next
/// `POST` calls that are affected.
#[derive(Debug, Default, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// The service neither answers nor executes until this is cleared.
    pub stop_answering: bool,
    /// Black-holes the open connections, once, except that of the call which sets this.
    pub silence: bool,
    /// Delay added to each call before it executes, in milliseconds.
    pub slow_ms: u64,
    /// Delay added to each `POST` call after it executed, in milliseconds.
    pub slow_answer_ms: u64,
    /// Number of next calls whose connection is closed before they execute.
    pub drop_before: u32,
    /// Number of next calls whose connection is closed after they executed.
    pub drop_after: u32,
    /// Number of next calls that are answered with status 500 without executing.
    pub fail_before: u32,
    /// Number of next calls that are answered with status 500 after they executed.
    pub fail_after: u32,
}

/// Answer to a call that executed, or to a query for its status.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Executed {
    /// Name of the service.
    pub service: Box<str>,
    /// Reference of the call.
    pub reference: Box<str>,
    /// Number of times that calls with this reference executed.
    pub executions: u64,
    /// Received headers by name, if the query contains `echo=headers`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub headers: Option<BTreeMap<String, Vec<String>>>,
    /// Padding, if the query contains `pad`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pad: Option<Box<str>>,
}

/// Calls since the start, served by `GET /executions`.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Executions {
    /// Number of executions by reference.
    pub by_reference: BTreeMap<Box<str>, u64>,
    /// Total number of executions.
    pub total: u64,
    /// Number of `POST` calls that arrived, whether they executed or not.
    pub started: u64,
    /// Number of `GET` calls to service paths.
    pub reads: u64,
    /// Names of all headers received.
    pub header_names: BTreeSet<String>,
}

#[derive(Debug)]
struct Shared {
    cfg: ServiceConfig,
    state: Mutex<ServiceState>,
    faults_changed: Notify,
    server: std::sync::OnceLock<Server>,
}

#[derive(Debug, Default)]
struct ServiceState {
    faults: ServiceFaults,
    executions: Executions,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, ServiceState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_faults(&self, faults: ServiceFaults, except: Option<ConnId>) {
        let blackhole = faults.silence;
        self.state().faults = ServiceFaults {
            silence: false,
            ..faults
        };
        self.faults_changed.notify_waiters();
        if let Some(server) = self.server.get().filter(|_| blackhole) {
            server.blackhole(except);
        }
    }

    /// Waits until the fault `stop_answering` is cleared.
    async fn wait_until_answering(&self) {
        loop {
            let faults_changed = self.faults_changed.notified();
            if !self.state().faults.stop_answering {
                return;
            }
            faults_changed.await;
        }
    }
}
