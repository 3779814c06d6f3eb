use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::RejectReason;
use crate::ids::{CallKey, Fingerprint, Incarnation, Offset};
use crate::record::{Answer, AttemptFence, AttemptOpen, AttemptOutcome};

/// Maximum number of ended calls that are kept. At 20 non-idempotent calls/s they cover 3.6 hours;
/// an idempotency key that is reused after that counts as a new call.
const MAX_ENDED_CALLS: usize = 1 << 18;

/// Maximum total size of the stored answer bodies in bytes. Beyond it the oldest answers lose their
/// bodies, but their calls are still known as answered.
const MAX_BODY_BYTES: usize = 32 << 20;

/// Non-idempotent calls by key, each with its latest attempt.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Attempts {
    calls: BTreeMap<CallKey, CallState>,
    /// Calls with an outcome, oldest first.
    ended: VecDeque<CallKey>,
    /// Calls with a stored answer body, oldest first.
    bodies: VecDeque<CallKey>,
    body_bytes: usize,
}

/// State of one call: its latest attempt and the phase of that.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallState {
    /// Number of the latest attempt.
    pub number: u32,
    /// Hash of method, path and body.
    pub content: Fingerprint,
    /// Offset of the record that opened the latest attempt.
    pub opened: Offset,
    /// Upstream that the latest attempt is bound to.
    pub upstream: Box<str>,
    /// Incarnation of the sidecar that the latest attempt is bound to.
    pub sidecar: Incarnation,
    /// Incarnation of the only gateway that may dispatch the latest attempt.
    pub gateway: Incarnation,
    /// Phase of the latest attempt.
    pub phase: AttemptPhase,
}

/// Phase of one attempt of a non-idempotent call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptPhase {
    /// It may be waiting for its dispatch, be running or have run.
    Open,
    /// It never runs. The record at this offset closed it, and the next attempt may be opened.
    Fenced(Offset),
    /// It ran and was answered. The body of the answer may have been evicted.
    Answered(Answer),
    /// It was sent to the upstream, which did not answer: it may have run.
    Unknown,
}

impl Attempts {
    /// State of a call, `None` if it was never opened or was evicted.
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

    /// Opens an attempt if it follows the record that closed the previous one, so that at most one
    /// attempt of a call is open at any place in the log.
    pub(super) fn open(
        &mut self,
        offset: Offset,
        open: &AttemptOpen,
        ignore_prev: bool,
    ) -> Result<(), RejectReason> {
        let (number, prev) = match self.calls.get(&open.call) {
            None => (1, None),
            Some(state) if state.content != open.content => return Err(RejectReason::OtherContent),
            Some(state) => match state.phase {
                AttemptPhase::Fenced(fence) => (state.number + 1, Some(fence)),
                AttemptPhase::Open if ignore_prev => (open.number, open.prev),
                AttemptPhase::Open | AttemptPhase::Answered(_) | AttemptPhase::Unknown => {
                    return Err(RejectReason::Overtaken);
                }
            },
        };
        if (open.number, open.prev) != (number, prev) {
            return Err(RejectReason::Overtaken);
        }
        let state = CallState {
            number,
            content: open.content,
            opened: offset,
            upstream: open.upstream.clone(),
            sidecar: open.sidecar,
            gateway: open.gateway_incarnation,
            phase: AttemptPhase::Open,
        };
        self.calls.insert(open.call, state);
        Ok(())
    }

    /// Closes an open attempt that never runs. Only the sidecar that the attempt is bound to and
    /// the gateway that may dispatch it can guarantee that.
    pub(super) fn fence(
        &mut self,
        offset: Offset,
        fence: &AttemptFence,
    ) -> Result<(), RejectReason> {
        let state = latest_attempt(&mut self.calls, fence.call, fence.number)?;
        if fence.by != state.sidecar && fence.by != state.gateway {
            return Err(RejectReason::NotHolder);
        }
        if state.phase != AttemptPhase::Open {
            return Err(RejectReason::Overtaken);
        }
        state.phase = AttemptPhase::Fenced(offset);
        Ok(())
    }

    /// Records the first outcome of an attempt. An answer also replaces an unknown outcome, since
    /// it proves that the attempt ran.
    pub(super) fn add_outcome(&mut self, outcome: &AttemptOutcome) -> Result<(), RejectReason> {
        let state = latest_attempt(&mut self.calls, outcome.call, outcome.number)?;
        let is_first = state.phase == AttemptPhase::Open;
        match (&state.phase, &outcome.answer) {
            (AttemptPhase::Open, None) => state.phase = AttemptPhase::Unknown,
            (AttemptPhase::Open | AttemptPhase::Unknown, Some(answer)) => {
                state.phase = AttemptPhase::Answered(answer.clone());
                self.bodies.push_back(outcome.call);
                self.body_bytes += answer.size();
            }
            _ => return Err(RejectReason::Overtaken),
        }
        if is_first {
            self.ended.push_back(outcome.call);
        }
        self.evict_bodies(MAX_BODY_BYTES);
        self.evict_calls(MAX_ENDED_CALLS);
        Ok(())
    }

    fn evict_bodies(&mut self, max_bytes: usize) {
        while self.body_bytes > max_bytes {
            let Some(call) = self.bodies.pop_front() else {
                return;
            };
            if let Some(answer) = self.calls.get_mut(&call).and_then(CallState::answer_mut) {
                self.body_bytes -= answer.size();
                answer.body = None;
            }
        }
    }

    /// Drops the calls that ended first. A call whose attempt is open or fenced is never dropped.
    fn evict_calls(&mut self, max_calls: usize) {
        while self.ended.len() > max_calls {
            let Some(call) = self.ended.pop_front() else {
                return;
            };
            let size = self.calls.remove(&call).and_then(|mut state| {
                let answer = state.answer_mut()?;
                Some(answer.size())
            });
            if let (Some(size), Some(index)) =
                (size, self.bodies.iter().position(|known| *known == call))
            {
                self.bodies.remove(index);
                self.body_bytes -= size;
            }
        }
    }
}

impl CallState {
    fn answer_mut(&mut self) -> Option<&mut Answer> {
        match &mut self.phase {
            AttemptPhase::Answered(answer) => Some(answer),
            _ => None,
        }
    }
}

/// State of a call, if `number` is its latest attempt.
fn latest_attempt(
    calls: &mut BTreeMap<CallKey, CallState>,
    call: CallKey,
    number: u32,
) -> Result<&mut CallState, RejectReason> {
    match calls.get_mut(&call) {
        Some(state) if state.number == number => Ok(state),
        Some(state) if state.number > number => Err(RejectReason::Overtaken),
        _ => Err(RejectReason::Unknown),
    }
}
