use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::Reason;
use crate::ids::{CallKey, Fingerprint, Incarnation, Offset};
use crate::record::{Answer, AttemptFence, AttemptOpen, AttemptOutcome};

/// Calls that are kept after their last change. At 20 non-idempotent calls/s this covers 3.6 hours;
/// an idempotency key that is reused after that counts as a new call.
const CALLS_KEPT: usize = 1 << 18;

/// Bytes of answers that are kept. Beyond that, the oldest answers lose their bodies, but their
/// calls stay known as answered.
const ANSWER_BYTES_KEPT: usize = 32 << 20;

/// Non-idempotent calls by key, as decided by the order of the log.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Attempts {
    calls: BTreeMap<CallKey, CallState>,
    ended: VecDeque<CallKey>,
    bodies: VecDeque<CallKey>,
    body_bytes: usize,
}

/// State of one call: its latest attempt and how that ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallState {
    /// Number of the latest attempt.
    pub number: u32,
    /// Hash of method, path and body.
    pub content: Fingerprint,
    /// Record that opened the latest attempt.
    pub opened: Offset,
    /// Upstream that the latest attempt is bound to.
    pub upstream: Box<str>,
    /// Life of the sidecar that the latest attempt is bound to.
    pub sidecar: Incarnation,
    /// Life of the gateway that alone may dispatch the latest attempt.
    pub gateway: Incarnation,
    /// Phase of the latest attempt.
    pub phase: Phase,
}

/// Phase of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// It may be dispatched, be running or have run.
    Open,
    /// It never runs; the record named here closed it, and the next attempt may be opened.
    Fenced(Offset),
    /// It ran, with the answer as far as it was kept.
    Answered(Answer),
    /// It was sent to the upstream, which did not answer: it may have run.
    Unknown,
}

impl Attempts {
    /// State of a call, none if it was never opened.
    pub fn get(&self, call: CallKey) -> Option<&CallState> {
        self.calls.get(&call)
    }

    /// Number of calls that are known.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether no call is known.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Accepts an attempt only behind the record that closed the previous one, so that at most one
    /// attempt of a call is open at any place in the log.
    pub(super) fn open(
        &mut self,
        offset: Offset,
        open: &AttemptOpen,
        any_prev: bool,
    ) -> Result<(), Reason> {
        let (number, prev) = match self.calls.get(&open.call) {
            None => (1, None),
            Some(state) if state.content != open.content => return Err(Reason::OtherContent),
            Some(state) => match state.phase {
                Phase::Fenced(fence) => (state.number + 1, Some(fence)),
                Phase::Open if any_prev => (open.number, open.prev),
                Phase::Open | Phase::Answered(_) | Phase::Unknown => {
                    return Err(Reason::Overtaken);
                }
            },
        };
        if (open.number, open.prev) != (number, prev) {
            return Err(Reason::Overtaken);
        }
        let state = CallState {
            number,
            content: open.content,
            opened: offset,
            upstream: open.upstream.clone(),
            sidecar: open.sidecar,
            gateway: open.gateway_incarnation,
            phase: Phase::Open,
        };
        self.calls.insert(open.call, state);
        Ok(())
    }

    /// Accepts a fence by the sidecar that the attempt is bound to or by the gateway that alone may
    /// dispatch it: nobody else can promise that it never runs.
    pub(super) fn fence(&mut self, offset: Offset, fence: &AttemptFence) -> Result<(), Reason> {
        let state = latest(&mut self.calls, fence.call, fence.number)?;
        if fence.by != state.sidecar && fence.by != state.gateway {
            return Err(Reason::NotHolder);
        }
        if state.phase != Phase::Open {
            return Err(Reason::Overtaken);
        }
        state.phase = Phase::Fenced(offset);
        Ok(())
    }

    /// Accepts the first answer of an attempt. An answer also replaces an unknown outcome, since it
    /// proves more.
    pub(super) fn outcome(&mut self, outcome: &AttemptOutcome) -> Result<(), Reason> {
        let state = latest(&mut self.calls, outcome.call, outcome.number)?;
        let is_first = state.phase == Phase::Open;
        match (&state.phase, &outcome.answer) {
            (Phase::Open, None) => state.phase = Phase::Unknown,
            (Phase::Open | Phase::Unknown, Some(answer)) => {
                state.phase = Phase::Answered(answer.clone());
                self.bodies.push_back(outcome.call);
                self.body_bytes += answer.size();
            }
            _ => return Err(Reason::Overtaken),
        }
        if is_first {
            self.ended.push_back(outcome.call);
        }
        self.limit_bodies(ANSWER_BYTES_KEPT);
        self.limit_calls(CALLS_KEPT);
        Ok(())
    }

    fn limit_bodies(&mut self, bytes: usize) {
        while self.body_bytes > bytes {
            let Some(call) = self.bodies.pop_front() else {
                return;
            };
            if let Some(answer) = self.calls.get_mut(&call).and_then(CallState::answer_mut) {
                self.body_bytes -= answer.size();
                answer.body = None;
            }
        }
    }

    /// Forgets the calls that ended first. A call with an open or fenced attempt is never forgotten.
    fn limit_calls(&mut self, calls: usize) {
        while self.ended.len() > calls {
            let Some(call) = self.ended.pop_front() else {
                return;
            };
            let answer = self.calls.remove(&call).and_then(|mut state| {
                let answer = state.answer_mut()?;
                Some(answer.size())
            });
            if let (Some(size), Some(place)) =
                (answer, self.bodies.iter().position(|known| *known == call))
            {
                self.bodies.remove(place);
                self.body_bytes -= size;
            }
        }
    }
}

impl CallState {
    fn answer_mut(&mut self) -> Option<&mut Answer> {
        match &mut self.phase {
            Phase::Answered(answer) => Some(answer),
            _ => None,
        }
    }
}

/// State of a call if `number` is its latest attempt.
fn latest(
    calls: &mut BTreeMap<CallKey, CallState>,
    call: CallKey,
    number: u32,
) -> Result<&mut CallState, Reason> {
    match calls.get_mut(&call) {
        Some(state) if state.number == number => Ok(state),
        Some(state) if state.number > number => Err(Reason::Overtaken),
        _ => Err(Reason::Unknown),
    }
}
