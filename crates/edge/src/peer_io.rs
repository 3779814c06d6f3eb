//! Connections whose peers may pause, but not vanish.
//!
//! The kernel ends a connection on which sent bytes stay unacknowledged for
//! [`MAX_UNANSWERED`], and counts a window that a living peer keeps closed too. While bytes wait for
//! the peer, its answers are therefore looked at each second, and the limit is raised while it
//! answers.

use std::future::Future;
use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use nutmegbay_policy::edge::peer_liveness::{MAX_UNANSWERED, PeerLiveness, SendState, StallLimit};
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

use crate::clock::{MonotonicClock, millis};
use crate::own_delay::DelayMonitor;
use crate::socket_state;

/// Idle time before the first TCP keep-alive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);

/// Time between keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered keep-alive probes that end a connection.
const MAX_KEEPALIVE_PROBES: u32 = 3;

/// Time between two looks at a connection on which bytes wait. Two of them fit into
/// [`MAX_UNANSWERED`].
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum pause of an upstream that does not read. The deadlines of requests end it before.
const MAX_UPSTREAM_PAUSE: Duration = Duration::from_mins(1);

/// Number of bytes that a caller surely takes without reading them: Linux gives a connection a receive
/// buffer of at least this size. It counts only where the kernel does not tell whether the caller
/// answers.
const MIN_WINDOW_BYTES: u64 = 2 * 1024;

/// Number of bytes that an upstream usually takes without reading them. Where the kernel does not tell
/// whether it answers, it is given the longer time only beyond them.
const UPSTREAM_WINDOW_BYTES: u64 = 64 * 1024;

/// Connection to a peer.
#[derive(Debug)]
pub struct PeerIo {
    io: TcpStream,
    clock: MonotonicClock,
    liveness: PeerLiveness,
    limit: StallLimit,
    /// Longest time for which the peer may take no bytes.
    max_pause: Duration,
    /// Number of written bytes from which the limit is raised if the state of the connection cannot
    /// be read.
    min_window: u64,
    /// Number of bytes written since the peer is last known to have taken all.
    waiting: u64,
    /// Whether the connection has taken no more bytes since then.
    is_blocked: bool,
    /// Time of the next look at the state.
    check: Option<Pin<Box<Sleep>>>,
}

impl PeerIo {
    /// Watches a connection to a caller, which may read nothing for `max_pause`.
    pub fn caller(io: TcpStream, max_pause: Duration, monitor: &DelayMonitor) -> Self {
        Self::new(io, max_pause, MIN_WINDOW_BYTES, monitor)
    }

    /// Watches a connection to an upstream or a peer process.
    pub fn upstream(io: TcpStream, monitor: &DelayMonitor) -> Self {
        Self::new(io, MAX_UPSTREAM_PAUSE, UPSTREAM_WINDOW_BYTES, monitor)
    }

    fn new(io: TcpStream, max_pause: Duration, min_window: u64, monitor: &DelayMonitor) -> Self {
        let keepalive = TcpKeepalive::new()
            .with_time(KEEPALIVE_IDLE)
            .with_interval(KEEPALIVE_INTERVAL)
            .with_retries(MAX_KEEPALIVE_PROBES);
        if let Err(error) = SockRef::from(&io).set_tcp_keepalive(&keepalive) {
            tracing::debug!(event = "socket_option_refused", %error);
        }
        let io = Self {
            io,
            clock: monitor.clock(),
            liveness: PeerLiveness::default(),
            limit: StallLimit::Usual,
            max_pause: max_pause.max(MAX_UNANSWERED),
            min_window,
            waiting: 0,
            is_blocked: false,
            check: None,
        };
        io.set_limit(MAX_UNANSWERED);
        io
    }

    /// Makes the kernel drop what waits for the peer once the connection is closed.
    pub fn reset_on_close(&mut self) {
        self.waiting = 0;
        if let Err(error) = self.io.set_zero_linger() {
            tracing::debug!(event = "socket_option_refused", %error);
        }
    }

    fn set_limit(&self, time: Duration) {
        if let Err(error) = SockRef::from(&self.io).set_tcp_user_timeout(Some(time)) {
            tracing::debug!(event = "socket_option_refused", %error);
        }
    }

