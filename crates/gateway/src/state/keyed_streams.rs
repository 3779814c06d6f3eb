//! Registry of open streams by access key, which ends them when their key is no longer valid.

use std::collections::HashMap;
use std::pin::Pin;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};

use nutmegbay_proto::problem::ProblemKind;
use tokio_util::sync::{CancellationToken, WaitForCancellationFutureOwned};

/// The key was withdrawn.
const WITHDRAWN: u8 = 1;

/// The replica is too old to confirm that the key is valid.
const STALE: u8 = 2;

/// Open streams grouped by access key.
#[derive(Default)]
pub struct KeyedStreams {
    groups: Mutex<HashMap<Box<str>, Arc<StreamGroup>>>,
}

/// All open streams of one key. `reason` is [`WITHDRAWN`] or [`STALE`] once `token` is cancelled.
#[derive(Default)]
struct StreamGroup {
    token: CancellationToken,
    reason: AtomicU8,
}

/// Signals one stream that it must end, because its key is withdrawn or can no longer be confirmed.
pub struct RevocationSignal {
    group: Arc<StreamGroup>,
    cancelled: Pin<Box<WaitForCancellationFutureOwned>>,
}

impl KeyedStreams {
    /// Registers a stream under `key`. The caller must check the key again afterwards: a withdrawal
    /// between its first check and this call does not end the stream.
    pub fn register(&self, key: &str) -> RevocationSignal {
        let mut groups = self.groups.lock().unwrap_or_else(PoisonError::into_inner);
        let group = match groups.get(key) {
            Some(group) => Arc::clone(group),
            None => Arc::clone(groups.entry(key.into()).or_default()),
        };
        RevocationSignal {
            cancelled: Box::pin(group.token.clone().cancelled_owned()),
            group,
        }
    }

    /// Ends the streams of a withdrawn key.
    pub fn withdraw(&self, key: &str) {
        let mut groups = self.groups.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(group) = groups.remove(key) {
            group.end(WITHDRAWN);
        }
    }

    /// Ends all keyed streams, because this instance can no longer confirm that their keys are
    /// valid.
    pub fn end_all(&self) {
        let mut groups = self.groups.lock().unwrap_or_else(PoisonError::into_inner);
        for (_, group) in groups.drain() {
            group.end(STALE);
        }
    }
}

impl StreamGroup {
    fn end(&self, reason: u8) {
        self.reason.store(reason, Ordering::Release);
        self.token.cancel();
    }
}

impl RevocationSignal {
    /// Polls for the signal and returns the reason.
    pub fn poll(&mut self, cx: &mut Context<'_>) -> Poll<ProblemKind> {
        self.cancelled.as_mut().poll(cx).map(|()| self.reason())
    }

    /// Waits for the signal and returns the reason.
    pub async fn wait(&mut self) -> ProblemKind {
        self.cancelled.as_mut().await;
        self.reason()
    }

    fn reason(&self) -> ProblemKind {
        match self.group.reason.load(Ordering::Acquire) {
            STALE => ProblemKind::StaleState,
            _ => ProblemKind::KeyWithdrawn,
        }
    }
}
