//! Costs of a service's requests, learned from responses.

use std::cell::Cell;
use std::collections::HashMap;
use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_policy::average::exponential_decay;
use nutmegbay_policy::edge::load::{MeanLateness, TypicalLoad};
use nutmegbay_policy::edge::pending_work::PendingWork;
use nutmegbay_policy::edge::placement::EnginePhase;
use nutmegbay_policy::edge::prefill_rate::PrefillRate;
use nutmegbay_policy::edge::stream_hosts::HostCount;
use nutmegbay_policy::edge::urgency::{ByUrgency, Urgency};

use super::in_flight::Demand;

/// Initial value for the mean time of a request, in milliseconds.
pub const INITIAL_MEAN_MS: f64 = 15.0;

/// Time constant of the average number of long streams.
const STREAM_COUNT_TIME_CONSTANT: Duration = Duration::from_secs(2);

/// Weight of one request in the mean engine time of a model service.
const REQUEST_TIME_WEIGHT: f64 = 0.05;

/// Weight of one first result in the mean time until it.
const TURNOVER_WEIGHT: f64 = 0.05;

/// Weight of one request in the fraction of those of which no engine holds the shared blocks.
const UNHELD_WEIGHT: f64 = 0.02;

/// Weight of one response in the mean time of a plain service.
const PLAIN_TIME_WEIGHT: f64 = 0.02;

/// Learned costs of one service.
pub struct ServiceCosts {
    /// Prefill rate of its engines.
    pub prefill_rate: PrefillRate,
    /// Mean time of a plain request, in milliseconds.
    pub mean_ms: f64,
    /// Mean engine time of a request that needs a prefill, in milliseconds.
    pub request_ms: f64,
    /// Mean time from the send of a request that needs a prefill to its first result, in
    /// milliseconds. Long streams are not included. `None` before the first one.
    pub turnover_ms: Option<f64>,
    /// Fraction of the requests of which no engine is expected to hold the shared blocks.
    pub unheld_fraction: Cell<f64>,
    /// Whether the engines state that they share their machines, so that the time of the same work
    /// differs between them.
    pub has_uneven_engines: bool,
    /// Admitted requests that wait for a prefill.
    pub pending_work: PendingWork,
    /// Average number of this process's long streams, as of `long_streams_at`.
    pub long_streams: f64,
    /// Average number of the long streams of all instances.
    all_long_streams: f64,
    long_streams_at: MonotonicTime,
    /// Number of engines on which long streams are consolidated, where engines state their pace.
    pub host_count: HostCount,
    /// Lateness of whole and of split requests. Long streams are not included.
    whole_lateness: ByUrgency<MeanLateness>,
    split_lateness: ByUrgency<MeanLateness>,
    /// Typical number of other instances' requests at a prefill engine, and at any other upstream.
    typical_prefill_requests: TypicalLoad,
    typical_requests: TypicalLoad,
}

impl Default for ServiceCosts {
    fn default() -> Self {
        Self {
            prefill_rate: PrefillRate::new(),
            mean_ms: INITIAL_MEAN_MS,
            request_ms: INITIAL_MEAN_MS,
            turnover_ms: None,
            unheld_fraction: Cell::new(1.0),
            has_uneven_engines: false,
            pending_work: PendingWork::default(),
            long_streams: 0.0,
            all_long_streams: 0.0,
            host_count: HostCount::default(),
            long_streams_at: MonotonicTime::default(),
            whole_lateness: ByUrgency::default(),
            split_lateness: ByUrgency::default(),
            typical_prefill_requests: TypicalLoad::default(),
            typical_requests: TypicalLoad::default(),
        }
    }
}

impl ServiceCosts {
    /// Updates the average numbers of long streams of this process and of all instances. Returns the
    /// second one.
    pub fn average_long_streams(&mut self, own: u32, all: f64, now: MonotonicTime) -> f64 {
        let weight =
            1.0 - exponential_decay(now.since(self.long_streams_at), STREAM_COUNT_TIME_CONSTANT);
        self.long_streams += (f64::from(own) - self.long_streams) * weight;
        self.all_long_streams += (all - self.all_long_streams) * weight;
        self.long_streams_at = now;
        self.all_long_streams
    }

    /// Records an admitted request that needs a prefill.
    pub fn record_admission(&mut self, demand: Demand) {
        self.request_ms += REQUEST_TIME_WEIGHT * (demand.cost_ms - self.request_ms);
        self.pending_work
            .record_admitted(demand.urgency, demand.cost_ms);
    }

    /// Records a request that is placed, of whose shared blocks the best engine is expected to hold
    /// the fraction `held`, 0 to 1.
    pub fn record_held(&self, held: f64) {
        let before = self.unheld_fraction.get();
        self.unheld_fraction
            .set(before + UNHELD_WEIGHT * (1.0 - held - before));
    }

    /// Records the time from the send of a request that needs a prefill to its first result, in
    /// milliseconds.
    pub fn record_turnover(&mut self, ms: f64) {
        let before = self.turnover_ms.unwrap_or(ms);
        self.turnover_ms = Some(before + TURNOVER_WEIGHT * (ms - before));
    }

    /// Records the duration of a plain request, in milliseconds.
    pub fn record_plain_request(&mut self, ms: f64) {
        self.mean_ms += PLAIN_TIME_WEIGHT * (ms - self.mean_ms);
    }

    /// Returns the lateness of split or whole requests of one class of urgency.
    pub fn mean_lateness(&self, is_split: bool, urgency: Urgency) -> &MeanLateness {
        if is_split {
            &self.split_lateness[urgency]
        } else {
            &self.whole_lateness[urgency]
        }
    }

    /// Like [`Self::mean_lateness`], for updates.
    pub fn mean_lateness_mut(&mut self, is_split: bool, urgency: Urgency) -> &mut MeanLateness {
        if is_split {
            &mut self.split_lateness[urgency]
        } else {
            &mut self.whole_lateness[urgency]
        }
    }

    /// Returns the typical number of other instances' requests at an upstream of this phase.
    pub fn typical_requests(&self, phase: EnginePhase) -> TypicalLoad {
        match phase {
            EnginePhase::Prefill => self.typical_prefill_requests,
            EnginePhase::Decode => self.typical_requests,
        }
    }

    /// Like [`Self::typical_requests`], for updates.
    pub fn typical_requests_mut(&mut self, phase: EnginePhase) -> &mut TypicalLoad {
        match phase {
            EnginePhase::Prefill => &mut self.typical_prefill_requests,
            EnginePhase::Decode => &mut self.typical_requests,
        }
    }
}

/// Returns the costs of `service`, which start with the initial values. The map's `entry` is not
/// used because it would copy the name for each request.
pub fn costs_mut<'a>(
    costs: &'a mut HashMap<Box<str>, ServiceCosts>,
    service: &str,
) -> &'a mut ServiceCosts {
    if !costs.contains_key(service) {
        costs.insert(service.into(), ServiceCosts::default());
    }
    costs.get_mut(service).expect("it was just inserted")
}
