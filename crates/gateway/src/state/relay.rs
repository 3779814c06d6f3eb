//! Watches sidecars and hands them recent log records.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use nutmegbay_core::ids::Offset;
use nutmegbay_proto::control::{Gossip, LogStatus, SidecarControlClient, SidecarQuery, Tail};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{MissedTickBehavior, interval, timeout};

use super::parties::Party;
use super::{Input, Parts, Status};
use crate::gateway::Gateway;
use crate::state::upstreams::Upstream;

/// Time between two rounds.
const ROUND: Duration = Duration::from_millis(250);

/// Sidecars in one round. Each gateway watches all sidecars in turn, so that the control traffic of
/// a node does not grow with the fleet.
const PER_ROUND: usize = 8;

/// Rounds between two messages to the peers.
const GOSSIP_ROUNDS: u64 = 2;

/// Time for one call of a sidecar.
const VISIT_TIMEOUT: Duration = Duration::from_millis(400);

/// Watches the sidecars until the state task ends.
pub async fn relay<P>(gateway: Arc<Gateway>, parts: Parts<P>, inputs: mpsc::Sender<Input>) {
    let mut rounds = interval(ROUND);
    rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut turn = 0;
    let mut round = 0_u64;
    let mut known: HashMap<SocketAddr, Offset> = HashMap::new();
    loop {
        rounds.tick().await;
        let (reply, status) = oneshot::channel();
        if inputs.send(Input::Status(reply)).await.is_err() {
            return;
        }
        let Ok(status) = status.await else {
            return;
        };
        let view = gateway.view();
        gateway.admission.tick(&view);
        let count = view.upstreams.len();
        known.retain(|addr, _| view.upstreams.iter().any(|u| u.control == *addr));
        let chosen = (0..count.min(PER_ROUND)).map(|i| &view.upstreams[(turn + i) % count]);
        let calls = chosen.map(|upstream| {
            let next = known.get(&upstream.control).copied();
            visit(&gateway, &parts, &inputs, upstream, status.log, next)
        });
        for (addr, next) in join_all(calls).await.into_iter().flatten() {
            known.insert(addr, next);
        }
        turn = (turn + PER_ROUND) % count.max(1);
        if round.is_multiple_of(GOSSIP_ROUNDS) {
            gossip(&gateway, &parts, &view.peers, status).await;
        }
        round += 1;
    }
}

/// Tells the peers what this gateway has served and sent since the last time. A peer that is not
/// reached misses that part of the count.
async fn gossip<P>(gateway: &Gateway, parts: &Parts<P>, peers: &[Party], status: Status) {
    let (served, dispatched) = gateway.admission.take_gossip();
    let news = Gossip {
        instance: gateway.settings.instance.clone(),
        log: status.log,
        served,
        dispatched,
        crashes: status.crashes,
        exclusive: status.exclusive.into_iter().collect(),
    };
    join_all(
        peers
            .iter()
            .map(|peer| parts.clients.gossip(peer, news.clone())),
    )
    .await;
}

/// Asks one sidecar for its status and gives it the records that it lacks. Returns the offset after
/// the last record that it has.
async fn visit<P>(
    gateway: &Gateway,
    parts: &Parts<P>,
    inputs: &mpsc::Sender<Input>,
    upstream: &Arc<Upstream>,
    log: LogStatus,
    next: Option<Offset>,
) -> Option<(SocketAddr, Offset)> {
    let client = parts.clients.get(upstream.control)?;
    let asked = parts.clock.now();
    let query = SidecarQuery {
        cache_from: upstream.cache_next(),
        log,
    };
    let status = timeout(VISIT_TIMEOUT, SidecarControlClient::status(&client, query)).await;
    let Ok(Ok(status)) = status else {
        tracing::debug!(event = "sidecar_silent", upstream = %upstream.name);
        return None;
    };
    upstream.report(&status, asked);
    if let Some(reported) = upstream.reported() {
        gateway
            .admission
            .on_sidecar_status(upstream, &status, reported.taken);
    }
    if !status.crashes.is_empty() {
        // The state task ends last; without it nobody needs the reports.
        let _ = inputs.send(Input::Heard(status.crashes)).await;
    }
    let entries = match next {
        Some(next) if next >= log.next => return Some((upstream.control, next)),
        Some(next) => parts.recent.from(next),
        None => Vec::new(),
    };
    let entries = match (entries.is_empty(), parts.recent.oldest()) {
        (true, Some(oldest)) => parts.recent.from(oldest),
        _ => entries,
    };
    let after = entries.last().map(|entry| entry.offset.next());
    let tail = Tail { entries, log };
    let reply = timeout(VISIT_TIMEOUT, SidecarControlClient::relay(&client, tail)).await;
    let reply = reply.ok()?.ok()?;
    Some((upstream.control, after.unwrap_or(reply.next)))
}
