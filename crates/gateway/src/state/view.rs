//! Snapshot of the state for the readers on the data path.

use std::sync::Arc;
use std::time::Duration;

use nutmegbay_core::ids::Offset;
use nutmegbay_core::replica::Keys;
use nutmegbay_proto::problem::{Problem, ProblemKind};
use nutmegbay_settings::model::SiteSettings;

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
    /// Keys.
    pub keys: Arc<Keys>,
    /// Upstreams.
    pub upstreams: Arc<[Arc<Upstream>]>,
    /// Offset after the last record applied.
    pub next: Offset,
    /// Whether the log was read to its head at least once.
    pub is_current: bool,
}

impl View {
    /// Settings in force.
    pub fn site(&self) -> Result<&SiteSettings, Problem> {
        self.site.as_deref().ok_or_else(stale)
    }

    /// Refuses if the keys may be out of date.
    pub fn confirm_current(&self) -> Result<(), Problem> {
        if self.is_current {
            Ok(())
        } else {
            Err(stale())
        }
    }

    /// Time without a frame after which a connection counts as silent.
    pub fn progress_timeout(&self) -> Duration {
        self.site.as_ref().map_or(DEFAULT_PROGRESS, |site| {
            Duration::from_millis(site.limits.progress_timeout_ms)
        })
    }

    /// Whether requests can be served.
    pub fn is_ready(&self) -> bool {
        self.is_current && self.site.is_some() && self.config_rejected.is_none()
    }
}

fn stale() -> Problem {
    let detail = "this instance cannot confirm that its state is current; try another instance";
    not_run(ProblemKind::StaleState, detail).retry_after(1)
}
