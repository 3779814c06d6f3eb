//! Tables with which a sidecar keeps its promises: each attempt of a non-idempotent call runs at
//! most once, fenced attempts never run, orders need a current fencing number, and a suspect
//! request runs alone.
//!
//! All of it lives in memory and is bound to one life of the sidecar. A restarted sidecar refuses
//! the attempts of its former lives, which is what makes an empty table safe.
//!
//! ```
//! use nutmegbay_core::guard::{Admission, AttemptRef, AttemptState, AttemptTable, TableLimits};
//! use nutmegbay_core::ids::{CallKey, Incarnation, Offset};
//!
//! let life = Incarnation(1);
//! let mut guard = AttemptTable::new(life, TableLimits::default());
//! let attempt = AttemptRef { call: CallKey(7), number: 1, opened: Offset(3), sidecar: life };
//! assert_eq!(guard.admit(attempt), Admission::Run);
//!
//! // A duplicate of the dispatch joins the run instead of starting a second one.
//! assert_eq!(guard.admit(attempt), Admission::Known(AttemptState::Running));
//! ```

mod order_fencing;
mod run_queue;

use std::collections::{BTreeSet, HashMap};

use serde::{Deserialize, Serialize};

use crate::ids::{CallKey, Incarnation, Offset};
use crate::mutation::{Mutation, Mutations};
use crate::record::Answer;

pub use order_fencing::{OrderFencing, OrderRefused};
pub use run_queue::RunQueue;

/// Names an attempt of a non-idempotent call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AttemptRef {
    /// Call.
    pub call: CallKey,
    /// Attempt.
    pub number: u32,
    /// Offset of the record that opened the attempt.
    pub opened: Offset,
    /// Life of the sidecar that the attempt is bound to.
    pub sidecar: Incarnation,
}

/// What a sidecar knows of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptState {
    /// It has not arrived and may still run.
    NotSeen,
    /// It did not run and will never run.
    Fenced,
    /// It is running.
    Running,
    /// It ran with this answer.
    Answered(Answer),
    /// It was sent to the upstream, which did not answer, or the sidecar no longer knows: nobody
    /// can tell whether it ran.
    Unknown,
    /// The attempt is bound to another life of the sidecar, which may have run it.
    OtherIncarnation,
}

/// What to do with an attempt that arrives.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// Run it and report the end with [`AttemptTable::finish`].
    Run,
    /// Do not run it; this is what is known of it. `Running` means that its end may be waited for.
    Known(AttemptState),
}

/// Bounds on the memory of a [`AttemptTable`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TableLimits {
    /// Attempts that are remembered.
    pub attempts: usize,
    /// Bytes of answers that are remembered.
    pub answer_bytes: usize,
}

impl Default for TableLimits {
    /// 65,536 attempts and 64 MiB of answers: at 20 calls/s, attempts of the last 50 minutes.
    fn default() -> Self {
        Self {
            attempts: 1 << 16,
            answer_bytes: 64 << 20,
        }
    }
}

/// Attempts that one life of a sidecar has seen or promised never to run.
#[derive(Debug)]
pub struct AttemptTable {
    incarnation: Incarnation,
    limits: TableLimits,
    attempts: HashMap<(CallKey, u32), Entry>,
    /// All attempts but the running ones, in the order in which they were opened.
    evictable: BTreeSet<(Offset, CallKey, u32)>,
    /// Unknown attempts that were opened below this offset may have been forgotten.
    low_water: Offset,
    answer_bytes: usize,
    mutations: Mutations,
}

#[derive(Debug)]
struct Entry {
    opened: Offset,
    state: AttemptState,
}

impl AttemptTable {
    /// Empty tables for the life `incarnation`.
    pub fn new(incarnation: Incarnation, limits: TableLimits) -> Self {
        Self {
            incarnation,
            limits,
            attempts: HashMap::new(),
            evictable: BTreeSet::new(),
            low_water: Offset(0),
            answer_bytes: 0,
            mutations: Mutations::default(),
        }
    }

    /// A guard with a deliberate fault, to prove that the tests find it.
    #[doc(hidden)]
    #[must_use]
    pub fn with_mutations(mut self, mutations: Mutations) -> Self {
        self.mutations = mutations;
        self
    }

