//! Admission: decides when and on which upstream each model request runs.
//!
//! A request enters the fair queue of its model's pool and leaves it as soon as an upstream has
//! capacity. The policy library makes the decisions. This module passes load reports to it, and
//! records each request as in flight until its reservation is dropped.

mod plan;
mod pool;

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_policy::queue::{FairQueue, Queue};
use nutmegbay_policy::route::{LoadRouter, LoadRouterSettings};
use nutmegbay_policy::{AccountKey, UpstreamKey};
use nutmegbay_proto::control::SidecarStatus;
use nutmegbay_proto::engine::Load;
use nutmegbay_proto::platform::InstanceKind;
use nutmegbay_proto::prefix::{estimate_tokens, prefix_block_hashes};
use nutmegbay_proto::problem::{Problem, ProblemKind};
use nutmegbay_settings::model::SiteSettings;
use slotmap::SlotMap;
use tokio::sync::oneshot;

use crate::data::refuse::not_run;
use crate::state::environment::Clock;
use crate::state::upstreams::{OpenRequestGuard, Upstream};
use crate::state::view::View;

pub use plan::plan;
pub use pool::{Assignment, Pool, QueuedRequest, Requirements};

type ModelPool = Pool<LoadRouter, FairQueue<QueuedRequest>>;

/// Maximum time in the queue while no site settings are loaded.
const DEFAULT_MAX_WAIT: Duration = Duration::from_secs(10);

/// Admission queues and upstream pools of one gateway.
pub struct Admission {
    clock: Clock,
    domain: Box<str>,
    state: Mutex<AdmissionState>,
}

#[derive(Default)]
struct AdmissionState {
    accounts: SlotMap<AccountKey, Box<str>>,
    keys_by_name: HashMap<Box<str>, AccountKey>,
    domains: Vec<Box<str>>,
    pools: HashMap<Box<str>, ModelPool>,
    upstreams: Arc<[Arc<Upstream>]>,
    site: Option<Arc<SiteSettings>>,
    /// Engine seconds served since the last gossip message, by client account.
    served: HashMap<AccountKey, f64>,
    /// Engine seconds of prefill dispatched since the last gossip message, by upstream.
    dispatched: HashMap<Box<str>, f64>,
}

/// Properties of a request that admission depends on.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionRequest<'a> {
    /// Client account.
    pub account: &'a str,
    /// Name of the model.
    pub model: &'a str,
    /// Priority among the requests of the account.
    pub priority: u8,
    /// What the request needs of an upstream.
    pub requirements: &'a Requirements,
}

/// Reservation of an upstream for one request, released when dropped.
pub struct Reservation {
    /// Upstream that is to run the request.
    pub upstream: Arc<Upstream>,
    admission: Arc<Admission>,
    model: Box<str>,
    key: UpstreamKey,
    prefill_s: f64,
    _dispatch: OpenRequestGuard,
}

impl Requirements {
    /// Creates the requirements of a request that has not run yet.
    pub fn new(model: &str, prompt: &str, max_tokens: u32) -> Self {
        Self {
            prompt_tokens: estimate_tokens(prompt),
            max_tokens,
            prefix_blocks: prefix_block_hashes(model, prompt).into(),
            avoid: Vec::new(),
        }
    }
}

impl Admission {
    /// Creates the admission of a gateway in failure domain `domain`, without pools.
    pub fn new(clock: Clock, domain: &str) -> Arc<Self> {
        Arc::new(Self {
            clock,
            domain: domain.into(),
            state: Mutex::default(),
        })
    }

    /// Queues a request and waits until the fair queue assigns an upstream to it.
    ///
    /// Fails if no upstream of the model takes work, the queue is full, or the request would wait
    /// or has waited longer than the queue deadline.
    pub async fn admit(
        self: &Arc<Self>,
        view: &View,
        req: AdmissionRequest<'_>,
    ) -> Result<Reservation, Problem> {
        let limits = view.site.as_ref().map(|site| &site.limits);
        let max_wait = limits.map_or(DEFAULT_MAX_WAIT, |limits| {
            Duration::from_millis(limits.queue_deadline_ms)
        });
        let max_queued = limits.map_or(usize::MAX, |l| l.max_queued as usize);
        let now = self.clock.now();
        let deadline = now.plus(max_wait);
        let (reply, assignment) = oneshot::channel();
        let undelivered = {
            let mut state = self.lock();
            state.apply_view(view, &self.domain, now);
            let account = state.account(req.account);
            let pool = state.pools.get_mut(req.model);
            let pool = pool.ok_or_else(|| no_upstream(req.model))?;
            if !pool.update_accepting(now) {
                return Err(no_upstream(req.model));
            }
            if pool.queue.len() >= max_queued {
                return Err(overloaded(max_wait));
            }
            let queued = QueuedRequest {
                requirements: req.requirements.clone(),
                reply,
            };
            let pushed = pool.push(account, req.priority, deadline, queued, now);
            pushed.map_err(overloaded)?;
            pool.assign_queued(now)
        };
        self.release_undelivered(req.model, undelivered);
        let wait_until = self.clock.instant(deadline);
        match tokio::time::timeout_at(wait_until, assignment).await {
            Ok(Ok(assignment)) => Ok(self.reserve(req, assignment)),
            Ok(Err(_)) | Err(_) => Err(overloaded(max_wait)),
        }
    }

