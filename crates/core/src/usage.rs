//! Usage: counted by every gateway, sealed and reported by the holder of the reporter lease.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::append::{Appender, Input};
use crate::environment::{Append, Environment, MonotonicTime};
use crate::ids::{Epoch, Incarnation, WindowId};
use crate::lease::LeaseKeeper;
use crate::mutation::{Mutation, Mutations};
use crate::record::{Body, Usage, UsageCounts, WindowReported, WindowSeal};
use crate::replica::{Applied, Figures, Replica, UsageLedger};

/// Time between two flushes. A killed gateway loses the counts of at most this time.
pub const FLUSH_EVERY: Duration = Duration::from_secs(1);

/// Time between two tries to deliver reports.
const REPORT_RETRY: Duration = Duration::from_secs(1);

/// Length of usage windows and the wait before their seal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WindowTerms {
    /// Length in milliseconds.
    pub window_ms: u64,
    /// Time after the end of a window at which it is sealed, in milliseconds.
    pub grace_ms: u64,
}

impl Default for WindowTerms {
    fn default() -> Self {
        Self {
            window_ms: 60_000,
            grace_ms: 5_000,
        }
    }
}

impl WindowTerms {
    /// Window of a wall-clock time.
    pub fn window(&self, wall_ms: u64) -> WindowId {
        WindowId(wall_ms / self.window_ms.max(1))
    }

    /// Whether the window is over for so long that it may be sealed.
    fn is_over(&self, window: WindowId, wall_ms: u64) -> bool {
        let end = window.0.saturating_add(1).saturating_mul(self.window_ms);
        wall_ms >= end.saturating_add(self.grace_ms)
    }
}

/// Counts what this gateway has delivered and flushes the totals to the log.
pub struct UsageMeter {
    gateway: Incarnation,
    terms: WindowTerms,
    seq: u64,
    newest: WindowId,
    totals: Totals,
    /// Totals that replay accepted.
    confirmed: Totals,
    /// Whether something was counted since the last flush was sent.
    has_grown: bool,
    appender: Appender,
    not_before: MonotonicTime,
    mutations: Mutations,
}

type Totals = BTreeMap<WindowId, BTreeMap<Box<str>, Usage>>;

impl UsageMeter {
    /// Meter of one process life.
    pub fn new(instance: &str, gateway: Incarnation, terms: WindowTerms) -> Self {
        Self {
            gateway,
            terms,
            seq: 0,
            newest: WindowId::default(),
            totals: Totals::new(),
            confirmed: Totals::new(),
            has_grown: false,
            appender: Appender::new(instance),
            not_before: MonotonicTime::default(),
            mutations: Mutations::default(),
        }
    }

    /// A meter with a deliberate fault, to prove that the tests find it.
    #[doc(hidden)]
    #[must_use]
    pub fn with_mutations(mut self, mutations: Mutations) -> Self {
        self.mutations = mutations;
        self
    }

    /// Changes the window length, which applies to what is counted from now on.
    pub fn set_terms(&mut self, terms: WindowTerms) {
        self.terms = terms;
    }

    /// Counts one answer at its final piece.
    pub fn count(&mut self, wall_ms: u64, account: &str, usage: Usage) {
        // A wall clock that steps back must not reopen a window whose total was let go.
        self.newest = self.newest.max(self.terms.window(wall_ms));
        let accounts = self.totals.entry(self.newest).or_default();
        let total = accounts.entry(account.into()).or_default();
        *total = total.saturating_add(usage);
        self.has_grown = true;
    }

    /// Whether replay has accepted everything that was counted.
    pub fn is_flushed(&self) -> bool {
        self.totals == self.confirmed
    }

    /// Handles one event.
    pub fn on_event<W>(&mut self, environment: &mut W, input: Input<'_>)
    where
        W: Environment<Effect: From<Append>>,
    {
        let now = environment.now();
        let is_over = self.appender.follow(now, input);
        match input {
            Input::Applied(_, Applied::Accepted(record)) => {
                if let Body::UsageCounts(counts) = &record.body
                    && counts.gateway == self.gateway
                {
                    self.confirm(counts);
                }
            }
            Input::AppendFailed { .. }
                if is_over && self.mutations.has(Mutation::DropFailedCounts) =>
            {
                self.confirmed = self.totals.clone();
            }
            // A planned stop does not wait for the next flush.
            Input::Stop => self.not_before = now,
            _ => {}
        }
        // Totals are cumulative and numbered, so a flush need not wait until replay has shown the
        // last one: with slow reads a kill would lose the counts of several seconds.
        let may_send = self.appender.is_free(now) || (self.has_grown && self.appender.has_ended());
        if may_send && now >= self.not_before && !self.is_flushed() {
            self.flush(environment);
        }
    }

    fn flush<W>(&mut self, environment: &mut W)
    where
        W: Environment<Effect: From<Append>>,
    {
        let is_new = |window: &WindowId| self.totals.get(window) != self.confirmed.get(window);
        let windows = self.totals.iter().filter(|(window, _)| is_new(window));
        let windows = windows
            .map(|(window, accounts)| (*window, accounts.clone()))
            .collect();
        self.seq += 1;
        self.has_grown = false;
        self.not_before = environment.now().plus(FLUSH_EVERY);
        let counts = UsageCounts {
            gateway: self.gateway,
            seq: self.seq,
            windows,
        };
        self.appender
            .send(environment, vec![Body::UsageCounts(counts)]);
    }

    fn confirm(&mut self, counts: &UsageCounts) {
        for (window, accounts) in &counts.windows {
            self.confirmed.insert(*window, accounts.clone());
        }
        let (newest, confirmed) = (self.newest, &mut self.confirmed);
        self.totals.retain(|window, accounts| {
            *window >= newest || confirmed.get(window) != Some(accounts)
        });
        let totals = &self.totals;
        confirmed.retain(|window, _| totals.contains_key(window));
    }
}

/// Effect: delivers the report of a window to the platform, by the deadline or not at all.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SendUsageReport {
    /// Window.
    pub window: WindowId,
    /// Authority of the seal, so that a repeat by another holder is equal.
    pub epoch: Epoch,
    /// Sealed figures.
    pub figures: Figures,
    /// The send is abandoned then.
    pub deadline: MonotonicTime,
}

