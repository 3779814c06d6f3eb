//! Admission: who runs when and where.
//!
//! Every request of a model enters the fair queue of that model's pool and leaves it as soon as an
//! upstream has room. The decisions are those of the policy library; this module feeds it with
//! reports, and its places count what is in flight.

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
pub use pool::{Need, Place, Pool, Waiter};

type ModelPool = Pool<LoadRouter, FairQueue<Waiter>>;

/// Time for which a request may wait before there are settings.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);

/// Admission of one gateway.
pub struct Admission {
    clock: Clock,
    domain: Box<str>,
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    accounts: SlotMap<AccountKey, Box<str>>,
    by_name: HashMap<Box<str>, AccountKey>,
    domains: Vec<Box<str>>,
    pools: HashMap<Box<str>, ModelPool>,
    list: Arc<[Arc<Upstream>]>,
    site: Option<Arc<SiteSettings>>,
    /// Engine seconds served since the last gossip, by client account.
    served: HashMap<AccountKey, f64>,
    /// Engine seconds sent since the last gossip, by upstream.
    sent: HashMap<Box<str>, f64>,
}

/// A request as admission sees it.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// Client account.
    pub account: &'a str,
    /// Model.
    pub model: &'a str,
    /// Priority within the account.
    pub priority: u8,
    /// What it needs.
    pub need: &'a Need,
}

/// A place at an upstream, given back when dropped.
pub struct Grant {
    /// Upstream.
    pub upstream: Arc<Upstream>,
    admission: Arc<Admission>,
    model: Box<str>,
    key: UpstreamKey,
    work: f64,
    _dispatch: OpenRequestGuard,
}

impl Need {
    /// Need of a request that has not run yet.
    pub fn new(model: &str, prompt: &str, max_tokens: u32) -> Self {
        Self {
            prompt_tokens: estimate_tokens(prompt),
            max_tokens,
            pieces: prefix_block_hashes(model, prompt).into(),
            avoid: Vec::new(),
        }
    }
}

impl Admission {
    /// Admission of a gateway in the given failure domain.
    pub fn new(clock: Clock, domain: &str) -> Arc<Self> {
        Arc::new(Self {
            clock,
            domain: domain.into(),
            inner: Mutex::default(),
        })
    }

    /// Waits for a place in the order that fairness gives.
    pub async fn admit(self: &Arc<Self>, view: &View, req: Request<'_>) -> Result<Grant, Problem> {
        let limits = view.site.as_ref().map(|site| &site.limits);
        let patience = limits.map_or(DEFAULT_DEADLINE, |limits| {
            Duration::from_millis(limits.queue_deadline_ms)
        });
        let max_queued = limits.map_or(usize::MAX, |l| l.max_queued as usize);
        let now = self.clock.now();
        let deadline = now.plus(patience);
        let (reply, place) = oneshot::channel();
        let returned = {
            let mut inner = self.lock();
            inner.sync(view, &self.domain, now);
            let account = inner.account(req.account);
            let pool = inner.pools.get_mut(req.model);
            let pool = pool.ok_or_else(|| no_upstream(req.model))?;
            if !pool.refresh(now) {
                return Err(no_upstream(req.model));
            }
            if pool.queue.len() >= max_queued {
                return Err(overloaded(patience));
            }
            let waiter = Waiter {
                need: req.need.clone(),
                reply,
            };
            let pushed = pool.push(account, req.priority, deadline, waiter, now);
            pushed.map_err(overloaded)?;
            pool.pump(now)
        };
        self.give_back(req.model, returned);
        let until = self.clock.instant(deadline);
        match tokio::time::timeout_at(until, place).await {
            Ok(Ok(place)) => Ok(self.grant(req, place)),
            Ok(Err(_)) | Err(_) => Err(overloaded(patience)),
        }
    }

    /// Place for a request that has run before; it does not wait a second time.
    pub fn replace(self: &Arc<Self>, view: &View, req: Request<'_>) -> Option<Grant> {
        let now = self.clock.now();
        let place = {
            let mut inner = self.lock();
            inner.sync(view, &self.domain, now);
            let pool = inner.pools.get_mut(req.model)?;
            pool.refresh(now).then(|| pool.place(req.need, now))??
        };
        Some(self.grant(req, place))
    }

    fn grant(self: &Arc<Self>, req: Request<'_>, place: Place) -> Grant {
        let mut inner = self.lock();
        let account = inner.account(req.account);
        *inner.served.entry(account).or_default() += place.cost;
        let name = &place.upstream.name;
        match inner.sent.get_mut(name) {
            Some(sent) => *sent += place.work,
            None => drop(inner.sent.insert(name.clone(), place.work)),
        }
        drop(inner);
        Grant {
            _dispatch: OpenRequestGuard::new(Arc::clone(&place.upstream)),
            upstream: place.upstream,
            admission: Arc::clone(self),
            model: req.model.into(),
            key: place.key,
            work: place.work,
        }
    }

    fn give_back(&self, model: &str, mut returned: Vec<Place>) {
        while let Some(place) = returned.pop() {
            returned.extend(self.finished(model, place.key, place.work));
        }
    }

    fn finished(&self, model: &str, key: UpstreamKey, work: f64) -> Vec<Place> {
        let now = self.clock.now();
        let mut inner = self.lock();
        let Some(pool) = inner.pools.get_mut(model) else {
            return Vec::new();
        };
        pool.finished(key, work);
        pool.pump(now)
    }

