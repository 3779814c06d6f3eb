//! Coordinator of non-idempotent calls in a gateway. Each call takes effect at most once, and every
//! verdict returned to a caller is true.
//!
//! Each call is a state machine of the chart `charts/attempt.json`. An attempt is opened in the log
//! and dispatched only after replay has accepted it, so the log decides which gateway may dispatch.
//! In the `revocable` states this gateway has sent nothing that can run, or a sidecar has promised
//! never to run what was sent. Only in these states a caller gets `NotRun`, and only if the replica
//! was complete as of the caller's arrival, so that it lacks no attempt of another gateway.
//!
//! The embedder performs each [`Effect`] and passes its result back as an [`Event`].

mod actions;
mod call_machine;
mod events;
mod group_commit;

use std::collections::HashMap;
use std::time::Duration;

use error_stack::Report;
use nutmegbay_chart::{Chart, ChartError};

use crate::environment::{Append, Environment, MonotonicTime};
use crate::guard::{AttemptRef, AttemptState};
use crate::ids::{CallKey, Fingerprint, Incarnation, RecordId};
use crate::mutation::Mutations;
use crate::record::Answer;
use crate::replica::Attempts;
use crate::verdict::Verdict;

use call_machine::{CallMachine, Ticket};

pub use group_commit::GroupCommit;

/// State chart of a call.
const CHART: &str = include_str!("../../charts/attempt.json");

/// Maximum size in bytes of an answer body that is written to the log.
pub const MAX_LOGGED_ANSWER_BYTES: usize = 4 << 10;

/// Coordinates all non-idempotent calls of one gateway.
pub struct Coordinator {
    instance: Box<str>,
    incarnation: Incarnation,
    timing: CoordinatorTiming,
    chart: Chart,
    calls: HashMap<CallKey, CallMachine>,
    tickets: HashMap<TicketId, CallKey>,
    appends: HashMap<u64, CallKey>,
    /// Number of the attempt that this gateway has dispatched and that is still open in the log, by
    /// call.
    dispatched: HashMap<CallKey, u32>,
    complete_as_of: Option<MonotonicTime>,
    mutations: Mutations,
}

/// Waiting times of a [`Coordinator`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CoordinatorTiming {
    /// Time between two tries while the log, a target or a sidecar is unavailable.
    pub retry_delay: Duration,
    /// Time for an attempt of another gateway to reach its sidecar before it is fenced. Without it,
    /// two gateways that handle the same call would fence each other's attempts repeatedly.
    pub join_grace: Duration,
    /// Maximum time that one query waits at the sidecar for the end of a running attempt.
    pub join_wait: Duration,
    /// Maximum time for which an answer is held back until the log contains it.
    pub record_wait: Duration,
}

impl Default for CoordinatorTiming {
    /// 100 ms between tries, 500 ms of grace, 2 s per query, answers held for up to 500 ms.
    fn default() -> Self {
        Self {
            retry_delay: Duration::from_millis(100),
            join_grace: Duration::from_millis(500),
            join_wait: Duration::from_secs(2),
            record_wait: Duration::from_millis(500),
        }
    }
}

/// Identifies the request of one caller. The embedder chooses it.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TicketId(pub u64);

/// A non-idempotent request of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallRequest {
    /// Identifies the request in [`Effect::Finish`].
    pub ticket: TicketId,
    /// Call that it belongs to. Retries of the same call have the same key.
    pub call: CallKey,
    /// Hash of method, path and body.
    pub content: Fingerprint,
    /// Time by which the caller must have an answer.
    pub deadline: MonotonicTime,
}

/// Upstream and sidecar that an attempt is bound to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Name of the upstream.
    pub upstream: Box<str>,
    /// Incarnation of its sidecar.
    pub sidecar: Incarnation,
}

