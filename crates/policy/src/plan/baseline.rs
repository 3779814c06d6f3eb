//! Baseline planners: no planning, and planning with the true future demand.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;

use super::{Demand, Engines, Order, PlanSettings, Planner, RolePlanner};

/// Leaves all roles as they are.
#[derive(Debug, Default)]
pub struct StaticRoles;

impl Planner for StaticRoles {
    fn observe(&mut self, _demand: Demand, _now: MonotonicTime) {}

    fn plan(&mut self, _engines: &Engines, _now: MonotonicTime) -> Vec<Order> {
        Vec::new()
    }
}

/// Plans with the true future demand, as an upper bound on what a forecast can achieve.
#[derive(Debug)]
pub struct PerfectForecast<F> {
    true_demand: F,
    settings: PlanSettings,
    planner: RolePlanner,
}

impl<F: Fn(MonotonicTime, Duration) -> Demand> PerfectForecast<F> {
    /// Creates a planner that calls `true_demand` for the mean demand over a duration that starts
    /// at a given time.
    pub fn new(settings: PlanSettings, true_demand: F) -> Self {
        Self {
            true_demand,
            settings,
            planner: RolePlanner::new(settings),
        }
    }
}

impl<F: Fn(MonotonicTime, Duration) -> Demand> Planner for PerfectForecast<F> {
    fn observe(&mut self, _demand: Demand, _now: MonotonicTime) {}

    fn plan(&mut self, engines: &Engines, now: MonotonicTime) -> Vec<Order> {
        let after_change = now.plus(self.settings.role_change_time);
        let demand = (self.true_demand)(after_change, self.settings.interval * 4);
        let lead_demand = (self.true_demand)(
            now.plus(self.settings.order_lead_time),
            self.settings.horizon,
        );
        self.planner.plan_for(engines, demand, lead_demand, now)
    }
}
