//! Role planner that gateways run; the other planners are baselines.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_core::record::EngineRole;
use slotmap::SecondaryMap;

use super::{
    Demand, EngineView, Engines, Forecast, MixTracker, Order, PlanSettings, Planner, RoleCounts,
};
use crate::UpstreamKey;

/// Age of the last report from which an engine is considered failed in planning.
const MAX_REPORT_AGE: Duration = Duration::from_secs(10);

/// Multiple of the expected time after which a change is considered failed.
const CHANGE_TIMEOUT: u32 = 5;

/// Upper bound of a demand sample, in engine seconds per second for each engine.
const MAX_DEMAND: f64 = 3.0;

/// Forecast utilization above which an upstream is ordered.
const ADD_ABOVE: f64 = 0.9;

/// Utilization with one upstream fewer below which one is removed.
const REMOVE_BELOW: f64 = 0.6;

/// Planner with demand forecast, pay-back horizon and hysteresis.
#[derive(Debug)]
pub struct RolePlanner {
    settings: PlanSettings,
    prefill: Forecast,
    decode: Forecast,
    evaluated_at: Option<MonotonicTime>,
    pending: SecondaryMap<UpstreamKey, PendingOrder>,
    last_changes: SecondaryMap<UpstreamKey, LastRoleChange>,
    mix: MixTracker,
    engines: usize,
    fleet_size: FleetSizeState,
}

/// Order whose effect has not been observed yet.
#[derive(Debug, Clone, Copy)]
struct PendingOrder {
    order: Order,
    since: MonotonicTime,
}

/// Last role change of an engine.
#[derive(Debug, Clone, Copy)]
struct LastRoleChange {
    at: MonotonicTime,
    epoch: u32,
}

/// State for adding and removing upstreams.
#[derive(Debug, Default)]
struct FleetSizeState {
    short_since: Option<MonotonicTime>,
    spare_since: Option<MonotonicTime>,
    add_ordered_at: Vec<MonotonicTime>,
}

impl RolePlanner {
    /// Creates a planner without observed demand.
    pub fn new(settings: PlanSettings) -> Self {
        Self {
            settings,
            prefill: Forecast::default(),
            decode: Forecast::default(),
            evaluated_at: None,
            pending: SecondaryMap::new(),
            last_changes: SecondaryMap::new(),
            mix: MixTracker::default(),
            engines: 0,
            fleet_size: FleetSizeState::default(),
        }
    }

    /// Returns the demand expected `ahead` from the last observation.
    pub fn forecast(&self, ahead: Duration) -> Demand {
        Demand {
            prefill: self.prefill.expected_after(ahead.as_secs_f64()),
            decode: self.decode.expected_after(ahead.as_secs_f64()),
        }
    }

    fn drop_settled_orders(&mut self, engines: &Engines, now: MonotonicTime) {
        let settings = self.settings;
        self.pending.retain(|key, pending| {
            let Some(engine) = engines.get(key) else {
                return false;
            };
            let done = match pending.order {
                Order::SetRole(_, role) => engine.role == role,
                Order::LoadVersion(_, version) => engine.version == version,
                Order::Remove(_) | Order::Add(_) => false,
            };
            let expected = match pending.order {
                Order::LoadVersion(..) => settings.model_load_time,
                _ => settings.role_change_time,
            };
            // An engine that crashed during a change may come back with any role, so the order is
            // dropped after the timeout.
            !(done && engine.available || now.since(pending.since) > expected * CHANGE_TIMEOUT)
        });
        self.last_changes.retain(|key, _| engines.contains_key(key));
        self.fleet_size
            .add_ordered_at
            .retain(|&at| now.since(at) < settings.order_lead_time);
    }

    /// Returns the role that planning uses for an engine: the ordered one while a role change is
    /// pending. Returns `None` for engines that are unusable or about to be removed.
    fn planned_role(&self, key: UpstreamKey, engine: &EngineView) -> Option<EngineRole> {
        match self.pending.get(key).map(|pending| pending.order) {
            Some(Order::SetRole(_, role)) => Some(role),
            Some(Order::Remove(_)) => None,
            _ if is_usable(engine) => Some(engine.role),
            _ => None,
        }
    }

