//! One run of a model request and the callers that read its answer.
//!
//! Identical requests share one run. An executor task appends tokens to it, and each caller
//! subscribes and reads at its own pace. The text is kept until the last caller has left, because
//! another upstream needs it to resume the answer after a failure.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};

use nutmegbay_proto::frame::End;
use nutmegbay_proto::problem::Problem;
use tokio::sync::Notify;

/// Number of tokens that the executor reads ahead of the fastest caller before it stops reading
/// from the upstream.
const READ_AHEAD: usize = 64;

/// Answer of one run, written by the executor and read by its subscribers.
#[derive(Default)]
pub struct SharedRun {
    state: Mutex<RunState>,
    /// Wakes the executor when a caller has read tokens.
    read_progress: Notify,
    /// Wakes the executor when a caller has left.
    subscriber_left: Notify,
}

#[derive(Default)]
struct RunState {
    text: String,
    /// Byte offset in `text` after each token.
    token_ends: Vec<u32>,
    result: Option<Result<End, Box<Problem>>>,
    subscribers: Vec<Subscriber>,
    is_usage_counted: bool,
    may_have_run: bool,
}

/// Read position of one caller.
#[derive(Default)]
struct Subscriber {
    is_active: bool,
    tokens_read: usize,
    waker: Option<Waker>,
}

/// Index of a caller within its shared run.
#[derive(Debug, Clone, Copy)]
pub struct SubscriberId(usize);

/// Result of one read by a caller.
#[derive(Debug, PartialEq, Eq)]
pub enum ReadResult {
    /// New tokens were passed to the visitor.
    Tokens,
    /// The answer is complete, with its total number of tokens.
    End(End, u32),
    /// The run failed.
    Failed(Box<Problem>),
}

impl SharedRun {
    fn lock(&self) -> MutexGuard<'_, RunState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Creates a run with one subscriber.
    pub fn start() -> (Arc<Self>, SubscriberId) {
        let shared_run = Self::default();
        shared_run.lock().subscribers.push(Subscriber::active());
        (Arc::new(shared_run), SubscriberId(0))
    }

    /// Adds a subscriber. Returns `None` if all subscribers have left or the run has failed.
    pub fn join(&self) -> Option<SubscriberId> {
        let mut state = self.lock();
        let is_abandoned = state
            .subscribers
            .iter()
            .all(|subscriber| !subscriber.is_active);
        if is_abandoned || matches!(state.result, Some(Err(_))) {
            return None;
        }
        state.subscribers.push(Subscriber::active());
        Some(SubscriberId(state.subscribers.len() - 1))
    }

    /// Removes a subscriber. The executor stops when the last one has left.
    pub fn leave(&self, id: SubscriberId) {
        self.lock().subscribers[id.0] = Subscriber::default();
        self.subscriber_left.notify_one();
    }

    /// Passes the tokens that the subscriber has not read yet to `visit`.
    pub fn poll_next(
        &self,
        id: SubscriberId,
        cx: &mut Context<'_>,
        mut visit: impl FnMut(&str),
    ) -> Poll<ReadResult> {
        let mut guard = self.lock();
        let state = &mut *guard;
        let subscriber = &mut state.subscribers[id.0];
        if subscriber.tokens_read < state.token_ends.len() {
            let mut from = subscriber
                .tokens_read
                .checked_sub(1)
                .map_or(0, |i| state.token_ends[i] as usize);
            for end in &state.token_ends[subscriber.tokens_read..] {
                let end = *end as usize;
                visit(&state.text[from..end]);
                from = end;
            }
            subscriber.tokens_read = state.token_ends.len();
            drop(guard);
            self.read_progress.notify_one();
            return Poll::Ready(ReadResult::Tokens);
        }
        match &state.result {
            Some(Ok(end)) => {
                let count = u32::try_from(state.token_ends.len()).unwrap_or(u32::MAX);
                Poll::Ready(ReadResult::End(end.clone(), count))
            }
            Some(Err(problem)) => Poll::Ready(ReadResult::Failed(problem.clone())),
            None => {
                if !subscriber
                    .waker
                    .as_ref()
                    .is_some_and(|w| w.will_wake(cx.waker()))
                {
                    subscriber.waker = Some(cx.waker().clone());
                }
                Poll::Pending
            }
        }
    }

