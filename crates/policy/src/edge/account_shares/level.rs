//! Max-min level of the work of accounts.

use super::{WorkReport, classes};
use crate::edge::urgency::{ByUrgency, Urgency};

/// Fraction of the work asked for that may be missing from the work done before room counts as
/// short. First results come later than what was asked for, by the time in the queue.
const MAX_MISSING_FRACTION: f64 = 0.1;

/// Minimum of the fraction that is within an account's part, as a fraction of what all accounts of
/// its class get. Many callers may share one large account, so it is never shut out.
const MIN_RELATIVE_PART: f64 = 0.5;

/// Level of one urgency class while room is short.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Level {
    /// Work per account up to which it is within its part, in milliseconds of engine time per
    /// second.
    pub work: f64,
    /// Fraction of an account's work that is within its part at any rate.
    min_fraction: f64,
}

impl Level {
    /// Returns the fraction of the work of an account within its part, if it asks for `asked`.
    pub fn fraction_within(self, asked: f64) -> f64 {
        if asked <= self.work {
            return 1.0;
        }
        (self.work / asked).max(self.min_fraction)
    }
}

/// Returns the level of each class, or `None` where there is room for all of its work. More urgent
/// classes are served first, so a class divides what they leave of `capacity`, which is the work
/// that the engines get done.
pub fn levels(report: &WorkReport, mut capacity: f64) -> ByUrgency<Option<Level>> {
    let mut levels = ByUrgency::default();
    for urgency in classes() {
        levels[urgency] = level(report, urgency, capacity);
        capacity = (capacity - f64::from(report.asked[urgency])).max(0.0);
    }
    levels
}

fn level(report: &WorkReport, urgency: Urgency, capacity: f64) -> Option<Level> {
    let asked = f64::from(report.asked[urgency]);
    if capacity >= asked * (1.0 - MAX_MISSING_FRACTION) {
        return None;
    }
    let heavy = &report.heavy[urgency];
    let mut limited = 0.0;
    let mut work = capacity;
    for (index, (_, heaviest)) in heavy.iter().enumerate() {
        limited += f64::from(*heaviest);
        let unlimited = (asked - limited).max(0.0);
        work = ((capacity - unlimited) / (index + 1) as f64).max(0.0);
        let next = heavy.get(index + 1).map_or(0.0, |next| f64::from(next.1));
        if work >= next {
            break;
        }
    }
    Some(Level {
        work,
        min_fraction: MIN_RELATIVE_PART * capacity / asked,
    })
}
