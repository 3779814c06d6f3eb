//! Fakes of the external systems: model engine, plain service and platform.
//!
//! Each fake implements the published protocol of its system. It runs inside a test or as a
//! process of its own, listens on a loopback port by default, and injects faults that are set at
//! run time.

pub mod cli;
pub mod engine;
pub mod platform;
pub mod server;
pub mod service;
