//! Records what the head of a response states about its upstream.

use super::Forwarder;
use crate::fleet::InFlightSend;
use crate::model::{ResponseHead, Stage};
use crate::platform_api::WireCodec;

impl<D: WireCodec> Forwarder<'_, D> {
    /// Records the limit, the notices, the pace and the load that `head` states.
    pub fn record_statements(&self, head: &ResponseHead, stage: Stage<'_>, send: &InFlightSend) {
        // Results of a prefill and refusals are not signed.
        let is_genuine = head.is_signed || stage == Stage::Prefill || head.is_not_run();
        if head.limit_per_s.is_some() || is_genuine {
            send.record_limit(head.limit_per_s, self.state.now());
        }
        send.record_notices(head, self.state.now());
        if let Some(load) = head.load {
            let now = self.state.now();
            if self.request.service.engine.is_some() {
                send.record_pace(load.pace, now);
            }
            send.record_reported_load(load.running + load.waiting, now);
        }
    }
}
