//! Model work: `POST /work` is forwarded to the engine's `POST /generate`, and the engine's frames
//! are streamed back as they arrive.

use std::convert::Infallible;
use std::sync::Arc;

use axum::Json;
use axum::body::Body;
use axum::extract::State;
use axum::extract::rejection::JsonRejection;
use axum::http::{HeaderValue, header};
use axum::response::{IntoResponse, Response};
use bytes::{Bytes, BytesMut};
use futures::Stream;
use futures::stream::unfold;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper_util::client::legacy::ResponseFuture;
use nutmegbay_core::ids::{Fingerprint, RequestId};
use nutmegbay_core::verdict::Verdict;
use nutmegbay_proto::engine::{Cancel, Generate};
use nutmegbay_proto::frame::{Frame, FrameBody};
use nutmegbay_proto::problem::{Problem, ProblemKind};
use nutmegbay_proto::work::{LOAD_HEADER, Work};
use nutmegbay_settings::model::UpstreamKind;
use tokio::runtime::Handle;
use tokio::time::{Duration, Instant, sleep_until};

use crate::crashes::TrackedRun;
use crate::frames::{AnswerProgress, FrameValidator};
use crate::refusal::Refusal;
use crate::requests::RegisteredAttempt;
use crate::run_scheduler::RunPermit;
use crate::state::{InFlightGuard, SharedState};

/// Media type of a stream of frames.
const NDJSON: &str = "application/x-ndjson";

/// Time without any frame after which a keep-alive is sent to the gateway.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);

/// Consecutive keep-alive intervals without data after which the engine's connection counts as
/// unresponsive. Engines send a frame at least every 500 ms. Intervals are counted instead of time,
/// so that pauses caused by a slow gateway do not count.
const UNRESPONSIVE_INTERVALS: u32 = 4;

/// Maximum length in bytes of a line from the engine.
const MAX_LINE_BYTES: usize = 1 << 20;

/// Maximum size in bytes of the body of an engine's refusal.
const MAX_REFUSAL_BYTES: usize = 16 << 10;

/// Handles `POST /work`.
pub(crate) async fn handle(
    State(shared): State<Arc<SharedState>>,
    work: Result<Json<Work>, JsonRejection>,
) -> Response {
    match work {
        Ok(Json(work)) => match start_work(&shared, work) {
            Ok(answer) => streaming_response(answer),
            Err(refusal) => refusal.into_response(),
        },
        Err(rejection) => {
            Refusal::not_run(ProblemKind::MalformedBody, rejection.body_text()).into_response()
        }
    }
}

/// Admits `work` and returns its answer stream, which sends the work to the engine when it is
/// polled.
fn start_work(shared: &Arc<SharedState>, work: Work) -> Result<AnswerStream, Refusal> {
    let instance = &shared.settings.instance;
    if shared.settings.kind != UpstreamKind::Engine {
        return Err(Refusal::not_run(
            ProblemKind::NoUpstream,
            format!("upstream `{instance}` is not an engine"),
        ));
    }
    let in_flight = shared.admit_request()?;
    shared.increment_metric("work");
    let Some(attempt) = shared.requests.register(work.id, work.attempt) else {
        return Err(Refusal::not_run(
            ProblemKind::Fenced,
            format!("attempt {} or a later one is running", work.attempt),
        ));
    };
    let first_seq = u32::try_from(work.delivered.len()).unwrap_or(u32::MAX);
    let now = Instant::now();
    let running = RunningWork {
        permit: Some(shared.run_scheduler.enqueue(work.exclusive)),
        in_flight: Some(in_flight),
        attempt: Some(attempt),
        run: None,
        id: work.id,
        may_run_at_engine: false,
    };
    Ok(AnswerStream {
        validator: FrameValidator::new(work.id, work.attempt, first_seq),
        buf: BytesMut::new(),
        keep_alive_at: now + KEEP_ALIVE_INTERVAL,
        deadline: now + Duration::from_millis(work.deadline_ms),
        intervals_without_data: 0,
        ended: false,
        fingerprint: work.fingerprint,
        exchange: EngineExchange::Waiting(Box::new(generate_request(work))),
        running,
    })
}

/// Returns the request to the engine for `work`.
fn generate_request(work: Work) -> Generate {
    Generate {
        id: work.id,
        attempt: work.attempt,
        model: work.model,
        prompt: work.prompt,
        max_tokens: work.max_tokens,
        priority: work.priority,
        delivered: work.delivered,
    }
}

