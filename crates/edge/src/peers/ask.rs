//! Requests store records from peers while this process cannot read the store.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;
use nutmegbay_core::crashes::ReportSource;
use rand::seq::IteratorRandom;
use tokio::time::sleep;

use super::{
    KNOWN_RECORDS_PATH, PEER_TIMEOUT, RecordsReply, START_RECORDS_PATH, WireRecord, fetch,
    known_peers, time_before,
};
use crate::follow::{apply_config_record, apply_instance_record, finish_instances_update};
use crate::http1::BufferedClient;
use crate::platform_api::WireCodec;
use crate::state::EdgeState;
use crate::{crashes, versions};

/// Age of the known list of instances from which peers are asked.
const STALE_AFTER: Duration = Duration::from_millis(1_600);

/// Time between two rounds of requests.
const ASK_INTERVAL: Duration = Duration::from_millis(500);

/// Time from the start until the first round if no configuration is known by then. It doubles with
/// each further round, up to [`ASK_INTERVAL`]. Without a configuration, all requests are refused.
const MIN_CONFIG_ASK_INTERVAL: Duration = Duration::from_millis(100);

/// Number of peers asked in one round.
const PEERS_PER_ROUND: usize = 2;

/// Grace period for an upstream whose entry a peer reports as removed. The peer may have read the
/// list just after an outage, before the upstream renewed its expired entry.
const REMOVED_ENTRY_GRACE: Duration = Duration::from_millis(1_200);

/// Requests records from peers while the store cannot be read, for as long as the process runs.
pub async fn ask_during_outage<D: WireCodec>(state: Rc<EdgeState<D>>) {
    let start = state.now();
    let mut config_interval = MIN_CONFIG_ASK_INTERVAL;
    while state.version().is_none() {
        sleep(config_interval).await;
        config_interval = ASK_INTERVAL.min(config_interval * 2);
        let path = match state.now().since(start) {
            passed if passed < STALE_AFTER => START_RECORDS_PATH,
            _ => KNOWN_RECORDS_PATH,
        };
        if state.version().is_none() {
            ask_peers(&state, path).await;
        }
    }
    loop {
        sleep(ASK_INTERVAL).await;
        if state.is_relayed()
            || state.known_records.borrow().instances_age(state.now()) < STALE_AFTER
        {
            continue;
        }
        ask_peers(&state, KNOWN_RECORDS_PATH).await;
    }
}

/// Requests the records of some peers, of all at the same time.
async fn ask_peers<D: WireCodec>(state: &Rc<EdgeState<D>>, path: &str) {
    let requests = sample_peers(state).into_iter().map(async |peer| {
        let client = BufferedClient::new(peer, &state.delay_monitor);
        match fetch(&client, path, Vec::new(), PEER_TIMEOUT).await {
            Ok(reply) => apply_reply(state, reply),
            Err(error) => tracing::debug!(event = "peer_not_asked", %peer, %error),
        }
    });
    join_all(requests).await;
}

fn sample_peers<D: WireCodec>(state: &EdgeState<D>) -> Vec<SocketAddr> {
    let peers = known_peers(state).into_iter();
    peers.sample(&mut rand::rng(), PEERS_PER_ROUND)
}

/// Applies the records that a peer has read.
fn apply_reply<D: WireCodec>(state: &Rc<EdgeState<D>>, reply: RecordsReply) {
    state.observe_store_era(reply.store_era, "peer");
    if let Some(config) = reply.config {
        apply_config_record(state, &config.into_record(), "peer");
    }
    crashes::merge(state, &reply.crashes, ReportSource::Shared);
    versions::merge_waits(state, &reply.caller_waits);
    versions::merge_known(state, &reply.versions);
    let now = state.now();
    let grace_until = Some(now.plus(REMOVED_ENTRY_GRACE));
    for record in reply.instances.into_iter().map(WireRecord::into_record) {
        apply_instance_record(state, record, grace_until);
    }
    // A process that has never read the store finds its relay among these.
    for member in reply.members {
        state.members.borrow_mut().record(member, now);
    }
    let read_at = time_before(now, reply.instances_age_ms);
    {
        let mut known_records = state.known_records.borrow_mut();
        known_records.instances_at = known_records.instances_at.max(read_at);
    }
    finish_instances_update(state);
}