    fn may_change(&self, key: UpstreamKey, engine: &EngineView, now: MonotonicTime) -> bool {
        is_usable(engine)
            && !self.pending.contains_key(key)
            && self.last_changes.get(key).is_none_or(|last_change| {
                last_change.epoch != self.mix.epoch()
                    && now.since(last_change.at)
                        >= self.settings.interval + self.settings.role_change_time
            })
    }

    /// Orders role changes, the one with the highest net gain first.
    fn order_role_changes(
        &mut self,
        engines: &Engines,
        demand: Demand,
        now: MonotonicTime,
        orders: &mut Vec<Order>,
    ) {
        self.mix
            .sample(demand.prefill_fraction(), self.settings.min_mix_change);
        let epoch = self.mix.epoch();
        let mut counts = RoleCounts::of(engines, |key| self.planned_role(key, &engines[key]));
        let efficiency = self.settings.efficiency;
        let mut by_domain = self.capability_by_domain(engines);
        let in_change = self
            .pending
            .values()
            .filter(|pending| matches!(pending.order, Order::SetRole(..)))
            .count();
        for _ in in_change..self.settings.max_concurrent_changes {
            let current = counts.served_work(demand, &efficiency);
            let mut best: Option<(f64, UpstreamKey, EngineRole)> = None;
            for (key, engine) in engines {
                if !self.may_change(key, engine, now) {
                    continue;
                }
                for to in [EngineRole::Prefill, EngineRole::Decode, EngineRole::Mixed] {
                    let after = counts.with_change(engine.role, to);
                    if to == engine.role || !spans_domains(&by_domain, engine, to) {
                        continue;
                    }
                    let gain = (after.served_work(demand, &efficiency) - current)
                        * self.settings.horizon.as_secs_f64();
                    let cost = self.change_cost(engine, demand, &counts);
                    let net = gain - cost * self.settings.hysteresis - 1e-3 * engine.backlog;
                    if net > 0.0 && best.is_none_or(|(best_net, ..)| net > best_net) {
                        best = Some((net, key, to));
                    }
                }
            }
            let Some((_, key, role)) = best else { return };
            counts = counts.with_change(engines[key].role, role);
            let domain = by_domain.entry(engines[key].domain).or_default();
            domain.add(engines[key].role, -1);
            domain.add(role, 1);
            let order = Order::SetRole(key, role);
            self.pending.insert(key, PendingOrder { order, since: now });
            self.last_changes
                .insert(key, LastRoleChange { at: now, epoch });
            orders.push(order);
        }
    }

    /// Returns the engine seconds that a role change costs: the work that the others cannot take
    /// over while the engine is unavailable, and the drain before the change.
    fn change_cost(&self, engine: &EngineView, demand: Demand, counts: &RoleCounts) -> f64 {
        let engines = (counts.prefill + counts.decode + counts.mixed).max(1) as f64;
        let load = (demand.total() / engines).min(1.0);
        self.settings.role_change_time.as_secs_f64() * load + 0.5 * engine.backlog.min(4.0)
    }

    /// Counts, by failure domain, the engines that can prefill and that can decode.
    fn capability_by_domain(&self, engines: &Engines) -> CapabilityByDomain {
        let mut by_domain = CapabilityByDomain::new();
        for (key, engine) in engines {
            if let Some(role) = self.planned_role(key, engine) {
                by_domain.entry(engine.domain).or_default().add(role, 1);
            }
        }
        by_domain
    }

