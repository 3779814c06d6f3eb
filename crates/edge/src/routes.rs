//! A configuration prepared for lookup.

use std::collections::HashMap;
use std::rc::Rc;

use nutmegbay_policy::edge::urgency::Ranks;

use crate::model::{Account, DeploymentConfig, Route, Service};

/// Routes and keys of one configuration.
#[derive(Debug, Default)]
pub struct RouteTable {
    config: DeploymentConfig,
    by_host: HashMap<Box<str>, HashMap<Box<str>, Rc<Route>>>,
    by_key: HashMap<Box<str>, Rc<Account>>,
    ranks: Ranks,
}

/// Why a request has no route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteError {
    /// No route of its host takes its path.
    Unknown,
    /// Its route asks for a key, and none came.
    NoKey,
    /// No client account holds its key.
    BadKey,
}

impl RouteTable {
    /// Prepares a configuration.
    pub fn new(config: DeploymentConfig) -> Self {
        let mut by_host: HashMap<Box<str>, HashMap<Box<str>, Rc<Route>>> = HashMap::new();
        for route in &config.routes {
            by_host
                .entry(route.host.clone())
                .or_default()
                .insert(route.prefix.clone(), Rc::clone(route));
        }
        let by_key = config
            .accounts
            .iter()
            .flat_map(|account| {
                let keys = account.keys.iter().cloned();
                keys.map(|key| (key, Rc::clone(account)))
            })
            .collect();
        let ranks = Ranks::new(priorities(&config));
        Self {
            config,
            by_host,
            by_key,
            ranks,
        }
    }

    /// Rank of a request among those of the deployment, 0 is the most urgent.
    pub fn rank(&self, route: &Route, account: Option<&Account>) -> u8 {
        let own = account.and_then(|account| account.priority);
        self.ranks.rank(own, route.priority)
    }

    /// The configuration.
    pub fn config(&self) -> &DeploymentConfig {
        &self.config
    }

    /// Route of the longest prefix that begins `path`. `host` may carry a port.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let prefixes = self.by_host.get(name).or_else(|| {
            let lower = name.to_ascii_lowercase();
            self.by_host.get(lower.as_str())
        })?;
        path.rmatch_indices('/')
            .find_map(|(at, _)| prefixes.get(&path[..=at]))
    }

    /// Client account of a request; none on open routes and where the deployment has no accounts.
    pub fn account(
        &self,
        route: &Route,
        key: Option<&str>,
    ) -> Result<Option<Rc<Account>>, RouteError> {
        if route.allows_anonymous || self.config.accounts.is_empty() {
            return Ok(None);
        }
        let key = key.ok_or(RouteError::NoKey)?;
        let account = self.by_key.get(key).ok_or(RouteError::BadKey)?;
        Ok(Some(Rc::clone(account)))
    }

    /// Service of a request on `route`; `unit` from 0 to 1 picks among the weights of a split.
    pub fn service(&self, route: &Route, sample: f64) -> Option<&Rc<Service>> {
        let total: u32 = route.targets.iter().map(|target| target.weight).sum();
        let mut rest = sample * f64::from(total);
        let target = route.targets.iter().find(|target| {
            rest -= f64::from(target.weight);
            rest < 0.0
        });
        let target = target.or_else(|| route.targets.last())?;
        self.config.services.get(&target.service)
    }
}

/// Priorities of account and route that requests may have.
fn priorities(config: &DeploymentConfig) -> Vec<(Option<u8>, u8)> {
    let mut of_accounts: Vec<_> = config
        .accounts
        .iter()
        .map(|account| account.priority)
        .collect();
    of_accounts.sort_unstable();
    of_accounts.dedup();
    let of_route = |route: &Rc<Route>| {
        let own = if route.allows_anonymous || of_accounts.is_empty() {
            &[None][..]
        } else {
            &of_accounts[..]
        };
        let priority = route.priority;
        own.iter()
            .map(move |own| (*own, priority))
            .collect::<Vec<_>>()
    };
    config.routes.iter().flat_map(of_route).collect()
}
