//! Deliberate faults that prove that the fuzzing finds them.
//!
//! Without the feature `mutation`, which only the tests of this crate enable, [`Mutations::has`] is
//! constantly false.

/// One deliberate fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// Replay accepts a lease claim that does not follow the last lease record.
    ClaimWithoutPrev,
    /// Replay accepts a publish that does not follow the last one.
    PublishWithoutPrev,
    /// Replay accepts records under any fencing number.
    AnyEpoch,
    /// Replay accepts an intent for an engine that has one outstanding.
    IntentWithoutCheck,
    /// Replay adds cumulative counts again on every flush.
    RecountOnRepeat,
    /// The report of a window contains counts that came after its seal.
    ReportAfterSeal,
    /// The holder does not check its lease before an effect.
    NoLeaseCheck,
    /// The holder counts its lease from the answer instead of from the send.
    LeaseFromAnswer,
    /// A candidate claims without waiting.
    NoCandidateWait,
    /// A started process does not wait before its first claim.
    NoStartWait,
    /// Keyed requests are served in every state of the freshness chart.
    ServeWhenIsolated,
    /// A withdrawn key is still taken.
    NoKeyCheck,
    /// Streams go on after their key was withdrawn.
    KeepStreams,
    /// A flush drops the counts of an append that failed.
    DropFailedCounts,
    /// Replay accepts an attempt while another one of the same call is open.
    OpenWithoutPrev,
    /// A sidecar runs an attempt again that it has seen.
    RunKnownAttempt,
    /// A sidecar runs an attempt that it has promised never to run.
    RunFencedAttempt,
    /// A sidecar runs attempts that are bound to another life of it.
    RunOtherIncarnation,
    /// A sidecar answers "never seen" for attempts whose record it has dropped.
    NoLowWater,
    /// A gateway says "not run" although its replica may lack an attempt.
    StaleNotRun,
    /// A gateway dispatches an attempt after it has given up the right to.
    DispatchRevoked,
    /// A gateway gives each caller the answer of a fresh look-up instead of the logged one.
    ForgetAnswer,
    /// A gateway treats a failed dispatch as ended and never asks the sidecar.
    AbandonLostDispatch,
    /// A gateway ignores crash reports when it decides how a request runs.
    IgnoreCrashes,
    /// A gateway keeps a suspect request suspect after it ran alone without a crash.
    NeverClear,
    /// Replay lets a gateway take the lock for exclusive runs whoever holds it.
    LockWithoutPrev,
}

/// The fault of a component, if any.
#[derive(Debug, Default, Clone, Copy)]
pub struct Mutations(Option<Mutation>);

impl PartialEq for Mutations {
    /// Components are compared by their state, not by their faults.
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl Mutations {
    /// Component with one fault.
    pub fn only(mutation: Mutation) -> Self {
        Self(Some(mutation))
    }

    /// Whether the component has this fault.
    pub fn has(self, mutation: Mutation) -> bool {
        cfg!(feature = "mutation") && self.0 == Some(mutation)
    }
}
