//! Versions that are listed but not in use. No stream that can be taken up begins there before the
//! store names the version, so that an instance which finds it missing there knows that none has.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_policy::edge::software_versions::VersionTag;
use nutmegbay_policy::edge::stream_origins::ServiceTag;

use crate::list_demand::PROOF_TIMEOUT;
use crate::platform_api::WireCodec;
use crate::state::EdgeState;

/// Maximum wait until the store names a version as in use.
const TAKE_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after a wait that was in vain in which no other request waits.
const TAKE_PAUSE: Duration = Duration::from_secs(1);

/// Returns whether no stream of `service` that can be taken up must begin at a version yet.
pub fn is_held<D: WireCodec>(state: &EdgeState<D>, service: &str, version: VersionTag) -> bool {
    let versions = state.versions.borrow();
    let known = versions.by_service.get(service);
    known.is_some_and(|known| known.history.is_held(version))
}

/// Returns the versions of `service` at which no stream that can be taken up must begin yet.
pub fn held_versions<D: WireCodec>(state: &EdgeState<D>, service: &str) -> Vec<VersionTag> {
    let versions = state.versions.borrow();
    let known = versions.by_service.get(service);
    known.map_or_else(Vec::new, |known| known.history.held().collect())
}

/// Takes the listed versions of `service` into use, without a wait: those in use have little room.
fn want_listed<D: WireCodec>(state: &EdgeState<D>, service: &str) {
    let mut versions = state.versions.borrow_mut();
    let known = versions.by_service.get_mut(service);
    let Some(known) = known.filter(|known| !known.history.is_wanted()) else {
        return;
    };
    tracing::info!(
        event = "versions_wanted",
        service,
        held = known.history.held().count(),
    );
    known.history.want_listed();
    versions.changed.notify_one();
}

/// Takes the listed versions of `service` into use. Returns whether none is held any more; if not,
/// the store cannot be written, or this process does not know which versions were in use before.
pub async fn take_into_use<D: WireCodec>(state: &EdgeState<D>, service: &str) -> bool {
    let has_none = || held_versions(state, service).is_empty();
    let now = state.now();
    let failed_at = {
        let versions = state.versions.borrow();
        let known = versions.by_service.get(service);
        known.and_then(|known| known.take_failed_at)
    };
    if failed_at.is_some_and(|at| now.since(at) < TAKE_PAUSE) {
        return has_none();
    }
    state
        .wait_for_read(now.plus(TAKE_TIMEOUT), has_none, || {
            want_listed(state, service);
        })
        .await;
    let is_taken = has_none();
    if let Some(known) = state.versions.borrow_mut().by_service.get_mut(service) {
        known.take_failed_at = (!is_taken).then(|| state.now());
    }
    is_taken
}

/// Waits until the versions in use were read from the store in a read that began at `since` or later,
/// or cannot be read. Returns at once in a process that does not read the store.
pub async fn confirm_versions<D: WireCodec>(
    state: &EdgeState<D>,
    service: ServiceTag,
    since: MonotonicTime,
) {
    if state.is_relayed() {
        return;
    }
    let until = state.now().plus(PROOF_TIMEOUT);
    let is_read = || {
        let mut versions = state.versions.borrow_mut();
        let known = versions.tagged(service);
        known.is_none_or(|known| known.history.read_at() >= Some(since))
    };
    state
        .wait_for_read(until, is_read, || {
            let mut versions = state.versions.borrow_mut();
            versions.read_wanted = versions.read_wanted.max(Some(since));
            versions.changed.notify_one();
        })
        .await;
}
