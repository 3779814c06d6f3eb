//! Limits requests that have crashed an upstream, so that they do not crash more of them.

use std::time::Duration;

use nutmegbay_core::attempt::TicketId;
use nutmegbay_core::ids::Fingerprint;
use nutmegbay_core::quarantine::RunEnd;
use nutmegbay_core::verdict::Verdict;
use nutmegbay_proto::control::{SidecarControlClient, SidecarQuery};
use nutmegbay_proto::problem::{Problem, ProblemKind};
use tokio::time::timeout;

use super::executor::ModelRequest;
use crate::gateway::Gateway;
use crate::state::Input;
use crate::state::suspects::RunPermit;
use crate::state::upstreams::Upstream;

/// Maximum time for a sidecar to report the requests that were running during a crash.
const STATUS_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum time for which an error to the caller is delayed until every gateway can know of the
/// crash. Without a log and with an unreachable peer it would be delayed forever.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_secs(5);

/// Permit of a suspect request to run alone on its upstream.
///
/// When it is dropped, the run is recorded as [`RunEnd::NotFinished`], unless
/// [`ExclusiveRun::survived`] was called.
pub struct ExclusiveRun<'a> {
    gateway: &'a Gateway,
    fingerprint: Fingerprint,
    end: RunEnd,
}

impl ExclusiveRun<'_> {
    /// Records that the request completed without a crash of the upstream.
    pub fn survived(mut self) {
        self.end = RunEnd::Survived;
    }
}

impl Drop for ExclusiveRun<'_> {
    fn drop(&mut self) {
        self.gateway
            .notify_state(Input::RunEnded(self.fingerprint, self.end));
    }
}

/// Waits until a request may run. Returns a permit if the request must run alone on its upstream.
///
/// Fails if the request is quarantined or the instance is stopping. `verdict` says whether earlier
/// attempts may have run the request.
pub async fn admit<'a>(
    gateway: &'a Gateway,
    request: &ModelRequest,
    verdict: Verdict,
) -> Result<Option<ExclusiveRun<'a>>, Problem> {
    let exclusive_run = admit_alone(gateway, request.fingerprint, verdict).await?;
    match gateway.crash_history.check_send(&request.contents) {
        Ok(()) => Ok(exclusive_run),
        Err(wait) => {
            gateway.metrics.count("refused_content");
            let detail = "requests with the same content have crashed upstreams";
            let seconds = u32::try_from(wait.as_secs()).unwrap_or(u32::MAX).max(1);
            Err(Problem::new(ProblemKind::Quarantined, verdict, detail).retry_after(seconds))
        }
    }
}

/// Waits until a request that may be suspect itself may run.
async fn admit_alone(
    gateway: &Gateway,
    fingerprint: Fingerprint,
    verdict: Verdict,
) -> Result<Option<ExclusiveRun<'_>>, Problem> {
    if !gateway.view().suspects.contains(&fingerprint) {
        return Ok(None);
    }
    let ticket = gateway.ticket();
    let waiting_request = WaitingRequest { gateway, ticket };
    let permit = gateway
        .query_state(|reply| Input::AdmitSuspect(ticket, fingerprint, reply))
        .await;
    std::mem::forget(waiting_request);
    match permit {
        Some(RunPermit::Concurrent) => Ok(None),
        Some(RunPermit::Alone) => Ok(Some(ExclusiveRun {
            gateway,
            fingerprint,
            end: RunEnd::NotFinished,
        })),
        Some(RunPermit::Refused) => {
            let detail = "this request has crashed upstreams; operators can clear it";
            Err(Problem::new(ProblemKind::Quarantined, verdict, detail))
        }
        None => Err(Problem::new(
            ProblemKind::Internal,
            verdict,
            "the instance is stopping",
        )),
    }
}

/// Request that waits for its permit. When its caller leaves, the drop informs the state task.
struct WaitingRequest<'a> {
    gateway: &'a Gateway,
    ticket: TicketId,
}

impl Drop for WaitingRequest<'_> {
    fn drop(&mut self) {
        self.gateway
            .notify_state(Input::SuspectCallerLeft(self.ticket));
    }
}

/// Reports the crash of an upstream and waits until every gateway can know of it, because the
/// caller may send the request again at once, with a new request identifier and to any gateway.
///
/// `sent_ms` is the wall-clock time at which the request was sent, in milliseconds since 1970.
pub async fn report_crash(
    gateway: &Gateway,
    upstream: &Upstream,
    request: &ModelRequest,
    sent_ms: u64,
) {
    let fingerprint = request.fingerprint;
    let Some(client) = gateway.clients.get(upstream.control) else {
        return;
    };
    let query = SidecarQuery {
        cache_from: u64::MAX,
        ..SidecarQuery::default()
    };
    let status = timeout(STATUS_TIMEOUT, SidecarControlClient::status(&client, query)).await;
    let Ok(Ok(status)) = status else {
        tracing::warn!(event = "crash_not_reported", upstream = %upstream.name);
        return;
    };
    let mut reports = status.crashes.iter();
    if let Some(report) = reports.rfind(|report| report.running.contains(&fingerprint)) {
        let history = &gateway.crash_history;
        history.record_crash(&request.contents, report.crash, sent_ms);
    }
    let acknowledged =
        gateway.query_state(|reply| Input::ReportCrash(status.crashes, fingerprint, reply));
    if timeout(ACKNOWLEDGE_TIMEOUT, acknowledged).await.is_err() {
        tracing::warn!(event = "crash_not_acknowledged", upstream = %upstream.name);
    }
}
