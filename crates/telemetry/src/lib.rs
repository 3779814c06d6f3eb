//! What every nutmegbay process reports to its surroundings: log lines, metrics, readiness, exit
//! codes and its answer to termination signals.

pub mod admin;
pub mod clock;
pub mod exit;
pub mod log;
pub mod metrics;
pub mod signals;
