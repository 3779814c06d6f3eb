//! Non-idempotent calls: connects the coordinator of core to callers, sidecars and the log.

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

use super::world::{Clock, Outside};

/// A non-idempotent call of one caller.
#[derive(Debug)]
pub struct OnceCall {
    /// Request.
    pub id: RequestId,
    /// Client account.
    pub account: Box<str>,
    /// Service that is to run it.
    pub service: Box<str>,
    /// Identity of the call.
    pub call: CallKey,
    /// Hash of method, path and body.
    pub content: Fingerprint,
    /// Head of the request.
    pub parts: RequestParts,
    /// Body of the request.
    pub body: Bytes,
    /// Time at which the caller must have an answer.
    pub deadline: MonotonicTime,
}

/// How a call ended for one caller.
#[derive(Debug)]
pub struct OnceEnd {
    /// End as the coordinator tells it.
    pub end: CallEnd,
    /// Answer as it came from the sidecar, if this gateway has it.
    pub raw: Option<Raw>,
}

/// Answer as it came from the sidecar.
#[derive(Debug, Clone)]
pub struct Raw {
    /// Headers.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

/// All non-idempotent calls of this gateway.
pub struct OnceCalls {
    coordinator: Coordinator,
    world: Outside<Effect>,
    waiting: HashMap<TicketId, Waiting>,
    raw: HashMap<CallKey, Raw>,
}

struct Waiting {
    call: Arc<OnceCall>,
    reply: oneshot::Sender<OnceEnd>,
}

/// What is left to be done outside.
#[derive(Debug)]
pub enum Todo {
    /// Append to the log.
    Append(nutmegbay_core::environment::Append),
    /// Choose an upstream for a call of the service.
    Choose(CallKey, Box<str>),
    /// Send the call to the sidecar, exactly once.
    Dispatch {
        /// Attempt.
        attempt: AttemptRef,
        /// Upstream.
        upstream: Box<str>,
        /// Call.
        call: Arc<OnceCall>,
    },
    /// Ask the sidecar about an attempt.
    Query {
        /// Attempt.
        attempt: AttemptRef,
        /// Upstream.
        upstream: Box<str>,
        /// Whether it is to promise never to run the attempt if it has not arrived.
        fence: bool,
        /// Longest wait for its end.
        wait: Duration,
    },
}

impl OnceCalls {
    /// State without calls; none if the chart of the build does not parse.
    pub fn new(instance: &str, incarnation: Incarnation, clock: Clock) -> Option<Self> {
        Some(Self {
            coordinator: Coordinator::new(instance, incarnation, CoordinatorTiming::default())
                .ok()?,
            world: Outside::new(clock),
            waiting: HashMap::new(),
            raw: HashMap::new(),
        })
    }

    /// Whether no call is in progress.
    pub fn is_empty(&self) -> bool {
        self.coordinator.is_empty()
    }

    /// Takes a call.
    pub fn begin(
        &mut self,
        ticket: TicketId,
        call: OnceCall,
        reply: oneshot::Sender<OnceEnd>,
        attempts: &Attempts,
    ) {
        let req = CallRequest {
            ticket,
            call: call.call,
            content: call.content,
            deadline: call.deadline,
        };
        let call = Arc::new(call);
        self.waiting.insert(ticket, Waiting { call, reply });
        self.coordinator.begin(req, attempts, &mut self.world);
    }

    /// Tells that a caller has left.
    pub fn gone(&mut self, ticket: TicketId, attempts: &Attempts) {
        self.coordinator
            .caller_left(ticket, attempts, &mut self.world);
        self.waiting.remove(&ticket);
    }

    /// An append has ended.
    pub fn appended(&mut self, token: u64, verdict: Verdict, attempts: &Attempts) {
        let result = match verdict {
            Verdict::Ran => AppendResult::Done,
            Verdict::NotRun => AppendResult::Refused,
            Verdict::MayHaveRun => AppendResult::Lost,
        };
        self.on(Event::Appended(token, result), attempts);
    }

    /// A read that began then has reached the head of the log, and its records were applied.
    pub fn complete_as_of(&mut self, started: MonotonicTime, attempts: &Attempts) {
        self.on(Event::CompleteAsOf(started), attempts);
    }

    /// The replica was replaced as a whole.
    pub fn loaded(&mut self, attempts: &Attempts) {
        self.on(Event::Loaded, attempts);
    }

    /// Replay has decided on a record about a call.
    pub fn replayed(&mut self, call: CallKey, record: RecordId, attempts: &Attempts) {
        self.on(Event::Replayed(call, record), attempts);
    }

    /// An upstream was chosen, or none takes the call.
    pub fn chosen(&mut self, call: CallKey, target: Option<Target>, attempts: &Attempts) {
        self.on(Event::Chosen(call, target), attempts);
    }

    /// A dispatch has ended.
    pub fn dispatched(
        &mut self,
        attempt: AttemptRef,
        result: DispatchResult,
        raw: Option<Raw>,
        attempts: &Attempts,
    ) {
        if let Some(raw) = raw {
            self.raw.insert(attempt.call, raw);
        }
        self.on(Event::Dispatched(attempt, result), attempts);
    }

    /// A sidecar has answered a question, or not.
    pub fn queried(
        &mut self,
        attempt: AttemptRef,
        state: Option<AttemptState>,
        attempts: &Attempts,
    ) {
        self.on(Event::Queried(attempt, state), attempts);
    }

    /// Time has passed.
    pub fn tick(&mut self, attempts: &Attempts) {
        self.coordinator.tick(attempts, &mut self.world);
        let coordinator = &self.coordinator;
        self.raw
            .retain(|call, _| coordinator.state(*call).is_some());
    }

    fn on(&mut self, event: Event, attempts: &Attempts) {
        self.coordinator.on_event(event, attempts, &mut self.world);
    }

    /// Answers callers and returns what is left to be done outside.
    pub fn take(&mut self) -> Vec<Todo> {
        let effects = self.world.take();
        effects
            .into_iter()
            .filter_map(|e| self.perform(e))
            .collect()
    }

    fn perform(&mut self, effect: Effect) -> Option<Todo> {
        match effect {
            Effect::Append(append) => Some(Todo::Append(append)),
            Effect::Choose(call) => {
                let waiting = self.waiting.values().find(|w| w.call.call == call)?;
                Some(Todo::Choose(call, waiting.call.service.clone()))
            }
            Effect::Dispatch {
                attempt,
                upstream,
                ticket,
            } => {
                let waiting = self.waiting.get(&ticket);
                // The caller whose body was to be sent may just have left; another one may wait.
                let waiting =
                    waiting.or_else(|| self.waiting.values().find(|w| w.call.call == attempt.call));
                Some(match waiting {
                    Some(waiting) => Todo::Dispatch {
                        attempt,
                        upstream,
                        call: Arc::clone(&waiting.call),
                    },
                    None => Todo::Query {
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
            } => Some(Todo::Query {
                attempt,
                upstream,
                fence,
                wait,
            }),
            Effect::Finish { ticket, end } => {
                let waiting = self.waiting.remove(&ticket)?;
                let raw = self.raw.get(&waiting.call.call).cloned();
                // The caller may have left.
                let _ = waiting.reply.send(OnceEnd { end, raw });
                None
            }
        }
    }
}
