//! Admission: decides whether a request runs or is refused at once.
//!
//! Load pattern: more prompts arrive than the engines can prefill. A request that waits past its
//! objective is worth little and delays the requests behind it. A request whose first result cannot
//! be on time is therefore refused before it waits, with a Retry-After for when capacity is
//! expected.

use std::time::Duration;

/// Fraction of the objective that a predicted first result may use. The rest is a margin for the
/// prediction error.
const ON_TIME_FRACTION: f64 = 0.9;

/// Limit of the predicted first result of a late request, as a fraction of the objective. Late
/// requests must not displace requests that can be on time.
const LATE_LIMIT_FRACTION: f64 = 0.5;

/// Maximum wait of a late request beyond its own cost, as a fraction of the objective. Without it,
/// a prompt whose prefill alone exceeds the objective would be refused at every attempt.
const LATE_WAIT_FRACTION: f64 = 0.4;

/// Maximum wait of a request that is beyond its account's part, without its own cost, as a fraction
/// of the objective. Requests within their part can then be on time behind it, and the queue is long
/// enough to keep the engines busy.
const BEYOND_PART_WAIT_FRACTION: f64 = 0.4;

/// Like [`BEYOND_PART_WAIT_FRACTION`], for a late request while room is short. It lies below the queue
/// behind which requests beyond their account's part are on time.
const SHORT_LATE_WAIT_FRACTION: f64 = 0.3;

/// Like [`SHORT_LATE_WAIT_FRACTION`], for a late request that is beyond its account's part.
const BEYOND_PART_LATE_WAIT_FRACTION: f64 = 0.15;

/// Minimum Retry-After, in milliseconds: the round trip of a refusal and the next attempt.
const MIN_RETRY_AFTER_MS: f64 = 40.0;

/// Minimum time until capacity is expected after a refusal for lack of capacity, in milliseconds.
/// Bursts last for seconds and a returning caller is late in any case, so an earlier retry would
/// mostly be refused again.
const MIN_OVERLOAD_RETRY_AFTER_MS: f64 = 300.0;

/// Maximum jitter of Retry-After, as a factor on the time until capacity is expected. It spreads
/// callers that were refused together.
const RETRY_JITTER: f64 = 1.5;

/// Request that waits for an admission decision.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionRequest {
    /// Predicted time to the first result if it is admitted, in milliseconds.
    pub first_result_ms: f64,
    /// Part of `first_result_ms` that is the request's own work, which a shorter queue does not
    /// reduce.
    pub cost_ms: f64,
    /// Maximum time to the first result that counts as on time, from the caller's first attempt.
    pub objective: Duration,
    /// Time since the caller's first attempt.
    pub elapsed: Duration,
    /// Time until the caller's deadline.
    pub remaining: Duration,
}

/// Admission decision on a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Decision {
    /// The request runs.
    Admit,
    /// The request is refused.
    Refuse {
        /// Time after which capacity is expected, with jitter.
        retry_after: Duration,
    },
}

/// Decides on a request. `jitter` is a random number from 0 to 1 that spreads the retries of
/// refused callers.
pub fn decide(request: AdmissionRequest, jitter: f64) -> Decision {
    let objective_ms = millis(request.objective);
    let on_time_ms = objective_ms * ON_TIME_FRACTION - millis(request.elapsed);
    let limit_ms = if on_time_ms >= request.first_result_ms {
        return Decision::Admit;
    } else if on_time_ms > request.cost_ms {
        on_time_ms
    } else {
        // Its own cost already makes it late, even without a queue.
        let with_wait_ms = request.cost_ms + objective_ms * LATE_WAIT_FRACTION;
        with_wait_ms.max(objective_ms * LATE_LIMIT_FRACTION)
    };
    if request.first_result_ms <= limit_ms.min(millis(request.remaining)) {
        return Decision::Admit;
    }
    Decision::Refuse {
        retry_after: retry_after(
            overload_retry_ms(request.first_result_ms - limit_ms),
            jitter,
        ),
    }
}

/// Position of a request among those of its account while room is short.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Share {
    /// Within the account's part.
    Within,
    /// Beyond the account's part.
    Beyond,
}

/// Decides on a request while engine time is short. On time goes before late, and within an account's
/// part before beyond it: each is admitted only behind a queue that leaves the ones before it on time.
/// The request's own cost does not count, so large and small ones are treated alike. `jitter` is a
/// random number from 0 to 1.
pub fn decide_in_short_room(request: AdmissionRequest, share: Share, jitter: f64) -> Decision {
    let is_late = request.elapsed >= request.objective.mul_f64(ON_TIME_FRACTION);
    let wait_fraction = match (share, is_late) {
        (Share::Within, false) => return decide(request, jitter),
        (Share::Within, true) => SHORT_LATE_WAIT_FRACTION,
        (Share::Beyond, false) => BEYOND_PART_WAIT_FRACTION,
        (Share::Beyond, true) => BEYOND_PART_LATE_WAIT_FRACTION,
    };
    let wait_ms = request.first_result_ms - request.cost_ms;
    let limit_ms = millis(request.objective) * wait_fraction;
    if wait_ms <= limit_ms {
        return decide(request, jitter);
    }
    Decision::Refuse {
        retry_after: retry_after(overload_retry_ms(wait_ms - limit_ms), jitter),
    }
}

/// Decides on a long stream for which a slot is free. A refusal would make its first result later
/// and leave the slot unused, so the objective for the first result does not apply. `jitter` is a
/// random number from 0 to 1.
pub fn decide_with_slot(request: AdmissionRequest, jitter: f64) -> Decision {
    decide_by_deadline(request, jitter)
}

/// Decides on a stream that its caller takes up after it broke off. What the caller has of it would
/// be lost with a refusal, so the objective for the first result does not apply: it is refused only
/// if it cannot go on before the deadline. `jitter` is a random number from 0 to 1.
pub fn decide_taken_up(request: AdmissionRequest, jitter: f64) -> Decision {
    decide_by_deadline(request, jitter)
}

fn decide_by_deadline(request: AdmissionRequest, jitter: f64) -> Decision {
    let late_ms = request.first_result_ms - millis(request.remaining);
    if late_ms <= 0.0 {
        return Decision::Admit;
    }
    Decision::Refuse {
        retry_after: retry_after(overload_retry_ms(late_ms), jitter),
    }
}

/// Returns the time until capacity is expected after a refusal for lack of capacity, in
/// milliseconds, where `capacity_ms` is the time until the capacity for one request.
pub fn overload_retry_ms(capacity_ms: f64) -> f64 {
    capacity_ms.max(MIN_OVERLOAD_RETRY_AFTER_MS)
}

/// Returns the Retry-After for capacity that is expected in `capacity_ms` milliseconds. `jitter` is
/// a random number from 0 to 1.
pub fn retry_after(capacity_ms: f64, jitter: f64) -> Duration {
    let ms = (capacity_ms * (1.0 + RETRY_JITTER * jitter)).max(MIN_RETRY_AFTER_MS * (1.0 + jitter));
    Duration::try_from_secs_f64(ms / 1e3).unwrap_or_default()
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}
