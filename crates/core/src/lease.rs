//! Keeps one lease: waits, claims, renews and gives it back.
//!
//! The holder counts its lease from before it sent the accepted record, every other candidate from
//! when it read that record. With clocks whose rates differ by less than the margin, a claim
//! therefore succeeds only after the former holder has stopped acting.
//!
//! ```
//! use std::time::Duration;
//!
//! use nutmegbay_core::append::Input;
//! use nutmegbay_core::ids::{Incarnation, Offset};
//! use nutmegbay_core::lease::{LeaseKeeper, LeaseTerms};
//! use nutmegbay_core::record::LeaseRole;
//! use nutmegbay_core::replica::Replica;
//! use nutmegbay_core::world::{Append, Moment, World};
//!
//! /// The embedder: a clock and a list of what it was asked to append.
//! #[derive(Default)]
//! struct Embedder {
//!     now: Moment,
//!     appends: Vec<Append>,
//! }
//!
//! impl World for Embedder {
//!     type Effect = Append;
//!     fn now(&self) -> Moment { self.now }
//!     fn wall_ms(&self) -> u64 { 0 }
//!     fn random(&mut self) -> u128 { 7 }
//!     fn perform(&mut self, effect: Append) { self.appends.push(effect); }
//! }
//!
//! let mut world = Embedder::default();
//! let mut replica = Replica::new();
//! let terms = LeaseTerms { claim_spread: Duration::ZERO, ..LeaseTerms::default() };
//! let mut keeper = LeaseKeeper::new(LeaseRole::Planner, "g1", Incarnation(1), terms);
//!
//! // A process that just started does not know when the last record was written: it waits.
//! let started = world.now;
//! keeper.on_event(&mut world, Input::HeadRead { started });
//! keeper.on_event(&mut world, Input::Tick);
//! assert!(world.appends.is_empty());
//!
//! world.now = world.now.plus(Duration::from_secs(10));
//! keeper.on_event(&mut world, Input::Tick);
//! let claim = world.appends.pop().unwrap();
//!
//! // The embedder writes the record to the log and reads it back; replay decides.
//! let text = serde_json::to_string(&claim.records[0]).unwrap();
//! let applied = replica.apply(Offset(0), &text);
//! keeper.on_event(&mut world, Input::Applied(Offset(0), &applied));
//! let budget = Duration::from_millis(500);
//! assert!(keeper.may_act(world.now, budget).is_some());
//!
//! // Without a renewal the authority ends by the holder's own clock.
//! let later = world.now.plus(Duration::from_millis(2600));
//! assert!(keeper.may_act(later, budget).is_none());
//! ```

use std::collections::VecDeque;
use std::time::Duration;

use nutmegbay_chart::{Chart, Machine};

use crate::append::{Appender, Input};
use crate::ids::{Epoch, Incarnation, Offset, RecordId};
use crate::mutation::{Mutation, Mutations};
use crate::record::{Body, LeaseChange, LeaseClaim, LeaseRole, Record};
use crate::replica::{Applied, LeaseState};
use crate::world::{Append, Moment, World};

const CHART: &str = include_str!("../charts/lease.json");

/// Appends whose fate is unknown and whose time of sending is remembered.
const SENT_KEPT: usize = 8;

/// Durations of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTerms {
    /// Length.
    pub ttl: Duration,
    /// Time between two renewals, and between two tries of a claim.
    pub renew_every: Duration,
    /// Part of a candidate's wait that does not depend on the length.
    pub margin: Duration,
    /// Part of the length by which the rates of two clocks may differ, in percent.
    pub drift_percent: u32,
    /// Candidates delay a claim by a random time up to this, so that few of them collide.
    pub claim_spread: Duration,
}

impl Default for LeaseTerms {
    fn default() -> Self {
        Self {
            ttl: Duration::from_secs(3),
            renew_every: Duration::from_secs(1),
            margin: Duration::from_millis(200),
            drift_percent: 5,
            claim_spread: Duration::from_millis(50),
        }
    }
}

