//! A loopback TCP proxy. Its connections can be delayed, reset or made to drop bytes in one or both
//! directions while they are open.

use std::future::pending;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// State of the link between the two sides of a proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkState {
    /// Bytes are forwarded at once.
    Open,
    /// Bytes are forwarded after a delay.
    Delayed(Duration),
    /// Bytes are dropped in both directions. Connections stay open.
    Dropping,
    /// Requests are forwarded and responses are dropped.
    DroppingResponses,
    /// Connections that were open before go silent and stay open, also when the server closes its
    /// side. Others work.
    Severed,
    /// Connections are closed.
    Reset,
    /// Connections are closed, and no others open.
    Unopened,
}

/// Time after which a connection to a full listener is known not to open.
const FILL_TIMEOUT: Duration = Duration::from_millis(50);

/// A proxy that listens at one address.
#[derive(Debug)]
pub struct Proxy {
    listener: Arc<TcpListener>,
    link: watch::Sender<LinkState>,
}

impl Proxy {
    /// Starts to forward connections from `listen` to `target`.
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> Self {
        let (link, state) = watch::channel(LinkState::Open);
        let listener = Arc::new(super::listen(listen).await);
        let (acceptor, mut ended) = (Arc::clone(&listener), state.clone());
        let accept = async move {
            while let Ok((io, _)) = acceptor.accept().await {
                tokio::spawn(serve_connection(io, target, state.clone()));
            }
        };
        tokio::spawn(async move {
            tokio::select! {
                () = accept => {}
                _ = ended.wait_for(|link| *link == LinkState::Unopened) => {}
            }
        });
        Self { listener, link }
    }

    /// Closes all connections and lets no others open. Returns those that fill the queue of the
    /// listener.
    pub async fn close(&self) -> Vec<TcpStream> {
        self.set(LinkState::Unopened);
        SockRef::from(&*self.listener).listen(0).unwrap();
        let addr = self.listener.local_addr().unwrap();
        let mut queue = Vec::new();
        while let Ok(io) = timeout(FILL_TIMEOUT, TcpStream::connect(addr)).await {
            queue.push(io.unwrap());
        }
        queue
    }

    /// Sets the state of the link, also for open connections.
    pub fn set(&self, link: LinkState) {
        self.link.send_replace(link);
    }
}

async fn serve_connection(io: TcpStream, target: SocketAddr, state: watch::Receiver<LinkState>) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let (from_client, to_client) = io.into_split();
    let (from_server, to_server) = server.into_split();
    let mut reset = state.clone();
    let is_severable = *state.borrow() != LinkState::Severed;
    let is_silent = |link| is_severable && link == LinkState::Severed;
    let is_dropped = |link| [LinkState::Dropping, LinkState::DroppingResponses].contains(&link);
    tokio::select! {
        () = forward(from_client, to_server, state.clone(), |link| {
            is_silent(link) || link == LinkState::Dropping
        }, is_silent) => {}
        () = forward(from_server, to_client, state, |link| {
            is_silent(link) || is_dropped(link)
        }, is_silent) => {}
        _ = reset.wait_for(|link| matches!(link, LinkState::Reset | LinkState::Unopened)) => {}
    }
}

/// Forwards bytes in one direction, except while the link drops them. Ends with the connection `from`,
/// unless the link is silent then.
async fn forward(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    state: watch::Receiver<LinkState>,
    drops: impl Fn(LinkState) -> bool,
    is_silent: impl Fn(LinkState) -> bool,
) {
    let mut buf = vec![0; 16 * 1024];
    while let Ok(len @ 1..) = from.read(&mut buf).await {
        let link = *state.borrow();
        match link {
            LinkState::Delayed(delay) => sleep(delay).await,
            link if drops(link) => continue,
            _ => {}
        }
        if to.write_all(&buf[..len]).await.is_err() {
            return;
        }
    }
    let is_silent = is_silent(*state.borrow());
    if is_silent {
        pending::<()>().await;
    }
}