/// Seals and reports windows while this process holds the reporter lease.
pub struct Reporter {
    terms: WindowTerms,
    send_budget: Duration,
    appender: Appender,
    /// Report in flight and its deadline.
    report: Option<(WindowId, MonotonicTime)>,
    /// Windows whose report was taken and whose `WindowReported` is not in the log yet.
    taken: BTreeSet<WindowId>,
    not_before: MonotonicTime,
    is_stopping: bool,
    mutations: Mutations,
}

impl Reporter {
    /// Reporter of one process life.
    pub fn new(instance: &str, terms: WindowTerms, send_budget: Duration) -> Self {
        Self {
            terms,
            send_budget,
            appender: Appender::new(instance),
            report: None,
            taken: BTreeSet::new(),
            not_before: MonotonicTime::default(),
            is_stopping: false,
            mutations: Mutations::default(),
        }
    }

    /// A reporter with a deliberate fault, to prove that the tests find it.
    #[doc(hidden)]
    #[must_use]
    pub fn with_mutations(mut self, mutations: Mutations) -> Self {
        self.mutations = mutations;
        self
    }

    /// Changes the window length and the wait before a seal.
    pub fn set_terms(&mut self, terms: WindowTerms) {
        self.terms = terms;
    }

    /// Whether no report is on its way.
    pub fn is_idle(&self, now: MonotonicTime) -> bool {
        self.report.is_none_or(|(_, deadline)| now >= deadline)
    }

    /// The platform took a report, or the send was abandoned or refused.
    pub fn on_answer(&mut self, now: MonotonicTime, window: WindowId, is_taken: bool) {
        if self.report.is_some_and(|(sent, _)| sent == window) {
            self.report = None;
        }
        if is_taken {
            self.taken.insert(window);
        } else {
            self.not_before = now.plus(REPORT_RETRY);
        }
    }

    /// Handles one event. `settled_for` is the time for which the log has been readable: counts held
    /// back by an outage get as long to arrive as those of any window.
    pub fn on_event<W>(
        &mut self,
        environment: &mut W,
        input: Input<'_>,
        replica: &Replica,
        lease: &LeaseKeeper,
        settled_for: Duration,
    ) where
        W: Environment<Effect: From<Append> + From<SendUsageReport>>,
    {
        let now = environment.now();
        self.appender.follow(now, input);
        self.is_stopping |= matches!(input, Input::Stop);
        let usage = replica.usage();
        self.taken.retain(|window| usage.report(*window).is_some());
        if self.appender.is_free(now) {
            self.append(environment, usage, lease, settled_for);
        }
        if self.is_idle(now) && now >= self.not_before && !self.is_stopping {
            self.report = None;
            self.send_report(environment, usage, lease);
        }
    }

    fn append<W>(
        &mut self,
        environment: &mut W,
        usage: &UsageLedger,
        lease: &LeaseKeeper,
        settled_for: Duration,
    ) where
        W: Environment<Effect: From<Append>>,
    {
        // That the platform took a report stays true without the lease.
        if let Some(&window) = self.taken.first() {
            let reported = WindowReported { window };
            self.appender
                .send(environment, vec![Body::WindowReported(reported)]);
            return;
        }
        let grace = Duration::from_millis(self.terms.grace_ms);
        let wall_ms = environment.wall_ms();
        let next = usage.open().next().map(|(window, _)| window);
        let Some(window) = next.filter(|window| self.terms.is_over(*window, wall_ms)) else {
            return;
        };
        if settled_for < grace || self.is_stopping {
            return;
        }
        if let Some(epoch) = lease.may_act(environment.now(), self.send_budget) {
            let seal = WindowSeal { window, epoch };
            self.appender
                .send(environment, vec![Body::WindowSeal(seal)]);
        }
    }

    fn send_report<W>(&mut self, environment: &mut W, usage: &UsageLedger, lease: &LeaseKeeper)
    where
        W: Environment<Effect: From<SendUsageReport>>,
    {
        let mut waiting = usage.unreported();
        let Some(sealed) = waiting.find(|sealed| !self.taken.contains(&sealed.window)) else {
            return;
        };
        let mut figures = sealed.figures.clone();
        if self.mutations.has(Mutation::ReportAfterSeal) {
            let late = usage.open().flat_map(|(_, open)| open.late.clone());
            figures.late.extend(late);
        }
        let now = environment.now();
        if lease.may_act(now, self.send_budget).is_none() {
            return;
        }
        let deadline = now.plus(self.send_budget);
        self.report = Some((sealed.window, deadline));
        environment.perform(
            SendUsageReport {
                window: sealed.window,
                epoch: sealed.epoch,
                figures,
                deadline,
            }
            .into(),
        );
    }
}