impl LeaseTerms {
    /// Time for which a candidate leaves a lease of length `ttl` alone.
    pub fn wait(&self, ttl: Duration) -> Duration {
        ttl + self.margin + ttl * self.drift_percent / 100
    }
}

/// Keeps the lease of one role for one process.
pub struct LeaseKeeper {
    role: LeaseRole,
    instance: Box<str>,
    incarnation: Incarnation,
    terms: LeaseTerms,
    machine: Machine,
    /// Last accepted state of the lease, as far as this process has read.
    lease: Option<LeaseState>,
    /// When that state was read.
    read: Option<Moment>,
    /// When the head of the log was first reached.
    first_read: Option<Moment>,
    /// End of the lease by this process's clock.
    until: Moment,
    appender: Appender,
    /// Earlier appends that replay may still show.
    sent: VecDeque<(RecordId, Moment)>,
    /// Earliest moment of the next append.
    not_before: Moment,
    /// End of the random delay before a claim.
    claim_at: Option<Moment>,
    mutations: Mutations,
}

impl LeaseKeeper {
    /// Keeper for `role` in a process that has read nothing yet.
    ///
    /// # Panics
    ///
    /// Never: the chart is part of the build.
    pub fn new(
        role: LeaseRole,
        instance: &str,
        incarnation: Incarnation,
        terms: LeaseTerms,
    ) -> Self {
        let chart = Chart::parse(CHART).expect("the lease chart is part of the build");
        Self {
            role,
            instance: instance.into(),
            incarnation,
            terms,
            machine: Machine::new(chart),
            lease: None,
            read: None,
            first_read: None,
            until: Moment::default(),
            appender: Appender::new(instance),
            sent: VecDeque::new(),
            not_before: Moment::default(),
            claim_at: None,
            mutations: Mutations::default(),
        }
    }

    /// A keeper with a deliberate fault, to prove that the tests find it.
    #[doc(hidden)]
    #[must_use]
    pub fn with_mutations(mut self, mutations: Mutations) -> Self {
        self.mutations = mutations;
        self
    }

