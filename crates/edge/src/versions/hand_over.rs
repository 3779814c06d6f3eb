//! Hands the origins of streams over from processes that end to those that stay, and from these to
//! those that start.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;
use nutmegbay_policy::edge::software_versions::StoredVersion;
use nutmegbay_policy::edge::stream_origins::{AgedOrigins, Origin};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::http1::BufferedClient;
use crate::peers::{PEER_TIMEOUT, fetch};
use crate::platform_api::WireCodec;
use crate::state::EdgeState;

use super::ask::peers;

/// Path that returns the origins of all streams that a process knows.
pub const ORIGINS_PATH: &str = "/origins";

/// Number of peers whose origins a process takes over when it starts. News reach all that run, so
/// one of them knows all that began since it started itself.
const PEERS: usize = 4;

/// Time after the start during which peers are asked. Some are found only after the first reads of
/// the store, and some start at the same time.
const TAKE_OVER_TIME: Duration = Duration::from_secs(2);

/// Time between two rounds of requests.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);

/// Origins of all streams that a process knows.
#[derive(Debug, Serialize, Deserialize)]
pub struct KnownOrigins {
    origins: Vec<AgedOrigins>,
}

/// Returns the origins that this process knows.
pub fn origins_to_hand_over<D: WireCodec>(state: &EdgeState<D>) -> KnownOrigins {
    KnownOrigins {
        origins: state.versions.borrow().origins.snapshot(state.now()),
    }
}

/// Takes over what the peers know, once after the start.
pub async fn take_over<D: WireCodec>(state: &EdgeState<D>) {
    let began = state.now();
    let mut asked: HashSet<SocketAddr> = HashSet::new();
    while asked.len() < PEERS && state.now().since(began) < TAKE_OVER_TIME {
        let peers = peers(state, PEERS).into_iter();
        let peers = peers.filter(|peer| !asked.contains(peer));
        let replies = join_all(peers.map(async |peer| {
            let client = BufferedClient::new(peer, &state.delay_monitor);
            let reply = fetch::<KnownOrigins>(&client, ORIGINS_PATH, Vec::new(), PEER_TIMEOUT);
            (peer, reply.await)
        }));
        for (peer, reply) in replies.await {
            match reply {
                Ok(reply) => {
                    asked.insert(peer);
                    merge_handed_over(state, &reply);
                    let known = state.versions.borrow().known_origins();
                    tracing::info!(event = "origins_taken_over", %peer, known);
                }
                Err(error) => tracing::debug!(event = "origins_not_taken_over", %peer, %error),
            }
        }
        sleep(ROUND_INTERVAL).await;
    }
}

fn merge_handed_over<D: WireCodec>(state: &EdgeState<D>, reply: &KnownOrigins) {
    let now = state.now();
    let mut versions = state.versions.borrow_mut();
    for known in &reply.origins {
        versions.origins.take_over(known, now);
        let Origin { service, version } = known.news.origin;
        let used = StoredVersion {
            version,
            unused_ms: known.age_s.saturating_mul(1_000),
        };
        versions.record_told(service, &[used], now);
    }
}

/// Tells the others of the streams that this process has carried, and from now on of each that
/// begins. To be called when a planned stop begins.
pub fn tell_before_exit<D: WireCodec>(state: &EdgeState<D>) {
    let now = state.now();
    let mut versions = state.versions.borrow_mut();
    versions.is_ending = true;
    let services: Vec<_> = versions
        .by_service
        .values()
        .map(|known| known.tag)
        .collect();
    for service in services {
        versions.origins.tell_all(service, now);
    }
    state.fleet.borrow().load_changed.notify_one();
}
