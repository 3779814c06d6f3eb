//! The planner in use.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_core::record::EngineRole;
use slotmap::SecondaryMap;

use super::{
    Demand, EngineView, Engines, Forecast, MixTracker, Order, PlanSettings, Planner, RoleCounts,
};
use crate::UpstreamKey;

/// Age of a report from which an engine counts as lost for planning.
const LOST_AFTER: Duration = Duration::from_secs(10);

/// Multiple of the expected time after which a change counts as failed.
const CHANGE_TIMEOUT: u32 = 5;

/// Largest sample of the demand in engine seconds per second of each engine.
const MAX_DEMAND: f64 = 3.0;

/// Utilization at the forecast above which an upstream is ordered.
const ORDER_ABOVE: f64 = 0.9;

/// Utilization of one upstream fewer below which one is given back.
const GIVE_BACK_BELOW: f64 = 0.6;

/// Planner with forecast, pay-back horizon and hysteresis.
#[derive(Debug)]
pub struct RolePlanner {
    settings: PlanSettings,
    prefill: Forecast,
    decode: Forecast,
    evaluated: Option<MonotonicTime>,
    pending: SecondaryMap<UpstreamKey, Pending>,
    changed: SecondaryMap<UpstreamKey, Changed>,
    mix: MixTracker,
    engines: usize,
    fleet: FleetSize,
}

/// An order whose effect is not seen yet.
#[derive(Debug, Clone, Copy)]
struct Pending {
    order: Order,
    since: MonotonicTime,
}

/// Last role change of an engine.
#[derive(Debug, Clone, Copy)]
struct Changed {
    at: MonotonicTime,
    epoch: u32,
}

/// Memory for ordering and giving back.
#[derive(Debug, Default)]
struct FleetSize {
    short_since: Option<MonotonicTime>,
    spare_since: Option<MonotonicTime>,
    ordered: Vec<MonotonicTime>,
}

impl RolePlanner {
    /// Creates a planner.
    pub fn new(settings: PlanSettings) -> Self {
        Self {
            settings,
            prefill: Forecast::default(),
            decode: Forecast::default(),
            evaluated: None,
            pending: SecondaryMap::new(),
            changed: SecondaryMap::new(),
            mix: MixTracker::default(),
            engines: 0,
            fleet: FleetSize::default(),
        }
    }

    /// Demand expected `ahead` from now.
    pub fn forecast(&self, ahead: Duration) -> Demand {
        Demand {
            prefill: self.prefill.ahead(ahead.as_secs_f64()),
            decode: self.decode.ahead(ahead.as_secs_f64()),
        }
    }

