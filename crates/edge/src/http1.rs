//! Client connections: opened, kept and closed here, framed by `hyper`.

use std::cell::RefCell;
use std::fmt;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, Builder, SendRequest};
use hyper::rt::{Read, Write};
use hyper_util::rt::TokioIo;
use nutmegbay_core::verdict::Verdict;
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout};

use crate::platform_api::{OutboundRequest, UnreadResponse};

/// Time for a connection to open. Paths take a few milliseconds; a lost packet is sent again after
/// one second, so a second try elsewhere is sooner.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Idle time before a connection is probed.
const PROBE_AFTER: Duration = Duration::from_secs(1);

/// Time between probes; three without an answer end the connection.
const PROBE_EVERY: Duration = Duration::from_secs(1);

/// Probes without an answer that end a connection.
const PROBES: u32 = 3;

/// Time without an acknowledgement of sent bytes that ends a connection.
const UNACKNOWLEDGED: Duration = Duration::from_secs(3);

/// Idle time for which a connection is kept where the upstream names none.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);

/// Connections are given up this long before the upstream may close them.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Largest body of an answer that is read whole, in bytes: a page of the store.
const LARGEST_BODY: usize = 8 * 1024 * 1024;

/// Idle connections kept to one address by a [`Caller`].
const KEPT_CONNECTIONS: usize = 4;

/// Why a call has no answer, and whether the request may have run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallError {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// What happened.
    pub cause: Cause,
}

/// What happened to a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// The connection did not open in time or was refused.
    Connect,
    /// The connection had been closed before the request was written.
    Closed,
    /// The connection broke after the request was written.
    Broken,
    /// No answer in time.
    Timeout,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.cause, self.verdict)
    }
}

impl std::error::Error for CallError {}

/// An open connection. Dropping it closes it, which tells the other end to stop its work.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: Driver,
    idle_until: Instant,
    is_reused: bool,
}

/// Task that moves the bytes of a connection; ends with its owner. Returns the connection and the
/// bytes that were read beyond the last answer, once no more requests are sent.
#[derive(Debug)]
struct Driver(JoinHandle<Option<(TcpStream, Bytes)>>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Moves the bytes of a connection until it is no longer used.
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
    /// Opens a connection.
    pub async fn open(addr: SocketAddr) -> Result<Self, CallError> {
        let failed = |()| CallError {
            verdict: Verdict::NotRun,
            cause: Cause::Connect,
        };
        let io = timeout(CONNECT_TIMEOUT, connect(addr))
            .await
            .map_err(|_| ())
            .and_then(|opened| opened.map_err(|_| ()))
            .map_err(failed)?;
        let (sender, connection) = Builder::new()
            .handshake(TokioIo::new(io))
            .await
            .map_err(|_| failed(()))?;
        let driver = tokio::task::spawn_local(async move {
            let (io, rest) = drive(connection).await;
            Some((io.into_inner(), rest))
        });
        Ok(Self {
            sender,
            driver: Driver(driver),
            idle_until: Instant::now(),
            is_reused: false,
        })
    }

    /// Sends a request and waits for the head of its answer.
    pub async fn send(&mut self, req: OutboundRequest) -> Result<UnreadResponse, CallError> {
        let broken = |verdict, cause| CallError { verdict, cause };
        if self.sender.ready().await.is_err() {
            return Err(broken(Verdict::NotRun, Cause::Closed));
        }
        self.sender.try_send_request(req).await.map_err(|mut e| {
            // A request that is given back has not been written.
            match e.take_message() {
                Some(_) => broken(Verdict::NotRun, Cause::Closed),
                None => broken(Verdict::MayHaveRun, Cause::Broken),
            }
        })
    }

    /// Waits for the answer that follows the one to `req`, whose body was read whole. An answer that an
    /// upstream sends twice may come late, in the place of the next one.
    pub async fn next_answer(
        self,
        req: OutboundRequest,
    ) -> Result<(Self, UnreadResponse), CallError> {
        let broken = CallError {
            verdict: Verdict::MayHaveRun,
            cause: Cause::Broken,
        };
        let Self {
            sender, mut driver, ..
        } = self;
        drop(sender);
        let Ok(Some((io, rest))) = (&mut driver.0).await else {
            return Err(broken);
        };
        let (sender, connection) = Builder::new()
            .handshake(TokioIo::new(Written::new(io, rest)))
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
        };
        let answer = connection.send(req).await?;
        Ok((connection, answer))
    }

    /// Marks the connection as idle from now on. `keep_alive` is what the other end said.
    pub fn rest(&mut self, keep_alive: Option<Duration>) {
        let idle = keep_alive
            .unwrap_or(DEFAULT_IDLE)
            .saturating_sub(IDLE_MARGIN);
        self.idle_until = Instant::now() + idle;
        self.is_reused = true;
    }

    /// Whether another request may be sent on it.
    pub fn is_usable(&self) -> bool {
        !self.sender.is_closed() && !self.driver.0.is_finished() && Instant::now() < self.idle_until
    }

    /// Whether it has carried a request before.
    pub fn is_reused(&self) -> bool {
        self.is_reused
    }
}

