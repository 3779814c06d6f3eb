//! HTTP/1.1 client connections. This module opens, keeps and closes them; `hyper` does the framing.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http::header::TRANSFER_ENCODING;
use http_body::Body;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, Builder, SendRequest};
use hyper::rt::{Read, Write};
use hyper_util::rt::TokioIo;
use nutmegbay_core::verdict::Verdict;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpSocket;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::own_delay::{CountedIo, DelayMonitor, ReadLimit, Wait};
use crate::peer_io::PeerIo;
use crate::platform_api::{OutboundRequest, UnreadResponse};

/// Maximum time to open a connection. Network paths take a few milliseconds, and TCP repeats a lost
/// packet only after one second, so another try elsewhere is faster than waiting for that.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Idle time for which a connection is kept if the upstream states none.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);

/// Time before the end of the idle time at which a connection is given up, so that no request is
/// sent while the upstream closes it.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Maximum number of headers of a request or response. The operator limits only the bytes of
/// requests. From 3,000 on, the buffers that `hyper` allocates for the headers of each request add
/// 12 us; with 2,000 they add 1 us.
pub const MAX_HEADERS: usize = 2_000;

/// Maximum size of a response body that is read whole, in bytes. The largest one is a page of the
/// store.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Maximum size of the read buffer of a connection, in bytes.
const READ_BYTES: usize = 400 * 1024;

/// Maximum size of the read buffer of a connection whose responses may wait for slow callers, in
/// bytes. 300 unread responses would take 120 MB with [`READ_BYTES`].
const SMALL_READ_BYTES: usize = 64 * 1024;

/// Maximum number of bytes between a request and the end of the head of its response, as a multiple
/// of the read buffer. `hyper` limits each head to one buffer, but not the number of interim heads,
/// and body bytes may have been read with the head.
const MAX_BUFFERS_BEFORE_HEAD: usize = 2;

/// Maximum number of idle connections that a [`BufferedClient`] keeps.
const MAX_IDLE_CONNECTIONS: usize = 4;

/// Error for a call that got no complete response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallError {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Reason for the failure.
    pub cause: Cause,
}

/// Reason for which a call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// No process listens at the address.
    Refused,
    /// The connection did not open, for another reason than time.
    Connect,
    /// The connection was closed before the request was written.
    Closed,
    /// The connection broke after the request was written.
    Broken,
    /// The connection brought more bytes than the head of a response may have, without its end.
    EndlessHead,
    /// The connection did not open in time, or there was no response in time.
    Timeout,
    /// The request was not sent, since the quota of its account is used up.
    OverQuota,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.cause, self.verdict)
    }
}

impl std::error::Error for CallError {}

/// How a response shows where its body ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum BodyDelimiter {
    /// A length that is known from the head.
    Length,
    /// Chunked transfer encoding.
    Chunks,
    /// The end of the connection, which shows nothing about what was meant to be sent.
    Connection,
}

impl BodyDelimiter {
    /// Returns the delimiter of `response`.
    pub fn of(response: &UnreadResponse) -> Self {
        if response.body().size_hint().exact().is_some() {
            Self::Length
        } else if response.headers().contains_key(TRANSFER_ENCODING) {
            Self::Chunks
        } else {
            Self::Connection
        }
    }
}

/// An open connection. Dropping it closes the connection, which tells the other end to stop its
/// work.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: Driver,
    idle_until: Instant,
    is_reused: bool,
    /// Number of requests sent on the connection.
    sends: u32,
    /// Hash of the id of the last request that the upstream refused on this connection.
    refused: Option<u64>,
    /// Whether the connection is proved to lead to the start of the upstream that is listed.
    has_proved_start: bool,
    /// Number of bytes written.
    written: Rc<Cell<u64>>,
    /// Limit on the bytes that are read until the head of the response is complete.
    read_limit: Rc<ReadLimit>,
}