    /// Orders model loads: at most as many at a time as the weight store's bandwidth allows, and at
    /// most one per failure domain.
    fn order_model_loads(
        &mut self,
        engines: &Engines,
        demand: Demand,
        now: MonotonicTime,
        orders: &mut Vec<Order>,
    ) {
        let loading: Vec<_> = self
            .pending
            .iter()
            .filter(|(_, pending)| matches!(pending.order, Order::LoadVersion(..)))
            .map(|(key, _)| engines.get(key).map(|engine| engine.domain))
            .collect();
        let counts = RoleCounts::of(engines, |key| self.planned_role(key, &engines[key]));
        let mut remaining = self
            .settings
            .max_parallel_loads
            .saturating_sub(loading.len());
        let mut domains: BTreeSet<_> = loading.into_iter().flatten().collect();
        let usable = counts.prefill + counts.decode + counts.mixed;
        for (key, engine) in engines {
            let is_outdated = engine.version != self.settings.version;
            let is_free = is_usable(engine) && !self.pending.contains_key(key);
            // A site that is short of capacity keeps the old version until it has spare capacity.
            // One engine at a time still loads, so that the rollout always makes progress.
            let has_capacity = counts.max_demand_scale(demand, &self.settings.efficiency) > 1.1
                || domains.is_empty();
            if remaining == 0 || !is_outdated || !is_free || !has_capacity || usable < 2 {
                continue;
            }
            if domains.insert(engine.domain) {
                remaining -= 1;
                let order = Order::LoadVersion(key, self.settings.version);
                self.pending.insert(key, PendingOrder { order, since: now });
                orders.push(order);
            }
        }
    }

    /// Orders an upstream if the demand forecast for its lead time stays above the fleet's
    /// capacity. Removes one if the fleet would carry the demand without it for a whole lead time.
    fn order_fleet_size(
        &mut self,
        engines: &Engines,
        demand: Demand,
        now: MonotonicTime,
        orders: &mut Vec<Order>,
    ) {
        let counts = RoleCounts::of(engines, |key| self.planned_role(key, &engines[key]));
        let upstreams = engines.len() + self.fleet_size.add_ordered_at.len();
        let demand_scale = counts.max_demand_scale(demand, &self.settings.efficiency);
        let engines_now = (counts.prefill + counts.decode + counts.mixed).max(1) as f64;
        let with_ordered =
            demand_scale * (1.0 + self.fleet_size.add_ordered_at.len() as f64 / engines_now);
        let without_one = demand_scale * (1.0 - 1.0 / engines_now);
        let is_short = with_ordered * ADD_ABOVE < 1.0;
        let is_spare = without_one * REMOVE_BELOW > 1.0 && self.pending.is_empty();
        self.fleet_size.short_since = is_short.then(|| self.fleet_size.short_since.unwrap_or(now));
        self.fleet_size.spare_since = is_spare.then(|| self.fleet_size.spare_since.unwrap_or(now));
        let lasts =
            |since: Option<MonotonicTime>, time| since.is_some_and(|at| now.since(at) >= time);
        if upstreams < self.settings.max_upstreams
            && lasts(self.fleet_size.short_since, self.settings.interval * 2)
        {
            self.fleet_size.short_since = None;
            self.fleet_size.add_ordered_at.push(now);
            orders.push(Order::Add(smallest_domain(engines)));
        } else if engines.len() > self.settings.min_upstreams
            && lasts(self.fleet_size.spare_since, self.settings.order_lead_time)
        {
            self.fleet_size.spare_since = None;
            if let Some(key) = self.least_needed(engines, demand) {
                let order = Order::Remove(key);
                self.pending.insert(key, PendingOrder { order, since: now });
                orders.push(order);
            }
        }
    }

    fn least_needed(&self, engines: &Engines, demand: Demand) -> Option<UpstreamKey> {
        let counts = RoleCounts::of(engines, |key| self.planned_role(key, &engines[key]));
        engines
            .iter()
            .filter(|(key, engine)| is_usable(engine) && !self.pending.contains_key(*key))
            .map(|(key, engine)| {
                let mut fewer = counts;
                match engine.role {
                    EngineRole::Prefill => fewer.prefill -= 1,
                    EngineRole::Decode => fewer.decode -= 1,
                    EngineRole::Mixed => fewer.mixed -= 1,
                }
                let value =
                    fewer.served_work(demand, &self.settings.efficiency) - 1e-3 * engine.backlog;
                (value, key)
            })
            .max_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, key)| key)
    }
}