    /// Handles one event.
    pub fn on_event<W>(&mut self, world: &mut W, event: Input<'_>)
    where
        W: World<Effect: From<Append>>,
    {
        let is_over = self.appender.on_input(world.now(), event);
        match event {
            Input::Loaded(replica) => self.load(world, replica.leases().get(self.role)),
            Input::Applied(offset, Applied::Accepted(record)) => {
                self.on_accepted(world, offset, record);
            }
            Input::HeadRead { .. } => {
                self.first_read.get_or_insert_with(|| world.now());
            }
            Input::Stop => {
                self.machine.handle("stop");
                self.not_before = Moment::default();
            }
            _ => {}
        }
        if is_over {
            self.machine.handle("resolved");
        }
        self.proceed(world);
    }

    /// Fencing number under which an effect that takes at most `send_budget` may start at `now`.
    ///
    /// To be called directly before each effect, with the time read after everything else.
    pub fn may_act(&self, now: Moment, send_budget: Duration) -> Option<Epoch> {
        let covers = self.until.since(now) >= send_budget && self.until > now;
        if !self.machine.is_in("active") || !(covers || self.mutations.has(Mutation::NoLeaseCheck))
        {
            return None;
        }
        self.own_lease().map(|lease| lease.epoch)
    }

    /// Whether the process has neither the lease nor an append that could give it.
    pub fn is_stopped(&self) -> bool {
        self.machine.state() == "stopped"
    }

    /// State of the chart `lease`.
    pub fn state(&self) -> &str {
        self.machine.state()
    }

    /// Role whose lease it keeps.
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

    fn load<W: World>(&mut self, world: &W, lease: Option<&LeaseState>) {
        self.lease = lease.cloned();
        self.read = Some(world.now());
        self.until = Moment::default();
        self.settle();
    }

    fn on_accepted<W: World>(&mut self, world: &W, offset: Offset, record: &Record) {
        if !self.follow(offset, record) {
            return;
        }
        self.read = Some(world.now());
        if let Some((_, sent)) = self.sent.iter().find(|(id, _)| *id == record.id) {
            let from_answer = self.mutations.has(Mutation::LeaseFromAnswer);
            let from = if from_answer { world.now() } else { *sent };
            self.until = self.until.max(from.plus(self.terms.ttl));
        }
        self.settle();
    }

    /// Follows an accepted record and returns whether it was one of this lease.
    fn follow(&mut self, offset: Offset, record: &Record) -> bool {
        match &record.body {
            Body::LeaseClaim(claim) if claim.role == self.role => {
                self.until = Moment::default();
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

    /// Tells the chart who holds the lease.
    fn settle(&mut self) {
        let event = if self.own_lease().is_some() {
            "own"
        } else {
            "other"
        };
        self.machine.handle(event);
    }

    /// Sends what is due.
    fn proceed<W>(&mut self, world: &mut W)
    where
        W: World<Effect: From<Append>>,
    {
        let now = world.now();
        if !self.appender.can_send(now) || now < self.not_before {
            return;
        }
        let state = self.machine.state();
        let (is_waiting, is_holding) = (state == "waiting", state == "holding");
        if is_waiting && self.is_claim_due(world, now) {
            self.machine.handle("claim");
            let claim = self.claim();
            self.send(world, Body::LeaseClaim(claim), self.terms.renew_every);
        } else if let Some(change) = self.change() {
            if is_holding {
                self.machine.handle("renew");
                self.send(world, Body::LeaseRenew(change), self.terms.renew_every);
            } else if self.machine.handle("release") {
                self.send(world, Body::LeaseRelease(change), Duration::ZERO);
            }
        }
    }

    fn claim(&self) -> LeaseClaim {
        LeaseClaim {
            role: self.role,
            holder: self.instance.clone(),
            incarnation: self.incarnation,
            prev: self.lease.as_ref().map(|lease| lease.last),
            ttl_ms: u64::try_from(self.terms.ttl.as_millis()).unwrap_or(u64::MAX),
        }
    }

    fn change(&self) -> Option<LeaseChange> {
        self.own_lease().map(|lease| LeaseChange {
            role: self.role,
            epoch: lease.epoch,
            prev: lease.last,
        })
    }

    /// Whether to claim now: the lease has ended, and the random delay since then is over.
    fn is_claim_due<W: World>(&mut self, world: &mut W, now: Moment) -> bool {
        if !self.may_claim(now) {
            self.claim_at = None;
            return false;
        }
        let spread = self.terms.claim_spread;
        let at = *self.claim_at.get_or_insert_with(|| {
            let share = u32::try_from(world.random() % 1024).unwrap_or_default();
            now.plus(spread * share / 1024)
        });
        now >= at
    }

    /// Whether the lease of any holder has ended, by this process's clock.
    fn may_claim(&self, now: Moment) -> bool {
        let Some(first_read) = self.first_read else {
            return false;
        };
        let ttl = self
            .lease
            .as_ref()
            .map_or(self.terms.ttl, |lease| Duration::from_millis(lease.ttl_ms));
        let wait = self.terms.wait(ttl.max(self.terms.ttl));
        let started = now >= first_read.plus(wait) || self.mutations.has(Mutation::NoStartWait);
        let is_released = self.lease.as_ref().is_some_and(|lease| lease.released);
        let expired = self.read.is_none_or(|read| {
            now >= read.plus(wait)
                || self.mutations.has(Mutation::NoCandidateWait)
                || (self.mutations.has(Mutation::NoStartWait) && read <= first_read)
        });
        started && (is_released || expired)
    }

    fn send<W>(&mut self, world: &mut W, body: Body, pause: Duration)
    where
        W: World<Effect: From<Append>>,
    {
        // Read before the send, so that the lease never counts from later than that.
        let now = world.now();
        self.not_before = now.plus(pause);
        self.claim_at = None;
        let id = self.appender.send(world, vec![body]);
        if self.sent.len() == SENT_KEPT {
            self.sent.pop_front();
        }
        self.sent.push_back((id, now));
    }
}
