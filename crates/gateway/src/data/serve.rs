//! Accepts connections of callers and dispatches their requests to handlers.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body as _, Incoming};
use nutmegbay_proto::problem::{Problem, ProblemKind};
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::body::Body;
use super::refuse::{not_run, respond};
use super::sse::CompletionApi;
use super::{at_most_once, connection, models, services};
use crate::auth::authenticate;
use crate::gateway::Gateway;

/// Maximum time between two parts of a request body.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Delay after a failed accept; the usual cause is a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections until `linger` after `stop` is cancelled, then waits until all connections
/// have closed.
///
/// While the gateway drains, every response asks the caller to close its connection. After
/// `linger`, the remaining connections are closed once they are idle. Closing all connections at
/// once would abort requests that callers are just sending over their keep-alive connections.
pub async fn serve(
    gateway: Arc<Gateway>,
    listener: TcpListener,
    stop: CancellationToken,
    linger: Duration,
) {
    let (connections, close_when_idle) = (TaskTracker::new(), CancellationToken::new());
    let mut linger_elapsed = pin!(async {
        stop.cancelled().await;
        sleep(linger).await;
    });
    loop {
        let stream = tokio::select! {
            () = &mut linger_elapsed => break,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(error) => {
                    tracing::warn!(event = "accept_failed", %error);
                    sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            },
        };
        // With Nagle's algorithm a small event would wait for the delayed acknowledgement of the
        // caller.
        let _ = stream.set_nodelay(true);
        connections.spawn(connection::run(
            Arc::clone(&gateway),
            stream,
            close_when_idle.clone(),
        ));
    }
    drop(listener);
    close_when_idle.cancel();
    connections.close();
    connections.wait().await;
}

/// Handles one request: measures it, and asks the caller to close the connection while the gateway
/// drains.
pub(super) async fn handle(gateway: &Arc<Gateway>, req: Request<Incoming>) -> Response<Body> {
    let started = Instant::now();
    gateway.metrics.count("requests");
    let mut res = dispatch_or_refuse(gateway, req).await;
    gateway.metrics.time("head", started.elapsed());
    if gateway.is_draining() {
        let close = HeaderValue::from_static("close");
        res.headers_mut().insert(header::CONNECTION, close);
    }
    res
}

async fn dispatch_or_refuse(gateway: &Arc<Gateway>, req: Request<Incoming>) -> Response<Body> {
    match dispatch(gateway, req).await {
        Ok(res) => res,
        Err(problem) => {
            gateway.metrics.count("refused");
            tracing::info!(event = "refused", kind = %problem.kind, verdict = %problem.verdict,
                detail = %problem.detail);
            respond(&problem)
        }
    }
}

async fn dispatch(
    gateway: &Arc<Gateway>,
    req: Request<Incoming>,
) -> Result<Response<Body>, Problem> {
    let in_flight = gateway.track_request();
    let (parts, body) = req.into_parts();
    let api = match (&parts.method, parts.uri.path()) {
        (&Method::POST, "/v1/chat/completions") => Some(CompletionApi::Chat),
        (&Method::POST, "/v1/completions") => Some(CompletionApi::Text),
        (&Method::GET, "/v1/models") => return models::list(gateway, &parts.headers),
        _ => None,
    };
    let view = gateway.view();
    let site = view.site()?;
    let max_body = site.limits.max_body_bytes;
    let Some(api) = api else {
        let route = services::find_route(site, &parts)?;
        if route.open {
            let body = read_body(body, max_body).await?;
            return services::call(gateway, route, None, &parts, body).await;
        }
        if route.idempotent {
            let caller = authenticate(gateway, &parts.headers)?;
            let body = read_body(body, max_body).await?;
            return services::call(gateway, route, Some(caller), &parts, body).await;
        }
        let refuse_before_lookup =
            |problem| at_most_once::refuse_before_lookup(route, &parts.headers, problem);
        let caller = authenticate(gateway, &parts.headers).map_err(refuse_before_lookup)?;
        let body = read_body(body, max_body)
            .await
            .map_err(refuse_before_lookup)?;
        return at_most_once::call(gateway, route, caller, parts, body).await;
    };
    drop(view);
    let caller = authenticate(gateway, &parts.headers)?;
    let body = read_body(body, max_body).await?;
    let res = models::complete(gateway, api, caller, &body).await;
    drop(in_flight);
    res
}

/// Reads a complete body.
///
/// Fails if the body is longer than `max` bytes, breaks off, or no part of it arrives for
/// `BODY_READ_TIMEOUT`.
pub async fn read_body<B>(body: B, max: usize) -> Result<Bytes, Problem>
where
    B: hyper::body::Body<Data = Bytes, Error: std::error::Error + Send + Sync + 'static>,
{
    let too_large = || {
        let detail = format!("the body may have at most {max} bytes");
        not_run(ProblemKind::BodyTooLarge, detail)
    };
    if body.size_hint().lower() > max as u64 {
        return Err(too_large());
    }
    let mut body = pin!(Limited::new(body, max));
    let mut bytes = Vec::with_capacity(usize::try_from(body.size_hint().lower()).unwrap_or(0));
    loop {
        let frame = timeout(BODY_READ_TIMEOUT, body.frame())
            .await
            .map_err(|_| {
                let detail = format!("no part of the body arrived for {BODY_READ_TIMEOUT:?}");
                not_run(ProblemKind::IncompleteBody, detail)
            })?;
        match frame {
            None => return Ok(Bytes::from(bytes)),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    bytes.extend_from_slice(&data);
                }
            }
            Some(Err(e)) if e.is::<LengthLimitError>() => return Err(too_large()),
            Some(Err(e)) => {
                let detail = format!("the body broke off: {e}");
                return Err(not_run(ProblemKind::IncompleteBody, detail));
            }
        }
    }
}