impl RolePlanner {
    /// Returns the orders for the demand expected within the horizon and for `lead_demand`, which
    /// is the demand when an upstream ordered now would take work.
    pub(super) fn plan_for(
        &mut self,
        engines: &Engines,
        demand: Demand,
        lead_demand: Demand,
        now: MonotonicTime,
    ) -> Vec<Order> {
        let due = self
            .evaluated_at
            .is_none_or(|at| now.since(at) >= self.settings.interval);
        if !due {
            return Vec::new();
        }
        self.evaluated_at = Some(now);
        self.engines = engines.len();
        self.drop_settled_orders(engines, now);
        // Too few fresh reports, for example after a start or during a partition, do not show the
        // roles, so the planner orders nothing.
        let fresh = engines
            .values()
            .filter(|engine| engine.report_age <= MAX_REPORT_AGE)
            .count();
        if fresh * 2 < engines.len() {
            return Vec::new();
        }
        let mut orders = Vec::new();
        if demand.total() > 0.0 {
            self.order_role_changes(engines, demand, now, &mut orders);
        }
        self.order_model_loads(engines, demand, now, &mut orders);
        self.order_fleet_size(engines, lead_demand, now, &mut orders);
        orders
    }
}

impl Planner for RolePlanner {
    fn observe(&mut self, demand: Demand, now: MonotonicTime) {
        // Demand of several times the fleet's capacity is a burst of estimates and must not raise
        // the forecast level.
        let max_demand = match self.engines {
            0 => f64::INFINITY,
            engines => MAX_DEMAND * engines as f64,
        };
        self.prefill.sample(demand.prefill.min(max_demand), now);
        self.decode.sample(demand.decode.min(max_demand), now);
    }

    fn plan(&mut self, engines: &Engines, now: MonotonicTime) -> Vec<Order> {
        if !self.prefill.is_ready(now) {
            return Vec::new();
        }
        let demand = self.forecast(self.settings.role_change_time);
        let lead_demand = self.forecast(self.settings.order_lead_time);
        self.plan_for(engines, demand, lead_demand, now)
    }
}

/// Number of engines of one failure domain that can prefill and that can decode.
#[derive(Debug, Default, Clone, Copy)]
struct Capability {
    prefill: i32,
    decode: i32,
}

/// Capability by failure domain.
type CapabilityByDomain = BTreeMap<u16, Capability>;

impl Capability {
    fn add(&mut self, role: EngineRole, count: i32) {
        if role != EngineRole::Decode {
            self.prefill += count;
        }
        if role != EngineRole::Prefill {
            self.decode += count;
        }
    }
}

/// Returns whether prefill and decode each remain possible in two failure domains after `engine`
/// takes the role `to`, so that the loss of one domain leaves both.
fn spans_domains(by_domain: &CapabilityByDomain, engine: &EngineView, to: EngineRole) -> bool {
    let (mut prefill, mut decode) = (0, 0);
    for (&domain, &capability) in by_domain {
        let mut capability = capability;
        if domain == engine.domain {
            capability.add(engine.role, -1);
            capability.add(to, 1);
        }
        prefill += usize::from(capability.prefill > 0);
        decode += usize::from(capability.decode > 0);
    }
    let required = by_domain.len().min(2);
    prefill >= required && decode >= required
}

fn is_usable(engine: &EngineView) -> bool {
    engine.available && engine.report_age <= MAX_REPORT_AGE
}

fn smallest_domain(engines: &Engines) -> u16 {
    let mut domains = BTreeMap::<u16, usize>::new();
    for engine in engines.values() {
        *domains.entry(engine.domain).or_default() += usize::from(is_usable(engine));
    }
    domains
        .into_iter()
        .min_by_key(|&(domain, count)| (count, domain))
        .map_or(0, |(domain, _)| domain)
}
