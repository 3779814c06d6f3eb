//! Sidecar on loopback, with an upstream that a test provides as an axum router or as a fake.
#![allow(dead_code)] // Each test file uses only some of the helpers.

use std::net::SocketAddr;

use axum::Router;
use axum::body::Body;
use axum::http::request::Builder;
use axum::http::{Request, Response};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use nutmegbay_core::guard::AttemptRef;
use nutmegbay_core::ids::{CallKey, Fingerprint, Incarnation, Offset, RequestId};
use nutmegbay_proto::frame::{End, Frame, FrameBody};
use nutmegbay_proto::work::{CallHead, Work};
use nutmegbay_sidecar::{RunError, Settings, Sidecar};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::sync::{CancellationToken, DropGuard};

/// Running sidecar, which is stopped when this is dropped.
pub struct TestSidecar {
    pub data: SocketAddr,
    pub admin: SocketAddr,
    pub incarnation: Incarnation,
    pub client: Client<HttpConnector, Body>,
    pub stop: CancellationToken,
    pub task: JoinHandle<Result<(), error_stack::Report<RunError>>>,
    _stop_on_drop: DropGuard,
}

/// Serves `router` on a free loopback port until the test ends.
pub async fn serve(router: Router) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move { axum::serve(listener, router).await.unwrap() });
    addr
}

/// Settings of a sidecar for an upstream of the given kind.
pub fn settings(kind: &str, upstream: SocketAddr) -> Settings {
    Settings::parse(
        "sidecar.jsonc",
        &format!(
            r#"{{
            // Port 0 selects a free port.
            "instance": "w1", "failure_domain": "a", "kind": "{kind}",
            "listen": "127.0.0.1:0", "admin": "127.0.0.1:0", "upstream": "{upstream}",
            "linger_ms": 10, "poll_ms": 20,
        }}"#
        ),
    )
    .unwrap()
}

impl TestSidecar {
    pub async fn start(kind: &str, router: Router) -> Self {
        Self::with_settings(settings(kind, serve(router).await))
    }

    pub fn with_settings(settings: Settings) -> Self {
        let sidecar = Sidecar::bind(settings).unwrap();
        let stop = CancellationToken::new();
        Self {
            data: sidecar.data_addr().unwrap(),
            admin: sidecar.admin_addr().unwrap(),
            incarnation: sidecar.incarnation(),
            client: Client::builder(TokioExecutor::new()).build_http(),
            task: tokio::spawn(sidecar.run(stop.clone())),
            _stop_on_drop: stop.clone().drop_guard(),
            stop,
        }
    }

    pub fn request(&self, method: &str, path: &str) -> Builder {
        Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.data))
    }

    pub async fn send(&self, req: Request<Body>) -> Response<Incoming> {
        self.client.request(req).await.unwrap()
    }

    /// Returns a client of the control interface, which is on the data port.
    pub fn control(&self) -> jsonrpsee::http_client::HttpClient {
        jsonrpsee::http_client::HttpClientBuilder::default()
            .build(format!("http://{}/", self.data))
            .unwrap()
    }

    pub async fn work(&self, work: &Work) -> Response<Incoming> {
        let body = serde_json::to_vec(work).unwrap();
        let req = self
            .request("POST", "/work")
            .header("content-type", "application/json")
            .body(body.into())
            .unwrap();
        self.send(req).await
    }

    /// Runs `work` and returns all frames except keep-alives.
    pub async fn frames(&self, work: &Work) -> Vec<Frame> {
        let body = read_body(self.work(work).await).await;
        parse_frames(&body)
    }
}

/// Returns attempt `number` of one call, bound to the incarnation of `sidecar`.
pub fn attempt(sidecar: &TestSidecar, number: u32) -> AttemptRef {
    AttemptRef {
        call: CallKey(5),
        number,
        opened: Offset(number.into()),
        sidecar: sidecar.incarnation,
    }
}

/// Returns the call head of an attempt as JSON.
pub fn call_head(attempt: AttemptRef) -> String {
    serde_json::to_string(&CallHead {
        id: RequestId(7),
        account: Some("acme".into()),
        attempt: Some(attempt),
        deadline_ms: 5_000,
    })
    .unwrap()
}

/// Parses the frames of an answer, without keep-alives.
pub fn parse_frames(body: &[u8]) -> Vec<Frame> {
    body.split(|b| *b == b'\n')
        .filter(|line| !line.is_empty())
        .map(|line| serde_json::from_slice::<Frame>(line).unwrap())
        .filter(|frame| frame.body != FrameBody::KeepAlive)
        .collect()
}

pub async fn read_body(res: Response<Incoming>) -> Bytes {
    res.into_body().collect().await.unwrap().to_bytes()
}

pub fn work(id: u128) -> Work {
    Work {
        id: RequestId(id),
        attempt: 1,
        account: "acme".into(),
        model: "m".into(),
        prompt: "p".into(),
        max_tokens: 8,
        priority: 0,
        delivered: Vec::new(),
        fingerprint: Fingerprint(id),
        exclusive: false,
        deadline_ms: 10_000,
    }
}

/// Returns a frame as a line of JSON.
pub fn frame(id: u128, attempt: u32, seq: u32, body: FrameBody) -> Bytes {
    let frame = Frame {
        id: RequestId(id),
        attempt,
        seq,
        body,
    };
    let mut line = serde_json::to_vec(&frame).unwrap();
    line.push(b'\n');
    line.into()
}

pub fn token(id: u128, seq: u32) -> Bytes {
    frame(id, 1, seq, FrameBody::Token(format!("t{seq}").into()))
}

pub fn end(id: u128, seq: u32) -> Bytes {
    frame(
        id,
        1,
        seq,
        FrameBody::End(End {
            finish: "stop".into(),
            prompt_tokens: 1,
            cached_tokens: 0,
        }),
    )
}
