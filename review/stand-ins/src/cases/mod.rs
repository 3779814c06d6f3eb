//! The cases.

mod crashes;
mod orders;
mod versions;

pub use crashes::late_crash;
pub use orders::false_refusal;
pub use versions::{lost_version, rolling_stop, same_id};
