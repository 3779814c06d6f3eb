//! Keeps one lease: waits until it is free, then claims, renews and releases it.
//!
//! The holder counts the time of its lease from before it sent the accepted record, every candidate
//! from when it read that record. If the rates of the clocks differ by less than the margin, a
//! claim therefore succeeds only after the former holder has stopped acting.
//!
//! ```
//! use std::time::Duration;
//!
//! use nutmegbay_core::append::Input;
//! use nutmegbay_core::ids::{Incarnation, Offset};
//! use nutmegbay_core::lease::{LeaseKeeper, LeaseTiming};
//! use nutmegbay_core::record::LeaseRole;
//! use nutmegbay_core::replica::Replica;
//! use nutmegbay_core::environment::{Append, MonotonicTime, Environment};
//!
//! /// Embedder with a clock and a list of the requested appends.
//! #[derive(Default)]
//! struct Embedder {
//!     now: MonotonicTime,
//!     appends: Vec<Append>,
//! }
//!
//! impl Environment for Embedder {
//!     type Effect = Append;
//!     fn now(&self) -> MonotonicTime { self.now }
//!     fn wall_ms(&self) -> u64 { 0 }
//!     fn random(&mut self) -> u128 { 7 }
//!     fn perform(&mut self, effect: Append) { self.appends.push(effect); }
//! }
//!
//! let mut environment = Embedder::default();
//! let mut replica = Replica::new();
//! let timing = LeaseTiming { claim_jitter: Duration::ZERO, ..LeaseTiming::default() };
//! let mut keeper = LeaseKeeper::new(LeaseRole::Planner, "g1", Incarnation(1), timing);
//!
//! // A started process does not know when the last lease record was written, so it waits.
//! let started = environment.now;
//! keeper.on_event(&mut environment, Input::HeadRead { started });
//! keeper.on_event(&mut environment, Input::Tick);
//! assert!(environment.appends.is_empty());
//!
//! environment.now = environment.now.plus(Duration::from_secs(10));
//! keeper.on_event(&mut environment, Input::Tick);
//! let claim = environment.appends.pop().unwrap();
//!
//! // The embedder writes the record to the log and reads it back. Replay accepts or rejects it.
//! let text = serde_json::to_string(&claim.records[0]).unwrap();
//! let applied = replica.apply(Offset(0), &text);
//! keeper.on_event(&mut environment, Input::Applied(Offset(0), &applied));
//! let budget = Duration::from_millis(500);
//! assert!(keeper.may_act(environment.now, budget).is_some());
//!
//! // Without a renewal the lease ends by the holder's own clock.
//! let later = environment.now.plus(Duration::from_millis(2600));
//! assert!(keeper.may_act(later, budget).is_none());
//! ```

use std::collections::VecDeque;
use std::time::Duration;

use nutmegbay_chart::{Chart, Machine};

use crate::append::{Appender, Input};
use crate::environment::{Append, Environment, MonotonicTime};
use crate::ids::{Epoch, Incarnation, Offset, RecordId};
use crate::mutation::{Mutation, Mutations};
use crate::record::{Body, LeaseChange, LeaseClaim, LeaseRole, Record};
use crate::replica::{Applied, LeaseState};

const CHART: &str = include_str!("../charts/lease.json");

/// Maximum number of appends whose result is unknown and whose time of sending is kept.
const MAX_SENT_APPENDS: usize = 8;

/// Durations of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTiming {
    /// Time to live of the lease, counted from the last claim or renewal.
    pub ttl: Duration,
    /// Time between two renewals, and between two tries of a claim.
    pub renew_every: Duration,
    /// Fixed part of the time that a candidate waits, on top of `ttl` and drift.
    pub margin: Duration,
    /// Maximum difference between the rates of two clocks, in percent of `ttl`.
    pub drift_percent: u32,
    /// Maximum random delay of a claim, so that few candidates claim at the same time.
    pub claim_jitter: Duration,
}

impl Default for LeaseTiming {
    fn default() -> Self {
        Self {
            ttl: Duration::from_secs(3),
            renew_every: Duration::from_secs(1),
            margin: Duration::from_millis(200),
            drift_percent: 5,
            claim_jitter: Duration::from_millis(50),
        }
    }
}

impl LeaseTiming {
    /// Returns the time after the last record of a lease of length `ttl` for which a candidate does
    /// not claim it.
    pub fn candidate_wait(&self, ttl: Duration) -> Duration {
        ttl + self.margin + ttl * self.drift_percent / 100
    }
}

