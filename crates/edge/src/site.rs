//! State that the parts of one edge process share.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use nutmegbay_core::duty::WindowCounts;
use nutmegbay_core::world::Moment;
use nutmegbay_policy::edge::attempts::Deadlines;
use nutmegbay_policy::edge::budget::{BudgetTerms, RetryShare};
use nutmegbay_policy::edge::crashes::CrashHistory;
use nutmegbay_policy::edge::expiry_grace::ExpiryGrace;
use nutmegbay_policy::edge::relay::RelayFollower;
use tokio::sync::Notify;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::clock::{Moments, TrueTime, millis};
use crate::fleet::Fleet;
use crate::members::Members;
use crate::metrics::Metrics;
use crate::model::SiteConfig;
use crate::port::Dialect;
use crate::routes::RouteTable;
use crate::seen::Seen;
use crate::settings::{Bounds, EdgeSettings};

/// Longest wait for the store's return before a call that does not press is made in spite of it: one
/// partition may be away for longer than the others.
const AWAY_PAUSE: Duration = Duration::from_secs(5);

/// Part of the time in which no bound holds for a process that has started, in which it follows a relay
/// without proof. What the last such reply vouches for ends within the rest.
const STARTING_PART: f64 = 0.5;

/// State of one process.
pub struct Site<D> {
    /// Names on the wire.
    pub dialect: D,
    /// Settings in force.
    settings: RefCell<Rc<EdgeSettings>>,
    /// Routes and keys in force; none until a configuration is known.
    pub routes: RefCell<Option<Rc<RouteTable>>>,
    /// Upstreams.
    pub fleet: Rc<RefCell<Fleet>>,
    /// Retries of each service.
    budgets: RefCell<HashMap<Box<str>, RetryShare>>,
    /// Usage counts of this process.
    pub usage: RefCell<WindowCounts>,
    /// Usage counts of earlier lives of this process; none until they were read from the store.
    pub earlier_usage: RefCell<Option<WindowCounts>>,
    /// Usage counts as they were last written to the store.
    pub written_usage: RefCell<WindowCounts>,
    /// Told when counts are to be written at once.
    pub flush_usage: Notify,
    /// Requests that broke with their upstreams.
    pub crashes: RefCell<CrashHistory>,
    /// Figures.
    pub metrics: Metrics,
    /// What was read from the store, to pass on to peers.
    pub seen: RefCell<Seen>,
    /// What is known of the store's last outage.
    pub expiry_grace: RefCell<ExpiryGrace>,
    /// Edge processes.
    pub members: RefCell<Members>,
    /// From whom this process hears of changes instead of reading the store.
    pub feed: RefCell<RelayFollower<SocketAddr>>,
    /// Told when the store is to be read here again.
    pub feed_lost: Notify,
    /// Told when a read of the configuration or of the list of instances has finished here.
    pub read_done: Notify,
    /// Runtime clock.
    pub moments: Moments,
    /// Estimate of true time.
    pub time: RefCell<TrueTime>,
    /// Told when a call to the store failed: a read that waits for a record may have lost its answer
    /// and starts anew.
    pub store_doubted: Notify,
    /// Whether the list of instances could not be read the last time.
    store_away: Cell<bool>,
    /// Told when the list could be read again.
    store_back: Notify,
    /// Cancelled when a planned stop begins.
    pub stop: CancellationToken,
    /// Cancelled when idle connections are to be closed.
    pub close_idle: CancellationToken,
    /// Requests that are being served.
    pub in_flight: Rc<Cell<usize>>,
    /// Deadlines that callers of a route have sent.
    deadlines: RefCell<HashMap<Box<str>, Deadlines>>,
}

impl<D: Dialect> Site<D> {
    /// State of a process that knows nothing yet.
    pub fn new(
        dialect: D,
        settings: EdgeSettings,
        time: TrueTime,
        stop: CancellationToken,
    ) -> Self {
        let fleet = Rc::new(RefCell::new(Fleet::new(
            &settings.domain,
            settings.link_mbps,
        )));
        let moments = Moments::new();
        let starting = settings.bounds.contact.mul_f64(STARTING_PART);
        let starting_until = moments.now().plus(starting);
        Self {
            dialect,
            settings: RefCell::new(Rc::new(settings)),
            routes: RefCell::default(),
            fleet,
            budgets: RefCell::default(),
            usage: RefCell::default(),
            earlier_usage: RefCell::default(),
            written_usage: RefCell::default(),
            flush_usage: Notify::new(),
            crashes: RefCell::default(),
            metrics: Metrics::default(),
            seen: RefCell::default(),
            expiry_grace: RefCell::default(),
            members: RefCell::default(),
            feed: RelayFollower::starting(starting_until).into(),
            feed_lost: Notify::new(),
            read_done: Notify::new(),
            moments,
            time: RefCell::new(time),
            store_doubted: Notify::new(),
            store_away: Cell::new(false),
            store_back: Notify::new(),
            stop,
            close_idle: CancellationToken::new(),
            in_flight: Rc::default(),
            deadlines: RefCell::default(),
        }
    }

