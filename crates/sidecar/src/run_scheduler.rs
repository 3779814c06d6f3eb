//! Schedules runs on the upstream. An exclusive run starts only when no other run is in progress.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use nutmegbay_core::guard::RunQueue;
use tokio::sync::oneshot;

use crate::state::lock;

/// Decides when each run may start, in order of arrival (see [`RunQueue`]).
#[derive(Default)]
pub(crate) struct RunScheduler {
    next_run: AtomicU64,
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    queue: RunQueue,
    /// Start signals of the runs that wait, by run.
    start_signals: HashMap<u64, oneshot::Sender<()>>,
}

/// Permit of a run that waits or has started. Dropping it ends the run.
pub(crate) struct RunPermit {
    scheduler: Arc<RunScheduler>,
    run: u64,
    /// Start signal, `None` once the run may start.
    start_signal: Option<oneshot::Receiver<()>>,
}

impl RunScheduler {
    /// Enqueues a run. An exclusive run excludes all other runs while it is in progress.
    pub(crate) fn enqueue(self: &Arc<Self>, exclusive: bool) -> RunPermit {
        let run = self.next_run.fetch_add(1, Ordering::Relaxed);
        let mut inner = lock(&self.inner);
        let start_signal = if inner.queue.add(run, exclusive) {
            None
        } else {
            let (tx, rx) = oneshot::channel();
            inner.start_signals.insert(run, tx);
            Some(rx)
        };
        drop(inner);
        RunPermit {
            scheduler: Arc::clone(self),
            run,
            start_signal,
        }
    }

    /// Returns the number of runs that wait to start.
    pub(crate) fn waiting(&self) -> u32 {
        u32::try_from(lock(&self.inner).queue.waiting()).unwrap_or(u32::MAX)
    }
}

impl RunPermit {
    /// Returns when the run may start. Cancel-safe: the future can be dropped and created again.
    pub(crate) async fn wait_start(&mut self) {
        if let Some(rx) = &mut self.start_signal {
            // The sender is consumed by sending, or dropped together with this permit.
            let _ = rx.await;
            self.start_signal = None;
        }
    }
}

impl Drop for RunPermit {
    fn drop(&mut self) {
        let mut inner = lock(&self.scheduler.inner);
        inner.start_signals.remove(&self.run);
        for run in inner.queue.remove(self.run) {
            if let Some(tx) = inner.start_signals.remove(&run) {
                // If the receiver was dropped, the drop of its permit ends the run.
                let _ = tx.send(());
            }
        }
    }
}