    fn settle(&mut self, engines: &Engines, now: MonotonicTime) {
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
                Order::LoadVersion(..) => settings.load,
                _ => settings.change,
            };
            // An engine that crashed in mid-change comes back with any role; the order is given up.
            !(done && engine.available || now.since(pending.since) > expected * CHANGE_TIMEOUT)
        });
        self.changed.retain(|key, _| engines.contains_key(key));
        self.fleet
            .ordered
            .retain(|&at| now.since(at) < settings.order_lead);
    }

    /// Role that counts for an engine: the ordered one while a change is pending.
    fn role(&self, key: UpstreamKey, engine: &EngineView) -> Option<EngineRole> {
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
            && self.changed.get(key).is_none_or(|changed| {
                changed.epoch != self.mix.epoch()
                    && now.since(changed.at) >= self.settings.interval + self.settings.change
            })
    }

    /// Orders role changes, the one with the highest gain first.
    fn roles(
        &mut self,
        engines: &Engines,
        demand: Demand,
        now: MonotonicTime,
        orders: &mut Vec<Order>,
    ) {
        self.mix
            .sample(demand.prefill_share(), self.settings.mix_step);
        let epoch = self.mix.epoch();
        let mut counts = RoleCounts::of(engines, |key| self.role(key, &engines[key]));
        let shape = self.settings.shape;
        let mut spread = self.spread(engines);
        let in_change = self
            .pending
            .values()
            .filter(|pending| matches!(pending.order, Order::SetRole(..)))
            .count();
        for _ in in_change..self.settings.changes_at_once {
            let current = counts.value(demand, &shape);
            let mut best: Option<(f64, UpstreamKey, EngineRole)> = None;
            for (key, engine) in engines {
                if !self.may_change(key, engine, now) {
                    continue;
                }
                for to in [EngineRole::Prefill, EngineRole::Decode, EngineRole::Mixed] {
                    let after = counts.changed(engine.role, to);
                    if to == engine.role || !spans_domains(&spread, engine, to) {
                        continue;
                    }
                    let gain = (after.value(demand, &shape) - current)
                        * self.settings.horizon.as_secs_f64();
                    let cost = self.change_cost(engine, demand, &counts);
                    let net = gain - cost * self.settings.hysteresis - 1e-3 * engine.backlog;
                    if net > 0.0 && best.is_none_or(|(most, ..)| net > most) {
                        best = Some((net, key, to));
                    }
                }
            }
            let Some((_, key, role)) = best else { return };
            counts = counts.changed(engines[key].role, role);
            let domain = spread.entry(engines[key].domain).or_default();
            domain.add(engines[key].role, -1);
            domain.add(role, 1);
            let order = Order::SetRole(key, role);
            self.pending.insert(key, Pending { order, since: now });
            self.changed.insert(key, Changed { at: now, epoch });
            orders.push(order);
        }
    }

    /// Engine seconds that a role change loses: the time without the engine, as far as the others
    /// cannot take its work, and the drain before it.
    fn change_cost(&self, engine: &EngineView, demand: Demand, counts: &RoleCounts) -> f64 {
        let engines = (counts.prefill + counts.decode + counts.mixed).max(1) as f64;
        let load = (demand.total() / engines).min(1.0);
        self.settings.change.as_secs_f64() * load + 0.5 * engine.backlog.min(4.0)
    }

    /// Engines by failure domain and what they can do.
    fn spread(&self, engines: &Engines) -> Spread {
        let mut spread = Spread::new();
        for (key, engine) in engines {
            if let Some(role) = self.role(key, engine) {
                spread.entry(engine.domain).or_default().add(role, 1);
            }
        }
        spread
    }

    /// Orders model loads, at most as many at a time as the weight store's rate carries and one
    /// per failure domain.
    fn versions(
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
        let counts = RoleCounts::of(engines, |key| self.role(key, &engines[key]));
        let mut left = self.settings.parallel_loads.saturating_sub(loading.len());
        let mut domains: BTreeSet<_> = loading.into_iter().flatten().collect();
        let usable = counts.prefill + counts.decode + counts.mixed;
        for (key, engine) in engines {
            let outdated = engine.version != self.settings.version;
            let free = is_usable(engine) && !self.pending.contains_key(key);
            // A site short of capacity keeps the old version until it has room; one engine at a
            // time still goes on, so that the change is not put off for ever.
            let room = counts.scale(demand, &self.settings.shape) > 1.1 || domains.is_empty();
            if left == 0 || !outdated || !free || !room || usable < 2 {
                continue;
            }
            if domains.insert(engine.domain) {
                left -= 1;
                let order = Order::LoadVersion(key, self.settings.version);
                self.pending.insert(key, Pending { order, since: now });
                orders.push(order);
            }
        }
    }

    /// Orders an upstream when the forecast at its lead time stays above what the fleet carries,
    /// and gives one back when one fewer would carry it for a whole lead time.
    fn size(
        &mut self,
        engines: &Engines,
        demand: Demand,
        now: MonotonicTime,
        orders: &mut Vec<Order>,
    ) {
        let counts = RoleCounts::of(engines, |key| self.role(key, &engines[key]));
        let have = engines.len() + self.fleet.ordered.len();
        let carry = counts.scale(demand, &self.settings.shape);
        let engines_now = (counts.prefill + counts.decode + counts.mixed).max(1) as f64;
        let with_ordered = carry * (1.0 + self.fleet.ordered.len() as f64 / engines_now);
        let without_one = carry * (1.0 - 1.0 / engines_now);
        let is_short = with_ordered * ORDER_ABOVE < 1.0;
        let is_spare = without_one * GIVE_BACK_BELOW > 1.0 && self.pending.is_empty();
        self.fleet.short_since = is_short.then(|| self.fleet.short_since.unwrap_or(now));
        self.fleet.spare_since = is_spare.then(|| self.fleet.spare_since.unwrap_or(now));
        let lasted =
            |since: Option<MonotonicTime>, time| since.is_some_and(|at| now.since(at) >= time);
        if have < self.settings.max_upstreams
            && lasted(self.fleet.short_since, self.settings.interval * 2)
        {
            self.fleet.short_since = None;
            self.fleet.ordered.push(now);
            orders.push(Order::Add(emptiest_domain(engines)));
        } else if engines.len() > self.settings.min_upstreams
            && lasted(self.fleet.spare_since, self.settings.order_lead)
        {
            self.fleet.spare_since = None;
            if let Some(key) = self.least_needed(engines, demand) {
                let order = Order::Remove(key);
                self.pending.insert(key, Pending { order, since: now });
                orders.push(order);
            }
        }
    }

    fn least_needed(&self, engines: &Engines, demand: Demand) -> Option<UpstreamKey> {
        let counts = RoleCounts::of(engines, |key| self.role(key, &engines[key]));
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
                let value = fewer.value(demand, &self.settings.shape) - 1e-3 * engine.backlog;
                (value, key)
            })
            .max_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, key)| key)
    }
}

