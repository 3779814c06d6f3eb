//! Decides whether a placed request runs or is refused at once.

use http::StatusCode;
use nutmegbay_core::verdict::Verdict;
use nutmegbay_policy::edge::admission::{AdmissionRequest, Decision, decide, decide_taken_up};
use nutmegbay_policy::edge::placement::Placement;

use super::{Failure, Forwarder};
use crate::fleet::{Demand, PrefillWait};
use crate::model::RequestKind;
use crate::platform_api::WireCodec;
use crate::state::EdgeState;

impl<D: WireCodec> Forwarder<'_, D> {
    /// Refuses the request immediately if its first result cannot be on time. A stream that its
    /// caller takes up is refused only if it cannot go on before the deadline.
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
            progress.predicted_ms = predicted_ms;
            progress.cost_ms = demand.cost_ms;
        }
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
        let decide = if self.request.is_taken_up() {
            decide_taken_up
        } else {
            decide
        };
        match decide(admission_request, rand::random()) {
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
            Decision::Refuse { retry_after } => Err(Failure {
                status: StatusCode::SERVICE_UNAVAILABLE,
                verdict: Verdict::NotRun,
                cause: "no_room_in_time",
                retry_after: Some(retry_after),
            }),
        }
    }
}
