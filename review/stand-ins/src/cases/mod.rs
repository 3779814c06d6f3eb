//! The cases.

mod crashes;
mod limits;
mod orders;
mod settings;
mod versions;

pub use crashes::late_crash;
pub use limits::first_channels;
pub use orders::false_refusal;
pub use settings::moved_store;
pub use versions::{all_edges, lost_version, same_id};
