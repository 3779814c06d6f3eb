//! Process infrastructure that all nutmegbay binaries share: log, metrics, readiness, exit codes
//! and signal handling.

pub mod admin;
pub mod clock;
pub mod exit;
pub mod log;
pub mod metrics;
pub mod signals;
