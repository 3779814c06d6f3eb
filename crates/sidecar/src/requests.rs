//! Model work by request identity. The engine cancels by identity alone, so a new attempt of a
//! request starts only after the previous one is cancelled; otherwise that cancel would hit it.

use std::collections::HashMap;
use std::sync::Mutex;

use nutmegbay_core::ids::RequestId;
use tokio_util::sync::CancellationToken;

use crate::state::lock;

/// Running attempts by request.
#[derive(Default)]
pub(crate) struct Requests(Mutex<HashMap<RequestId, Entry>>);

struct Entry {
    attempt: u32,
    stop: CancellationToken,
    gone: CancellationToken,
}

/// The place of one attempt among the requests.
pub(crate) struct Attempt {
    id: RequestId,
    number: u32,
    /// Cancelled when a later attempt arrives.
    pub(crate) stop: CancellationToken,
    gone: CancellationToken,
    previous: Option<CancellationToken>,
}

impl Requests {
    /// Registers an attempt and stops an earlier one; none if a later or equal one is known.
    pub(crate) fn enter(&self, id: RequestId, attempt: u32) -> Option<Attempt> {
        let mut entries = lock(&self.0);
        let previous = match entries.get(&id) {
            Some(entry) if entry.attempt >= attempt => return None,
            Some(entry) => {
                entry.stop.cancel();
                Some(entry.gone.clone())
            }
            None => None,
        };
        let (stop, gone) = (CancellationToken::new(), CancellationToken::new());
        let entry = Entry {
            attempt,
            stop: stop.clone(),
            gone: gone.clone(),
        };
        entries.insert(id, entry);
        Some(Attempt {
            id,
            number: attempt,
            stop,
            gone,
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
    /// Returns when the previous attempt has ended at the engine.
    pub(crate) async fn previous_gone(&self) {
        if let Some(previous) = &self.previous {
            previous.cancelled().await;
        }
    }
}
