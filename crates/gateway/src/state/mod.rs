//! The task that owns the replicated state, and what it feeds to the data path.

mod actor;
pub mod revoke;
pub mod tally;
mod tasks;
pub mod upstreams;
pub mod view;

pub use actor::{Actor, Input};
pub use tasks::{instances, tail};
