//! Receives changes from a relay, a process that reads the store, instead of reading the store
//! itself.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use nutmegbay_core::crashes::ReportSource;
use nutmegbay_core::environment::MonotonicTime;
use tokio::time::sleep;

use super::{CHANGES_PATH, ChangesRequest, RecordsReply, WireRecord, fetch, time_before};
use crate::follow::{
    apply_config_record, apply_instance_record, finish_instances_update, instances_read_interval,
    max_config_wait, remove_unlisted,
};
use crate::http1::BufferedClient;
use crate::own_delay::Wait;
use crate::platform_api::WireCodec;
use crate::settings::Bounds;
use crate::state::EdgeState;
use crate::{crashes, versions};

/// Time beyond the interval between two reads of a relay after which it is considered failed. It
/// covers two responses of a slow store, which take a quarter of a second each.
const REPLY_MARGIN: Duration = Duration::from_millis(500);

/// Time between two checks for a relay while there is none.
const RELAY_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Chooses a relay and receives changes from it, for as long as the process runs.
pub async fn follow<D: WireCodec>(state: Rc<EdgeState<D>>) {
    let mut client: Option<(SocketAddr, BufferedClient)> = None;
    loop {
        let Some(relay) = choose_relay(&state) else {
            sleep(RELAY_CHECK_INTERVAL).await;
            continue;
        };
        let (_, client) = match client.take() {
            Some(kept) if kept.0 == relay => client.insert(kept),
            _ => client.insert((relay, BufferedClient::new(relay, &state.delay_monitor))),
        };
        match fetch(
            client,
            CHANGES_PATH,
            encode_request(&state),
            Wait {
                requested: instances_read_interval(&state.settings().bounds),
                response: REPLY_MARGIN,
            },
        )
        .await
        {
            Ok(reply) => apply_reply(&state, relay, reply),
            Err(error) => {
                let was_relayed = state.is_relayed();
                state
                    .relay_follower
                    .borrow_mut()
                    .record_relay_failure(state.now());
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

/// Returns the maximum time from a request to the next read of the relay, which the reply follows.
pub fn max_reply_wait(bounds: &Bounds) -> Duration {
    instances_read_interval(bounds) + REPLY_MARGIN
}

fn choose_relay<D: WireCodec>(state: &EdgeState<D>) -> Option<SocketAddr> {
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

fn encode_request<D: WireCodec>(state: &EdgeState<D>) -> Vec<u8> {
    let known_records = state.known_records.borrow();
    let request = ChangesRequest {
        store_era: state.store_era(),
        reads: state
            .relay_follower
            .borrow()
            .reported_reads()
            .unwrap_or_default(),
        config_next: known_records.config_next,
        instances_next: known_records.instances_next,
        members_next: state.members.borrow().next_position(),
        caller_waits: state.versions.borrow().caller_waits(),
    };
    serde_json::to_vec(&request).unwrap_or_else(|error| {
        tracing::error!(event = "question_not_encoded", %error);
        Vec::new()
    })
}

/// Applies the records that the relay has read.
fn apply_reply<D: WireCodec>(state: &Rc<EdgeState<D>>, relay: SocketAddr, reply: RecordsReply) {
    let now = state.now();
    state.observe_store_era(reply.store_era, "relay");
    crashes::merge(state, &reply.crashes, ReportSource::Shared);
    versions::merge_waits(state, &reply.caller_waits);
    versions::merge_known(state, &reply.versions);
    if let Some(config) = reply.config {
        apply_config_record(state, &config.into_record(), "relay");
    }
    let grace_until =
        (reply.expiry_grace_ms > 0).then(|| now.plus(Duration::from_millis(reply.expiry_grace_ms)));
    let records: Vec<_> = reply
        .instances
        .into_iter()
        .map(WireRecord::into_record)
        .collect();
    if reply.is_whole {
        let end = reply.instances_next.unwrap_or_default();
        remove_unlisted(state, &records, end, grace_until);
    }
    for record in records {
        apply_instance_record(state, record, grace_until);
    }
    for member in reply.members {
        state.members.borrow_mut().record(member, now);
    }
    let bounds = state.settings().bounds;
    let instances_at = time_before(now, reply.instances_age_ms);
    let config_at = time_before(now, reply.config_age_ms);
    {
        let mut known_records = state.known_records.borrow_mut();
        known_records.config_next = known_records.config_next.max(reply.config_next);
        known_records.config_at = known_records.config_at.max(config_at);
        known_records.instances_next = known_records.instances_next.max(reply.instances_next);
        known_records.instances_at = known_records.instances_at.max(instances_at);
    }
    state.set_store_available(true);
    finish_instances_update(state);
    let due = next_due(
        &bounds,
        config_at.unwrap_or_default(),
        instances_at.unwrap_or_default(),
    );
    let was_relayed = state.is_relayed();
    state
        .relay_follower
        .borrow_mut()
        .record_reply(reply.reads, due);
    if !was_relayed && state.is_relayed() {
        tracing::info!(event = "relay_followed", %relay, age_ms = reply.instances_age_ms, config_age_ms = reply.config_age_ms);
    }
}

/// Returns the time by which the relay must have completed its next read of the configuration or of
/// the list of instances, whichever is due first. Its configuration is current as of `config_at`,
/// and its list of instances as of `instances_at`.
fn next_due(
    bounds: &Bounds,
    config_at: MonotonicTime,
    instances_at: MonotonicTime,
) -> MonotonicTime {
    let config = config_at.plus(max_config_wait(bounds) + REPLY_MARGIN);
    let instances = instances_at.plus(instances_read_interval(bounds) + REPLY_MARGIN);
    config.min(instances)
}
