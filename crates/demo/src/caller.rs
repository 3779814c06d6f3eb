//! Caller's side of the HTTP interface.

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

/// Longest wait for an answer or for its next event.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// Client of the gateways.
#[derive(Debug, Clone)]
pub(crate) struct Caller {
    http: Client<HttpConnector, Full<Bytes>>,
}

/// Model call.
#[derive(Debug, Clone)]
pub(crate) struct Ask {
    pub(crate) model: Box<str>,
    pub(crate) prompt: String,
    pub(crate) max_tokens: u32,
}

/// Why a call got no complete answer.
#[derive(Debug, Clone)]
pub(crate) enum Failed {
    /// Refused, or ended, with a problem.
    Problem(Box<Problem>),
    /// The answer broke off, did not come or does not parse.
    Broken(String),
}

impl Failed {
    /// What the caller may conclude.
    pub(crate) fn verdict(&self) -> Verdict {
        match self {
            Self::Problem(problem) => problem.verdict,
            Self::Broken(_) => Verdict::MayHaveRun,
        }
    }
}

impl std::fmt::Display for Failed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Problem(problem) => problem.fmt(f),
            Self::Broken(text) => f.write_str(text),
        }
    }
}

/// Answer of a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) body: String,
}

impl Caller {
    pub(crate) fn new() -> Self {
        Self {
            http: Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Sends a completion call that is answered as a whole; returns its text.
    pub(crate) async fn whole(
        &self,
        gateway: SocketAddr,
        token: &str,
        ask: &Ask,
    ) -> Result<String, Failed> {
        let body = json!({
            "model": ask.model, "prompt": ask.prompt, "max_tokens": ask.max_tokens,
        });
        let res = self.send(gateway, "/v1/completions", token, &body).await?;
        let answer: Value = serde_json::from_slice(&read(res).await?).map_err(broken)?;
        let text = answer["choices"][0]["text"].as_str();
        text.map(str::to_owned)
            .ok_or_else(|| broken(format!("no text in {answer}")))
    }

    /// Sends a chat call with one user message that is answered as a stream.
    pub(crate) async fn stream(
        &self,
        gateway: SocketAddr,
        token: &str,
        ask: &Ask,
    ) -> Result<EventStream, Failed> {
        let body = json!({
            "model": ask.model, "max_tokens": ask.max_tokens, "stream": true,
            "messages": [{ "role": "user", "content": ask.prompt }],
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

    /// Names of the models that the gateway lists.
    pub(crate) async fn models(
        &self,
        gateway: SocketAddr,
        token: &str,
    ) -> Result<Vec<String>, Failed> {
        let req = Request::get(format!("http://{gateway}/v1/models"))
            .header("authorization", format!("Bearer {token}"));
        let res = self
            .request(req.body(Full::default()).map_err(broken)?)
            .await?;
        let list: Value = serde_json::from_slice(&read(res).await?).map_err(broken)?;
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

    /// Sends a call to a plain service. A refusal by nutmegbay is a failure, any answer of the
    /// service is not.
    pub(crate) async fn service(
        &self,
        method: Method,
        gateway: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: String,
    ) -> Result<Reply, Failed> {
        let mut req = Request::builder()
            .method(method)
            .uri(format!("http://{gateway}{path}"));
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let req = req.body(Full::from(body)).map_err(broken)?;
        let res = timeout(ANSWER_TIMEOUT, self.http.request(req));
        let res = res.await.map_err(broken)?.map_err(broken)?;
        let status = res.status().as_u16();
        if is_problem(&res) {
            return Err(problem(&read(res).await?));
        }
        let body = String::from_utf8_lossy(&read(res).await?).into_owned();
        Ok(Reply { status, body })
    }

    async fn send(
        &self,
        gateway: SocketAddr,
        path: &str,
        token: &str,
        body: &Value,
    ) -> Result<Response<Incoming>, Failed> {
        let req = Request::post(format!("http://{gateway}{path}"))
            .header("content-type", "application/json")
            .header("authorization", format!("Bearer {token}"))
            .body(Full::from(body.to_string()))
            .map_err(broken)?;
        self.request(req).await
    }

    /// Sends a request whose answer must be a success.
    async fn request(&self, req: Request<Full<Bytes>>) -> Result<Response<Incoming>, Failed> {
        let res = timeout(ANSWER_TIMEOUT, self.http.request(req));
        let res = res.await.map_err(broken)?.map_err(broken)?;
        if res.status().is_success() {
            return Ok(res);
        }
        Err(problem(&read(res).await?))
    }
}

/// One event of a streamed answer.
#[derive(Debug, Clone)]
pub(crate) enum Event {
    /// Text.
    Text(String),
    /// Last event before the end mark, with the number of tokens.
    Usage(u64),
    /// End mark.
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
    /// Next event, none after the end mark.
    pub(crate) async fn next(&mut self) -> Result<Option<Event>, Failed> {
        while !self.is_done {
            let Some(end) = self.buf.windows(2).position(|pair| pair == b"\n\n") else {
                self.fill().await?;
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
            return parse(data).map(Some);
        }
        Ok(None)
    }

    /// Reads to the end; returns the whole text.
    pub(crate) async fn whole(mut self) -> Result<String, Failed> {
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
            None => Err(broken("the end mark came without usage")),
        }
    }

    async fn fill(&mut self) -> Result<(), Failed> {
        let frame = timeout(ANSWER_TIMEOUT, self.body.frame())
            .await
            .map_err(broken)?;
        let Some(frame) = frame else {
            return Err(broken("the stream broke off"));
        };
        let frame = frame.map_err(broken)?;
        self.buf
            .extend_from_slice(frame.data_ref().map_or(&[][..], |data| data));
        Ok(())
    }
}

fn parse(data: &str) -> Result<Event, Failed> {
    let event: Value = serde_json::from_str(data).map_err(broken)?;
    if let Some(error) = event.get("error") {
        let problem = serde_json::from_value(error.clone()).map_err(broken)?;
        return Err(Failed::Problem(Box::new(problem)));
    }
    if let Some(tokens) = event["usage"]["completion_tokens"].as_u64() {
        return Ok(Event::Usage(tokens));
    }
    let text = event["choices"][0]["delta"]["content"]
        .as_str()
        .unwrap_or_default();
    Ok(Event::Text(text.to_owned()))
}

async fn read(res: Response<Incoming>) -> Result<Bytes, Failed> {
    let body = timeout(ANSWER_TIMEOUT, res.into_body().collect())
        .await
        .map_err(broken)?;
    Ok(body.map_err(broken)?.to_bytes())
}

fn is_problem(res: &Response<Incoming>) -> bool {
    let media_type = res.headers().get(http::header::CONTENT_TYPE);
    media_type.is_some_and(|value| value == nutmegbay_proto::problem::PROBLEM_JSON)
}

fn problem(body: &[u8]) -> Failed {
    match serde_json::from_slice(body) {
        Ok(problem) => Failed::Problem(Box::new(problem)),
        Err(_) => broken(format!(
            "unexpected answer {}",
            String::from_utf8_lossy(body)
        )),
    }
}

#[expect(clippy::needless_pass_by_value, reason = "a function for `map_err`")]
fn broken(error: impl ToString) -> Failed {
    Failed::Broken(error.to_string())
}
