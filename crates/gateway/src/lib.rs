//! Entry for callers: terminates their HTTP, authenticates, admits, routes and forwards.
//!
//! [`run`] is the whole process. The data path reads snapshots of the state that one task
//! maintains from the platform's log; it takes no lock that another request holds across I/O.

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