    /// Takes the status of a sidecar.
    pub fn reported(&self, upstream: &Arc<Upstream>, status: &SidecarStatus, taken: MonotonicTime) {
        self.with_pool(upstream, |pool, now| {
            pool.reported(upstream, &status.load, taken);
            pool.cached(upstream, &status.cache);
            pool.refresh(now);
            pool.pump(now)
        });
    }

    /// Takes the load that came with an answer.
    pub fn reported_load(&self, upstream: &Arc<Upstream>, load: &Load) {
        let now = self.clock.now();
        let age = Duration::from_millis(load.age_ms);
        let taken = MonotonicTime(now.0.saturating_sub(age));
        self.with_pool(upstream, |pool, _| {
            pool.reported(upstream, load, taken);
            Vec::new()
        });
    }

    fn with_pool(
        &self,
        upstream: &Arc<Upstream>,
        work: impl FnOnce(&mut ModelPool, MonotonicTime) -> Vec<Place>,
    ) {
        let now = self.clock.now();
        let returned = {
            let mut inner = self.lock();
            let pool = inner.pools.get_mut(&upstream.serves);
            pool.map(|pool| work(pool, now)).unwrap_or_default()
        };
        self.give_back(&upstream.serves, returned);
    }

    /// Follows the settings and the list of upstreams, and gives places that have become free.
    pub fn tick(&self, view: &View) {
        let now = self.clock.now();
        let mut returned = Vec::new();
        {
            let mut inner = self.lock();
            inner.sync(view, &self.domain, now);
            for (model, pool) in &mut inner.pools {
                pool.refresh(now);
                returned.push((model.clone(), pool.pump(now)));
            }
        }
        for (model, places) in returned {
            self.give_back(&model, places);
        }
    }

    /// Work to tell peers, in milliseconds of engine time: served by account, sent by upstream.
    pub fn take_news(&self) -> (BTreeMap<Box<str>, u64>, BTreeMap<Box<str>, u64>) {
        let mut inner = self.lock();
        let served = std::mem::take(&mut inner.served);
        let sent = std::mem::take(&mut inner.sent);
        let named = served.into_iter().filter_map(|(key, work)| {
            let name = inner.accounts.get(key)?.clone();
            Some((name, millis(work)))
        });
        let served = named.collect();
        (
            served,
            sent.into_iter().map(|(n, w)| (n, millis(w))).collect(),
        )
    }

    /// Takes the work that a peer has served and sent.
    pub fn peer_news(&self, served: &BTreeMap<Box<str>, u64>, sent: &BTreeMap<Box<str>, u64>) {
        let now = self.clock.now();
        let mut inner = self.lock();
        let count = u32::try_from(inner.pools.len().max(1)).unwrap_or(u32::MAX);
        for (account, ms) in served {
            let account = inner.account(account);
            for pool in inner.pools.values_mut() {
                // Peers do not say which model served the work.
                pool.queue.charge(account, seconds(*ms) / f64::from(count));
            }
        }
        for pool in inner.pools.values_mut() {
            let keys: Vec<_> = pool
                .upstreams()
                .filter_map(|(key, u)| Some((key, *sent.get(&u.name)?)))
                .collect();
            for (key, ms) in keys {
                pool.fleet.record_peer_dispatch(key, seconds(ms), now);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn account(&mut self, name: &str) -> AccountKey {
        if let Some(key) = self.by_name.get(name) {
            return *key;
        }
        let key = self.accounts.insert(name.into());
        self.by_name.insert(name.into(), key);
        key
    }

    /// Follows the list of upstreams and the shares, if they have changed.
    fn sync(&mut self, view: &View, own_domain: &str, now: MonotonicTime) {
        let is_site_same = match (&self.site, &view.site) {
            (Some(a), Some(b)) => Arc::ptr_eq(a, b),
            (a, b) => a.is_none() && b.is_none(),
        };
        if is_site_same && Arc::ptr_eq(&self.list, &view.upstreams) {
            return;
        }
        self.list = Arc::clone(&view.upstreams);
        self.site.clone_from(&view.site);
        let domain = self.domain(own_domain);
        let mut by_model: HashMap<Box<str>, Vec<(Arc<Upstream>, u16)>> = HashMap::new();
        for upstream in view.upstreams.iter() {
            if upstream.kind == InstanceKind::Engine {
                let number = self.domain(&upstream.failure_domain);
                let list = by_model.entry(upstream.serves.clone()).or_default();
                list.push((Arc::clone(upstream), number));
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
            let list = by_model.get(model).map_or(&[][..], |list| list);
            pool.set_upstreams(list, now);
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

    fn domain(&mut self, name: &str) -> u16 {
        let known = self.domains.iter().position(|d| **d == *name);
        let index = known.unwrap_or_else(|| {
            self.domains.push(name.into());
            self.domains.len() - 1
        });
        u16::try_from(index).unwrap_or(u16::MAX)
    }
}

impl Grant {
    /// Tells how much of the prompt the upstream had in its cache.
    pub fn answered(&self, need: &Need, cached_tokens: u32) {
        let mut inner = self.admission.lock();
        if let Some(pool) = inner.pools.get_mut(&self.model) {
            pool.answered(self.key, &need.pieces, cached_tokens);
        }
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        let admission = &self.admission;
        let returned = admission.finished(&self.model, self.key, self.work);
        admission.give_back(&self.model, returned);
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

fn millis(seconds: f64) -> u64 {
    u64::try_from(Duration::from_secs_f64(seconds.max(0.0)).as_millis()).unwrap_or(u64::MAX)
}

fn seconds(ms: u64) -> f64 {
    Duration::from_millis(ms).as_secs_f64()
}
