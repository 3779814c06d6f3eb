//! What requests of a service cost, learned from answers.

use std::collections::HashMap;
use std::time::Duration;

use nutmegbay_core::world::Moment;
use nutmegbay_policy::average::kept;
use nutmegbay_policy::edge::flow::Flow;
use nutmegbay_policy::edge::load::{Excess, Usual};
use nutmegbay_policy::edge::placement::Part;
use nutmegbay_policy::edge::read_rate::ReadRate;
use nutmegbay_policy::edge::urgency::{ByUrgency, Urgency};

use super::in_flight::Demand;

/// First guess of the mean time of a request, in milliseconds.
pub const INITIAL_MEAN_MS: f64 = 15.0;

/// Time over which the number of long streams is averaged.
const STREAM_COUNT_TIME_CONSTANT: Duration = Duration::from_secs(2);

/// Weight of one request in the mean engine time of a model service.
const REQUEST_TIME_WEIGHT: f64 = 0.05;

/// Weight of one answer in the mean time of a plain service.
const PLAIN_TIME_WEIGHT: f64 = 0.02;

/// Costs of one service.
pub struct ServiceCosts {
    /// Time of reading prompts.
    pub prefill_rate: ReadRate,
    /// Mean time of a plain request, in milliseconds.
    pub mean_ms: f64,
    /// Mean engine time of a request whose prompt is read, in milliseconds.
    pub request_ms: f64,
    /// Requests that wait for an engine to read their prompt.
    pub flow: Flow,
    /// Long streams of this process, averaged, as of `long_streams_at`.
    pub long_streams: f64,
    long_streams_at: Moment,
    /// Lateness of whole and of split requests that are no long streams.
    whole_excess: ByUrgency<Excess>,
    split_excess: ByUrgency<Excess>,
    /// Requests of other instances at a prefill engine, and at another upstream.
    typical_prefill_requests: Usual,
    typical_requests: Usual,
}

impl Default for ServiceCosts {
    fn default() -> Self {
        Self {
            prefill_rate: ReadRate::new(),
            mean_ms: INITIAL_MEAN_MS,
            request_ms: INITIAL_MEAN_MS,
            flow: Flow::default(),
            long_streams: 0.0,
            long_streams_at: Moment::default(),
            whole_excess: ByUrgency::default(),
            split_excess: ByUrgency::default(),
            typical_prefill_requests: Usual::default(),
            typical_requests: Usual::default(),
        }
    }
}

impl ServiceCosts {
    /// Averages the number of long streams.
    pub fn average_long_streams(&mut self, count: u32, now: Moment) {
        let weight = 1.0 - kept(now.since(self.long_streams_at), STREAM_COUNT_TIME_CONSTANT);
        self.long_streams += (f64::from(count) - self.long_streams) * weight;
        self.long_streams_at = now;
    }

    /// Notes the engine time of an admitted request whose prompt is read.
    pub fn record_admission(&mut self, demand: Demand) {
        self.request_ms += REQUEST_TIME_WEIGHT * (demand.cost_ms - self.request_ms);
        self.flow.began(demand.urgency, demand.cost_ms);
    }

    /// Notes the time of a plain request.
    pub fn record_plain_request(&mut self, ms: f64) {
        self.mean_ms += PLAIN_TIME_WEIGHT * (ms - self.mean_ms);
    }

    /// Lateness of split or of whole requests.
    pub fn excess(&self, is_split: bool, urgency: Urgency) -> &Excess {
        if is_split {
            &self.split_excess[urgency]
        } else {
            &self.whole_excess[urgency]
        }
    }

    /// The same, to be changed.
    pub fn excess_mut(&mut self, is_split: bool, urgency: Urgency) -> &mut Excess {
        if is_split {
            &mut self.split_excess[urgency]
        } else {
            &mut self.whole_excess[urgency]
        }
    }

    /// Requests of other instances that an upstream of this part usually has.
    pub fn typical_requests(&self, part: Part) -> Usual {
        match part {
            Part::Prefill => self.typical_prefill_requests,
            Part::Decode => self.typical_requests,
        }
    }

    /// The same, to be changed.
    pub fn typical_requests_mut(&mut self, part: Part) -> &mut Usual {
        match part {
            Part::Prefill => &mut self.typical_prefill_requests,
            Part::Decode => &mut self.typical_requests,
        }
    }
}

/// Costs of `service`, which begin with the first guesses. An entry of the map would copy the name
/// for each request.
pub fn costs_mut<'a>(
    costs: &'a mut HashMap<Box<str>, ServiceCosts>,
    service: &str,
) -> &'a mut ServiceCosts {
    if !costs.contains_key(service) {
        costs.insert(service.into(), ServiceCosts::default());
    }
    costs.get_mut(service).expect("it was just inserted")
}
