//! Baselines: no planner, and one that knows the future.

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

/// Plans with the true demand of the time ahead, as an upper bound on what a forecast can reach.
#[derive(Debug)]
pub struct Clairvoyant<F> {
    ahead: F,
    settings: PlanSettings,
    planner: RolePlanner,
}

impl<F: Fn(MonotonicTime, Duration) -> Demand> Clairvoyant<F> {
    /// Creates a planner that asks `ahead` for the mean demand over a time from a moment on.
    pub fn new(settings: PlanSettings, ahead: F) -> Self {
        Self {
            ahead,
            settings,
            planner: RolePlanner::new(settings),
        }
    }
}

impl<F: Fn(MonotonicTime, Duration) -> Demand> Planner for Clairvoyant<F> {
    fn observe(&mut self, _demand: Demand, _now: MonotonicTime) {}

    fn plan(&mut self, engines: &Engines, now: MonotonicTime) -> Vec<Order> {
        let from = now.plus(self.settings.change);
        let demand = (self.ahead)(from, self.settings.interval * 4);
        let at_lead = (self.ahead)(now.plus(self.settings.order_lead), self.settings.horizon);
        self.planner.plan_for(engines, demand, at_lead, now)
    }
}