/// Returns the response that streams `answer`, with the current load in its headers.
fn streaming_response(answer: AnswerStream) -> Response {
    let load = answer
        .running
        .shared()
        .and_then(|shared| shared.load_header());
    let mut res = Body::from_stream(answer.into_stream()).into_response();
    let headers = res.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(NDJSON));
    if let Some(load) = load {
        headers.insert(LOAD_HEADER, load);
    }
    res
}

/// Stream of one answer from the engine to the gateway. It reads from the engine only when the
/// gateway's connection polls it, so a slow gateway applies backpressure to the engine.
struct AnswerStream {
    exchange: EngineExchange,
    validator: FrameValidator,
    /// Incomplete line from the engine.
    buf: BytesMut,
    /// Time at which the next keep-alive is due.
    keep_alive_at: Instant,
    deadline: Instant,
    /// Consecutive keep-alive intervals without data from the engine.
    intervals_without_data: u32,
    ended: bool,
    fingerprint: Fingerprint,
    running: RunningWork,
}

/// Progress of the exchange with the engine.
enum EngineExchange {
    /// Waiting until the previous attempt has ended and the run may start.
    Waiting(Box<Generate>),
    /// Waiting for the head of the engine's response.
    Head(ResponseFuture),
    /// Reading the body of the engine's response.
    Body(Incoming),
}

/// Event that the answer stream handles.
enum StreamEvent {
    /// The previous attempt has not ended in time.
    PreviousNotEnded,
    /// The run may start.
    MayStart,
    /// A later attempt of the request has arrived.
    Superseded,
    /// The upstream failed its health check.
    UpstreamFailed,
    /// Head of the engine's response.
    Head(Response<Incoming>),
    /// Part of the engine's response body.
    Data(Bytes),
    /// End of the engine's response body.
    End,
    /// The connection to the engine failed before anything was sent.
    Unreachable(Box<str>),
    /// The connection failed after the work may have been sent.
    ConnectionLost(Box<str>),
    /// A keep-alive is due.
    KeepAliveDue,
    /// The deadline of the work has passed.
    DeadlinePassed,
}

impl AnswerStream {
    fn into_stream(self) -> impl Stream<Item = Result<Bytes, Infallible>> {
        unfold(self, |mut answer| async move {
            let chunk = answer.next_chunk().await?;
            Some((Ok(chunk), answer))
        })
    }

    /// Returns the next bytes for the gateway, `None` after the end of the answer.
    async fn next_chunk(&mut self) -> Option<Bytes> {
        while !self.ended {
            let event = self.next_event().await;
            if let Some(chunk) = self.on_event(event).await {
                self.keep_alive_at = Instant::now() + KEEP_ALIVE_INTERVAL;
                return Some(chunk);
            }
        }
        None
    }

    async fn next_event(&mut self) -> StreamEvent {
        tokio::select! {
            biased;
            () = sleep_until(self.deadline) => StreamEvent::DeadlinePassed,
            event = wait_interrupted(self.running.attempt.as_ref(), self.running.run.as_mut())
                => event,
            event = self.exchange.next(self.running.attempt.as_ref(), self.running.permit.as_mut())
                => event,
            () = sleep_until(self.keep_alive_at) => StreamEvent::KeepAliveDue,
        }
    }

    /// Handles `event` and returns the bytes to send to the gateway, if any.
    async fn on_event(&mut self, event: StreamEvent) -> Option<Bytes> {
        match event {
            StreamEvent::PreviousNotEnded => {
                let running = &mut self.running;
                if let (Some(in_flight), Some(attempt)) = (&running.in_flight, &mut running.attempt)
                {
                    attempt.take_over_cancellation();
                    cancel_at_engine(&in_flight.0, running.id).await;
                }
                None
            }
            StreamEvent::MayStart => self.send_to_engine(),
            StreamEvent::Superseded => Some(self.fail(Problem::new(
                ProblemKind::Fenced,
                Verdict::MayHaveRun,
                "a later attempt of the request has arrived",
            ))),
            StreamEvent::UpstreamFailed => {
                Some(self.fail_crashed("the engine's health check failed"))
            }
            StreamEvent::Head(res) if res.status().is_success() => {
                self.exchange = EngineExchange::Body(res.into_body());
                None
            }
            StreamEvent::Head(res) => {
                self.running.may_run_at_engine = false;
                let problem = engine_refusal_problem(res).await;
                Some(self.fail(problem))
            }
            StreamEvent::Data(data) => {
                self.intervals_without_data = 0;
                self.on_data(data)
            }
            StreamEvent::KeepAliveDue => Some(self.on_keep_alive_due()),
            StreamEvent::DeadlinePassed => Some(self.fail(Problem::new(
                ProblemKind::UpstreamTimeout,
                Verdict::MayHaveRun,
                "the deadline passed before the answer was complete",
            ))),
            StreamEvent::Unreachable(detail) => {
                self.running.may_run_at_engine = false;
                Some(self.fail(Problem::new(
                    ProblemKind::NoUpstream,
                    Verdict::NotRun,
                    detail,
                )))
            }
            StreamEvent::End => {
                // The engine closed the response body cleanly, so it has not crashed.
                self.running.may_run_at_engine = false;
                Some(self.fail(Problem::new(
                    ProblemKind::UpstreamLost,
                    Verdict::MayHaveRun,
                    "the engine's answer stopped before its last frame",
                )))
            }
            StreamEvent::ConnectionLost(detail) => Some(self.fail_crashed(&detail)),
        }
    }

