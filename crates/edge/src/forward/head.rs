//! Reads the heads of upstreams' responses.

use http_body_util::{BodyExt, Limited};
use nutmegbay_policy::edge::health::Outcome;
use tokio::time::timeout;

use super::attempt::MAX_BUFFERED_BODY;
use super::{Forwarder, upstream_outcome};
use crate::fleet::InFlightSend;
use crate::http1::Connection;
use crate::model::{ResponseHead, Stage};
use crate::platform_api::{OutboundRequest, UnreadResponse, WireCodec};

/// Multiple of the route's objective for which the expected response is awaited behind a foreign
/// one. An upstream that sends wrong responses must not block the caller until its deadline.
const FOREIGN_RESPONSE_OBJECTIVES: u32 = 3;

impl<D: WireCodec> Forwarder<'_, D> {
    /// Records what a head states about its upstream.
    pub fn record_head(
        &self,
        head: &ResponseHead,
        stage: Stage<'_>,
        in_flight_send: &mut InFlightSend,
    ) {
        // Results of a prefill and refusals are not signed.
        let is_genuine = head.is_signed || stage == Stage::Prefill || head.is_not_run();
        if head.limit_per_s.is_some() || is_genuine {
            in_flight_send.record_limit(head.limit_per_s, self.state.now());
        }
        in_flight_send.record_notices(head, self.state.now());
        if let Some(load) = head.load {
            let now = self.state.now();
            if self.request.service.engine.is_some() {
                in_flight_send.record_pace(load.pace, now);
            }
            in_flight_send.record_reported_load(load.running + load.waiting, now);
        }
        if let Some(outcome) = upstream_outcome(head, stage)
            && outcome == Outcome::Unreachable
        {
            in_flight_send.record_outcome(outcome, self.state.now());
        }
    }

    pub fn head(&self, response: &UnreadResponse) -> ResponseHead {
        let codec = &self.state.codec;
        codec.decode_response_head(response.status(), response.headers())
    }

    /// Returns whether a response belongs to another request, or may do so: it names another one, or
    /// none on a connection that has carried others.
    pub fn is_foreign(&self, head: &ResponseHead, has_carried_others: bool) -> bool {
        match head.id.as_deref() {
            Some(id) => *id != *self.request.head.id,
            None => has_carried_others,
        }
    }

    /// Skips a response that was left over from an earlier request on the same connection. Returns
    /// the next response, which belongs to `req`.
    pub async fn skip_foreign_response(
        &self,
        connection: Connection,
        foreign: UnreadResponse,
        req: OutboundRequest,
    ) -> Option<(Connection, UnreadResponse)> {
        if !connection.is_reused() {
            return None;
        }
        let next = async {
            let body = Limited::new(foreign.into_body(), MAX_BUFFERED_BODY);
            body.collect().await.ok()?;
            connection.next_response(req).await.ok()
        };
        let limit = self.request.route.objective * FOREIGN_RESPONSE_OBJECTIVES;
        let next = timeout(limit, next).await.ok().flatten();
        tracing::info!(
            event = "foreign_answer_skipped",
            id = %self.request.head.id,
            has_own = next.is_some(),
        );
        next
    }
}
