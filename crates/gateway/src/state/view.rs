//! State that the state task publishes for the data path.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_core::ids::{Fingerprint, Offset};
use nutmegbay_core::replica::Keys;
use nutmegbay_proto::problem::{Problem, ProblemKind};
use nutmegbay_settings::model::SiteSettings;

use super::rpc_clients::RpcEndpoint;
use super::upstreams::Upstream;
use crate::data::refuse::not_run;

/// Progress timeout before a configuration is applied.
const DEFAULT_PROGRESS_TIMEOUT: Duration = Duration::from_secs(2);

/// Immutable view of the state at one time.
#[derive(Debug, Default, Clone)]
pub struct View {
    /// Settings of the site in force; `None` before a configuration is applied.
    pub site: Option<Arc<SiteSettings>>,
    /// Offset of the configuration in force.
    pub config: Option<Offset>,
    /// Offset of the newest configuration in the log if this build cannot apply it.
    pub config_rejected: Option<Offset>,
    /// First log record with a schema that this build does not support.
    pub first_newer_schema: Option<Offset>,
    /// Access keys.
    pub keys: Arc<Keys>,
    /// Engines and services in the instance list.
    pub upstreams: Arc<[Arc<Upstream>]>,
    /// Other gateways.
    pub peers: Arc<[RpcEndpoint]>,
    /// Fingerprints of suspect requests, which were running when an upstream crashed.
    pub suspects: Arc<HashSet<Fingerprint>>,
    /// Whether the replica was loaded and follows the log.
    pub is_started: bool,
    /// Whether an operator has requested a drain of this instance.
    pub is_drain_requested: bool,
}

impl View {
    /// Returns the settings in force, or [`ProblemKind::StaleState`] before a configuration is
    /// applied and while this build cannot apply the newest log records or configuration: an old
    /// configuration must not stay in force on a single instance.
    pub fn site(&self) -> Result<&SiteSettings, Problem> {
        let is_behind = self.config_rejected.is_some() || self.first_newer_schema.is_some();
        self.site
            .as_deref()
            .filter(|_| !is_behind)
            .ok_or_else(stale_state)
    }

    /// Time without a frame after which a connection to an upstream counts as unresponsive.
    pub fn progress_timeout(&self) -> Duration {
        self.site.as_ref().map_or(DEFAULT_PROGRESS_TIMEOUT, |site| {
            Duration::from_millis(site.limits.progress_timeout_ms)
        })
    }

    /// Whether this instance can serve requests.
    pub fn is_ready(&self) -> bool {
        self.is_started && self.site().is_ok() && !self.is_drain_requested
    }
}

/// Deadline until which keyed requests may be answered.
///
/// The deadline also passes while the state task or the whole process is paused, so a paused
/// instance cannot answer from stale keys.
#[derive(Debug, Default)]
pub struct FreshnessGate {
    /// Deadline in milliseconds of [`MonotonicTime`].
    deadline_ms: AtomicU64,
    is_log_readable: AtomicBool,
    is_append_failing: AtomicBool,
}

impl FreshnessGate {
    /// Allows keyed requests until `deadline`.
    pub fn open_until(&self, deadline: MonotonicTime) {
        let ms = u64::try_from(deadline.0.as_millis()).unwrap_or(u64::MAX);
        self.deadline_ms.store(ms, Ordering::Release);
    }

    /// Records whether the last read of the log is recent.
    pub fn set_log_readable(&self, is_readable: bool) {
        self.is_log_readable.store(is_readable, Ordering::Relaxed);
    }

    /// Records whether the last append failed.
    pub fn set_append_failing(&self, is_failing: bool) {
        self.is_append_failing.store(is_failing, Ordering::Relaxed);
    }

    /// Whether the last read of the log is recent and the last append succeeded.
    pub fn is_log_available(&self) -> bool {
        self.is_log_readable.load(Ordering::Relaxed)
            && !self.is_append_failing.load(Ordering::Relaxed)
    }

    /// Returns [`ProblemKind::StaleState`] if the keys may be out of date at `now`.
    pub fn check(&self, now: MonotonicTime) -> Result<(), Problem> {
        let deadline = Duration::from_millis(self.deadline_ms.load(Ordering::Acquire));
        if now.0 < deadline {
            Ok(())
        } else {
            Err(stale_state())
        }
    }
}

fn stale_state() -> Problem {
    let detail = "this instance cannot confirm that its state is current; try another instance";
    not_run(ProblemKind::StaleState, detail).retry_after(1)
}
