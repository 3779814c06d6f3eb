//! Interfaces of the platform as traits, and an HTTP client that implements them.

mod client;
pub mod error;
mod traits;

pub use client::{ClientSettings, PlatformClient};
pub use error::{Cause, PlatformError};
pub use traits::{InstanceDirectory, Log, UpstreamOrders, UsageReports, WeightStore};
