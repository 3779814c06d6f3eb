//! The whole path in one process on loopback: fakes, sidecars, gateways and callers.
//!
//! The demo sends traffic, disturbs the system and compares what callers got with what the fakes
//! saw. It fails if a promise that it exercised was broken.

pub mod cli;
pub mod report;
pub mod site;
pub mod texts;

mod billing;
mod caller;
mod error;
mod orders;
mod steps;
mod traffic;

pub use error::DemoError;
pub use report::Report;
pub use steps::run;