    /// Settings in force.
    pub fn settings(&self) -> Rc<EdgeSettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Puts changed settings in force. Addresses that the process listens on stay as they are
    /// until its next start.
    pub fn reload(&self, settings: EdgeSettings) {
        if *self.settings() == settings {
            return;
        }
        tracing::info!(event = "reload", bounds = ?settings.bounds, seeds = ?settings.seeds);
        let terms = budget_terms(&settings.bounds);
        for share in self.budgets.borrow_mut().values_mut() {
            share.set_terms(terms);
        }
        *self.settings.borrow_mut() = Rc::new(settings);
    }

    /// Current moment.
    pub fn now(&self) -> Moment {
        self.moments.now()
    }

    /// Puts a configuration in force unless a newer one is. Returns whether it is in force now.
    pub fn apply_config(&self, config: SiteConfig, source: &'static str) -> bool {
        let before = self.version();
        if before.is_some_and(|version| version >= config.version) {
            return false;
        }
        tracing::info!(
            event = "config_applied",
            version = config.version,
            before,
            routes = config.routes.len(),
            accounts = config.accounts.len(),
            scale = ?config.services.values().filter_map(|s| s.scale).collect::<Vec<_>>(),
            source,
        );
        *self.routes.borrow_mut() = Some(Rc::new(RouteTable::new(config)));
        true
    }

    /// Version of the configuration in force.
    pub fn version(&self) -> Option<u64> {
        let routes = self.routes.borrow();
        routes.as_ref().map(|table| table.config().version)
    }

    /// Whether the process takes new connections.
    pub fn is_ready(&self) -> bool {
        !self.stop.is_cancelled() && self.routes.borrow().is_some()
    }

    /// Edge processes that are believed to run, this one included.
    pub fn instances(&self) -> usize {
        let members = self.members.borrow();
        members.others(&self.settings().node, self.now()).count() + 1
    }

    /// Notes whether the list of instances could be read.
    pub fn store_answers(&self, answers: bool) {
        if self.store_away.replace(!answers) && answers {
            self.store_back.notify_waiters();
        }
    }

    /// Waits before a call to the store that does not press is made again. While the list of
    /// instances cannot be read either, its return is waited for, since refused calls are priced.
    pub async fn store_pause(&self, pause: Duration) {
        if !self.store_away.get() {
            return sleep(pause).await;
        }
        tokio::select! {
            () = self.store_back.notified() => {}
            () = sleep(AWAY_PAUSE) => {}
        }
    }

    /// Place of this process among the edge processes that are believed to run, from 0.
    pub fn rank(&self) -> usize {
        let members = self.members.borrow();
        members.rank(&self.settings().node, self.now())
    }

    /// Whether this process need not read the store, since another one tells it of changes.
    pub fn is_relayed(&self) -> bool {
        self.feed.borrow().relayed_until(self.now()).is_some()
    }

    /// Waits until this process has to read the store itself.
    pub async fn until_direct(&self) {
        loop {
            let lost = self.feed_lost.notified();
            let now = self.now();
            let Some(until) = self.feed.borrow().relayed_until(now) else {
                return;
            };
            tokio::select! {
                () = sleep(until.since(now)) => {}
                () = lost => {}
            }
        }
    }

    /// Counts a first request for `service`.
    pub fn first_request(&self, service: &str) {
        self.with_budget(service, RetryShare::record_first);
    }

    /// Takes a retry for `service` out of the budget; false if there is none left.
    pub fn try_retry(&self, service: &str) -> bool {
        let instances = self.instances();
        let allowed = self.with_budget(service, |share, now| share.try_retry(now, instances));
        if allowed {
            crate::metrics::count(&self.metrics.retries);
        }
        allowed
    }

    fn with_budget<T>(&self, service: &str, f: impl FnOnce(&mut RetryShare, Moment) -> T) -> T {
        let now = self.now();
        let mut budgets = self.budgets.borrow_mut();
        if let Some(share) = budgets.get_mut(service) {
            return f(share, now);
        }
        let terms = budget_terms(&self.settings().bounds);
        let share = budgets
            .entry(service.into())
            .or_insert_with(|| RetryShare::new(terms));
        f(share, now)
    }

    /// Least time since the first attempt of a caller whose attempt on `route` came with `deadline`.
    pub fn elapsed(&self, route: &str, deadline: Duration) -> Duration {
        let mut deadlines = self.deadlines.borrow_mut();
        if let Some(known) = deadlines.get_mut(route) {
            return known.min_elapsed(deadline);
        }
        let known = deadlines.entry(route.into()).or_default();
        known.min_elapsed(deadline)
    }

    /// Counts a request of `account` that began to run.
    pub fn count_usage(&self, account: &str) {
        let window = self.window_at(self.time.borrow().now_ms());
        self.usage.borrow_mut().count(window, account);
    }

    /// Whether the store has all usage counts of this process.
    pub fn is_usage_written(&self) -> bool {
        *self.usage.borrow() == *self.written_usage.borrow()
    }

    /// Number of the usage window at `ms` since 1970.
    pub fn window_at(&self, ms: u64) -> u64 {
        ms / millis(self.settings().bounds.usage_window).max(1)
    }
}

fn budget_terms(bounds: &Bounds) -> BudgetTerms {
    BudgetTerms {
        ratio: bounds.retry_ratio,
        slack: bounds.retry_slack,
        window: bounds.retry_window,
    }
}
