//! Runs the platform, gateways, sidecars, upstreams and callers of a site in one process on
//! loopback. The platform and the upstreams are fakes.
//!
//! The demo sends traffic, injects faults and compares the answers that callers received with the
//! requests that the fakes recorded. It fails if a promise that it exercised was broken.

pub mod cli;
pub mod config;
pub mod report;
pub mod site;

mod billing;
mod caller;
mod error;
mod orders;
mod steps;
mod traffic;

pub use error::DemoError;
pub use report::PromiseReport;
pub use steps::run;
