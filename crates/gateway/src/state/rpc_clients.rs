//! JSON-RPC clients for the control interfaces of peers and sidecars.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use jsonrpsee::http_client::HttpClient;
use nutmegbay_core::freshness::LogProgress;
use nutmegbay_core::ids::Offset;
use nutmegbay_proto::control::{
    GatewayControlClient, Gossip, LogStatus, LogTail, SidecarControlClient, SidecarQuery,
};
use nutmegbay_proto::platform::InstanceKind;
use tokio::time::timeout;

/// Timeout of the HTTP client, an upper limit for any call. Most calls are wrapped in a shorter
/// one.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(35);

/// Timeout of one control call, after which the endpoint counts as unresponsive. It must be well
/// below the 1.25 s for which an answer counts as evidence of an outage.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// A peer or sidecar with a control interface.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RpcEndpoint {
    /// Name of the instance.
    pub name: Box<str>,
    /// Kind of the instance.
    pub kind: InstanceKind,
    /// Address of its control interface.
    pub control: SocketAddr,
}

/// JSON-RPC clients by address.
#[derive(Debug, Default)]
pub struct RpcClients {
    by_addr: Mutex<HashMap<SocketAddr, HttpClient>>,
}

impl RpcClients {
    /// Returns the client for an address, which connects on the first call; `None` if it cannot be
    /// built.
    pub fn get(&self, addr: SocketAddr) -> Option<HttpClient> {
        let mut by_addr = self.by_addr.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(client) = by_addr.get(&addr) {
            return Some(client.clone());
        }
        let client = HttpClient::builder()
            .request_timeout(CLIENT_TIMEOUT)
            .build(format!("http://{addr}"))
            .ok()?;
        by_addr.insert(addr, client.clone());
        Some(client)
    }

    /// Drops the clients of instances that are no longer listed.
    pub fn retain(&self, is_listed: impl Fn(SocketAddr) -> bool) {
        let mut by_addr = self.by_addr.lock().unwrap_or_else(PoisonError::into_inner);
        by_addr.retain(|addr, _| is_listed(*addr));
    }

    /// Queries how far an endpoint has read the log; `None` if it is unresponsive.
    ///
    /// A sidecar receives the log status `own` of this gateway with the query.
    pub async fn log_status(&self, endpoint: &RpcEndpoint, own: LogStatus) -> Option<LogStatus> {
        let client = self.get(endpoint.control)?;
        if endpoint.kind == InstanceKind::Gateway {
            let status = GatewayControlClient::status(&client);
            return Some(timeout(CALL_TIMEOUT, status).await.ok()?.ok()?.log);
        }
        let query = SidecarQuery {
            cache_from: u64::MAX,
            log: own,
        };
        let status = SidecarControlClient::status(&client, query);
        Some(timeout(CALL_TIMEOUT, status).await.ok()?.ok()?.log)
    }

    /// Sends a gossip message to a peer and returns its reply; `None` if it is unresponsive.
    pub async fn gossip(&self, peer: &RpcEndpoint, message: Gossip) -> Option<Gossip> {
        let client = self.get(peer.control)?;
        let answer = GatewayControlClient::gossip(&client, message);
        timeout(CALL_TIMEOUT, answer).await.ok()?.ok()
    }

    /// Reads the records from `from` on that an endpoint keeps; `None` if it is unresponsive.
    pub async fn tail(&self, endpoint: &RpcEndpoint, from: Offset) -> Option<LogTail> {
        let client = self.get(endpoint.control)?;
        let tail = async {
            match endpoint.kind {
                InstanceKind::Gateway => GatewayControlClient::tail(&client, from).await,
                _ => SidecarControlClient::tail(&client, from).await,
            }
        };
        timeout(CALL_TIMEOUT, tail).await.ok()?.ok()
    }
}

/// Converts the log status of a message into the type of core.
pub fn log_progress_of(status: LogStatus) -> LogProgress {
    LogProgress {
        next: status.next,
        head_read_age: status.fresh_ms.map(Duration::from_millis),
    }
}

/// Converts log progress into the log status of a message. The age is rounded up to whole
/// milliseconds, so that a replica never seems fresher than it is.
pub fn log_status_of(progress: LogProgress) -> LogStatus {
    let millis = |age: Duration| u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
    LogStatus {
        next: progress.next,
        fresh_ms: progress
            .head_read_age
            .map(|age| millis(age).saturating_add(1)),
    }
}
