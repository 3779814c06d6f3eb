//! Guards against an upstream that is excused as slow although its host cannot be reached.

use std::net::{Ipv4Addr, SocketAddr};

use nutmegbay_core::verdict::Verdict;
use nutmegbay_edge::http1::{CONNECT_TIMEOUT, CallError, Cause, Connection};
use nutmegbay_edge::own_delay::DelayMonitor;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::LocalSet;
use tokio::time::timeout;

/// Maximum number of connections that wait in the queue of a full listener.
const QUEUE_LEN: u32 = 1;

async fn open_error(addr: SocketAddr) -> CallError {
    let monitor = DelayMonitor::new(None);
    let open = Connection::open(addr, &monitor);
    LocalSet::new().run_until(open).await.err().unwrap()
}

/// Returns a listener that accepts no more connections, and those in its queue.
async fn full_listener() -> (TcpListener, Vec<TcpStream>) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind((Ipv4Addr::LOCALHOST, 0).into()).unwrap();
    let listener = socket.listen(QUEUE_LEN).unwrap();
    let addr = listener.local_addr().unwrap();
    let mut queue = Vec::new();
    while let Ok(io) = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await {
        queue.push(io.unwrap());
    }
    (listener, queue)
}

/// The kernel has no route to a broadcast address.
#[tokio::test]
async fn unreachable_host() {
    let error = open_error((Ipv4Addr::BROADCAST, 1).into()).await;
    assert_eq!(error.verdict, Verdict::NotRun);
    assert_eq!(error.cause, Cause::Connect);
}

#[tokio::test]
async fn full_queue() {
    let (listener, _queue) = full_listener().await;
    let error = open_error(listener.local_addr().unwrap()).await;
    assert_eq!(error.verdict, Verdict::NotRun);
    assert_eq!(error.cause, Cause::Timeout);
}

#[tokio::test]
async fn no_listener() {
    let (listener, queue) = full_listener().await;
    let addr = listener.local_addr().unwrap();
    drop((listener, queue));
    assert_eq!(open_error(addr).await.cause, Cause::Refused);
}
