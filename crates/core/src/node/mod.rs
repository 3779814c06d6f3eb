//! Coordination of one gateway: its replica, leases, freshness, usage and orders behind one
//! interface of events and effects.

mod event;
mod start;

use std::time::Duration;

use strum::IntoEnumIterator;

use crate::append::Input;
use crate::environment::{Environment, MonotonicTime};
use crate::freshness::{Freshness, LogProgress, QUERY_INTERVAL};
use crate::ids::{Epoch, Incarnation, Offset};
use crate::lease::{LeaseKeeper, LeaseTiming};
use crate::mutation::{Mutation, Mutations};
use crate::orders::OrderDriver;
use crate::record::{Body, LeaseRole};
use crate::replica::{Applied, KeyError, Replica, VerifiedKey};
use crate::snapshot::{PART_BYTES, ReplicaSnapshot, Snapshotter};
use crate::usage::{UsageMeter, UsageReporter, WindowTiming};

pub use event::{Effect, Entry, Event, TailRead};
use start::{SearchStep, SnapshotSearch};

/// Maximum time that a read waits for new records at the head of the log. Twice this plus the
/// duration of a read stays below the age from which a replica counts as lagging.
pub const MAX_READ_WAIT: Duration = Duration::from_millis(500);

/// Pause before the next read after one that failed or made no progress.
const READ_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Time for which reads must fail until a starting process requests a snapshot from its peers, and
/// pause before the next read after it requested one because the log has no usable snapshot.
const PEER_SNAPSHOT_DELAY: Duration = Duration::from_secs(1);

/// Configuration of a [`GatewayNode`].
#[derive(Debug, Clone)]
pub struct NodeConfig {
    /// Name of the instance.
    pub instance: Box<str>,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Durations of all leases.
    pub lease: LeaseTiming,
    /// Maximum duration of an effect under a lease.
    pub send_budget: Duration,
    /// Length of usage windows and the delay until they are sealed.
    pub windows: WindowTiming,
    /// Number of records between two snapshots.
    pub snapshot_every: u64,
    /// Length of the text of one snapshot part in bytes.
    pub part_bytes: usize,
    /// Deliberate fault for the tests.
    #[doc(hidden)]
    pub mutations: Mutations,
}

impl NodeConfig {
    /// Configuration with the default durations and sizes.
    pub fn new(instance: &str, incarnation: Incarnation) -> Self {
        Self {
            instance: instance.into(),
            incarnation,
            lease: LeaseTiming::default(),
            send_budget: Duration::from_millis(500),
            windows: WindowTiming::default(),
            snapshot_every: 16_384,
            part_bytes: PART_BYTES,
            mutations: Mutations::default(),
        }
    }
}

/// Coordination of one gateway. It performs no I/O: the embedder gives it [`Event`]s and carries
/// out its [`Effect`]s.
pub struct GatewayNode {
    cfg: NodeConfig,
    replica: Replica,
    freshness: Freshness,
    lease_keepers: Vec<LeaseKeeper>,
    usage_meter: UsageMeter,
    reporter: UsageReporter,
    orders: OrderDriver,
    snapshotter: Snapshotter,
    /// Search for a snapshot to start from, `None` once the replica follows the log.
    search: Option<SnapshotSearch>,
    /// Earliest time of the next read, `None` while a read is in flight.
    read_at: Option<MonotonicTime>,
    /// Time of the first failed read since the last successful one, `None` while reads succeed.
    failing_since: Option<MonotonicTime>,
    /// Time at which the freshness chart entered `fresh`, `None` in other states.
    fresh_since: Option<MonotonicTime>,
    /// Earliest time of the next query to peers and sidecars.
    query_at: MonotonicTime,
    stop: StopPhase,
}

/// Progress of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StopPhase {
    Running,
    /// Waiting for the effects under leases to end.
    Draining,
    /// Releasing the leases and flushing the usage counts.
    Releasing,
    /// [`Effect::ReadyToExit`] was performed.
    Done,
}

