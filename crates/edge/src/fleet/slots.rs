//! Slots of engines for long streams.

use std::cell::RefCell;
use std::rc::Rc;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_policy::UpstreamKey;
use nutmegbay_policy::edge::placement::{EnginePhase, Placement};
use nutmegbay_policy::edge::stream_slots::SlotUse;
use nutmegbay_policy::edge::urgency::Urgency;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Fleet, Upstream};

/// Slot of a decode engine that a long stream takes after its prefill elsewhere. It counts as a
/// stream of the engine until it is dropped, so that other instances learn of it in time.
pub struct SlotClaim {
    fleet: Rc<RefCell<Fleet>>,
    key: UpstreamKey,
}

impl SlotClaim {
    /// Claims a slot of the engine `key`.
    pub fn new(fleet: &Rc<RefCell<Fleet>>, key: UpstreamKey) -> Self {
        let mut claimed = fleet.borrow_mut();
        if let Some(upstream) = claimed.upstreams.get_mut(key) {
            upstream.streams += 1;
        }
        claimed.load_changed.notify_one();
        Self {
            fleet: Rc::clone(fleet),
            key,
        }
    }
}

impl Drop for SlotClaim {
    fn drop(&mut self) {
        if let Some(upstream) = self.fleet.borrow_mut().upstreams.get_mut(self.key) {
            upstream.streams -= 1;
        }
    }
}

impl Fleet {
    /// Returns the upstreams that a new long stream avoids: those in `tried`, and decode engines on
    /// which it would wait for the end of another stream, unless it would wait on all others too.
    pub fn avoided_for_stream(
        &self,
        service: &str,
        tried: &[UpstreamKey],
        instances: usize,
        now: MonotonicTime,
    ) -> Vec<UpstreamKey> {
        let untried = self
            .service_keys(service)
            .filter(|key| self.is_ready(*key, now) && !tried.contains(key))
            .filter(|key| self.upstreams[*key].phase() == EnginePhase::Decode);
        let (free, full): (Vec<_>, Vec<_>) =
            untried.partition(|key| self.has_free_slot(&self.upstreams[*key], instances));
        if free.is_empty() {
            return tried.to_vec();
        }
        [tried, &full].concat()
    }

    /// Returns whether a long stream gets a slot of the engine `key` at once.
    pub fn takes_stream(&self, key: UpstreamKey, instances: usize) -> bool {
        let upstream = self.upstreams.get(key);
        upstream.is_some_and(|upstream| self.has_free_slot(upstream, instances))
    }

    fn has_free_slot(&self, upstream: &Upstream, instances: usize) -> bool {
        let hash = xxh3_64_with_seed(&upstream.hash.to_le_bytes(), self.own_hash);
        let position = hash as f64 / u64::MAX as f64;
        self.slot_use(upstream).has_free_slot(instances, position)
    }

    fn slot_use(&self, upstream: &Upstream) -> SlotUse {
        SlotUse {
            slots: upstream.report.slots,
            own: upstream.streams,
            others: self.reporting_instances().map(|known| {
                let scale = self.other_instances.max(known) as f64 / known as f64;
                f64::from(self.exchange.work(upstream.tag()).streams) * scale
            }),
        }
    }

    /// Predicts the time to the first result of a long stream from what is served before it: work of
    /// its own and more urgent classes, and the request that runs at the moment. Less urgent work
    /// gives its slots to it. Returns `None` if all slots are taken by long streams.
    pub fn stream_wait_ms(
        &self,
        placement: &Placement,
        urgency: Urgency,
        now: MonotonicTime,
    ) -> Option<f64> {
        let (at, decode, transfer_ms) = match *placement {
            Placement::Whole { at, .. } => (at, at, 0.0),
            Placement::Split {
                prefill,
                decode,
                transfer_ms,
                ..
            } => (prefill, decode, transfer_ms),
        };
        let (upstream, decode) = (self.upstreams.get(at)?, self.upstreams.get(decode)?);
        if !self.slot_use(decode).may_have_free_slot() {
            return None;
        }
        let ahead = self.ahead(upstream, urgency, 0.0, now);
        let running_ms = self.request_ms(&upstream.report.service);
        Some(ahead.backlog_ms + running_ms + placement.cost_ms() + transfer_ms)
    }
}
