//! In-memory tables with which a sidecar enforces its guarantees: each attempt of a non-idempotent
//! call runs at most once, fenced attempts never run, orders need a current fencing number, and a
//! suspect request runs alone on its upstream.
//!
//! All tables are in memory and bound to one incarnation of the sidecar. A restarted sidecar
//! refuses the attempts of its former incarnations, so it is safe that it starts with empty tables.
//!
//! ```
//! use nutmegbay_core::guard::{Admission, AttemptRef, AttemptState, AttemptTable, TableLimits};
//! use nutmegbay_core::ids::{CallKey, Incarnation, Offset};
//!
//! let incarnation = Incarnation(1);
//! let mut table = AttemptTable::new(incarnation, TableLimits::default());
//! let (call, opened) = (CallKey(7), Offset(3));
//! let attempt = AttemptRef { call, number: 1, opened, sidecar: incarnation };
//! assert_eq!(table.admit(attempt), Admission::Run);
//!
//! // A duplicate of the dispatch joins the run instead of starting a second one.
//! assert_eq!(table.admit(attempt), Admission::Known(AttemptState::Running));
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

/// Identifies an attempt of a non-idempotent call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AttemptRef {
    /// Call that is attempted.
    pub call: CallKey,
    /// Number of the attempt within the call, from 1.
    pub number: u32,
    /// Offset of the log record that opened the attempt.
    pub opened: Offset,
    /// Incarnation of the sidecar that the attempt is bound to.
    pub sidecar: Incarnation,
}

/// State of an attempt at a sidecar.
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
    /// It may have run: it was sent to the upstream, which did not answer, or the sidecar has
    /// evicted its state.
    Unknown,
    /// It is bound to another incarnation of the sidecar, which may have run it.
    OtherIncarnation,
}

/// Whether an attempt that arrives may run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// Run it, and report its end with [`AttemptTable::finish`].
    Run,
    /// Do not run it; its state is returned. If that is `Running`, the caller may wait for its end.
    Known(AttemptState),
}

/// Bounds on the memory of an [`AttemptTable`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TableLimits {
    /// Maximum number of attempts.
    pub attempts: usize,
    /// Maximum total size of the answers in bytes.
    pub answer_bytes: usize,
}

impl Default for TableLimits {
    /// 65,536 attempts and 64 MiB of answers: at 20 calls/s, the attempts of the last 50 minutes.
    fn default() -> Self {
        Self {
            attempts: 1 << 16,
            answer_bytes: 64 << 20,
        }
    }
}

/// Attempts that one incarnation of a sidecar has received or fenced.
#[derive(Debug)]
pub struct AttemptTable {
    incarnation: Incarnation,
    limits: TableLimits,
    attempts: HashMap<(CallKey, u32), Entry>,
    /// All attempts that are not running, in the order in which they were opened.
    evictable: BTreeSet<(Offset, CallKey, u32)>,
    /// Attempts that were opened below this offset may have been evicted.
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
    /// Creates an empty table for the sidecar incarnation `incarnation`.
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

    /// Adds a deliberate fault, which the tests must detect.
    #[doc(hidden)]
    #[must_use]
    pub fn with_mutations(mut self, mutations: Mutations) -> Self {
        self.mutations = mutations;
        self
    }

    /// Returns the sidecar incarnation that the table is bound to.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the low-water mark: attempts that were opened below this offset and are not in the
    /// table are refused.
    pub fn low_water(&self) -> Offset {
        self.low_water
    }

    /// Returns the number of attempts in the table.
    pub fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Decides whether an attempt that arrives runs.
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

    /// Returns the state of an attempt.
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

    /// Refuses an attempt that has arrived, for a reason outside of the table. If this returns
    /// `Fenced`, the attempt did not run, and a late duplicate of it will not run either.
    pub fn refuse(&mut self, attempt: AttemptRef) -> AttemptState {
        let state = self.fence(attempt);
        self.record_foreign_arrival(attempt, &state);
        state
    }

    /// Records that an attempt which is bound to another incarnation arrived here. Each attempt is
    /// sent once, so the other incarnation never received it. A gateway that lost the refusal can
    /// thus still learn that the attempt did not run.
    fn record_foreign_arrival(&mut self, attempt: AttemptRef, state: &AttemptState) {
        if *state == AttemptState::OtherIncarnation {
            self.set(attempt, AttemptState::Fenced);
        }
    }

    /// Fences an attempt that has not arrived: it will never run. Returns the resulting state.
    pub fn fence(&mut self, attempt: AttemptRef) -> AttemptState {
        let state = self.state(attempt);
        if state != AttemptState::NotSeen {
            return state;
        }
        self.set(attempt, AttemptState::Fenced);
        AttemptState::Fenced
    }

    /// Records the end of an attempt that [`Self::admit`] has admitted. `state` is `Answered`,
    /// `Unknown` or, if nothing was sent to the upstream, `Fenced`.
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

    /// Evicts the attempts that were opened first until the table is within its limits. Running
    /// attempts stay.
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
