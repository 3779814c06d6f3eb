//! Operators' command-line tool.
//!
//! [`Operator`] reads the platform's log into a replica and appends changes to it; the commands are
//! thin layers over it, and other programs may embed it.

mod cli;
mod commands;
mod error;
mod fleet;
mod operator;
mod output;

pub use cli::command;
pub use commands::run;
pub use error::{CtlError, CtlExit};
pub use fleet::{Fleet, NotInForce};
pub use operator::{GrantedKey, Operator};
