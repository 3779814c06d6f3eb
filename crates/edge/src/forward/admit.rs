//! Decides whether a placed request runs or is refused at once.

use std::borrow::Cow;

use http::StatusCode;
use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_core::verdict::Verdict;
use nutmegbay_policy::UpstreamKey;
use nutmegbay_policy::edge::admission::{
    AdmissionRequest, Decision, Share, decide, decide_in_short_room, decide_taken_up,
    decide_with_slot,
};
use nutmegbay_policy::edge::placement::Placement;

use super::{Failure, Forwarder};
use crate::fleet::{Demand, Fleet, PrefillWait, SlotClaim};
use crate::metrics::increment;
use crate::model::RequestKind;
use crate::platform_api::WireCodec;
use crate::state::EdgeState;

impl<D: WireCodec> Forwarder<'_, D> {
    /// Refuses the request immediately if its first result cannot be on time. A stream that its
    /// caller takes up is refused only if it cannot go on before the deadline. Where accounts compete
    /// for room, a request beyond its account's part is refused behind a shorter queue, and a long
    /// stream with a free slot is admitted.
    pub fn admit(&mut self, placement: &Placement) -> Result<(), Failure> {
        let now = self.state.now();
        let needs_prefill = self.request.needs_prefill();
        let demand = Demand {
            urgency: self.request.urgency(),
            cost_ms: placement.cost_ms(),
            link_ms: 0.0,
            is_long: self.request.is_long(),
            needs_prefill,
        };
        let mut predicted_ms = placement.first_result_ms();
        let has_slot;
        {
            let mut progress = self.request.progress.borrow_mut();
            progress.is_split = matches!(placement, Placement::Split { .. });
            let fleet = self.state.fleet.borrow();
            let service = &self.request.service.name;
            progress.summed_ms = predicted_ms
                - fleet.lateness_ms(service, progress.is_split, self.request.urgency(), now);
            if needs_prefill {
                predicted_ms = predicted_ms.max(fleet.pending_wait_ms(
                    service,
                    demand,
                    self.state.process_count(),
                    now,
                ));
            }
            let stream_ms = self.stream_wait_ms(&fleet, placement, now);
            has_slot = stream_ms.is_some();
            predicted_ms = stream_ms.map_or(predicted_ms, |ms| predicted_ms.min(ms));
            progress.predicted_ms = predicted_ms;
            progress.load_age = fleet.load_age(service, now);
            progress.cost_ms = demand.cost_ms;
        }
        let share = self.share(demand, now);
        let objective = match self.request.route.kind {
            RequestKind::Streaming => self.request.route.objective,
            // A plain call is short, so it is served late rather than refused.
            RequestKind::Idempotent | RequestKind::NonIdempotent => self.request.route.timeout,
        };
        let admission_request = AdmissionRequest {
            first_result_ms: predicted_ms,
            cost_ms: demand.cost_ms,
            objective,
            elapsed: self.request.elapsed + now.since(self.request.arrived),
            remaining: self.request.time_left(now),
        };
        let jitter = rand::random();
        let decision = match share {
            _ if self.request.is_taken_up() => decide_taken_up(admission_request, jitter),
            _ if has_slot => decide_with_slot(admission_request, jitter),
            Some(share) => decide_in_short_room(admission_request, share, jitter),
            None => decide(admission_request, jitter),
        };
        match decision {
            Decision::Admit => {
                self.prefill_wait = needs_prefill.then(|| {
                    let EdgeState {
                        fleet,
                        monotonic_clock,
                        ..
                    } = &**self.state;
                    PrefillWait::new(fleet, &self.request.service, demand, *monotonic_clock)
                });
                Ok(())
            }
            Decision::Refuse { retry_after } => {
                if share == Some(Share::Beyond) {
                    increment(&self.state.metrics.refused_beyond_part);
                }
                Err(Failure {
                    status: StatusCode::SERVICE_UNAVAILABLE,
                    verdict: Verdict::NotRun,
                    cause: "no_room_in_time",
                    retry_after: Some(retry_after),
                })
            }
        }
    }

    /// Records what the request's account asks for, and decides whether the request is within the
    /// account's part. Returns `None` while there is room for all, and unless accounts compete.
    fn share(&self, demand: Demand, now: MonotonicTime) -> Option<Share> {
        if !demand.needs_prefill || !self.state.settings().has_competing_accounts {
            return None;
        }
        let account = self.request.account_name();
        let service = &self.request.service.name;
        let mut fleet = self.state.fleet.borrow_mut();
        let part = fleet.record_asked(service, account, demand, now);
        part.level?;
        let share = if rand::random::<f64>() < part.fraction {
            Share::Within
        } else {
            self.request.progress.borrow_mut().within_part = Some(part.fraction);
            Share::Beyond
        };
        Some(share)
    }

    /// Records the first result of a request that was prefilled.
    pub fn record_done(&self) {
        if self.state.settings().has_competing_accounts {
            let cost_ms = self.request.progress.borrow().cost_ms;
            let mut fleet = self.state.fleet.borrow_mut();
            fleet.record_done(&self.request.service.name, cost_ms, self.state.now());
        }
    }

    /// Returns the upstreams that are used only if there are no others.
    pub fn avoided(&self, fleet: &Fleet, now: MonotonicTime) -> Cow<'_, [UpstreamKey]> {
        if !self.competes_for_slots() {
            return Cow::Borrowed(&self.tried);
        }
        let service = &self.request.service.name;
        let instances = self.state.process_count();
        Cow::Owned(fleet.avoided_for_stream(service, &self.tried, instances, now))
    }

    /// Claims a slot of the decode engine for a long stream that is prefilled elsewhere.
    pub fn claim_slot(&self, decode: UpstreamKey) -> Option<SlotClaim> {
        self.competes_for_slots()
            .then(|| SlotClaim::new(&self.state.fleet, decode))
    }

    /// Returns whether the request gets a slot of the decode engine `key` at once, as far as it
    /// competes for slots.
    pub fn gets_slot(&self, key: UpstreamKey) -> bool {
        let fleet = self.state.fleet.borrow();
        !self.competes_for_slots() || fleet.takes_stream(key, self.state.process_count())
    }

    /// Predicts the first result of a long stream from what really delays it, see
    /// [`Fleet::stream_wait_ms`]. Returns `None` for other requests, and if it gets no slot at once.
    fn stream_wait_ms(
        &self,
        fleet: &Fleet,
        placement: &Placement,
        now: MonotonicTime,
    ) -> Option<f64> {
        if !self.competes_for_slots() {
            return None;
        }
        fleet.stream_wait_ms(placement, self.request.urgency(), now)
    }

    /// Returns whether the request is a long stream that competes for the slots of engines.
    fn competes_for_slots(&self) -> bool {
        self.request.is_long() && self.state.settings().has_competing_accounts
    }
}
