//! Lookup tables for the routes and keys of a configuration.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use nutmegbay_policy::edge::urgency::PriorityRanks;

use crate::model::{Account, DeploymentConfig, Route, Service};

/// Routes and client accounts of one configuration, indexed for lookup.
#[derive(Debug, Default)]
pub struct RouteTable {
    config: DeploymentConfig,
    by_host: HashMap<Box<str>, HashMap<Box<str>, Rc<Route>>>,
    by_key: HashMap<Box<str>, Rc<Account>>,
    ranks: PriorityRanks,
    /// Longest timeout of the resumable routes of each service that has any.
    stream_timeouts: HashMap<Box<str>, Duration>,
}

/// Reason for which no route accepts a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteError {
    /// No route matches the request's host and path.
    Unknown,
    /// The route requires a key and the request has none.
    NoKey,
    /// No client account has this key.
    BadKey,
}

impl RouteTable {
    /// Builds the tables of a configuration.
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
        let ranks = PriorityRanks::new(priorities(&config));
        let mut stream_timeouts: HashMap<Box<str>, Duration> = HashMap::new();
        for route in config.routes.iter().filter(|route| route.is_resumable) {
            for target in &route.targets {
                let longest = stream_timeouts.entry(target.service.clone()).or_default();
                *longest = route.timeout.max(*longest);
            }
        }
        Self {
            config,
            by_host,
            by_key,
            ranks,
            stream_timeouts,
        }
    }

    /// Returns the services whose streams may be taken up, with the longest time for which such a
    /// stream lasts.
    pub fn stream_timeouts(&self) -> impl Iterator<Item = (&str, Duration)> {
        let timeouts = self.stream_timeouts.iter();
        timeouts.map(|(service, timeout)| (&**service, *timeout))
    }

    /// Returns the longest time for which a stream of `service` lasts that may be taken up.
    pub fn stream_timeout(&self, service: &str) -> Option<Duration> {
        self.stream_timeouts.get(service).copied()
    }

    /// Returns the rank of a request within the deployment. 0 is the most urgent.
    pub fn rank(&self, route: &Route, account: Option<&Account>) -> u8 {
        let own = account.and_then(|account| account.priority);
        self.ranks.rank(own, route.priority)
    }

    /// Returns the configuration from which the tables were built.
    pub fn config(&self) -> &DeploymentConfig {
        &self.config
    }

    /// Returns the route with the longest prefix of `path`. `host` may include a port.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let prefixes = self.by_host.get(name).or_else(|| {
            let lower = name.to_ascii_lowercase();
            self.by_host.get(lower.as_str())
        })?;
        path.rmatch_indices('/')
            .find_map(|(at, _)| prefixes.get(&path[..=at]))
    }

    /// Returns the client account of a request: `None` on anonymous routes, and if the deployment
    /// requires no keys.
    pub fn account(
        &self,
        route: &Route,
        key: Option<&str>,
    ) -> Result<Option<Rc<Account>>, RouteError> {
        if route.allows_anonymous || !self.config.requires_keys {
            return Ok(None);
        }
        let key = key.ok_or(RouteError::NoKey)?;
        let account = self.by_key.get(key).ok_or(RouteError::BadKey)?;
        Ok(Some(Rc::clone(account)))
    }

    /// Returns the service for a request on `route`. `sample`, between 0 and 1, selects among the
    /// weights of a split route.
    pub fn service(&self, route: &Route, sample: f64) -> Option<&Rc<Service>> {
        let weights = route.targets.iter().map(|target| f64::from(target.weight));
        let mut rest = sample * weights.sum::<f64>();
        let target = route.targets.iter().find(|target| {
            rest -= f64::from(target.weight);
            rest < 0.0
        });
        let target = target.or_else(|| route.targets.last())?;
        self.config.services.get(&target.service)
    }
}

/// Returns every combination of account priority and route priority that a request can have.
fn priorities(config: &DeploymentConfig) -> Vec<(Option<u8>, u8)> {
    let mut account_priorities: Vec<_> = config
        .accounts
        .iter()
        .map(|account| account.priority)
        .collect();
    account_priorities.sort_unstable();
    account_priorities.dedup();
    let route_combinations = |route: &Rc<Route>| {
        let own = if route.allows_anonymous || account_priorities.is_empty() {
            &[None][..]
        } else {
            &account_priorities[..]
        };
        let priority = route.priority;
        own.iter()
            .map(move |own| (*own, priority))
            .collect::<Vec<_>>()
    };
    config.routes.iter().flat_map(route_combinations).collect()
}
