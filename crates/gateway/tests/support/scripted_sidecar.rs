//! Sidecar whose answers a test sends frame by frame.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use axum::Router;
use axum::body::{Body, Bytes};
use axum::extract::{Request, State};
use axum::http::{HeaderMap, StatusCode};
use axum::response::Response;
use axum::routing::post;
use http_body_util::BodyExt;
use nutmegbay_core::ids::RequestId;
use nutmegbay_proto::frame::{End, Frame, FrameBody};
use nutmegbay_proto::platform::{Instance, InstanceKind};
use nutmegbay_proto::problem::{PROBLEM_JSON, Problem};
use nutmegbay_proto::work::{CALL_HEADER, CallHead, Work};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};

use super::caller::{Caller, Events};
use super::{KEY, STEP_TIMEOUT};

/// Sidecar that a test controls.
pub struct ScriptedSidecar {
    pub name: Box<str>,
    pub addr: SocketAddr,
    kind: InstanceKind,
    serves: Box<str>,
    works: tokio::sync::Mutex<mpsc::UnboundedReceiver<RunningWork>>,
    calls: Arc<Mutex<Vec<Call>>>,
}

/// Work that the gateway has sent, with the connection on which a test answers it.
pub struct RunningWork {
    pub work: Work,
    reply: Option<oneshot::Sender<Response>>,
    lines: mpsc::Sender<Result<Bytes, std::io::Error>>,
    body: Option<mpsc::Receiver<Result<Bytes, std::io::Error>>>,
    next: u32,
}

/// Call of a plain service as received from the gateway.
#[derive(Debug, Clone)]
pub struct Call {
    pub head: CallHead,
    pub method: String,
    pub path: String,
    pub headers: HeaderMap,
    pub body: Bytes,
}

#[derive(Clone)]
struct Shared {
    works: mpsc::UnboundedSender<RunningWork>,
    calls: Arc<Mutex<Vec<Call>>>,
}

impl ScriptedSidecar {
    /// Starts the sidecar of an engine that serves the model `verse`.
    pub async fn engine(name: &str) -> Self {
        Self::start(name, InstanceKind::Engine, "verse").await
    }

    /// Starts the sidecar of the service `orders`, which answers with the client account.
    pub async fn service(name: &str) -> Self {
        Self::start(name, InstanceKind::Service, "orders").await
    }

    async fn start(name: &str, kind: InstanceKind, serves: &str) -> Self {
        let (tx, rx) = mpsc::unbounded_channel();
        let calls = Arc::default();
        let shared = Shared {
            works: tx,
            calls: Arc::clone(&calls),
        };
        let router = Router::new()
            .route("/work", post(work))
            .route("/call/{*path}", axum::routing::any(call))
            .with_state(shared);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("port");
        let addr = listener.local_addr().expect("address");
        tokio::spawn(async move { axum::serve(listener, router).await });
        Self {
            name: name.into(),
            addr,
            kind,
            serves: serves.into(),
            works: tokio::sync::Mutex::new(rx),
            calls,
        }
    }

    pub fn instance(&self) -> Instance {
        super::instance(&self.name, self.kind, &self.serves, self.addr)
    }

    /// Accepts a stream that `caller` opens and sends its first token `a`.
    pub async fn open_stream(&self, caller: &Caller) -> (RunningWork, Events) {
        let serve = async {
            let mut running = self.next().await;
            running.accept();
            running.token("a").await;
            running
        };
        tokio::join!(serve, caller.stream(KEY, "verse"))
    }

    /// Returns the next work that the gateway sends.
    pub async fn next(&self) -> RunningWork {
        let mut works = self.works.lock().await;
        tokio::time::timeout(STEP_TIMEOUT, works.recv())
            .await
            .expect("the gateway sent no work in time")
            .expect("sidecar")
    }

    /// Whether the gateway has sent work that [`Self::next`] has not returned.
    pub async fn has_work(&self) -> bool {
        !self.works.lock().await.is_empty()
    }

    pub fn calls(&self) -> Vec<Call> {
        self.calls.lock().expect("lock").clone()
    }
}

