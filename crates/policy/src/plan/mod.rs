//! Planning of engine roles, model versions and the number of upstreams.

mod baseline;
mod capacity;
mod forecast;
mod ledger;
mod role;

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_core::record::EngineRole;
use slotmap::SecondaryMap;

use crate::UpstreamKey;

pub use baseline::{PerfectForecast, StaticRoles};
pub use capacity::{EngineEfficiency, MixTracker, RoleCounts};
pub use forecast::Forecast;
pub use ledger::DemandLedger;
pub use role::RolePlanner;

/// Work offered to the site, in engine seconds per second on engines that have only the matching
/// role.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct Demand {
    /// Prefill work, without cached prefixes.
    pub prefill: f64,
    /// Decode work.
    pub decode: f64,
}

impl Demand {
    /// Returns the sum of prefill and decode work.
    pub fn total(self) -> f64 {
        self.prefill + self.decode
    }

    /// Returns the fraction of prefill in all work, or 0.5 if there is no work.
    pub fn prefill_fraction(self) -> f64 {
        if self.total() <= 0.0 {
            return 0.5;
        }
        self.prefill / self.total()
    }
}

/// State of one engine as seen by the planner.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineView {
    /// Failure domain, numbered by the caller.
    pub domain: u16,
    /// Current role.
    pub role: EngineRole,
    /// Loaded model version, numbered by the caller.
    pub version: u32,
    /// Whether it takes work: it responds, is not draining and has no change in progress.
    pub available: bool,
    /// Age of the last report.
    pub report_age: Duration,
    /// Engine seconds of unfinished work.
    pub backlog: f64,
}

/// Engines by key.
pub type Engines = SecondaryMap<UpstreamKey, EngineView>;

/// Order that the planner asks the caller to issue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// Changes the role of an engine.
    SetRole(UpstreamKey, EngineRole),
    /// Loads a model version on an engine.
    LoadVersion(UpstreamKey, u32),
    /// Adds an upstream in a failure domain.
    Add(u16),
    /// Removes an upstream.
    Remove(UpstreamKey),
}

/// Limits and costs of changes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlanSettings {
    /// Time between two evaluations.
    pub interval: Duration,
    /// Time within which a change must pay back its cost.
    pub horizon: Duration,
    /// Time for which a role change makes an engine unavailable.
    pub role_change_time: Duration,
    /// Time for which a model load makes an engine unavailable if no other engine reads from the
    /// weight store.
    pub model_load_time: Duration,
    /// Maximum number of model loads in progress, given by the bandwidth of the weight store.
    pub max_parallel_loads: usize,
    /// Factor by which the gain of a change must exceed its cost.
    pub hysteresis: f64,
    /// Smallest move of the prefill fraction that counts as a change of the workload mix.
    pub min_mix_change: f64,
    /// Maximum number of role changes in progress.
    pub max_concurrent_changes: usize,
    /// Time from ordering an upstream until it takes work.
    pub order_lead_time: Duration,
    /// Minimum number of upstreams.
    pub min_upstreams: usize,
    /// Maximum number of upstreams. Equal to the minimum if none can be ordered.
    pub max_upstreams: usize,
    /// Model version that engines should have.
    pub version: u32,
    /// Efficiency of mixed engines.
    pub efficiency: EngineEfficiency,
}

impl Default for PlanSettings {
    fn default() -> Self {
        Self {
            interval: Duration::from_secs(5),
            horizon: Duration::from_secs(90),
            role_change_time: Duration::from_secs(6),
            model_load_time: Duration::from_secs(40),
            max_parallel_loads: 1,
            hysteresis: 1.5,
            min_mix_change: 0.15,
            max_concurrent_changes: 2,
            order_lead_time: Duration::from_mins(3),
            min_upstreams: 2,
            max_upstreams: usize::MAX,
            version: 0,
            efficiency: EngineEfficiency::default(),
        }
    }
}

/// Decides which orders to issue.
pub trait Planner {
    /// Records the work offered since the last call.
    fn observe(&mut self, demand: Demand, now: MonotonicTime);

    /// Returns the orders to issue now.
    fn plan(&mut self, engines: &Engines, now: MonotonicTime) -> Vec<Order>;
}
