//! Connections to callers, and what waits on them to be read.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use nutmegbay_policy::edge::body_budget::BodyBudget;
use nutmegbay_policy::edge::held_responses::{CallerKey, HeldResponses, limit};
use slotmap::SecondaryMap;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;
use tokio::time::{Sleep, sleep};
use tokio_util::sync::CancellationToken;

use crate::clock::{MonotonicClock, millis};
use crate::forward::InFlightGuard;
use crate::metrics::increment;
use crate::own_delay::CountedIo;
use crate::peer_io::PeerIo;
use crate::platform_api::WireCodec;
use crate::state::EdgeState;

/// Responses of all connections that wait for their callers.
#[derive(Debug, Default)]
pub struct CallerMemory {
    /// Sizes of the unread responses.
    pub held: RefCell<HeldResponses>,
    /// Cancelled when the response on a connection is given up.
    given_up: RefCell<SecondaryMap<CallerKey, CancellationToken>>,
    /// Notified when callers have taken bytes.
    freed: Notify,
    /// Number of connections closed because their callers did not read.
    pub cut: Cell<u64>,
    /// Number of responses that were read ahead of their callers.
    pub read_ahead: Cell<u64>,
}

/// A caller's connection whose unread bytes are counted.
#[derive(Debug)]
pub struct Caller {
    memory: Rc<CallerMemory>,
    bodies: Rc<RefCell<BodyBudget>>,
    memory_bytes: Option<u64>,
    clock: MonotonicClock,
    in_flight: Rc<Cell<usize>>,
    key: CallerKey,
    given_up: CancellationToken,
    /// Maximum time without progress while bytes wait.
    max_stall: Duration,
    /// Whether the connection takes no more bytes now.
    is_blocked: Cell<bool>,
    /// Whether the buffer of the connection is empty.
    is_flushed: Cell<bool>,
    /// Held bytes that are not in the buffer of the connection.
    queued: Cell<u64>,
    /// Whether the connection is closed because its caller does not read.
    is_cut: Cell<bool>,
    /// Woken when the buffer of the connection is empty.
    flush_waker: RefCell<Option<Waker>>,
}

impl Caller {
    /// Returns the counter of a new connection.
    pub fn open<D: WireCodec>(state: &EdgeState<D>, max_stall: Duration) -> Rc<Self> {
        let key = state.callers.held.borrow_mut().open(state.now());
        let given_up = CancellationToken::new();
        let mut tokens = state.callers.given_up.borrow_mut();
        tokens.insert(key, given_up.clone());
        Rc::new(Self {
            memory: Rc::clone(&state.callers),
            bodies: Rc::clone(&state.bodies),
            memory_bytes: state.settings().memory_bytes,
            clock: state.monotonic_clock,
            in_flight: Rc::clone(&state.in_flight),
            key,
            given_up,
            max_stall,
            is_blocked: Cell::new(false),
            is_flushed: Cell::new(true),
            queued: Cell::new(0),
            is_cut: Cell::new(false),
            flush_waker: RefCell::default(),
        })
    }

    /// Waits until the response on the connection is given up.
    pub async fn given_up(&self) {
        self.given_up.cancelled().await;
        self.is_cut.set(true);
    }

    /// Returns the number of bytes that unread responses of all callers may take.
    fn limit(&self) -> u64 {
        limit(self.memory_bytes, self.bodies.borrow().used())
    }

    /// Returns whether the connection takes no more bytes now.
    pub fn is_blocked(&self) -> bool {
        self.is_blocked.get()
    }

    /// Returns ready once all bytes in the buffer of the connection have been written.
    pub fn poll_flushed(&self, cx: &Context<'_>) -> Poll<()> {
        if self.is_flushed.get() {
            return Poll::Ready(());
        }
        *self.flush_waker.borrow_mut() = Some(cx.waker().clone());
        Poll::Pending
    }

    /// Records that `len` bytes of a response wait for the caller. Gives up responses if all
    /// together take too much memory.
    fn record_held(&self, len: usize) {
        let now = self.clock.now();
        let limit = self.limit();
        let mut held = self.memory.held.borrow_mut();
        held.record_held(self.key, len as u64, now);
        while let Some(response) = held.give_up(limit, now) {
            increment(&self.memory.cut);
            tracing::warn!(
                event = "caller_cut",
                cause = "memory",
                unread_bytes = response.bytes,
                stalled_ms = millis(response.stalled),
                held_bytes = held.total(),
                limit,
            );
            if let Some(token) = self.memory.given_up.borrow().get(response.caller) {
                token.cancel();
            }
        }
    }