impl RunningWork {
    /// Accepts the work and sends the response head.
    pub fn accept(&mut self) {
        let rx = self.body.take().expect("first reply");
        let stream = futures::stream::unfold(rx, |mut rx| async move {
            let item = rx.recv().await?;
            Some((item, rx))
        });
        let res = Response::new(Body::from_stream(stream));
        let _ = self.reply.take().expect("first reply").send(res);
    }

    /// Refuses the work with `problem`.
    pub fn refuse(mut self, problem: &Problem) {
        let res = Response::builder()
            .status(problem.status)
            .header("content-type", PROBLEM_JSON)
            .body(Body::from(serde_json::to_vec(problem).expect("problem")))
            .expect("response");
        let _ = self.reply.take().expect("first reply").send(res);
    }

    pub async fn raw(&mut self, text: impl Into<Bytes>) -> bool {
        self.lines.send(Ok(text.into())).await.is_ok()
    }

    pub async fn frame(&mut self, id: RequestId, attempt: u32, seq: u32, body: FrameBody) -> bool {
        let frame = Frame {
            id,
            attempt,
            seq,
            body,
        };
        let mut line = serde_json::to_vec(&frame).expect("frame");
        line.push(b'\n');
        self.raw(line).await
    }

    async fn own_frame(&mut self, body: FrameBody) -> bool {
        self.frame(self.work.id, self.work.attempt, self.next, body)
            .await
    }

    /// Sends the next token.
    pub async fn token(&mut self, text: &str) -> bool {
        self.next += 1;
        self.retry_token(text).await
    }

    /// Sends the last token again after [`Self::token`] was cancelled.
    pub async fn retry_token(&mut self, text: &str) -> bool {
        let token = FrameBody::Token(text.into());
        let (id, attempt) = (self.work.id, self.work.attempt);
        self.frame(id, attempt, self.next - 1, token).await
    }

    /// Advances the sequence number without sending the token.
    pub fn skip_token(&mut self) {
        self.next += 1;
    }

    pub async fn keep_alive(&mut self) -> bool {
        self.own_frame(FrameBody::KeepAlive).await
    }

    /// Sends the frame that ends the stream.
    pub async fn end(mut self) {
        let end = End {
            finish: "stop".into(),
            prompt_tokens: 7,
            cached_tokens: 3,
        };
        self.own_frame(FrameBody::End(end)).await;
    }

    pub async fn fail(mut self, problem: Problem) {
        self.own_frame(FrameBody::Failed(Box::new(problem))).await;
    }

    /// Breaks the connection in the middle of the body.
    pub async fn break_connection(self) {
        let broken = std::io::Error::other("broken by the test");
        let _ = self.lines.send(Err(broken)).await;
    }

    /// Waits until the gateway has closed the connection.
    pub async fn wait_until_closed(&self) {
        tokio::time::timeout(STEP_TIMEOUT, self.lines.closed())
            .await
            .expect("the gateway did not close the connection in time");
    }
}

async fn work(State(shared): State<Shared>, body: Bytes) -> Response {
    let work: Work = serde_json::from_slice(&body).expect("work");
    let (reply, rx) = oneshot::channel();
    let (lines, body) = mpsc::channel(1);
    let next = u32::try_from(work.delivered.len()).expect("count");
    let running = RunningWork {
        work,
        reply: Some(reply),
        lines,
        body: Some(body),
        next,
    };
    let _ = shared.works.send(running);
    match rx.await {
        Ok(res) => res,
        // The test dropped the work without an answer, so the gateway never receives a response.
        Err(_) => std::future::pending().await,
    }
}

async fn call(State(shared): State<Shared>, req: Request) -> Response {
    let (parts, body) = req.into_parts();
    let body = body.collect().await.expect("body").to_bytes();
    let head = parts.headers.get(CALL_HEADER).expect("call head");
    let head: CallHead = serde_json::from_slice(head.as_bytes()).expect("call head");
    let text = format!("done for {}", head.account.as_deref().unwrap_or("nobody"));
    shared.calls.lock().expect("lock").push(Call {
        head,
        method: parts.method.to_string(),
        path: parts.uri.to_string(),
        headers: parts.headers,
        body,
    });
    Response::builder()
        .status(StatusCode::OK)
        .header("x-service", "orders")
        .header("x-nutmegbay-load", "{}")
        .body(Body::from(text))
        .expect("response")
}
