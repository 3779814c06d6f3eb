//! HTTP client for the callers' interface of the gateways.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use nutmegbay_core::verdict::Verdict;
use nutmegbay_proto::problem::Problem;
use serde_json::{Value, json};
use tokio::time::timeout;

/// Timeout of an answer's head, of its whole body, or of the next frame of a stream.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// HTTP client that sends calls to gateways.
#[derive(Debug, Clone)]
pub(crate) struct GatewayClient {
    http: Client<HttpConnector, Full<Bytes>>,
}

/// Parameters of a model call.
#[derive(Debug, Clone)]
pub(crate) struct ModelCall {
    pub(crate) model: Box<str>,
    pub(crate) prompt: String,
    pub(crate) max_tokens: u32,
}

/// Failure of a call: no complete answer was received.
#[derive(Debug, Clone)]
pub(crate) enum CallFailure {
    /// The gateway refused the call or ended its answer with a problem.
    Problem(Box<Problem>),
    /// The answer is missing, truncated or cannot be parsed.
    Broken(String),
}

impl CallFailure {
    /// Returns whether the call may have run, as the caller can tell from the failure.
    pub(crate) fn verdict(&self) -> Verdict {
        match self {
            Self::Problem(problem) => problem.verdict,
            Self::Broken(_) => Verdict::MayHaveRun,
        }
    }
}

impl std::fmt::Display for CallFailure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Problem(problem) => problem.fmt(f),
            Self::Broken(text) => f.write_str(text),
        }
    }
}

/// Answer of a plain service, compared between repeats of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) body: String,
}

