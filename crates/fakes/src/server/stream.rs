//! A connection that can go silent.

use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::watch;

/// A connection over which nothing arrives any more once it is silent. It stays open, as seen
/// through a middlebox that has dropped its state.
#[derive(Debug)]
pub(super) struct SilentStream {
    stream: TcpStream,
    silent: watch::Receiver<bool>,
}

impl SilentStream {
    pub(super) fn new(stream: TcpStream, silent: watch::Receiver<bool>) -> Self {
        Self { stream, silent }
    }

    fn is_silent(&self) -> bool {
        *self.silent.borrow()
    }
}

impl AsyncRead for SilentStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        // A silent connection is never woken: it ends when the server cuts it.
        let filled = buf.filled().len();
        if self.is_silent() {
            return Poll::Pending;
        }
        let done = ready!(Pin::new(&mut self.stream).poll_read(cx, buf));
        if self.is_silent() {
            buf.set_filled(filled);
            return Poll::Pending;
        }
        Poll::Ready(done)
    }
}

/// Writes succeed on a silent connection and go nowhere, as into a kernel's buffer.
impl AsyncWrite for SilentStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        if self.is_silent() {
            return Poll::Ready(Ok(buf.len()));
        }
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        if self.is_silent() {
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
        // The end of the stream does not arrive either.
        if self.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