    /// Waits until more of the response may be taken over from its upstream.
    pub async fn read_ahead_room(&self) {
        loop {
            let freed = self.memory.freed.notified();
            let has_room = {
                let held = self.memory.held.borrow();
                held.may_read_ahead(self.key, self.limit())
            };
            if has_room {
                return;
            }
            freed.await;
        }
    }

    /// Records that `len` bytes are put into the buffer of the connection.
    pub fn record_piece(&self, len: usize) {
        self.is_flushed.set(false);
        self.record_held(len);
    }

    /// Records that the rest of a response is read ahead of the caller.
    pub fn record_read_ahead(&self) {
        increment(&self.memory.read_ahead);
    }

    /// Counts a request as being served until the result is dropped.
    pub fn count_request(&self) -> InFlightGuard {
        InFlightGuard::new(&self.in_flight)
    }

    /// Records that `len` bytes wait for the caller outside the buffer of the connection.
    pub fn record_queued(&self, len: usize) {
        self.queued.set(self.queued.get() + len as u64);
        self.record_held(len);
    }

    /// Records that `len` of these bytes are put into the buffer of the connection.
    pub fn record_unqueued(&self, len: usize) {
        self.queued
            .set(self.queued.get().saturating_sub(len as u64));
        self.is_flushed.set(false);
    }

    /// Records that the connection took `bytes`, or all that was in its buffer.
    fn record_taken(&self, bytes: Option<u64>) {
        let now = self.clock.now();
        let mut held = self.memory.held.borrow_mut();
        let in_buffer = held.held(self.key).saturating_sub(self.queued.get());
        held.record_taken(self.key, bytes.map_or(in_buffer, |n| n.min(in_buffer)), now);
        self.is_blocked.set(false);
        self.memory.freed.notify_waiters();
    }

    fn record_flushed(&self) {
        if self.is_flushed.replace(true) {
            return;
        }
        self.record_taken(None);
        if let Some(waker) = self.flush_waker.borrow_mut().take() {
            waker.wake();
        }
    }

    /// Records that the caller has taken nothing for the longest time allowed.
    fn record_stalled(&self) -> Error {
        self.is_cut.set(true);
        increment(&self.memory.cut);
        let held = self.memory.held.borrow();
        tracing::info!(
            event = "caller_cut",
            cause = "stalled",
            unread_bytes = held.held(self.key),
            stalled_ms = millis(self.max_stall),
            held_bytes = held.total(),
            limit = self.limit(),
        );
        ErrorKind::TimedOut.into()
    }
}

impl Drop for Caller {
    fn drop(&mut self) {
        self.memory.held.borrow_mut().close(self.key);
        self.memory.given_up.borrow_mut().remove(self.key);
        self.memory.freed.notify_waiters();
    }
}

/// Connection to a caller. A write fails if the caller has taken nothing for the longest time
/// allowed while bytes wait.
#[derive(Debug)]
pub struct CallerIo {
    io: CountedIo<PeerIo>,
    caller: Rc<Caller>,
    stall: Option<Pin<Box<Sleep>>>,
}

impl CallerIo {
    /// Records what `caller` takes of `io`.
    pub fn new(io: CountedIo<PeerIo>, caller: Rc<Caller>) -> Self {
        Self {
            io,
            caller,
            stall: None,
        }
    }

    fn record_write(
        &mut self,
        cx: &mut Context<'_>,
        poll: Poll<Result<usize>>,
    ) -> Poll<Result<usize>> {
        let caller = &self.caller;
        match poll {
            Poll::Ready(Ok(n)) => {
                self.stall = None;
                caller.record_taken(Some(n as u64));
            }
            Poll::Pending => {
                caller.is_blocked.set(true);
                let max_stall = caller.max_stall;
                let stall = self.stall.get_or_insert_with(|| Box::pin(sleep(max_stall)));
                if stall.as_mut().poll(cx).is_ready() {
                    return Poll::Ready(Err(caller.record_stalled()));
                }
            }
            Poll::Ready(Err(_)) => {}
        }
        poll
    }
}

impl AsyncRead for CallerIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        Pin::new(&mut self.io).poll_read(cx, buf)
    }
}

impl AsyncWrite for CallerIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        let poll = Pin::new(&mut self.io).poll_write(cx, buf);
        self.record_write(cx, poll)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let poll = Pin::new(&mut self.io).poll_write_vectored(cx, bufs);
        self.record_write(cx, poll)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    // `hyper` flushes the connection only after it has written its whole buffer.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        self.caller.record_flushed();
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}

impl Drop for CallerIo {
    fn drop(&mut self) {
        // A response without a length must not look complete, and the kernel must not keep it.
        if self.caller.is_cut.get() {
            self.io.get_mut().reset_on_close();
        }
    }
}
