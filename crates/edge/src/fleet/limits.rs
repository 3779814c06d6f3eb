//! Limits that upstreams state on their requests, and whether they want any.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_policy::UpstreamKey;
use nutmegbay_policy::edge::limit_owners::LimitOwners;
use nutmegbay_policy::edge::software_versions::VersionTag;
use nutmegbay_policy::edge::upstream_limit::LimitNews;

use super::{Fleet, Upstream};
use crate::clock::millis;

/// Cause of a request that is refused because all upstreams that accept requests state limits, and
/// this instance has used up its shares.
const UPSTREAM_LIMIT: &str = "upstream_limit";

/// Cause of a request that is refused because all upstreams that accept requests want none from this
/// instance for some time.
const UPSTREAM_PAUSED: &str = "upstream_paused";

/// Cause of a request that is not sent because the upstream has stated that it leaves.
const UPSTREAM_LEAVING: &str = "upstream_leaving";

/// Maximum number of limits in one datagram.
const MAX_LIMIT_NEWS: usize = 100;

impl Fleet {
    /// Sets the instances among which the limits of upstreams are divided, see
    /// [`LimitOwners::update`].
    pub fn share_limits(
        &mut self,
        others: Vec<u64>,
        is_current: bool,
        has_joined: bool,
        now: MonotonicTime,
    ) {
        let owners = &mut self.limit_owners;
        if owners.update(others, is_current, has_joined, now) {
            for upstream in self.upstreams.values_mut() {
                update_share(upstream, owners, now);
            }
        }
    }

    /// Records the limit that the response to a request states, which was sent at `sent_at`.
    pub fn record_limit(
        &mut self,
        key: UpstreamKey,
        per_s: Option<f64>,
        sent_at: MonotonicTime,
        now: MonotonicTime,
    ) {
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        let before = upstream.limit.limit();
        if upstream.limit.record_response(per_s, sent_at, now) {
            update_share(upstream, &self.limit_owners, now);
            log_limit(upstream, before, "response");
        }
    }

    /// Applies what another instance knows of limits. `is_forwarded` states whether this instance
    /// passes it on.
    pub fn merge_limits(&mut self, news: &[LimitNews], is_forwarded: bool, now: MonotonicTime) {
        for news in news {
            let key = self.by_tag.get(&news.upstream);
            let Some(upstream) = key.and_then(|key| self.upstreams.get_mut(*key)) else {
                continue;
            };
            let before = upstream.limit.limit();
            if upstream.limit.merge(news, is_forwarded, now) {
                update_share(upstream, &self.limit_owners, now);
                log_limit(upstream, before, "peer");
            }
        }
    }

    /// Returns what is due to be told to other instances.
    pub fn take_limit_news(&mut self, now: MonotonicTime) -> Vec<LimitNews> {
        let take = |upstream: &mut Upstream| {
            let tag = upstream.tag();
            upstream.limit.take_news(tag, now)
        };
        let upstreams = self.upstreams.values_mut();
        upstreams.filter_map(take).take(MAX_LIMIT_NEWS).collect()
    }

    /// Counts a request that is being sent to an upstream. Returns the cause if it must not be sent:
    /// the upstream leaves or wants none now, or this instance has used up its share of its limit.
    pub fn try_send(&mut self, key: UpstreamKey, now: MonotonicTime) -> Result<(), &'static str> {
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return Ok(());
        };
        match upstream.notices {
            notices if notices.is_leaving() => Err(UPSTREAM_LEAVING),
            notices if !notices.pause_left(now).is_zero() => Err(UPSTREAM_PAUSED),
            _ if !upstream.limit.try_send(now) => Err(UPSTREAM_LIMIT),
            _ => Ok(()),
        }
    }

    /// Records what a response states about further requests to its upstream.
    pub fn record_notices(
        &mut self,
        key: UpstreamKey,
        is_leaving: bool,
        pause: Option<Duration>,
        now: MonotonicTime,
    ) {
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        let id = &upstream.id;
        let in_flight = upstream.load.in_flight();
        if is_leaving && upstream.notices.record_leaving() {
            tracing::info!(event = "upstream_leaving", upstream = %id, in_flight);
        }
        if let Some(pause) = pause
            && upstream.notices.record_pause(pause, now)
        {
            let pause_ms = millis(upstream.notices.pause_left(now));
            tracing::info!(event = "upstream_paused", upstream = %id, pause_ms, in_flight);
        }
    }

    /// Returns the time until this instance may send a request to an upstream, or `None` if it has
    /// no share of its limit.
    pub fn send_wait(&self, key: UpstreamKey, now: MonotonicTime) -> Option<Duration> {
        let upstream = self.upstreams.get(key)?;
        let wait = upstream.limit.wait(now)?;
        Some(wait.max(upstream.notices.pause_left(now)))
    }

    /// Returns why no upstream of `service`, and of `version` if it is given, gets requests now
    /// although some accept them, and the time until one of them does, if that is known. Returns
    /// `None` if none accepts requests at all.
    pub fn busy_cause(
        &self,
        service: &str,
        version: Option<VersionTag>,
        now: MonotonicTime,
    ) -> Option<(&'static str, Option<Duration>)> {
        let keys = || {
            self.keys_of_version(service, version)
                .filter(|key| self.is_ready(*key, now) && !self.takes_work(*key, now))
        };
        keys().next()?;
        let is_paused = |key| !self.upstreams[key].notices.pause_left(now).is_zero();
        let cause = if keys().all(is_paused) {
            UPSTREAM_PAUSED
        } else {
            UPSTREAM_LIMIT
        };
        let wait = keys().filter_map(|key| self.send_wait(key, now)).min();
        Some((cause, wait))
    }
}

fn update_share(upstream: &mut Upstream, owners: &LimitOwners, now: MonotonicTime) {
    let limit = upstream.limit.limit().unwrap_or(0.0);
    let share = owners.share(upstream.hash, limit);
    upstream.limit.set_share(share, rand::random(), now);
    let rank = owners.rank(upstream.hash);
    upstream.limit.set_turn(rank, owners.count());
}

fn log_limit(upstream: &Upstream, before_per_s: Option<f64>, source: &'static str) {
    tracing::info!(
        event = "upstream_limit",
        upstream = %upstream.id,
        per_s = upstream.limit.limit(),
        before_per_s,
        share_per_s = upstream.limit.share(),
        in_flight = upstream.load.in_flight(),
        source,
    );
}
