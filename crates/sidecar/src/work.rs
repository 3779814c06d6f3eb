//! Model work: `POST /work` is forwarded to the engine's `POST /generate`, frames come back as
//! they arrive.

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

use crate::crashes::Run;
use crate::frames::{Check, Checked};
use crate::gate::Place;
use crate::refuse::Refusal;
use crate::requests::Attempt;
use crate::state::{InFlight, Shared};

/// Media type of a stream of frames.
const NDJSON: &str = "application/x-ndjson";

/// Time without any frame after which a sign of life is sent.
const KEEP_ALIVE: Duration = Duration::from_millis(500);

/// Keep-alive intervals without anything from the engine after which its connection counts as
/// silent. Engines send a frame at least every 500 ms. Intervals are counted instead of time, so
/// that the pauses of a slow gateway do not count.
const SILENT_INTERVALS: u32 = 4;

/// Longest line accepted from the engine.
const MAX_LINE_BYTES: usize = 1 << 20;

/// Most of an engine's refusal that is read.
const MAX_REFUSAL_BYTES: usize = 16 << 10;

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
    let instance = &shared.settings.instance;
    if shared.settings.kind != UpstreamKind::Engine {
        return Err(Refusal::not_run(
            ProblemKind::NoUpstream,
            format!("upstream `{instance}` is not an engine"),
        ));
    }
    let in_flight = shared.enter()?;
    shared.count_metric("work");
    let Some(attempt) = shared.requests.enter(work.id, work.attempt) else {
        return Err(Refusal::not_run(
            ProblemKind::Fenced,
            format!("attempt {} or a later one is running", work.attempt),
        ));
    };
    let first = u32::try_from(work.delivered.len()).unwrap_or(u32::MAX);
    let now = Instant::now();
    let running = Running {
        place: Some(shared.gate.enter(work.exclusive)),
        in_flight: Some(in_flight),
        attempt: Some(attempt),
        run: None,
        id: work.id,
        at_engine: false,
    };
    Ok(Relay {
        check: Check::new(work.id, work.attempt, first),
        buf: BytesMut::new(),
        keep_alive_at: now + KEEP_ALIVE,
        deadline: now + Duration::from_millis(work.deadline_ms),
        silent_intervals: 0,
        ended: false,
        fingerprint: work.fingerprint,
        source: Source::Waiting(Box::new(generate(work))),
        running,
    })
}

fn generate(work: Work) -> Generate {
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

fn stream(relay: Relay) -> Response {
    let load = relay
        .running
        .shared()
        .and_then(|shared| shared.load_header());
    let mut res = Body::from_stream(relay.into_stream()).into_response();
    let headers = res.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(NDJSON));
    if let Some(load) = load {
        headers.insert(LOAD_HEADER, load);
    }
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
    /// Keep-alive intervals since the engine sent something.
    silent_intervals: u32,
    ended: bool,
    fingerprint: Fingerprint,
    running: Running,
}

enum Source {
    /// Until the previous attempt is gone and the upstream is free.
    Waiting(Box<Generate>),
    Head(ResponseFuture),
    Body(Incoming),
}

