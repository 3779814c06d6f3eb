//! Duties of one process at a time over a register: one record that is replaced only if nobody
//! else replaced it first.
//!
//! A store that offers such a record makes the replayed log of [`crate::replica`] needless for
//! duties: the record holds the holder, its fencing number and what it has fixed so far.

mod failure_detector;
mod keeper;
mod windows;

pub use failure_detector::FailureDetector;
pub use keeper::{DutyKeeper, DutyRecord, DutyStep};
pub use windows::{MemberCounts, SealTiming, SealedWindow, WindowCounts, sum_counts};
