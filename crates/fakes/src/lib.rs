//! Stand-ins for the outside systems: model engine, plain service and platform.
//!
//! Each speaks its published protocol on a loopback port, can be embedded into a test or run as
//! its own process, and shows faults that are set while it runs.

pub mod cli;
pub mod engine;
pub mod platform;
pub mod server;
pub mod service;