/// Keeps the lease of one role for one process.
pub struct LeaseKeeper {
    role: LeaseRole,
    instance: Box<str>,
    incarnation: Incarnation,
    timing: LeaseTiming,
    machine: Machine,
    /// Last accepted state of the lease that this process has read.
    lease: Option<LeaseState>,
    /// When that state was read.
    lease_read_at: Option<MonotonicTime>,
    /// When a read first reached the head of the log.
    first_head_read: Option<MonotonicTime>,
    /// End of the lease by the clock of this process, if it is the holder.
    lease_end: MonotonicTime,
    appender: Appender,
    /// Sent appends that replay may still show, with the time of sending.
    sent_appends: VecDeque<(RecordId, MonotonicTime)>,
    /// Earliest time of the next append.
    not_before: MonotonicTime,
    /// End of the random delay before a claim, while one is due.
    claim_at: Option<MonotonicTime>,
    mutations: Mutations,
}

impl LeaseKeeper {
    /// Creates a keeper for `role` in a process that has not read the log yet.
    ///
    /// # Panics
    ///
    /// Does not panic: the state chart is compiled into the crate.
    pub fn new(
        role: LeaseRole,
        instance: &str,
        incarnation: Incarnation,
        timing: LeaseTiming,
    ) -> Self {
        let chart = Chart::parse(CHART).expect("the lease chart is part of the build");
        Self {
            role,
            instance: instance.into(),
            incarnation,
            timing,
            machine: Machine::new(chart),
            lease: None,
            lease_read_at: None,
            first_head_read: None,
            lease_end: MonotonicTime::default(),
            appender: Appender::new(instance),
            sent_appends: VecDeque::new(),
            not_before: MonotonicTime::default(),
            claim_at: None,
            mutations: Mutations::default(),
        }
    }

    /// Adds a deliberate fault, which the tests must detect.
    #[doc(hidden)]
    #[must_use]
    pub fn with_mutations(mut self, mutations: Mutations) -> Self {
        self.mutations = mutations;
        self
    }