    /// Returns a keep-alive, or ends the answer if the engine's connection is unresponsive. Other
    /// work on the engine may continue over other connections, so this is not reported as a crash.
    fn on_keep_alive_due(&mut self) -> Bytes {
        if !matches!(self.exchange, EngineExchange::Waiting(_)) {
            self.intervals_without_data += 1;
        }
        if self.intervals_without_data >= UNRESPONSIVE_INTERVALS {
            tracing::warn!(event = "engine_silent", request = %self.running.id);
            return self.fail(Problem::new(
                ProblemKind::UpstreamLost,
                Verdict::MayHaveRun,
                "the engine's connection is unresponsive",
            ));
        }
        encode_line(&self.validator.create_frame(FrameBody::KeepAlive))
    }

    /// Sends the work to the engine.
    fn send_to_engine(&mut self) -> Option<Bytes> {
        let shared = self.running.shared()?;
        let EngineExchange::Waiting(generate) = &self.exchange else {
            return None;
        };
        match shared.upstream.json_request("/generate", &**generate) {
            Ok(req) => {
                let run = shared.crashes.start_run(self.fingerprint);
                self.exchange = EngineExchange::Head(shared.upstream.send(req));
                self.running.run = Some(run);
                self.running.may_run_at_engine = true;
                None
            }
            Err(e) => Some(self.fail(Problem::new(
                ProblemKind::Internal,
                Verdict::NotRun,
                format!("the work cannot be sent: {e}"),
            ))),
        }
    }

