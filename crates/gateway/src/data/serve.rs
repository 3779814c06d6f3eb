//! Accepts callers' connections and dispatches their requests.

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
use super::sse::Style;
use super::{connection, models, once, services};
use crate::auth::identify;
use crate::gateway::Gateway;

/// Longest pause while a caller sends a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Pause after a failed accept, which is usually a lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves callers until `linger` after `stop`, then finishes what is in flight.
///
/// Between the two every answer closes its connection; after that, connections whose answers had
/// begun before are closed once they are quiet. Closing connections at once would cut the requests
/// that callers send at that moment over connections that they keep open.
pub async fn serve(
    gateway: Arc<Gateway>,
    listener: TcpListener,
    stop: CancellationToken,
    linger: Duration,
) {
    let (connections, over) = (TaskTracker::new(), CancellationToken::new());
    let mut lingered = pin!(async {
        stop.cancelled().await;
        sleep(linger).await;
    });
    loop {
        let stream = tokio::select! {
            () = &mut lingered => break,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(error) => {
                    tracing::warn!(event = "accept_failed", %error);
                    sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            },
        };
        // Without this a small event would wait for the caller's delayed acknowledgement.
        let _ = stream.set_nodelay(true);
        connections.spawn(connection::run(Arc::clone(&gateway), stream, over.clone()));
    }
    drop(listener);
    over.cancel();
    connections.close();
    connections.wait().await;
}

pub(super) async fn handle(gateway: &Arc<Gateway>, req: Request<Incoming>) -> Response<Body> {
    let started = Instant::now();
    gateway.metrics.count("requests");
    let mut res = answer(gateway, req).await;
    gateway.metrics.time("head", started.elapsed());
    if gateway.is_draining() {
        let close = HeaderValue::from_static("close");
        res.headers_mut().insert(header::CONNECTION, close);
    }
    res
}

async fn answer(gateway: &Arc<Gateway>, req: Request<Incoming>) -> Response<Body> {
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
    let style = match (&parts.method, parts.uri.path()) {
        (&Method::POST, "/v1/chat/completions") => Some(Style::Chat),
        (&Method::POST, "/v1/completions") => Some(Style::Text),
        (&Method::GET, "/v1/models") => return models::list(gateway, &parts.headers),
        _ => None,
    };
    let view = gateway.view();
    let site = view.site()?;
    let max_body = site.limits.max_body_bytes;
    let Some(style) = style else {
        let route = services::find_route(site, &parts)?;
        if route.open {
            let body = read_body(body, max_body).await?;
            return services::call(gateway, route, None, &parts, body).await;
        }
        if route.idempotent {
            let caller = identify(gateway, &parts.headers)?;
            let body = read_body(body, max_body).await?;
            return services::call(gateway, route, Some(caller), &parts, body).await;
        }
        let unproven = |problem| once::unproven(route, &parts.headers, problem);
        let caller = identify(gateway, &parts.headers).map_err(unproven)?;
        let body = read_body(body, max_body).await.map_err(unproven)?;
        return once::call(gateway, route, caller, parts, body).await;
    };
    drop(view);
    let caller = identify(gateway, &parts.headers)?;
    let body = read_body(body, max_body).await?;
    let res = models::complete(gateway, style, caller, &body).await;
    drop(in_flight);
    res
}

/// Reads a whole body of at most `max` bytes.
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
    let mut whole = Vec::with_capacity(usize::try_from(body.size_hint().lower()).unwrap_or(0));
    loop {
        let frame = timeout(BODY_TIMEOUT, body.frame()).await.map_err(|_| {
            let detail = format!("no part of the body came for {BODY_TIMEOUT:?}");
            not_run(ProblemKind::IncompleteBody, detail)
        })?;
        match frame {
            None => return Ok(Bytes::from(whole)),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    whole.extend_from_slice(&data);
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