impl GatewayNode {
    /// Node of a process that has not read the log yet. The first event starts it.
    pub fn new(cfg: NodeConfig) -> Self {
        let (name, mutations) = (&*cfg.instance, cfg.mutations);
        let keeper = |role| {
            LeaseKeeper::new(role, name, cfg.incarnation, cfg.lease).with_mutations(mutations)
        };
        Self {
            replica: Replica::new().with_mutations(mutations),
            freshness: Freshness::default().with_mutations(mutations),
            lease_keepers: LeaseRole::iter().map(keeper).collect(),
            usage_meter: UsageMeter::new(name, cfg.incarnation, cfg.windows)
                .with_mutations(mutations),
            reporter: UsageReporter::new(name, cfg.windows, cfg.send_budget)
                .with_mutations(mutations),
            orders: OrderDriver::new(name, cfg.send_budget).with_mutations(mutations),
            snapshotter: Snapshotter::new(name, cfg.snapshot_every, cfg.part_bytes),
            search: Some(SnapshotSearch::default()),
            read_at: Some(MonotonicTime::default()),
            failing_since: None,
            fresh_since: None,
            query_at: MonotonicTime::default(),
            stop: StopPhase::Running,
            cfg,
        }
    }

    /// Handles one event.
    pub fn on_event<W: Environment<Effect = Effect>>(&mut self, environment: &mut W, event: Event) {
        match event {
            Event::TailRead(read) => self.on_read(environment, &read),
            Event::TailReadFailed => {
                let now = environment.now();
                self.read_at = Some(now.plus(READ_RETRY_DELAY));
                self.failing_since.get_or_insert(now);
            }
            Event::AppendDone { token } => self.broadcast(environment, Input::AppendDone { token }),
            Event::AppendFailed {
                token,
                may_have_run,
            } => {
                let input = Input::AppendFailed {
                    token,
                    may_have_run,
                };
                self.broadcast(environment, input);
            }
            Event::Peers(mut peers) => {
                peers.retain(|peer| *peer != self.cfg.instance);
                self.freshness.set_peers(peers);
            }
            Event::EndpointStatus {
                endpoint,
                asked,
                view,
            } => {
                self.freshness.on_progress(&endpoint, asked, view);
                self.catch_up(environment);
            }
            Event::EndpointUnresponsive(endpoint) => self.freshness.on_no_answer(&endpoint),
            Event::RecordsOffered(entries) => {
                if self.search.is_none() {
                    self.apply(environment, &entries);
                }
            }
            Event::PeerSnapshot {
                endpoint,
                asked,
                view,
                snapshot,
            } => {
                if self.search.is_some() && self.load_snapshot(environment, &snapshot) {
                    self.freshness.on_progress(&endpoint, asked, view);
                }
            }
            Event::RequestServed { account, usage } => {
                self.usage_meter
                    .count(environment.wall_ms(), &account, usage);
            }
            Event::OrderRequested(command) => self.orders.request(command),
            Event::OrderAnswered(order, answer) => {
                self.orders.on_answer(environment.now(), order, answer);
            }
            Event::ReportAnswered {
                window,
                is_accepted,
            } => {
                self.reporter
                    .on_answer(environment.now(), window, is_accepted);
            }
            Event::Tick => {}
            Event::StopRequested => self.begin_stop(environment),
        }
        if self.replica.first_newer_schema().is_some() {
            // Newer builds may have accepted a record that this one cannot read, so another process
            // has to take over the leases.
            self.begin_stop(environment);
        }
        self.update_freshness(environment);
        self.broadcast(environment, Input::Tick);
        self.start_due_read(environment);
        self.query_endpoints(environment);
        self.advance_stop(environment);
    }

    /// Checks the key of a request that starts at `now` and returns its client account.
    ///
    /// Fails if the token is not valid, or if this process is isolated from the log.
    pub fn check_key(&self, now: MonotonicTime, token: &str) -> Result<VerifiedKey, KeyRefusal> {
        if !self.freshness.may_serve_keyed(now) {
            return Err(KeyRefusal::Isolated);
        }
        match self.replica.keys().check(token) {
            Err(KeyError::Withdrawn) if self.cfg.mutations.has(Mutation::NoKeyCheck) => {
                let id = token.split('_').nth(1).unwrap_or_default();
                let account = self.replica.keys().get(id).map(|key| key.account.clone());
                Ok(VerifiedKey {
                    key: id.into(),
                    account: account.unwrap_or_default(),
                })
            }
            checked => checked.map_err(KeyRefusal::InvalidKey),
        }
    }