    /// Reserves an upstream for a retry, which does not wait in the queue again. Returns `None` if
    /// no upstream takes work.
    pub fn readmit(
        self: &Arc<Self>,
        view: &View,
        req: AdmissionRequest<'_>,
    ) -> Option<Reservation> {
        let now = self.clock.now();
        let assignment = {
            let mut state = self.lock();
            state.apply_view(view, &self.domain, now);
            let pool = state.pools.get_mut(req.model)?;
            pool.update_accepting(now)
                .then(|| pool.assign_unqueued(req.requirements, now))??
        };
        Some(self.reserve(req, assignment))
    }

    fn reserve(self: &Arc<Self>, req: AdmissionRequest<'_>, assignment: Assignment) -> Reservation {
        let mut state = self.lock();
        let account = state.account(req.account);
        *state.served.entry(account).or_default() += assignment.total_s;
        let name = &assignment.upstream.name;
        match state.dispatched.get_mut(name) {
            Some(dispatched) => *dispatched += assignment.prefill_s,
            None => drop(state.dispatched.insert(name.clone(), assignment.prefill_s)),
        }
        drop(state);
        Reservation {
            _dispatch: OpenRequestGuard::new(Arc::clone(&assignment.upstream)),
            upstream: assignment.upstream,
            admission: Arc::clone(self),
            model: req.model.into(),
            key: assignment.key,
            prefill_s: assignment.prefill_s,
        }
    }

    fn release_undelivered(&self, model: &str, mut undelivered: Vec<Assignment>) {
        while let Some(assignment) = undelivered.pop() {
            undelivered.extend(self.release(model, assignment.key, assignment.prefill_s));
        }
    }

    fn release(&self, model: &str, key: UpstreamKey, prefill_s: f64) -> Vec<Assignment> {
        let now = self.clock.now();
        let mut state = self.lock();
        let Some(pool) = state.pools.get_mut(model) else {
            return Vec::new();
        };
        pool.record_end(key, prefill_s);
        pool.assign_queued(now)
    }

    /// Applies the status of a sidecar: load and cache events. `measured_at` is the time at which
    /// the load was measured.
    pub fn on_sidecar_status(
        &self,
        upstream: &Arc<Upstream>,
        status: &SidecarStatus,
        measured_at: MonotonicTime,
    ) {
        self.with_pool(upstream, |pool, now| {
            pool.on_load_report(upstream, &status.load, measured_at);
            pool.on_cache_events(upstream, &status.cache);
            pool.update_accepting(now);
            pool.assign_queued(now)
        });
    }

    /// Applies the load report that arrived with an answer.
    pub fn on_load_report(&self, upstream: &Arc<Upstream>, load: &Load) {
        let now = self.clock.now();
        let age = Duration::from_millis(load.age_ms);
        let measured_at = MonotonicTime(now.0.saturating_sub(age));
        self.with_pool(upstream, |pool, _| {
            pool.on_load_report(upstream, load, measured_at);
            Vec::new()
        });
    }

    fn with_pool(
        &self,
        upstream: &Arc<Upstream>,
        update: impl FnOnce(&mut ModelPool, MonotonicTime) -> Vec<Assignment>,
    ) {
        let now = self.clock.now();
        let undelivered = {
            let mut state = self.lock();
            let pool = state.pools.get_mut(&upstream.serves);
            pool.map(|pool| update(pool, now)).unwrap_or_default()
        };
        self.release_undelivered(&upstream.serves, undelivered);
    }

    /// Applies changed settings and upstreams, and assigns queued requests to upstreams that have
    /// capacity again.
    pub fn tick(&self, view: &View) {
        let now = self.clock.now();
        let mut undelivered = Vec::new();
        {
            let mut state = self.lock();
            state.apply_view(view, &self.domain, now);
            for (model, pool) in &mut state.pools {
                pool.update_accepting(now);
                undelivered.push((model.clone(), pool.assign_queued(now)));
            }
        }
        for (model, assignments) in undelivered {
            self.release_undelivered(&model, assignments);
        }
    }

    /// Returns the work since the last call, for the gossip message to peers, in milliseconds of
    /// engine time: served by account, and dispatched by upstream.
    pub fn take_gossip(&self) -> (BTreeMap<Box<str>, u64>, BTreeMap<Box<str>, u64>) {
        let mut state = self.lock();
        let served = std::mem::take(&mut state.served);
        let dispatched = std::mem::take(&mut state.dispatched);
        let named = served.into_iter().filter_map(|(key, served)| {
            let name = state.accounts.get(key)?.clone();
            Some((name, millis(served)))
        });
        let served = named.collect();
        (
            served,
            dispatched
                .into_iter()
                .map(|(name, dispatched)| (name, millis(dispatched)))
                .collect(),
        )
    }

