//! Makes sure that a connection leads to the start of the upstream that is listed.
//!
//! An upstream may start again under its id, with another software version. Until its new entry is
//! read, what the list says of it is about a process that has ended. Another connection that is open
//! shows nothing: it may be silent for good.

use bytes::Bytes;
use http::StatusCode;
use http_body_util::{BodyExt, Limited};
use nutmegbay_core::verdict::Verdict;
use nutmegbay_policy::UpstreamKey;
use nutmegbay_policy::edge::software_versions::{StartEvidence, StartVerdict};

use super::Forwarder;
use super::attempt::MAX_BUFFERED_BODY;
use crate::http1::{CONNECT_TIMEOUT, CallError, Cause, Connection};
use crate::platform_api::WireCodec;

impl<D: WireCodec> Forwarder<'_, D> {
    /// Checks a connection on which a stream that may be resumed is sent: it begins, or goes on, at
    /// the version in the upstream's entry.
    pub async fn check_start(
        &self,
        at: UpstreamKey,
        connection: &mut Connection,
    ) -> Result<(), CallError> {
        if !self.request.route.is_resumable || connection.has_proved_start() {
            return Ok(());
        }
        let opened_at = self.state.now();
        let Some(known) = self.state.fleet.borrow().known_start(at) else {
            return Err(not_sent());
        };
        let evidence = StartEvidence {
            listed_ms: known.started_ms,
            reported_ms: self.reported_start(connection).await?,
            has_ended: known.has_ended,
            goes_on: self.version().is_some(),
        };
        match evidence.verdict() {
            StartVerdict::Proved => {
                self.state.fleet.borrow_mut().record_proved_start(at);
                connection.record_proved_start();
                Ok(())
            }
            StartVerdict::Assumed => Ok(()),
            StartVerdict::Unknown => {
                // An upstream that has started again lists itself at once.
                self.state.confirm_list(opened_at).await;
                let is_listed = self.state.fleet.borrow().get(at).is_some();
                is_listed.then_some(()).ok_or_else(not_sent)
            }
            StartVerdict::Other => {
                tracing::info!(
                    event = "upstream_started_again",
                    id = %self.request.head.id,
                    upstream = %super::upstream_id(self.state, at),
                    listed_ms = evidence.listed_ms,
                    reported_ms = evidence.reported_ms,
                );
                self.state.fleet.borrow_mut().record_ended(at);
                Err(not_sent())
            }
        }
    }

    /// Asks for the start of the upstream. Returns `None` if it does not report any.
    async fn reported_start(&self, connection: &mut Connection) -> Result<Option<u64>, CallError> {
        let req = self.state.codec.report_request();
        let report = async {
            let response = connection
                .send(req.map(|()| Bytes::new().into()))
                .await
                .ok()?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_BUFFERED_BODY);
            let body = body.collect().await.ok()?.to_bytes();
            Some((status, body))
        };
        let monitor = &self.state.delay_monitor;
        match monitor.timeout(CONNECT_TIMEOUT, report).await {
            Ok(Some((StatusCode::OK, body))) => Ok(self.state.codec.decode_start(&body)),
            Ok(Some(_)) => Ok(None),
            // The connection cannot be used any more.
            Ok(None) | Err(_) => Err(not_sent()),
        }
    }
}

/// Returns the error of a request that was not sent.
fn not_sent() -> CallError {
    CallError {
        verdict: Verdict::NotRun,
        cause: Cause::Connect,
    }
}
