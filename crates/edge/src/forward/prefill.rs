//! Separate prefill of a request at a prefill engine.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use nutmegbay_policy::UpstreamKey;
use nutmegbay_policy::edge::health::Outcome;
use nutmegbay_policy::edge::software_versions::VersionTag;

use super::attempt::{
    MAX_BUFFERED_BODY, OpenedResponse, ResponseBody, SendOutcome, UpstreamResponse, read_up_to,
};
use super::{Forwarder, upstream_outcome};
use crate::http1::BufferedClient;
use crate::model::{Refusal, ResponseHead, Stage};
use crate::platform_api::WireCodec;
use crate::state::EdgeState;

/// Maximum wait for the response when a prefill result is freed.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

/// Handle of a prefill result. Dropping it frees the result at its engine unless another engine has
/// fetched it.
pub struct PrefillHandle<D: WireCodec> {
    /// Engine that holds the result.
    pub source: SocketAddr,
    /// Name of the result at that engine.
    pub name: Box<str>,
    /// Version of that engine. Only an engine of the same version decodes from the result.
    pub version: VersionTag,
    state: Rc<EdgeState<D>>,
    is_transferred: bool,
}

impl<D: WireCodec> PrefillHandle<D> {
    /// Records that another engine has fetched the result.
    pub fn mark_transferred(mut self) {
        self.is_transferred = true;
    }
}

impl<D: WireCodec> Drop for PrefillHandle<D> {
    fn drop(&mut self) {
        if self.is_transferred {
            return;
        }
        let source = self.source;
        let mut req = self.state.codec.prefill_release_request(&self.name);
        let caller = BufferedClient::new(source, &self.state.delay_monitor);
        if let Ok(host) = caller.host().parse() {
            req.headers_mut().insert(HOST, host);
        }
        tokio::task::spawn_local(async move {
            let freed = caller
                .call(req.map(|()| Bytes::new().into()), RELEASE_TIMEOUT)
                .await;
            if let Err(error) = freed {
                // The engine frees the result by itself after a few seconds.
                tracing::debug!(event = "prefill_result_not_freed", %source, %error);
            }
        });
    }
}

impl<D: WireCodec> Forwarder<'_, D> {
    /// Runs the prefill at `at`.
    pub async fn prefill(
        &mut self,
        at: UpstreamKey,
        cost_ms: f64,
        max_wait: Duration,
    ) -> Result<PrefillHandle<D>, SendOutcome> {
        let sends_before = self.sends;
        let began = self.state.now();
        let monitor = &self.state.delay_monitor;
        let time_left = self.request.time_left(began);
        let read = async {
            let OpenedResponse {
                head,
                headers,
                mut source,
            } = self.open(at, cost_ms, Stage::Prefill, None).await?;
            let Ok((body, true)) = read_up_to(&mut source, MAX_BUFFERED_BODY).await else {
                source
                    .in_flight_send
                    .record_outcome(Outcome::Faulty, self.state.now());
                return Err(SendOutcome::NotRun("prefill_broken"));
            };
            if head.is_not_run() || !head.status.is_success() {
                if let Some(outcome) = upstream_outcome(&head, Stage::Prefill) {
                    source
                        .in_flight_send
                        .record_outcome(outcome, self.state.now());
                }
            } else {
                let now = self.state.now();
                source.in_flight_send.record_speed(now);
                source.in_flight_send.record_first_result(now);
                source.finish(self.state);
            }
            Ok((head, headers, body))
        };
        let read = monitor.timeout_within(max_wait, time_left, read).await;
        let (head, headers, body) = match read {
            Ok(read) => read?,
            Err(_) => return Err(SendOutcome::NotRun(self.record_unresponsive(at))),
        };
        let prefilled = self.state.codec.decode_prefill_result(&body);
        let engine = {
            let fleet = self.state.fleet.borrow();
            fleet
                .get(at)
                .map(|upstream| (upstream.report.addr, upstream.version()))
        };
        let (true, Some(prefilled), Some((source, version))) =
            (head.status.is_success(), prefilled, engine)
        else {
            return Err(SendOutcome::Response(UpstreamResponse {
                head: ResponseHead {
                    // A prefill does not run the request, whatever the response is.
                    refusal: head.refusal.or(Some(Refusal::NotRun)),
                    ..head
                },
                headers,
                body: ResponseBody::Whole(body),
            }));
        };
        // A successful prefill does not count as an attempt of its own.
        self.has_prefill = true;
        self.sends = sends_before;
        self.request.progress.borrow_mut().sends = sends_before;
        let took = self.state.now().since(began);
        self.request.progress.borrow_mut().prefill = Some(took);
        self.record_prefill_time(at, took);
        Ok(PrefillHandle {
            source,
            name: prefilled.handle,
            version,
            state: Rc::clone(self.state),
            is_transferred: false,
        })
    }

    fn record_prefill_time(&self, at: UpstreamKey, took: Duration) {
        let Some(work) = &self.request.head.work else {
            return;
        };
        let mut fleet = self.state.fleet.borrow_mut();
        fleet.record_prefix_use(work, at, self.state.now());
        if let Some(own) = work.blocks.last() {
            fleet.record_prefill(&self.request.service.name, own.tokens, took);
        }
    }
}
