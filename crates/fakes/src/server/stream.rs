//! TCP stream that can be black-holed.

use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::watch;

/// TCP stream that loses all bytes in both directions once it is black-holed. It stays open, like a
/// connection through a middlebox that has dropped its connection state.
#[derive(Debug)]
pub(super) struct BlackholeStream {
    stream: TcpStream,
    blackholed: watch::Receiver<bool>,
}

impl BlackholeStream {
    pub(super) fn new(stream: TcpStream, blackholed: watch::Receiver<bool>) -> Self {
        Self { stream, blackholed }
    }

    fn is_blackholed(&self) -> bool {
        *self.blackholed.borrow()
    }
}

impl AsyncRead for BlackholeStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        // A black-holed stream never wakes its reader. It ends when the server aborts it.
        let filled_before = buf.filled().len();
        if self.is_blackholed() {
            return Poll::Pending;
        }
        let result = ready!(Pin::new(&mut self.stream).poll_read(cx, buf));
        if self.is_blackholed() {
            buf.set_filled(filled_before);
            return Poll::Pending;
        }
        Poll::Ready(result)
    }
}

/// Writes to a black-holed stream succeed and are discarded, because the kernel also accepts bytes
/// that never reach the peer.
impl AsyncWrite for BlackholeStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        if self.is_blackholed() {
            return Poll::Ready(Ok(buf.len()));
        }
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        if self.is_blackholed() {
            return Poll::Ready(Ok(bufs.iter().map(|buf| buf.len()).sum()));
        }
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        // The peer does not receive the end of the stream either.
        if self.is_blackholed() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
