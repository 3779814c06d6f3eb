//! Model work: `POST /work` is forwarded to the engine's `POST /generate`, frames come back as
//! they arrive.

use std::convert::Infallible;
use std::sync::Arc;

use axum::Json;
use axum::body::Body;
use axum::extract::State;
use axum::extract::rejection::JsonRejection;
use axum::http::{HeaderValue, Request, Uri, header};
use axum::response::{IntoResponse, Response};
use bytes::{Bytes, BytesMut};
use futures::Stream;
use futures::stream::unfold;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper_util::client::legacy::ResponseFuture;
use nutmegbay_core::ids::RequestId;
use nutmegbay_core::verdict::Verdict;
use nutmegbay_proto::engine::{Cancel, Generate};
use nutmegbay_proto::frame::{Frame, FrameBody};
use nutmegbay_proto::problem::{Problem, ProblemKind};
use nutmegbay_proto::work::Work;
use nutmegbay_settings::model::UpstreamKind;
use tokio::time::{Duration, Instant, sleep_until};

use crate::frames::{Check, Checked};
use crate::refuse::Refusal;
use crate::state::{InFlight, Shared};

/// Media type of a stream of frames.
const NDJSON: &str = "application/x-ndjson";

/// Time without any frame after which a sign of life is sent.
const KEEP_ALIVE: Duration = Duration::from_millis(500);

/// Longest line accepted from the engine.
const MAX_LINE_BYTES: usize = 1 << 20;

/// Most of an engine's refusal that is read.
const MAX_REFUSAL_BYTES: usize = 16 << 10;

/// Time for the engine to take a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// Handles `POST /work`.
pub(crate) async fn handle(
    State(shared): State<Arc<Shared>>,
    work: Result<Json<Work>, JsonRejection>,
) -> Response {
    match work {
        Ok(Json(work)) => match start(&shared, work) {
            Ok(relay) => stream(relay),
            Err(refusal) => refusal.into_response(),
        },
        Err(rejection) => {
            Refusal::not_run(ProblemKind::MalformedBody, rejection.body_text()).into_response()
        }
    }
}

fn start(shared: &Arc<Shared>, work: Work) -> Result<Relay, Refusal> {
    if shared.settings.kind != UpstreamKind::Engine {
        return Err(Refusal::not_run(
            ProblemKind::NoUpstream,
            format!("upstream `{}` is not an engine", shared.settings.instance),
        ));
    }
    let in_flight = shared.enter()?;
    let first = u32::try_from(work.delivered.len()).unwrap_or(u32::MAX);
    let now = Instant::now();
    let deadline = now + Duration::from_millis(work.deadline_ms);
    let check = Check::new(work.id, work.attempt, first);
    let id = work.id;
    let req = generate(shared, work)?;
    Ok(Relay {
        source: Source::Head(shared.upstream.request(req)),
        check,
        buf: BytesMut::new(),
        keep_alive_at: now + KEEP_ALIVE,
        deadline,
        ended: false,
        running: Running {
            in_flight,
            id,
            at_engine: true,
        },
    })
}

fn generate(shared: &Shared, work: Work) -> Result<Request<Body>, Refusal> {
    let generate = Generate {
        id: work.id,
        attempt: work.attempt,
        model: work.model,
        prompt: work.prompt,
        max_tokens: work.max_tokens,
        priority: work.priority,
        delivered: work.delivered,
    };
    json_request(shared, "/generate", &generate)
}

/// Builds `POST path` with a JSON body for the upstream.
pub(crate) fn json_request<T: serde::Serialize>(
    shared: &Shared,
    path: &str,
    body: &T,
) -> Result<Request<Body>, Refusal> {
    let internal =
        |e: &dyn std::fmt::Display| Refusal::not_run(ProblemKind::Internal, e.to_string());
    let body = serde_json::to_vec(body).map_err(|e| internal(&e))?;
    let uri = Uri::builder()
        .scheme("http")
        .authority(shared.settings.upstream.to_string())
        .path_and_query(path)
        .build()
        .map_err(|e| internal(&e))?;
    Request::post(uri)
        .header(header::CONTENT_TYPE, "application/json")
        .body(Body::from(body))
        .map_err(|e| internal(&e))
}