    /// State that results from the log below [`Replica::next`].
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// How current [`Self::replica`] is.
    pub fn freshness(&self) -> &Freshness {
        &self.freshness
    }

    /// How current this replica is at `now`, as reported to peers and sidecars.
    pub fn view(&self, now: MonotonicTime) -> LogProgress {
        self.freshness.progress(now, self.replica.next())
    }

    /// Snapshot for a peer that starts, `None` while this process is starting itself.
    ///
    /// Replicas in memory in front of one append-only log follow Pâris and Long 1991, DOI
    /// 10.1109/pccc.1991.113804. With 200,000 records, 20 gateways and 50 accounts, a start took
    /// 12 ms from a peer, 37 ms from a snapshot and the records after it, and 1,387 ms from the log
    /// alone (release profile, without the network, test `start_figures`).
    pub fn snapshot(&self) -> Option<ReplicaSnapshot> {
        self.search
            .is_none()
            .then(|| ReplicaSnapshot::of(&self.replica))
    }

    /// Whether the search for a snapshot is over, so that the replica follows the log.
    pub fn is_started(&self) -> bool {
        self.search.is_none()
    }

    /// Fencing number under which an effect of `role` may start at `now`, `None` without the lease
    /// or during a planned stop.
    pub fn may_act(&self, role: LeaseRole, now: MonotonicTime) -> Option<Epoch> {
        if self.stop != StopPhase::Running {
            return None;
        }
        self.keeper(role).may_act(now, self.cfg.send_budget)
    }

    /// Leases that this process holds at `now`, with their fencing numbers.
    pub fn leases(&self, now: MonotonicTime) -> impl Iterator<Item = (LeaseRole, Epoch)> {
        let epoch = move |keeper: &LeaseKeeper| {
            let epoch = keeper.may_act(now, Duration::ZERO)?;
            Some((keeper.role(), epoch))
        };
        self.lease_keepers.iter().filter_map(epoch)
    }

    /// Whether replay has accepted all usage that was counted here.
    pub fn is_flushed(&self) -> bool {
        self.usage_meter.is_flushed()
    }

    /// Changes length and seal delay of the usage windows, when the configuration changes.
    ///
    /// The length must not grow while the log has counts of the old length: window numbers would go
    /// back, and all counts of the new windows would be late.
    pub fn set_windows(&mut self, timing: WindowTiming) {
        self.usage_meter.set_timing(timing);
        self.reporter.set_timing(timing);
    }

    fn keeper(&self, role: LeaseRole) -> &LeaseKeeper {
        let index = LeaseRole::iter().position(|r| r == role).unwrap_or(0);
        &self.lease_keepers[index]
    }

    fn on_read<W: Environment<Effect = Effect>>(&mut self, environment: &mut W, read: &TailRead) {
        self.failing_since = None;
        self.read_at = Some(environment.now());
        if let Some(search) = &mut self.search {
            match search.on_read(read) {
                SearchStep::ReadFrom(from) => {
                    self.start_read(environment, from, Duration::ZERO);
                    return;
                }
                SearchStep::Load(snapshot) => {
                    if !self.load_snapshot(environment, &snapshot) {
                        self.search = Some(SnapshotSearch::default());
                        self.read_at = Some(environment.now().plus(PEER_SNAPSHOT_DELAY));
                        environment.perform(Effect::RequestPeerSnapshot);
                    }
                    return;
                }
                SearchStep::ReplayAll => {
                    self.search = None;
                    let first = read.entries.first().map(|entry| entry.0);
                    if first > Some(self.replica.next()) {
                        return;
                    }
                }
                SearchStep::NotFound => {
                    self.read_at = Some(environment.now().plus(PEER_SNAPSHOT_DELAY));
                    environment.perform(Effect::RequestPeerSnapshot);
                    return;
                }
            }
        }
        if read.oldest > self.replica.next() {
            // The log no longer has the records that this replica needs next.
            self.search = Some(SnapshotSearch::default());
            return;
        }
        let previous = self.replica.next();
        self.apply(environment, &read.entries);
        if self.replica.next() == previous && previous < read.head {
            // The records do not continue the replica's; reading again without a pause would loop.
            self.read_at = Some(environment.now().plus(READ_RETRY_DELAY));
        }
        if self.replica.next() >= read.head {
            self.freshness.on_head_read(read.started);
            let started = read.started;
            self.broadcast(environment, Input::HeadRead { started });
        }
    }

