//! Limits that upstreams state on their requests.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_policy::UpstreamKey;
use nutmegbay_policy::edge::limit_owners::LimitOwners;
use nutmegbay_policy::edge::upstream_limit::LimitNews;

use super::{Fleet, Upstream};

/// Maximum number of limits in one datagram.
const MAX_LIMIT_NEWS: usize = 100;

impl Fleet {
    /// Sets the instances among which the limits of upstreams are divided, see
    /// [`LimitOwners::update`].
    pub fn share_limits(
        &mut self,
        others: Vec<u64>,
        is_complete: bool,
        has_joined: bool,
        now: MonotonicTime,
    ) {
        let owners = &mut self.limit_owners;
        if owners.update(others, is_complete, has_joined) {
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

    /// Counts a request that is being sent to an upstream. Returns false if this instance has used
    /// up its share of the upstream's limit.
    pub fn try_send(&mut self, key: UpstreamKey, now: MonotonicTime) -> bool {
        let upstream = self.upstreams.get_mut(key);
        upstream.is_none_or(|upstream| upstream.limit.try_send(now))
    }

    /// Returns whether an upstream of `service` that accepts requests gets none because of its
    /// limit.
    pub fn has_limited(&self, service: &str, now: MonotonicTime) -> bool {
        self.service_keys(service)
            .any(|key| self.is_ready(key, now) && !self.takes_work(key, now))
    }

    /// Returns the time until this instance may send a request to one of the upstreams of `service`
    /// that accept requests, or `None` if it has no share of their limits.
    pub fn limit_wait(&self, service: &str, now: MonotonicTime) -> Option<Duration> {
        self.service_keys(service)
            .filter(|key| self.is_ready(*key, now))
            .filter_map(|key| self.upstreams[key].limit.wait(now))
            .min()
    }
}

fn update_share(upstream: &mut Upstream, owners: &LimitOwners, now: MonotonicTime) {
    let limit = upstream.limit.limit().unwrap_or(0.0);
    let share = owners.share(upstream.hash, limit);
    upstream.limit.set_share(share, rand::random(), now);
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
