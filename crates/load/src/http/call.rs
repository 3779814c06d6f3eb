//! HTTP call to a gateway or directly to an engine.

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

/// Maximum time between two chunks of a response after its first token.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// HTTP client of the load tool.
pub type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Destination of a call.
#[derive(Debug, Clone)]
pub enum Target {
    /// Gateway, with the API key of the account.
    Gateway(SocketAddr, Box<str>),
    /// Engine, without a gateway.
    Engine(SocketAddr),
}

/// Completion request to a model.
#[derive(Debug, Clone)]
pub struct CompletionRequest {
    /// Name of the model.
    pub model: Box<str>,
    /// Prompt.
    pub prompt: String,
    /// Maximum number of output tokens.
    pub max_tokens: u32,
    /// Maximum time to the first token.
    pub patience: Duration,
    /// Request id, used only for engines.
    pub id: u128,
}

/// Latencies of a complete response.
#[derive(Debug, Clone, Default)]
pub struct ResponseTimes {
    /// Time to the first token.
    pub first_token: Duration,
    /// Times between tokens.
    pub token_gaps: Vec<Duration>,
    /// Time to the end of the response.
    pub total: Duration,
}

/// Reason why a call has no complete response. The report prints the names of the variants.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// No first token arrived in time.
    Impatient,
    /// Refused with this HTTP status.
    Refused(u16),
    /// The connection failed, or the response ended early, stalled or did not parse.
    Broken,
}

/// Creates an HTTP client with `TCP_NODELAY`.
pub fn client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new()).build(connector)
}

/// Sends a request and reads the whole response.
pub async fn call(
    http: &HttpClient,
    target: &Target,
    completion: &CompletionRequest,
) -> Result<ResponseTimes, CallError> {
    let start = Instant::now();
    let req = http_request(target, completion).map_err(|_| CallError::Broken)?;
    let first_token_deadline = start + completion.patience;
    let res = tokio::time::timeout_at(first_token_deadline, http.request(req))
        .await
        .map_err(|_| CallError::Impatient)?
        .map_err(|_| CallError::Broken)?;
    if !res.status().is_success() {
        return Err(CallError::Refused(res.status().as_u16()));
    }
    let mut body = res.into_body();
    let mut buf = Vec::new();
    let mut times = ResponseTimes::default();
    let mut last_token_at = None;
    loop {
        let next = match last_token_at {
            None => tokio::time::timeout_at(first_token_deadline, body.frame())
                .await
                .map_err(|_| CallError::Impatient)?,
            Some(_) => timeout(IDLE_TIMEOUT, body.frame())
                .await
                .map_err(|_| CallError::Broken)?,
        };
        let Some(frame) = next else {
            return Err(CallError::Broken);
        };
        if let Ok(data) = frame.map_err(|_| CallError::Broken)?.into_data() {
            buf.extend_from_slice(&data);
        }
        while let Some(end) = buf.iter().position(|&byte| byte == b'\n') {
            let line: Vec<u8> = buf.drain(..=end).collect();
            match (parse_line(target, &line)?, last_token_at) {
                (StreamItem::Ignored, _) => {}
                (StreamItem::Token, None) => {
                    times.first_token = start.elapsed();
                    last_token_at = Some(Instant::now());
                }
                (StreamItem::Token, Some(previous)) => {
                    times.token_gaps.push(previous.elapsed());
                    last_token_at = Some(Instant::now());
                }
                (StreamItem::End, _) => {
                    times.total = start.elapsed();
                    return Ok(times);
                }
            }
        }
    }
}

fn http_request(
    target: &Target,
    completion: &CompletionRequest,
) -> Result<Request<Full<Bytes>>, http::Error> {
    let (uri, key, body) = match target {
        Target::Gateway(addr, key) => {
            let body = json!({
                "model": completion.model,
                "messages": [{ "role": "user", "content": completion.prompt }],
                "max_tokens": completion.max_tokens,
                "stream": true,
            });
            let uri = format!("http://{addr}/v1/chat/completions");
            (uri, Some(key), body.to_string())
        }
        Target::Engine(addr) => {
            let body = Generate {
                id: RequestId(completion.id),
                attempt: 1,
                model: completion.model.clone(),
                prompt: completion.prompt.as_str().into(),
                max_tokens: completion.max_tokens,
                priority: 0,
                delivered: Vec::new(),
            };
            let body = serde_json::to_string(&body).unwrap_or_default();
            (format!("http://{addr}/generate"), None, body)
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

/// Content of one line of a response.
enum StreamItem {
    Ignored,
    Token,
    End,
}

/// Parses one line: a server-sent event from a gateway or a frame from an engine.
fn parse_line(target: &Target, line: &[u8]) -> Result<StreamItem, CallError> {
    let line = line.trim_ascii();
    if line.is_empty() {
        return Ok(StreamItem::Ignored);
    }
    if matches!(target, Target::Engine(_)) {
        let frame: Frame = serde_json::from_slice(line).map_err(|_| CallError::Broken)?;
        return match frame.body {
            FrameBody::Token(_) => Ok(StreamItem::Token),
            FrameBody::KeepAlive => Ok(StreamItem::Ignored),
            FrameBody::End(_) => Ok(StreamItem::End),
            FrameBody::Failed(problem) => Err(CallError::Refused(problem.status)),
        };
    }
    let Some(data) = line.strip_prefix(b"data:") else {
        return Ok(StreamItem::Ignored);
    };
    if data.trim_ascii() == b"[DONE]" {
        return Ok(StreamItem::End);
    }
    let event: serde_json::Value = serde_json::from_slice(data).map_err(|_| CallError::Broken)?;
    if let Some(status) = event["error"]["status"]
        .as_u64()
        .or(event["status"].as_u64())
    {
        return Err(CallError::Refused(u16::try_from(status).unwrap_or(500)));
    }
    let choice = &event["choices"][0];
    let text = choice["delta"]["content"]
        .as_str()
        .or(choice["text"].as_str());
    match text {
        Some(text) if !text.is_empty() => Ok(StreamItem::Token),
        _ => Ok(StreamItem::Ignored),
    }
}
