//! The task that owns the replicated state, and what it feeds to the data path.

mod actor;
pub mod append;
mod effects;
pub mod once;
mod once_effects;
pub mod parties;
pub mod recent;
mod relay;
pub mod revoke;
pub mod suspects;
pub mod tally;
pub mod upstreams;
pub mod view;
pub mod world;

pub use actor::{Actor, Input, Parts, Status};
pub use effects::instances;
pub use relay::relay;
