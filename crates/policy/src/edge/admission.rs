//! Whether a request is refused at once.
//!
//! Load pattern: more prompts than the engines can read. Work that waits past its objective earns
//! little and makes what comes after it late as well, so a request whose first token cannot be on
//! time is refused before it waits, and told when room is expected.

use std::time::Duration;

/// Part of the objective that a prediction may use; the rest covers its error.
const OBJECTIVE_PART: f64 = 0.9;

/// Part of the objective up to which work that is late already may wait, so that it does not
/// displace what can be on time.
const LATE_PART: f64 = 0.5;

/// Part of the objective for which a request may wait beside its own time when it cannot be on time. A
/// prompt that takes longer to read than its objective would otherwise be refused at each attempt.
const LATE_WAIT_PART: f64 = 0.4;

/// Shortest Retry-After: the way of a refusal to the caller and back.
const LEAST_RETRY_MS: f64 = 40.0;

/// Shortest Retry-After of a request that is refused for want of room. Bursts last for seconds and a
/// returning caller is late in any case: sooner, it would mostly be refused again.
const LEAST_RETURN_MS: f64 = 300.0;

/// Callers that were refused together are spread over this factor of the time until room is
/// expected.
const SPREAD: f64 = 1.5;

/// A request that asks to be admitted.
#[derive(Debug, Clone, Copy)]
pub struct Claim {
    /// Time to the first result if it is admitted.
    pub first_ms: f64,
    /// Part of that time that is its own work, which no wait shortens.
    pub cost_ms: f64,
    /// Time within which its result is on time, from the caller's first attempt.
    pub objective: Duration,
    /// Time since the caller's first attempt.
    pub elapsed: Duration,
    /// Time for which the caller still waits.
    pub left: Duration,
}

/// Decision on a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Decision {
    /// It runs.
    Admit,
    /// It is refused.
    Refuse {
        /// When room is expected.
        retry_after: Duration,
    },
}

/// Decides on a request. `unit` is a random number from 0 to 1 that spreads returning callers.
pub fn decide(claim: Claim, unit: f64) -> Decision {
    let objective_ms = millis(claim.objective);
    let on_time_ms = objective_ms * OBJECTIVE_PART - millis(claim.elapsed);
    let limit_ms = if on_time_ms >= claim.first_ms {
        return Decision::Admit;
    } else if on_time_ms > claim.cost_ms {
        on_time_ms
    } else {
        // It is late wherever it waits. It must not displace what can be on time.
        let beside_ms = claim.cost_ms + objective_ms * LATE_WAIT_PART;
        beside_ms.max(objective_ms * LATE_PART)
    };
    if claim.first_ms <= limit_ms.min(millis(claim.left)) {
        return Decision::Admit;
    }
    Decision::Refuse {
        retry_after: retry_after((claim.first_ms - limit_ms).max(LEAST_RETURN_MS), unit),
    }
}

/// Retry-After for room that is expected in `room_ms`.
pub fn retry_after(room_ms: f64, unit: f64) -> Duration {
    let ms = (room_ms * (1.0 + SPREAD * unit)).max(LEAST_RETRY_MS * (1.0 + unit));
    Duration::try_from_secs_f64(ms / 1e3).unwrap_or_default()
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}
