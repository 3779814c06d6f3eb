//! Deliberate faults, with which the tests prove that the fuzzing detects such a fault.
//!
//! Without the feature `mutation`, which only the tests of this crate enable, [`Mutations::has`]
//! always returns false.

/// One deliberate fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// Replay accepts a lease claim that does not follow the last lease record.
    ClaimWithoutPrev,
    /// Replay accepts a publish that does not follow the last one.
    PublishWithoutPrev,
    /// Replay accepts records under any fencing number.
    AnyEpoch,
    /// Replay accepts an order intent for an engine that has an outstanding order.
    IntentWithoutCheck,
    /// Replay adds cumulative usage counts again on every flush.
    RecountOnRepeat,
    /// A usage report contains counts that arrived after its window was sealed.
    ReportAfterSeal,
    /// The lease holder does not check its lease before an effect.
    NoLeaseCheck,
    /// The holder counts its lease from the answer to its append, not from the send.
    LeaseFromAnswer,
    /// A candidate claims the lease without waiting for it to expire.
    NoCandidateWait,
    /// A process does not wait after its start before its first claim.
    NoStartWait,
    /// Keyed requests are answered in every state of the freshness chart.
    ServeWhenIsolated,
    /// A withdrawn key is still accepted.
    NoKeyCheck,
    /// Streams continue after their key was withdrawn.
    KeepStreams,
    /// A usage flush drops the counts of an append that failed.
    DropFailedCounts,
    /// Replay accepts an attempt while another attempt of the same call is open.
    OpenWithoutPrev,
    /// A sidecar runs an attempt that it has already received.
    RunKnownAttempt,
    /// A sidecar runs a fenced attempt.
    RunFencedAttempt,
    /// A sidecar runs attempts that are bound to another incarnation of it.
    RunOtherIncarnation,
    /// A sidecar answers `NotSeen` for attempts that it has evicted from its table.
    NoLowWater,
    /// A gateway returns `NotRun` although its replica may lack an attempt.
    StaleNotRun,
    /// A gateway dispatches an attempt although no caller waits for it any more.
    DispatchRevoked,
    /// A gateway drops the body of the logged answer.
    ForgetAnswer,
    /// A gateway treats a lost dispatch as ended and never queries the sidecar.
    AbandonLostDispatch,
    /// A gateway ignores crash reports when it decides how a request runs.
    IgnoreCrashes,
    /// A gateway keeps a request suspect after an exclusive run without a crash.
    NeverClear,
    /// Replay accepts a claim of the lock for exclusive runs while another gateway holds it.
    LockWithoutPrev,
}

/// The deliberate fault of a component, if any.
#[derive(Debug, Default, Clone, Copy)]
pub struct Mutations(Option<Mutation>);

impl PartialEq for Mutations {
    /// Always true: components are compared by their state only.
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl Mutations {
    /// Returns a set with one fault.
    pub fn only(mutation: Mutation) -> Self {
        Self(Some(mutation))
    }

    /// Whether the component has `mutation`.
    pub fn has(self, mutation: Mutation) -> bool {
        cfg!(feature = "mutation") && self.0 == Some(mutation)
    }
}
