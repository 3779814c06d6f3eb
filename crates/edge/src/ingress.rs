//! Accepts callers' connections and requests, and writes the responses.

use std::cell::{Cell, OnceCell};
use std::convert::Infallible;
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_TYPE, HOST, RETRY_AFTER};
use http::request::Parts;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body::Body;
use http_body_util::{BodyExt, Either, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_core::verdict::Verdict;
use nutmegbay_policy::edge::admission::retry_after;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use crate::body::{self, HeldBody, NO_MEMORY};
use crate::caller::{Caller, CallerIo};
use crate::clock::millis;
use crate::forward::{
    Failure, InFlightGuard, RequestProgress, RoutedRequest, serve, unknown_service,
};
use crate::http1::MAX_HEADERS;
use crate::model::{CallerLimits, RequestHead};
use crate::own_delay::CountedIo;
use crate::peer_io::PeerIo;
use crate::platform_api::{WireCodec, origin_form};
use crate::read_ahead::CallerBody;
use crate::routes::RouteError;
use crate::state::EdgeState;
use crate::stopping::{PlannedStop, STOPPING};
use crate::stream::ResponseBodyError;

/// Minimum buffer size for the head of a request, in bytes. It is fixed when a connection is
/// accepted, and the configuration may allow larger heads later.
const MIN_HEAD_BUFFER_BYTES: usize = 64 * 1024;

/// Smallest limit for the head of a request that is applied, in bytes.
const MIN_HEAD_LIMIT_BYTES: usize = 8 * 1024;

/// Bytes of the head of a request beside its method, target and headers.
const REQUEST_LINE_EXTRA_BYTES: usize = "  HTTP/1.1\r\n\r\n".len();

/// Bytes of a header beside its name and value.
const HEADER_EXTRA_BYTES: usize = ": \r\n".len();

/// Pause after a failed accept, for example if no file descriptor is free.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(50);

/// Expected time until a configuration is known, in milliseconds. Callers that arrive before are
/// asked to retry after about this time.
const NO_CONFIG_RETRY_MS: f64 = 500.0;

/// Expected time until a caller whose request is refused because of a planned stop reaches another
/// process, in milliseconds.
const STOPPING_RETRY_MS: f64 = 100.0;

/// Expected time until bodies that take all the memory for them have been served, in milliseconds.
const NO_MEMORY_RETRY_MS: f64 = 200.0;

/// Time for which a connection that is still to bring its first request is kept open when idle
/// connections are closed.
const FIRST_REQUEST_WAIT: Duration = Duration::from_millis(250);

/// Time for which other idle connections are kept open then, for a request that has already
/// arrived.
const LAST_REQUEST_WAIT: Duration = Duration::from_millis(20);

/// Accepts callers' connections until [`EdgeState::close_idle`] is cancelled, and those that wait
/// to be accepted at that time.
pub async fn listen<D: WireCodec>(state: Rc<EdgeState<D>>, listener: TcpListener) {
    loop {
        tokio::select! {
            () = state.close_idle.cancelled() => return accept_waiting(&state, listener),
            accepted = listener.accept() => match accepted {
                Ok((io, _)) => {
                    spawn_caller(&state, io);
                }
                Err(error) => {
                    tracing::warn!(event = "accept_failed", %error);
                    tokio::time::sleep(ACCEPT_ERROR_PAUSE).await;
                }
            },
        }
    }
}

/// Accepts the connections that wait, and closes the listener.
fn accept_waiting<D: WireCodec>(state: &Rc<EdgeState<D>>, listener: TcpListener) {
    let accept = |listener: &std::net::TcpListener| {
        let (io, _) = listener.accept()?;
        io.set_nonblocking(true)?;
        TcpStream::from_std(io)
    };
    let Ok(listener) = listener.into_std() else {
        return;
    };
    loop {
        match accept(&listener) {
            Ok(io) => spawn_caller(state, io),
            Err(error) if error.kind() == ErrorKind::ConnectionAborted => {}
            Err(error) if error.kind() == ErrorKind::WouldBlock => return,
            Err(error) => {
                tracing::warn!(event = "accept_failed", %error);
                return;
            }
        }
    }
}

fn spawn_caller<D: WireCodec>(state: &Rc<EdgeState<D>>, io: TcpStream) {
    let open = InFlightGuard::new(&state.planned_stop.connections);
    let served = serve_caller(Rc::clone(state), io);
    tokio::task::spawn_local(async move {
        served.await;
        drop(open);
    });
}

async fn serve_caller<D: WireCodec>(state: Rc<EdgeState<D>>, io: TcpStream) {
    if let Err(error) = io.set_nodelay(true) {
        tracing::debug!(event = "socket_option_refused", %error);
    }
    let limits = ConnectionLimits::new(&state.caller_limits());
    let has_brought_any = Cell::new(false);
    let max_pause = state.caller_limits().idle_time;
    let caller = Caller::open(&state, max_pause);
    let service = service_fn(|req| {
        has_brought_any.set(true);
        let res = Box::pin(respond(Rc::clone(&state), req, limits));
        let caller = Rc::clone(&caller);
        async { Ok::<_, Infallible>(res.await.map(|body| CallerBody::new(body, caller))) }
    });
    // `hyper` counts the time for a head from the end of the previous request, so this timeout
    // bounds the idle time too.
    let io = PeerIo::caller(io, max_pause, &state.delay_monitor);
    let io = CallerIo::new(CountedIo::new(io, &state.delay_monitor), Rc::clone(&caller));
    let served = Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.head_bytes)
        .max_headers(MAX_HEADERS)
        .auto_date_header(false)
        .serve_connection(TokioIo::new(io), service);
    let mut served = std::pin::pin!(served);
    let result = tokio::select! {
        biased;
        () = caller.given_up() => return,
        result = &mut served => result,
        () = state.close_idle.cancelled() => {
            let wait = if has_brought_any.get() { LAST_REQUEST_WAIT } else { FIRST_REQUEST_WAIT };
            match timeout(wait, &mut served).await {
                Ok(result) => result,
                Err(_) => {
                    served.as_mut().graceful_shutdown();
                    tokio::select! {
                        () = caller.given_up() => return,
                        result = served => result,
                    }
                }
            }
        }
    };
    if let Err(error) = result {
        tracing::debug!(event = "caller_connection_ended", %error);
    }
}

