//! Whether an instance may gain tokens as an owner.
//!
//! Load pattern: an instance is cut off from the others and from the store for longer than the time
//! after which they take it for failed. Others then own its part. Its record in the store is old by
//! then, so it gains only in proportion to the instances that it hears.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;

/// Age of the own record in the store up to which no other instance takes this one for failed. The
/// others do so 20 s after its last record, or later while the store does not answer them.
const SAFE_RECORD_AGE: Duration = Duration::from_secs(10);

/// Time for which others count as heard. An instance whose relay has ended hears nobody until it
/// has found another one.
const HEARD_TIME: Duration = Duration::from_secs(3);

/// What an instance knows of its contact to the others.
#[derive(Debug, Clone, Copy)]
pub struct Contact {
    /// Whether the others know of this instance.
    pub has_joined: bool,
    /// Age of the own record in the store.
    pub record_age: Duration,
    /// Number of other instances that are heard.
    pub heard: usize,
    /// Number of other instances considered to run.
    pub known: usize,
}

/// Part of its rate, 0 to 1, that an owner gains.
#[derive(Debug, Clone, Copy, Default)]
pub struct GainFactor {
    heard: f64,
    heard_at: MonotonicTime,
}

impl GainFactor {
    /// Returns the factor for the contact at `now`.
    pub fn update(&mut self, contact: Contact, now: MonotonicTime) -> f64 {
        let heard = (contact.heard + 1) as f64 / (contact.known + 1) as f64;
        let heard = heard.min(1.0);
        if heard >= self.heard || now.since(self.heard_at) >= HEARD_TIME {
            (self.heard, self.heard_at) = (heard, now);
        }
        if !contact.has_joined {
            0.0
        } else if contact.record_age <= SAFE_RECORD_AGE {
            1.0
        } else {
            self.heard
        }
    }
}
