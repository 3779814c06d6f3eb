//! Placement of requests to plain services.

use super::{FAILURE_PENALTY_MS, OTHER_DOMAIN_PENALTY_MS};
use crate::UpstreamKey;

/// State of one upstream of a plain service, as input of the placement.
#[derive(Debug, Clone, Copy)]
pub struct PlainUpstream {
    /// Key of the upstream.
    pub key: UpstreamKey,
    /// Failure domain, as a number that is only compared.
    pub domain: u32,
    /// Requests at the upstream.
    pub requests: f64,
    /// Maximum number of requests that run at once.
    pub slots: u32,
    /// Fraction of recent requests that failed there, 0 to 1.
    pub failure_rate: f64,
}

/// Chooses the upstream of a plain service with the lowest score and returns it with the predicted
/// wait in milliseconds. `domain` is the failure domain of this instance, `mean_ms` the mean time
/// of a request in milliseconds. Returns `None` if there is no upstream.
pub fn place_plain(
    upstreams: &[PlainUpstream],
    domain: u32,
    mean_ms: f64,
) -> Option<(UpstreamKey, f64)> {
    upstreams
        .iter()
        .map(|upstream| {
            let slots = f64::from(upstream.slots.max(1));
            let wait_ms = (upstream.requests + 1.0 - slots).max(0.0) * mean_ms / slots;
            // Upstreams slow down before they are full, so an even spread is best.
            let spread_ms = upstream.requests / slots * mean_ms;
            let domain_ms = if upstream.domain == domain {
                0.0
            } else {
                OTHER_DOMAIN_PENALTY_MS
            };
            let score =
                wait_ms + spread_ms + domain_ms + upstream.failure_rate * FAILURE_PENALTY_MS;
            (upstream.key, wait_ms, score)
        })
        .min_by(|a, b| a.2.total_cmp(&b.2))
        .map(|(key, wait_ms, _)| (key, wait_ms))
}
