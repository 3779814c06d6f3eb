//! All coordination of one gateway behind one event and effect interface.

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
use crate::replica::{Applied, KeyFault, KeyRef, Replica};
use crate::snapshot::{Image, PART_BYTES, Snapshotter};
use crate::usage::{Reporter, UsageMeter, WindowTerms};

pub use event::{Effect, Entry, Event, TailRead};
use start::{Found, Search};

/// Longest wait of a read at the head. Twice this plus the time of a read stays below the age from
/// which a replica counts as lagging.
pub const READ_WAIT: Duration = Duration::from_millis(500);

/// Pause after a failed read of the log.
const READ_RETRY: Duration = Duration::from_millis(250);

/// Time without a successful read after which a starting process asks a peer for its state.
const IMAGE_AFTER: Duration = Duration::from_secs(1);

/// Identity and durations of a node.
#[derive(Debug, Clone)]
pub struct NodeConfig {
    /// Name of the instance.
    pub instance: Box<str>,
    /// Life of the process.
    pub incarnation: Incarnation,
    /// Leases.
    pub lease: LeaseTiming,
    /// Longest time that an effect under a lease takes.
    pub send_budget: Duration,
    /// Usage windows.
    pub windows: WindowTerms,
    /// Records between two snapshots.
    pub snapshot_every: u64,
    /// Text of one snapshot part in bytes.
    pub part_bytes: usize,
    /// Deliberate fault of the tests.
    #[doc(hidden)]
    pub mutations: Mutations,
}

impl NodeConfig {
    /// Defaults of the design.
    pub fn new(instance: &str, incarnation: Incarnation) -> Self {
        Self {
            instance: instance.into(),
            incarnation,
            lease: LeaseTiming::default(),
            send_budget: Duration::from_millis(500),
            windows: WindowTerms::default(),
            snapshot_every: 16_384,
            part_bytes: PART_BYTES,
            mutations: Mutations::default(),
        }
    }
}

/// Replica, leases, freshness, usage and orders of one gateway.
pub struct GatewayNode {
    cfg: NodeConfig,
    replica: Replica,
    freshness: Freshness,
    keepers: Vec<LeaseKeeper>,
    meter: UsageMeter,
    reporter: Reporter,
    orders: OrderDriver,
    snapshotter: Snapshotter,
    /// Search for a snapshot, none once the replica follows the log.
    search: Option<Search>,
    /// Earliest moment of the next read, none while one is in flight.
    read_at: Option<MonotonicTime>,
    /// When reads began to fail, none while they succeed.
    failing_since: Option<MonotonicTime>,
    /// Since when the chart is in `fresh`.
    fresh_since: Option<MonotonicTime>,
    ask_at: MonotonicTime,
    stop: Stop,
}

/// Progress of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stop {
    No,
    /// Effects under leases are to end.
    Draining,
    /// Leases are being released.
    Releasing,
    /// The embedder was told that it may exit.
    Done,
}

impl GatewayNode {
    /// Node of a process that has read nothing yet. The first tick starts it.
    pub fn new(cfg: NodeConfig) -> Self {
        let (name, mutations) = (&*cfg.instance, cfg.mutations);
        let keeper = |role| {
            LeaseKeeper::new(role, name, cfg.incarnation, cfg.lease).with_mutations(mutations)
        };
        Self {
            replica: Replica::new().with_mutations(mutations),
            freshness: Freshness::default().with_mutations(mutations),
            keepers: LeaseRole::iter().map(keeper).collect(),
            meter: UsageMeter::new(name, cfg.incarnation, cfg.windows).with_mutations(mutations),
            reporter: Reporter::new(name, cfg.windows, cfg.send_budget).with_mutations(mutations),
            orders: OrderDriver::new(name, cfg.send_budget).with_mutations(mutations),
            snapshotter: Snapshotter::new(name, cfg.snapshot_every, cfg.part_bytes),
            search: Some(Search::default()),
            read_at: Some(MonotonicTime::default()),
            failing_since: None,
            fresh_since: None,
            ask_at: MonotonicTime::default(),
            stop: Stop::No,
            cfg,
        }
    }

