//! Software versions in use, as instances tell each other.
//!
//! Load pattern: an instance that cannot read the list of instances goes on using upstreams of a
//! version that the others no longer see there. While several versions are possible, the streams
//! that begin or go on at a version keep it known everywhere.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;

use super::stream_origins::Origin;

/// Minimum time between two pieces of news about the same version. They are small beside the
/// retention of a version, which is several seconds at least.
const INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of versions of all services that are told.
const MAX_VERSIONS: usize = 64;

/// News about versions in use.
#[derive(Debug, Default)]
pub struct VersionNews {
    /// Time at which each version was last told or heard of.
    told: BTreeMap<Origin, MonotonicTime>,
    waiting: BTreeSet<Origin>,
}

impl VersionNews {
    /// Records that a version is in use here, or that another instance tells so and this one passes
    /// it on. Returns whether it is to be sent.
    pub fn record(&mut self, origin: Origin, now: MonotonicTime) -> bool {
        self.told.retain(|_, at| now.since(*at) < INTERVAL);
        if self.told.contains_key(&origin) || self.told.len() >= MAX_VERSIONS {
            return false;
        }
        self.told.insert(origin, now);
        self.waiting.insert(origin)
    }

    /// Returns the versions that are due to be sent.
    pub fn take(&mut self) -> impl Iterator<Item = Origin> + use<> {
        std::mem::take(&mut self.waiting).into_iter()
    }
}
