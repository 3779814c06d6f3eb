//! Longest times for which callers have stated to wait, by service. A caller may take its stream up
//! until then, so the versions and the origins of streams are kept for as long.
//!
//! Each instance sees the statements of its own callers. A longer one than known so far goes to the
//! others with the load digests, with the requests to relays and their replies, and to the store.

use std::time::Duration;

use nutmegbay_policy::edge::software_versions::MAX_CALLER_WAIT;
use nutmegbay_policy::edge::stream_origins::{CallerWait, ServiceTag};

use super::{ServiceVersions, Versions, service_tag};
use crate::clock::millis;
use crate::platform_api::WireCodec;
use crate::state::EdgeState;

/// Number of digests with which a longer wait is sent, since datagrams may be lost.
const NEWS_REPEATS: u8 = 3;

/// News about longer waits.
#[derive(Debug, Default)]
pub struct WaitNews {
    /// Number of digests with which they are still to be sent.
    remaining: u8,
}

impl Versions {
    /// Returns the longest waits of the callers of all services.
    pub fn caller_waits(&self) -> Vec<CallerWait> {
        let waits = self.by_service.values().filter_map(|known| {
            Some(CallerWait {
                service: known.tag,
                wait_ms: millis(known.bounds.caller_wait?),
            })
        });
        waits.collect()
    }

    /// Returns the longest waits if they are due to be sent to the peers.
    pub fn take_wait_news(&mut self) -> Vec<CallerWait> {
        let Some(remaining) = self.wait_news.remaining.checked_sub(1) else {
            return Vec::new();
        };
        self.wait_news.remaining = remaining;
        self.caller_waits()
    }

    /// Records a wait. Returns whether it is longer than known so far.
    fn record_wait(&mut self, service: ServiceTag, wait: Duration) -> bool {
        let grew = self
            .tagged(service)
            .is_some_and(|known| known.record_wait(wait));
        if grew {
            self.wait_news.remaining = NEWS_REPEATS;
            self.changed.notify_one();
        }
        grew
    }
}

impl ServiceVersions {
    /// Records a wait. Returns whether it is longer than known so far.
    pub fn record_wait(&mut self, wait: Duration) -> bool {
        let wait = Some(rounded_up(wait).min(MAX_CALLER_WAIT));
        let grew = wait > self.bounds.caller_wait;
        self.bounds.caller_wait = wait.max(self.bounds.caller_wait);
        grew
    }
}

/// Rounds a wait up to a power of two in seconds, so that slightly longer ones are no news.
fn rounded_up(wait: Duration) -> Duration {
    let whole = wait.as_secs().saturating_add(1);
    Duration::from_secs(whole.checked_next_power_of_two().unwrap_or(u64::MAX))
}

/// Records that a caller of a service's resumable stream waits for `wait` from now on.
pub fn record_caller_wait<D: WireCodec>(state: &EdgeState<D>, service: &str, wait: Duration) {
    let mut versions = state.versions.borrow_mut();
    if versions.record_wait(service_tag(service), wait) {
        tracing::info!(event = "caller_wait", service, wait_ms = millis(wait));
        state.fleet.borrow().load_changed.notify_one();
    }
}

/// Records the waits that a peer knows. Those that are longer are passed on.
pub fn merge_waits<D: WireCodec>(state: &EdgeState<D>, waits: &[CallerWait]) {
    let mut versions = state.versions.borrow_mut();
    for CallerWait { service, wait_ms } in waits {
        // A peer states rounded waits.
        let wait = Duration::from_millis(*wait_ms).saturating_sub(Duration::from_secs(1));
        if versions.record_wait(*service, wait) {
            state.fleet.borrow().load_changed.notify_one();
        }
    }
}