    /// Handles one event.
    pub fn on_event<W: Environment<Effect = Effect>>(&mut self, environment: &mut W, event: Event) {
        match event {
            Event::TailRead(read) => self.on_read(environment, &read),
            Event::TailFailed => {
                let now = environment.now();
                self.read_at = Some(now.plus(READ_RETRY));
                self.failing_since.get_or_insert(now);
            }
            Event::AppendDone { token } => self.feed(environment, Input::AppendDone { token }),
            Event::AppendFailed {
                token,
                may_have_run,
            } => {
                let input = Input::AppendFailed {
                    token,
                    may_have_run,
                };
                self.feed(environment, input);
            }
            Event::Peers(mut peers) => {
                peers.retain(|peer| *peer != self.cfg.instance);
                self.freshness.set_peers(peers);
            }
            Event::PartyView { party, asked, view } => {
                self.freshness.on_progress(&party, asked, view);
                self.catch_up(environment);
            }
            Event::PartySilent(party) => self.freshness.on_no_answer(&party),
            Event::Offered(entries) => {
                if self.search.is_none() {
                    self.apply(environment, &entries);
                }
            }
            Event::PeerImage {
                party,
                asked,
                view,
                image,
            } => {
                if self.search.is_some() && self.load(environment, &image) {
                    self.freshness.on_progress(&party, asked, view);
                }
            }
            Event::Served { account, usage } => {
                self.meter.count(environment.wall_ms(), &account, usage);
            }
            Event::OrderWanted(command) => self.orders.request(command),
            Event::OrderAnswered(order, answer) => {
                self.orders.on_answer(environment.now(), order, answer);
            }
            Event::ReportAnswered { window, is_taken } => {
                self.reporter.on_answer(environment.now(), window, is_taken);
            }
            Event::Tick => {}
            Event::StopRequested => self.begin_stop(environment),
        }
        if self.replica.newer().is_some() {
            // Newer builds may disagree with this replay, so others take over the leases.
            self.begin_stop(environment);
        }
        self.judge(environment);
        self.feed(environment, Input::Tick);
        self.read(environment);
        self.ask(environment);
        self.advance_stop(environment);
    }

    /// Checks the key of a request that starts now.
    pub fn check_key(&self, now: MonotonicTime, token: &str) -> Result<KeyRef, KeyRefusal> {
        if !self.freshness.may_serve_keyed(now) {
            return Err(KeyRefusal::Isolated);
        }
        match self.replica.keys().check(token) {
            Err(KeyFault::Withdrawn) if self.cfg.mutations.has(Mutation::NoKeyCheck) => {
                let id = token.split('_').nth(1).unwrap_or_default();
                let account = self.replica.keys().get(id).map(|key| key.account.clone());
                Ok(KeyRef {
                    key: id.into(),
                    account: account.unwrap_or_default(),
                })
            }
            checked => checked.map_err(KeyRefusal::Fault),
        }
    }

    /// State of the log below [`Replica::next`].
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// How current that state is.
    pub fn freshness(&self) -> &Freshness {
        &self.freshness
    }

    /// What to tell other parties.
    pub fn view(&self, now: MonotonicTime) -> LogProgress {
        self.freshness.progress(now, self.replica.next())
    }

    /// State for a peer that starts, none while this process is starting itself.
    ///
    /// Replicas in memory in front of one append-only log are the idea of Pâris and Long 1991, DOI
    /// 10.1109/pccc.1991.113804. With 200,000 records, 20 gateways and 50 accounts a start took
    /// 12 ms from a peer, 37 ms from snapshot and tail and 1,387 ms from the log alone (release
    /// profile, without the network, test `start_figures`).
    pub fn image(&self) -> Option<Image> {
        self.search.is_none().then(|| Image::of(&self.replica))
    }

    /// Whether the replica follows the log.
    pub fn is_started(&self) -> bool {
        self.search.is_none()
    }

    /// Fencing number under which an effect of `role` may start at `now`.
    pub fn may_act(&self, role: LeaseRole, now: MonotonicTime) -> Option<Epoch> {
        if self.stop != Stop::No {
            return None;
        }
        self.keeper(role).may_act(now, self.cfg.send_budget)
    }