    /// Waits until there is something to read: the first token, the end or a failure.
    pub async fn ready(&self, id: SubscriberId) {
        std::future::poll_fn(|cx| {
            let mut state = self.lock();
            if state.result.is_some()
                || state.subscribers[id.0].tokens_read < state.token_ends.len()
            {
                return Poll::Ready(());
            }
            state.subscribers[id.0].waker = Some(cx.waker().clone());
            Poll::Pending
        })
        .await;
    }

    /// Returns the failure if the run failed before its first token.
    pub fn early_failure(&self) -> Option<Box<Problem>> {
        let state = self.lock();
        match &state.result {
            Some(Err(problem)) if state.token_ends.is_empty() => Some(problem.clone()),
            _ => None,
        }
    }

    /// Returns true only on the first call, so that the usage of a shared run is counted once.
    pub fn claim_usage_count(&self) -> bool {
        !std::mem::replace(&mut self.lock().is_usage_counted, true)
    }

    /// Records whether an upstream may have run the request.
    pub fn set_may_have_run(&self, may_have_run: bool) {
        self.lock().may_have_run = may_have_run;
    }

    /// Returns whether an upstream may have run the request.
    pub fn may_have_run(&self) -> bool {
        self.lock().may_have_run
    }

    /// Appends a token. Returns whether the run is now `READ_AHEAD` tokens ahead of the fastest
    /// caller.
    pub fn push(&self, token: &str) -> bool {
        let mut state = self.lock();
        state.text.push_str(token);
        let end = u32::try_from(state.text.len()).unwrap_or(u32::MAX);
        state.token_ends.push(end);
        state.wake_subscribers();
        state.is_read_ahead_full()
    }

    /// Ends the run with a result; only the first call has an effect.
    pub fn finish(&self, result: Result<End, Box<Problem>>) {
        let mut state = self.lock();
        state.result.get_or_insert(result);
        state.wake_subscribers();
    }

    /// Returns the number of tokens so far.
    pub fn len(&self) -> u32 {
        u32::try_from(self.lock().token_ends.len()).unwrap_or(u32::MAX)
    }

    /// Returns whether there is no token yet.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns a copy of all tokens so far.
    pub fn tokens(&self) -> Vec<Box<str>> {
        let state = self.lock();
        let mut from = 0;
        let token_at = |end: &u32| {
            let token = &state.text[from..*end as usize];
            from = *end as usize;
            token.into()
        };
        state.token_ends.iter().map(token_at).collect()
    }

    /// Waits until the fastest caller is less than `READ_AHEAD` tokens behind.
    pub async fn wait_for_readers(&self) {
        while self.lock().is_read_ahead_full() {
            self.read_progress.notified().await;
        }
    }

    /// Waits until every subscriber has left.
    pub async fn abandoned(&self) {
        loop {
            let notified = self.subscriber_left.notified();
            if self.is_abandoned() {
                return;
            }
            notified.await;
        }
    }

    /// Returns whether every subscriber has left.
    pub fn is_abandoned(&self) -> bool {
        self.lock()
            .subscribers
            .iter()
            .all(|subscriber| !subscriber.is_active)
    }
}

impl Subscriber {
    fn active() -> Self {
        Self {
            is_active: true,
            ..Self::default()
        }
    }
}

impl RunState {
    fn is_read_ahead_full(&self) -> bool {
        let tokens_read = self
            .subscribers
            .iter()
            .map(|subscriber| subscriber.tokens_read)
            .max();
        self.token_ends.len() >= tokens_read.unwrap_or(0) + READ_AHEAD
    }

    fn wake_subscribers(&mut self) {
        for subscriber in &mut self.subscribers {
            if let Some(waker) = subscriber.waker.take() {
                waker.wake();
            }
        }
    }
}
