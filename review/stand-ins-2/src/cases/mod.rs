//! One script for each case.

pub mod late_readers;