    /// Leases that this process holds.
    pub fn leases(&self, now: MonotonicTime) -> impl Iterator<Item = (LeaseRole, Epoch)> {
        let epoch = move |keeper: &LeaseKeeper| {
            let epoch = keeper.may_act(now, Duration::ZERO)?;
            Some((keeper.role(), epoch))
        };
        self.keepers.iter().filter_map(epoch)
    }

    /// Whether replay has accepted everything that was counted here.
    pub fn is_flushed(&self) -> bool {
        self.meter.is_flushed()
    }

    /// Changes the usage windows, when a configuration says so.
    ///
    /// The length must not grow while counts of the old length are in the log: window numbers would
    /// go back, and counts of the new windows would all be late.
    pub fn set_windows(&mut self, terms: WindowTerms) {
        self.meter.set_terms(terms);
        self.reporter.set_terms(terms);
    }

    fn keeper(&self, role: LeaseRole) -> &LeaseKeeper {
        let index = LeaseRole::iter().position(|r| r == role).unwrap_or(0);
        &self.keepers[index]
    }

    fn on_read<W: Environment<Effect = Effect>>(&mut self, environment: &mut W, read: &TailRead) {
        self.failing_since = None;
        self.read_at = Some(environment.now());
        if let Some(search) = &mut self.search {
            match search.on_read(read) {
                Found::ReadFrom(from) => {
                    self.start_read(environment, from, Duration::ZERO);
                    return;
                }
                Found::Snapshot(image) => {
                    if !self.load(environment, &image) {
                        self.search = Some(Search::default());
                        self.read_at = Some(environment.now().plus(IMAGE_AFTER));
                        environment.perform(Effect::AskImage);
                    }
                    return;
                }
                Found::ReplayAll => {
                    self.search = None;
                    let first = read.entries.first().map(|entry| entry.0);
                    if first > Some(self.replica.next()) {
                        return;
                    }
                }
                Found::Nothing => {
                    self.read_at = Some(environment.now().plus(IMAGE_AFTER));
                    environment.perform(Effect::AskImage);
                    return;
                }
            }
        }
        if read.oldest > self.replica.next() {
            // The log has dropped records that this replica lacks.
            self.search = Some(Search::default());
            return;
        }
        let before = self.replica.next();
        self.apply(environment, &read.entries);
        if self.replica.next() == before && before < read.head {
            // The records do not follow on: asking again at once would not stop.
            self.read_at = Some(environment.now().plus(READ_RETRY));
        }
        if self.replica.next() >= read.head {
            self.freshness.on_head_read(read.started);
            let started = read.started;
            self.feed(environment, Input::HeadRead { started });
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
            self.feed(environment, Input::Applied(*offset, &applied));
            environment.perform(Effect::Applied(*offset, applied));
        }
        let is_kept = self.cfg.mutations.has(Mutation::KeepStreams);
        if !withdrawn.is_empty() && !is_kept {
            environment.perform(Effect::KeysWithdrawn(withdrawn));
        }
        if self.replica.config().last() != config {
            environment.perform(Effect::ConfigChanged);
        }
    }

    /// Replaces the state by that of an image and returns whether that was possible. The state never
    /// goes back.
    fn load<W: Environment<Effect = Effect>>(
        &mut self,
        environment: &mut W,
        image: &Image,
    ) -> bool {
        let Ok(replica) = image.load() else {
            return false;
        };
        if replica.next() < self.replica.next() {
            return false;
        }
        let is_live = |key: &str| replica.keys().is_live(key);
        let before = self.replica.keys().iter().map(|(key, _)| key);
        let withdrawn: Vec<Box<str>> = before
            .filter(|key| self.replica.keys().is_live(key) && !is_live(key))
            .map(Into::into)
            .collect();
        let is_config_new = replica.config().last() != self.replica.config().last();
        self.replica = replica.with_mutations(self.cfg.mutations);
        self.search = None;
        self.feed_loaded(environment);
        environment.perform(Effect::Reloaded);
        if !withdrawn.is_empty() {
            environment.perform(Effect::KeysWithdrawn(withdrawn));
        }
        if is_config_new {
            environment.perform(Effect::ConfigChanged);
        }
        true
    }

