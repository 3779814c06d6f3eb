//! Runs the role planner. Every gateway observes the demand, so that its forecast is up to date
//! when it acquires the planner lease; only the holder of the lease issues orders.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use nutmegbay_core::node::Event;
use nutmegbay_core::record::{LeaseRole, OrderCommand};
use nutmegbay_policy::plan::{
    Demand, EngineView, Engines, Order, PlanSettings, Planner, RolePlanner,
};
use nutmegbay_settings::model::{Model, SiteSettings};
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;

use super::{Admission, ModelPool};
use crate::gateway::Gateway;
use crate::state::Input;

/// Time between two runs of the planner while no site settings are loaded.
const DEFAULT_PLAN_INTERVAL: Duration = Duration::from_secs(5);

/// Number by which the planner knows the configured version of a model.
const CONFIGURED_VERSION: u32 = 1;
/// Number by which the planner knows every other version of a model.
const OTHER_VERSION: u32 = 0;

/// Runs the planners of all models periodically until the state task ends.
pub async fn plan(gateway: Arc<Gateway>, inputs: mpsc::Sender<Input>) {
    let mut planners: HashMap<Box<str>, RolePlanner> = HashMap::new();
    loop {
        let interval = gateway
            .view()
            .site
            .as_ref()
            .map_or(DEFAULT_PLAN_INTERVAL, |site| {
                Duration::from_secs(site.planner.interval_s)
            });
        sleep(interval).await;
        let view = gateway.view();
        let Some(site) = view.site.clone().filter(|site| site.planner.enabled) else {
            continue;
        };
        let (reply, status) = oneshot::channel();
        if inputs.send(Input::Status(reply)).await.is_err() {
            return;
        }
        let Ok(status) = status.await else {
            return;
        };
        let holds_lease = status.leases.contains_key(&LeaseRole::Planner);
        let gateways = view.peers.len() + 1;
        for model in &site.models {
            let planner = planners
                .entry(model.name.clone())
                .or_insert_with(|| RolePlanner::new(plan_settings(&site)));
            let commands = gateway
                .admission
                .plan(model, planner, gateways, holds_lease);
            for command in commands {
                tracing::info!(event = "order_wanted", model = %model.name, ?command);
                let order_requested = Input::Node(Event::OrderRequested(command));
                if inputs.send(order_requested).await.is_err() {
                    return;
                }
            }
        }
    }
}

fn plan_settings(site: &SiteSettings) -> PlanSettings {
    PlanSettings {
        interval: Duration::from_secs(site.planner.interval_s),
        horizon: Duration::from_secs(site.planner.horizon_s),
        version: CONFIGURED_VERSION,
        // The site settings contain no limits on the number of upstreams. With these values the
        // planner neither adds nor removes any.
        min_upstreams: usize::MAX,
        max_upstreams: 0,
        ..PlanSettings::default()
    }
}

impl Admission {
    /// Passes the demand of a model to `planner`. If this gateway holds the planner lease, also
    /// passes the engines and returns the orders of the planner, otherwise returns no orders.
    pub fn plan(
        &self,
        model: &Model,
        planner: &mut impl Planner,
        gateways: usize,
        holds_lease: bool,
    ) -> Vec<OrderCommand> {
        let now = self.clock.now();
        let mut state = self.lock();
        let Some(pool) = state.pools.get_mut(&model.name) else {
            return Vec::new();
        };
        // The load balancer spreads callers evenly, so the total demand is the demand of this
        // gateway times the number of gateways.
        let gateway_count = f64::from(u32::try_from(gateways).unwrap_or(u32::MAX));
        let offered_demand = std::mem::take(&mut pool.offered_demand);
        let demand = Demand {
            prefill: offered_demand.prefill * gateway_count,
            decode: offered_demand.decode * gateway_count,
        };
        planner.observe(demand, now);
        if !holds_lease {
            return Vec::new();
        }
        let mut engines = Engines::new();
        for (key, upstream) in pool.upstreams() {
            let Some(up) = pool.fleet.get(key) else {
                continue;
            };
            let models = upstream.last_report().map(|r| r.load.models);
            let view = EngineView {
                domain: up.domain,
                role: up.role,
                version: loaded_version(model, &models.unwrap_or_default()),
                available: up.accepting,
                report_age: now.since(up.reported_at()),
                backlog: up.backlog(&pool.cost, now),
            };
            engines.insert(key, view);
        }
        let orders = planner.plan(&engines, now);
        orders
            .into_iter()
            .filter_map(|order| order_command(order, pool, model))
            .collect()
    }
}

/// Returns the version number of the model that an engine has loaded. An engine that reports no
/// models serves any version.
fn loaded_version(model: &Model, loaded: &[Box<str>]) -> u32 {
    let configured = format!("{}@{}", model.name, model.version);
    if loaded.is_empty() || loaded.iter().any(|l| **l == *configured) {
        CONFIGURED_VERSION
    } else {
        OTHER_VERSION
    }
}

fn order_command(order: Order, pool: &ModelPool, model: &Model) -> Option<OrderCommand> {
    let name = |key| {
        let mut upstreams = pool.upstreams();
        let found = upstreams.find(|(k, _)| *k == key);
        found.map(|(_, upstream)| upstream.name.clone())
    };
    match order {
        Order::SetRole(key, role) => Some(OrderCommand::SetRole {
            upstream: name(key)?,
            role,
        }),
        Order::LoadVersion(key, _) => Some(OrderCommand::LoadModel {
            upstream: name(key)?,
            model: model.name.clone(),
            version: model.version.clone(),
        }),
        Order::Remove(key) => Some(OrderCommand::RemoveUpstream {
            upstream: name(key)?,
        }),
        // `plan_settings` sets limits under which the planner adds no upstream.
        Order::Add(_) => None,
    }
}
