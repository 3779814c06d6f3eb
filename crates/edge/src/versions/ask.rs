//! Asks peers with which version a stream began.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use nutmegbay_policy::edge::origin_replicas::ASKED_REPLICAS;
use nutmegbay_policy::edge::software_versions::VersionTag;
use nutmegbay_policy::edge::stream_origins::{AttemptTag, ServiceTag};
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};

use super::log::confirm_origins;
use super::proof::only_version;
use crate::http1::BufferedClient;
use crate::peers::{fetch, known_peers};
use crate::platform_api::WireCodec;
use crate::state::EdgeState;

/// Path that returns the version with which a stream began.
pub const ORIGIN_PATH: &str = "/origin";

/// Maximum number of peers asked about one stream: those that keep copies, and one that reads the
/// store.
const MAX_PEERS: usize = ASKED_REPLICAS + 1;

/// Maximum wait for the answer of a peer that knows the version.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);

/// Maximum time for which a peer reads the store before it answers.
const READ_TIMEOUT: Duration = Duration::from_millis(70);

/// Asks with which version a stream began.
#[derive(Debug, Serialize, Deserialize)]
pub struct OriginQuestion {
    attempt: Option<u64>,
    /// Service of the stream. A peer that does not know the attempt may still know that one version
    /// alone is in use.
    #[serde(default)]
    service: Option<ServiceTag>,
    /// Whether the peer may read the store, since the asking process does not.
    #[serde(default)]
    may_read: bool,
}

/// Version with which a stream began, if the peer knows it.
#[derive(Debug, Serialize, Deserialize)]
pub struct OriginReply {
    version: Option<VersionTag>,
}

/// Returns the version with which the stream of an attempt began, if a peer knows it. Returns `None`
/// at once if too many questions are open.
pub async fn ask<D: WireCodec>(
    state: &EdgeState<D>,
    service: ServiceTag,
    attempt: Option<AttemptTag>,
) -> Option<VersionTag> {
    let questions = state.versions.borrow().questions.clone();
    let _permit = questions.try_acquire().ok()?;
    let question = OriginQuestion {
        attempt: attempt.map(|attempt| attempt.0),
        service: Some(service),
        may_read: state.is_relayed(),
    };
    let body = serde_json::to_vec(&question).ok()?;
    let mut replies: FuturesUnordered<_> = peers(state, attempt)
        .into_iter()
        .map(|peer| {
            let body = body.clone();
            async move {
                let client = BufferedClient::new(peer, &state.delay_monitor);
                fetch::<OriginReply>(&client, ORIGIN_PATH, body, ANSWER_TIMEOUT).await
            }
        })
        .collect();
    while let Some(reply) = replies.next().await {
        match reply {
            Ok(OriginReply {
                version: Some(version),
            }) => return Some(version),
            Ok(OriginReply { version: None }) => {}
            Err(error) => tracing::debug!(event = "origin_not_answered", %error),
        }
    }
    None
}

/// Returns what this process knows about the stream of a peer's question.
pub async fn answer<D: WireCodec>(state: &EdgeState<D>, question: &OriginQuestion) -> OriginReply {
    let asked_at = state.now();
    let attempt = question.attempt.map(AttemptTag);
    if let Some(version) = known_version(state, attempt) {
        return OriginReply {
            version: Some(version),
        };
    }
    let Some(service) = question.service else {
        return OriginReply { version: None };
    };
    if let Some(version) = only_version(state, service, asked_at).await {
        return OriginReply {
            version: Some(version),
        };
    }
    if question.may_read && attempt.is_some() {
        confirm_origins(state, service, asked_at, READ_TIMEOUT).await;
    }
    OriginReply {
        version: known_version(state, attempt),
    }
}

fn known_version<D: WireCodec>(
    state: &EdgeState<D>,
    attempt: Option<AttemptTag>,
) -> Option<VersionTag> {
    let versions = state.versions.borrow();
    let known = versions.origins.origin(attempt?, state.now())?;
    Some(known.version)
}

/// Returns the peers to ask, [`MAX_PEERS`] at most: those that keep copies for the attempt, then the
/// relay of this process, other relays and any others, which may prove the version.
fn peers<D: WireCodec>(state: &EdgeState<D>, attempt: Option<AttemptTag>) -> Vec<SocketAddr> {
    let own_relay = state.relay_follower.borrow().relay();
    let members = state.members.borrow();
    let settings = state.settings();
    let versions = state.versions.borrow();
    let replicas = attempt.map(|attempt| versions.origins.replicas(attempt, ASKED_REPLICAS));
    let addresses: HashMap<u64, SocketAddr> = members.addresses().collect();
    let replicas = replicas.into_iter().flatten();
    let replicas = replicas.filter_map(|name| addresses.get(&name).copied());
    let relays = members.relays(&settings.node, state.now());
    let mut relays: Vec<_> = relays.others.iter().map(|relay| relay.key).collect();
    let mut others = known_peers(state);
    relays.shuffle(&mut rand::rng());
    others.shuffle(&mut rand::rng());
    let mut peers: Vec<SocketAddr> = Vec::with_capacity(MAX_PEERS);
    for peer in replicas.chain(own_relay).chain(relays).chain(others) {
        let is_own = settings.control == Some(peer);
        if peers.len() < MAX_PEERS && !is_own && !peers.contains(&peer) {
            peers.push(peer);
        }
    }
    peers
}
