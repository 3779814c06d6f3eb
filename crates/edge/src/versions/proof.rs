//! Proof that one version alone can have begun a stream.
//!
//! The list of instances as read before the caller took the stream up proves nothing: while this
//! process was paused or cut off, upstreams of another version may have joined and begun the stream
//! through other instances. A read that began afterwards contains them.

use std::cell::Cell;
use std::future::Future;
use std::pin::pin;
use std::time::Duration;

use futures::future::{Either, select};
use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_policy::edge::software_versions::{VersionHistory, VersionTag};
use nutmegbay_policy::edge::stream_origins::ServiceTag;
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::platform_api::WireCodec;
use crate::state::EdgeState;

/// Maximum wait for a read of the list. A slow store takes a quarter of a second for a response, and
/// a read that is under way has to end first.
const PROOF_TIMEOUT: Duration = Duration::from_millis(600);

/// Minimum time between two reads for proofs, per running process: all processes together read the
/// list at most 500 times per second.
const PROOF_SPACING_PER_PROCESS: Duration = Duration::from_millis(2);

/// Reads of the list of instances for which a decision waits.
#[derive(Debug, Default)]
pub struct ListDemand {
    /// Earliest start of a read that is recent enough, and the end of the wait for it.
    wanted: Cell<Option<(MonotonicTime, MonotonicTime)>>,
    changed: Notify,
    /// Notified when a read has failed.
    failed: Notify,
}

impl ListDemand {
    fn request(&self, since: MonotonicTime, until: MonotonicTime) {
        let wanted = self.wanted.get().unwrap_or((since, until));
        self.wanted
            .set(Some((wanted.0.max(since), wanted.1.max(until))));
        self.changed.notify_one();
    }

    /// Records that the list could not be read, which ends the waits for it.
    pub fn record_failure(&self) {
        self.wanted.set(None);
        self.failed.notify_waiters();
    }

    fn is_pending(&self, read_at: Option<MonotonicTime>, now: MonotonicTime) -> bool {
        let wanted = self.wanted.get();
        wanted.is_some_and(|(since, until)| Some(since) > read_at && now < until)
    }
}

impl<D: WireCodec> EdgeState<D> {
    /// Waits until a decision needs the list of instances to be read again.
    pub async fn wait_for_list_demand(&self) {
        let read_at = self.known_records.borrow().instances_read_at;
        while !self.list_demand.is_pending(read_at, self.now()) {
            self.list_demand.changed.notified().await;
        }
        let processes = u32::try_from(self.process_count()).unwrap_or(u32::MAX);
        let spacing = PROOF_SPACING_PER_PROCESS.saturating_mul(processes);
        if let Some(read_at) = read_at {
            sleep(read_at.plus(spacing).since(self.now())).await;
        }
    }

    /// Waits until the list of instances was read by this process in a read that began at `since` or
    /// later, or cannot be read.
    pub async fn confirm_list(&self, since: MonotonicTime) {
        let until = self.now().plus(PROOF_TIMEOUT);
        let is_read = || self.known_records.borrow().instances_read_at >= Some(since);
        self.wait_for_read(until, is_read, || {
            self.list_demand.request(since, until);
        })
        .await;
    }

    /// Waits until `is_read` holds after a read of the store, one fails, or `until`. Calls `request`
    /// before each wait.
    async fn wait_for_read(
        &self,
        until: MonotonicTime,
        is_read: impl Fn() -> bool,
        request: impl Fn(),
    ) {
        let read = async {
            loop {
                let mut done = pin!(self.read_done.notified());
                done.as_mut().enable();
                if is_read() {
                    return;
                }
                request();
                done.await;
            }
        };
        tokio::select! {
            () = read => {}
            () = self.list_demand.failed.notified() => {}
            () = sleep(until.since(self.now())) => {}
        }
    }
}

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
    // Another read does not make the known versions fewer.
    if read_history(|history| history.len() > 1) {
        return None;
    }
    state.confirm_list(taken_up_at).await;
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