fn stream(relay: Relay) -> Response {
    let mut res = Body::from_stream(relay.into_stream()).into_response();
    res.headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static(NDJSON));
    res
}

/// One answer on its way from the engine to the gateway. It reads from the engine only when the
/// gateway's connection asks for more, so a slow gateway slows the engine's stream down.
struct Relay {
    source: Source,
    check: Check,
    buf: BytesMut,
    keep_alive_at: Instant,
    deadline: Instant,
    ended: bool,
    running: Running,
}

enum Source {
    Head(ResponseFuture),
    Body(Incoming),
}

/// What the engine sent next.
enum Event {
    Head(Response<Incoming>),
    Data(Bytes),
    End,
    Unreachable(Box<str>),
    Lost(Box<str>),
    KeepAliveDue,
    DeadlinePassed,
}

impl Relay {
    fn into_stream(self) -> impl Stream<Item = Result<Bytes, Infallible>> {
        unfold(self, |mut relay| async move {
            let piece = relay.next().await?;
            Some((Ok(piece), relay))
        })
    }

    async fn next(&mut self) -> Option<Bytes> {
        while !self.ended {
            let event = self.event().await;
            if let Some(piece) = self.on_event(event).await {
                self.keep_alive_at = Instant::now() + KEEP_ALIVE;
                return Some(piece);
            }
        }
        None
    }

    async fn event(&mut self) -> Event {
        tokio::select! {
            biased;
            () = sleep_until(self.deadline) => Event::DeadlinePassed,
            event = self.source.next() => event,
            () = sleep_until(self.keep_alive_at) => Event::KeepAliveDue,
        }
    }

    /// Handles one event; the result is what to send to the gateway, if anything.
    async fn on_event(&mut self, event: Event) -> Option<Bytes> {
        match event {
            Event::Head(res) if res.status().is_success() => {
                self.source = Source::Body(res.into_body());
                None
            }
            Event::Head(res) => {
                self.running.at_engine = false;
                let problem = engine_refusal(res).await;
                Some(self.fail(problem))
            }
            Event::Data(data) => self.on_data(data),
            Event::KeepAliveDue => Some(line(&self.check.frame(FrameBody::KeepAlive))),
            Event::DeadlinePassed => Some(self.fail(Problem::new(
                ProblemKind::UpstreamTimeout,
                Verdict::MayHaveRun,
                "the deadline passed before the answer was complete",
            ))),
            Event::Unreachable(detail) => {
                self.running.at_engine = false;
                Some(self.fail(Problem::new(
                    ProblemKind::NoUpstream,
                    Verdict::NotRun,
                    detail,
                )))
            }
            Event::End => Some(self.lost("the engine's answer stopped before its last frame")),
            Event::Lost(detail) => Some(self.lost(&detail)),
        }
    }

    fn on_data(&mut self, data: Bytes) -> Option<Bytes> {
        let data = if self.buf.is_empty() && data.last() == Some(&b'\n') {
            data
        } else {
            self.buf.extend_from_slice(&data);
            match self.buf.iter().rposition(|b| *b == b'\n') {
                Some(end) => self.buf.split_to(end + 1).freeze(),
                None if self.buf.len() > MAX_LINE_BYTES => {
                    return Some(self.reject(&format!("a frame is over {MAX_LINE_BYTES} bytes")));
                }
                None => return None,
            }
        };
        let mut start = 0;
        while start < data.len() {
            let end = data[start..]
                .iter()
                .position(|b| *b == b'\n')
                .map_or(data.len(), |len| start + len + 1);
            match self.check.line(&data[start..end]) {
                Ok(Checked::More) => start = end,
                Ok(Checked::Last) => {
                    self.ended = true;
                    self.running.at_engine = false;
                    return Some(data.slice(..end));
                }
                Err(fault) => {
                    // The frames before the faulty one are good and are passed on.
                    let mut out = BytesMut::from(&data[..start]);
                    out.extend_from_slice(&self.reject(&fault.to_string()));
                    return Some(out.freeze());
                }
            }
        }
        (!data.is_empty()).then_some(data)
    }

