//! Attempts of model work by request. The engine cancels by request ID alone, so a new attempt of a
//! request starts only after the previous one is cancelled. Otherwise the cancellation of the
//! previous attempt would end the new one.

use std::collections::HashMap;
use std::sync::Mutex;

use nutmegbay_core::ids::RequestId;
use tokio::time::{Duration, Instant, timeout_at};
use tokio_util::sync::CancellationToken;

use crate::state::lock;

/// Time within which a superseded attempt has to end before the later one cancels it.
const PREVIOUS_ATTEMPT_TIMEOUT: Duration = Duration::from_secs(1);

/// Latest attempt of each request in progress.
#[derive(Default)]
pub(crate) struct RequestRegistry(Mutex<HashMap<RequestId, LatestAttempt>>);

struct LatestAttempt {
    number: u32,
    superseded: CancellationToken,
    ended: CancellationToken,
    cancelled_by_successor: CancellationToken,
}

/// Registration of one attempt of a request.
pub(crate) struct RegisteredAttempt {
    id: RequestId,
    number: u32,
    registered_at: Instant,
    /// Cancelled when a later attempt arrives.
    pub(crate) superseded: CancellationToken,
    /// Cancelled when this attempt has ended at the engine.
    ended: CancellationToken,
    /// Cancelled when a later attempt takes over the cancellation of this one at the engine.
    cancelled_by_successor: CancellationToken,
    previous: Option<PreviousAttempt>,
}

/// Attempt that a registered attempt supersedes.
struct PreviousAttempt {
    ended: CancellationToken,
    cancelled_by_successor: CancellationToken,
}

impl RequestRegistry {
    /// Registers attempt `number` of request `id` and supersedes an earlier one. Returns `None` if
    /// the same or a later attempt is registered.
    pub(crate) fn register(&self, id: RequestId, number: u32) -> Option<RegisteredAttempt> {
        let mut latest_attempts = lock(&self.0);
        let previous = match latest_attempts.get(&id) {
            Some(latest) if latest.number >= number => return None,
            Some(latest) => {
                latest.superseded.cancel();
                Some(PreviousAttempt {
                    ended: latest.ended.clone(),
                    cancelled_by_successor: latest.cancelled_by_successor.clone(),
                })
            }
            None => None,
        };
        let (superseded, ended) = (CancellationToken::new(), CancellationToken::new());
        let cancelled_by_successor = CancellationToken::new();
        let latest = LatestAttempt {
            number,
            superseded: superseded.clone(),
            ended: ended.clone(),
            cancelled_by_successor: cancelled_by_successor.clone(),
        };
        latest_attempts.insert(id, latest);
        Some(RegisteredAttempt {
            id,
            number,
            registered_at: Instant::now(),
            superseded,
            ended,
            cancelled_by_successor,
            previous,
        })
    }

    /// Removes an attempt that has ended at the engine.
    pub(crate) fn unregister(&self, attempt: &RegisteredAttempt) {
        let mut latest_attempts = lock(&self.0);
        let is_latest = |latest: &LatestAttempt| latest.number == attempt.number;
        if latest_attempts.get(&attempt.id).is_some_and(is_latest) {
            latest_attempts.remove(&attempt.id);
        }
        attempt.ended.cancel();
    }
}

impl RegisteredAttempt {
    /// Waits until the previous attempt has ended at the engine. Returns false if it has not ended
    /// within [`PREVIOUS_ATTEMPT_TIMEOUT`]: if its gateway has stopped reading, nothing polls its
    /// stream. Cancel-safe: the future can be dropped and created again.
    pub(crate) async fn wait_previous_ended(&self) -> bool {
        let deadline = self.registered_at + PREVIOUS_ATTEMPT_TIMEOUT;
        match &self.previous {
            Some(previous) => timeout_at(deadline, previous.ended.cancelled())
                .await
                .is_ok(),
            None => true,
        }
    }

    /// Marks the previous attempt as cancelled by this one, so that it does not cancel the request
    /// at the engine itself later.
    pub(crate) fn take_over_cancellation(&mut self) {
        if let Some(previous) = self.previous.take() {
            previous.cancelled_by_successor.cancel();
        }
    }

    /// Returns whether a later attempt has taken over the cancellation of this one at the engine.
    pub(crate) fn is_cancelled_by_successor(&self) -> bool {
        self.cancelled_by_successor.is_cancelled()
    }
}
