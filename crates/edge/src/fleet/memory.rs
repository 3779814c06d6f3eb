//! Request bodies that upstreams hold, for all instances together.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_policy::UpstreamKey;
use nutmegbay_policy::edge::upstream_memory::{CrashNews, HeldHere, HeldNews, has_room};
use serde::{Deserialize, Serialize};

use super::digests::service_tag;
use super::{Fleet, Upstream};

/// Time from a broken request until a refused connection shows that its upstream has crashed.
const MAX_CRASH_DELAY: Duration = Duration::from_secs(5);

/// Maximum number of upstreams whose sizes go into one datagram.
const MAX_HELD_NEWS: usize = 100;

/// Bodies at one upstream.
#[derive(Debug, Default)]
pub struct UpstreamBodies {
    /// Bodies that this instance has sent.
    here: HeldHere,
    /// Bytes that the upstream held when a request broke, and the time.
    broken: Option<(u64, MonotonicTime)>,
}

impl UpstreamBodies {
    /// Records a body that is being sent.
    pub fn record_sent(&mut self, bytes: u64) {
        self.here.record_sent(bytes);
    }

    /// Records that the request with a body has ended.
    pub fn record_end(&mut self, bytes: u64) {
        self.here.record_end(bytes);
    }
}

/// What instances tell each other of bodies at upstreams.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct MemoryNews {
    held: Vec<HeldNews>,
    crashes: Vec<CrashNews>,
}

impl MemoryNews {
    /// Returns whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty() && self.crashes.is_empty()
    }
}

impl Fleet {
    /// Returns the bytes of the bodies that an upstream holds.
    fn held_bytes(&self, upstream: &Upstream, now: MonotonicTime) -> u64 {
        let elsewhere = self.held_elsewhere.bytes(upstream.tag(), now);
        upstream.bodies.here.bytes().saturating_add(elsewhere)
    }

    /// Returns whether an upstream may be sent a body of `bytes`.
    pub fn has_room_for(&self, key: UpstreamKey, bytes: usize, now: MonotonicTime) -> bool {
        let Some(upstream) = self.upstreams.get(key) else {
            return true;
        };
        let estimate = self.memory.get(&upstream.report.service);
        let untold = upstream.bodies.here.untold_elsewhere(self.other_instances);
        estimate
            .and_then(|estimate| estimate.limit(now))
            .is_none_or(|limit| {
                let held = self.held_bytes(upstream, now).saturating_add(untold);
                has_room(held, bytes as u64, limit)
            })
    }

    /// Returns the upstreams of a service that may not be sent a body of `bytes`.
    pub fn full_upstreams(
        &self,
        service: &str,
        bytes: usize,
        now: MonotonicTime,
    ) -> Vec<UpstreamKey> {
        let estimate = self.memory.get(service);
        if estimate.and_then(|estimate| estimate.limit(now)).is_none() {
            return Vec::new();
        }
        self.service_keys(service)
            .filter(|key| !self.has_room_for(*key, bytes, now))
            .collect()
    }

    /// Records that an upstream has answered, with all the bodies that it held.
    pub fn record_survived(&mut self, key: UpstreamKey, now: MonotonicTime) {
        let Some(upstream) = self.upstreams.get(key) else {
            return;
        };
        let bytes = self.held_bytes(upstream, now);
        if let Some(estimate) = self.memory.get_mut(&upstream.report.service) {
            estimate.record_survived(bytes);
        } else if bytes > 0 {
            let service = upstream.report.service.clone();
            self.memory
                .entry(service)
                .or_default()
                .record_survived(bytes);
        }
    }

    /// Records that a request broke at an upstream. Returns the bytes that the upstream held.
    pub fn record_broken(&mut self, key: UpstreamKey, now: MonotonicTime) -> u64 {
        let Some(upstream) = self.upstreams.get(key) else {
            return 0;
        };
        let bytes = self.held_bytes(upstream, now);
        if let Some(upstream) = self.upstreams.get_mut(key) {
            let before = upstream.bodies.broken;
            let before = before.filter(|(_, at)| now.since(*at) < MAX_CRASH_DELAY);
            if before.is_none_or(|(known, _)| bytes > known) {
                upstream.bodies.broken = Some((bytes, now));
            }
        }
        bytes
    }

    /// Records that an upstream has ended. If requests broke just before, it has crashed with what
    /// it held. `max_body` is the size of the largest body in bytes.
    pub fn record_memory_crash(&mut self, key: UpstreamKey, max_body: usize, now: MonotonicTime) {
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        let broken = upstream.bodies.broken.take();
        let Some((bytes, _)) = broken.filter(|(_, at)| now.since(*at) < MAX_CRASH_DELAY) else {
            return;
        };
        let service = &upstream.report.service;
        let estimate = self.memory.entry(service.clone()).or_default();
        if estimate.record_crash(bytes, max_body as u64, now) {
            tracing::warn!(
                event = "upstream_memory",
                upstream = %upstream.id,
                service = %service,
                held_bytes = bytes,
                limit = estimate.limit(now),
                source = "crash",
            );
            self.load_changed.notify_one();
        }
    }

    /// Applies what another instance tells of bodies at upstreams.
    pub fn merge_memory(&mut self, news: &MemoryNews, is_forwarded: bool, now: MonotonicTime) {
        for held in &news.held {
            if held.instance != self.own_hash && self.by_tag.contains_key(&held.upstream) {
                self.held_elsewhere.merge(held, is_forwarded, now);
            }
        }
        for crash in &news.crashes {
            let mut names = self.by_service.keys();
            let Some(name) = names.find(|name| service_tag(name) == crash.service) else {
                continue;
            };
            let estimate = self.memory.entry(name.clone()).or_default();
            if estimate.merge_crash(crash.kib, is_forwarded, now) {
                tracing::info!(
                    event = "upstream_memory",
                    service = %name,
                    limit = estimate.limit(now),
                    source = "peer",
                );
            }
        }
    }

    /// Returns what is due to be told to other instances.
    pub fn take_memory_news(&mut self, now: MonotonicTime) -> MemoryNews {
        let mut held = Vec::new();
        for upstream in self.upstreams.values_mut() {
            if held.len() >= MAX_HELD_NEWS {
                break;
            }
            let Some(kib) = upstream.bodies.here.take_news(now) else {
                continue;
            };
            self.held_sequence = self.held_sequence.wrapping_add(1);
            held.push(HeldNews {
                instance: self.own_hash,
                upstream: upstream.tag(),
                kib,
                sequence: self.held_sequence,
            });
        }
        held.extend(self.held_elsewhere.take_news());
        let crashes = self.memory.iter_mut().filter_map(|(name, estimate)| {
            Some(CrashNews {
                service: service_tag(name),
                kib: estimate.take_news()?,
            })
        });
        MemoryNews {
            held,
            crashes: crashes.collect(),
        }
    }
}