    fn apply<W: Environment<Effect = Effect>>(&mut self, environment: &mut W, entries: &[Entry]) {
        let mut withdrawn = Vec::new();
        let config = self.replica.config().last();
        for (offset, text) in entries {
            let applied = self.replica.apply(*offset, text);
            if matches!(applied, Applied::Stale | Applied::Gap) {
                continue;
            }
            if let Applied::Accepted(record) = &applied
                && let Body::KeyWithdraw(withdraw) = &record.body
            {
                withdrawn.push(withdraw.key.clone());
            }
            self.broadcast(environment, Input::Applied(*offset, &applied));
            environment.perform(Effect::Applied(*offset, applied));
        }
        let keeps_streams = self.cfg.mutations.has(Mutation::KeepStreams);
        if !withdrawn.is_empty() && !keeps_streams {
            environment.perform(Effect::KeysWithdrawn(withdrawn));
        }
        if self.replica.config().last() != config {
            environment.perform(Effect::ConfigChanged);
        }
    }

    /// Replaces the state by that of a snapshot. Returns `false` if the snapshot is not valid or is
    /// older than the state.
    fn load_snapshot<W: Environment<Effect = Effect>>(
        &mut self,
        environment: &mut W,
        snapshot: &ReplicaSnapshot,
    ) -> bool {
        let Ok(replica) = snapshot.load() else {
            return false;
        };
        if replica.next() < self.replica.next() {
            return false;
        }
        let is_live = |key: &str| replica.keys().is_live(key);
        let known = self.replica.keys().iter().map(|(key, _)| key);
        let withdrawn: Vec<Box<str>> = known
            .filter(|key| self.replica.keys().is_live(key) && !is_live(key))
            .map(Into::into)
            .collect();
        let is_config_new = replica.config().last() != self.replica.config().last();
        self.replica = replica.with_mutations(self.cfg.mutations);
        self.search = None;
        self.broadcast_loaded(environment);
        environment.perform(Effect::StateReplaced);
        if !withdrawn.is_empty() {
            environment.perform(Effect::KeysWithdrawn(withdrawn));
        }
        if is_config_new {
            environment.perform(Effect::ConfigChanged);
        }
        true
    }

    fn broadcast_loaded<W: Environment<Effect = Effect>>(&mut self, environment: &mut W) {
        let replica = std::mem::take(&mut self.replica);
        for keeper in &mut self.lease_keepers {
            keeper.on_event(environment, Input::Loaded(&replica));
        }
        self.usage_meter
            .on_event(environment, Input::Loaded(&replica));
        self.replica = replica;
    }

    /// Passes an input to all components.
    fn broadcast<W: Environment<Effect = Effect>>(
        &mut self,
        environment: &mut W,
        input: Input<'_>,
    ) {
        for keeper in &mut self.lease_keepers {
            keeper.on_event(environment, input);
        }
        self.usage_meter.on_event(environment, input);
        let readable_for = self
            .fresh_since
            .map_or(Duration::ZERO, |since| environment.now().since(since));
        let [planner, reporter, snapshot] = &self.lease_keepers[..] else {
            return;
        };
        self.reporter
            .on_event(environment, input, &self.replica, reporter, readable_for);
        self.orders
            .on_event(environment, input, &self.replica, planner);
        let mismatch = self
            .snapshotter
            .on_event(environment, input, &self.replica, snapshot);
        if let Some(as_of) = mismatch {
            environment.perform(Effect::SnapshotMismatch(as_of));
        }
    }

