//! Measures the delay that the process itself adds: the lateness of its timers, and the bytes that
//! it receives. Bounds the delay that one peer can cause.

use std::cell::{Cell, RefCell};
use std::io::{ErrorKind, IoSlice, Result};
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_policy::edge::own_delay::{Measurement, OwnDelay, SAMPLE_INTERVAL};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::error::Elapsed;
use tokio::time::{Instant, sleep_until, timeout};

use crate::clock::{MonotonicClock, millis};

/// Number of bytes that a connection may read before other tasks and timers get their turn.
const READ_BYTES_PER_TURN: usize = 32 * 1024;

/// Minimum time between two log lines about a late instance.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Time to wait for a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Wait {
    /// Time for which the caller asked the other side to wait. It is never extended.
    pub requested: Duration,
    /// Time for the response beyond that. It is extended while the process is late.
    pub response: Duration,
}

impl From<Duration> for Wait {
    fn from(response: Duration) -> Self {
        Self {
            requested: Duration::ZERO,
            response,
        }
    }
}

/// Measurements shared by the connections and tasks of one process.
#[derive(Debug, Clone)]
pub struct DelayMonitor {
    clock: MonotonicClock,
    received_bytes: Rc<Cell<u64>>,
    waits_extended: Rc<Cell<u64>>,
    own_delay: Rc<RefCell<OwnDelay>>,
}

impl DelayMonitor {
    /// Creates the monitor of a process with a network link of `link_mbps` megabits per second.
    pub fn new(link_mbps: Option<f64>) -> Self {
        Self {
            clock: MonotonicClock::new(),
            received_bytes: Rc::default(),
            waits_extended: Rc::default(),
            own_delay: Rc::new(OwnDelay::new(link_mbps).into()),
        }
    }

    /// Returns the clock of the process.
    pub fn clock(&self) -> MonotonicClock {
        self.clock
    }

    /// Counts received bytes.
    pub fn record_received(&self, bytes: usize) {
        let total = self.received_bytes.get() + bytes as u64;
        self.received_bytes.set(total);
    }

    /// Returns the current state of the process.
    pub fn measure(&self) -> Measurement {
        self.own_delay.borrow().measure(self.clock.now())
    }

    /// Returns the number of extensions of waits.
    pub fn waits_extended(&self) -> u64 {
        self.waits_extended.get()
    }

    /// Waits up to `usual` for `f`, and longer while the process is late.
    pub async fn timeout<F: Future>(
        &self,
        usual: impl Into<Wait>,
        f: F,
    ) -> std::result::Result<F::Output, Elapsed> {
        self.timeout_within(usual, Duration::MAX, f).await
    }

    /// Waits up to `usual` for `f`, and longer while the process is late, but at most `max`.
    pub async fn timeout_within<F: Future>(
        &self,
        usual: impl Into<Wait>,
        max: Duration,
        f: F,
    ) -> std::result::Result<F::Output, Elapsed> {
        let began = self.clock.now();
        let mut f = pin!(f);
        let usual = usual.into();
        let mut wait = usual.requested.saturating_add(usual.response).min(max);
        let mut extended = Duration::ZERO;
        loop {
            let elapsed = match timeout(wait, f.as_mut()).await {
                Ok(output) => return Ok(output),
                Err(elapsed) => elapsed,
            };
            let max_rest = max.saturating_sub(self.clock.now().since(began));
            let Some(extension) = self
                .measure()
                .extension(usual.response, extended)
                .filter(|_| !max_rest.is_zero())
            else {
                return Err(elapsed);
            };
            self.waits_extended.set(self.waits_extended.get() + 1);
            extended += extension;
            wait = extension.min(max_rest);
        }
    }

    /// Returns whether a wait of this process that has just ended may have ended for its own delay
    /// alone. If so, it shows nothing about `upstream`, which is logged.
    pub fn excuses(&self, upstream: &str) -> bool {
        let measured = self.measure();
        if measured.is_late() {
            tracing::info!(
                event = "timeout_ignored",
                upstream,
                timer_late_ms = millis(measured.timer_lateness),
                link_share = measured.link_share,
                age_ms = millis(measured.age),
            );
        }
        measured.is_late()
    }