/// Action that the embedder has to perform.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Append to the log. Answered by [`Event::Appended`].
    Append(Append),
    /// Choose an upstream for the call. Answered by [`Event::Chosen`].
    Choose(CallKey),
    /// Send the request of `ticket` to the sidecar, exactly once. Answered by
    /// [`Event::Dispatched`].
    Dispatch {
        /// Attempt to dispatch.
        attempt: AttemptRef,
        /// Upstream that the attempt is bound to.
        upstream: Box<str>,
        /// Request whose body is sent.
        ticket: TicketId,
    },
    /// Query the sidecar about an attempt: with `sidecar.fence` first if `fence` is set, then with
    /// `sidecar.outcome` if its end is not known yet. Answered by [`Event::Queried`].
    Query {
        /// Attempt to query.
        attempt: AttemptRef,
        /// Upstream that the attempt is bound to.
        upstream: Box<str>,
        /// Whether the sidecar has to promise never to run the attempt if it has not arrived.
        fence: bool,
        /// Maximum time to wait for its end.
        wait: Duration,
    },
    /// Answer the caller of a request.
    Finish {
        /// Request to answer.
        ticket: TicketId,
        /// How the request ended.
        end: CallEnd,
    },
}

/// How the request of a caller ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallEnd {
    /// The upstream answered. The body is missing if it was too large to be kept.
    Answered(Answer),
    /// There is no answer. The verdict says whether the call may have run.
    Failed(Verdict),
    /// The idempotency key was used before with different content. This request did not run.
    KeyReused,
}

/// Result of an effect, or a change of the replica.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// Result of [`Effect::Choose`], `None` if no upstream accepts the call now.
    Chosen(CallKey, Option<Target>),
    /// Result of [`Effect::Append`].
    Appended(u64, AppendResult),
    /// The replica has applied or rejected this record about the call.
    Replayed(CallKey, RecordId),
    /// The state of the replica was replaced by a snapshot from the log or from a peer.
    Loaded,
    /// A read that started at this time reached the head of the log, and all its records were
    /// replayed: the replica contains every record that was accepted before.
    CompleteAsOf(MonotonicTime),
    /// Result of [`Effect::Dispatch`].
    Dispatched(AttemptRef, DispatchResult),
    /// Result of [`Effect::Query`], `None` if the sidecar is unreachable.
    Queried(AttemptRef, Option<AttemptState>),
}

/// Result of an append to the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendResult {
    /// The record is in the log. Replay shows whether it was accepted.
    Done,
    /// The record is not in the log.
    Refused,
    /// The answer was lost; the record may be in the log.
    Lost,
}

/// Result of a dispatch to a sidecar.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DispatchResult {
    /// The upstream answered.
    Answered(Answer),
    /// The sidecar refused the attempt and promised never to run it.
    Fenced,
    /// Another incarnation of the sidecar received and refused the attempt.
    OtherIncarnation,
    /// No connection was established; nothing was sent.
    NotSent,
    /// The sidecar sent the attempt to the upstream, which did not answer.
    Unknown,
    /// The connection to the sidecar was lost; the attempt may have arrived.
    Lost,
}

impl Coordinator {
    /// Creates the coordinator of one gateway incarnation. Fails if the state chart is invalid.
    pub fn new(
        instance: impl Into<Box<str>>,
        incarnation: Incarnation,
        timing: CoordinatorTiming,
    ) -> Result<Self, Report<ChartError>> {
        Ok(Self {
            instance: instance.into(),
            incarnation,
            timing,
            chart: Chart::parse(CHART)?,
            calls: HashMap::new(),
            tickets: HashMap::new(),
            appends: HashMap::new(),
            dispatched: HashMap::new(),
            complete_as_of: None,
            mutations: Mutations::default(),
        })
    }

    /// Adds a deliberate fault, which the tests must detect.
    #[doc(hidden)]
    #[must_use]
    pub fn with_mutations(mut self, mutations: Mutations) -> Self {
        self.mutations = mutations;
        self
    }

