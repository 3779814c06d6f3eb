//! Demand counted once for each request, however often and wherever it is sent.

use std::collections::HashMap;
use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_core::ids::Fingerprint;

use super::Demand;

/// Time for which a request is remembered after it was sent last.
const REMEMBERED_FOR: Duration = Duration::from_mins(1);

/// Sums the demand of new requests at the planner.
///
/// Refused callers repeat at once at other gateways, so that sums of the gateways count a request
/// several times in an overload. Gateways send fingerprints in place of sums; to keep messages
/// small, only one of `sample` fingerprints is sent, the same ones at every gateway.
#[derive(Debug)]
pub struct DemandLedger {
    sample: u32,
    seen: HashMap<Fingerprint, MonotonicTime>,
    swept: MonotonicTime,
    new: Demand,
}

impl DemandLedger {
    /// Creates a ledger for one of `sample` fingerprints.
    pub fn new(sample: u32) -> Self {
        Self {
            sample: sample.max(1),
            seen: HashMap::new(),
            swept: MonotonicTime::default(),
            new: Demand::default(),
        }
    }

    /// Whether a gateway is to send this fingerprint.
    pub fn is_sampled(&self, work: Fingerprint) -> bool {
        work.0.is_multiple_of(u128::from(self.sample))
    }

    /// Counts a request unless it was counted before.
    pub fn count(&mut self, work: Fingerprint, demand: Demand, now: MonotonicTime) {
        if !self.is_sampled(work) {
            return;
        }
        if self.seen.insert(work, now).is_none() {
            let weight = f64::from(self.sample);
            self.new.prefill += demand.prefill * weight;
            self.new.decode += demand.decode * weight;
        }
    }

    /// Demand counted since the last call.
    pub fn take(&mut self, now: MonotonicTime) -> Demand {
        if now.since(self.swept) > REMEMBERED_FOR {
            self.seen
                .retain(|_, last| now.since(*last) <= REMEMBERED_FOR);
            self.swept = now;
        }
        std::mem::take(&mut self.new)
    }
}
