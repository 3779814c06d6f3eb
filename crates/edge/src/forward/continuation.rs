//! Keeps a stream at the software version that began it.

use http::StatusCode;
use nutmegbay_core::verdict::Verdict;
use nutmegbay_policy::UpstreamKey;
use nutmegbay_policy::edge::admission::retry_after;
use nutmegbay_policy::edge::software_versions::VersionTag;

use super::{Failure, Forwarder, REFUSED_RETRY_MS};
use crate::fleet::InFlightSend;
use crate::platform_api::WireCodec;
use crate::versions::{TakenUp, record_caller_wait, record_origin, version_to_continue};

/// Cause of a stream that is not continued because the version that began it is unknown.
const UNKNOWN_STREAM_VERSION: &str = "unknown_stream_version";

/// Cause of a stream that is not continued because no upstream of its version accepts requests.
pub const NO_UPSTREAM_OF_VERSION: &str = "no_upstream_of_version";

/// Cause of a request that is not sent because the upstream is of another version, or no longer
/// known.
const SOFTWARE_VERSION: &str = "software_version";

impl<D: WireCodec> Forwarder<'_, D> {
    /// Finds the version at which a stream that the caller takes up must be continued. Fails if it
    /// is not known.
    pub async fn find_version(&self) -> Result<(), Failure> {
        let request = self.request;
        if !request.is_taken_up() {
            return Ok(());
        }
        record_caller_wait(
            self.state,
            &request.service.name,
            request.head.caller_wait(),
        );
        let taken_up = TakenUp {
            service: &request.service,
            attempt: request.head.resumes.as_deref(),
            read_at: request.arrived,
        };
        let version = version_to_continue(self.state, taken_up).await;
        let Some(known) = version else {
            return Err(Failure {
                status: StatusCode::SERVICE_UNAVAILABLE,
                verdict: Verdict::NotRun,
                cause: UNKNOWN_STREAM_VERSION,
                retry_after: Some(retry_after(REFUSED_RETRY_MS, rand::random())),
            });
        };
        request.progress.borrow_mut().version = version;
        let is_listed = {
            let fleet = self.state.fleet.borrow();
            fleet
                .listed_versions(&request.service.name)
                .any(|listed| listed == known)
        };
        if !is_listed {
            // Its upstreams may have joined since the list was read.
            self.state.confirm_list(request.arrived).await;
        }
        Ok(())
    }

    /// Returns the version of the only upstreams to which the request may be sent, or `None` if any
    /// may run it: that of the stream, or before its first event that of the prefill result.
    pub fn version(&self) -> Option<VersionTag> {
        let of_stream = self.request.progress.borrow().version;
        of_stream.or(self.prefill_version)
    }

    /// Returns the cause if the request must not be sent to an upstream because of its version.
    pub fn check_version(&self, at: UpstreamKey) -> Result<(), &'static str> {
        let fleet = self.state.fleet.borrow();
        let may_run = match self.version() {
            Some(version) => fleet.has_version(at, version),
            None => fleet.get(at).is_some(),
        };
        may_run.then_some(()).ok_or(SOFTWARE_VERSION)
    }

    /// Records with which version the stream goes on from its first event in this response.
    pub fn record_stream_version(&self, in_flight_send: &InFlightSend) {
        let request = self.request;
        let Some(version) = in_flight_send.version() else {
            return;
        };
        request.progress.borrow_mut().version = Some(version);
        if !request.route.is_resumable {
            return;
        }
        record_caller_wait(
            self.state,
            &request.service.name,
            request.head.caller_wait(),
        );
        for attempt in request.stream_attempts() {
            record_origin(self.state, &request.service.name, attempt, version);
        }
    }
}
