//! Follows a process that reads the store, in place of reading it.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use nutmegbay_core::world::Moment;
use tokio::time::sleep;

use super::{CHANGES_PATH, ChangesAsk, Reply, WireRecord, before, fetch};
use crate::follow::{
    after_instances, config_wait, drop_unlisted, instances_pause, take_config, take_instance,
};
use crate::http1::Caller;
use crate::port::Dialect;
use crate::settings::Bounds;
use crate::site::Site;

/// Time beyond the usual pace after which a relay is taken for lost: two answers of a slow store,
/// which take a quarter of a second each.
const MARGIN: Duration = Duration::from_millis(500);

/// Time between two looks at whether there is a relay to follow.
const LOOK_EVERY: Duration = Duration::from_millis(500);

/// Follows relays for as long as the process runs.
pub async fn follow<D: Dialect>(site: Rc<Site<D>>) {
    let mut caller: Option<(SocketAddr, Caller)> = None;
    loop {
        let Some(relay) = choose(&site) else {
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
            question(&site),
            longest_wait(&site.settings().bounds),
        )
        .await
        {
            Ok(reply) => take(&site, relay, reply),
            Err(error) => {
                let was_relayed = site.is_relayed();
                site.feed.borrow_mut().relay_failed(site.now());
                site.feed_lost.notify_waiters();
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

fn choose<D: Dialect>(site: &Site<D>) -> Option<SocketAddr> {
    let settings = site.settings();
    let now = site.now();
    let members = site.members.borrow();
    let relays = members.relays(&settings.node, now);
    let mut feed = site.feed.borrow_mut();
    let relays = if relays.has_own {
        Vec::new()
    } else {
        relays.others
    };
    let chosen = feed.choose(&relays, now);
    if chosen.is_some() {
        let others = members.others(&settings.node, now).count();
        feed.await_first_reply(others + 1, now);
    }
    if relays.is_empty() && feed.relayed_until(now).is_some() {
        tracing::info!(
            event = "reads_itself",
            instances = members.others(&settings.node, now).count() + 1
        );
        feed.stop_following();
        site.feed_lost.notify_waiters();
    }
    chosen
}

fn question<D: Dialect>(site: &Site<D>) -> Vec<u8> {
    let seen = site.seen.borrow();
    let ask = ChangesAsk {
        reads: site.feed.borrow().reported_reads().unwrap_or_default(),
        config_next: seen.config_next,
        instances_next: seen.instances_next,
        members_next: site.members.borrow().next(),
    };
    serde_json::to_vec(&ask).unwrap_or_else(|error| {
        tracing::error!(event = "question_not_encoded", %error);
        Vec::new()
    })
}

/// Follows what the relay has read.
fn take<D: Dialect>(site: &Rc<Site<D>>, relay: SocketAddr, reply: Reply) {
    let now = site.now();
    if let Some(config) = reply.config {
        take_config(site, &config.into_record(), "relay");
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
        drop_unlisted(site, &records, end, lapsing_until);
    }
    for record in records {
        take_instance(site, record, lapsing_until);
    }
    for member in reply.members {
        site.members.borrow_mut().saw(member, now);
    }
    let bounds = site.settings().bounds;
    let instances_at = before(now, Duration::from_millis(reply.age_ms));
    let config_at = before(now, Duration::from_millis(reply.config_age_ms));
    {
        let mut seen = site.seen.borrow_mut();
        seen.config_next = seen.config_next.max(reply.config_next);
        seen.config_at = seen.config_at.max(Some(config_at));
        seen.instances_next = seen.instances_next.max(reply.instances_next);
        seen.instances_at = seen.instances_at.max(Some(instances_at));
    }
    site.store_answers(true);
    after_instances(site);
    let due = next_due(&bounds, config_at, instances_at);
    let was_relayed = site.is_relayed();
    site.feed.borrow_mut().record_reply(reply.reads, due);
    if !was_relayed && site.is_relayed() {
        tracing::info!(event = "relay_followed", %relay, age_ms = reply.age_ms, config_age_ms = reply.config_age_ms);
    }
}

/// When the next reads of a relay are due that knows the configuration and the list of instances as
/// of the given moments.
fn next_due(bounds: &Bounds, config_at: Moment, instances_at: Moment) -> Moment {
    let config = config_at.plus(config_wait(bounds) + MARGIN);
    let instances = instances_at.plus(instances_pause(bounds) + MARGIN);
    config.min(instances)
}
