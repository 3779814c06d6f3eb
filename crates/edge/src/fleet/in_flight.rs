//! Guards that count a request in its upstream's load, or in its service's pending work, until they
//! are dropped.

use std::cell::RefCell;
use std::rc::Rc;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_policy::UpstreamKey;
use nutmegbay_policy::edge::health::Outcome;
use nutmegbay_policy::edge::load::QueueAhead;
use nutmegbay_policy::edge::software_versions::VersionTag;
use nutmegbay_policy::edge::urgency::Urgency;

use super::Fleet;
use super::costs::costs_mut;
use crate::clock::MonotonicClock;
use crate::model::{ResponseHead, Service, StatedPace};

/// Maximum predicted wait of a call from which the speed of its engine is learned, in times of its
/// own work.
const MAX_SAMPLE_WAIT: f64 = 0.25;

/// An admitted request that waits for its prefill. Counts in the service's pending work until it is
/// dropped.
pub struct PrefillWait {
    fleet: Rc<RefCell<Fleet>>,
    service: Rc<Service>,
    demand: Demand,
    monotonic_clock: MonotonicClock,
    has_result: bool,
}

impl PrefillWait {
    /// Records an admitted request as pending.
    pub fn new(
        fleet: &Rc<RefCell<Fleet>>,
        service: &Rc<Service>,
        demand: Demand,
        monotonic_clock: MonotonicClock,
    ) -> Self {
        costs_mut(&mut fleet.borrow_mut().costs, &service.name).record_admission(demand);
        Self {
            fleet: Rc::clone(fleet),
            service: Rc::clone(service),
            demand,
            monotonic_clock,
            has_result: false,
        }
    }

    /// Records the first result and ends the wait.
    pub fn record_first_result(mut self) {
        self.has_result = true;
    }
}

impl Drop for PrefillWait {
    fn drop(&mut self) {
        let now = self.monotonic_clock.now();
        if let Some(costs) = self.fleet.borrow_mut().costs.get_mut(&self.service.name) {
            let Demand {
                urgency, cost_ms, ..
            } = self.demand;
            costs
                .pending_work
                .record_wait_end(now, urgency, cost_ms, self.has_result);
        }
    }
}

/// What a request demands of the upstream to which it is sent.
#[derive(Debug, Clone, Copy)]
pub struct Demand {
    /// Class of urgency.
    pub urgency: Urgency,
    /// Time of the request's own work at the upstream until the first result, in milliseconds.
    pub cost_ms: f64,
    /// Time until the request has left over the link of this process, in milliseconds.
    pub link_ms: f64,
    /// Whether the answer is a long stream.
    pub is_long: bool,
    /// Whether the upstream prefills the prompt.
    pub needs_prefill: bool,
}

/// A request that was sent to an upstream. Dropping it removes the request from the upstream's
/// load.
pub struct InFlightSend {
    fleet: Rc<RefCell<Fleet>>,
    key: UpstreamKey,
    incarnation: u64,
    version: Option<VersionTag>,
    demand: Demand,
    body_bytes: u64,
    sent_at: MonotonicTime,
    predicted_ms: f64,
    /// Predicted time of the prefill at the fastest engines, in milliseconds.
    typical_ms: f64,
    has_begun: bool,
    result_at: Option<MonotonicTime>,
    has_outcome: bool,
}

impl InFlightSend {
    /// Records a request with a body of `body_bytes` that is being sent to the upstream `key`.
    pub fn new(
        fleet: &Rc<RefCell<Fleet>>,
        key: UpstreamKey,
        demand: Demand,
        body_bytes: usize,
        now: MonotonicTime,
    ) -> Self {
        let mut predicted_ms = demand.cost_ms;
        let (ahead, incarnation, version, factor) = {
            let fleet = fleet.borrow();
            let upstream = fleet.get(key);
            upstream.map_or((QueueAhead::default(), 0, None, 1.0), |up| {
                let typical_requests = fleet.typical_requests(up);
                (
                    fleet.ahead(up, demand.urgency, typical_requests, now),
                    up.incarnation(),
                    Some(up.version()),
                    up.pace.speed(now).prefill_factor,
                )
            })
        };
        fleet.borrow().load_changed.notify_one();
        if let Some(upstream) = fleet.borrow_mut().upstreams.get_mut(key) {
            predicted_ms = upstream
                .load
                .record_sent(demand.urgency, demand.cost_ms, ahead);
            upstream.health.record_sent();
            upstream.streams += u32::from(demand.is_long);
            upstream.bodies.record_sent(body_bytes as u64);
        }
        Self {
            fleet: Rc::clone(fleet),
            key,
            incarnation,
            version,
            demand,
            body_bytes: body_bytes as u64,
            sent_at: now,
            predicted_ms,
            typical_ms: demand.cost_ms / factor,
            has_begun: false,
            result_at: None,
            has_outcome: false,
        }
    }

