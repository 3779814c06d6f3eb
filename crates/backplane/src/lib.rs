//! Interfaces of the platform: small traits, and HTTP clients that implement them.

mod client;
pub mod error;
mod traits;

pub use client::{ClientSettings, PlatformClient};
pub use error::{Cause, PlatformError};
pub use traits::{InstanceDirectory, Log, UpstreamOrders, UsageReports, WeightStore};
