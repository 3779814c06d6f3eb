//! Coordinator of non-idempotent calls in a gateway: each call takes effect at most once, and every
//! verdict given to a caller is true.
//!
//! A call goes through the states of `charts/attempt.json`. An attempt is opened in the log and
//! dispatched only once replay has accepted it; the log therefore decides which gateway may
//! dispatch. In the `revocable` states this gateway has sent nothing that can run, or holds the
//! promise of a sidecar that it never will; only there a caller is told "not run", and only if
//! the replica was complete as of the caller's arrival, so that no attempt of another gateway can
//! be missing from it.
//!
//! The embedder performs each [`Effect`] and gives its result back as an [`Event`].

mod actions;
mod events;
mod group_commit;
mod call_machine;

use std::collections::HashMap;
use std::time::Duration;

use error_stack::Report;
use nutmegbay_chart::{Chart, ChartError};

use crate::guard::{AttemptRef, AttemptState};
use crate::ids::{CallKey, Fingerprint, Incarnation, RecordId};
use crate::mutation::Mutations;
use crate::record::Answer;
use crate::replica::Attempts;
use crate::verdict::Verdict;
use crate::environment::{Append, MonotonicTime, Environment};

use call_machine::{CallMachine, Ticket};

pub use group_commit::GroupCommit;

/// State chart of one call.
const CHART: &str = include_str!("../../charts/attempt.json");

/// Largest answer whose body goes into the log.
pub const MAX_LOGGED_ANSWER_BYTES: usize = 4 << 10;

/// Coordinator of all non-idempotent calls of one gateway.
pub struct Coordinator {
    instance: Box<str>,
    incarnation: Incarnation,
    timing: CoordinatorTiming,
    chart: Chart,
    calls: HashMap<CallKey, CallMachine>,
    tickets: HashMap<TicketId, CallKey>,
    appends: HashMap<u64, CallKey>,
    /// Attempts that this gateway has dispatched and that the log still shows as open.
    dispatched: HashMap<CallKey, u32>,
    complete_as_of: Option<MonotonicTime>,
    mutations: Mutations,
}

/// Waiting times of a [`Coordinator`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CoordinatorTiming {
    /// Time between two tries while the log, a target or a sidecar is not available.
    pub retry_delay: Duration,
    /// Time for an attempt of another gateway to reach its sidecar before it is fenced. Without it,
    /// two gateways with the same call would fence each other's attempts over and over.
    pub join_grace: Duration,
    /// Longest wait at the sidecar for the end of a running attempt, per question.
    pub join_wait: Duration,
    /// Longest time for which an answer is held until the log has it.
    pub record_wait: Duration,
}

impl Default for CoordinatorTiming {
    /// 100 ms between tries, 500 ms of grace, 2 s per question, answers held for up to 500 ms.
    fn default() -> Self {
        Self {
            retry_delay: Duration::from_millis(100),
            join_grace: Duration::from_millis(500),
            join_wait: Duration::from_secs(2),
            record_wait: Duration::from_millis(500),
        }
    }
}

/// One caller's request, as named by the embedder.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TicketId(pub u64);

/// A non-idempotent request as it arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallRequest {
    /// Name under which the embedder is told the end.
    pub ticket: TicketId,
    /// Call that it asks for.
    pub call: CallKey,
    /// Hash of method, path and body.
    pub content: Fingerprint,
    /// MonotonicTime at which the caller must have an answer.
    pub deadline: MonotonicTime,
}

/// Upstream that an attempt is bound to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Upstream.
    pub upstream: Box<str>,
    /// Life of its sidecar.
    pub sidecar: Incarnation,
}

/// What the embedder has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Append to the log; answered by [`Event::Appended`].
    Append(Append),
    /// Choose an upstream; answered by [`Event::Chosen`].
    Choose(CallKey),
    /// Send the request of `ticket` to the sidecar, exactly once; answered by
    /// [`Event::Dispatched`].
    Dispatch {
        /// Attempt.
        attempt: AttemptRef,
        /// Upstream.
        upstream: Box<str>,
        /// Request whose body is sent.
        ticket: TicketId,
    },
    /// Ask the sidecar about an attempt, with `sidecar.fence` first if `fence` is set and then, if
    /// its end is not known yet, with `sidecar.outcome`; answered by [`Event::Queried`].
    Query {
        /// Attempt.
        attempt: AttemptRef,
        /// Upstream.
        upstream: Box<str>,
        /// Whether the sidecar is to promise never to run it if it has not arrived.
        fence: bool,
        /// Longest wait for its end.
        wait: Duration,
    },
    /// Answer a caller.
    Finish {
        /// Request.
        ticket: TicketId,
        /// Its end.
        end: CallEnd,
    },
}