    /// Returns the incarnation of the upstream to which the request was sent.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the version of that upstream, or `None` if the upstream was not known any more.
    pub fn version(&self) -> Option<VersionTag> {
        self.version
    }

    /// Returns the time at which the request was sent.
    pub fn sent_at(&self) -> MonotonicTime {
        self.sent_at
    }

    /// Returns the upstream to which the request was sent.
    pub fn key(&self) -> UpstreamKey {
        self.key
    }

    /// Returns the time of the first result, or `None` if there is none yet.
    pub fn result_at(&self) -> Option<MonotonicTime> {
        self.result_at
    }

    /// Records how long the engine took for a good first result, unless the request had to wait.
    pub fn record_speed(&self, now: MonotonicTime) {
        let Demand {
            cost_ms,
            link_ms,
            is_long,
            needs_prefill,
            ..
        } = self.demand;
        let waited_ms = self.predicted_ms - cost_ms;
        if needs_prefill && !is_long && waited_ms <= cost_ms * MAX_SAMPLE_WAIT {
            let ms = now.since(self.sent_at).as_secs_f64() * 1e3 - link_ms;
            let mut fleet = self.fleet.borrow_mut();
            fleet.record_call(self.key, ms, self.typical_ms, now);
        }
    }

    /// Records the first result.
    pub fn record_first_result(&mut self, now: MonotonicTime) {
        if !self.has_begun {
            let actual_ms = now.since(self.sent_at).as_secs_f64() * 1e3;
            let urgency = self.demand.urgency;
            let Fleet {
                upstreams, costs, ..
            } = &mut *self.fleet.borrow_mut();
            if let Some(upstream) = upstreams.get_mut(self.key) {
                upstream
                    .load
                    .record_observation(urgency, now, self.predicted_ms, actual_ms);
                if self.demand.needs_prefill && !self.demand.is_long {
                    costs_mut(costs, &upstream.report.service).record_turnover(actual_ms);
                }
            }
        }
        if self.result_at.is_none() {
            self.result_at = Some(now);
            self.fleet.borrow_mut().record_survived(self.key, now);
        }
        self.leave_queue();
    }

    /// Removes the request from the work that has no result yet.
    fn leave_queue(&mut self) {
        self.fleet.borrow().load_changed.notify_one();
        if !std::mem::replace(&mut self.has_begun, true)
            && let Some(upstream) = self.fleet.borrow_mut().upstreams.get_mut(self.key)
        {
            upstream
                .load
                .record_first_result(self.demand.urgency, self.demand.cost_ms);
        }
    }

    /// Records the outcome of the request for the upstream's health.
    pub fn record_outcome(&mut self, outcome: Outcome, now: MonotonicTime) {
        self.has_outcome = true;
        self.fleet
            .borrow_mut()
            .record_outcome(self.key, outcome, now);
    }

    /// Records the limit that the response states, in requests per second.
    pub fn record_limit(&self, per_s: Option<f64>, now: MonotonicTime) {
        let mut fleet = self.fleet.borrow_mut();
        fleet.record_limit(self.key, per_s, self.sent_at, now);
    }

    /// Records what the response states about further requests.
    pub fn record_notices(&self, head: &ResponseHead, now: MonotonicTime) {
        let mut fleet = self.fleet.borrow_mut();
        fleet.record_notices(self.key, head.is_leaving, head.pause, now);
    }

    /// Records the time that work takes at the moment, as the response states it.
    pub fn record_pace(&self, pace: StatedPace, now: MonotonicTime) {
        self.fleet.borrow_mut().record_pace(self.key, pace, now);
    }

    /// Records the number of requests that the response reports.
    pub fn record_reported_load(&self, requests: u32, now: MonotonicTime) {
        let is_typical_sample = self.demand.needs_prefill && !self.demand.is_long;
        let mut fleet = self.fleet.borrow_mut();
        fleet.record_reported_load(self.key, requests, is_typical_sample, now);
    }
}

impl Drop for InFlightSend {
    fn drop(&mut self) {
        self.leave_queue();
        if let Some(upstream) = self.fleet.borrow_mut().upstreams.get_mut(self.key) {
            upstream.load.record_end();
            upstream.bodies.record_end(self.body_bytes);
            upstream.streams -= u32::from(self.demand.is_long);
            if !self.has_outcome {
                upstream.health.record_end_without_outcome();
            }
        }
    }
}
