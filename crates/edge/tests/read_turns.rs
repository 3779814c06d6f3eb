//! Guards against a peer that sends without end and keeps a process from all other work.

use std::io::Result;
use std::pin::Pin;
use std::task::{Context, Poll};

use futures::task::noop_waker_ref;
use nutmegbay_edge::own_delay::{CountedIo, DelayMonitor};
use tokio::io::{AsyncRead, ReadBuf};

/// Maximum number of bytes that one poll may read.
const MAX_TURN_BYTES: usize = 64 * 1024;

/// Peer whose bytes are always there.
struct Endless;

impl AsyncRead for Endless {
    fn poll_read(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let len = buf.remaining();
        buf.initialize_unfilled_to(len).fill(b'x');
        buf.advance(len);
        Poll::Ready(Ok(()))
    }
}

/// Reads as long as bytes are there, [`MAX_TURN_BYTES`] at most. Returns the number of bytes.
fn read_turn(io: &mut CountedIo<Endless>, piece: usize) -> usize {
    let mut cx = Context::from_waker(noop_waker_ref());
    let mut bytes = vec![0; piece];
    let mut read = 0;
    while read <= MAX_TURN_BYTES {
        let mut buf = ReadBuf::new(&mut bytes);
        match Pin::new(&mut *io).poll_read(&mut cx, &mut buf) {
            Poll::Ready(result) => result.unwrap(),
            Poll::Pending => break,
        }
        read += buf.filled().len();
    }
    read
}

/// Other tasks get their turn, however large the reads are, and the connection then goes on.
#[test]
fn endless_peer() {
    for piece in [1, 8 * 1024, 32 * 1024] {
        let mut io = CountedIo::new(Endless, &DelayMonitor::new(None));
        for _ in 0..3 {
            let read = read_turn(&mut io, piece);
            assert!((1..=MAX_TURN_BYTES).contains(&read), "{read} by {piece}");
        }
    }
}

/// A limit on the bytes until something is complete fails the reads beyond it, and no others.
#[test]
fn read_limit() {
    let mut io = CountedIo::new(Endless, &DelayMonitor::new(None));
    let limit = io.read_limit();
    read_turn(&mut io, 1_024);
    limit.set(2_048);
    limit.start();
    let mut cx = Context::from_waker(noop_waker_ref());
    let mut results = Vec::new();
    for _ in 0..4 {
        let mut bytes = [0; 1_024];
        let poll = Pin::new(&mut io).poll_read(&mut cx, &mut ReadBuf::new(&mut bytes));
        results.push(matches!(poll, Poll::Ready(Ok(()))));
    }
    assert_eq!(results, [true, true, false, false]);
    assert!(limit.is_exceeded());
    limit.end();
    assert!(!limit.is_exceeded());
}
