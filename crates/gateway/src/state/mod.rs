//! The task that owns the replicated state, and the state that it shares with the data path.

mod actor;
pub mod append;
pub mod crash_history;
mod effects;
pub mod environment;
pub mod keyed_streams;
pub mod once;
mod once_effects;
pub mod recent_records;
mod relay;
pub mod rpc_clients;
pub mod suspects;
pub mod upstreams;
pub mod usage_counter;
pub mod view;

pub use actor::{Actor, Input, SharedContext, Status};
pub use effects::poll_instances;
pub use relay::relay;