    /// Updates the freshness chart and performs the effects of a change of its state.
    fn update_freshness<W: Environment<Effect = Effect>>(&mut self, environment: &mut W) {
        let now = environment.now();
        if !self.freshness.on_tick(now, self.replica.next()) {
            return;
        }
        let is_fresh = self.freshness.state() == "fresh";
        self.fresh_since = is_fresh.then_some(now);
        environment.perform(Effect::FreshnessChanged);
        if self.freshness.state() == "isolated" {
            environment.perform(Effect::EndKeyedStreams);
        }
    }

    fn start_due_read<W: Environment<Effect = Effect>>(&mut self, environment: &mut W) {
        if self.read_at.is_some_and(|at| environment.now() >= at) {
            let from = self.replica.next();
            self.start_read(environment, from, MAX_READ_WAIT);
        }
    }

    fn start_read<W: Environment<Effect = Effect>>(
        &mut self,
        environment: &mut W,
        from: Offset,
        wait: Duration,
    ) {
        self.read_at = None;
        environment.perform(Effect::ReadTail { from, wait });
    }

    /// Queries peers and sidecars while the replica is not fresh. Also requests a peer's snapshot
    /// if a starting process fails to read the log.
    fn query_endpoints<W: Environment<Effect = Effect>>(&mut self, environment: &mut W) {
        let now = environment.now();
        if self.freshness.is_fresh(now) || now < self.query_at {
            return;
        }
        self.query_at = now.plus(QUERY_INTERVAL);
        let is_failing = self
            .failing_since
            .is_some_and(|since| now.since(since) >= PEER_SNAPSHOT_DELAY);
        if self.search.is_some() && is_failing {
            environment.perform(Effect::RequestPeerSnapshot);
        }
        environment.perform(Effect::QueryEndpoints);
    }

    fn catch_up<W: Environment<Effect = Effect>>(&mut self, environment: &mut W) {
        let from = self.replica.next();
        if self.search.is_some() || self.freshness.is_fresh(environment.now()) {
            return;
        }
        if let Some(endpoint) = self.freshness.endpoint_ahead(from) {
            let endpoint = endpoint.into();
            environment.perform(Effect::ReadEndpoint { endpoint, from });
        }
    }

    fn begin_stop<W: Environment<Effect = Effect>>(&mut self, environment: &mut W) {
        if self.stop != StopPhase::Running {
            return;
        }
        self.stop = StopPhase::Draining;
        self.usage_meter.on_event(environment, Input::Stop);
        let [planner, reporter, snapshot] = &self.lease_keepers[..] else {
            return;
        };
        self.reporter.on_event(
            environment,
            Input::Stop,
            &self.replica,
            reporter,
            Duration::ZERO,
        );
        self.orders
            .on_event(environment, Input::Stop, &self.replica, planner);
        self.snapshotter
            .on_event(environment, Input::Stop, &self.replica, snapshot);
    }

    fn advance_stop<W: Environment<Effect = Effect>>(&mut self, environment: &mut W) {
        let now = environment.now();
        if self.stop == StopPhase::Draining
            && self.reporter.is_idle(now)
            && self.orders.is_idle(now)
        {
            self.stop = StopPhase::Releasing;
            for keeper in &mut self.lease_keepers {
                keeper.on_event(environment, Input::Stop);
            }
        }
        let is_released = self.lease_keepers.iter().all(LeaseKeeper::is_stopped);
        if self.stop == StopPhase::Releasing && is_released && self.usage_meter.is_flushed() {
            self.stop = StopPhase::Done;
            environment.perform(Effect::ReadyToExit);
        }
    }
}

/// Reason why a request with a key is refused before it runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyRefusal {
    /// This process is isolated from the log and cannot know whether the key was withdrawn.
    Isolated,
    /// The token is not valid.
    InvalidKey(KeyError),
}

impl std::fmt::Display for KeyRefusal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Isolated => f.write_str("the log cannot be read and not all peers were reached"),
            Self::InvalidKey(error) => write!(f, "the key is not valid: {error}"),
        }
    }
}

impl std::error::Error for KeyRefusal {}
