//! Control connections to peers and sidecars.

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

/// Longest time for any control call. Calls with a shorter limit of their own have it around them.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(35);

/// Time for one control call. A party that is slower counts as silent; it must be well below the
/// 1.25 s for which an answer supports the recognition of an outage.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// A peer or sidecar.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Party {
    /// Name of the instance.
    pub name: Box<str>,
    /// Kind of the instance.
    pub kind: InstanceKind,
    /// Address of its control interface.
    pub control: SocketAddr,
}

/// Clients by address.
#[derive(Debug, Default)]
pub struct Clients {
    by_addr: Mutex<HashMap<SocketAddr, HttpClient>>,
}

impl Clients {
    /// Client for an address, which connects when needed.
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

    /// Forgets the clients of instances that are gone.
    pub fn retain(&self, is_known: impl Fn(SocketAddr) -> bool) {
        let mut by_addr = self.by_addr.lock().unwrap_or_else(PoisonError::into_inner);
        by_addr.retain(|addr, _| is_known(*addr));
    }

    /// How current a party is.
    pub async fn log_status(&self, party: &Party, own: LogStatus) -> Option<LogStatus> {
        let client = self.get(party.control)?;
        if party.kind == InstanceKind::Gateway {
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

    /// Tells a peer the news.
    pub async fn gossip(&self, peer: &Party, news: Gossip) -> Option<Gossip> {
        let client = self.get(peer.control)?;
        let answer = GatewayControlClient::gossip(&client, news);
        timeout(CALL_TIMEOUT, answer).await.ok()?.ok()
    }

    /// Records from `from` on, as far as a party has them.
    pub async fn tail(&self, party: &Party, from: Offset) -> Option<LogTail> {
        let client = self.get(party.control)?;
        let tail = async {
            match party.kind {
                InstanceKind::Gateway => GatewayControlClient::tail(&client, from).await,
                _ => SidecarControlClient::tail(&client, from).await,
            }
        };
        timeout(CALL_TIMEOUT, tail).await.ok()?.ok()
    }
}

/// View of the log as components of core exchange it.
pub fn view_of(status: LogStatus) -> LogProgress {
    LogProgress {
        next: status.next,
        head_read_age: status.fresh_ms.map(Duration::from_millis),
    }
}

/// View of the log as it goes over the wire. The age is rounded up, so that it is never too young.
pub fn status_of(view: LogProgress) -> LogStatus {
    let millis = |age: Duration| u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
    LogStatus {
        next: view.next,
        fresh_ms: view.head_read_age.map(|age| millis(age).saturating_add(1)),
    }
}
