//! One script for each case.

pub mod last_tenant;
pub mod late_readers;
pub mod stopped_edge;
