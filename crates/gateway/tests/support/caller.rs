//! HTTP client that acts as a caller.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, Request};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use nutmegbay_proto::problem::{PROBLEM_JSON, Problem};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::STEP_TIMEOUT;

/// Caller that passes the access key with each request.
#[derive(Clone)]
pub struct Caller {
    addr: SocketAddr,
    http: Client<HttpConnector, Full<Bytes>>,
}

/// Complete answer.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// Events of a streamed answer.
pub struct Events {
    body: Incoming,
    buf: String,
}

impl Answer {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).expect("JSON body")
    }

    pub fn problem(&self) -> Problem {
        assert_eq!(self.headers["content-type"], PROBLEM_JSON);
        let problem: Problem = serde_json::from_slice(&self.body).expect("problem");
        assert_eq!(problem.status, self.status);
        problem
    }
}

impl Caller {
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            http: Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    pub async fn send(&self, req: Request<Full<Bytes>>) -> Answer {
        let exchange = async {
            let res = self.http.request(req).await.expect("response");
            let (parts, body) = res.into_parts();
            Answer {
                status: parts.status.as_u16(),
                headers: parts.headers,
                body: body.collect().await.expect("body").to_bytes(),
            }
        };
        timeout(STEP_TIMEOUT, exchange)
            .await
            .expect("the gateway did not answer in time")
    }

    pub fn request(
        &self,
        method: &str,
        path: &str,
        key: Option<&str>,
        body: impl Into<Bytes>,
    ) -> Request<Full<Bytes>> {
        let mut req = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.addr));
        if let Some(key) = key {
            req = req.header("authorization", format!("Bearer {key}"));
        }
        req.body(Full::new(body.into())).expect("request")
    }

    pub async fn get(&self, path: &str, key: Option<&str>) -> Answer {
        self.send(self.request("GET", path, key, "")).await
    }

    pub async fn post(&self, path: &str, key: Option<&str>, body: &Value) -> Answer {
        self.send(self.request("POST", path, key, body.to_string()))
            .await
    }

    /// Sends a chat request and returns the complete answer.
    pub async fn chat(&self, key: &str, prompt: &str) -> Answer {
        self.post("/v1/chat/completions", Some(key), &chat(prompt, false))
            .await
    }

    /// Sends a streaming chat request and returns the events of its answer.
    pub async fn stream(&self, key: &str, prompt: &str) -> Events {
        let body = chat(prompt, true).to_string();
        let req = self.request("POST", "/v1/chat/completions", Some(key), body);
        let res = timeout(STEP_TIMEOUT, self.http.request(req))
            .await
            .expect("the gateway sent no response head in time")
            .expect("response");
        assert_eq!(res.status(), 200);
        Events {
            body: res.into_body(),
            buf: String::new(),
        }
    }
}

/// Body of a chat request.
pub fn chat(prompt: &str, is_stream: bool) -> Value {
    json!({ "model": "verse", "stream": is_stream,
            "messages": [{ "role": "user", "content": prompt }] })
}

impl Events {
    /// Returns the data of the next event; `None` at the end of the stream.
    pub async fn next(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buf.find("\n\n") {
                let event: String = self.buf.drain(..end + 2).collect();
                let data = event.trim_end().strip_prefix("data: ");
                return Some(data.expect("data event").to_owned());
            }
            let frame = timeout(STEP_TIMEOUT, self.body.frame())
                .await
                .expect("the gateway sent no event in time")?
                .expect("stream");
            let data = frame.into_data().expect("data");
            self.buf.push_str(std::str::from_utf8(&data).expect("text"));
        }
    }

    /// Returns the token of the next event.
    pub async fn token(&mut self) -> String {
        let data = self.next().await.expect("event");
        let event: Value = serde_json::from_str(&data).expect("JSON event");
        let token = &event["choices"][0]["delta"]["content"];
        token
            .as_str()
            .unwrap_or_else(|| panic!("{data}"))
            .to_owned()
    }

    /// Reads the stream to its end and returns the data of the remaining events.
    pub async fn rest(&mut self) -> Vec<String> {
        let mut events = Vec::new();
        while let Some(event) = self.next().await {
            events.push(event);
        }
        events
    }
}

/// Sends raw bytes and returns what the server sends until it closes the connection.
pub async fn send_raw(addr: SocketAddr, text: &[u8]) -> String {
    let mut socket = TcpStream::connect(addr).await.expect("connection");
    socket.write_all(text).await.expect("request");
    let mut answer = Vec::new();
    let _ = timeout(STEP_TIMEOUT, socket.read_to_end(&mut answer))
        .await
        .expect("the server did not close the connection");
    String::from_utf8_lossy(&answer).into_owned()
}