    /// Validates the complete lines in `data` and returns them. An incomplete line is buffered.
    fn on_data(&mut self, data: Bytes) -> Option<Bytes> {
        if let Some(shared) = self.running.shared() {
            shared.monitor.record_data();
        }
        let data = if self.buf.is_empty() && data.last() == Some(&b'\n') {
            data
        } else {
            self.buf.extend_from_slice(&data);
            match self.buf.iter().rposition(|b| *b == b'\n') {
                Some(end) => self.buf.split_to(end + 1).freeze(),
                None if self.buf.len() > MAX_LINE_BYTES => {
                    return Some(
                        self.fail_rejected(&format!("a frame is over {MAX_LINE_BYTES} bytes")),
                    );
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
            match self.validator.validate_line(&data[start..end]) {
                Ok(AnswerProgress::Continues) => start = end,
                Ok(AnswerProgress::Ended) => {
                    self.ended = true;
                    self.running.may_run_at_engine = false;
                    return Some(data.slice(..end));
                }
                Err(error) => {
                    // The valid frames before the invalid one are forwarded.
                    let mut out = BytesMut::from(&data[..start]);
                    out.extend_from_slice(&self.fail_rejected(&error.to_string()));
                    return Some(out.freeze());
                }
            }
        }
        (!data.is_empty()).then_some(data)
    }

    /// Ends the answer because the engine violated the frame protocol.
    fn fail_rejected(&mut self, reason: &str) -> Bytes {
        tracing::warn!(event = "frame_rejected", request = %self.running.id, fault = reason);
        self.fail(Problem::new(
            ProblemKind::Internal,
            Verdict::MayHaveRun,
            format!("the engine's answer was rejected: {reason}"),
        ))
    }

    /// Ends the answer because the engine crashed while it ran the work.
    fn fail_crashed(&mut self, detail: &str) -> Bytes {
        let crash = match (self.running.shared(), &self.running.run) {
            (Some(shared), Some(run)) => shared.crashes.record_lost_connection(run).to_string(),
            _ => String::new(),
        };
        tracing::warn!(event = "upstream_lost", request = %self.running.id, crash, detail);
        self.fail(Problem::new(
            ProblemKind::UpstreamCrashed,
            Verdict::MayHaveRun,
            format!("crash {crash}: {detail}"),
        ))
    }

    /// Ends the answer with a frame that carries `problem`.
    fn fail(&mut self, problem: Problem) -> Bytes {
        if let Some(shared) = self.running.shared() {
            shared.increment_metric("work_failed");
        }
        self.ended = true;
        encode_line(
            &self
                .validator
                .create_frame(FrameBody::Failed(Box::new(problem))),
        )
    }
}

impl EngineExchange {
    /// Waits for the next event of the exchange with the engine.
    async fn next(
        &mut self,
        attempt: Option<&RegisteredAttempt>,
        permit: Option<&mut RunPermit>,
    ) -> StreamEvent {
        match self {
            Self::Waiting(_) => {
                if let Some(attempt) = attempt
                    && !attempt.wait_previous_ended().await
                {
                    return StreamEvent::PreviousNotEnded;
                }
                if let Some(permit) = permit {
                    permit.wait_start().await;
                }
                StreamEvent::MayStart
            }
            Self::Head(head) => match head.await {
                Ok(res) => StreamEvent::Head(res),
                Err(e) if e.is_connect() => {
                    StreamEvent::Unreachable(format!("the engine cannot be reached: {e}").into())
                }
                Err(e) => StreamEvent::ConnectionLost(
                    format!("the engine's connection failed: {e}").into(),
                ),
            },
            Self::Body(body) => loop {
                match body.frame().await {
                    Some(Ok(frame)) => {
                        if let Ok(data) = frame.into_data() {
                            return StreamEvent::Data(data);
                        }
                    }
                    Some(Err(e)) => {
                        return StreamEvent::ConnectionLost(
                            format!("the engine's connection failed: {e}").into(),
                        );
                    }
                    None => return StreamEvent::End,
                }
            },
        }
    }
}

/// Returns when the work has to end before the engine's answer is complete.
async fn wait_interrupted(
    attempt: Option<&RegisteredAttempt>,
    run: Option<&mut TrackedRun>,
) -> StreamEvent {
    let superseded = async {
        match attempt {
            Some(attempt) => attempt.superseded.cancelled().await,
            None => std::future::pending().await,
        }
    };
    let upstream_failed = async {
        match run {
            Some(run) => run.wait_upstream_failed().await,
            None => std::future::pending().await,
        }
    };
    tokio::select! {
        () = superseded => StreamEvent::Superseded,
        () = upstream_failed => StreamEvent::UpstreamFailed,
    }
}

/// Work that the engine may be running. If it is dropped before the answer has ended, the work is
/// cancelled at the engine, and its permit and registration are released only after that.
struct RunningWork {
    in_flight: Option<InFlightGuard>,
    permit: Option<RunPermit>,
    attempt: Option<RegisteredAttempt>,
    run: Option<TrackedRun>,
    id: RequestId,
    /// Whether the work was sent and may still be running at the engine.
    may_run_at_engine: bool,
}

impl RunningWork {
    fn shared(&self) -> Option<&Arc<SharedState>> {
        self.in_flight.as_ref().map(|in_flight| &in_flight.0)
    }
}

impl Drop for RunningWork {
    fn drop(&mut self) {
        let Some(in_flight) = self.in_flight.take() else {
            return;
        };
        let permit = self.permit.take();
        let (attempt, run) = (self.attempt.take(), self.run.take());
        let is_cancelled_by_successor = attempt
            .as_ref()
            .is_some_and(RegisteredAttempt::is_cancelled_by_successor);
        let release = move |shared: &SharedState| {
            if let Some(run) = &run {
                shared.crashes.end_run(run);
            }
            if let Some(attempt) = &attempt {
                shared.requests.unregister(attempt);
            }
        };
        if !self.may_run_at_engine || is_cancelled_by_successor {
            release(&in_flight.0);
            return;
        }
        let id = self.id;
        if let Ok(runtime) = Handle::try_current() {
            runtime.spawn(async move {
                cancel_at_engine(&in_flight.0, id).await;
                release(&in_flight.0);
                drop(permit);
            });
        }
    }
}

/// Cancels request `id` at the engine. A failure is logged only.
async fn cancel_at_engine(shared: &SharedState, id: RequestId) {
    if let Err(error) = shared
        .upstream
        .post_ignoring_body("/cancel", &Cancel { id })
        .await
    {
        tracing::warn!(event = "cancel_failed", request = %id, %error);
    }
}

/// Returns the problem to send to the gateway when the engine refuses the work.
async fn engine_refusal_problem(res: Response<Incoming>) -> Problem {
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

/// Encodes a frame as one line of JSON.
fn encode_line(frame: &Frame) -> Bytes {
    let mut buf = serde_json::to_vec(frame).unwrap_or_default();
    buf.push(b'\n');
    buf.into()
}
