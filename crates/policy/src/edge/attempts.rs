//! Estimate of how long a caller has been waiting since its first attempt.
//!
//! Load pattern: refused callers retry within their own deadline, and each attempt carries what
//! remains of it. First attempts vary as well, so a deadline below the longest one does not prove
//! that the caller has waited. Treating it as proof refused on-time requests and admitted late
//! ones.

use std::time::Duration;

/// Shortest deadline of a first attempt, as a fraction of the longest deadline of its route. In the
/// replayed load, the deadlines of first attempts were spread evenly over 0.85 to 1 of the route's
/// time.
const MIN_FIRST_ATTEMPT_FRACTION: f64 = 0.85;

/// Longest deadline of one route's requests.
#[derive(Debug, Clone, Copy, Default)]
pub struct Deadlines {
    longest: Duration,
}

impl Deadlines {
    /// Records the deadline of an attempt and returns the minimum time since its caller's first
    /// attempt. The result is zero if this can be the first attempt.
    pub fn min_elapsed(&mut self, deadline: Duration) -> Duration {
        self.longest = self.longest.max(deadline);
        self.longest
            .mul_f64(MIN_FIRST_ATTEMPT_FRACTION)
            .saturating_sub(deadline)
    }
}