/// CallEnd of a caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallEnd {
    /// Answer of the upstream. Its body is missing if it was too large to keep.
    Answered(Answer),
    /// No answer.
    Failed(Verdict),
    /// The idempotency key was used before with other content; this request did not run.
    KeyReused,
}

/// Results and news for the coordinator.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// Result of [`Effect::Choose`], none if no upstream takes the call now.
    Chosen(CallKey, Option<Target>),
    /// Result of [`Effect::Append`].
    Appended(u64, AppendResult),
    /// The replica has applied a record about the call, whatever the result.
    Replayed(CallKey, RecordId),
    /// The replica's state was replaced by a snapshot or a peer's image.
    Loaded,
    /// A read that started at this moment reached the head of the log, and all of it was replayed:
    /// the replica holds everything that was accepted before.
    CompleteAsOf(MonotonicTime),
    /// Result of [`Effect::Dispatch`].
    Dispatched(AttemptRef, DispatchResult),
    /// Result of [`Effect::Query`], none if the sidecar cannot be reached.
    Queried(AttemptRef, Option<AttemptState>),
}

/// Result of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendResult {
    /// It is in the log; replay will show what it did.
    Done,
    /// It is not in the log.
    Refused,
    /// The answer was lost.
    Lost,
}

/// Result of a dispatch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DispatchResult {
    /// The upstream answered.
    Answered(Answer),
    /// The sidecar refused it and promised never to run it.
    Fenced,
    /// Another life of the sidecar received and refused it.
    OtherIncarnation,
    /// No connection came about: nothing was sent.
    NotSent,
    /// The sidecar sent it to the upstream, which did not answer.
    Unknown,
    /// The connection to the sidecar was lost.
    Lost,
}

impl Coordinator {
    /// Creates the coordinator of one gateway life.
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

    /// A coordinator with a deliberate fault, to prove that the tests find it.
    #[doc(hidden)]
    #[must_use]
    pub fn with_mutations(mut self, mutations: Mutations) -> Self {
        self.mutations = mutations;
        self
    }

    /// Takes a request. It always ends with one [`Effect::Finish`] unless [`Self::caller_left`] is called.
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
        // Without news from the log, nothing has been asked for yet.
        if is_new && self.state(req.call) == Some("choosing") {
            self.perform_state_action(req.call, attempts, environment);
        }
    }

    /// Tells that a caller has left. Its call goes on if it may already run.
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

    /// Handles a result or news.
    pub fn on_event<W>(&mut self, event: Event, attempts: &Attempts, environment: &mut W)
    where
        W: Environment,
        W::Effect: From<Effect>,
    {
        match event {
            Event::Chosen(call, target) => self.on_chosen(call, target, attempts, environment),
            Event::Appended(token, result) => self.on_appended(token, result, attempts, environment),
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
            Event::Queried(attempt, state) => self.on_queried(attempt, state, attempts, environment),
        }
    }

    /// Ends what has passed its deadline and tries again what was put off.
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

    /// Calls in an order that does not depend on the hash map, so that a failure of the fuzzing can
    /// be repeated.
    fn calls_in_order(&self) -> Vec<CallKey> {
        let mut calls: Vec<CallKey> = self.calls.keys().copied().collect();
        calls.sort_unstable();
        calls
    }

    /// MonotonicTime at which [`Self::tick`] has something to do.
    pub fn next_wake(&self) -> Option<MonotonicTime> {
        self.calls.values().filter_map(CallMachine::next_wake).min()
    }

    /// Number of calls in progress.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether no call is in progress.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// State of a call in the chart, for status and logs.
    pub fn state(&self, call: CallKey) -> Option<&str> {
        self.calls.get(&call).map(|machine| machine.chart.state())
    }
}
