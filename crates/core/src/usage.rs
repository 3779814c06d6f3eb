//! Usage accounting: every gateway counts, the holder of the reporter lease seals and reports
//! windows.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::append::{Appender, Input};
use crate::environment::{Append, Environment, MonotonicTime};
use crate::ids::{Epoch, Incarnation, WindowId};
use crate::lease::LeaseKeeper;
use crate::mutation::{Mutation, Mutations};
use crate::record::{Body, Usage, UsageCounts, WindowReported, WindowSeal};
use crate::replica::{Applied, Replica, UsageLedger, WindowUsage};

/// Minimum time between two flushes of counts to the log. A killed gateway loses the counts of at
/// most this time.
pub const FLUSH_INTERVAL: Duration = Duration::from_secs(1);

/// Pause after a report that was refused or abandoned.
const REPORT_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Length of usage windows and the delay until they are sealed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WindowTiming {
    /// Length of a window in milliseconds.
    pub window_ms: u64,
    /// Time between the end of a window and its seal in milliseconds.
    pub grace_ms: u64,
}

impl Default for WindowTiming {
    fn default() -> Self {
        Self {
            window_ms: 60_000,
            grace_ms: 5_000,
        }
    }
}

impl WindowTiming {
    /// Window that contains a wall-clock time, in milliseconds since 1970.
    pub fn window(&self, wall_ms: u64) -> WindowId {
        WindowId(wall_ms / self.window_ms.max(1))
    }

    /// Whether window and grace time have passed, so that the window may be sealed.
    fn may_seal(&self, window: WindowId, wall_ms: u64) -> bool {
        let end = window.0.saturating_add(1).saturating_mul(self.window_ms);
        wall_ms >= end.saturating_add(self.grace_ms)
    }
}

/// Counts the usage of the requests that this gateway answered and flushes the totals to the log.
pub struct UsageMeter {
    gateway: Incarnation,
    timing: WindowTiming,
    seq: u64,
    newest: WindowId,
    totals: Totals,
    /// Totals that replay has accepted.
    confirmed: Totals,
    /// Whether anything was counted since the last flush was sent.
    has_unsent_counts: bool,
    appender: Appender,
    /// Earliest time of the next flush.
    flush_at: MonotonicTime,
    mutations: Mutations,
}

type Totals = BTreeMap<WindowId, BTreeMap<Box<str>, Usage>>;

impl UsageMeter {
    /// Meter of one incarnation of a gateway.
    pub fn new(instance: &str, gateway: Incarnation, timing: WindowTiming) -> Self {
        Self {
            gateway,
            timing,
            seq: 0,
            newest: WindowId::default(),
            totals: Totals::new(),
            confirmed: Totals::new(),
            has_unsent_counts: false,
            appender: Appender::new(instance),
            flush_at: MonotonicTime::default(),
            mutations: Mutations::default(),
        }
    }

    /// Adds a deliberate fault, to prove that the tests find it.
    #[doc(hidden)]
    #[must_use]
    pub fn with_mutations(mut self, mutations: Mutations) -> Self {
        self.mutations = mutations;
        self
    }

    /// Changes the window length of everything that is counted from now on.
    pub fn set_timing(&mut self, timing: WindowTiming) {
        self.timing = timing;
    }

    /// Adds the usage of one answer, when its last piece is delivered.
    pub fn count(&mut self, wall_ms: u64, account: &str, usage: Usage) {
        // A wall clock that steps back must not reopen a window whose totals were dropped.
        self.newest = self.newest.max(self.timing.window(wall_ms));
        let accounts = self.totals.entry(self.newest).or_default();
        let total = accounts.entry(account.into()).or_default();
        *total = total.saturating_add(usage);
        self.has_unsent_counts = true;
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
        let is_complete = self.appender.on_input(now, input);
        match input {
            Input::Applied(_, Applied::Accepted(record)) => {
                if let Body::UsageCounts(counts) = &record.body
                    && counts.gateway == self.gateway
                {
                    self.confirm(counts);
                }
            }
            Input::AppendFailed { .. }
                if is_complete && self.mutations.has(Mutation::DropFailedCounts) =>
            {
                self.confirmed = self.totals.clone();
            }
            // A planned stop flushes without waiting for the interval.
            Input::Stop => self.flush_at = now,
            _ => {}
        }
        // Totals are cumulative and numbered, so a flush need not wait until replay has decided
        // about the last one: with slow reads, a kill would then lose the counts of several
        // seconds.
        let may_send = self.appender.can_send(now)
            || (self.has_unsent_counts && self.appender.awaits_replay());
        if may_send && now >= self.flush_at && !self.is_flushed() {
            self.flush(environment);
        }
    }

