//! HTTP server with injectable faults: closes connections without an answer, black-holes open
//! connections, and crashes and restarts on the same port.

mod stream;

use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::response::{IntoResponse, Response};
use http::{Request, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use self::stream::BlackholeStream;

/// Maximum number of connections in the accept queue of the kernel after a restart.
const ACCEPT_BACKLOG: u32 = 1_024;

/// Identifies a connection within its server. Each request carries the ID of its connection in its
/// extensions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ConnId(u64);

/// Response of a handler that makes the server close the connection without an answer.
#[derive(Debug, Clone, Copy)]
pub struct DropConnection;

impl IntoResponse for DropConnection {
    fn into_response(self) -> Response {
        let mut res = Response::new(Body::empty());
        *res.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        res.extensions_mut().insert(self);
        res
    }
}

/// Handle of a running server. Clones control the same server.
#[derive(Debug, Clone)]
pub struct Server {
    addr: SocketAddr,
    shared: Arc<Shared>,
}

impl Server {
    /// Binds `listen` and serves `router`. Fails if the address cannot be bound.
    pub async fn start(listen: SocketAddr, router: Router) -> std::io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(Shared {
            conns: Mutex::default(),
            next_id: AtomicU64::new(0),
            state: watch::Sender::new(State::Up),
            restarted: Notify::new(),
            tasks: TaskTracker::new(),
        });
        tokio::spawn(run_listener(addr, listener, router, Arc::clone(&shared)));
        Ok(Self { addr, shared })
    }

    /// Returns the listening address, with the port that was bound.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns whether the server is neither crashed nor stopped. This turns true on a restart,
    /// shortly before the port accepts connections.
    pub fn is_up(&self) -> bool {
        *self.shared.state.borrow() == State::Up
    }

    /// Stops accepting connections and returns when the requests in flight have ended and all
    /// connections are closed.
    pub async fn stop(&self) {
        self.shared.state.send_replace(State::Stopped);
        for conn in self.shared.conns().values() {
            // A black-holed connection never ends by itself.
            if *conn.blackholed.borrow() {
                conn.abort.cancel();
            }
            conn.drain.cancel();
        }
        self.shared.tasks.close();
        self.shared.tasks.wait().await;
    }

    /// Closes the port and every connection immediately and permanently.
    pub fn kill(&self) {
        self.shared.state.send_replace(State::Stopped);
        self.shared.abort_all(None);
    }

    /// Closes the port and every connection except `except`, which ends after its current request.
    /// The port refuses connections until `restart_after` has passed or [`Server::restart`] is
    /// called.
    pub fn crash(&self, restart_after: Option<Duration>, except: Option<ConnId>) {
        let was_up = self.shared.state.send_if_modified(|state| {
            let was_up = *state == State::Up;
            if was_up {
                *state = State::Crashed;
            }
            was_up
        });
        if !was_up {
            return;
        }
        self.shared.abort_all(except);
        if let Some(after) = restart_after {
            let server = self.clone();
            tokio::spawn(async move {
                tokio::time::sleep(after).await;
                server.restart();
            });
        }
    }

    /// Accepts connections again after a crash; has no effect on a running or stopped server.
    pub fn restart(&self) {
        self.shared.state.send_if_modified(|state| {
            let was_crashed = *state == State::Crashed;
            if was_crashed {
                *state = State::Up;
            }
            was_crashed
        });
    }

    /// Waits until the server is up; never returns if it was stopped.
    pub async fn wait_up(&self) {
        loop {
            let restarted = self.shared.restarted.notified();
            if self.is_up() {
                return;
            }
            restarted.await;
        }
    }

    /// Black-holes every open connection except `except`: bytes sent in either direction are lost,
    /// and the connection stays open. New connections work.
    pub fn blackhole(&self, except: Option<ConnId>) {
        for (&id, conn) in self.shared.conns().iter() {
            if Some(id) != except {
                conn.blackholed.send_replace(true);
            }
        }
    }

    /// Returns the number of open connections, black-holed ones included.
    pub fn connections(&self) -> usize {
        self.shared.conns().len()
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Up,
    Crashed,
    Stopped,
}

#[derive(Debug)]
struct Shared {
    conns: Mutex<HashMap<ConnId, Conn>>,
    next_id: AtomicU64,
    state: watch::Sender<State>,
    restarted: Notify,
    tasks: TaskTracker,
}

impl Shared {
    fn conns(&self) -> MutexGuard<'_, HashMap<ConnId, Conn>> {
        self.conns.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn abort_all(&self, except: Option<ConnId>) {
        for (&id, conn) in self.conns().iter() {
            if Some(id) == except {
                conn.drain.cancel();
            } else {
                conn.abort.cancel();
            }
        }
    }
}

#[derive(Debug)]
struct Conn {
    abort: CancellationToken,
    drain: CancellationToken,
    blackholed: watch::Sender<bool>,
}

async fn run_listener(
    addr: SocketAddr,
    listener: TcpListener,
    router: Router,
    shared: Arc<Shared>,
) {
    let mut listener = Some(listener);
    let mut state = shared.state.subscribe();
    loop {
        let current = *state.borrow_and_update();
        match (current, listener.take()) {
            (State::Up, Some(open)) => {
                tokio::select! {
                    biased;
                    changed = state.changed() => if changed.is_err() { return },
                    accepted = open.accept() => if let Ok((stream, _)) = accepted {
                        spawn_connection(stream, &router, &shared);
                    },
                }
                listener = Some(open);
            }
            (State::Crashed, open) => {
                drop(open);
                let Some(reserved) = reserve_port(addr).await else {
                    return;
                };
                if state
                    .wait_for(|state| *state != State::Crashed)
                    .await
                    .is_err()
                {
                    return;
                }
                listener = reserved.listen(ACCEPT_BACKLOG).ok();
                shared.restarted.notify_waiters();
            }
            // The server was stopped, or `listen` failed on the reserved port.
            (State::Up, None) | (State::Stopped, _) => return,
        }
    }
}

/// Binds the port without listening: the kernel refuses connections, and no other process can take
/// the port. Returns `None` if the port stays in use.
async fn reserve_port(addr: SocketAddr) -> Option<TcpSocket> {
    /// Time between two attempts while the kernel still closes the old listener.
    const RETRY_INTERVAL: Duration = Duration::from_millis(5);
    /// Maximum number of attempts; after the last one the server stops for good.
    const MAX_ATTEMPTS: u32 = 200;
    for _ in 0..MAX_ATTEMPTS {
        let socket = match addr {
            SocketAddr::V4(_) => TcpSocket::new_v4(),
            SocketAddr::V6(_) => TcpSocket::new_v6(),
        };
        let bound = socket.and_then(|socket| {
            socket.set_reuseaddr(true)?;
            socket.bind(addr)?;
            Ok(socket)
        });
        match bound {
            Ok(socket) => return Some(socket),
            Err(error) => tracing::debug!(%addr, %error, "port is still in use"),
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
    tracing::error!(%addr, "could not bind the port again after a crash");
    None
}

fn spawn_connection(stream: TcpStream, router: &Router, shared: &Arc<Shared>) {
    // The server may crash between accepting the connection and registering it. The lock keeps
    // `abort_all` from running between the check of the state and the registration.
    let mut conns = shared.conns();
    if *shared.state.borrow() != State::Up {
        return;
    }
    let id = ConnId(shared.next_id.fetch_add(1, Ordering::Relaxed));
    let (blackholed, is_blackholed) = watch::channel(false);
    let conn = Conn {
        abort: CancellationToken::new(),
        drain: CancellationToken::new(),
        blackholed,
    };
    let (abort, drain) = (conn.abort.clone(), conn.drain.clone());
    conns.insert(id, conn);
    drop(conns);
    let (router, shared) = (router.clone(), Arc::clone(shared));
    let tasks = shared.tasks.clone();
    tasks.spawn(async move {
        let _ = stream.set_nodelay(true);
        let stream = BlackholeStream::new(stream, is_blackholed);
        tokio::select! {
            () = abort.cancelled() => {}
            () = serve_connection(stream, id, router, drain) => {}
        }
        shared.conns().remove(&id);
    });
}

async fn serve_connection(
    stream: BlackholeStream,
    id: ConnId,
    router: Router,
    drain: CancellationToken,
) {
    let service = service_fn(move |mut req: Request<Incoming>| {
        req.extensions_mut().insert(id);
        let mut router = router.clone();
        async move {
            let res = tower::Service::call(&mut router, req.map(Body::new)).await;
            let res = res.unwrap_or_else(|never: Infallible| match never {});
            match res.extensions().get::<DropConnection>() {
                Some(_) => Err(std::io::Error::from(std::io::ErrorKind::ConnectionAborted)),
                None => Ok(res),
            }
        }
    });
    let conn = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    let mut conn = std::pin::pin!(conn);
    let result = tokio::select! {
        result = conn.as_mut() => result,
        () = drain.cancelled() => {
            conn.as_mut().graceful_shutdown();
            conn.await
        }
    };
    if let Err(error) = result {
        tracing::debug!(%error, "connection ended");
    }
}
