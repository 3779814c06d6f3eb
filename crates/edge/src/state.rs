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
use nutmegbay_policy::edge::crashes::Crashes;
use nutmegbay_policy::edge::lapse::Lapse;
use nutmegbay_policy::edge::relay::Feed;
use tokio::sync::Notify;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::clock::{MonotonicClock, SmoothedWallClock, millis};
use crate::fleet::Fleet;
use crate::known_records::KnownRecords;
use crate::members::Members;
use crate::metrics::Metrics;
use crate::model::DeploymentConfig;
use crate::platform_api::WireCodec;
use crate::routes::RouteTable;
use crate::settings::{Bounds, EdgeSettings};

/// Longest wait for the store's return before a call that does not press is made in spite of it: one
/// partition may be away for longer than the others.
const MAX_STORE_OUTAGE_WAIT: Duration = Duration::from_secs(5);

/// Part of the time in which no bound holds for a process that has started, in which it follows a relay
/// without proof. What the last such reply vouches for ends within the rest.
const STARTUP_RELAY_FRACTION: f64 = 0.5;

/// State of one process.
pub struct EdgeState<D> {
    /// Names on the wire.
    pub codec: D,
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
    pub previous_usage: RefCell<Option<WindowCounts>>,
    /// Usage counts as they were last written to the store.
    pub stored_usage: RefCell<WindowCounts>,
    /// Told when counts are to be written at once.
    pub flush_usage: Notify,
    /// Requests that broke with their upstreams.
    pub crashes: RefCell<Crashes>,
    /// Figures.
    pub metrics: Metrics,
    /// What was read from the store, to pass on to peers.
    pub known_records: RefCell<KnownRecords>,
    /// What is known of the store's last outage.
    pub lapse: RefCell<Lapse>,
    /// Edge processes.
    pub members: RefCell<Members>,
    /// From whom this process hears of changes instead of reading the store.
    pub feed: RefCell<Feed<SocketAddr>>,
    /// Told when the store is to be read here again.
    pub feed_lost: Notify,
    /// Told when a read of the configuration or of the list of instances has finished here.
    pub read_done: Notify,
    /// Runtime clock.
    pub monotonic_clock: MonotonicClock,
    /// Estimate of true time.
    pub wall_clock: RefCell<SmoothedWallClock>,
    /// Told when a call to the store failed: a read that waits for a record may have lost its answer
    /// and starts anew.
    pub store_call_failed: Notify,
    /// Whether the list of instances could not be read the last time.
    is_store_unavailable: Cell<bool>,
    /// Told when the list could be read again.
    store_recovered: Notify,
    /// Cancelled when a planned stop begins.
    pub stop: CancellationToken,
    /// Cancelled when idle connections are to be closed.
    pub close_idle: CancellationToken,
    /// Requests that are being served.
    pub in_flight: Rc<Cell<usize>>,
    /// Deadlines that callers of a route have sent.
    deadlines: RefCell<HashMap<Box<str>, Deadlines>>,
}

impl<D: WireCodec> EdgeState<D> {
    /// State of a process that knows nothing yet.
    pub fn new(
        codec: D,
        settings: EdgeSettings,
        wall_clock: SmoothedWallClock,
        stop: CancellationToken,
    ) -> Self {
        let fleet = Rc::new(RefCell::new(Fleet::new(
            &settings.domain,
            settings.link_mbps,
        )));
        let monotonic_clock = MonotonicClock::new();
        let starting = settings.bounds.contact.mul_f64(STARTUP_RELAY_FRACTION);
        let starting_until = monotonic_clock.now().plus(starting);
        Self {
            codec,
            settings: RefCell::new(Rc::new(settings)),
            routes: RefCell::default(),
            fleet,
            budgets: RefCell::default(),
            usage: RefCell::default(),
            previous_usage: RefCell::default(),
            stored_usage: RefCell::default(),
            flush_usage: Notify::new(),
            crashes: RefCell::default(),
            metrics: Metrics::default(),
            known_records: RefCell::default(),
            lapse: RefCell::default(),
            members: RefCell::default(),
            feed: Feed::starting(starting_until).into(),
            feed_lost: Notify::new(),
            read_done: Notify::new(),
            monotonic_clock,
            wall_clock: RefCell::new(wall_clock),
            store_call_failed: Notify::new(),
            is_store_unavailable: Cell::new(false),
            store_recovered: Notify::new(),
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
        self.monotonic_clock.now()
    }

    /// Puts a configuration in force unless a newer one is. Returns whether it is in force now.
    pub fn apply_config(&self, config: DeploymentConfig, source: &'static str) -> bool {
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
    pub fn process_count(&self) -> usize {
        let members = self.members.borrow();
        members.others(&self.settings().node, self.now()).count() + 1
    }

    /// Notes whether the list of instances could be read.
    pub fn set_store_available(&self, answers: bool) {
        if self.is_store_unavailable.replace(!answers) && answers {
            self.store_recovered.notify_waiters();
        }
    }

    /// Waits before a call to the store that does not press is made again. While the list of
    /// instances cannot be read either, its return is waited for, since refused calls are priced.
    pub async fn wait_before_store_retry(&self, pause: Duration) {
        if !self.is_store_unavailable.get() {
            return sleep(pause).await;
        }
        tokio::select! {
            () = self.store_recovered.notified() => {}
            () = sleep(MAX_STORE_OUTAGE_WAIT) => {}
        }
    }

    /// Place of this process among the edge processes that are believed to run, from 0.
    pub fn member_rank(&self) -> usize {
        let members = self.members.borrow();
        members.rank(&self.settings().node, self.now())
    }

    /// Whether this process need not read the store, since another one tells it of changes.
    pub fn is_relayed(&self) -> bool {
        self.feed.borrow().relayed_until(self.now()).is_some()
    }

    /// Waits until this process has to read the store itself.
    pub async fn wait_for_direct_reads(&self) {
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
    pub fn count_first_request(&self, service: &str) {
        self.with_budget(service, RetryShare::first);
    }

    /// Takes a retry for `service` out of the budget; false if there is none left.
    pub fn try_retry(&self, service: &str) -> bool {
        let processes = self.process_count();
        let allowed = self.with_budget(service, |share, now| share.try_retry(now, processes));
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
    pub fn time_since_first_attempt(&self, route: &str, deadline: Duration) -> Duration {
        let mut deadlines = self.deadlines.borrow_mut();
        if let Some(known) = deadlines.get_mut(route) {
            return known.elapsed(deadline);
        }
        let known = deadlines.entry(route.into()).or_default();
        known.elapsed(deadline)
    }

    /// Counts a request of `account` that began to run.
    pub fn count_usage(&self, account: &str) {
        let window = self.usage_window_at(self.wall_clock.borrow().now_ms());
        self.usage.borrow_mut().count(window, account);
    }

    /// Whether the store has all usage counts of this process.
    pub fn is_usage_stored(&self) -> bool {
        *self.usage.borrow() == *self.stored_usage.borrow()
    }

    /// Number of the usage window at `ms` since 1970.
    pub fn usage_window_at(&self, ms: u64) -> u64 {
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
