//! Traits for the interfaces of the platform, one per interface.

use std::time::Duration;

use error_stack::Report;
use nutmegbay_core::ids::Offset;
use nutmegbay_proto::platform::{
    AppendResponse, InstanceList, ReadResponse, UpstreamOrder, UsageReport,
};
use serde_json::value::RawValue;

use crate::PlatformError;

/// Append-only log that all processes share.
pub trait Log: Send + Sync {
    /// Appends `records` as one group with consecutive offsets.
    ///
    /// # Errors
    ///
    /// The verdict of the error says whether the append may have taken effect.
    fn append(
        &self,
        records: Vec<Box<RawValue>>,
    ) -> impl Future<Output = Result<AppendResponse, Report<PlatformError>>> + Send;

    /// Reads up to `max` records from `from` on. At the head it waits up to `wait` for a record and
    /// returns no records if none was appended. The head and the oldest offset are always returned.
    fn read(
        &self,
        from: Offset,
        max: u32,
        wait: Duration,
    ) -> impl Future<Output = Result<ReadResponse, Report<PlatformError>>> + Send;
}

/// Instance list, which lags behind the actual state.
pub trait InstanceDirectory: Send + Sync {
    /// Returns the instances as the platform lists them.
    fn instances(&self)
    -> impl Future<Output = Result<InstanceList, Report<PlatformError>>> + Send;
}

/// Store of model weights, which limits the rate of fetches.
pub trait WeightStore: Send + Sync {
    /// Fetches the weights of `model` and returns their size in bytes.
    fn fetch(&self, model: &str)
    -> impl Future<Output = Result<u64, Report<PlatformError>>> + Send;
}

/// Interface for orders to add or remove upstreams.
pub trait UpstreamOrders: Send + Sync {
    /// Sends an order. A repeat with the same identity has no further effect.
    fn order(
        &self,
        order: &UpstreamOrder,
    ) -> impl Future<Output = Result<(), Report<PlatformError>>> + Send;
}

/// Interface that accepts usage reports.
pub trait UsageReports: Send + Sync {
    /// Reports the usage of a window. A repeat with different usage fails with
    /// [`Cause::Conflict`](crate::Cause::Conflict).
    fn report(
        &self,
        report: &UsageReport,
    ) -> impl Future<Output = Result<(), Report<PlatformError>>> + Send;
}
