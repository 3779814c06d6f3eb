//! Exponential decay for averages over irregularly spaced samples.

use std::time::Duration;

/// Returns the fraction of a value that is left after `age` if it halves every `half_life`.
pub fn half_life_decay(age: Duration, half_life: Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}

/// Returns the weight of the old average after `age`, for an exponential average with this time
/// constant. The new sample has the remaining weight.
pub fn exponential_decay(age: Duration, time_constant: Duration) -> f64 {
    (-age.as_secs_f64() / time_constant.as_secs_f64()).exp()
}
