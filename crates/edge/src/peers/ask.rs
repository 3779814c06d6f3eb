//! Asks peers what they have read while this process cannot read the store.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::seq::IteratorRandom;
use tokio::time::sleep;

use super::{PEER_TIMEOUT, Reply, SEEN_PATH, WireRecord, before, fetch, known_peers};
use crate::follow::{after_instances, take_config, take_instance};
use crate::http1::Caller;
use crate::platform_api::WireCodec;
use crate::state::EdgeState;

/// Age of the last read of the store from which peers are asked.
const STALE_AFTER: Duration = Duration::from_millis(1_600);

/// Time between two rounds of questions.
const ASK_EVERY: Duration = Duration::from_millis(500);

/// Peers asked in one round.
const ASKED: usize = 2;

/// Time for which an upstream is used whose entry a peer saw removed: the peer may have read it
/// just after the store's return.
const PEER_LAPSE: Duration = Duration::from_millis(1_200);

/// Asks peers while the store cannot be read.
pub async fn ask<D: WireCodec>(state: Rc<EdgeState<D>>) {
    loop {
        sleep(ASK_EVERY).await;
        if state.is_relayed()
            || state.known_records.borrow().instances_age(state.now()) < STALE_AFTER
        {
            continue;
        }
        for peer in chosen(&state) {
            match fetch(&Caller::new(peer), SEEN_PATH, Vec::new(), PEER_TIMEOUT).await {
                Ok(reply) => take(&state, reply),
                Err(error) => tracing::debug!(event = "peer_not_asked", %peer, %error),
            }
        }
    }
}

fn chosen<D: WireCodec>(state: &EdgeState<D>) -> Vec<SocketAddr> {
    let peers = known_peers(state).into_iter();
    peers.sample(&mut rand::rng(), ASKED)
}

/// Follows what a peer has read.
fn take<D: WireCodec>(state: &Rc<EdgeState<D>>, reply: Reply) {
    if let Some(config) = reply.config {
        take_config(state, &config.into_record(), "peer");
    }
    let now = state.now();
    let lapsing_until = Some(now.plus(PEER_LAPSE));
    for record in reply.instances.into_iter().map(WireRecord::into_record) {
        take_instance(state, record, lapsing_until);
    }
    let read_at = before(now, Duration::from_millis(reply.age_ms));
    {
        let mut known_records = state.known_records.borrow_mut();
        known_records.instances_at = known_records.instances_at.max(Some(read_at));
    }
    after_instances(state);
}
