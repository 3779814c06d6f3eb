//! One script for each case.

pub mod late_readers;
pub mod stopped_edge;