/// A connection on which the request has been written already: writing it once more does nothing, and
/// its answer can be read from then on. `hyper` takes bytes that come sooner for a fault.
struct Written {
    io: TcpStream,
    /// Bytes that were read before.
    rest: Bytes,
    has_request: bool,
    reader: Option<Waker>,
}

impl Written {
    fn new(io: TcpStream, rest: Bytes) -> Self {
        Self {
            io,
            rest,
            has_request: false,
            reader: None,
        }
    }
}

impl AsyncRead for Written {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        if !self.has_request {
            self.reader = Some(cx.waker().clone());
            return Poll::Pending;
        }
        if self.rest.is_empty() {
            return Pin::new(&mut self.io).poll_read(cx, buf);
        }
        let len = self.rest.len().min(buf.remaining());
        buf.put_slice(&self.rest.split_to(len));
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Written {
    fn poll_write(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        self.has_request = true;
        if let Some(reader) = self.reader.take() {
            reader.wake();
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

async fn connect(addr: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = if addr.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_nodelay(true)?;
    let io = socket.connect(addr).await?;
    detect_silence(&io);
    Ok(io)
}

/// Makes the system end a connection whose other end has become silent.
pub fn detect_silence(io: &TcpStream) {
    let socket = SockRef::from(io);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_EVERY)
        .with_retries(PROBES);
    let set = socket
        .set_tcp_keepalive(&probes)
        .and_then(|()| socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED)));
    if let Err(error) = set {
        tracing::debug!(event = "socket_option_refused", %error);
    }
}

/// Idle connections kept to one address.
#[derive(Debug)]
pub struct IdleConnections {
    connections: Vec<Connection>,
    most: usize,
}

impl IdleConnections {
    /// Room for `most` connections.
    pub fn new(most: usize) -> Self {
        Self {
            connections: Vec::new(),
            most,
        }
    }

    /// Takes the one that was used last, after dropping those that are no longer usable.
    pub fn take(&mut self) -> Option<Connection> {
        self.sweep();
        self.connections.pop()
    }

    /// Keeps a connection if there is room for it.
    pub fn keep(&mut self, connection: Connection) {
        if self.connections.len() < self.most {
            self.connections.push(connection);
        }
    }

    /// Drops those that are no longer usable.
    pub fn sweep(&mut self) {
        self.connections.retain(Connection::is_usable);
    }

    /// Drops all.
    pub fn clear(&mut self) {
        self.connections.clear();
    }
}

/// Client of one address whose answers are read whole.
#[derive(Debug, Clone)]
pub struct Caller {
    addr: SocketAddr,
    idle: Rc<RefCell<IdleConnections>>,
}

impl Caller {
    /// Client of `addr`.
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            idle: Rc::new(RefCell::new(IdleConnections::new(KEPT_CONNECTIONS))),
        }
    }

    /// Value of the `Host` header.
    pub fn host(&self) -> String {
        self.addr.to_string()
    }

    /// Sends a request and reads its answer within `limit`. A call without an answer gives up its
    /// connection.
    pub async fn call(
        &self,
        req: OutboundRequest,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let answered = timeout(limit, self.exchange(req)).await;
        answered.unwrap_or_else(|_| {
            // What silenced one connection has mostly silenced the others as well.
            self.idle.borrow_mut().clear();
            Err(CallError {
                verdict: Verdict::MayHaveRun,
                cause: Cause::Timeout,
            })
        })
    }

    async fn exchange(&self, req: OutboundRequest) -> Result<(StatusCode, Bytes), CallError> {
        let kept = self.idle.borrow_mut().take();
        let mut connection = match kept {
            Some(connection) => connection,
            None => Connection::open(self.addr).await?,
        };
        let answer = connection.send(req).await?;
        let status = answer.status();
        let body = Limited::new(answer.into_body(), LARGEST_BODY)
            .collect()
            .await
            .map_err(|_| CallError {
                verdict: Verdict::MayHaveRun,
                cause: Cause::Broken,
            })?
            .to_bytes();
        connection.rest(None);
        self.idle.borrow_mut().keep(connection);
        Ok((status, body))
    }
}
