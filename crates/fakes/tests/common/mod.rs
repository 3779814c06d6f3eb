//! HTTP client and helpers that the tests share.
#![allow(dead_code, reason = "no test uses all helpers")]

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use nutmegbay_backplane::{ClientSettings, PlatformClient};
use nutmegbay_core::ids::RequestId;
use nutmegbay_proto::engine::Generate;
use nutmegbay_proto::frame::{Frame, FrameBody};
use serde::Serialize;

/// Maximum time of every wait. A passing test stays far below it.
pub const DEADLINE: Duration = Duration::from_secs(20);

/// Waits for `future`; panics after [`DEADLINE`].
pub async fn within_deadline<T>(future: impl Future<Output = T>) -> T {
    tokio::time::timeout(DEADLINE, future)
        .await
        .expect("the wait exceeded the deadline")
}

/// Polls until `is_done` returns true; panics after [`DEADLINE`].
pub async fn wait_until(mut is_done: impl FnMut() -> bool) {
    within_deadline(async {
        while !is_done() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    })
    .await;
}

/// HTTP client with a connection pool of its own. It does not retry.
#[derive(Debug, Clone)]
pub struct HttpClient(Client<HttpConnector, Full<Bytes>>);

pub type HttpError = hyper_util::client::legacy::Error;

impl HttpClient {
    pub fn new() -> Self {
        Self(
            Client::builder(TokioExecutor::new())
                .retry_canceled_requests(false)
                .build_http(),
        )
    }

    pub async fn send(
        &self,
        method: Method,
        addr: SocketAddr,
        path: &str,
        body: &impl Serialize,
    ) -> Result<Response<Incoming>, HttpError> {
        let req = Request::builder()
            .method(method)
            .uri(format!("http://{addr}{path}"))
            .header("content-type", "application/json")
            .body(Full::from(serde_json::to_vec(body).unwrap()))
            .unwrap();
        within_deadline(self.0.request(req)).await
    }

    pub async fn post(
        &self,
        addr: SocketAddr,
        path: &str,
        body: &impl Serialize,
    ) -> Result<Response<Incoming>, HttpError> {
        self.send(Method::POST, addr, path, body).await
    }

    pub async fn put(&self, addr: SocketAddr, path: &str, body: &impl Serialize) -> StatusCode {
        self.send(Method::PUT, addr, path, body)
            .await
            .unwrap()
            .status()
    }

    pub async fn get<T: serde::de::DeserializeOwned>(&self, addr: SocketAddr, path: &str) -> T {
        json(self.send(Method::GET, addr, path, &()).await.unwrap()).await
    }

    /// Starts a generation and returns the stream of its frames.
    pub async fn generate(&self, addr: SocketAddr, generate: &Generate) -> FrameStream {
        let res = self.post(addr, "/generate", generate).await.unwrap();
        assert_eq!(res.status(), StatusCode::OK);
        FrameStream {
            body: res.into_body(),
            buf: Vec::new(),
        }
    }
}

pub async fn json<T: serde::de::DeserializeOwned>(res: Response<Incoming>) -> T {
    let body = within_deadline(res.into_body().collect())
        .await
        .unwrap()
        .to_bytes();
    serde_json::from_slice(&body).unwrap()
}

/// Stream of the frames of one answer.
#[derive(Debug)]
pub struct FrameStream {
    body: Incoming,
    buf: Vec<u8>,
}

impl FrameStream {
    /// Returns the next frame, `None` at the end of the answer, or an error if the connection was
    /// closed before that.
    pub async fn next(&mut self) -> Result<Option<Frame>, hyper::Error> {
        loop {
            if let Some(end) = self.buf.iter().position(|&byte| byte == b'\n') {
                let line: Vec<u8> = self.buf.drain(..=end).collect();
                return Ok(Some(serde_json::from_slice(&line).unwrap()));
            }
            match within_deadline(self.body.frame()).await {
                Some(frame) => self.buf.extend_from_slice(frame?.data_ref().unwrap()),
                None => return Ok(None),
            }
        }
    }

    /// Reads to the end of the answer and returns all its frames; panics if the connection is
    /// closed before that.
    pub async fn collect_frames(mut self) -> Vec<Frame> {
        let mut frames = Vec::new();
        while let Some(frame) = self.next().await.unwrap() {
            frames.push(frame);
        }
        frames
    }
}

pub fn generate(id: u128, prompt: &str, max_tokens: u32) -> Generate {
    Generate {
        id: RequestId(id),
        attempt: 1,
        model: "m".into(),
        prompt: prompt.into(),
        max_tokens,
        priority: 0,
        delivered: Vec::new(),
    }
}

/// Returns the texts of the token frames.
pub fn tokens(frames: &[Frame]) -> Vec<Box<str>> {
    let text = |frame: &Frame| match &frame.body {
        FrameBody::Token(text) => Some(text.clone()),
        _ => None,
    };
    frames.iter().filter_map(text).collect()
}

pub fn client(addr: SocketAddr, instance: &str) -> PlatformClient {
    PlatformClient::new(ClientSettings::new(addr, instance))
}

pub fn record(text: &str) -> Box<serde_json::value::RawValue> {
    serde_json::value::to_raw_value(text).unwrap()
}