impl RolePlanner {
    /// Orders for the demand expected within the horizon and `at_lead`, when an upstream ordered
    /// now would take work.
    pub(super) fn plan_for(
        &mut self,
        engines: &Engines,
        demand: Demand,
        at_lead: Demand,
        now: MonotonicTime,
    ) -> Vec<Order> {
        let due = self
            .evaluated
            .is_none_or(|at| now.since(at) >= self.settings.interval);
        if !due {
            return Vec::new();
        }
        self.evaluated = Some(now);
        self.engines = engines.len();
        self.settle(engines, now);
        // Too few fresh reports say nothing about the roles: a planner that has just started, or
        // is cut off, orders nothing.
        let fresh = engines
            .values()
            .filter(|engine| engine.report_age <= LOST_AFTER)
            .count();
        if fresh * 2 < engines.len() {
            return Vec::new();
        }
        let mut orders = Vec::new();
        if demand.total() > 0.0 {
            self.roles(engines, demand, now, &mut orders);
        }
        self.versions(engines, demand, now, &mut orders);
        self.size(engines, at_lead, now, &mut orders);
        orders
    }
}

impl Planner for RolePlanner {
    fn observe(&mut self, demand: Demand, now: MonotonicTime) {
        // More than the fleet can carry several times over is a burst of estimates, not a level.
        let most = match self.engines {
            0 => f64::INFINITY,
            engines => MAX_DEMAND * engines as f64,
        };
        self.prefill.sample(demand.prefill.min(most), now);
        self.decode.sample(demand.decode.min(most), now);
    }

    fn plan(&mut self, engines: &Engines, now: MonotonicTime) -> Vec<Order> {
        if !self.prefill.is_ready(now) {
            return Vec::new();
        }
        let demand = self.forecast(self.settings.change);
        let at_lead = self.forecast(self.settings.order_lead);
        self.plan_for(engines, demand, at_lead, now)
    }
}

/// Engines of one failure domain by what they can do.
#[derive(Debug, Default, Clone, Copy)]
struct Able {
    prefill: i32,
    decode: i32,
}

/// Engines by failure domain.
type Spread = BTreeMap<u16, Able>;

impl Able {
    fn add(&mut self, role: EngineRole, count: i32) {
        if role != EngineRole::Decode {
            self.prefill += count;
        }
        if role != EngineRole::Prefill {
            self.decode += count;
        }
    }
}

/// Whether prefill and decode stay possible in two failure domains after `engine` takes the role
/// `to`, so that the loss of one domain leaves both.
fn spans_domains(spread: &Spread, engine: &EngineView, to: EngineRole) -> bool {
    let (mut prefill, mut decode) = (0, 0);
    for (&domain, &able) in spread {
        let mut able = able;
        if domain == engine.domain {
            able.add(engine.role, -1);
            able.add(to, 1);
        }
        prefill += usize::from(able.prefill > 0);
        decode += usize::from(able.decode > 0);
    }
    let need = spread.len().min(2);
    prefill >= need && decode >= need
}

fn is_usable(engine: &EngineView) -> bool {
    engine.available && engine.report_age <= LOST_AFTER
}

fn emptiest_domain(engines: &Engines) -> u16 {
    let mut domains = BTreeMap::<u16, usize>::new();
    for engine in engines.values() {
        *domains.entry(engine.domain).or_default() += usize::from(is_usable(engine));
    }
    domains
        .into_iter()
        .min_by_key(|&(domain, count)| (count, domain))
        .map_or(0, |(domain, _)| domain)
}