/// Task that moves the bytes of a connection; it is aborted on drop. Once no more requests are
/// sent, it returns the connection and the bytes read beyond the last response.
#[derive(Debug)]
struct Driver(JoinHandle<Option<(CountedIo<PeerIo>, Bytes)>>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Moves the bytes of a connection until it is no longer used. Returns the stream and the bytes
/// read beyond the last response.
async fn drive<T>(mut connection: http1::Connection<T, Full<Bytes>>) -> (T, Bytes)
where
    T: Read + Write + Unpin,
{
    if let Err(error) = poll_fn(|cx| connection.poll_without_shutdown(cx)).await {
        tracing::debug!(event = "connection_broken", %error);
    }
    let parts = connection.into_parts();
    (parts.io, parts.read_buf)
}

impl Connection {
    /// Opens a connection within [`CONNECT_TIMEOUT`], or longer while this process is late. `monitor`
    /// counts the bytes that it receives.
    pub async fn open(addr: SocketAddr, monitor: &DelayMonitor) -> Result<Self, CallError> {
        Self::open_with(addr, monitor, READ_BYTES).await
    }

    /// Opens a connection as [`Self::open`] does, which reads at most 64 KiB of a response before
    /// they are asked for.
    pub async fn open_small(addr: SocketAddr, monitor: &DelayMonitor) -> Result<Self, CallError> {
        Self::open_with(addr, monitor, SMALL_READ_BYTES).await
    }

    async fn open_with(
        addr: SocketAddr,
        monitor: &DelayMonitor,
        read_bytes: usize,
    ) -> Result<Self, CallError> {
        let failed = |cause| CallError {
            verdict: Verdict::NotRun,
            cause,
        };
        let io = match monitor
            .timeout(CONNECT_TIMEOUT, connect(addr, monitor))
            .await
        {
            Ok(Ok(io)) => io,
            Ok(Err(error)) if is_refused(&error) => return Err(failed(Cause::Refused)),
            Ok(Err(_)) => return Err(failed(Cause::Connect)),
            Err(_) => return Err(failed(Cause::Timeout)),
        };
        let io = CountedIo::new(io, monitor);
        let written = io.written();
        let read_limit = io.read_limit();
        read_limit.set(MAX_BUFFERS_BEFORE_HEAD * read_bytes);
        let (sender, connection) = Builder::new()
            .max_buf_size(read_bytes)
            .max_headers(MAX_HEADERS)
            .handshake(TokioIo::new(io))
            .await
            .map_err(|_| failed(Cause::Connect))?;
        let driver = tokio::task::spawn_local(async move {
            let (io, read_ahead) = drive(connection).await;
            Some((io.into_inner(), read_ahead))
        });
        Ok(Self {
            sender,
            driver: Driver(driver),
            idle_until: Instant::now(),
            is_reused: false,
            sends: 0,
            refused: None,
            has_proved_start: false,
            written,
            read_limit,
        })
    }

    /// Sends a request and waits for the head of the response.
    pub async fn send(&mut self, req: OutboundRequest) -> Result<UnreadResponse, CallError> {
        let broken = |verdict, cause| CallError { verdict, cause };
        if self.sender.ready().await.is_err() {
            return Err(broken(Verdict::NotRun, Cause::Closed));
        }
        self.sends += 1;
        self.read_limit.start();
        let response = self.sender.try_send_request(req).await;
        let response = response.map_err(|mut e| {
            // `hyper` returns the request only if it has not been written.
            match e.take_message() {
                Some(_) => broken(Verdict::NotRun, Cause::Closed),
                None if self.read_limit.is_exceeded() => {
                    broken(Verdict::MayHaveRun, Cause::EndlessHead)
                }
                None => broken(Verdict::MayHaveRun, Cause::Broken),
            }
        });
        self.read_limit.end();
        response
    }

    /// Waits for the response after the current one, whose body must have been read whole. An
    /// upstream that sends a response twice may send the copy late, in place of the next response;
    /// the response to `req` then follows it.
    pub async fn next_response(
        self,
        req: OutboundRequest,
    ) -> Result<(Self, UnreadResponse), CallError> {
        let broken = CallError {
            verdict: Verdict::MayHaveRun,
            cause: Cause::Broken,
        };
        let Self {
            sender,
            mut driver,
            read_limit,
            ..
        } = self;
        drop(sender);
        let Ok(Some((io, read_ahead))) = (&mut driver.0).await else {
            return Err(broken);
        };
        let (sender, connection) = Builder::new()
            .max_headers(MAX_HEADERS)
            .handshake(TokioIo::new(AlreadyWritten::new(io, read_ahead)))
            .await
            .map_err(|_| broken)?;
        let driver = tokio::task::spawn_local(async move {
            drive(connection).await;
            None
        });
        let mut connection = Self {
            sender,
            driver: Driver(driver),
            idle_until: Instant::now(),
            is_reused: false,
            sends: 0,
            refused: None,
            has_proved_start: false,
            written: Rc::default(),
            read_limit,
        };
        let response = connection.send(req).await?;
        Ok((connection, response))
    }

    /// Returns the number of bytes written, which goes on counting.
    pub fn written(&self) -> Rc<Cell<u64>> {
        Rc::clone(&self.written)
    }

    /// Marks the connection as idle from now on. `keep_alive` is the idle time that the other end
    /// stated.
    pub fn mark_idle(&mut self, keep_alive: Option<Duration>) {
        let idle = keep_alive
            .unwrap_or(DEFAULT_KEEP_ALIVE)
            .saturating_sub(IDLE_MARGIN);
        self.idle_until = Instant::now() + idle;
        self.is_reused = true;
    }

    /// Records that the upstream refused the request with this id, given its hash.
    pub fn record_refusal(&mut self, request: u64) {
        self.refused = Some(request);
    }

    /// Returns whether the upstream refused the request with this id on the connection, given its
    /// hash. A copy of that refusal could be taken for the response to another send of the request.
    pub fn has_refused(&self, request: u64) -> bool {
        self.refused == Some(request)
    }

    /// Records that the connection is proved to lead to the start of the upstream that is listed.
    pub fn record_proved_start(&mut self) {
        self.has_proved_start = true;
    }

    /// Returns whether the connection is proved to lead to the start of the upstream that is listed.
    pub fn has_proved_start(&self) -> bool {
        self.has_proved_start
    }

    /// Returns whether another request may be sent on the connection.
    pub fn is_usable(&self) -> bool {
        !self.sender.is_closed() && !self.driver.0.is_finished() && Instant::now() < self.idle_until
    }

    /// Returns whether the connection has carried another request before the current one.
    pub fn has_carried_others(&self) -> bool {
        self.sends > 1
    }

    /// Returns whether the connection was idle before, so that the other end may have closed it.
    pub fn is_reused(&self) -> bool {
        self.is_reused
    }
}

/// Connection on which the request has already been written: writing it again discards the bytes,
/// and reads stay pending until then. `hyper` treats response bytes that arrive before the request
/// is written as an error.
struct AlreadyWritten {
    io: CountedIo<PeerIo>,
    /// Bytes read from the connection before, which are returned first.
    read_ahead: Bytes,
    is_written: bool,
    read_waker: Option<Waker>,
}

impl AlreadyWritten {
    fn new(io: CountedIo<PeerIo>, read_ahead: Bytes) -> Self {
        Self {
            io,
            read_ahead,
            is_written: false,
            read_waker: None,
        }
    }
}

impl AsyncRead for AlreadyWritten {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        if !self.is_written {
            self.read_waker = Some(cx.waker().clone());
            return Poll::Pending;
        }
        if self.read_ahead.is_empty() {
            return Pin::new(&mut self.io).poll_read(cx, buf);
        }
        let len = self.read_ahead.len().min(buf.remaining());
        buf.put_slice(&self.read_ahead.split_to(len));
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for AlreadyWritten {
    fn poll_write(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        self.is_written = true;
        if let Some(read_waker) = self.read_waker.take() {
            read_waker.wake();
        }
        Poll::Ready(Ok(buf.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}

fn is_refused(error: &std::io::Error) -> bool {
    use std::io::ErrorKind::{ConnectionRefused, ConnectionReset};
    matches!(error.kind(), ConnectionRefused | ConnectionReset)
}

async fn connect(addr: SocketAddr, monitor: &DelayMonitor) -> std::io::Result<PeerIo> {
    let socket = if addr.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_nodelay(true)?;
    let io = socket.connect(addr).await?;
    Ok(PeerIo::upstream(io, monitor))
}

/// Idle connections to one address.
#[derive(Debug)]
pub struct IdleConnections {
    connections: Vec<Connection>,
    max_connections: usize,
}

impl IdleConnections {
    /// Creates an empty set that keeps at most `max_connections` connections.
    pub fn new(max_connections: usize) -> Self {
        Self {
            connections: Vec::new(),
            max_connections,
        }
    }

    /// Takes the most recently used connection that is still usable. Drops the unusable ones.
    pub fn take(&mut self) -> Option<Connection> {
        self.sweep();
        self.connections.pop()
    }

    /// Keeps a connection unless the maximum number is reached.
    pub fn keep(&mut self, connection: Connection) {
        if self.connections.len() < self.max_connections {
            self.connections.push(connection);
        }
    }

    /// Drops connections that are no longer usable.
    pub fn sweep(&mut self) {
        self.connections.retain(Connection::is_usable);
    }

    /// Drops all connections.
    pub fn clear(&mut self) {
        self.connections.clear();
    }
}

/// HTTP client for one address, which clones share. It reads each response whole.
#[derive(Debug, Clone)]
pub struct BufferedClient {
    addr: Rc<Cell<SocketAddr>>,
    /// Notified when the address has changed.
    moved: Rc<Notify>,
    monitor: DelayMonitor,
    idle: Rc<RefCell<IdleConnections>>,
}

impl BufferedClient {
    /// Creates a client for `addr`. Connections are opened when needed. `monitor` counts the bytes
    /// that they receive.
    pub fn new(addr: SocketAddr, monitor: &DelayMonitor) -> Self {
        Self {
            addr: Rc::new(Cell::new(addr)),
            moved: Rc::default(),
            monitor: monitor.clone(),
            idle: Rc::new(RefCell::new(IdleConnections::new(MAX_IDLE_CONNECTIONS))),
        }
    }

    /// Changes the address. Calls to another address that are in progress end without a response.
    pub fn set_addr(&self, addr: SocketAddr) {
        if self.addr.replace(addr) != addr {
            self.idle.borrow_mut().clear();
            self.moved.notify_waiters();
        }
    }

    /// Returns the value of the `Host` header.
    pub fn host(&self) -> String {
        self.addr.get().to_string()
    }

    /// Sends a request and reads the whole response within `wait`, or longer while this process is
    /// late. A call that gets no response closes its connection; one that times out also closes all
    /// idle connections.
    pub async fn call(
        &self,
        req: OutboundRequest,
        wait: impl Into<Wait>,
    ) -> Result<Response<Bytes>, CallError> {
        let mut moved = pin!(self.moved.notified());
        moved.as_mut().enable();
        let call = self.call_without_timeout(req);
        let response = tokio::select! {
            biased;
            response = self.monitor.timeout(wait, call) => response,
            () = moved => return Err(CallError {
                verdict: Verdict::MayHaveRun,
                cause: Cause::Broken,
            }),
        };
        response.unwrap_or_else(|_| {
            // The cause of the timeout probably affects the other connections to this address too.
            self.idle.borrow_mut().clear();
            Err(CallError {
                verdict: Verdict::MayHaveRun,
                cause: Cause::Timeout,
            })
        })
    }

    async fn call_without_timeout(
        &self,
        req: OutboundRequest,
    ) -> Result<Response<Bytes>, CallError> {
        let kept = self.idle.borrow_mut().take();
        let mut connection = match kept {
            Some(connection) => connection,
            None => Connection::open(self.addr.get(), &self.monitor).await?,
        };
        let response = connection.send(req).await?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_BODY_BYTES)
            .collect()
            .await
            .map_err(|_| CallError {
                verdict: Verdict::MayHaveRun,
                cause: Cause::Broken,
            })?
            .to_bytes();
        connection.mark_idle(None);
        self.idle.borrow_mut().keep(connection);
        Ok(Response::from_parts(head, body))
    }
}
