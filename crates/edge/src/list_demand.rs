//! Reads of the list of instances for which a decision waits, since the list has to be newer than an
//! event. All decisions that wait share a read.

use std::cell::Cell;
use std::pin::pin;
use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::platform_api::WireCodec;
use crate::state::EdgeState;

/// Maximum wait for a read of the list. A slow store takes a quarter of a second for a response, and
/// a read that is under way has to end first.
pub const PROOF_TIMEOUT: Duration = Duration::from_millis(600);

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
    pub async fn wait_for_read(
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
