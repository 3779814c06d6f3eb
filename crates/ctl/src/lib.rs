//! Operators' command-line tool.
//!
//! [`OperatorClient`] reads the platform's log into a replica and appends changes to it. The
//! commands are thin wrappers around it; other programs can use it as a library.

mod cli;
mod commands;
mod error;
mod fleet;
mod operator;
mod output;

pub use cli::command;
pub use commands::run;
pub use error::{CtlError, CtlExit};
pub use fleet::{Fleet, LaggingGateway};
pub use operator::{GrantedKey, OperatorClient};
