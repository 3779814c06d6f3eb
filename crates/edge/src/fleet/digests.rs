//! Exchange of load digests: builds this instance's digests and applies those of other instances.

use std::net::SocketAddr;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_policy::edge::exchange::{Digest, Role, UpstreamWork};
use xxhash_rust::xxh3::xxh3_64;

use super::costs::{ServiceCosts, costs_mut};
use super::{Fleet, Upstream};

impl Fleet {
    /// Sets this instance's role in the exchange, and the number of other instances.
    pub fn set_role(&mut self, role: Option<Role<SocketAddr>>, other_instances: usize) {
        self.exchange.set_role(role);
        self.other_instances = other_instances;
    }

    /// Whether this instance has a role in the exchange.
    pub fn has_role(&self) -> bool {
        self.exchange.has_role()
    }

    /// Whether this instance forwards what others send.
    pub fn is_relay(&self) -> bool {
        self.exchange.is_relay()
    }

    /// Returns the number of other instances considered alive.
    pub fn other_instances(&self) -> usize {
        self.other_instances
    }

    /// Returns the digests to send, each with its receiver.
    pub fn digests(&mut self, now: MonotonicTime) -> Vec<(SocketAddr, Digest)> {
        let work_of = |upstream: &Upstream| UpstreamWork {
            pending_ms: upstream.load.pending_ms().map(|ms| ms.round() as u32),
            requests: upstream.load.in_flight(),
            streams: upstream.streams,
        };
        let own: Vec<_> = self
            .upstreams
            .values()
            .filter(|upstream| upstream.load.in_flight() > 0 || upstream.streams > 0)
            .map(|upstream| (upstream.tag(), work_of(upstream)))
            .collect();
        self.exchange.sweep(now);
        let mut digests = self.exchange.digests(&own);
        let times = |(name, costs): (&Box<_>, &ServiceCosts)| {
            Some((service_tag(name), costs.prefill_rate.times()?))
        };
        let prefill_times: Vec<_> = self.costs.iter().filter_map(times).collect();
        for (_, digest) in &mut digests {
            digest.prefill_times.clone_from(&prefill_times);
        }
        digests
    }

    /// Applies the digest of another instance. Returns false and ignores it if none is expected
    /// from there.
    pub fn receive_digest(
        &mut self,
        from: SocketAddr,
        digest: &Digest,
        now: MonotonicTime,
    ) -> bool {
        if !self.exchange.record_digest(from, digest, now) {
            return false;
        }
        if self.exchange.is_relay() {
            self.load_changed.notify_one();
        }
        for (tag, times) in &digest.prefill_times {
            let known = self
                .by_service
                .keys()
                .find(|name| service_tag(name) == *tag);
            if let Some(name) = known {
                costs_mut(&mut self.costs, name).prefill_rate.adopt(*times);
            }
        }
        for block_use in &digest.block_uses {
            if let Some(key) = self.by_tag.get(&block_use.upstream) {
                self.prefix_locations.record_use(block_use.block, *key, now);
            }
        }
        true
    }

    /// Returns the number of other instances whose digests are known.
    pub fn heard_instances(&self) -> usize {
        self.exchange.reporting_instances() as usize
    }

    /// Returns the number of other instances whose digests are known, or `None` if it is 0 or less
    /// than half of the other instances.
    pub(super) fn reporting_instances(&self) -> Option<usize> {
        let known = self.exchange.reporting_instances() as usize;
        (known > 0 && known >= self.other_instances / 2).then_some(known)
    }
}

/// Returns the short id that identifies a service in load digests.
pub(super) fn service_tag(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}