    /// Ends the answer because the engine broke the frame protocol.
    fn reject(&mut self, fault: &str) -> Bytes {
        tracing::warn!(event = "frame_rejected", request = %self.running.id, fault);
        self.fail(Problem::new(
            ProblemKind::Internal,
            Verdict::MayHaveRun,
            format!("the engine's answer was rejected: {fault}"),
        ))
    }

    /// Ends the answer because the engine's connection died with the work in flight.
    fn lost(&mut self, detail: &str) -> Bytes {
        tracing::warn!(event = "upstream_lost", request = %self.running.id, detail);
        self.fail(Problem::new(
            ProblemKind::UpstreamLost,
            Verdict::MayHaveRun,
            detail,
        ))
    }

    fn fail(&mut self, problem: Problem) -> Bytes {
        self.ended = true;
        line(&self.check.frame(FrameBody::Failed(Box::new(problem))))
    }
}

impl Source {
    async fn next(&mut self) -> Event {
        match self {
            Self::Head(head) => match head.await {
                Ok(res) => Event::Head(res),
                Err(e) if e.is_connect() => {
                    Event::Unreachable(format!("the engine cannot be reached: {e}").into())
                }
                Err(e) => Event::Lost(format!("the engine's connection failed: {e}").into()),
            },
            Self::Body(body) => loop {
                match body.frame().await {
                    Some(Ok(frame)) => {
                        if let Ok(data) = frame.into_data() {
                            return Event::Data(data);
                        }
                    }
                    Some(Err(e)) => {
                        return Event::Lost(format!("the engine's connection failed: {e}").into());
                    }
                    None => return Event::End,
                }
            },
        }
    }
}

/// Work that the engine may be running; dropped early, it is cancelled there.
struct Running {
    in_flight: InFlight,
    id: RequestId,
    at_engine: bool,
}

impl Drop for Running {
    fn drop(&mut self) {
        if !self.at_engine {
            return;
        }
        let shared = Arc::clone(&self.in_flight.0);
        let id = self.id;
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move { cancel(&shared, id).await });
        }
    }
}

async fn cancel(shared: &Shared, id: RequestId) {
    let Ok(req) = json_request(shared, "/cancel", &Cancel { id }) else {
        return;
    };
    match tokio::time::timeout(CANCEL_TIMEOUT, shared.upstream.request(req)).await {
        Ok(Ok(res)) if res.status().is_success() => {}
        Ok(Ok(res)) => {
            tracing::warn!(event = "cancel_refused", request = %id, status = res.status().as_u16());
        }
        Ok(Err(error)) => tracing::warn!(event = "cancel_failed", request = %id, %error),
        Err(_) => tracing::warn!(event = "cancel_timed_out", request = %id),
    }
}

/// What the gateway is told when the engine refuses the work.
async fn engine_refusal(res: Response<Incoming>) -> Problem {
    let status = res.status();
    let body = http_body_util::Limited::new(res.into_body(), MAX_REFUSAL_BYTES)
        .collect()
        .await;
    let problem = body
        .ok()
        .and_then(|body| serde_json::from_slice::<Problem>(&body.to_bytes()).ok());
    problem.unwrap_or_else(|| {
        Problem::new(
            ProblemKind::NoUpstream,
            Verdict::NotRun,
            format!("the engine refused the work with status {status}"),
        )
    })
}

fn line(frame: &Frame) -> Bytes {
    let mut buf = serde_json::to_vec(frame).unwrap_or_default();
    buf.push(b'\n');
    buf.into()
}
