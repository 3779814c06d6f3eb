//! Demand ledger that counts each request once, however often it is sent and to which gateway.

use std::collections::HashMap;
use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_core::ids::Fingerprint;

use super::Demand;

/// Time for which a request is remembered after it was last sent.
const REQUEST_TTL: Duration = Duration::from_mins(1);

/// Sums the demand of new requests at the planner.
///
/// Refused callers repeat at once at other gateways, so in an overload the sums of the gateways
/// count a request several times. Gateways therefore send fingerprints instead of sums. To keep
/// messages small, they send only one of `one_in` fingerprints, which are the same at every
/// gateway.
#[derive(Debug)]
pub struct DemandLedger {
    one_in: u32,
    last_sent: HashMap<Fingerprint, MonotonicTime>,
    swept_at: MonotonicTime,
    counted: Demand,
}

impl DemandLedger {
    /// Creates a ledger that counts one of `one_in` fingerprints and scales its demand up
    /// accordingly.
    pub fn new(one_in: u32) -> Self {
        Self {
            one_in: one_in.max(1),
            last_sent: HashMap::new(),
            swept_at: MonotonicTime::default(),
            counted: Demand::default(),
        }
    }

    /// Returns whether gateways send this fingerprint.
    pub fn is_sampled(&self, work: Fingerprint) -> bool {
        work.0.is_multiple_of(u128::from(self.one_in))
    }

    /// Adds the demand of a request unless it was counted before.
    pub fn record(&mut self, work: Fingerprint, demand: Demand, now: MonotonicTime) {
        if !self.is_sampled(work) {
            return;
        }
        if self.last_sent.insert(work, now).is_none() {
            let weight = f64::from(self.one_in);
            self.counted.prefill += demand.prefill * weight;
            self.counted.decode += demand.decode * weight;
        }
    }

    /// Returns the demand counted since the last call, and forgets old fingerprints.
    pub fn take(&mut self, now: MonotonicTime) -> Demand {
        if now.since(self.swept_at) > REQUEST_TTL {
            self.last_sent
                .retain(|_, last| now.since(*last) <= REQUEST_TTL);
            self.swept_at = now;
        }
        std::mem::take(&mut self.counted)
    }
}