    fn flush<W>(&mut self, environment: &mut W)
    where
        W: Environment<Effect: From<Append>>,
    {
        let is_changed = |window: &WindowId| self.totals.get(window) != self.confirmed.get(window);
        let windows = self.totals.iter().filter(|(window, _)| is_changed(window));
        let windows = windows
            .map(|(window, accounts)| (*window, accounts.clone()))
            .collect();
        self.seq += 1;
        self.has_unsent_counts = false;
        self.flush_at = environment.now().plus(FLUSH_INTERVAL);
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

/// Effect: delivers the report of a window to the platform, unless the deadline passes first.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SendUsageReport {
    /// Window that is reported.
    pub window: WindowId,
    /// Fencing number of the seal, so that a repeat by another lease holder is equal.
    pub epoch: Epoch,
    /// Usage as of the seal.
    pub usage: WindowUsage,
    /// Time at which the send is abandoned.
    pub deadline: MonotonicTime,
}

/// Seals and reports usage windows while this process holds the reporter lease.
pub struct UsageReporter {
    timing: WindowTiming,
    send_budget: Duration,
    appender: Appender,
    /// Window of the report in flight and its deadline.
    in_flight: Option<(WindowId, MonotonicTime)>,
    /// Windows whose report was accepted and whose `WindowReported` is not in the log yet.
    accepted: BTreeSet<WindowId>,
    /// Earliest time of the next report.
    report_at: MonotonicTime,
    is_stopping: bool,
    mutations: Mutations,
}

impl UsageReporter {
    /// Reporter of one incarnation of a gateway. Sending a report takes at most `send_budget`.
    pub fn new(instance: &str, timing: WindowTiming, send_budget: Duration) -> Self {
        Self {
            timing,
            send_budget,
            appender: Appender::new(instance),
            in_flight: None,
            accepted: BTreeSet::new(),
            report_at: MonotonicTime::default(),
            is_stopping: false,
            mutations: Mutations::default(),
        }
    }

    /// Adds a deliberate fault, to prove that the tests find it.
    #[doc(hidden)]
    #[must_use]
    pub fn with_mutations(mut self, mutations: Mutations) -> Self {
        self.mutations = mutations;
        self
    }

    /// Changes the window length and the delay until a window is sealed.
    pub fn set_timing(&mut self, timing: WindowTiming) {
        self.timing = timing;
    }

    /// Whether no report is in flight.
    pub fn is_idle(&self, now: MonotonicTime) -> bool {
        self.in_flight.is_none_or(|(_, deadline)| now >= deadline)
    }

    /// Handles the end of a send: the platform accepted the report, or it was refused or abandoned.
    pub fn on_answer(&mut self, now: MonotonicTime, window: WindowId, is_accepted: bool) {
        if self.in_flight.is_some_and(|(sent, _)| sent == window) {
            self.in_flight = None;
        }
        if is_accepted {
            self.accepted.insert(window);
        } else {
            self.report_at = now.plus(REPORT_RETRY_DELAY);
        }
    }

    /// Handles one event. `readable_for` is the time for which the log has been readable: no window
    /// is sealed within the grace time after an outage, so that counts which the outage delayed can
    /// still arrive.
    pub fn on_event<W>(
        &mut self,
        environment: &mut W,
        input: Input<'_>,
        replica: &Replica,
        lease: &LeaseKeeper,
        readable_for: Duration,
    ) where
        W: Environment<Effect: From<Append> + From<SendUsageReport>>,
    {
        let now = environment.now();
        self.appender.on_input(now, input);
        self.is_stopping |= matches!(input, Input::Stop);
        let usage = replica.usage();
        self.accepted
            .retain(|window| usage.report(*window).is_some());
        if self.appender.can_send(now) {
            self.append(environment, usage, lease, readable_for);
        }
        if self.is_idle(now) && now >= self.report_at && !self.is_stopping {
            self.in_flight = None;
            self.send_report(environment, usage, lease);
        }
    }

    fn append<W>(
        &mut self,
        environment: &mut W,
        usage: &UsageLedger,
        lease: &LeaseKeeper,
        readable_for: Duration,
    ) where
        W: Environment<Effect: From<Append>>,
    {
        // This needs no lease: a report that the platform accepted stays accepted.
        if let Some(&window) = self.accepted.first() {
            let reported = WindowReported { window };
            self.appender
                .send(environment, vec![Body::WindowReported(reported)]);
            return;
        }
        let grace = Duration::from_millis(self.timing.grace_ms);
        let wall_ms = environment.wall_ms();
        let oldest = usage.open().next().map(|(window, _)| window);
        let Some(window) = oldest.filter(|window| self.timing.may_seal(*window, wall_ms)) else {
            return;
        };
        if readable_for < grace || self.is_stopping {
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
        let mut unreported = usage.unreported();
        let Some(sealed) = unreported.find(|sealed| !self.accepted.contains(&sealed.window)) else {
            return;
        };
        let mut window_usage = sealed.usage.clone();
        if self.mutations.has(Mutation::ReportAfterSeal) {
            let late = usage.open().flat_map(|(_, open)| open.late.clone());
            window_usage.late.extend(late);
        }
        let now = environment.now();
        if lease.may_act(now, self.send_budget).is_none() {
            return;
        }
        let deadline = now.plus(self.send_budget);
        self.in_flight = Some((sealed.window, deadline));
        environment.perform(
            SendUsageReport {
                window: sealed.window,
                epoch: sealed.epoch,
                usage: window_usage,
                deadline,
            }
            .into(),
        );
    }
}
