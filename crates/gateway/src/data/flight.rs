//! One piece of model work and the callers that wait for its answer.
//!
//! A pump task writes the answer into the flight, callers read it at their own pace. The text is
//! kept until the last caller has left: it is what a new upstream needs to go on behind it.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};

use nutmegbay_proto::frame::End;
use nutmegbay_proto::problem::Problem;
use tokio::sync::Notify;

/// Tokens that the pump reads ahead of the fastest caller before it stops reading from the
/// upstream.
const READ_AHEAD: usize = 64;

/// Work in flight.
#[derive(Default)]
pub struct Flight {
    inner: Mutex<Inner>,
    /// Wakes a pump that waits for the callers to read on.
    moved: Notify,
    /// Wakes the pump when a caller has left.
    left: Notify,
}

#[derive(Default)]
struct Inner {
    text: String,
    /// End of each token in `text`.
    ends: Vec<u32>,
    done: Option<Result<End, Box<Problem>>>,
    seats: Vec<Seat>,
    is_counted: bool,
    is_dispatched: bool,
}

/// One caller's place in the answer.
#[derive(Default)]
struct Seat {
    is_taken: bool,
    read: usize,
    waker: Option<Waker>,
}

/// Number of a caller within its flight.
#[derive(Debug, Clone, Copy)]
pub struct SeatId(usize);

/// What a caller finds.
#[derive(Debug, PartialEq, Eq)]
pub enum Next {
    /// More text was given to the visitor.
    Tokens,
    /// The answer is complete after this number of tokens.
    End(End, u32),
    /// The work failed.
    Failed(Box<Problem>),
}

impl Flight {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts work with one caller.
    pub fn start() -> (Arc<Self>, SeatId) {
        let flight = Self::default();
        flight.lock().seats.push(Seat::taken());
        (Arc::new(flight), SeatId(0))
    }

    /// Adds a caller, unless the last one has already left or the work has failed.
    pub fn join(&self) -> Option<SeatId> {
        let mut inner = self.lock();
        let is_over = inner.seats.iter().all(|seat| !seat.is_taken);
        if is_over || matches!(inner.done, Some(Err(_))) {
            return None;
        }
        inner.seats.push(Seat::taken());
        Some(SeatId(inner.seats.len() - 1))
    }

    /// Removes a caller.
    pub fn leave(&self, id: SeatId) {
        self.lock().seats[id.0] = Seat::default();
        self.left.notify_one();
    }

    /// Gives the tokens that the caller has not read yet to `visit`.
    pub fn poll_next(
        &self,
        id: SeatId,
        cx: &mut Context<'_>,
        mut visit: impl FnMut(&str),
    ) -> Poll<Next> {
        let mut guard = self.lock();
        let inner = &mut *guard;
        let seat = &mut inner.seats[id.0];
        if seat.read < inner.ends.len() {
            let mut from = seat
                .read
                .checked_sub(1)
                .map_or(0, |i| inner.ends[i] as usize);
            for end in &inner.ends[seat.read..] {
                let end = *end as usize;
                visit(&inner.text[from..end]);
                from = end;
            }
            seat.read = inner.ends.len();
            drop(guard);
            self.moved.notify_one();
            return Poll::Ready(Next::Tokens);
        }
        match &inner.done {
            Some(Ok(end)) => {
                let count = u32::try_from(inner.ends.len()).unwrap_or(u32::MAX);
                Poll::Ready(Next::End(end.clone(), count))
            }
            Some(Err(problem)) => Poll::Ready(Next::Failed(problem.clone())),
            None => {
                if !seat.waker.as_ref().is_some_and(|w| w.will_wake(cx.waker())) {
                    seat.waker = Some(cx.waker().clone());
                }
                Poll::Pending
            }
        }
    }

    /// Waits until there is something to read: the first token, the end or a failure.
    pub async fn ready(&self, id: SeatId) {
        std::future::poll_fn(|cx| {
            let mut inner = self.lock();
            if inner.done.is_some() || inner.seats[id.0].read < inner.ends.len() {
                return Poll::Ready(());
            }
            inner.seats[id.0].waker = Some(cx.waker().clone());
            Poll::Pending
        })
        .await;
    }

    /// The failure, if the work failed before its first token.
    pub fn early_failure(&self) -> Option<Box<Problem>> {
        let inner = self.lock();
        match &inner.done {
            Some(Err(problem)) if inner.ends.is_empty() => Some(problem.clone()),
            _ => None,
        }
    }

    /// Whether this call is the first for this flight: the answer is counted once.
    pub fn count_once(&self) -> bool {
        !std::mem::replace(&mut self.lock().is_counted, true)
    }

    /// Records whether an upstream may have run the work.
    pub fn set_dispatched(&self, is_dispatched: bool) {
        self.lock().is_dispatched = is_dispatched;
    }

    /// Whether an upstream may have run the work.
    pub fn is_dispatched(&self) -> bool {
        self.lock().is_dispatched
    }

    /// Appends a token and returns whether the pump is now far enough ahead of the callers.
    pub fn push(&self, token: &str) -> bool {
        let mut inner = self.lock();
        inner.text.push_str(token);
        let end = u32::try_from(inner.text.len()).unwrap_or(u32::MAX);
        inner.ends.push(end);
        inner.wake();
        inner.is_ahead()
    }

    /// Ends the answer.
    pub fn finish(&self, result: Result<End, Box<Problem>>) {
        let mut inner = self.lock();
        inner.done.get_or_insert(result);
        inner.wake();
    }

    /// Number of tokens so far.
    pub fn len(&self) -> u32 {
        u32::try_from(self.lock().ends.len()).unwrap_or(u32::MAX)
    }

    /// Whether there is no token yet.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// All tokens so far.
    pub fn tokens(&self) -> Vec<Box<str>> {
        let inner = self.lock();
        let mut from = 0;
        let cut = |end: &u32| {
            let token = &inner.text[from..*end as usize];
            from = *end as usize;
            token.into()
        };
        inner.ends.iter().map(cut).collect()
    }

    /// Waits until the callers have caught up.
    pub async fn caught_up(&self) {
        while self.lock().is_ahead() {
            self.moved.notified().await;
        }
    }

    /// Waits until every caller has left.
    pub async fn abandoned(&self) {
        loop {
            let notified = self.left.notified();
            if self.is_abandoned() {
                return;
            }
            notified.await;
        }
    }

    /// Whether every caller has left.
    pub fn is_abandoned(&self) -> bool {
        self.lock().seats.iter().all(|seat| !seat.is_taken)
    }
}

impl Seat {
    fn taken() -> Self {
        Self {
            is_taken: true,
            ..Self::default()
        }
    }
}

impl Inner {
    fn is_ahead(&self) -> bool {
        let read = self.seats.iter().map(|seat| seat.read).max();
        self.ends.len() >= read.unwrap_or(0) + READ_AHEAD
    }

    fn wake(&mut self) {
        for seat in &mut self.seats {
            if let Some(waker) = seat.waker.take() {
                waker.wake();
            }
        }
    }
}