/// What the engine sent next.
enum Event {
    PreviousStuck,
    MayStart,
    Superseded,
    UpstreamDied,
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
            event = interrupted(self.running.attempt.as_ref(), self.running.run.as_mut()) => event,
            event = self.source.next(self.running.attempt.as_ref(), self.running.place.as_mut())
                => event,
            () = sleep_until(self.keep_alive_at) => Event::KeepAliveDue,
        }
    }

    /// Handles one event; the result is what to send to the gateway, if anything.
    async fn on_event(&mut self, event: Event) -> Option<Bytes> {
        match event {
            Event::PreviousStuck => {
                let running = &mut self.running;
                if let (Some(in_flight), Some(attempt)) = (&running.in_flight, &mut running.attempt)
                {
                    attempt.take_over();
                    cancel(&in_flight.0, running.id).await;
                }
                None
            }
            Event::MayStart => self.send(),
            Event::Superseded => Some(self.fail(Problem::new(
                ProblemKind::Fenced,
                Verdict::MayHaveRun,
                "a later attempt of the request has arrived",
            ))),
            Event::UpstreamDied => Some(self.crashed("the engine's health check failed")),
            Event::Head(res) if res.status().is_success() => {
                self.source = Source::Body(res.into_body());
                None
            }
            Event::Head(res) => {
                self.running.at_engine = false;
                let problem = engine_refusal(res).await;
                Some(self.fail(problem))
            }
            Event::Data(data) => {
                self.silent_intervals = 0;
                self.on_data(data)
            }
            Event::KeepAliveDue => Some(self.on_keep_alive_due()),
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
            Event::End => {
                // The engine ended the answer in order, so it is alive.
                self.running.at_engine = false;
                Some(self.fail(Problem::new(
                    ProblemKind::UpstreamLost,
                    Verdict::MayHaveRun,
                    "the engine's answer stopped before its last frame",
                )))
            }
            Event::Lost(detail) => Some(self.crashed(&detail)),
        }
    }

    /// Sends a sign of life, unless the engine's connection has gone silent. Other work on the
    /// engine may go on over its own connections, so this is not a crash.
    fn on_keep_alive_due(&mut self) -> Bytes {
        if !matches!(self.source, Source::Waiting(_)) {
            self.silent_intervals += 1;
        }
        if self.silent_intervals >= SILENT_INTERVALS {
            tracing::warn!(event = "engine_silent", request = %self.running.id);
            return self.fail(Problem::new(
                ProblemKind::UpstreamLost,
                Verdict::MayHaveRun,
                "the engine's connection went silent",
            ));
        }
        line(&self.check.frame(FrameBody::KeepAlive))
    }

    /// Sends the work to the engine.
    fn send(&mut self) -> Option<Bytes> {
        let shared = self.running.shared()?;
        let Source::Waiting(generate) = &self.source else {
            return None;
        };
        match shared.upstream.json("/generate", &**generate) {
            Ok(req) => {
                let run = shared.crashes.start(self.fingerprint);
                self.source = Source::Head(shared.upstream.send(req));
                self.running.run = Some(run);
                self.running.at_engine = true;
                None
            }
            Err(e) => Some(self.fail(Problem::new(
                ProblemKind::Internal,
                Verdict::NotRun,
                format!("the work cannot be sent: {e}"),
            ))),
        }
    }

    fn on_data(&mut self, data: Bytes) -> Option<Bytes> {
        if let Some(shared) = self.running.shared() {
            shared.monitor.on_data();
        }
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

    /// Ends the answer because the engine died with the work in flight.
    fn crashed(&mut self, detail: &str) -> Bytes {
        let crash = match (self.running.shared(), &self.running.run) {
            (Some(shared), Some(run)) => shared.crashes.lost(run).to_string(),
            _ => String::new(),
        };
        tracing::warn!(event = "upstream_lost", request = %self.running.id, crash, detail);
        self.fail(Problem::new(
            ProblemKind::UpstreamCrashed,
            Verdict::MayHaveRun,
            format!("crash {crash}: {detail}"),
        ))
    }

    fn fail(&mut self, problem: Problem) -> Bytes {
        if let Some(shared) = self.running.shared() {
            shared.count_metric("work_failed");
        }
        self.ended = true;
        line(&self.check.frame(FrameBody::Failed(Box::new(problem))))
    }
}

impl Source {
    async fn next(&mut self, attempt: Option<&Attempt>, place: Option<&mut Place>) -> Event {
        match self {
            Self::Waiting(_) => {
                if let Some(attempt) = attempt
                    && !attempt.previous_gone().await
                {
                    return Event::PreviousStuck;
                }
                if let Some(place) = place {
                    place.started().await;
                }
                Event::MayStart
            }
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

/// Returns when the work has to end before the engine's answer does.
async fn interrupted(attempt: Option<&Attempt>, run: Option<&mut Run>) -> Event {
    let superseded = async {
        match attempt {
            Some(attempt) => attempt.stop.cancelled().await,
            None => std::future::pending().await,
        }
    };
    let died = async {
        match run {
            Some(run) => run.upstream_died().await,
            None => std::future::pending().await,
        }
    };
    tokio::select! {
        () = superseded => Event::Superseded,
        () = died => Event::UpstreamDied,
    }
}

/// Work that the engine may be running; dropped early, it is cancelled there. Its place and its
/// identity are free again only when the engine has taken the cancellation.
struct Running {
    in_flight: Option<InFlight>,
    place: Option<Place>,
    attempt: Option<Attempt>,
    run: Option<Run>,
    id: RequestId,
    at_engine: bool,
}

impl Running {
    fn shared(&self) -> Option<&Arc<Shared>> {
        self.in_flight.as_ref().map(|in_flight| &in_flight.0)
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let Some(in_flight) = self.in_flight.take() else {
            return;
        };
        let place = self.place.take();
        let (attempt, run) = (self.attempt.take(), self.run.take());
        let is_taken_over = attempt.as_ref().is_some_and(Attempt::is_taken_over);
        let leave = move |shared: &Shared| {
            if let Some(run) = &run {
                shared.crashes.end(run);
            }
            if let Some(attempt) = &attempt {
                shared.requests.leave(attempt);
            }
        };
        if !self.at_engine || is_taken_over {
            leave(&in_flight.0);
            return;
        }
        let id = self.id;
        if let Ok(runtime) = Handle::try_current() {
            runtime.spawn(async move {
                cancel(&in_flight.0, id).await;
                leave(&in_flight.0);
                drop(place);
            });
        }
    }
}

async fn cancel(shared: &Shared, id: RequestId) {
    if let Err(error) = shared.upstream.tell("/cancel", &Cancel { id }).await {
        tracing::warn!(event = "cancel_failed", request = %id, %error);
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
