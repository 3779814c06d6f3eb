//! Model work by request identity. The engine cancels by identity alone, so a new attempt of a
//! request starts only after the previous one is cancelled; otherwise that cancel would hit it.

use std::collections::HashMap;
use std::sync::Mutex;

use nutmegbay_core::ids::RequestId;
use tokio::time::{Duration, Instant, timeout_at};
use tokio_util::sync::CancellationToken;

use crate::state::lock;

/// Time for an attempt to end by itself when a later one arrives.
const PREVIOUS_WAIT: Duration = Duration::from_secs(1);

/// Running attempts by request.
#[derive(Default)]
pub(crate) struct Requests(Mutex<HashMap<RequestId, Entry>>);

struct Entry {
    attempt: u32,
    stop: CancellationToken,
    gone: CancellationToken,
    taken_over: CancellationToken,
}

/// The place of one attempt among the requests.
pub(crate) struct Attempt {
    id: RequestId,
    number: u32,
    arrived: Instant,
    /// Cancelled when a later attempt arrives.
    pub(crate) stop: CancellationToken,
    gone: CancellationToken,
    /// Cancelled when a later attempt has cancelled this one at the engine.
    taken_over: CancellationToken,
    previous: Option<Previous>,
}

struct Previous {
    gone: CancellationToken,
    taken_over: CancellationToken,
}

impl Requests {
    /// Registers an attempt and stops an earlier one; none if a later or equal one is known.
    pub(crate) fn enter(&self, id: RequestId, attempt: u32) -> Option<Attempt> {
        let mut entries = lock(&self.0);
        let previous = match entries.get(&id) {
            Some(entry) if entry.attempt >= attempt => return None,
            Some(entry) => {
                entry.stop.cancel();
                Some(Previous {
                    gone: entry.gone.clone(),
                    taken_over: entry.taken_over.clone(),
                })
            }
            None => None,
        };
        let (stop, gone) = (CancellationToken::new(), CancellationToken::new());
        let taken_over = CancellationToken::new();
        let entry = Entry {
            attempt,
            stop: stop.clone(),
            gone: gone.clone(),
            taken_over: taken_over.clone(),
        };
        entries.insert(id, entry);
        Some(Attempt {
            id,
            number: attempt,
            arrived: Instant::now(),
            stop,
            gone,
            taken_over,
            previous,
        })
    }

    /// Removes an attempt that has ended at the engine.
    pub(crate) fn leave(&self, attempt: &Attempt) {
        let mut entries = lock(&self.0);
        let is_latest = |entry: &Entry| entry.attempt == attempt.number;
        if entries.get(&attempt.id).is_some_and(is_latest) {
            entries.remove(&attempt.id);
        }
        attempt.gone.cancel();
    }
}

impl Attempt {
    /// Waits until the previous attempt has ended at the engine. Returns false if it has not within
    /// [`PREVIOUS_WAIT`]: its gateway may have stopped reading, so that nothing moves it. May be
    /// dropped and called again.
    pub(crate) async fn previous_gone(&self) -> bool {
        let until = self.arrived + PREVIOUS_WAIT;
        match &self.previous {
            Some(previous) => timeout_at(until, previous.gone.cancelled()).await.is_ok(),
            None => true,
        }
    }

    /// Notes that this attempt cancels the previous one at the engine, which must not do so later.
    pub(crate) fn take_over(&mut self) {
        if let Some(previous) = self.previous.take() {
            previous.taken_over.cancel();
        }
    }

    /// Whether a later attempt has cancelled this one at the engine.
    pub(crate) fn is_taken_over(&self) -> bool {
        self.taken_over.is_cancelled()
    }
}