    fn feed_loaded<W: Environment<Effect = Effect>>(&mut self, environment: &mut W) {
        let replica = std::mem::take(&mut self.replica);
        for keeper in &mut self.keepers {
            keeper.on_event(environment, Input::Loaded(&replica));
        }
        self.meter.on_event(environment, Input::Loaded(&replica));
        self.replica = replica;
    }

    /// Gives one input to all components.
    fn feed<W: Environment<Effect = Effect>>(&mut self, environment: &mut W, input: Input<'_>) {
        for keeper in &mut self.keepers {
            keeper.on_event(environment, input);
        }
        self.meter.on_event(environment, input);
        let settled = self
            .fresh_since
            .map_or(Duration::ZERO, |since| environment.now().since(since));
        let [planner, reporter, snapshot] = &self.keepers[..] else {
            return;
        };
        self.reporter
            .on_event(environment, input, &self.replica, reporter, settled);
        self.orders
            .on_event(environment, input, &self.replica, planner);
        let differs = self
            .snapshotter
            .on_event(environment, input, &self.replica, snapshot);
        if let Some(as_of) = differs {
            environment.perform(Effect::SnapshotDiffers(as_of));
        }
    }

    /// Judges freshness again.
    fn judge<W: Environment<Effect = Effect>>(&mut self, environment: &mut W) {
        let now = environment.now();
        if !self.freshness.on_tick(now, self.replica.next()) {
            return;
        }
        let is_fresh = self.freshness.state() == "fresh";
        self.fresh_since = is_fresh.then_some(now);
        environment.perform(Effect::FreshnessChanged);
        if self.freshness.state() == "isolated" {
            environment.perform(Effect::EndKeyed);
        }
    }

    fn read<W: Environment<Effect = Effect>>(&mut self, environment: &mut W) {
        if self.read_at.is_some_and(|at| environment.now() >= at) {
            let from = self.replica.next();
            self.start_read(environment, from, READ_WAIT);
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

    /// Asks the other parties while the log cannot be read.
    fn ask<W: Environment<Effect = Effect>>(&mut self, environment: &mut W) {
        let now = environment.now();
        if self.freshness.is_fresh(now) || now < self.ask_at {
            return;
        }
        self.ask_at = now.plus(QUERY_INTERVAL);
        let is_failing = self
            .failing_since
            .is_some_and(|since| now.since(since) >= IMAGE_AFTER);
        if self.search.is_some() && is_failing {
            environment.perform(Effect::AskImage);
        }
        environment.perform(Effect::AskParties);
    }

    fn catch_up<W: Environment<Effect = Effect>>(&mut self, environment: &mut W) {
        let from = self.replica.next();
        if self.search.is_some() || self.freshness.is_fresh(environment.now()) {
            return;
        }
        if let Some(party) = self.freshness.endpoint_ahead(from) {
            let party = party.into();
            environment.perform(Effect::ReadParty { party, from });
        }
    }

    fn begin_stop<W: Environment<Effect = Effect>>(&mut self, environment: &mut W) {
        if self.stop != Stop::No {
            return;
        }
        self.stop = Stop::Draining;
        self.meter.on_event(environment, Input::Stop);
        let [planner, reporter, snapshot] = &self.keepers[..] else {
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
        if self.stop == Stop::Draining && self.reporter.is_idle(now) && self.orders.is_idle(now) {
            self.stop = Stop::Releasing;
            for keeper in &mut self.keepers {
                keeper.on_event(environment, Input::Stop);
            }
        }
        let is_released = self.keepers.iter().all(LeaseKeeper::is_stopped);
        if self.stop == Stop::Releasing && is_released && self.meter.is_flushed() {
            self.stop = Stop::Done;
            environment.perform(Effect::MayExit);
        }
    }
}

/// Why a keyed request is refused. It has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyRefusal {
    /// This process cannot know whether the key was withdrawn.
    Isolated,
    /// The token is not valid.
    Fault(KeyFault),
}

impl std::fmt::Display for KeyRefusal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Isolated => f.write_str("the log cannot be read and not all peers were reached"),
            Self::Fault(fault) => write!(f, "the key is not valid: {fault}"),
        }
    }
}

impl std::error::Error for KeyRefusal {}
