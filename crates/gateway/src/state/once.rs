//! Non-idempotent calls: connects the [`Coordinator`] to callers, sidecars and the log.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::request::Parts as RequestParts;
use nutmegbay_core::attempt::{
    AppendResult, CallEnd, CallRequest, Coordinator, CoordinatorTiming, DispatchResult, Effect,
    Event, Target, TicketId,
};
use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_core::guard::{AttemptRef, AttemptState};
use nutmegbay_core::ids::{CallKey, Fingerprint, Incarnation, RecordId, RequestId};
use nutmegbay_core::replica::Attempts;
use nutmegbay_core::verdict::Verdict;
use tokio::sync::oneshot;

use super::environment::{Clock, EffectCollector};

/// A non-idempotent call of one caller.
#[derive(Debug)]
pub struct AtMostOnceCall {
    /// Id of the request.
    pub id: RequestId,
    /// Client account.
    pub account: Box<str>,
    /// Service that runs it.
    pub service: Box<str>,
    /// Identifies the call across retries and gateways.
    pub call: CallKey,
    /// Hash of method, path and body.
    pub content: Fingerprint,
    /// Method, URI and headers of the request.
    pub parts: RequestParts,
    /// Body of the request.
    pub body: Bytes,
    /// Time until which the caller is answered.
    pub deadline: MonotonicTime,
}

/// Result of a call for one caller.
#[derive(Debug)]
pub struct AtMostOnceResult {
    /// How the call ended, as decided by the coordinator.
    pub end: CallEnd,
    /// Answer as received from the sidecar, if this gateway received it.
    pub raw: Option<RawAnswer>,
}

/// Answer as received from the sidecar.
#[derive(Debug, Clone)]
pub struct RawAnswer {
    /// Response headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// All non-idempotent calls in progress at this gateway.
pub struct AtMostOnceCalls {
    coordinator: Coordinator,
    environment: EffectCollector<Effect>,
    waiting: HashMap<TicketId, WaitingCaller>,
    raw_answers: HashMap<CallKey, RawAnswer>,
}

struct WaitingCaller {
    call: Arc<AtMostOnceCall>,
    reply: oneshot::Sender<AtMostOnceResult>,
}

/// Action that needs I/O.
#[derive(Debug)]
pub enum Action {
    /// Append records to the log.
    Append(nutmegbay_core::environment::Append),
    /// Choose an upstream of this service for a call.
    Choose(CallKey, Box<str>),
    /// Send the call to the sidecar, exactly once.
    Dispatch {
        /// Attempt to dispatch.
        attempt: AttemptRef,
        /// Upstream that the attempt is bound to.
        upstream: Box<str>,
        /// Call with the request to send.
        call: Arc<AtMostOnceCall>,
    },
    /// Query the sidecar about an attempt.
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
}

impl AtMostOnceCalls {
    /// Creates the state without calls; `None` if the embedded state chart is invalid.
    pub fn new(instance: &str, incarnation: Incarnation, clock: Clock) -> Option<Self> {
        Some(Self {
            coordinator: Coordinator::new(instance, incarnation, CoordinatorTiming::default())
                .ok()?,
            environment: EffectCollector::new(clock),
            waiting: HashMap::new(),
            raw_answers: HashMap::new(),
        })
    }

    /// Whether no call is in progress.
    pub fn is_empty(&self) -> bool {
        self.coordinator.is_empty()
    }

    /// Begins a call. `reply` receives its result unless [`Self::caller_left`] is called.
    pub fn begin(
        &mut self,
        ticket: TicketId,
        call: AtMostOnceCall,
        reply: oneshot::Sender<AtMostOnceResult>,
        attempts: &Attempts,
    ) {
        let req = CallRequest {
            ticket,
            call: call.call,
            content: call.content,
            deadline: call.deadline,
        };
        let call = Arc::new(call);
        self.waiting.insert(ticket, WaitingCaller { call, reply });
        self.coordinator.begin(req, attempts, &mut self.environment);
    }

    /// Handles that a caller has disconnected.
    pub fn caller_left(&mut self, ticket: TicketId, attempts: &Attempts) {
        self.coordinator
            .caller_left(ticket, attempts, &mut self.environment);
        self.waiting.remove(&ticket);
    }

