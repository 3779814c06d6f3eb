//! Polls the status of sidecars, relays recent log records to them and gossips with peers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use nutmegbay_core::ids::Offset;
use nutmegbay_proto::control::{Gossip, LogStatus, LogTail, SidecarControlClient, SidecarQuery};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{MissedTickBehavior, interval, timeout};

use super::rpc_clients::RpcEndpoint;
use super::{Input, SharedContext, Status};
use crate::gateway::Gateway;
use crate::state::upstreams::Upstream;

/// Time between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);

/// Number of sidecars polled in one round. A gateway polls all sidecars in rotation, so that its
/// control traffic does not grow with the fleet.
const SIDECARS_PER_ROUND: usize = 8;

/// Number of rounds per gossip message to the peers.
const ROUNDS_PER_GOSSIP: u64 = 2;

/// Timeout of one control call to a sidecar.
const SIDECAR_TIMEOUT: Duration = Duration::from_millis(400);

/// Polls sidecars and gossips with peers until the state task ends.
pub async fn relay<P>(
    gateway: Arc<Gateway>,
    context: SharedContext<P>,
    inputs: mpsc::Sender<Input>,
) {
    let mut rounds = interval(ROUND_INTERVAL);
    rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut first_index = 0;
    let mut round = 0_u64;
    let mut next_offsets: HashMap<SocketAddr, Offset> = HashMap::new();
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
        next_offsets.retain(|addr, _| view.upstreams.iter().any(|u| u.control == *addr));
        let chosen =
            (0..count.min(SIDECARS_PER_ROUND)).map(|i| &view.upstreams[(first_index + i) % count]);
        let calls = chosen.map(|upstream| {
            let next = next_offsets.get(&upstream.control).copied();
            poll_sidecar(&gateway, &context, &inputs, upstream, status.log, next)
        });
        for (addr, next) in join_all(calls).await.into_iter().flatten() {
            next_offsets.insert(addr, next);
        }
        first_index = (first_index + SIDECARS_PER_ROUND) % count.max(1);
        if round.is_multiple_of(ROUNDS_PER_GOSSIP) {
            gossip_with_peers(&gateway, &context, &view.peers, status).await;
        }
        round += 1;
    }
}

/// Sends the peers the work that this gateway has served and dispatched since the last message. A
/// peer that is unreachable misses these amounts for good.
async fn gossip_with_peers<P>(
    gateway: &Gateway,
    context: &SharedContext<P>,
    peers: &[RpcEndpoint],
    status: Status,
) {
    let (served, dispatched) = gateway.admission.take_gossip();
    let message = Gossip {
        instance: gateway.settings.instance.clone(),
        log: status.log,
        served,
        dispatched,
        crashes: status.crashes,
        exclusive: status.exclusive.into_iter().collect(),
        crashed_runs: context.crash_history.take_news(),
    };
    let replies = join_all(
        peers
            .iter()
            .map(|peer| context.clients.gossip(peer, message.clone())),
    )
    .await;
    for reply in replies.into_iter().flatten() {
        context.crash_history.merge(&reply.crashed_runs);
    }
}

/// Polls the status of one sidecar and relays the records that it lacks. Returns its control
/// address and the offset after the last record that it has; `None` if it is unresponsive.
async fn poll_sidecar<P>(
    gateway: &Gateway,
    context: &SharedContext<P>,
    inputs: &mpsc::Sender<Input>,
    upstream: &Arc<Upstream>,
    log: LogStatus,
    next: Option<Offset>,
) -> Option<(SocketAddr, Offset)> {
    let client = context.clients.get(upstream.control)?;
    let requested_at = context.clock.now();
    let query = SidecarQuery {
        cache_from: upstream.cache_next(),
        log,
    };
    let status = timeout(
        SIDECAR_TIMEOUT,
        SidecarControlClient::status(&client, query),
    )
    .await;
    let Ok(Ok(status)) = status else {
        tracing::debug!(event = "sidecar_silent", upstream = %upstream.name);
        return None;
    };
    upstream.record_report(&status, requested_at);
    if let Some(report) = upstream.last_report() {
        gateway
            .admission
            .on_sidecar_status(upstream, &status, report.measured_at);
    }
    if !status.crashes.is_empty() {
        // The state task ends last; after that nothing needs the reports.
        let _ = inputs.send(Input::CrashReports(status.crashes)).await;
    }
    let entries = match next {
        Some(next) if next >= log.next => return Some((upstream.control, next)),
        Some(next) => context.recent_records.from(next),
        None => Vec::new(),
    };
    let entries = match (entries.is_empty(), context.recent_records.oldest()) {
        (true, Some(oldest)) => context.recent_records.from(oldest),
        _ => entries,
    };
    let after = entries.last().map(|entry| entry.offset.next());
    let tail = LogTail { entries, log };
    let reply = timeout(SIDECAR_TIMEOUT, SidecarControlClient::relay(&client, tail)).await;
    let reply = reply.ok()?.ok()?;
    Some((upstream.control, after.unwrap_or(reply.next)))
}
