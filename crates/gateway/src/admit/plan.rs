//! Role planner: runs at every gateway, so that its forecast is warm, and gives orders only while
//! this gateway holds the planner lease.

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

/// Time between two evaluations before there are settings.
const DEFAULT_INTERVAL: Duration = Duration::from_secs(5);

/// Numbers under which the planner knows model versions.
const WANTED_VERSION: u32 = 1;
const OTHER_VERSION: u32 = 0;

/// Evaluates roles until the state task ends.
pub async fn plan(gateway: Arc<Gateway>, inputs: mpsc::Sender<Input>) {
    let mut planners: HashMap<Box<str>, RolePlanner> = HashMap::new();
    loop {
        let interval = gateway
            .view()
            .site
            .as_ref()
            .map_or(DEFAULT_INTERVAL, |site| {
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
        let is_holder = status.leases.contains_key(&LeaseRole::Planner);
        let gateways = view.peers.len() + 1;
        for model in &site.models {
            let planner = planners
                .entry(model.name.clone())
                .or_insert_with(|| RolePlanner::new(settings(&site)));
            let commands = gateway.admission.plan(model, planner, gateways, is_holder);
            for command in commands {
                tracing::info!(event = "order_wanted", model = %model.name, ?command);
                let wanted = Input::Node(Event::OrderRequested(command));
                if inputs.send(wanted).await.is_err() {
                    return;
                }
            }
        }
    }
}

fn settings(site: &SiteSettings) -> PlanSettings {
    PlanSettings {
        interval: Duration::from_secs(site.planner.interval_s),
        horizon: Duration::from_secs(site.planner.horizon_s),
        version: WANTED_VERSION,
        // The settings of a site name no limits on its size, so that no upstream is ordered or
        // given back.
        min_upstreams: usize::MAX,
        max_upstreams: 0,
        ..PlanSettings::default()
    }
}

impl Admission {
    /// Lets `planner` see the demand and the engines of a model; returns its orders if this gateway
    /// may give any.
    pub fn plan(
        &self,
        model: &Model,
        planner: &mut impl Planner,
        gateways: usize,
        is_holder: bool,
    ) -> Vec<OrderCommand> {
        let now = self.clock.now();
        let mut inner = self.lock();
        let Some(pool) = inner.pools.get_mut(&model.name) else {
            return Vec::new();
        };
        // The load balancer spreads callers evenly, so this gateway sees an equal share.
        let share = f64::from(u32::try_from(gateways).unwrap_or(u32::MAX));
        let offered = std::mem::take(&mut pool.offered);
        let demand = Demand {
            prefill: offered.prefill * share,
            decode: offered.decode * share,
        };
        planner.observe(demand, now);
        if !is_holder {
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
                version: version(model, &models.unwrap_or_default()),
                available: up.accepting,
                report_age: now.since(up.reported_at()),
                backlog: up.backlog(&pool.cost, now),
            };
            engines.insert(key, view);
        }
        let orders = planner.plan(&engines, now);
        orders
            .into_iter()
            .filter_map(|order| command(order, pool, model))
            .collect()
    }
}

/// Number of the version that an engine has loaded. One that names no models serves any.
fn version(model: &Model, loaded: &[Box<str>]) -> u32 {
    let wanted = format!("{}@{}", model.name, model.version);
    if loaded.is_empty() || loaded.iter().any(|l| **l == *wanted) {
        WANTED_VERSION
    } else {
        OTHER_VERSION
    }
}

fn command(order: Order, pool: &ModelPool, model: &Model) -> Option<OrderCommand> {
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
        // The settings allow no additions, see `settings`.
        Order::Add(_) => None,
    }
}
