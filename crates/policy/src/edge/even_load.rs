//! Spreads requests over engines by figures that are a little old.
//!
//! Load pattern: 20 to 300 instances choose among 36 to 600 engines at the same moment, on figures
//! that are 5 to 300 ms old, and the request rate doubles within a tenth of a second. All instances
//! see the same engine as the emptiest one. Until the figures show what the others have sent there,
//! each of them sends there too: the engine is overrun while others idle, and the next figures move
//! all instances to the next engine.
//!
//! Requests that had no first result when the figures were taken have been replaced by others in
//! the meantime, the more of them the older the figures are compared with the time in which a
//! request gets its first result. The replaced work is taken from the engines in proportion to what
//! was known there, and added where the instances choose: at the engines that answer soonest, until
//! these have come up to a common level. Engines below that level are indistinguishable, so one of
//! them is drawn at random instead of by an order that all instances share.

use std::time::Duration;

/// Maximum number of requests by which two engines may differ and still count as equal. Figures of
/// any age tell an engine with a queue from one without.
const MAX_TOLERANCE: f64 = 1.0;

/// Work at one engine, as known from figures that are a little old.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct KnownWork {
    /// Score of the engine for a request of which no engine holds anything, in milliseconds. All
    /// instances rank the engines alike for such a request.
    pub score_ms: f64,
    /// Work ahead of a request that other instances have sent, in milliseconds.
    pub others_ms: f64,
    /// Time in which the engine serves a typical request, in milliseconds.
    pub request_ms: f64,
}

/// Returns the fraction of the requests without a first result that have been replaced since the
/// figures were taken. `age` is the age of the figures, `turnover` the mean time from a send to the
/// first result.
pub fn replaced_fraction(age: Duration, turnover: Duration) -> f64 {
    if turnover.is_zero() {
        return if age.is_zero() { 0.0 } else { 1.0 };
    }
    (age.as_secs_f64() / turnover.as_secs_f64()).clamp(0.0, 1.0)
}

/// Returns for each engine the work that other instances have probably sent since the figures were
/// taken less what has been served, in milliseconds, in the order of `engines`. It is negative
/// where more was served than sent. The sum over all engines, in requests, is 0.
pub fn unseen_ms(engines: &[KnownWork], replaced: f64) -> Vec<f64> {
    let served_ms = |engine: &KnownWork| engine.others_ms.max(0.0) * replaced;
    let requests: f64 = engines
        .iter()
        .map(|engine| served_ms(engine) / engine.request_ms.max(f64::MIN_POSITIVE))
        .sum();
    if !requests.is_finite() || requests <= 0.0 {
        return vec![0.0; engines.len()];
    }
    let score_ms = |engine: &KnownWork| engine.score_ms - served_ms(engine);
    let level_ms = fill_level(
        engines
            .iter()
            .map(|engine| (score_ms(engine), engine.request_ms)),
        requests,
    );
    engines
        .iter()
        .map(|engine| (level_ms - score_ms(engine)).max(0.0) - served_ms(engine))
        .collect()
}

/// Returns the level to which `requests` requests raise the lowest of `scores`. Each score is given
/// with the amount by which one request raises it.
fn fill_level(scores: impl Iterator<Item = (f64, f64)>, requests: f64) -> f64 {
    let mut scores: Vec<(f64, f64)> = scores.filter(|(_, request_ms)| *request_ms > 0.0).collect();
    scores.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
    // Requests that raise all scores up to now by one millisecond, and the requests that raised
    // them from 0.
    let (mut per_ms, mut offset) = (0.0, 0.0);
    let mut level = f64::INFINITY;
    for (score_ms, request_ms) in scores {
        if score_ms >= level {
            break;
        }
        per_ms += 1.0 / request_ms;
        offset += score_ms / request_ms;
        level = (requests + offset) / per_ms;
    }
    level
}

/// How one of several engines with nearly equal scores is chosen.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Spread {
    /// Fraction of the requests at the engines that have been replaced since the figures were
    /// taken, from [`replaced_fraction`]. 0 chooses the engine with the lowest score.
    pub replaced: f64,
    /// Random number from 0 to 1, excluding 1.
    pub draw: f64,
}

/// Engine with its score.
#[derive(Debug, Clone, Copy)]
pub struct Scored<T> {
    /// What is chosen.
    pub item: T,
    /// Score in milliseconds; the lowest one is best.
    pub score_ms: f64,
    /// Time by which one request more raises the score, in milliseconds.
    pub request_ms: f64,
}

impl Spread {
    /// Chooses the candidate with the lowest score, or draws one of those that the age of the
    /// figures makes equal to it. Returns `None` if there is no candidate.
    pub fn choose<T>(self, candidates: impl Iterator<Item = Scored<T>>) -> Option<Scored<T>> {
        if self.replaced <= 0.0 {
            return candidates.min_by(|a, b| a.score_ms.total_cmp(&b.score_ms));
        }
        let mut candidates: Vec<_> = candidates.collect();
        let best = candidates
            .iter()
            .min_by(|a, b| a.score_ms.total_cmp(&b.score_ms))?;
        let limit_ms = best.score_ms + best.request_ms * self.replaced.min(MAX_TOLERANCE);
        candidates.retain(|other| other.score_ms <= limit_ms);
        let index = (candidates.len() as f64 * self.draw.clamp(0.0, 1.0)) as usize;
        let index = index.min(candidates.len().saturating_sub(1));
        (index < candidates.len()).then(|| candidates.swap_remove(index))
    }
}