    /// Handles one event, and appends the claim, renewal or release that is then due.
    pub fn on_event<W>(&mut self, environment: &mut W, event: Input<'_>)
    where
        W: Environment<Effect: From<Append>>,
    {
        let is_resolved = self.appender.on_input(environment.now(), event);
        match event {
            Input::Loaded(replica) => self.load_lease(environment, replica.leases().get(self.role)),
            Input::Applied(offset, Applied::Accepted(record)) => {
                self.on_accepted(environment, offset, record);
            }
            Input::HeadRead { .. } => {
                self.first_head_read
                    .get_or_insert_with(|| environment.now());
            }
            Input::Stop => {
                self.machine.handle("stop");
                self.not_before = MonotonicTime::default();
            }
            _ => {}
        }
        if is_resolved {
            self.machine.handle("resolved");
        }
        self.append_due_change(environment);
    }

    /// Returns the fencing number under which an effect that takes at most `send_budget` may start
    /// at `now`, `None` if it must not start.
    ///
    /// To be called directly before each effect, with a `now` that is read after all other
    /// preparations.
    pub fn may_act(&self, now: MonotonicTime, send_budget: Duration) -> Option<Epoch> {
        let covers = self.lease_end.since(now) >= send_budget && self.lease_end > now;
        if !self.machine.is_in("active") || !(covers || self.mutations.has(Mutation::NoLeaseCheck))
        {
            return None;
        }
        self.own_lease().map(|lease| lease.epoch)
    }

    /// Returns whether the process stops and has neither the lease nor a pending append that could
    /// claim it.
    pub fn is_stopped(&self) -> bool {
        self.machine.state() == "stopped"
    }

    /// Returns the state of the chart `charts/lease.json`.
    pub fn state(&self) -> &str {
        self.machine.state()
    }

    /// Returns the role whose lease is kept.
    pub fn role(&self) -> LeaseRole {
        self.role
    }

    fn own_lease(&self) -> Option<&LeaseState> {
        self.lease.as_ref().filter(|lease| {
            !lease.released
                && lease.incarnation == self.incarnation
                && *lease.holder == *self.instance
        })
    }

    fn load_lease<W: Environment>(&mut self, environment: &W, lease: Option<&LeaseState>) {
        self.lease = lease.cloned();
        self.lease_read_at = Some(environment.now());
        self.lease_end = MonotonicTime::default();
        self.update_ownership();
    }

    fn on_accepted<W: Environment>(&mut self, environment: &W, offset: Offset, record: &Record) {
        if !self.apply_record(offset, record) {
            return;
        }
        self.lease_read_at = Some(environment.now());
        if let Some((_, sent_at)) = self.sent_appends.iter().find(|(id, _)| *id == record.id) {
            let from_answer = self.mutations.has(Mutation::LeaseFromAnswer);
            let from = if from_answer {
                environment.now()
            } else {
                *sent_at
            };
            self.lease_end = self.lease_end.max(from.plus(self.timing.ttl));
        }
        self.update_ownership();
    }

    /// Applies an accepted record and returns whether it belongs to this lease.
    fn apply_record(&mut self, offset: Offset, record: &Record) -> bool {
        match &record.body {
            Body::LeaseClaim(claim) if claim.role == self.role => {
                self.lease_end = MonotonicTime::default();
                self.lease = Some(LeaseState {
                    epoch: offset.into(),
                    holder: claim.holder.clone(),
                    incarnation: claim.incarnation,
                    ttl_ms: claim.ttl_ms,
                    last: offset,
                    released: false,
                });
            }
            Body::LeaseRenew(change) if change.role == self.role => {
                self.lease.iter_mut().for_each(|lease| lease.last = offset);
            }
            Body::LeaseRelease(change) if change.role == self.role => {
                self.lease.iter_mut().for_each(|lease| {
                    lease.last = offset;
                    lease.released = true;
                });
            }
            _ => return false,
        }
        true
    }

    /// Reports to the chart whether this process holds the lease.
    fn update_ownership(&mut self) {
        let event = if self.own_lease().is_some() {
            "own"
        } else {
            "other"
        };
        self.machine.handle(event);
    }

    /// Appends the claim, renewal or release that is due.
    fn append_due_change<W>(&mut self, environment: &mut W)
    where
        W: Environment<Effect: From<Append>>,
    {
        let now = environment.now();
        if !self.appender.can_send(now) || now < self.not_before {
            return;
        }
        let state = self.machine.state();
        let (is_waiting, is_holding) = (state == "waiting", state == "holding");
        if is_waiting && self.is_claim_due(environment, now) {
            self.machine.handle("claim");
            let claim = self.lease_claim();
            self.send(
                environment,
                Body::LeaseClaim(claim),
                self.timing.renew_every,
            );
        } else if let Some(change) = self.lease_change() {
            if is_holding {
                self.machine.handle("renew");
                self.send(
                    environment,
                    Body::LeaseRenew(change),
                    self.timing.renew_every,
                );
            } else if self.machine.handle("release") {
                self.send(environment, Body::LeaseRelease(change), Duration::ZERO);
            }
        }
    }

    fn lease_claim(&self) -> LeaseClaim {
        LeaseClaim {
            role: self.role,
            holder: self.instance.clone(),
            incarnation: self.incarnation,
            prev: self.lease.as_ref().map(|lease| lease.last),
            ttl_ms: u64::try_from(self.timing.ttl.as_millis()).unwrap_or(u64::MAX),
        }
    }

    fn lease_change(&self) -> Option<LeaseChange> {
        self.own_lease().map(|lease| LeaseChange {
            role: self.role,
            epoch: lease.epoch,
            prev: lease.last,
        })
    }

    /// Returns whether to claim now: the lease has ended, and the random delay since then has
    /// passed.
    fn is_claim_due<W: Environment>(&mut self, environment: &mut W, now: MonotonicTime) -> bool {
        if !self.may_claim(now) {
            self.claim_at = None;
            return false;
        }
        let jitter = self.timing.claim_jitter;
        let at = *self.claim_at.get_or_insert_with(|| {
            let random_1024th = u32::try_from(environment.random() % 1024).unwrap_or_default();
            now.plus(jitter * random_1024th / 1024)
        });
        now >= at
    }

    /// Returns whether the lease of any holder has ended, by the clock of this process.
    fn may_claim(&self, now: MonotonicTime) -> bool {
        let Some(first_head_read) = self.first_head_read else {
            return false;
        };
        let ttl = self
            .lease
            .as_ref()
            .map_or(self.timing.ttl, |lease| Duration::from_millis(lease.ttl_ms));
        let wait = self.timing.candidate_wait(ttl.max(self.timing.ttl));
        let has_waited_since_start =
            now >= first_head_read.plus(wait) || self.mutations.has(Mutation::NoStartWait);
        let is_released = self.lease.as_ref().is_some_and(|lease| lease.released);
        let is_expired = self.lease_read_at.is_none_or(|read| {
            now >= read.plus(wait)
                || self.mutations.has(Mutation::NoCandidateWait)
                || (self.mutations.has(Mutation::NoStartWait) && read <= first_head_read)
        });
        has_waited_since_start && (is_released || is_expired)
    }

    fn send<W>(&mut self, environment: &mut W, body: Body, pause: Duration)
    where
        W: Environment<Effect: From<Append>>,
    {
        // Read before the send, so that the lease never starts later than the send.
        let now = environment.now();
        self.not_before = now.plus(pause);
        self.claim_at = None;
        let id = self.appender.send(environment, vec![body]);
        if self.sent_appends.len() == MAX_SENT_APPENDS {
            self.sent_appends.pop_front();
        }
        self.sent_appends.push_back((id, now));
    }
}