    /// Takes samples for as long as the process runs. Logs when the process is late.
    pub async fn run(self) {
        let mut logged_at: Option<MonotonicTime> = None;
        loop {
            let due = Instant::now() + SAMPLE_INTERVAL;
            sleep_until(due).await;
            let now = self.clock.now();
            self.own_delay
                .borrow_mut()
                .record(now, due.elapsed(), self.received_bytes.get());
            let measured = self.measure();
            if measured.is_late() && logged_at.is_none_or(|at| now.since(at) >= LOG_INTERVAL) {
                logged_at = Some(now);
                tracing::warn!(
                    event = "instance_late",
                    timer_late_ms = millis(measured.timer_lateness),
                    received_per_s = measured.received_per_s.round(),
                    link_share = measured.link_share,
                    age_ms = millis(measured.age),
                    waits_extended = self.waits_extended(),
                );
            }
        }
    }
}

/// Limit on the bytes that a connection may read until something is complete. It applies from
/// [`Self::start`] to [`Self::end`].
#[derive(Debug, Default)]
pub struct ReadLimit {
    /// Number of bytes that may be read in between.
    bytes: Cell<usize>,
    /// Number of bytes that may still be read. `None` while the limit does not apply.
    left: Cell<Option<usize>>,
}

impl ReadLimit {
    /// Sets the number of bytes that may be read.
    pub fn set(&self, bytes: usize) {
        self.bytes.set(bytes);
    }

    /// Makes reads fail once that many bytes have been read.
    pub fn start(&self) {
        self.left.set(Some(self.bytes.get()));
    }

    /// Ends the limit.
    pub fn end(&self) {
        self.left.set(None);
    }

    /// Returns whether reads fail.
    pub fn is_exceeded(&self) -> bool {
        self.left.get() == Some(0)
    }

    fn record_read(&self, bytes: usize) {
        let left = self.left.get();
        self.left.set(left.map(|left| left.saturating_sub(bytes)));
    }
}

/// Connection whose bytes are counted, and which gives way to other tasks after 32 KiB. The runtime
/// alone would let it read until no byte is left, since it counts calls.
#[derive(Debug)]
pub struct CountedIo<T> {
    io: T,
    monitor: DelayMonitor,
    /// Number of bytes written.
    written: Rc<Cell<u64>>,
    read_limit: Rc<ReadLimit>,
    /// Number of bytes read since the connection last gave way.
    turn_bytes: usize,
}

impl<T> CountedIo<T> {
    /// Counts the bytes that `io` receives.
    pub fn new(io: T, monitor: &DelayMonitor) -> Self {
        Self {
            io,
            monitor: monitor.clone(),
            written: Rc::default(),
            read_limit: Rc::default(),
            turn_bytes: 0,
        }
    }

    /// Returns the number of bytes written, which goes on counting.
    pub fn written(&self) -> Rc<Cell<u64>> {
        Rc::clone(&self.written)
    }

    /// Returns the limit on reads, which does not apply at first.
    pub fn read_limit(&self) -> Rc<ReadLimit> {
        Rc::clone(&self.read_limit)
    }

    fn record_write(&self, poll: Poll<Result<usize>>) -> Poll<Result<usize>> {
        if let Poll::Ready(Ok(n)) = poll {
            self.written.set(self.written.get() + n as u64);
        }
        poll
    }

    /// Returns the connection itself.
    pub fn get_mut(&mut self) -> &mut T {
        &mut self.io
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for CountedIo<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        if self.read_limit.is_exceeded() {
            return Poll::Ready(Err(ErrorKind::InvalidData.into()));
        }
        if self.turn_bytes >= READ_BYTES_PER_TURN {
            self.turn_bytes = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let before = buf.filled().len();
        let poll = Pin::new(&mut self.io).poll_read(cx, buf);
        let read = buf.filled().len() - before;
        self.monitor.record_received(read);
        self.read_limit.record_read(read);
        self.turn_bytes = if poll.is_pending() {
            0
        } else {
            self.turn_bytes + read
        };
        poll
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for CountedIo<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        let poll = Pin::new(&mut self.io).poll_write(cx, buf);
        self.record_write(poll)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let poll = Pin::new(&mut self.io).poll_write_vectored(cx, bufs);
        self.record_write(poll)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
