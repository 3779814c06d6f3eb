//! Connection of one caller, with a graceful close at a planned stop.

use std::convert::Infallible;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use hyper::body::{Frame, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use super::body::Body;
use super::serve::handle;
use crate::gateway::Gateway;

/// Maximum time for a caller to send the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum buffer size of one caller's connection in bytes; bounds the memory of an open stream.
const MAX_CONNECTION_BUFFER: usize = 16 * 1024;

/// Time without an active request after which a connection is closed at a planned stop. A caller
/// that has just read an answer often sends its next request at once over the same connection.
const IDLE_BEFORE_CLOSE: Duration = Duration::from_millis(500);

/// Serves one connection until the caller closes it, or until it has been idle for
/// `IDLE_BEFORE_CLOSE` after `close_when_idle` was cancelled.
pub async fn run(gateway: Arc<Gateway>, stream: TcpStream, close_when_idle: CancellationToken) {
    let (active_requests, mut active_count) = watch::channel(0);
    let service = service_fn(move |req| {
        let (gateway, request) = (Arc::clone(&gateway), ActiveRequest::new(&active_requests));
        async move {
            let res = handle(&gateway, req).await;
            Ok::<_, Infallible>(res.map(|body| TrackedBody {
                body,
                _request: request,
            }))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_CONNECTION_BUFFER)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let mut result = tokio::select! {
        result = connection.as_mut() => Some(result),
        () = idle_after(&close_when_idle, &mut active_count) => None,
    };
    if result.is_none() {
        connection.as_mut().graceful_shutdown();
        result = Some(connection.await);
    }
    if let Some(Err(error)) = result {
        tracing::debug!(event = "connection_ended", %error);
    }
}

/// Waits until `close_when_idle` is cancelled and then until no request has been active for
/// [`IDLE_BEFORE_CLOSE`].
async fn idle_after(
    close_when_idle: &CancellationToken,
    active_requests: &mut watch::Receiver<u32>,
) {
    close_when_idle.cancelled().await;
    loop {
        if active_requests.wait_for(|count| *count == 0).await.is_err() {
            return;
        }
        if timeout(IDLE_BEFORE_CLOSE, active_requests.changed())
            .await
            .is_err()
        {
            return;
        }
    }
}

/// Body of an answer. Its request counts as active until the body is dropped.
struct TrackedBody {
    body: Body,
    _request: ActiveRequest,
}

impl hyper::body::Body for TrackedBody {
    type Data = <Body as hyper::body::Body>::Data;
    type Error = <Body as hyper::body::Body>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Counts one active request of a connection until it is dropped.
struct ActiveRequest {
    count: watch::Sender<u32>,
}

impl ActiveRequest {
    fn new(count: &watch::Sender<u32>) -> Self {
        count.send_modify(|count| *count += 1);
        Self {
            count: count.clone(),
        }
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.count.send_modify(|count| *count -= 1);
    }
}
