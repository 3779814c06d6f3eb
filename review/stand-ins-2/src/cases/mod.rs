//! One script for each case.

pub mod busy_holder;
pub mod killed_together;
pub mod last_tenant;
pub mod late_readers;
pub mod stopped_edge;
