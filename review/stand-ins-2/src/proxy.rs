//! Link between an edge and the platform, which may be narrow: what the edge sends waits in a queue.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, mpsc};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Proxy {
    pub addr: SocketAddr,
    target: SocketAddr,
    delay_ms: Arc<AtomicU64>,
    opened: Arc<AtomicUsize>,
}

impl Proxy {
    pub fn start(addr: SocketAddr, target: SocketAddr) -> Self {
        let listener = TcpListener::bind(addr).expect("the proxy's address is free");
        let proxy = Self {
            addr: listener.local_addr().expect("the listener is bound"),
            target,
            delay_ms: Arc::default(),
            opened: Arc::default(),
        };
        let served = proxy.clone();
        thread::spawn(move || {
            for io in listener.incoming().flatten() {
                served.opened.fetch_add(1, Ordering::SeqCst);
                served.forward(io);
            }
        });
        proxy
    }

    /// Sets the time for which what the edge sends waits.
    pub fn set_delay(&self, delay: Duration) {
        let ms = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        self.delay_ms.store(ms, Ordering::SeqCst);
    }

    /// Number of channels that the edge has opened so far.
    pub fn opened(&self) -> usize {
        self.opened.load(Ordering::SeqCst)
    }

    fn delay(&self) -> Duration {
        Duration::from_millis(self.delay_ms.load(Ordering::SeqCst))
    }

    fn forward(&self, edge: TcpStream) {
        // The packet that opens a channel waits in the queue too, and data follows its answer.
        let opened_at = Instant::now() + self.delay();
        let Ok(platform) = TcpStream::connect(self.target) else {
            return;
        };
        let _ = (edge.set_nodelay(true), platform.set_nodelay(true));
        let (Ok(edge_rx), Ok(platform_rx)) = (edge.try_clone(), platform.try_clone()) else {
            return;
        };
        let proxy = self.clone();
        thread::spawn(move || proxy.send_queued(edge_rx, platform, opened_at));
        thread::spawn(move || copy(platform_rx, edge));
    }

    fn send_queued(&self, mut from: TcpStream, mut to: TcpStream, opened_at: Instant) {
        let (tx, rx) = mpsc::channel::<(Instant, Vec<u8>)>();
        let writer = thread::spawn(move || {
            for (due, bytes) in rx {
                sleep(due.saturating_duration_since(Instant::now()));
                if to.write_all(&bytes).is_err() {
                    return;
                }
            }
            let _ = to.shutdown(Shutdown::Write);
        });
        let mut buf = [0; 64 * 1024];
        while let Ok(n) = from.read(&mut buf) {
            let due = opened_at.max(Instant::now()) + self.delay();
            if n == 0 || tx.send((due, buf[..n].to_vec())).is_err() {
                break;
            }
        }
        drop(tx);
        let _ = writer.join();
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    let _ = std::io::copy(&mut from, &mut to);
    let _ = to.shutdown(Shutdown::Write);
}