    /// Returns whether bytes wait that the peer may have no room for. What it acknowledged before may
    /// still fill its receive buffer, so any byte may be one too many.
    fn has_waiting(&self) -> bool {
        self.waiting > surely_taken(MIN_WINDOW_BYTES) || self.is_blocked
    }

    /// Records that the peer has taken all that it was sent.
    fn record_taken(&mut self) {
        self.waiting = 0;
        self.is_blocked = false;
        if self.limit == StallLimit::Usual {
            self.check = None;
        }
    }

    fn record_write(&mut self, poll: &Poll<Result<usize>>) {
        match poll {
            Poll::Ready(Ok(n)) => self.waiting += *n as u64,
            Poll::Pending => self.is_blocked = true,
            Poll::Ready(Err(_)) => {}
        }
    }

    /// Looks at the state of the connection if it is time. Returns an error once the peer is gone.
    fn poll_check(&mut self, cx: &mut Context<'_>) -> Result<()> {
        loop {
            if self.limit == StallLimit::Gone {
                return Err(ErrorKind::TimedOut.into());
            }
            if self.check.is_none() && !self.has_waiting() && self.limit == StallLimit::Usual {
                return Ok(());
            }
            let check = self
                .check
                .get_or_insert_with(|| Box::pin(sleep(CHECK_INTERVAL)));
            if check.as_mut().poll(cx).is_pending() {
                return Ok(());
            }
            self.check = None;
            self.update_limit();
        }
    }

    fn update_limit(&mut self) {
        let state = if self.has_waiting() {
            self.state()
        } else {
            SendState::Empty
        };
        let limit = self.liveness.step(state, self.clock.now());
        if state == SendState::Empty {
            self.record_taken();
        }
        if std::mem::replace(&mut self.limit, limit) == limit {
            return;
        }
        match limit {
            StallLimit::Usual => self.set_limit(MAX_UNANSWERED),
            StallLimit::Raised => self.set_limit(self.max_pause),
            StallLimit::Gone => {
                tracing::info!(
                    event = "peer_gone",
                    peer = self.io.peer_addr().ok().map(tracing::field::display),
                    unread_bytes = self.waiting,
                    unanswered_ms = millis(MAX_UNANSWERED),
                );
                self.reset_on_close();
            }
        }
    }

    /// Returns what the kernel knows of the bytes that wait. Where it cannot be read, the peer is
    /// taken to answer if its window may be closed.
    fn state(&self) -> SendState {
        socket_state::read(&self.io).unwrap_or(if self.waiting > self.min_window {
            SendState::Answered
        } else {
            SendState::InFlight
        })
    }
}

/// Returns the number of bytes that need not be watched: none, or `by_default` where the state of the
/// connection cannot be read.
fn surely_taken(by_default: u64) -> u64 {
    if socket_state::is_readable() {
        0
    } else {
        by_default
    }
}

impl Drop for PeerIo {
    fn drop(&mut self) {
        // The kernel goes on sending what waits, and the peer may still pause.
        if self.waiting > surely_taken(self.min_window) {
            self.set_limit(self.max_pause);
        }
    }
}

impl AsyncRead for PeerIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let before = buf.filled().len();
        let poll = Pin::new(&mut self.io).poll_read(cx, buf);
        if buf.filled().len() > before && !socket_state::is_readable() {
            // A peer usually sends again after it has taken what it was sent.
            self.record_taken();
        }
        match self.poll_check(cx) {
            Err(error) if poll.is_pending() => Poll::Ready(Err(error)),
            _ => poll,
        }
    }
}

impl AsyncWrite for PeerIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        let poll = Pin::new(&mut self.io).poll_write(cx, buf);
        self.after_write(cx, poll)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let poll = Pin::new(&mut self.io).poll_write_vectored(cx, bufs);
        self.after_write(cx, poll)
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

impl PeerIo {
    fn after_write(
        &mut self,
        cx: &mut Context<'_>,
        poll: Poll<Result<usize>>,
    ) -> Poll<Result<usize>> {
        self.record_write(&poll);
        match self.poll_check(cx) {
            Err(error) if poll.is_pending() => Poll::Ready(Err::<usize, Error>(error)),
            _ => poll,
        }
    }
}