    /// Accepts a request. It always ends with one [`Effect::Finish`] unless [`Self::caller_left`]
    /// is called.
    pub fn begin<W>(&mut self, req: CallRequest, attempts: &Attempts, environment: &mut W)
    where
        W: Environment,
        W::Effect: From<Effect>,
    {
        let known = attempts.get(req.call).map(|state| state.content);
        let running = self.calls.get(&req.call).map(|machine| machine.content);
        if known.or(running).is_some_and(|known| known != req.content) {
            let end = CallEnd::KeyReused;
            let ticket = req.ticket;
            environment.perform(Effect::Finish { ticket, end }.into());
            return;
        }
        let ticket = Ticket {
            id: req.ticket,
            arrived: environment.now(),
            deadline: req.deadline,
        };
        self.tickets.insert(req.ticket, req.call);
        let is_new = !self.calls.contains_key(&req.call);
        let machine = self
            .calls
            .entry(req.call)
            .or_insert_with(|| CallMachine::new(self.chart.clone(), req.content));
        machine.tickets.push(ticket);
        machine.latest_ticket = req.ticket;
        if machine.chart.state() == "recording" {
            let release_at = environment.now().plus(self.timing.record_wait);
            machine.release_at.get_or_insert(release_at);
        }
        self.apply_log_state(req.call, attempts, environment);
        // The chart starts in `choosing`, and no event from the log has caused its action yet.
        if is_new && self.state(req.call) == Some("choosing") {
            self.perform_state_action(req.call, attempts, environment);
        }
    }

    /// Handles that a caller has left. Its call continues if it may already run.
    pub fn caller_left<W>(&mut self, ticket: TicketId, attempts: &Attempts, environment: &mut W)
    where
        W: Environment,
        W::Effect: From<Effect>,
    {
        let Some(call) = self.tickets.remove(&ticket) else {
            return;
        };
        if let Some(machine) = self.calls.get_mut(&call) {
            machine.tickets.retain(|waiting| waiting.id != ticket);
        }
        self.abandon_without_callers(call, attempts, environment);
    }

    /// Handles an event.
    pub fn on_event<W>(&mut self, event: Event, attempts: &Attempts, environment: &mut W)
    where
        W: Environment,
        W::Effect: From<Effect>,
    {
        match event {
            Event::Chosen(call, target) => self.on_chosen(call, target, attempts, environment),
            Event::Appended(token, result) => {
                self.on_appended(token, result, attempts, environment);
            }
            Event::Replayed(call, record) => self.on_replayed(call, record, attempts, environment),
            Event::CompleteAsOf(time) => {
                self.complete_as_of = self.complete_as_of.max(Some(time));
                self.resolve_appends_before(time, attempts, environment);
            }
            Event::Loaded => {
                for call in self.calls_in_order() {
                    self.apply_log_state(call, attempts, environment);
                    self.abandon_without_callers(call, attempts, environment);
                }
            }
            Event::Dispatched(attempt, result) => {
                self.on_dispatched(attempt, result, attempts, environment);
            }
            Event::Queried(attempt, state) => {
                self.on_queried(attempt, state, attempts, environment);
            }
        }
    }

    /// Ends the requests whose deadline has passed and retries what is due. To be called at
    /// [`Self::next_wake`].
    pub fn tick<W>(&mut self, attempts: &Attempts, environment: &mut W)
    where
        W: Environment,
        W::Effect: From<Effect>,
    {
        let now = environment.now();
        for call in self.calls_in_order() {
            let wake = self.calls.get(&call).and_then(CallMachine::next_wake);
            if wake.is_some_and(|wake| wake <= now) {
                self.on_wake(call, now, attempts, environment);
            }
        }
    }

    /// Returns the calls in an order that does not depend on the hash map, so that a failure found
    /// by fuzzing is reproducible.
    fn calls_in_order(&self) -> Vec<CallKey> {
        let mut calls: Vec<CallKey> = self.calls.keys().copied().collect();
        calls.sort_unstable();
        calls
    }

    /// Returns the time of the next [`Self::tick`] that has something to do, if any.
    pub fn next_wake(&self) -> Option<MonotonicTime> {
        self.calls.values().filter_map(CallMachine::next_wake).min()
    }

    /// Returns the number of calls in progress.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns whether no call is in progress.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Returns the chart state of a call, for status and logs.
    pub fn state(&self, call: CallKey) -> Option<&str> {
        self.calls.get(&call).map(|machine| machine.chart.state())
    }
}