    /// Applies the work of a peer, in milliseconds of engine time: `served` by account,
    /// `dispatched` by upstream.
    pub fn apply_gossip(
        &self,
        served: &BTreeMap<Box<str>, u64>,
        dispatched: &BTreeMap<Box<str>, u64>,
    ) {
        let now = self.clock.now();
        let mut state = self.lock();
        let count = u32::try_from(state.pools.len().max(1)).unwrap_or(u32::MAX);
        for (account, ms) in served {
            let account = state.account(account);
            for pool in state.pools.values_mut() {
                // Peers do not report the model, so the work is divided equally among the pools.
                pool.queue
                    .charge(account, engine_seconds(*ms) / f64::from(count));
            }
        }
        for pool in state.pools.values_mut() {
            let keys: Vec<_> = pool
                .upstreams()
                .filter_map(|(key, u)| Some((key, *dispatched.get(&u.name)?)))
                .collect();
            for (key, ms) in keys {
                pool.fleet
                    .record_peer_dispatch(key, engine_seconds(ms), now);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, AdmissionState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl AdmissionState {
    fn account(&mut self, name: &str) -> AccountKey {
        if let Some(key) = self.keys_by_name.get(name) {
            return *key;
        }
        let key = self.accounts.insert(name.into());
        self.keys_by_name.insert(name.into(), key);
        key
    }

    /// Applies the upstreams and the shares of the accounts, if they have changed.
    fn apply_view(&mut self, view: &View, own_domain: &str, now: MonotonicTime) {
        let is_site_unchanged = match (&self.site, &view.site) {
            (Some(a), Some(b)) => Arc::ptr_eq(a, b),
            (a, b) => a.is_none() && b.is_none(),
        };
        if is_site_unchanged && Arc::ptr_eq(&self.upstreams, &view.upstreams) {
            return;
        }
        self.upstreams = Arc::clone(&view.upstreams);
        self.site.clone_from(&view.site);
        let domain = self.domain_index(own_domain);
        let mut by_model: HashMap<Box<str>, Vec<(Arc<Upstream>, u16)>> = HashMap::new();
        for upstream in view.upstreams.iter() {
            if upstream.kind == InstanceKind::Engine {
                let domain_index = self.domain_index(&upstream.failure_domain);
                let upstreams = by_model.entry(upstream.serves.clone()).or_default();
                upstreams.push((Arc::clone(upstream), domain_index));
            }
        }
        for model in by_model.keys() {
            if !self.pools.contains_key(model) {
                let router = LoadRouter::new(rand::random(), LoadRouterSettings::default());
                let pool = Pool::new(router, FairQueue::default(), domain);
                self.pools.insert(model.clone(), pool);
            }
        }
        for (model, pool) in &mut self.pools {
            let upstreams = by_model.get(model).map_or(&[][..], |upstreams| upstreams);
            pool.set_upstreams(upstreams, now);
        }
        let Some(site) = self.site.clone() else {
            return;
        };
        for account in &site.accounts {
            let key = self.account(&account.name);
            for pool in self.pools.values_mut() {
                pool.queue.set_share(key, f64::from(account.share));
            }
        }
    }

    fn domain_index(&mut self, name: &str) -> u16 {
        let known = self.domains.iter().position(|d| **d == *name);
        let index = known.unwrap_or_else(|| {
            self.domains.push(name.into());
            self.domains.len() - 1
        });
        u16::try_from(index).unwrap_or(u16::MAX)
    }
}

impl Reservation {
    /// Records how much of the prompt the upstream had in its cache.
    pub fn record_cache_hits(&self, requirements: &Requirements, cached_tokens: u32) {
        let mut state = self.admission.lock();
        if let Some(pool) = state.pools.get_mut(&self.model) {
            pool.record_cache_hits(self.key, &requirements.prefix_blocks, cached_tokens);
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let admission = &self.admission;
        let undelivered = admission.release(&self.model, self.key, self.prefill_s);
        admission.release_undelivered(&self.model, undelivered);
    }
}

fn no_upstream(model: &str) -> Problem {
    let detail = format!("no upstream that serves `{model}` takes work now");
    not_run(ProblemKind::NoUpstream, detail).retry_after(1)
}

fn overloaded(retry_after: Duration) -> Problem {
    let detail = "the request would wait longer than its deadline allows";
    let seconds = u32::try_from(retry_after.as_secs()).unwrap_or(u32::MAX);
    not_run(ProblemKind::Overloaded, detail).retry_after(seconds.max(1))
}

fn millis(engine_seconds: f64) -> u64 {
    u64::try_from(Duration::from_secs_f64(engine_seconds.max(0.0)).as_millis()).unwrap_or(u64::MAX)
}

fn engine_seconds(ms: u64) -> f64 {
    Duration::from_millis(ms).as_secs_f64()
}
