//! State shared by the tasks of one edge process.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use nutmegbay_core::crashes::CrashHistory;
use nutmegbay_core::duty::WindowCounts;
use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_core::position::Position;
use nutmegbay_policy::UpstreamKey;
use nutmegbay_policy::edge::attempts::Deadlines;
use nutmegbay_policy::edge::body_budget::BodyBudget;
use nutmegbay_policy::edge::budget::{RetryShare, SharedRetryBudget};
use nutmegbay_policy::edge::expiry_grace::ExpiryGrace;
use nutmegbay_policy::edge::presence::Presence;
use nutmegbay_policy::edge::relay::RelayFollower;
use tokio::sync::Notify;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::caller::CallerMemory;
use crate::clock::{MonotonicClock, SmoothedWallClock, millis};
use crate::fleet::Fleet;
use crate::known_records::KnownRecords;
use crate::list_demand::ListDemand;
use crate::members::{Members, member_hash};
use crate::metrics::Metrics;
use crate::model::{CallerLimits, DeploymentConfig};
use crate::own_delay::DelayMonitor;
use crate::platform_api::{StoreError, Topic, WireCodec};
use crate::quota::Quotas;
use crate::routes::RouteTable;
use crate::settings::{Bounds, EdgeSettings};
use crate::stopping::PlannedStop;
use crate::versions::Versions;

/// Target of this module's log lines: its former path, which log filters of operators may name.
const LOG_TARGET: &str = "nutmegbay_edge::site";

/// Maximum wait for the store to become available again before a store call that is not urgent is
/// made anyway. A single partition may be unavailable for longer than the others.
const MAX_STORE_OUTAGE_WAIT: Duration = Duration::from_secs(5);

/// Age of the known list of instances up to which the members are considered current.
const MAX_MEMBERS_AGE: Duration = Duration::from_secs(4);

/// Fraction of [`Bounds::contact`], counted from the start of the process, during which it follows
/// a relay that has not yet proven to be up to date. The rest of that time covers the period for
/// which the relay's last reply stays valid.
const STARTUP_RELAY_FRACTION: f64 = 0.5;

/// State of one edge process.
pub struct EdgeState<D> {
    /// Wire format of the platform.
    pub codec: D,
    /// Settings in force.
    settings: RefCell<Rc<EdgeSettings>>,
    /// Routes and client accounts in force. `None` until a configuration is known.
    pub routes: RefCell<Option<Rc<RouteTable>>>,
    /// Upstreams and their load.
    pub fleet: Rc<RefCell<Fleet>>,
    /// This process's share of the retry budget, by service.
    budgets: RefCell<HashMap<Box<str>, RetryShare>>,
    /// Usage counts of this incarnation.
    pub usage: RefCell<WindowCounts>,
    /// Usage counts of earlier incarnations. `None` until they have been read from the store.
    pub previous_usage: RefCell<Option<WindowCounts>>,
    /// Usage counts as last written to the store, and its era.
    pub stored_usage: RefCell<(u64, WindowCounts)>,
    /// Notified when the usage counts must be written at once.
    pub flush_usage: Notify,
    /// Broken runs, and content that is refused because it crashes upstreams.
    pub crashes: RefCell<CrashHistory>,
    /// Notified when `crashes` may have changed, or the store may have lost what was written of them.
    pub crashes_changed: Notify,
    /// Upstreams to which a connection is being opened to find out whether they have ended.
    pub checked_upstreams: RefCell<HashSet<UpstreamKey>>,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Records read from the store, to be passed on to peers.
    pub known_records: RefCell<KnownRecords>,
    /// Grace period for instance entries that expired while the store was unavailable.
    pub expiry_grace: RefCell<ExpiryGrace>,
    /// Known edge processes.
    pub members: RefCell<Members>,
    /// Processes that have announced themselves directly.
    pub presence: RefCell<Presence>,
    /// Time at which this process last wrote its member record, or of its start.
    pub record_written_at: Cell<MonotonicTime>,
    /// Relay from which this process receives changes instead of reading the store.
    pub relay_follower: RefCell<RelayFollower<SocketAddr>>,
    /// Notified when this process has to read the store itself again.
    pub relay_lost: Notify,
    /// Notified when this process has completed a read of the configuration or of the list of
    /// instances.
    pub read_done: Notify,
    /// Reads of the list of instances for which decisions wait.
    pub list_demand: ListDemand,
    /// Monotonic clock.
    pub monotonic_clock: MonotonicClock,
    /// Delay that this process itself adds.
    pub delay_monitor: DelayMonitor,
    /// Wall clock that ignores short jumps.
    pub wall_clock: RefCell<SmoothedWallClock>,
    /// Notified when a store call fails: a pending read may have lost its response and is
    /// restarted.
    pub store_call_failed: Notify,
    /// Highest era of the store in any response. It rises each time that the store is restored from
    /// a copy.
    store_era: Cell<u64>,
    /// Whether the last read of the list of instances failed.
    is_store_unavailable: Cell<bool>,
    /// Notified when the list of instances can be read again.
    store_recovered: Notify,
    /// Cancelled when a planned stop begins.
    pub stop: CancellationToken,
    /// Cancelled when idle connections must be closed.
    pub close_idle: CancellationToken,
    /// Decisions on requests during a planned stop.
    pub planned_stop: PlannedStop,
    /// Memory for request bodies.
    pub bodies: Rc<RefCell<BodyBudget>>,
    /// Responses that wait for their callers.
    pub callers: Rc<CallerMemory>,
    /// Number of requests being served.
    pub in_flight: Rc<Cell<usize>>,
    /// Software versions, and origins of streams.
    pub versions: RefCell<Versions>,
    /// Quotas of client accounts.
    pub quotas: Rc<RefCell<Quotas>>,
    /// Deadlines sent by callers, by route.
    deadlines: RefCell<HashMap<Box<str>, Deadlines>>,
}

