//! Ends open streams whose key stops being good.

use std::collections::HashMap;
use std::pin::Pin;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};

use nutmegbay_proto::problem::ProblemKind;
use tokio_util::sync::{CancellationToken, WaitForCancellationFutureOwned};

const WITHDRAWN: u8 = 1;
const STALE: u8 = 2;

/// Open streams by key.
#[derive(Default)]
pub struct OpenKeys {
    keys: Mutex<HashMap<Box<str>, Arc<Group>>>,
}

/// All streams under one key.
#[derive(Default)]
struct Group {
    token: CancellationToken,
    reason: AtomicU8,
}

/// Registration of one stream. It resolves when the stream must end.
pub struct Ended {
    group: Arc<Group>,
    wait: Pin<Box<WaitForCancellationFutureOwned>>,
}

impl OpenKeys {
    /// Registers a stream under `key`. The caller must check the key again afterwards, because a
    /// withdrawal between its first check and this call ends only streams registered by then.
    pub fn register(&self, key: &str) -> Ended {
        let mut keys = self.keys.lock().unwrap_or_else(PoisonError::into_inner);
        let group = match keys.get(key) {
            Some(group) => Arc::clone(group),
            None => Arc::clone(keys.entry(key.into()).or_default()),
        };
        Ended {
            wait: Box::pin(group.token.clone().cancelled_owned()),
            group,
        }
    }

    /// Ends the streams of a withdrawn key.
    pub fn withdraw(&self, key: &str) {
        let mut keys = self.keys.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(group) = keys.remove(key) {
            group.end(WITHDRAWN);
        }
    }

    /// Ends all keyed streams, because the instance cannot tell whether their keys are still good.
    pub fn end_all(&self) {
        let mut keys = self.keys.lock().unwrap_or_else(PoisonError::into_inner);
        for (_, group) in keys.drain() {
            group.end(STALE);
        }
    }
}

impl Group {
    fn end(&self, reason: u8) {
        self.reason.store(reason, Ordering::Release);
        self.token.cancel();
    }
}

impl Ended {
    /// Polls for the end.
    pub fn poll(&mut self, cx: &mut Context<'_>) -> Poll<ProblemKind> {
        self.wait.as_mut().poll(cx).map(|()| self.reason())
    }

    /// Waits for the end.
    pub async fn wait(&mut self) -> ProblemKind {
        self.wait.as_mut().await;
        self.reason()
    }

    fn reason(&self) -> ProblemKind {
        match self.group.reason.load(Ordering::Acquire) {
            STALE => ProblemKind::StaleState,
            _ => ProblemKind::KeyWithdrawn,
        }
    }
}
