//! Requests on their way, counted where they are until they are dropped.

use std::cell::RefCell;
use std::rc::Rc;

use nutmegbay_core::world::Moment;
use nutmegbay_policy::UpstreamKey;
use nutmegbay_policy::edge::health::Outcome;
use nutmegbay_policy::edge::urgency::Urgency;

use super::Fleet;
use super::costs::costs_of;
use crate::clock::Moments;
use crate::model::Service;

/// A request whose prompt waits to be read, until it is dropped.
pub struct Waiting {
    fleet: Rc<RefCell<Fleet>>,
    service: Rc<Service>,
    demand: Demand,
    moments: Moments,
    has_result: bool,
}

impl Waiting {
    /// Notes an admitted request.
    pub fn new(
        fleet: &Rc<RefCell<Fleet>>,
        service: &Rc<Service>,
        demand: Demand,
        moments: Moments,
    ) -> Self {
        costs_of(&mut fleet.borrow_mut().costs, &service.name).admitted(demand);
        Self {
            fleet: Rc::clone(fleet),
            service: Rc::clone(service),
            demand,
            moments,
            has_result: false,
        }
    }

    /// Notes the first result.
    pub fn served(mut self) {
        self.has_result = true;
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let now = self.moments.now();
        if let Some(costs) = self.fleet.borrow_mut().costs.get_mut(&self.service.name) {
            let Demand {
                urgency, cost_ms, ..
            } = self.demand;
            costs
                .flow
                .record_wait_end(now, urgency, cost_ms, self.has_result);
        }
    }
}

/// What a request is for the upstream that it is sent to.
#[derive(Debug, Clone, Copy)]
pub struct Demand {
    /// Its urgency.
    pub urgency: Urgency,
    /// Time of its own work there until the first result, in milliseconds.
    pub cost_ms: f64,
    /// Whether its answer is a long stream.
    pub is_long: bool,
    /// Whether its prompt is read there.
    pub reads_prompt: bool,
}

/// A request at an upstream. Dropping it takes the request off the upstream's load.
pub struct Ticket {
    fleet: Rc<RefCell<Fleet>>,
    key: UpstreamKey,
    life: u64,
    demand: Demand,
    sent: Moment,
    predicted_ms: f64,
    has_begun: bool,
    has_evidence: bool,
}

impl Ticket {
    /// Notes a request that is being sent to `key`.
    pub fn new(fleet: &Rc<RefCell<Fleet>>, key: UpstreamKey, demand: Demand, now: Moment) -> Self {
        let mut predicted_ms = demand.cost_ms;
        let (ahead, life) = {
            let fleet = fleet.borrow();
            let upstream = fleet.get(key);
            upstream.map_or_else(Default::default, |up| {
                let usual = fleet.usual(up);
                (fleet.ahead(up, demand.urgency, usual, now), up.life())
            })
        };
        fleet.borrow().changed.notify_one();
        if let Some(upstream) = fleet.borrow_mut().upstreams.get_mut(key) {
            predicted_ms = upstream.load.sent(demand.urgency, demand.cost_ms, ahead);
            upstream.health.sent();
            upstream.streams += u32::from(demand.is_long);
        }
        Self {
            fleet: Rc::clone(fleet),
            key,
            life,
            demand,
            sent: now,
            predicted_ms,
            has_begun: false,
            has_evidence: false,
        }
    }

    /// Life of the upstream to which it was sent.
    pub fn life(&self) -> u64 {
        self.life
    }

    /// When it was sent.
    pub fn sent(&self) -> Moment {
        self.sent
    }

    /// Upstream of the request.
    pub fn key(&self) -> UpstreamKey {
        self.key
    }

    /// Notes the first result.
    pub fn began(&mut self, now: Moment) {
        if !self.has_begun
            && let Some(upstream) = self.fleet.borrow_mut().upstreams.get_mut(self.key)
        {
            let actual_ms = now.since(self.sent).as_secs_f64() * 1e3;
            let urgency = self.demand.urgency;
            upstream
                .load
                .record_observation(urgency, now, self.predicted_ms, actual_ms);
        }
        self.leave_queue();
    }

    /// Takes the request off the work that shows no result yet.
    fn leave_queue(&mut self) {
        self.fleet.borrow().changed.notify_one();
        if !std::mem::replace(&mut self.has_begun, true)
            && let Some(upstream) = self.fleet.borrow_mut().upstreams.get_mut(self.key)
        {
            upstream
                .load
                .record_first_result(self.demand.urgency, self.demand.cost_ms);
        }
    }

    /// Notes how the request met the upstream.
    pub fn note(&mut self, outcome: Outcome, now: Moment) {
        self.has_evidence = true;
        self.fleet.borrow_mut().note(self.key, outcome, now);
    }

    /// Notes the load that an answer reports.
    pub fn reported(&self, requests: u32, now: Moment) {
        let is_usual = self.demand.reads_prompt && !self.demand.is_long;
        let mut fleet = self.fleet.borrow_mut();
        fleet.reported(self.key, requests, is_usual, now);
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.leave_queue();
        if let Some(upstream) = self.fleet.borrow_mut().upstreams.get_mut(self.key) {
            upstream.load.record_end();
            upstream.streams -= u32::from(self.demand.is_long);
            if !self.has_evidence {
                upstream.health.end_without_outcome();
            }
        }
    }
}
