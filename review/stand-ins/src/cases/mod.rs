//! The cases.

mod crashes;
mod limits;
mod versions;

pub use crashes::late_crash;
pub use limits::first_channels;
pub use versions::{all_edges, lost_version, same_id};
