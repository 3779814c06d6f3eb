//! Proof that one version alone can have begun a stream.
//!
//! The list of instances as read before the caller took the stream up proves nothing: while this
//! process was paused or cut off, upstreams of another version may have joined and begun the stream
//! through other instances. A read that began afterwards contains them. Where another version is
//! listed, a read of the versions in use shows whether a stream may have begun there.

use std::future::Future;
use std::pin::pin;

use futures::future::{Either, select};
use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_policy::edge::software_versions::{VersionHistory, VersionTag};
use nutmegbay_policy::edge::stream_origins::ServiceTag;

use super::held::confirm_versions;
use crate::list_demand::PROOF_TIMEOUT;
use crate::platform_api::WireCodec;
use crate::state::EdgeState;

/// Returns the version of all streams of `service` that can have been taken up at `taken_up_at`, or
/// `None` if there may be several or it cannot be proved in time.
pub async fn only_version<D: WireCodec>(
    state: &EdgeState<D>,
    service: ServiceTag,
    taken_up_at: MonotonicTime,
) -> Option<VersionTag> {
    let read_history = |f: fn(&VersionHistory) -> bool| {
        let mut versions = state.versions.borrow_mut();
        versions
            .tagged(service)
            .is_some_and(|known| f(&known.history))
    };
    if !read_history(VersionHistory::has_several) {
        state.confirm_list(taken_up_at).await;
    }
    // Another read does not make the versions in use fewer.
    if read_history(VersionHistory::has_several_in_use) {
        return None;
    }
    if read_history(VersionHistory::has_several) {
        confirm_versions(state, service, taken_up_at).await;
    }
    if !read_history(VersionHistory::is_complete) {
        // A process that has just started reads the versions of before after the list.
        let until = taken_up_at.plus(PROOF_TIMEOUT);
        let is_complete = || read_history(VersionHistory::is_complete);
        state.wait_for_read(until, is_complete, || {}).await;
    }
    let read_at = state.known_records.borrow().instances_read_at;
    let mut versions = state.versions.borrow_mut();
    let known = versions.tagged(service)?;
    known.history.proved(read_at, taken_up_at)
}

/// Returns the first value of two futures, or `None` once both have none.
pub async fn first_some<T>(
    a: impl Future<Output = Option<T>>,
    b: impl Future<Output = Option<T>>,
) -> Option<T> {
    match select(pin!(a), pin!(b)).await {
        Either::Left((None, b)) => b.await,
        Either::Right((None, a)) => a.await,
        Either::Left((found, _)) | Either::Right((found, _)) => found,
    }
}
