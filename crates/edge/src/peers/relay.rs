//! Follows a process that reads the store, in place of reading it.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use tokio::time::sleep;

use super::{CHANGES_PATH, ChangesAsk, Reply, WireRecord, before, fetch};
use crate::follow::{
    after_instances, config_wait, drop_unlisted, instances_pause, take_config, take_instance,
};
use crate::http1::Caller;
use crate::platform_api::WireCodec;
use crate::settings::Bounds;
use crate::state::EdgeState;

/// Time beyond the usual pace after which a relay is taken for lost: two answers of a slow store,
/// which take a quarter of a second each.
const MARGIN: Duration = Duration::from_millis(500);

/// Time between two looks at whether there is a relay to follow.
const LOOK_EVERY: Duration = Duration::from_millis(500);

/// Follows relays for as long as the process runs.
pub async fn follow<D: WireCodec>(state: Rc<EdgeState<D>>) {
    let mut caller: Option<(SocketAddr, Caller)> = None;
    loop {
        let Some(relay) = choose(&state) else {
            sleep(LOOK_EVERY).await;
            continue;
        };
        let (_, caller) = match caller.take() {
            Some(kept) if kept.0 == relay => caller.insert(kept),
            _ => caller.insert((relay, Caller::new(relay))),
        };
        match fetch(
            caller,
            CHANGES_PATH,
            question(&state),
            longest_wait(&state.settings().bounds),
        )
        .await
        {
            Ok(reply) => take(&state, relay, reply),
            Err(error) => {
                let was_relayed = state.is_relayed();
                state.relay_follower.borrow_mut().relay_failed(state.now());
                state.relay_lost.notify_waiters();
                if was_relayed {
                    tracing::warn!(event = "relay_lost", %relay, %error);
                } else {
                    tracing::debug!(event = "relay_not_asked", %relay, %error);
                }
            }
        }
    }
}

/// Longest time from a question to the next read of the process that is asked.
pub fn longest_wait(bounds: &Bounds) -> Duration {
    instances_pause(bounds) + MARGIN
}

fn choose<D: WireCodec>(state: &EdgeState<D>) -> Option<SocketAddr> {
    let settings = state.settings();
    let now = state.now();
    let members = state.members.borrow();
    let relays = members.relays(&settings.node, now);
    let mut relay_follower = state.relay_follower.borrow_mut();
    let relays = if relays.has_own {
        Vec::new()
    } else {
        relays.others
    };
    let chosen = relay_follower.choose(&relays, now);
    if chosen.is_some() {
        let others = members.others(&settings.node, now).count();
        relay_follower.await_first_reply(others + 1, now);
    }
    if relays.is_empty() && relay_follower.relayed_until(now).is_some() {
        tracing::info!(
            event = "reads_itself",
            instances = members.others(&settings.node, now).count() + 1
        );
        relay_follower.stop_following();
        state.relay_lost.notify_waiters();
    }
    chosen
}

fn question<D: WireCodec>(state: &EdgeState<D>) -> Vec<u8> {
    let known_records = state.known_records.borrow();
    let ask = ChangesAsk {
        reads: state
            .relay_follower
            .borrow()
            .reported_reads()
            .unwrap_or_default(),
        config_next: known_records.config_next,
        instances_next: known_records.instances_next,
        members_next: state.members.borrow().next(),
    };
    serde_json::to_vec(&ask).unwrap_or_else(|error| {
        tracing::error!(event = "question_not_encoded", %error);
        Vec::new()
    })
}

/// Follows what the relay has read.
fn take<D: WireCodec>(state: &Rc<EdgeState<D>>, relay: SocketAddr, reply: Reply) {
    let now = state.now();
    if let Some(config) = reply.config {
        take_config(state, &config.into_record(), "relay");
    }
    let lapsing_until =
        (reply.lapse_ms > 0).then(|| now.plus(Duration::from_millis(reply.lapse_ms)));
    let records: Vec<_> = reply
        .instances
        .into_iter()
        .map(WireRecord::into_record)
        .collect();
    if reply.is_whole {
        let end = reply.instances_next.unwrap_or(0);
        drop_unlisted(state, &records, end, lapsing_until);
    }
    for record in records {
        take_instance(state, record, lapsing_until);
    }
    for member in reply.members {
        state.members.borrow_mut().saw(member, now);
    }
    let bounds = state.settings().bounds;
    let instances_at = before(now, Duration::from_millis(reply.age_ms));
    let config_at = before(now, Duration::from_millis(reply.config_age_ms));
    {
        let mut known_records = state.known_records.borrow_mut();
        known_records.config_next = known_records.config_next.max(reply.config_next);
        known_records.config_at = known_records.config_at.max(Some(config_at));
        known_records.instances_next = known_records.instances_next.max(reply.instances_next);
        known_records.instances_at = known_records.instances_at.max(Some(instances_at));
    }
    state.set_store_available(true);
    after_instances(state);
    let due = next_due(&bounds, config_at, instances_at);
    let was_relayed = state.is_relayed();
    state
        .relay_follower
        .borrow_mut()
        .record_reply(reply.reads, due);
    if !was_relayed && state.is_relayed() {
        tracing::info!(event = "relay_followed", %relay, age_ms = reply.age_ms, config_age_ms = reply.config_age_ms);
    }
}

/// When the next reads of a relay are due that knows the configuration and the list of instances as
/// of the given moments.
fn next_due(
    bounds: &Bounds,
    config_at: MonotonicTime,
    instances_at: MonotonicTime,
) -> MonotonicTime {
    let config = config_at.plus(config_wait(bounds) + MARGIN);
    let instances = instances_at.plus(instances_pause(bounds) + MARGIN);
    config.min(instances)
}
