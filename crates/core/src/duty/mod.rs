//! Duties that one process at a time holds. The holder is kept in a register: one record that is
//! replaced only if nobody else has replaced it in the meantime (compare and swap).
//!
//! With a store that offers such a record, duties need no replayed log as in [`crate::replica`]:
//! the record contains the holder, its fencing number and the figures that it has sealed.

mod failure_detector;
mod keeper;
mod windows;

pub use failure_detector::FailureDetector;
pub use keeper::{DutyKeeper, DutyRecord, DutyStep};
pub use windows::{MemberCounts, SealTiming, SealedWindow, WindowCounts, sum_counts};
