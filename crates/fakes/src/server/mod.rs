//! HTTP server that can misbehave like a machine: close connections without an answer, let open
//! connections go silent, crash and come back on the same port.

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

use self::stream::SilentStream;

/// Connections that wait for being accepted.
const BACKLOG: u32 = 1_024;

/// Number of a connection, in the extensions of each request that comes over it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ConnId(u64);

/// Answer after which the connection is closed in place of an answer.
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

/// A running server. Clones control the same one.
#[derive(Debug, Clone)]
pub struct Server {
    addr: SocketAddr,
    shared: Arc<Shared>,
}

impl Server {
    /// Binds `listen` and serves `router`.
    pub async fn start(listen: SocketAddr, router: Router) -> std::io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(Shared {
            conns: Mutex::default(),
            next: AtomicU64::new(0),
            state: watch::Sender::new(State::Up),
            up_again: Notify::new(),
            tasks: TaskTracker::new(),
        });
        tokio::spawn(run(addr, listener, router, Arc::clone(&shared)));
        Ok(Self { addr, shared })
    }

    /// Bound address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Whether connections are accepted.
    pub fn is_up(&self) -> bool {
        *self.shared.state.borrow() == State::Up
    }

    /// Stops accepting, lets requests in flight end and returns when all connections are closed.
    pub async fn stop(&self) {
        self.shared.state.send_replace(State::Stopped);
        for conn in self.shared.conns().values() {
            // A silent connection would never end by itself.
            if *conn.silent.borrow() {
                conn.cut.cancel();
            }
            conn.finish.cancel();
        }
        self.shared.tasks.close();
        self.shared.tasks.wait().await;
    }

    /// Closes the port and every connection at once, for good.
    pub fn kill(&self) {
        self.shared.state.send_replace(State::Stopped);
        self.shared.cut_all(None);
    }

    /// Closes the port and every connection but `spare`. The port refuses connections until
    /// `restart_after` has passed, or [`Server::restart`] is called.
    pub fn crash(&self, restart_after: Option<Duration>, spare: Option<ConnId>) {
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
        self.shared.cut_all(spare);
        if let Some(after) = restart_after {
            let server = self.clone();
            tokio::spawn(async move {
                tokio::time::sleep(after).await;
                server.restart();
            });
        }
    }

    /// Accepts connections again after a crash.
    pub fn restart(&self) {
        self.shared.state.send_if_modified(|state| {
            let crashed = *state == State::Crashed;
            if crashed {
                *state = State::Up;
            }
            crashed
        });
    }

    /// Waits until the port accepts connections.
    pub async fn wait_up(&self) {
        loop {
            let up = self.shared.up_again.notified();
            if self.is_up() {
                return;
            }
            up.await;
        }
    }

    /// Lets every open connection but `spare` go silent for good: nothing that is sent over it
    /// arrives, in either direction, and it is not closed. New connections work.
    pub fn silence(&self, spare: Option<ConnId>) {
        for (&id, conn) in self.shared.conns().iter() {
            if Some(id) != spare {
                conn.silent.send_replace(true);
            }
        }
    }

    /// Number of open connections.
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
    next: AtomicU64,
    state: watch::Sender<State>,
    up_again: Notify,
    tasks: TaskTracker,
}

impl Shared {
    fn conns(&self) -> MutexGuard<'_, HashMap<ConnId, Conn>> {
        self.conns.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn cut_all(&self, spare: Option<ConnId>) {
        for (&id, conn) in self.conns().iter() {
            if Some(id) == spare {
                conn.finish.cancel();
            } else {
                conn.cut.cancel();
            }
        }
    }
}

#[derive(Debug)]
struct Conn {
    cut: CancellationToken,
    finish: CancellationToken,
    silent: watch::Sender<bool>,
}

async fn run(addr: SocketAddr, listener: TcpListener, router: Router, shared: Arc<Shared>) {
    let mut listener = Some(listener);
    let mut state = shared.state.subscribe();
    loop {
        let now = *state.borrow_and_update();
        match (now, listener.take()) {
            (State::Up, Some(open)) => {
                tokio::select! {
                    biased;
                    changed = state.changed() => if changed.is_err() { return },
                    accepted = open.accept() => if let Ok((stream, _)) = accepted {
                        spawn(stream, &router, &shared);
                    },
                }
                listener = Some(open);
            }
            (State::Crashed, open) => {
                drop(open);
                let Some(held) = hold(addr).await else { return };
                if state
                    .wait_for(|state| *state != State::Crashed)
                    .await
                    .is_err()
                {
                    return;
                }
                listener = held.listen(BACKLOG).ok();
                shared.up_again.notify_waiters();
            }
            // Stopped, or the port could not be opened again.
            (State::Up, None) | (State::Stopped, _) => return,
        }
    }
}

/// Binds the port without listening: connections are refused, and no other process takes it.
async fn hold(addr: SocketAddr) -> Option<TcpSocket> {
    /// Time between two trials while the kernel still closes the old listener.
    const RETRY: Duration = Duration::from_millis(5);
    /// Trials before the server gives up its port.
    const TRIALS: u32 = 200;
    for _ in 0..TRIALS {
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
        tokio::time::sleep(RETRY).await;
    }
    tracing::error!(%addr, "port was lost during a crash");
    None
}

fn spawn(stream: TcpStream, router: &Router, shared: &Arc<Shared>) {
    // A crash may come between accepting the connection and registering it.
    let mut conns = shared.conns();
    if *shared.state.borrow() != State::Up {
        return;
    }
    let id = ConnId(shared.next.fetch_add(1, Ordering::Relaxed));
    let (silent, is_silent) = watch::channel(false);
    let conn = Conn {
        cut: CancellationToken::new(),
        finish: CancellationToken::new(),
        silent,
    };
    let (cut, finish) = (conn.cut.clone(), conn.finish.clone());
    conns.insert(id, conn);
    drop(conns);
    let (router, shared) = (router.clone(), Arc::clone(shared));
    let tasks = shared.tasks.clone();
    tasks.spawn(async move {
        let _ = stream.set_nodelay(true);
        let stream = SilentStream::new(stream, is_silent);
        tokio::select! {
            () = cut.cancelled() => {}
            () = serve(stream, id, router, finish) => {}
        }
        shared.conns().remove(&id);
    });
}

async fn serve(stream: SilentStream, id: ConnId, router: Router, finish: CancellationToken) {
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
    let ended = tokio::select! {
        ended = conn.as_mut() => ended,
        () = finish.cancelled() => {
            conn.as_mut().graceful_shutdown();
            conn.await
        }
    };
    if let Err(error) = ended {
        tracing::debug!(%error, "connection ended");
    }
}
