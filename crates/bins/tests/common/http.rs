//! HTTP client of the tests.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

/// Timeout of one call, including its body. A call that exceeds it returns an error.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// A complete response.
#[derive(Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Answer {
    pub fn text(&self) -> &str {
        std::str::from_utf8(&self.body).unwrap()
    }

    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_else(|e| panic!("{e}: {}", self.text()))
    }
}

/// HTTP client with a connection pool of its own.
#[derive(Clone)]
pub struct Http {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Http {
    pub fn new() -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Sends a request and returns the response without reading its body.
    pub async fn open(
        &self,
        method: Method,
        addr: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<http::Response<Incoming>, hyper_util::client::legacy::Error> {
        let mut req = Request::builder()
            .method(method)
            .uri(format!("http://{addr}{path}"));
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        self.client
            .request(req.body(Full::new(body.into())).unwrap())
            .await
    }

    /// Sends a request and reads the complete response.
    pub async fn call(
        &self,
        method: Method,
        addr: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<Answer, String> {
        let call = async {
            let res = self.open(method, addr, path, headers, body).await;
            let (parts, body) = res.map_err(|e| format!("{e:?}"))?.into_parts();
            let body = body
                .collect()
                .await
                .map_err(|e| format!("{e:?}"))?
                .to_bytes();
            Ok(Answer {
                status: parts.status,
                headers: parts.headers,
                body,
            })
        };
        tokio::time::timeout(CALL_TIMEOUT, call)
            .await
            .map_err(|_| "timeout".to_owned())?
    }

    pub async fn get(&self, addr: SocketAddr, path: &str) -> Answer {
        self.call(Method::GET, addr, path, &[], "").await.unwrap()
    }

    pub async fn put(&self, addr: SocketAddr, path: &str, body: &serde_json::Value) -> Answer {
        let headers = [("content-type", "application/json")];
        self.call(Method::PUT, addr, path, &headers, body.to_string())
            .await
            .unwrap()
    }
}

/// Parses the data of the server-sent events in `text`. Returns it without the final `[DONE]`, and
/// whether `[DONE]` was received.
pub fn events(text: &str) -> (Vec<serde_json::Value>, bool) {
    let data: Vec<_> = text
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .collect();
    let is_done = data.last() == Some(&"[DONE]");
    let events = data
        .iter()
        .filter(|data| **data != "[DONE]")
        .map(|data| serde_json::from_str(data).unwrap())
        .collect();
    (events, is_done)
}

/// Concatenates the text of a chat stream.
pub fn chat_text(events: &[serde_json::Value]) -> String {
    events
        .iter()
        .filter_map(|e| e["choices"][0]["delta"]["content"].as_str())
        .collect()
}
