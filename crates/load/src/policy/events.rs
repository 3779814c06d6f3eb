//! Events of the simulation, and the calls and engine runs that they refer to by index.

use std::cmp::Ordering;

use nutmegbay_policy::fleet::{LoadReport, PrefixBlockEvent};

/// Event of the simulation. The first number of an event is an index into a vector of the
/// simulation, the second one the incarnation of the engine.
#[derive(Debug)]
pub(super) enum Event {
    /// The caller sends this request.
    Send(usize),
    /// The caller of this call stops waiting for a first token.
    PatienceEnded(usize),
    /// This engine run arrives at its engine.
    Submit(usize),
    /// This engine ends its step.
    StepEnd(usize, u32),
    /// This engine takes a load report.
    TakeReport(usize),
    /// The report arrives at the gateways.
    DeliverReport(Box<DelayedReport>),
    Gossip,
    Plan,
    /// This gateway dispatches from its queue.
    DispatchQueued(usize),
    /// This engine has completed its role change.
    RoleChanged(usize, u32),
    Crash(usize),
    Restart(usize),
    /// An ordered engine starts in this failure domain.
    EngineAdded(u16),
}

/// Load report in transit to the gateways.
#[derive(Debug)]
pub(super) struct DelayedReport {
    pub engine: usize,
    pub incarnation: u32,
    pub taken_at: f64,
    pub report: LoadReport,
    pub accepts_work: bool,
    pub cache_events: Vec<PrefixBlockEvent>,
    pub next_cache_event: u64,
}

/// Event with its virtual time in seconds. Events at the same time keep the order in which they
/// were scheduled.
#[derive(Debug)]
pub(super) struct ScheduledEvent {
    pub at: f64,
    pub seq: u64,
    pub event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.seq == other.seq
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        self.at
            .total_cmp(&other.at)
            .then_with(|| self.seq.cmp(&other.seq))
    }
}

/// One transmission of a request by its caller.
#[derive(Debug, Clone, Copy)]
pub(super) struct Call {
    pub req: usize,
    /// Whether the caller still waits for the answer.
    pub is_pending: bool,
    pub has_first_token: bool,
    /// Job that the call belongs to; `usize::MAX` until a gateway has accepted it.
    pub job: usize,
}

/// One run of a job, on one engine or on a prefill and a decode engine.
#[derive(Debug, Clone)]
pub(super) struct EngineRun {
    pub job: usize,
    pub engine: usize,
    /// Engine that decodes if `engine` only prefills.
    pub decode_engine: Option<usize>,
    /// Engine from which cached prefix blocks are imported.
    pub cache_holder: Option<usize>,
    pub is_active: bool,
    /// Prefill work that the gateway recorded at dispatch, in seconds.
    pub dispatched_prefill_s: f64,
    /// Prompt tokens that were not cached, less those that were not processed before a cancel.
    pub prefilled_tokens: u32,
    pub generated_tokens: u32,
    /// Whether decode was handed over to `decode_engine`.
    pub handed_over: bool,
    pub expected_cached_tokens: u32,
    pub last_token_at: f64,
    pub submitted_at: f64,
}
