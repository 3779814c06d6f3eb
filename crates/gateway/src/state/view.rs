//! Snapshot of the state for the readers on the data path.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_core::ids::{Fingerprint, Offset};
use nutmegbay_core::replica::Keys;
use nutmegbay_proto::problem::{Problem, ProblemKind};
use nutmegbay_settings::model::SiteSettings;

use super::parties::Party;
use super::upstreams::Upstream;
use crate::data::refuse::not_run;

/// Time without a frame after which a connection counts as silent, before there are settings.
const DEFAULT_PROGRESS: Duration = Duration::from_secs(2);

/// One snapshot.
#[derive(Debug, Default, Clone)]
pub struct View {
    /// Settings in force, none before the first are read.
    pub site: Option<Arc<SiteSettings>>,
    /// Offset of the configuration in force.
    pub config: Option<Offset>,
    /// Offset of an accepted configuration that this build cannot apply.
    pub config_rejected: Option<Offset>,
    /// First log record that only a newer build understands.
    pub newer: Option<Offset>,
    /// Keys.
    pub keys: Arc<Keys>,
    /// Upstreams.
    pub upstreams: Arc<[Arc<Upstream>]>,
    /// Other gateways.
    pub peers: Arc<[Party]>,
    /// Requests that have crashed an upstream, as far as this gateway knows.
    pub suspects: Arc<HashSet<Fingerprint>>,
    /// Whether the replica follows the log.
    pub is_started: bool,
    /// Whether an operator asked this instance to drain.
    pub is_drained: bool,
}

impl View {
    /// Settings in force, none while this build cannot follow the log or the configuration: an old
    /// configuration must not stay in force on one instance.
    pub fn site(&self) -> Result<&SiteSettings, Problem> {
        let is_behind = self.config_rejected.is_some() || self.newer.is_some();
        self.site
            .as_deref()
            .filter(|_| !is_behind)
            .ok_or_else(stale)
    }

    /// Time without a frame after which a connection counts as silent.
    pub fn progress_timeout(&self) -> Duration {
        self.site.as_ref().map_or(DEFAULT_PROGRESS, |site| {
            Duration::from_millis(site.limits.progress_timeout_ms)
        })
    }

    /// Whether requests can be served.
    pub fn is_ready(&self) -> bool {
        self.is_started && self.site().is_ok() && !self.is_drained
    }
}

/// Time until which keyed requests may be answered.
///
/// It holds on its own: if the state task or the whole process is paused, the moment passes.
#[derive(Debug, Default)]
pub struct Gate {
    until_ms: AtomicU64,
    is_log_readable: AtomicBool,
    is_append_failing: AtomicBool,
}

impl Gate {
    /// Allows keyed requests until `moment`.
    pub fn open_until(&self, moment: MonotonicTime) {
        let ms = u64::try_from(moment.0.as_millis()).unwrap_or(u64::MAX);
        self.until_ms.store(ms, Ordering::Release);
    }

    /// Records whether the log was read lately.
    pub fn set_log_readable(&self, is_readable: bool) {
        self.is_log_readable.store(is_readable, Ordering::Relaxed);
    }

    /// Records whether the last append failed.
    pub fn set_append_failing(&self, is_failing: bool) {
        self.is_append_failing.store(is_failing, Ordering::Relaxed);
    }

    /// Whether the log was read lately and took the last append.
    pub fn has_log(&self) -> bool {
        self.is_log_readable.load(Ordering::Relaxed)
            && !self.is_append_failing.load(Ordering::Relaxed)
    }

    /// Refuses if the keys may be out of date at `now`.
    pub fn check(&self, now: MonotonicTime) -> Result<(), Problem> {
        let until = Duration::from_millis(self.until_ms.load(Ordering::Acquire));
        if now.0 < until { Ok(()) } else { Err(stale()) }
    }
}

fn stale() -> Problem {
    let detail = "this instance cannot confirm that its state is current; try another instance";
    not_run(ProblemKind::StaleState, detail).retry_after(1)
}
