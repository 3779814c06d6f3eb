//! Roles, model versions and number of upstreams.

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

pub use baseline::{Clairvoyant, StaticRoles};
pub use capacity::{MixTracker, RoleCounts, Shape};
pub use forecast::Forecast;
pub use ledger::DemandLedger;
pub use role::RolePlanner;

/// Work offered to the site, in engine seconds per second on engines of the fitting role.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct Demand {
    /// Prefill work, cached prefixes taken off.
    pub prefill: f64,
    /// Decode work.
    pub decode: f64,
}

impl Demand {
    /// All work.
    pub fn total(self) -> f64 {
        self.prefill + self.decode
    }

    /// Share of prefill in all work, one half if there is none.
    pub fn prefill_share(self) -> f64 {
        if self.total() <= 0.0 {
            return 0.5;
        }
        self.prefill / self.total()
    }
}

/// What the planner knows of one engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineView {
    /// Failure domain.
    pub domain: u16,
    /// Role.
    pub role: EngineRole,
    /// Model version that it has loaded, numbered by the embedder.
    pub version: u32,
    /// Whether it takes work: it answers, does not drain and is in no change.
    pub available: bool,
    /// Age of its last report.
    pub report_age: Duration,
    /// Engine seconds of work that it holds.
    pub backlog: f64,
}

/// Engines by key.
pub type Engines = SecondaryMap<UpstreamKey, EngineView>;

/// An order that the planner wants given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// Changes the role of an engine.
    SetRole(UpstreamKey, EngineRole),
    /// Loads the wanted model version.
    LoadVersion(UpstreamKey, u32),
    /// Orders a new upstream in a failure domain.
    Add(u16),
    /// Gives an upstream back.
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
    pub change: Duration,
    /// Time for which a model load makes an engine unavailable when it has the weight store alone.
    pub load: Duration,
    /// Loads that the weight store's rate carries side by side.
    pub parallel_loads: usize,
    /// Factor by which the gain of a change must exceed its cost.
    pub hysteresis: f64,
    /// Change of the prefill share that counts as a change of the mix.
    pub mix_step: f64,
    /// Most role changes in one evaluation.
    pub changes_at_once: usize,
    /// Time from ordering an upstream until it takes work.
    pub order_lead: Duration,
    /// Fewest upstreams.
    pub min_upstreams: usize,
    /// Most upstreams, equal to the fewest where none can be ordered.
    pub max_upstreams: usize,
    /// Model version that engines are to have.
    pub version: u32,
    /// Efficiency of mixed engines.
    pub shape: Shape,
}

impl Default for PlanSettings {
    fn default() -> Self {
        Self {
            interval: Duration::from_secs(5),
            horizon: Duration::from_secs(90),
            change: Duration::from_secs(6),
            load: Duration::from_secs(40),
            parallel_loads: 1,
            hysteresis: 1.5,
            mix_step: 0.15,
            changes_at_once: 2,
            order_lead: Duration::from_mins(3),
            min_upstreams: 2,
            max_upstreams: usize::MAX,
            version: 0,
            shape: Shape::default(),
        }
    }
}

/// Decides on orders.
pub trait Planner {
    /// Notes the work offered since the last call.
    fn observe(&mut self, demand: Demand, now: MonotonicTime);

    /// Orders to give now.
    fn plan(&mut self, engines: &Engines, now: MonotonicTime) -> Vec<Order>;
}