impl<D: WireCodec> EdgeState<D> {
    /// Creates the state of a process that has read nothing yet.
    pub fn new(
        codec: D,
        settings: EdgeSettings,
        wall_clock: SmoothedWallClock,
        delay_monitor: DelayMonitor,
        stop: CancellationToken,
    ) -> Self {
        let fleet = Rc::new(RefCell::new(Fleet::new(
            &settings.node,
            &settings.domain,
            settings.link_mbps,
        )));
        let monotonic_clock = delay_monitor.clock();
        let starting = settings.bounds.contact.mul_f64(STARTUP_RELAY_FRACTION);
        let now = monotonic_clock.now();
        let starting_until = now.plus(starting);
        let own = member_hash(&settings.node);
        let presence = Presence::new(own);
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
            crashes: CrashHistory::new(rand::random()).into(),
            crashes_changed: Notify::new(),
            checked_upstreams: RefCell::default(),
            metrics: Metrics::default(),
            known_records: RefCell::default(),
            expiry_grace: RefCell::default(),
            members: RefCell::default(),
            presence: presence.into(),
            record_written_at: now.into(),
            relay_follower: RelayFollower::starting(starting_until).into(),
            relay_lost: Notify::new(),
            read_done: Notify::new(),
            list_demand: ListDemand::default(),
            monotonic_clock,
            delay_monitor,
            wall_clock: RefCell::new(wall_clock),
            store_call_failed: Notify::new(),
            store_era: Cell::new(0),
            is_store_unavailable: Cell::new(false),
            store_recovered: Notify::new(),
            stop,
            close_idle: CancellationToken::new(),
            planned_stop: PlannedStop::default(),
            bodies: Rc::default(),
            callers: Rc::default(),
            in_flight: Rc::default(),
            versions: RefCell::default(),
            quotas: Rc::new(Quotas::new(own).into()),
            deadlines: RefCell::default(),
        }
    }

    /// Returns the settings in force.
    pub fn settings(&self) -> Rc<EdgeSettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Puts changed settings in force. Listen addresses keep their old values until the next start.
    pub fn reload(&self, settings: EdgeSettings) {
        if *self.settings() == settings {
            return;
        }
        tracing::info!(
            target: LOG_TARGET,
            event = "reload",
            bounds = ?settings.bounds,
            seeds = ?settings.seeds,
            store = %settings.store,
        );
        let budget = retry_budget(&settings.bounds);
        for share in self.budgets.borrow_mut().values_mut() {
            share.set_budget(budget);
        }
        if let Some(table) = &*self.routes.borrow() {
            let mut quotas = self.quotas.borrow_mut();
            quotas.set_config(table.config(), settings.bounds.quota, self.now());
        }
        *self.settings.borrow_mut() = Rc::new(settings);
    }

    /// Returns the current monotonic time.
    pub fn now(&self) -> MonotonicTime {
        self.monotonic_clock.now()
    }

    /// Puts a configuration in force unless the one in force is as new or newer. Returns whether it
    /// did.
    pub fn apply_config(&self, config: DeploymentConfig, source: &'static str) -> bool {
        let before = self.version();
        if before.is_some_and(|version| version >= config.version) {
            return false;
        }
        tracing::info!(
            target: LOG_TARGET,
            event = "config_applied",
            version = config.version,
            before,
            routes = config.routes.len(),
            accounts = config.accounts.len(),
            scale = ?config.services.values().filter_map(|s| s.scale).collect::<Vec<_>>(),
            source,
        );
        let bounds = self.settings().bounds.quota;
        self.quotas
            .borrow_mut()
            .set_config(&config, bounds, self.now());
        *self.routes.borrow_mut() = Some(Rc::new(RouteTable::new(config)));
        true
    }

    /// Returns the limits of callers in force.
    pub fn caller_limits(&self) -> CallerLimits {
        let routes = self.routes.borrow();
        let limits = routes.as_ref().map(|table| table.config().limits);
        limits.unwrap_or_default()
    }

    /// Returns the version of the configuration in force.
    pub fn version(&self) -> Option<u64> {
        let routes = self.routes.borrow();
        routes.as_ref().map(|table| table.config().version)
    }

    /// Returns whether the process accepts new connections.
    pub fn is_ready(&self) -> bool {
        !self.stop.is_cancelled() && self.routes.borrow().is_some()
    }

    /// Returns the number of edge processes considered alive, including this one.
    pub fn process_count(&self) -> usize {
        let members = self.members.borrow();
        members.others(&self.settings().node, self.now()).count() + 1
    }

    /// Divides the limits of upstreams among the processes considered alive. While the list of
    /// instances is out of date, all that were known before still count: processes that cannot
    /// write their records look failed.
    pub fn share_limits(&self) {
        let now = self.now();
        let is_current = self.is_member_list_current();
        let members = self.members.borrow();
        let presence = self.presence.borrow();
        let settings = self.settings();
        let alive = members.other_hashes(&settings.node, now);
        let others = alive.chain(presence.heard(now)).collect();
        let has_joined = presence.has_joined(now);
        let mut fleet = self.fleet.borrow_mut();
        fleet.share_limits(others, is_current, has_joined, now);
    }

    /// Returns whether processes that look failed have failed: the known list of instances is
    /// current, so that the records of other processes would be read too.
    pub fn is_member_list_current(&self) -> bool {
        self.known_records.borrow().instances_age(self.now()) < MAX_MEMBERS_AGE
    }

    /// Returns the highest era of the store in any response.
    pub fn store_era(&self) -> u64 {
        self.store_era.get()
    }

    /// Records the era of a response of the store to a call for `topic`. Fails if the store was
    /// restored after the response, so that it no longer holds.
    pub fn check_store_era(&self, era: u64, topic: Topic) -> Result<(), StoreError> {
        if era < self.store_era() {
            return Err(StoreError::Outdated);
        }
        self.observe_store_era(era, topic.into());
        Ok(())
    }

    /// Records an era of the store. `source` names its origin in the log.
    pub fn observe_store_era(&self, era: u64, source: &'static str) {
        let before = self.store_era.get();
        if era <= before {
            return;
        }
        self.store_era.set(era);
        // Reads that wait for a record at an offset of the earlier era are restarted.
        self.store_call_failed.notify_waiters();
        self.crashes_changed.notify_one();
        self.versions.borrow().changed().notify_one();
        let known_records = self.known_records.borrow();
        let offset = |next: Option<Position>| next.map(|next| next.offset);
        let now = self.now();
        tracing::info!(
            target: LOG_TARGET,
            event = "store_era",
            era,
            before,
            source,
            config_next = offset(known_records.config_next),
            config_age_ms = millis(known_records.config_age(now)),
            instances_next = offset(known_records.instances_next),
            instances_age_ms = millis(known_records.instances_age(now)),
        );
    }

    /// Records whether the last read of the list of instances succeeded.
    pub fn set_store_available(&self, is_available: bool) {
        if self.is_store_unavailable.replace(!is_available) && is_available {
            self.store_recovered.notify_waiters();
        }
    }

    /// Waits before a store call that is not urgent is retried. If the list of instances cannot be
    /// read either, waits until it can be read again, since refused calls are charged too.
    pub async fn store_backoff(&self, pause: Duration) {
        if !self.is_store_unavailable.get() {
            return sleep(pause).await;
        }
        tokio::select! {
            () = self.store_recovered.notified() => {}
            () = sleep(MAX_STORE_OUTAGE_WAIT) => {}
        }
    }

    /// Returns the position of this process among the edge processes considered alive, starting at
    /// 0.
    pub fn member_rank(&self) -> usize {
        let members = self.members.borrow();
        members.rank(&self.settings().node, self.now())
    }

    /// Returns whether a relay currently sends changes to this process, so that it does not read
    /// the store.
    pub fn is_relayed(&self) -> bool {
        self.relay_follower
            .borrow()
            .relayed_until(self.now())
            .is_some()
    }

    /// Waits until this process has to read the store itself.
    pub async fn wait_for_direct_reads(&self) {
        loop {
            let lost = self.relay_lost.notified();
            let now = self.now();
            let Some(until) = self.relay_follower.borrow().relayed_until(now) else {
                return;
            };
            tokio::select! {
                () = sleep(until.since(now)) => {}
                () = lost => {}
            }
        }
    }

    /// Adds the first attempt of a request for `service` to the retry budget.
    pub fn count_first_request(&self, service: &str) {
        self.with_budget(service, RetryShare::record_first);
    }

    /// Takes one retry for `service` from the budget. Returns false if the budget is used up.
    pub fn try_retry(&self, service: &str) -> bool {
        let processes = self.process_count();
        let allowed = self.with_budget(service, |share, now| share.try_retry(now, processes));
        if allowed {
            crate::metrics::increment(&self.metrics.retries);
        }
        allowed
    }

    fn with_budget<T>(
        &self,
        service: &str,
        f: impl FnOnce(&mut RetryShare, MonotonicTime) -> T,
    ) -> T {
        let now = self.now();
        let mut budgets = self.budgets.borrow_mut();
        if let Some(share) = budgets.get_mut(service) {
            return f(share, now);
        }
        let budget = retry_budget(&self.settings().bounds);
        let share = budgets
            .entry(service.into())
            .or_insert_with(|| RetryShare::new(budget));
        f(share, now)
    }

    /// Returns the minimum time since a caller's first attempt, given the `deadline` that its
    /// current attempt on `route` carries.
    pub fn time_since_first_attempt(&self, route: &str, deadline: Duration) -> Duration {
        let mut deadlines = self.deadlines.borrow_mut();
        if let Some(known) = deadlines.get_mut(route) {
            return known.min_elapsed(deadline);
        }
        let known = deadlines.entry(route.into()).or_default();
        known.min_elapsed(deadline)
    }

    /// Counts a request of `account` that has started to run.
    pub fn count_usage(&self, account: &str) {
        let window = self.usage_window_at(self.wall_clock.borrow().now_ms());
        self.usage.borrow_mut().count(window, account);
    }

    /// Returns whether the store has all usage counts of this process.
    pub fn is_usage_stored(&self) -> bool {
        let (era, stored) = &*self.stored_usage.borrow();
        *era == self.store_era() && *stored == *self.usage.borrow()
    }

    /// Returns the number of the usage window that contains `ms`, in milliseconds since 1970.
    pub fn usage_window_at(&self, ms: u64) -> u64 {
        ms / millis(self.settings().bounds.usage_window).max(1)
    }
}

fn retry_budget(bounds: &Bounds) -> SharedRetryBudget {
    SharedRetryBudget {
        ratio: bounds.retry_ratio,
        slack: bounds.retry_slack,
        window: bounds.retry_window,
    }
}