impl GatewayClient {
    pub(crate) fn new() -> Self {
        Self {
            http: Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Sends a completion call without streaming and returns the text of the answer.
    pub(crate) async fn complete(
        &self,
        gateway: SocketAddr,
        token: &str,
        model_call: &ModelCall,
    ) -> Result<String, CallFailure> {
        let body = json!({
            "model": model_call.model, "prompt": model_call.prompt,
            "max_tokens": model_call.max_tokens,
        });
        let res = self.send(gateway, "/v1/completions", token, &body).await?;
        let answer: Value =
            serde_json::from_slice(&read_body(res).await?).map_err(broken_answer)?;
        let text = answer["choices"][0]["text"].as_str();
        text.map(str::to_owned)
            .ok_or_else(|| broken_answer(format!("no text in {answer}")))
    }

    /// Sends a chat call with one user message and returns the stream of its answer.
    pub(crate) async fn stream_chat(
        &self,
        gateway: SocketAddr,
        token: &str,
        model_call: &ModelCall,
    ) -> Result<EventStream, CallFailure> {
        let body = json!({
            "model": model_call.model, "max_tokens": model_call.max_tokens, "stream": true,
            "messages": [{ "role": "user", "content": model_call.prompt }],
        });
        let res = self
            .send(gateway, "/v1/chat/completions", token, &body)
            .await?;
        Ok(EventStream {
            body: res.into_body(),
            buf: Vec::new(),
            is_done: false,
        })
    }

    /// Returns the names of the models that the gateway lists.
    pub(crate) async fn list_models(
        &self,
        gateway: SocketAddr,
        token: &str,
    ) -> Result<Vec<String>, CallFailure> {
        let req = Request::get(format!("http://{gateway}/v1/models"))
            .header("authorization", format!("Bearer {token}"));
        let res = self
            .request(req.body(Full::default()).map_err(broken_answer)?)
            .await?;
        let list: Value = serde_json::from_slice(&read_body(res).await?).map_err(broken_answer)?;
        let models = list["data"]
            .as_array()
            .map(Vec::as_slice)
            .unwrap_or_default();
        Ok(models
            .iter()
            .filter_map(|model| model["id"].as_str())
            .map(str::to_owned)
            .collect())
    }

    /// Sends a call to a plain service. A problem document, with which nutmegbay refuses a call, is
    /// returned as an error. Any answer of the service is returned as it is.
    pub(crate) async fn call_service(
        &self,
        method: Method,
        gateway: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: String,
    ) -> Result<Reply, CallFailure> {
        let mut req = Request::builder()
            .method(method)
            .uri(format!("http://{gateway}{path}"));
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let req = req.body(Full::from(body)).map_err(broken_answer)?;
        let res = timeout(ANSWER_TIMEOUT, self.http.request(req));
        let res = res.await.map_err(broken_answer)?.map_err(broken_answer)?;
        let status = res.status().as_u16();
        if is_problem(&res) {
            return Err(parse_problem(&read_body(res).await?));
        }
        let body = String::from_utf8_lossy(&read_body(res).await?).into_owned();
        Ok(Reply { status, body })
    }

    async fn send(
        &self,
        gateway: SocketAddr,
        path: &str,
        token: &str,
        body: &Value,
    ) -> Result<Response<Incoming>, CallFailure> {
        let req = Request::post(format!("http://{gateway}{path}"))
            .header("content-type", "application/json")
            .header("authorization", format!("Bearer {token}"))
            .body(Full::from(body.to_string()))
            .map_err(broken_answer)?;
        self.request(req).await
    }

    /// Sends a request; a status other than 2xx is an error.
    async fn request(&self, req: Request<Full<Bytes>>) -> Result<Response<Incoming>, CallFailure> {
        let res = timeout(ANSWER_TIMEOUT, self.http.request(req));
        let res = res.await.map_err(broken_answer)?.map_err(broken_answer)?;
        if res.status().is_success() {
            return Ok(res);
        }
        Err(parse_problem(&read_body(res).await?))
    }
}

/// One event of a streamed answer.
#[derive(Debug, Clone)]
pub(crate) enum Event {
    /// A part of the text.
    Text(String),
    /// Number of completion tokens; the last event before `[DONE]`.
    Usage(u64),
    /// The end marker `[DONE]`.
    Done,
}

/// Events of one streamed answer.
#[derive(Debug)]
pub(crate) struct EventStream {
    body: Incoming,
    buf: Vec<u8>,
    is_done: bool,
}

impl EventStream {
    /// Returns the next event, `None` after `[DONE]`.
    pub(crate) async fn next(&mut self) -> Result<Option<Event>, CallFailure> {
        while !self.is_done {
            let Some(end) = self.buf.windows(2).position(|pair| pair == b"\n\n") else {
                self.read_frame().await?;
                continue;
            };
            let event: Vec<u8> = self.buf.drain(..end + 2).collect();
            let text = String::from_utf8_lossy(&event);
            let Some(data) = text.trim_end().strip_prefix("data: ") else {
                continue;
            };
            if data == "[DONE]" {
                self.is_done = true;
                return Ok(Some(Event::Done));
            }
            return parse_event(data).map(Some);
        }
        Ok(None)
    }

    /// Reads the stream to its end and returns the text. Fails if no usage event came before the
    /// end.
    pub(crate) async fn collect_text(mut self) -> Result<String, CallFailure> {
        let (mut text, mut tokens) = (String::new(), None);
        while let Some(event) = self.next().await? {
            match event {
                Event::Text(part) => text.push_str(&part),
                Event::Usage(count) => tokens = Some(count),
                Event::Done => {}
            }
        }
        match tokens {
            Some(_) => Ok(text),
            None => Err(broken_answer("the stream ended without a usage event")),
        }
    }

    async fn read_frame(&mut self) -> Result<(), CallFailure> {
        let frame = timeout(ANSWER_TIMEOUT, self.body.frame())
            .await
            .map_err(broken_answer)?;
        let Some(frame) = frame else {
            return Err(broken_answer("the stream ended before the end marker"));
        };
        let frame = frame.map_err(broken_answer)?;
        self.buf
            .extend_from_slice(frame.data_ref().map_or(&[][..], |data| data));
        Ok(())
    }
}

fn parse_event(data: &str) -> Result<Event, CallFailure> {
    let event: Value = serde_json::from_str(data).map_err(broken_answer)?;
    if let Some(error) = event.get("error") {
        let problem = serde_json::from_value(error.clone()).map_err(broken_answer)?;
        return Err(CallFailure::Problem(Box::new(problem)));
    }
    if let Some(tokens) = event["usage"]["completion_tokens"].as_u64() {
        return Ok(Event::Usage(tokens));
    }
    let text = event["choices"][0]["delta"]["content"]
        .as_str()
        .unwrap_or_default();
    Ok(Event::Text(text.to_owned()))
}

async fn read_body(res: Response<Incoming>) -> Result<Bytes, CallFailure> {
    let body = timeout(ANSWER_TIMEOUT, res.into_body().collect())
        .await
        .map_err(broken_answer)?;
    Ok(body.map_err(broken_answer)?.to_bytes())
}

fn is_problem(res: &Response<Incoming>) -> bool {
    let media_type = res.headers().get(http::header::CONTENT_TYPE);
    media_type.is_some_and(|value| value == nutmegbay_proto::problem::PROBLEM_JSON)
}

fn parse_problem(body: &[u8]) -> CallFailure {
    match serde_json::from_slice(body) {
        Ok(problem) => CallFailure::Problem(Box::new(problem)),
        Err(_) => broken_answer(format!(
            "unexpected answer {}",
            String::from_utf8_lossy(body)
        )),
    }
}

#[expect(clippy::needless_pass_by_value, reason = "a function for `map_err`")]
fn broken_answer(error: impl ToString) -> CallFailure {
    CallFailure::Broken(error.to_string())
}
