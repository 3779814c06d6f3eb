//! Events of a run and what they refer to.

use std::cmp::Ordering;

use nutmegbay_policy::fleet::{LoadReport, PrefixBlockEvent};

/// What happens at a moment.
#[derive(Debug)]
pub(super) enum Event {
    Send(usize),
    Patience(usize),
    Submit(usize),
    StepEnd(usize, u32),
    Report(usize),
    Deliver(Box<Delivery>),
    Gossip,
    Plan,
    Pump(usize),
    Changed(usize, u32),
    Crash(usize),
    Restart(usize),
    Added(u16),
}

/// A load report on its way.
#[derive(Debug)]
pub(super) struct Delivery {
    pub engine: usize,
    pub life: u32,
    pub taken: f64,
    pub report: LoadReport,
    pub accepts: bool,
    pub events: Vec<PrefixBlockEvent>,
    pub next: u64,
}

/// An event with its moment; equal moments keep the order of scheduling.
#[derive(Debug)]
pub(super) struct Due {
    pub at: f64,
    pub seq: u64,
    pub event: Event,
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.seq == other.seq
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> Ordering {
        self.at
            .total_cmp(&other.at)
            .then_with(|| self.seq.cmp(&other.seq))
    }
}

/// One sending of a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Call {
    pub req: usize,
    pub alive: bool,
    pub answered: bool,
    pub flight: usize,
}

/// One run of a flight on engines.
#[derive(Debug, Clone)]
pub(super) struct Run {
    pub flight: usize,
    pub engine: usize,
    pub decode: Option<usize>,
    pub holder: Option<usize>,
    pub live: bool,
    pub sent_work: f64,
    pub prefilled: u32,
    pub generated: u32,
    pub handed_over: bool,
    pub expected_cached: u32,
    pub last_token: f64,
    pub submitted: f64,
}