/// Limits that are fixed when a connection is accepted.
#[derive(Clone, Copy)]
struct ConnectionLimits {
    head_bytes: usize,
    /// Maximum time from the end of a response to the end of the next head.
    head_timeout: Duration,
}

impl ConnectionLimits {
    fn new(limits: &CallerLimits) -> Self {
        Self {
            head_bytes: limits.header_bytes.max(MIN_HEAD_BUFFER_BYTES),
            head_timeout: limits.idle_time + limits.header_time,
        }
    }

    /// Returns whether a connection with these limits can follow `limits`.
    fn fit(&self, limits: &CallerLimits) -> bool {
        let wanted = Self::new(limits);
        self.head_bytes >= wanted.head_bytes && self.head_timeout == wanted.head_timeout
    }
}

async fn respond<D: WireCodec>(
    state: Rc<EdgeState<D>>,
    req: Request<Incoming>,
    limits: ConnectionLimits,
) -> Response<impl Body<Data = Bytes, Error = ResponseBodyError> + use<D>> {
    let arrived = state.now();
    let in_flight = InFlightGuard::new(&state.in_flight);
    let mut res = match route_request(&state, req, arrived, in_flight).await {
        Ok(request) => match serve_until_exit(&state, &request).await {
            Ok(res) => {
                request.log(&state, res.status(), "answered", Verdict::Ran);
                request.record_duration(&state);
                res.map(Either::Right)
            }
            Err(failure) => {
                request.log(&state, failure.status, failure.cause, failure.verdict);
                if failure.verdict != Verdict::NotRun {
                    request.record_duration(&state);
                }
                refusal_response(&failure).map(Either::Left)
            }
        },
        Err(rejected) => {
            rejected.log(&state, arrived);
            refusal_response(&rejected.failure).map(Either::Left)
        }
    };
    if state.stop.is_cancelled() || !limits.fit(&state.caller_limits()) {
        res.headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    res.map(unify_body)
}

/// Forwards a request and returns the response, unless it cannot be finished before the process
/// exits.
async fn serve_until_exit<D: WireCodec>(
    state: &Rc<EdgeState<D>>,
    request: &Rc<RoutedRequest>,
) -> Result<Response<impl Body<Data = Bytes, Error = ResponseBodyError> + use<D>>, Failure> {
    let PlannedStop { ended, .. } = &state.planned_stop;
    if !state
        .planned_stop
        .can_finish(&request.route, request.deadline_at, state.now())
    {
        return Err(stopping(Verdict::NotRun));
    }
    tokio::select! {
        biased;
        response = serve(state, request) => response,
        () = ended.cancelled() => Err(stopping(match request.progress.borrow().sends {
            0 => Verdict::NotRun,
            _ => Verdict::MayHaveRun,
        })),
    }
}

/// Returns the failure of a request that a planned stop refuses or ends.
fn stopping(verdict: Verdict) -> Failure {
    let is_refused = verdict == Verdict::NotRun;
    Failure {
        status: if is_refused {
            StatusCode::SERVICE_UNAVAILABLE
        } else {
            StatusCode::BAD_GATEWAY
        },
        verdict,
        cause: STOPPING,
        retry_after: is_refused.then(|| retry_after(STOPPING_RETRY_MS, rand::random())),
    }
}

/// Converts whole and streamed response bodies into one body type.
pub fn unify_body<B>(
    body: Either<Full<Bytes>, B>,
) -> impl Body<Data = Bytes, Error = ResponseBodyError> + use<B>
where
    B: Body<Data = Bytes, Error = ResponseBodyError>,
{
    body.map_err(|_| ResponseBodyError::Upstream)
}

/// Request that was rejected before it became a [`RoutedRequest`].
struct RejectedRequest {
    id: Box<str>,
    failure: Failure,
    /// Time for which the body was read.
    body_time: Option<Duration>,
    /// Declared size of the body in bytes.
    body_bytes: u64,
}

/// Returns the failure of a request that is rejected before it is forwarded.
fn rejection(status: StatusCode, cause: &'static str) -> Failure {
    Failure {
        status,
        verdict: Verdict::NotRun,
        cause,
        retry_after: None,
    }
}

impl RejectedRequest {
    fn new(id: &str, status: StatusCode, cause: &'static str) -> Self {
        Self {
            id: id.into(),
            failure: rejection(status, cause),
            body_time: None,
            body_bytes: 0,
        }
    }

    fn log<D: WireCodec>(&self, state: &EdgeState<D>, arrived: MonotonicTime) {
        let Failure { status, cause, .. } = self.failure;
        state.metrics.count_request("", status.as_u16(), cause);
        tracing::info!(
            event = "request",
            id = %self.id,
            status = status.as_u16(),
            cause,
            config = state.version(),
            body_ms = self.body_time.map(millis),
            body_bytes = self.body_bytes,
            total_ms = millis(state.now().since(arrived)),
        );
    }
}

/// Returns the status and the cause with which a request is refused whose head is too large.
fn check_head(parts: &Parts, limits: &CallerLimits) -> Result<(), (StatusCode, &'static str)> {
    if head_bytes(parts) > limits.header_bytes.max(MIN_HEAD_LIMIT_BYTES) {
        let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        return Err((status, "head_too_large"));
    }
    Ok(())
}

fn host(parts: &Parts) -> &str {
    let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    host.or(parts.uri.host()).unwrap_or_default()
}

/// Returns the size of the head of a request in bytes.
fn head_bytes(parts: &Parts) -> usize {
    let headers = parts.headers.iter();
    let header_bytes =
        headers.map(|(name, value)| name.as_str().len() + value.len() + HEADER_EXTRA_BYTES);
    let target = parts.uri.path_and_query().map_or(0, |p| p.as_str().len());
    parts.method.as_str().len() + target + REQUEST_LINE_EXTRA_BYTES + header_bytes.sum::<usize>()
}

/// Decodes a request and finds its route, client account and service.
async fn route_request<D: WireCodec>(
    state: &Rc<EdgeState<D>>,
    req: Request<Incoming>,
    arrived: MonotonicTime,
    in_flight: InFlightGuard,
) -> Result<Rc<RoutedRequest>, RejectedRequest> {
    let (parts, body) = req.into_parts();
    let body_bytes = body.size_hint().lower();
    let head = state
        .codec
        .decode_request_head(&parts.headers)
        .map_err(|bad| RejectedRequest {
            body_bytes,
            ..RejectedRequest::new("", StatusCode::BAD_REQUEST, bad.0)
        })?;
    let id = head.id.clone();
    let reject = |status, cause| RejectedRequest {
        body_bytes,
        ..RejectedRequest::new(&id, status, cause)
    };
    let Some(table) = state.routes.borrow().clone() else {
        let mut rejected = reject(StatusCode::SERVICE_UNAVAILABLE, "no_config");
        rejected.failure.retry_after = Some(retry_after(NO_CONFIG_RETRY_MS, rand::random()));
        return Err(rejected);
    };
    check_head(&parts, &table.config().limits).map_err(|(status, cause)| reject(status, cause))?;
    let target = origin_form(&parts.uri);
    let route = table
        .route(host(&parts), parts.uri.path())
        .ok_or_else(|| reject(StatusCode::NOT_FOUND, "no_route"))?;
    let account = table
        .account(route, head.key.as_deref())
        .map_err(|why| match why {
            RouteError::NoKey => reject(StatusCode::UNAUTHORIZED, "no_key"),
            RouteError::BadKey => reject(StatusCode::UNAUTHORIZED, "unknown_key"),
            RouteError::Unknown => reject(StatusCode::NOT_FOUND, "no_route"),
        })?;
    let failed = |failure| RejectedRequest {
        failure,
        ..reject(StatusCode::SERVICE_UNAVAILABLE, "")
    };
    let service = table
        .service(route, rand::random())
        .ok_or_else(|| failed(unknown_service(&route.name)))?;
    state.count_first_request(&service.name);
    if let Some(engine) = &service.engine {
        let mut fleet = state.fleet.borrow_mut();
        fleet.average_long_streams(&service.name, engine.slots, arrived);
    }
    let deadline = head.caller_wait();
    let time_limit = deadline.min(route.timeout);
    let deadline_at = arrived.plus(time_limit);
    let limit = table.config().limits.body_bytes;
    if !state.planned_stop.can_finish(route, deadline_at, arrived) {
        return Err(failed(stopping(Verdict::NotRun)));
    }
    let body = receive_body(state, body, limit, time_limit)
        .await
        .map_err(|failure| RejectedRequest {
            body_time: Some(state.now().since(arrived)),
            ..failed(failure)
        })?;
    Ok(Rc::new(RoutedRequest {
        elapsed: state.time_since_first_attempt(&route.name, deadline),
        deadline_at,
        target: target.into(),
        method: parts.method,
        head: without_key(head),
        route: Rc::clone(route),
        service: Rc::clone(service),
        route_rank: table.rank(route, account.as_deref()),
        account,
        body,
        body_time: state.now().since(arrived),
        arrived,
        _in_flight: in_flight,
        progress: RequestProgress::default().into(),
        contents: OnceCell::new(),
    }))
}

fn without_key(head: RequestHead) -> RequestHead {
    RequestHead { key: None, ..head }
}

/// Receives the body of a request, unless a planned stop ends before.
async fn receive_body<D: WireCodec>(
    state: &EdgeState<D>,
    body: Incoming,
    limit: usize,
    time_limit: Duration,
) -> Result<HeldBody, Failure> {
    tokio::select! {
        biased;
        body = body::read(state, body, limit, time_limit) => {
            body.map_err(|error| {
                let (status, cause) = error;
                let is_retried = error == NO_MEMORY;
                Failure {
                    retry_after: is_retried.then(|| retry_after(NO_MEMORY_RETRY_MS, rand::random())),
                    ..rejection(status, cause)
                }
            })
        }
        () = state.planned_stop.ended.cancelled() => Err(stopping(Verdict::NotRun)),
    }
}

/// Builds a response of the edge itself.
fn refusal_response(failure: &Failure) -> Response<Full<Bytes>> {
    let verdict: &str = failure.verdict.into();
    let body = format!(
        "{{\"cause\":\"{}\",\"verdict\":\"{verdict}\"}}\n",
        failure.cause
    );
    let mut res = Response::new(Full::new(Bytes::from(body)));
    *res.status_mut() = failure.caller_status();
    let headers = res.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(after) = failure.retry_after {
        // The deployments' platform accepts fractions of a second here.
        let text = format!("{:.3}", after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&text) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    res
}

impl RoutedRequest {
    /// Records the duration of a request whose response is complete.
    fn record_duration<D: WireCodec>(&self, state: &EdgeState<D>) {
        if !self.progress.borrow().is_streaming {
            let now = state.now();
            let took = now.since(self.arrived);
            let stop = &state.planned_stop;
            stop.record_duration(&self.route.name, took, now);
        }
    }

    fn log<D: WireCodec>(
        &self,
        state: &EdgeState<D>,
        status: StatusCode,
        cause: &'static str,
        verdict: Verdict,
    ) {
        state
            .metrics
            .count_request(&self.route.name, status.as_u16(), cause);
        let progress = self.progress.borrow();
        if progress.is_streaming {
            return;
        }
        let verdict: &str = verdict.into();
        tracing::info!(
            event = "request",
            id = %self.head.id,
            route = %self.route.name,
            account = self.account_name(),
            status = status.as_u16(),
            cause,
            verdict,
            upstreams = %progress.upstreams,
            sends = progress.sends,
            delimiter = progress.delimiter.map(<&str>::from),
            cost_ms = progress.cost_ms.round(),
            summed_ms = progress.summed_ms.round(),
            predicted_ms = progress.predicted_ms.round(),
            within_part = progress.within_part,
            load_age_ms = progress.load_age.map(millis),
            elapsed_ms = millis(self.elapsed),
            config = state.version(),
            body_ms = millis(self.body_time),
            body_bytes = self.body.len(),
            total_ms = millis(state.now().since(self.arrived)),
        );
    }
}
