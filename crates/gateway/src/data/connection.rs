//! One caller's connection and its planned end.

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

/// Time for a caller to send the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Buffer of one caller's connection in bytes: bounds the memory of an open stream.
const CONNECTION_BUFFER: usize = 16 * 1024;

/// Time without a request after which a connection is closed on a planned stop. A caller that has
/// just read an answer often sends its next request at once over the same connection.
const QUIET: Duration = Duration::from_millis(500);

/// Serves one connection until the caller closes it, or until it is quiet after `over`.
pub async fn run(gateway: Arc<Gateway>, stream: TcpStream, over: CancellationToken) {
    let (active, mut quiet) = watch::channel(0);
    let service = service_fn(move |req| {
        let (gateway, request) = (Arc::clone(&gateway), Active::new(&active));
        async move {
            let res = handle(&gateway, req).await;
            Ok::<_, Infallible>(res.map(|body| Tracked {
                body,
                _request: request,
            }))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(CONNECTION_BUFFER)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let mut result = tokio::select! {
        result = connection.as_mut() => Some(result),
        () = until_quiet(&over, &mut quiet) => None,
    };
    if result.is_none() {
        connection.as_mut().graceful_shutdown();
        result = Some(connection.await);
    }
    if let Some(Err(error)) = result {
        tracing::debug!(event = "connection_ended", %error);
    }
}

/// Waits until no request has been active for [`QUIET`], once `over` is cancelled.
async fn until_quiet(over: &CancellationToken, active: &mut watch::Receiver<u32>) {
    over.cancelled().await;
    loop {
        if active.wait_for(|count| *count == 0).await.is_err() {
            return;
        }
        if timeout(QUIET, active.changed()).await.is_err() {
            return;
        }
    }
}

/// Body of an answer, whose request is active until the body is complete or abandoned.
struct Tracked {
    body: Body,
    _request: Active,
}

impl hyper::body::Body for Tracked {
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

/// An active request of a connection.
struct Active {
    count: watch::Sender<u32>,
}

impl Active {
    fn new(count: &watch::Sender<u32>) -> Self {
        count.send_modify(|count| *count += 1);
        Self {
            count: count.clone(),
        }
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        self.count.send_modify(|count| *count -= 1);
    }
}