    /// Life that the tables are bound to.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Attempts opened below this offset that are not in the table are refused.
    pub fn low_water(&self) -> Offset {
        self.low_water
    }

    /// Number of attempts in the table.
    pub fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Decides about an attempt that arrives to be run.
    pub fn admit(&mut self, attempt: AttemptRef) -> Admission {
        let state = self.state(attempt);
        let runs_anyway = match state {
            AttemptState::Fenced => self.mutations.has(Mutation::RunFencedAttempt),
            AttemptState::OtherIncarnation => self.mutations.has(Mutation::RunOtherIncarnation),
            AttemptState::Answered(_) | AttemptState::Running => {
                self.mutations.has(Mutation::RunKnownAttempt)
            }
            AttemptState::NotSeen => true,
            AttemptState::Unknown => false,
        };
        if !runs_anyway {
            self.record_foreign_arrival(attempt, &state);
            return Admission::Known(state);
        }
        self.set(attempt, AttemptState::Running);
        Admission::Run
    }

    /// What is known of an attempt.
    pub fn state(&self, attempt: AttemptRef) -> AttemptState {
        if attempt.sidecar != self.incarnation {
            let is_refused = self.attempts.contains_key(&(attempt.call, attempt.number));
            return if is_refused {
                AttemptState::Fenced
            } else {
                AttemptState::OtherIncarnation
            };
        }
        match self.attempts.get(&(attempt.call, attempt.number)) {
            Some(entry) => entry.state.clone(),
            None if attempt.opened < self.low_water
                && !self.mutations.has(Mutation::NoLowWater) =>
            {
                AttemptState::Unknown
            }
            None => AttemptState::NotSeen,
        }
    }

    /// Refuses an attempt that has arrived, for another reason than the tables give. If this returns
    /// `Fenced`, it did not run and a late duplicate will not run either.
    pub fn refuse(&mut self, attempt: AttemptRef) -> AttemptState {
        let state = self.fence(attempt);
        self.record_foreign_arrival(attempt, &state);
        state
    }

    /// Remembers that an attempt bound to another life arrived here. Each attempt is sent once, so
    /// the other life never had it: a gateway that lost the refusal can still learn that it did not
    /// run.
    fn record_foreign_arrival(&mut self, attempt: AttemptRef, state: &AttemptState) {
        if *state == AttemptState::OtherIncarnation {
            self.set(attempt, AttemptState::Fenced);
        }
    }

    /// Promises never to run an attempt that has not arrived; otherwise tells what is known of it.
    pub fn fence(&mut self, attempt: AttemptRef) -> AttemptState {
        let state = self.state(attempt);
        if state != AttemptState::NotSeen {
            return state;
        }
        self.set(attempt, AttemptState::Fenced);
        AttemptState::Fenced
    }

    /// Records the end of an attempt that [`Self::admit`] let run. `state` is `Answered`, `Unknown`
    /// or, if nothing was sent to the upstream, `Fenced`.
    pub fn finish(&mut self, attempt: AttemptRef, state: AttemptState) {
        if self.state(attempt) == AttemptState::Running {
            self.set(attempt, state);
        }
    }

    fn set(&mut self, attempt: AttemptRef, state: AttemptState) {
        let key = (attempt.call, attempt.number);
        if state != AttemptState::Running {
            self.evictable.insert((attempt.opened, key.0, key.1));
        }
        self.answer_bytes += answer_size(&state);
        let entry = Entry {
            opened: attempt.opened,
            state,
        };
        if let Some(old) = self.attempts.insert(key, entry) {
            self.answer_bytes -= answer_size(&old.state);
        }
        self.evict();
    }

    /// Forgets the attempts that were opened first. Running ones stay.
    fn evict(&mut self) {
        while self.attempts.len() > self.limits.attempts
            || self.answer_bytes > self.limits.answer_bytes
        {
            let Some((opened, call, number)) = self.evictable.pop_first() else {
                return;
            };
            if let Some(entry) = self.attempts.remove(&(call, number)) {
                debug_assert_eq!(entry.opened, opened);
                self.answer_bytes -= answer_size(&entry.state);
            }
            self.low_water = self.low_water.max(opened.next());
        }
    }
}

fn answer_size(state: &AttemptState) -> usize {
    match state {
        AttemptState::Answered(answer) => answer.size(),
        _ => 0,
    }
}
