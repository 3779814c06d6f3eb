//! Fake plain service: places orders or bookings and tells their status.
//!
//! | method and path | effect |
//! |---|---|
//! | `POST /{any}` | executes, also when repeated; answers 201 with [`Executed`] |
//! | `GET /{any}/{reference}` | 200 with [`Executed`], 404 if the reference never executed |
//! | `GET /{any}` | 200 with the references executed so far |
//! | `GET /executions` | [`Executions`], for tests |
//! | `PUT /faults` | replaces the [`ServiceFaults`], for tests |
//!
//! The reference of a call is its header `x-reference`, the field `reference` of its JSON body, or
//! a hash of the body. The query `?echo=headers` adds the received headers to the answer,
//! `?pad=N` adds N bytes of text.

mod http;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use crate::server::{ConnId, Server};

/// A running fake service. Clones control the same one; call [`FakeService::kill`] to end it.
#[derive(Debug, Clone)]
pub struct FakeService {
    shared: Arc<Shared>,
    server: Server,
}

impl FakeService {
    /// Starts a service on a free loopback port.
    pub async fn start(cfg: ServiceConfig) -> std::io::Result<Self> {
        Self::start_on(crate::cli::any_port(), cfg).await
    }

    /// Starts a service on `listen`.
    pub async fn start_on(listen: SocketAddr, cfg: ServiceConfig) -> std::io::Result<Self> {
        let shared = Arc::new(Shared {
            cfg,
            state: Mutex::default(),
            changed: Notify::new(),
            server: std::sync::OnceLock::new(),
        });
        let server = Server::start(listen, http::router(Arc::clone(&shared))).await?;
        let _ = shared.server.set(server.clone());
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

    /// Executions so far.
    pub fn executions(&self) -> Executions {
        self.shared.state().executions.clone()
    }

    /// Replaces all faults, as `PUT /faults` does.
    pub fn set_faults(&self, faults: ServiceFaults) {
        self.shared.set_faults(faults, None);
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

/// Settings of a fake service.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceConfig {
    /// Name, repeated in answers.
    pub name: Box<str>,
    /// Time of one call.
    pub delay_ms: u64,
}

/// Faults of a fake service; `PUT /faults` replaces them all. Counters hold for the next calls
/// with an effect.
#[derive(Debug, Default, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Nothing is answered, and nothing executed, until this is cleared.
    pub stop_answering: bool,
    /// Open connections other than that of this call go silent, once.
    pub silence: bool,
    /// Added time of each call, before it executes.
    pub slow_ms: u64,
    /// Added time of each call, after it executed.
    pub slow_answer_ms: u64,
    /// Connections that are closed before executing.
    pub drop_before: u32,
    /// Connections that are closed after executing.
    pub drop_after: u32,
    /// Calls that are answered with 500 before executing.
    pub fail_before: u32,
    /// Calls that are answered with 500 after executing.
    pub fail_after: u32,
}

/// Answer of a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Executed {
    /// Service.
    pub service: Box<str>,
    /// Reference.
    pub reference: Box<str>,
    /// How often it was executed.
    pub executions: u64,
    /// Received headers, if asked for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub headers: Option<BTreeMap<String, Vec<String>>>,
    /// Padding, if asked for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pad: Option<Box<str>>,
}

/// What the service did so far.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Executions {
    /// Executions by reference.
    pub by_reference: BTreeMap<Box<str>, u64>,
    /// Executions in all.
    pub total: u64,
    /// Calls with an effect that arrived, whether they were executed or not.
    pub started: u64,
    /// Reads in all.
    pub reads: u64,
    /// Names of all headers received.
    pub header_names: BTreeSet<String>,
}

#[derive(Debug)]
struct Shared {
    cfg: ServiceConfig,
    state: Mutex<Service>,
    changed: Notify,
    server: std::sync::OnceLock<Server>,
}

#[derive(Debug, Default)]
struct Service {
    faults: ServiceFaults,
    executions: Executions,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, Service> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_faults(&self, faults: ServiceFaults, spare: Option<ConnId>) {
        let silence = faults.silence;
        self.state().faults = ServiceFaults {
            silence: false,
            ..faults
        };
        self.changed.notify_waiters();
        if let Some(server) = self.server.get().filter(|_| silence) {
            server.silence(spare);
        }
    }

    /// Waits while the service does not answer.
    async fn wait_answering(&self) {
        loop {
            let changed = self.changed.notified();
            if !self.state().faults.stop_answering {
                return;
            }
            changed.await;
        }
    }
}
