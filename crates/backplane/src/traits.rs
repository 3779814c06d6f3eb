//! One trait for each interface of the platform.

use std::time::Duration;

use error_stack::Report;
use nutmegbay_core::ids::Offset;
use nutmegbay_proto::platform::{
    AppendResponse, InstanceList, ReadResponse, UpstreamOrder, UsageReport,
};
use serde_json::value::RawValue;

use crate::PlatformError;

/// The append-only log.
pub trait Log: Send + Sync {
    /// Appends `records` as one group with consecutive offsets.
    fn append(
        &self,
        records: Vec<Box<RawValue>>,
    ) -> impl Future<Output = Result<AppendResponse, Report<PlatformError>>> + Send;

    /// Reads up to `max` records from `from` on. At the head it waits up to `wait` for a record
    /// and returns none if none came; the head and the oldest offset are always returned.
    fn read(
        &self,
        from: Offset,
        max: u32,
        wait: Duration,
    ) -> impl Future<Output = Result<ReadResponse, Report<PlatformError>>> + Send;
}

/// The list of instances, which lags.
pub trait InstanceDirectory: Send + Sync {
    /// Instances as the platform sees them.
    fn instances(&self)
    -> impl Future<Output = Result<InstanceList, Report<PlatformError>>> + Send;
}

/// The rate-limited weight store.
pub trait WeightStore: Send + Sync {
    /// Fetches the weights of `model` and returns the number of bytes.
    fn fetch(&self, model: &str)
    -> impl Future<Output = Result<u64, Report<PlatformError>>> + Send;
}

/// The interface for ordering upstreams.
pub trait UpstreamOrders: Send + Sync {
    /// Gives an order. A repeat of the same identity has no further effect.
    fn order(
        &self,
        order: &UpstreamOrder,
    ) -> impl Future<Output = Result<(), Report<PlatformError>>> + Send;
}

/// The interface that accepts usage reports.
pub trait UsageReports: Send + Sync {
    /// Reports a window. Other figures for a known window fail with
    /// [`Cause::Conflict`](crate::Cause::Conflict).
    fn report(
        &self,
        report: &UsageReport,
    ) -> impl Future<Output = Result<(), Report<PlatformError>>> + Send;
}
