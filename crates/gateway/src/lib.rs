//! Entry point for callers: terminates HTTP, authenticates, admits, routes and forwards requests.
//!
//! [`run`] runs the whole process. One task maintains the state from the platform's log and
//! publishes snapshots of it, which the data path reads. The data path takes no lock that another
//! request holds across I/O.

pub mod admit;
pub mod auth;
pub mod cli;
pub mod control;
pub mod data;
pub mod gateway;
pub mod metrics;
mod run;
pub mod settings;
pub mod state;

pub use run::{BoundGateway, RunError, bind, run};
