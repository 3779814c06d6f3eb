//! Keeps requests that have crashed an upstream from crashing more.

use std::time::Duration;

use nutmegbay_core::attempt::TicketId;
use nutmegbay_core::ids::Fingerprint;
use nutmegbay_core::quarantine::RunEnd;
use nutmegbay_core::verdict::Verdict;
use nutmegbay_proto::control::{SidecarControlClient, SidecarQuery};
use nutmegbay_proto::problem::{Problem, ProblemKind};
use tokio::time::timeout;

use crate::gateway::Gateway;
use crate::state::Input;
use crate::state::suspects::RunPermit;
use crate::state::upstreams::Upstream;

/// Time for a sidecar to name the requests that were running during a crash.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

/// Longest time for which an error is held until every gateway can know of the crash. Without a log
/// and with a peer that cannot be reached, it would be held for ever.
const HOLD_TIMEOUT: Duration = Duration::from_secs(5);

/// A request that runs alone. Unless it survives, its end counts as not finished.
pub struct Alone<'a> {
    gateway: &'a Gateway,
    fingerprint: Fingerprint,
    end: RunEnd,
}

impl Alone<'_> {
    /// The upstream has survived the request.
    pub fn survived(mut self) {
        self.end = RunEnd::Survived;
    }
}

impl Drop for Alone<'_> {
    fn drop(&mut self) {
        self.gateway
            .notify_state(Input::RunEnded(self.fingerprint, self.end));
    }
}

/// Waits until a request may run; the result is set if it runs alone. `verdict` tells what is known
/// of earlier attempts at it.
pub async fn admit(
    gateway: &Gateway,
    fingerprint: Fingerprint,
    verdict: Verdict,
) -> Result<Option<Alone<'_>>, Problem> {
    if !gateway.view().suspects.contains(&fingerprint) {
        return Ok(None);
    }
    let ticket = gateway.ticket();
    let waiting = Waiting { gateway, ticket };
    let permit = gateway
        .query_state(|reply| Input::AdmitSuspect(ticket, fingerprint, reply))
        .await;
    std::mem::forget(waiting);
    match permit {
        Some(RunPermit::Concurrent) => Ok(None),
        Some(RunPermit::Alone) => Ok(Some(Alone {
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

/// A request that waits for its permit; tells the state task when its caller leaves.
struct Waiting<'a> {
    gateway: &'a Gateway,
    ticket: TicketId,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.gateway
            .notify_state(Input::SuspectCallerLeft(self.ticket));
    }
}

/// Makes the crash of an upstream known to every gateway, since the caller may send the request again
/// at once, under a new identity and to any of them.
pub async fn report(gateway: &Gateway, upstream: &Upstream, fingerprint: Fingerprint) {
    let Some(client) = gateway.clients.get(upstream.control) else {
        return;
    };
    let query = SidecarQuery {
        cache_from: u64::MAX,
        ..SidecarQuery::default()
    };
    let status = timeout(REPORT_TIMEOUT, SidecarControlClient::status(&client, query)).await;
    let Ok(Ok(status)) = status else {
        tracing::warn!(event = "crash_not_reported", upstream = %upstream.name);
        return;
    };
    let known = gateway.query_state(|reply| Input::ReportCrash(status.crashes, fingerprint, reply));
    if timeout(HOLD_TIMEOUT, known).await.is_err() {
        tracing::warn!(event = "crash_not_acknowledged", upstream = %upstream.name);
    }
}