    /// Handles the result of an append.
    pub fn on_appended(&mut self, token: u64, verdict: Verdict, attempts: &Attempts) {
        let result = match verdict {
            Verdict::Ran => AppendResult::Done,
            Verdict::NotRun => AppendResult::Refused,
            Verdict::MayHaveRun => AppendResult::Lost,
        };
        self.on_event(Event::Appended(token, result), attempts);
    }

    /// Handles that the replica is complete as of `started`: a read that began then reached the
    /// head of the log, or in an outage all peers have shown since then that they have no further
    /// record.
    pub fn on_complete_as_of(&mut self, started: MonotonicTime, attempts: &Attempts) {
        self.on_event(Event::CompleteAsOf(started), attempts);
    }

    /// Handles that the replica was replaced by a snapshot.
    pub fn on_replica_replaced(&mut self, attempts: &Attempts) {
        self.on_event(Event::Loaded, attempts);
    }

    /// Handles that replay has accepted or rejected a record about a call.
    pub fn on_replayed(&mut self, call: CallKey, record: RecordId, attempts: &Attempts) {
        self.on_event(Event::Replayed(call, record), attempts);
    }

    /// Handles the choice of an upstream; `None` if no upstream accepts the call now.
    pub fn on_chosen(&mut self, call: CallKey, target: Option<Target>, attempts: &Attempts) {
        self.on_event(Event::Chosen(call, target), attempts);
    }

    /// Handles the result of a dispatch and keeps the raw answer for the callers that wait.
    pub fn on_dispatched(
        &mut self,
        attempt: AttemptRef,
        result: DispatchResult,
        raw: Option<RawAnswer>,
        attempts: &Attempts,
    ) {
        if let Some(raw) = raw {
            self.raw_answers.insert(attempt.call, raw);
        }
        self.on_event(Event::Dispatched(attempt, result), attempts);
    }

    /// Handles the result of a query; `None` if the sidecar did not answer.
    pub fn on_queried(
        &mut self,
        attempt: AttemptRef,
        state: Option<AttemptState>,
        attempts: &Attempts,
    ) {
        self.on_event(Event::Queried(attempt, state), attempts);
    }

    /// Handles timeouts and drops the raw answers of calls that have ended.
    pub fn tick(&mut self, attempts: &Attempts) {
        self.coordinator.tick(attempts, &mut self.environment);
        let coordinator = &self.coordinator;
        self.raw_answers
            .retain(|call, _| coordinator.state(*call).is_some());
    }

    fn on_event(&mut self, event: Event, attempts: &Attempts) {
        self.coordinator
            .on_event(event, attempts, &mut self.environment);
    }

    /// Answers callers whose calls have ended and returns the actions that need I/O.
    pub fn take_actions(&mut self) -> Vec<Action> {
        let effects = self.environment.take_effects();
        effects
            .into_iter()
            .filter_map(|e| self.perform(e))
            .collect()
    }

    fn perform(&mut self, effect: Effect) -> Option<Action> {
        match effect {
            Effect::Append(append) => Some(Action::Append(append)),
            Effect::Choose(call) => {
                let waiting = self.waiting.values().find(|w| w.call.call == call)?;
                Some(Action::Choose(call, waiting.call.service.clone()))
            }
            Effect::Dispatch {
                attempt,
                upstream,
                ticket,
            } => {
                let waiting = self.waiting.get(&ticket);
                // The caller whose request was to be sent may have disconnected; another caller of
                // the same call may still wait.
                let waiting =
                    waiting.or_else(|| self.waiting.values().find(|w| w.call.call == attempt.call));
                Some(match waiting {
                    Some(waiting) => Action::Dispatch {
                        attempt,
                        upstream,
                        call: Arc::clone(&waiting.call),
                    },
                    None => Action::Query {
                        attempt,
                        upstream,
                        fence: true,
                        wait: Duration::ZERO,
                    },
                })
            }
            Effect::Query {
                attempt,
                upstream,
                fence,
                wait,
            } => Some(Action::Query {
                attempt,
                upstream,
                fence,
                wait,
            }),
            Effect::Finish { ticket, end } => {
                let waiting = self.waiting.remove(&ticket)?;
                let raw = self.raw_answers.get(&waiting.call.call).cloned();
                // The caller may have disconnected.
                let _ = waiting.reply.send(AtMostOnceResult { end, raw });
                None
            }
        }
    }
}
