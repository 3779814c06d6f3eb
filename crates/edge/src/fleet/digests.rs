//! What this instance tells others of its work, and what it hears of theirs.

use std::net::SocketAddr;

use nutmegbay_core::world::Moment;
use nutmegbay_policy::edge::exchange::{Digest, Role, Work};
use xxhash_rust::xxh3::xxh3_64;

use super::costs::{ServiceCosts, costs_mut};
use super::{Fleet, Upstream};

impl Fleet {
    /// Takes a part in the exchange among `others` instances.
    pub fn set_role(&mut self, role: Option<Role<SocketAddr>>, other_instances: usize) {
        self.exchange.set_role(role);
        self.other_instances = other_instances;
    }

    /// Other instances that are believed to run.
    pub fn other_instances(&self) -> usize {
        self.other_instances
    }

    /// Digests of this instance's work for others.
    pub fn digests(&mut self, now: Moment) -> Vec<(SocketAddr, Digest)> {
        let work_of = |upstream: &Upstream| Work {
            pending_ms: upstream.load.pending_ms().map(|ms| ms.round() as u32),
            requests: upstream.load.in_flight(),
            streams: upstream.streams,
        };
        let own: Vec<_> = self
            .upstreams
            .values()
            .filter(|upstream| upstream.load.in_flight() > 0)
            .map(|upstream| (upstream.tag(), work_of(upstream)))
            .collect();
        self.exchange.sweep(now);
        let mut digests = self.exchange.digests(&own);
        let times = |(name, costs): (&Box<_>, &ServiceCosts)| {
            Some((service_tag(name), costs.prefill_rate.times()?))
        };
        let reads: Vec<_> = self.costs.iter().filter_map(times).collect();
        for (_, digest) in &mut digests {
            digest.reads.clone_from(&reads);
        }
        digests
    }

    /// Notes the digest of another instance.
    pub fn receive_digest(&mut self, from: SocketAddr, digest: &Digest, now: Moment) {
        if !self.exchange.received(from, digest, now) {
            return;
        }
        if self.exchange.passes_on() {
            self.load_changed.notify_one();
        }
        for (tag, times) in &digest.reads {
            let known = self
                .by_service
                .keys()
                .find(|name| service_tag(name) == *tag);
            if let Some(name) = known {
                costs_mut(&mut self.costs, name).prefill_rate.heard(*times);
            }
        }
        for used in &digest.uses {
            if let Some(key) = self.by_tag.get(&used.upstream) {
                self.prefixes.used(used.part, *key, now);
            }
        }
    }

    /// Other instances that have told of their work; none while most have not.
    pub(super) fn reporting_instances(&self) -> Option<usize> {
        let known = self.exchange.instances() as usize;
        (known > 0 && known >= self.other_instances / 2).then_some(known)
    }
}

/// Short name of a service among instances.
fn service_tag(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}
