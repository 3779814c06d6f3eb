//! Keeps a stream at the software version that began it.

use http::StatusCode;
use nutmegbay_core::verdict::Verdict;
use nutmegbay_policy::UpstreamKey;
use nutmegbay_policy::edge::admission::retry_after;
use nutmegbay_policy::edge::placement::Placement;
use nutmegbay_policy::edge::software_versions::VersionTag;

use super::{Failure, Forwarder, REFUSED_RETRY_MS};
use crate::fleet::{Fleet, InFlightSend, Upstream};
use crate::platform_api::WireCodec;
use crate::versions::{
    TakenUp, held_versions, is_held, record_caller_wait, record_origin, take_into_use,
    version_to_continue,
};

/// Cause of a stream that is not continued because the version that began it is unknown.
const UNKNOWN_STREAM_VERSION: &str = "unknown_stream_version";

/// Cause of a stream that is not continued because no upstream of its version accepts requests.
pub const NO_UPSTREAM_OF_VERSION: &str = "no_upstream_of_version";

/// Cause of a request that is not sent because the upstream is of another version, or no longer
/// known.
const SOFTWARE_VERSION: &str = "software_version";

/// Cause of a stream that does not begin at an upstream because its version is not in use.
const VERSION_NOT_IN_USE: &str = "version_not_in_use";

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
        if self.is_held(&fleet, at) {
            return Err(VERSION_NOT_IN_USE);
        }
        may_run.then_some(()).ok_or(SOFTWARE_VERSION)
    }

    /// Returns whether the request is a stream that can be taken up and must not begin at `at` yet.
    fn is_held(&self, fleet: &Fleet, at: UpstreamKey) -> bool {
        if !self.begins_resumable() {
            return false;
        }
        let version = fleet.get(at).map(Upstream::version);
        version.is_some_and(|version| is_held(self.state, &self.request.service.name, version))
    }

    fn begins_resumable(&self) -> bool {
        self.request.route.is_resumable && !self.may_begin_anywhere && self.version().is_none()
    }

    /// Returns the upstreams at which the request must not begin a stream yet.
    pub fn held_upstreams(&self, fleet: &Fleet) -> Vec<UpstreamKey> {
        if !self.begins_resumable() {
            return Vec::new();
        }
        let service = &self.request.service.name;
        let held = held_versions(self.state, service).into_iter();
        held.flat_map(|version| fleet.keys_of_version(service, Some(version)))
            .collect()
    }

    /// Places the request, and refuses a new one that does not get its first result in time. Where the
    /// upstreams of the versions in use have no room for it, the other listed versions are taken into
    /// use first.
    pub async fn place_in_turn(&mut self, is_new: bool) -> Result<Option<Placement>, Failure> {
        let (placed, refused) = self.try_place(is_new);
        let is_held = placed.as_ref().is_some_and(|at| self.is_placed_at_held(at));
        let is_held_or_refused = is_held || refused.is_some();
        if !is_held_or_refused || self.held_upstreams(&self.state.fleet.borrow()).is_empty() {
            return refused.map_or(Ok(placed), Err);
        }
        let is_taken = take_into_use(self.state, &self.request.service.name).await;
        self.may_begin_anywhere = !is_taken && is_held && !self.has_upstream_in_use();
        let (placed, refused) = self.try_place(is_new);
        refused.map_or(Ok(placed), Err)
    }

    fn try_place(&mut self, is_new: bool) -> (Option<Placement>, Option<Failure>) {
        let placed = self.place();
        let new = placed.as_ref().filter(|_| is_new);
        let refused = new.and_then(|placement| self.admit(placement).err());
        (placed, refused)
    }

    fn is_placed_at_held(&self, placement: &Placement) -> bool {
        let fleet = self.state.fleet.borrow();
        match placement {
            Placement::Whole { at, .. } => self.is_held(&fleet, *at),
            Placement::Split {
                prefill, decode, ..
            } => self.is_held(&fleet, *prefill) || self.is_held(&fleet, *decode),
        }
    }

    /// Returns whether an upstream of a version in use takes requests.
    fn has_upstream_in_use(&self) -> bool {
        let now = self.state.now();
        let fleet = self.state.fleet.borrow();
        let held = self.held_upstreams(&fleet);
        let mut keys = fleet.keys_of_version(&self.request.service.name, None);
        keys.any(|key| fleet.takes_work(key, now) && !held.contains(&key))
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
