//! Runs on the upstream, some of which must have it to themselves.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use nutmegbay_core::guard::RunQueue;
use tokio::sync::oneshot;

use crate::state::lock;

/// Lets runs in, alone or beside others.
#[derive(Default)]
pub(crate) struct Gate {
    next: AtomicU64,
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    slots: RunQueue,
    waiting: HashMap<u64, oneshot::Sender<()>>,
}

/// A run that has started or waits; it ends when this is dropped.
pub(crate) struct Place {
    gate: Arc<Gate>,
    run: u64,
    started: Option<oneshot::Receiver<()>>,
}

impl Gate {
    /// Asks to run.
    pub(crate) fn enter(self: &Arc<Self>, exclusive: bool) -> Place {
        let run = self.next.fetch_add(1, Ordering::Relaxed);
        let mut inner = lock(&self.inner);
        let started = if inner.slots.add(run, exclusive) {
            None
        } else {
            let (tx, rx) = oneshot::channel();
            inner.waiting.insert(run, tx);
            Some(rx)
        };
        drop(inner);
        Place {
            gate: Arc::clone(self),
            run,
            started,
        }
    }

    /// Number of runs that wait.
    pub(crate) fn waiting(&self) -> u32 {
        u32::try_from(lock(&self.inner).slots.waiting()).unwrap_or(u32::MAX)
    }
}

impl Place {
    /// Returns when the run may start. May be dropped and called again.
    pub(crate) async fn started(&mut self) {
        if let Some(rx) = &mut self.started {
            // The sender is dropped only by sending or together with this place.
            let _ = rx.await;
            self.started = None;
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut inner = lock(&self.gate.inner);
        inner.waiting.remove(&self.run);
        for run in inner.slots.remove(self.run) {
            if let Some(tx) = inner.waiting.remove(&run) {
                // A receiver that is gone has its own place, whose drop ends the run.
                let _ = tx.send(());
            }
        }
    }
}
