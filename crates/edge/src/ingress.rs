//! Callers' connections and requests.

use std::cell::OnceCell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_TYPE, HOST, RETRY_AFTER};
use http::{HeaderValue, Request, Response, StatusCode};
use http_body::Body;
use http_body_util::{BodyExt, Either, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_core::verdict::Verdict;
use nutmegbay_policy::edge::admission::retry_after;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use crate::clock::millis;
use crate::forward::{Facts, Failure, InFlight, Job, serve, unknown_service};
use crate::http1::detect_silence;
use crate::model::{CallerLimits, Inbound};
use crate::port::{Dialect, origin_form};
use crate::routes::NoRoute;
use crate::site::Site;
use crate::stream::Broken;

/// Least buffer for a request's head that `hyper` accepts, in bytes.
const LEAST_HEAD_BUFFER: usize = 8 * 1024;

/// Pause after the listener failed, for example because no descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Longest time for which a caller waits that names no deadline.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(15);

/// Callers that come before a configuration is known are asked to return within this, in
/// milliseconds.
const NO_CONFIG_ROOM_MS: f64 = 500.0;

/// Accepts callers' connections until the listener is dropped.
pub async fn listen<D: Dialect>(site: Rc<Site<D>>, listener: TcpListener) {
    loop {
        tokio::select! {
            () = site.close_idle.cancelled() => return,
            accepted = listener.accept() => match accepted {
                Ok((io, _)) => {
                    tokio::task::spawn_local(connection(Rc::clone(&site), io));
                }
                Err(error) => {
                    tracing::warn!(event = "accept_failed", %error);
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            },
        }
    }
}

async fn connection<D: Dialect>(site: Rc<Site<D>>, io: TcpStream) {
    if let Err(error) = io.set_nodelay(true) {
        tracing::debug!(event = "socket_option_refused", %error);
    }
    detect_silence(&io);
    let limits = {
        let routes = site.routes.borrow();
        routes
            .as_ref()
            .map_or_else(CallerLimits::default, |table| table.config().limits)
    };
    let service = service_fn(|req| answer(Rc::clone(&site), req));
    // The time for a head counts from the end of the request before it, so it bounds idle time.
    let served = Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_time + limits.header_time)
        .max_buf_size(limits.header_bytes.max(LEAST_HEAD_BUFFER))
        .auto_date_header(false)
        .serve_connection(TokioIo::new(io), service);
    let mut served = std::pin::pin!(served);
    let result = tokio::select! {
        result = &mut served => result,
        () = site.close_idle.cancelled() => {
            served.as_mut().graceful_shutdown();
            served.await
        }
    };
    if let Err(error) = result {
        tracing::debug!(event = "caller_connection_ended", %error);
    }
}

async fn answer<D: Dialect>(
    site: Rc<Site<D>>,
    req: Request<Incoming>,
) -> Result<Response<impl Body<Data = Bytes, Error = Broken> + use<D>>, Infallible> {
    let arrived = site.now();
    let in_flight = InFlight::new(&site.in_flight);
    let mut res = match admit(&site, req, arrived, in_flight).await {
        Ok(job) => match serve(&site, &job).await {
            Ok(res) => {
                job.log(&site, res.status(), "answered", Verdict::Ran);
                res.map(Either::Right)
            }
            Err(failure) => {
                job.log(&site, failure.status, failure.cause, failure.verdict);
                refusal(&failure).map(Either::Left)
            }
        },
        Err(rejected) => {
            rejected.log(&site, arrived);
            refusal(&rejected.failure).map(Either::Left)
        }
    };
    if site.stop.is_cancelled() {
        res.headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(res.map(unify))
}

/// One body type for answers that are whole and answers that are passed on as they come.
pub fn unify<B>(body: Either<Full<Bytes>, B>) -> impl Body<Data = Bytes, Error = Broken> + use<B>
where
    B: Body<Data = Bytes, Error = Broken>,
{
    body.map_err(|_| Broken::Upstream)
}

/// A request that was refused before it became a [`Job`].
struct Rejected {
    id: Box<str>,
    failure: Failure,
}

impl Rejected {
    fn new(id: &str, status: StatusCode, cause: &'static str) -> Self {
        Self {
            id: id.into(),
            failure: Failure {
                status,
                verdict: Verdict::NotRun,
                cause,
                retry_after: None,
            },
        }
    }

    fn log<D: Dialect>(&self, site: &Site<D>, arrived: MonotonicTime) {
        let Failure { status, cause, .. } = self.failure;
        site.metrics.request("", status.as_u16(), cause);
        tracing::info!(
            event = "request",
            id = %self.id,
            status = status.as_u16(),
            cause,
            config = site.version(),
            total_ms = millis(site.now().since(arrived)),
        );
    }
}

/// Decodes a request and finds its route, client account and service.
async fn admit<D: Dialect>(
    site: &Rc<Site<D>>,
    req: Request<Incoming>,
    arrived: MonotonicTime,
    in_flight: InFlight,
) -> Result<Rc<Job>, Rejected> {
    let (parts, body) = req.into_parts();
    let inbound = site
        .dialect
        .inbound(&parts.headers)
        .map_err(|bad| Rejected::new("", StatusCode::BAD_REQUEST, bad.0))?;
    let id = inbound.id.clone();
    let reject = |status, cause| Rejected::new(&id, status, cause);
    let Some(table) = site.routes.borrow().clone() else {
        let mut rejected = reject(StatusCode::SERVICE_UNAVAILABLE, "no_config");
        rejected.failure.retry_after = Some(retry_after(NO_CONFIG_ROOM_MS, rand::random()));
        return Err(rejected);
    };
    let host = parts
        .headers
        .get(HOST)
        .and_then(|host| host.to_str().ok())
        .or(parts.uri.host())
        .unwrap_or_default();
    let target = origin_form(&parts.uri);
    let route = table
        .route(host, parts.uri.path())
        .ok_or_else(|| reject(StatusCode::NOT_FOUND, "no_route"))?;
    let account = table
        .account(route, inbound.key.as_deref())
        .map_err(|why| match why {
            NoRoute::NoKey => reject(StatusCode::UNAUTHORIZED, "no_key"),
            NoRoute::BadKey => reject(StatusCode::UNAUTHORIZED, "unknown_key"),
            NoRoute::Unknown => reject(StatusCode::NOT_FOUND, "no_route"),
        })?;
    let service = table
        .service(route, rand::random())
        .ok_or_else(|| Rejected {
            id: id.clone(),
            failure: unknown_service(&route.name),
        })?;
    site.first_request(&service.name);
    if service.engine.is_some() {
        let mut fleet = site.fleet.borrow_mut();
        fleet.average_streams(&service.name, arrived);
    }
    let deadline = inbound.deadline.unwrap_or(DEFAULT_DEADLINE);
    let patience = deadline.min(route.timeout);
    let limit = table.config().limits.body_bytes;
    let body = read_body(body, limit, patience)
        .await
        .map_err(|(status, cause)| reject(status, cause))?;
    Ok(Rc::new(Job {
        elapsed: site.elapsed(&route.name, deadline),
        ends: arrived.plus(patience),
        target: target.into(),
        method: parts.method,
        inbound: without_key(inbound),
        route: Rc::clone(route),
        service: Rc::clone(service),
        rank: table.rank(route, account.as_deref()),
        account,
        body,
        arrived,
        _in_flight: in_flight,
        facts: Facts::default().into(),
        fingerprint: OnceCell::new(),
    }))
}

fn without_key(inbound: Inbound) -> Inbound {
    Inbound {
        key: None,
        ..inbound
    }
}

async fn read_body(
    body: Incoming,
    limit: usize,
    patience: Duration,
) -> Result<Bytes, (StatusCode, &'static str)> {
    const TOO_LARGE: (StatusCode, &str) = (StatusCode::PAYLOAD_TOO_LARGE, "body_too_large");
    // A declared length is refused before the body comes.
    if body.size_hint().lower() > limit as u64 {
        return Err(TOO_LARGE);
    }
    match timeout(patience, Limited::new(body, limit).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(TOO_LARGE),
        Ok(Err(_)) => Err((StatusCode::BAD_REQUEST, "body_broken")),
        Err(_) => Err((StatusCode::REQUEST_TIMEOUT, "body_too_slow")),
    }
}

/// Answer of the system's own.
fn refusal(failure: &Failure) -> Response<Full<Bytes>> {
    let verdict: &str = failure.verdict.into();
    let body = format!(
        "{{\"cause\":\"{}\",\"verdict\":\"{verdict}\"}}\n",
        failure.cause
    );
    let mut res = Response::new(Full::new(Bytes::from(body)));
    *res.status_mut() = failure.status;
    let headers = res.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(after) = failure.retry_after {
        // Fractions are allowed on the deployments' platform.
        let text = format!("{:.3}", after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&text) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    res
}

impl Job {
    fn log<D: Dialect>(
        &self,
        site: &Site<D>,
        status: StatusCode,
        cause: &'static str,
        verdict: Verdict,
    ) {
        site.metrics
            .request(&self.route.name, status.as_u16(), cause);
        let facts = self.facts.borrow();
        if facts.is_streaming {
            return;
        }
        let verdict: &str = verdict.into();
        tracing::info!(
            event = "request",
            id = %self.inbound.id,
            route = %self.route.name,
            account = self.account_name(),
            status = status.as_u16(),
            cause,
            verdict,
            upstreams = %facts.upstreams,
            sends = facts.sends,
            cost_ms = facts.cost_ms.round(),
            summed_ms = facts.summed_ms.round(),
            predicted_ms = facts.predicted_ms.round(),
            elapsed_ms = millis(self.elapsed),
            config = site.version(),
            total_ms = millis(site.now().since(self.arrived)),
        );
    }
}
