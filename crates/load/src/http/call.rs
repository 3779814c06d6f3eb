//! One call, to a gateway or straight to an engine.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::{AUTHORIZATION, CONTENT_TYPE};
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use nutmegbay_core::ids::RequestId;
use nutmegbay_proto::engine::Generate;
use nutmegbay_proto::frame::{Frame, FrameBody};
use serde_json::json;
use tokio::time::{Instant, timeout};

/// Longest time without any byte.
const SILENT: Duration = Duration::from_secs(30);

/// HTTP client of the load tool.
pub type Http = Client<HttpConnector, Full<Bytes>>;

/// Whom a call goes to.
#[derive(Debug, Clone)]
pub enum Target {
    /// Gateway, with a key.
    Gateway(SocketAddr, Box<str>),
    /// Engine.
    Engine(SocketAddr),
}

/// What is asked for.
#[derive(Debug, Clone)]
pub struct Ask {
    /// Model.
    pub model: Box<str>,
    /// Prompt.
    pub prompt: String,
    /// Most tokens.
    pub max_tokens: u32,
    /// Longest wait for the first token.
    pub patience: Duration,
    /// Identity, for engines.
    pub id: u128,
}

/// Times of a complete answer.
#[derive(Debug, Clone, Default)]
pub struct Times {
    /// To the first token.
    pub first: Duration,
    /// Between tokens.
    pub gaps: Vec<Duration>,
    /// To the end.
    pub whole: Duration,
}

/// Why there is no complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failed {
    /// The caller lost patience.
    Impatient,
    /// Refused with this status.
    Refused(u16),
    /// Broke off or did not parse.
    Broken,
}

/// Creates a client.
pub fn client() -> Http {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new()).build(connector)
}

/// Sends a request and reads the whole answer.
pub async fn call(http: &Http, target: &Target, ask: &Ask) -> Result<Times, Failed> {
    let start = Instant::now();
    let req = request(target, ask).map_err(|_| Failed::Broken)?;
    let until = start + ask.patience;
    let res = tokio::time::timeout_at(until, http.request(req))
        .await
        .map_err(|_| Failed::Impatient)?
        .map_err(|_| Failed::Broken)?;
    if !res.status().is_success() {
        return Err(Failed::Refused(res.status().as_u16()));
    }
    let mut body = res.into_body();
    let mut buf = Vec::new();
    let mut times = Times::default();
    let mut last = None;
    loop {
        let next = match last {
            None => tokio::time::timeout_at(until, body.frame())
                .await
                .map_err(|_| Failed::Impatient)?,
            Some(_) => timeout(SILENT, body.frame())
                .await
                .map_err(|_| Failed::Broken)?,
        };
        let Some(frame) = next else {
            return Err(Failed::Broken);
        };
        if let Ok(data) = frame.map_err(|_| Failed::Broken)?.into_data() {
            buf.extend_from_slice(&data);
        }
        while let Some(end) = buf.iter().position(|&byte| byte == b'\n') {
            let line: Vec<u8> = buf.drain(..=end).collect();
            match (read(target, &line)?, last) {
                (Piece::None, _) => {}
                (Piece::Token, None) => {
                    times.first = start.elapsed();
                    last = Some(Instant::now());
                }
                (Piece::Token, Some(at)) => {
                    times.gaps.push(at.elapsed());
                    last = Some(Instant::now());
                }
                (Piece::End, _) => {
                    times.whole = start.elapsed();
                    return Ok(times);
                }
            }
        }
    }
}

fn request(target: &Target, ask: &Ask) -> Result<Request<Full<Bytes>>, http::Error> {
    let (uri, key, body) = match target {
        Target::Gateway(at, key) => {
            let body = json!({
                "model": ask.model,
                "messages": [{ "role": "user", "content": ask.prompt }],
                "max_tokens": ask.max_tokens,
                "stream": true,
            });
            let uri = format!("http://{at}/v1/chat/completions");
            (uri, Some(key), body.to_string())
        }
        Target::Engine(at) => {
            let body = Generate {
                id: RequestId(ask.id),
                attempt: 1,
                model: ask.model.clone(),
                prompt: ask.prompt.as_str().into(),
                max_tokens: ask.max_tokens,
                priority: 0,
                delivered: Vec::new(),
            };
            let body = serde_json::to_string(&body).unwrap_or_default();
            (format!("http://{at}/generate"), None, body)
        }
    };
    let mut req = Request::builder()
        .method(Method::POST)
        .uri(uri)
        .header(CONTENT_TYPE, "application/json");
    if let Some(key) = key {
        req = req.header(AUTHORIZATION, format!("Bearer {key}"));
    }
    req.body(Full::from(body))
}

enum Piece {
    None,
    Token,
    End,
}

/// Reads one line: a server-sent event of a gateway or a frame of an engine.
fn read(target: &Target, line: &[u8]) -> Result<Piece, Failed> {
    let line = line.trim_ascii();
    if line.is_empty() {
        return Ok(Piece::None);
    }
    if matches!(target, Target::Engine(_)) {
        let frame: Frame = serde_json::from_slice(line).map_err(|_| Failed::Broken)?;
        return match frame.body {
            FrameBody::Token(_) => Ok(Piece::Token),
            FrameBody::KeepAlive => Ok(Piece::None),
            FrameBody::End(_) => Ok(Piece::End),
            FrameBody::Failed(problem) => Err(Failed::Refused(problem.status)),
        };
    }
    let Some(data) = line.strip_prefix(b"data:") else {
        return Ok(Piece::None);
    };
    if data.trim_ascii() == b"[DONE]" {
        return Ok(Piece::End);
    }
    let event: serde_json::Value = serde_json::from_slice(data).map_err(|_| Failed::Broken)?;
    if let Some(status) = event["error"]["status"]
        .as_u64()
        .or(event["status"].as_u64())
    {
        return Err(Failed::Refused(u16::try_from(status).unwrap_or(500)));
    }
    let choice = &event["choices"][0];
    let text = choice["delta"]["content"]
        .as_str()
        .or(choice["text"].as_str());
    match text {
        Some(text) if !text.is_empty() => Ok(Piece::Token),
        _ => Ok(Piece::None),
    }
}
