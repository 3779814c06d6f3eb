//! Guards against panics, lost requests and unclear errors when a caller sends invalid input.

mod support;

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body::Frame;
use nutmegbay_core::verdict::Verdict;
use nutmegbay_gateway::data::serve::read_body;
use nutmegbay_proto::problem::ProblemKind;
use support::caller::{Answer, chat, send_raw};
use support::scripted_sidecar::ScriptedSidecar;
use support::{KEY, TestGateway};
use tokio::time::timeout;

const CHAT: &str = "/v1/chat/completions";

fn assert_refused(answer: &Answer, kind: ProblemKind) {
    let problem = answer.problem();
    assert_eq!(problem.kind, kind);
    assert_eq!(problem.verdict, Verdict::NotRun);
}

#[tokio::test]
async fn missing_key() {
    let gateway = TestGateway::start(&[]).await;
    let answer = gateway.caller().post(CHAT, None, &chat("x", false)).await;
    assert_refused(&answer, ProblemKind::MissingKey);
    // HTTP trims the space after `Bearer`, so an empty token counts as a missing key.
    let answer = gateway
        .caller()
        .post(CHAT, Some(""), &chat("x", false))
        .await;
    assert_refused(&answer, ProblemKind::MissingKey);
}

#[tokio::test]
async fn unknown_key() {
    let gateway = TestGateway::start(&[]).await;
    for key in ["nb_k1_wrong", "nb_k9_s3cret", "k1", "nb_", "nb__"] {
        let answer = gateway
            .caller()
            .post(CHAT, Some(key), &chat("x", false))
            .await;
        assert_refused(&answer, ProblemKind::InvalidKey);
    }
}

/// A request with two keys was accepted with the first one, whatever the second one was.
#[tokio::test]
async fn two_keys() {
    let gateway = TestGateway::start(&[]).await;
    let body = chat("x", false);
    for second in [
        format!("authorization: Bearer {KEY}"),
        "authorization: Bearer nb_k9_other".to_owned(),
        "x-api-key: nb_k9_other\r\nx-api-key: nb_k9_more".to_owned(),
    ] {
        let request = format!(
            "POST {CHAT} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n{second}\r\n\
             content-type: application/json\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}",
            body.to_string().len()
        );
        let answer = send_raw(gateway.listen, request.as_bytes()).await;
        assert!(answer.starts_with("HTTP/1.1 401"), "{second}: {answer}");
    }
}

#[tokio::test]
async fn oversized_body() {
    let gateway = TestGateway::start(&[]).await;
    let body = chat(&"x".repeat(70_000), false);
    let answer = gateway.caller().post(CHAT, Some(KEY), &body).await;
    assert_refused(&answer, ProblemKind::BodyTooLarge);
    let chunked = format!(
        "POST {CHAT} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\
         transfer-encoding: chunked\r\nconnection: close\r\n\r\n11170\r\n{}\r\n0\r\n\r\n",
        "x".repeat(0x1_1170)
    );
    let answer = send_raw(gateway.listen, chunked.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
}

#[tokio::test]
async fn malformed_json() {
    let gateway = TestGateway::start(&[]).await;
    let bodies = [
        "",
        "{",
        "[]",
        "{\"model\":\"verse\"}",
        "{\"model\":\"verse\",\"messages\":[]}",
        "{\"model\":\"verse\",\"messages\":[{\"role\":\"user\",\"content\":7}]}",
        "{\"model\":\"verse\",\"max_tokens\":-1,\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}",
        "{\"model\":\"verse\",\"max_tokens\":0,\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}",
        "\u{0}\u{1}",
    ];
    let caller = gateway.caller();
    for body in bodies {
        let req = caller.request("POST", CHAT, Some(KEY), body);
        assert_refused(&caller.send(req).await, ProblemKind::MalformedBody);
    }
    let deep = format!("{{\"model\":{}", "[".repeat(60_000));
    let req = caller.request("POST", CHAT, Some(KEY), deep);
    assert_refused(&caller.send(req).await, ProblemKind::MalformedBody);
}

#[tokio::test]
async fn unknown_model() {
    let gateway = TestGateway::start(&[]).await;
    let body = serde_json::json!({ "model": "prose", "prompt": "x" });
    let answer = gateway
        .caller()
        .post("/v1/completions", Some(KEY), &body)
        .await;
    assert_refused(&answer, ProblemKind::UnknownModel);
}

#[tokio::test]
async fn unknown_route() {
    let sidecar = ScriptedSidecar::service("s1").await;
    let gateway = TestGateway::start(&[&sidecar]).await;
    let paths = [
        "/",
        "/ordersx",
        "/v1/files",
        "/orders/../place",
        "/orders//x",
        "/orders/%2e%2E/x",
    ];
    for path in paths {
        let answer = gateway.caller().get(path, Some(KEY)).await;
        assert_refused(&answer, ProblemKind::UnknownRoute);
    }
    let answer = gateway
        .caller()
        .post("/orders", Some(KEY), &chat("x", false))
        .await;
    assert_refused(&answer, ProblemKind::UnknownRoute);
    assert!(sidecar.calls().is_empty());
}

#[tokio::test]
async fn smuggled_headers() {
    let sidecar = ScriptedSidecar::service("s1").await;
    let gateway = TestGateway::start(&[&sidecar]).await;
    let caller = gateway.caller();
    let mut req = caller.request("GET", "/orders/7", Some(KEY), "");
    let headers = req.headers_mut();
    for (name, value) in [
        ("x-nutmegbay-account", "other"),
        ("x-nutmegbay-call", "{}"),
        ("x-nutmegbay-anything", "1"),
        ("x-api-key", "nb_k2_s3cret2"),
        ("cookie", "session=1"),
        ("connection", "keep-alive, x-private"),
        ("x-private", "1"),
        ("x-kept", "1"),
    ] {
        headers.insert(name, value.parse().expect("value"));
    }
    let answer = caller.send(req).await;
    assert_eq!(&answer.body[..], b"done for acme");
    assert!(!answer.headers.contains_key("x-nutmegbay-load"));
    let call = &sidecar.calls()[0];
    assert_eq!(call.head.account.as_deref(), Some("acme"));
    let names: Vec<_> = call.headers.keys().map(http::HeaderName::as_str).collect();
    for name in names {
        let is_own = name == "x-nutmegbay-call";
        let is_expected = ["x-kept", "host", "content-length"].contains(&name);
        assert!(is_own || is_expected, "{name} reached the sidecar");
    }
}

#[tokio::test]
async fn smuggled_request() {
    let sidecar = ScriptedSidecar::service("s1").await;
    let gateway = TestGateway::start(&[&sidecar]).await;
    let head = format!("GET /orders/1 HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n");
    let inner = "GET /orders/2 HTTP/1.1\r\nhost: x\r\n\r\n";
    let both = format!(
        "{head}content-length: 5\r\ntransfer-encoding: chunked\r\nconnection: close\r\n\r\n0\r\n\r\n{inner}"
    );
    let lengths = format!(
        "{head}content-length: 0\r\ncontent-length: {}\r\n\r\n{inner}",
        inner.len()
    );
    let coding = format!("{head}transfer-encoding: chunked, identity\r\n\r\n0\r\n\r\n{inner}");
    send_raw(gateway.listen, both.as_bytes()).await;
    for text in [
        lengths,
        coding,
        "\u{1}\r\n\r\n".into(),
        "GET /\r\n\r\n".into(),
    ] {
        let answer = send_raw(gateway.listen, text.as_bytes()).await;
        assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    }
    assert!(
        sidecar
            .calls()
            .iter()
            .all(|call| call.path == "/call/orders/1")
    );
    assert_eq!(
        gateway.caller().get("/orders/3", Some(KEY)).await.status,
        200
    );
}

/// Body that never yields a frame.
struct StalledBody;

impl http_body::Body for StalledBody {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Poll::Pending
    }
}

#[tokio::test(start_paused = true)]
async fn stalled_body() {
    let problem = read_body(StalledBody, 100).await.expect_err("a refusal");
    assert_eq!(problem.kind, ProblemKind::IncompleteBody);
    assert_eq!(problem.verdict, Verdict::NotRun);
}

#[tokio::test]
async fn broken_body() {
    let sidecar = ScriptedSidecar::engine("e1").await;
    let gateway = TestGateway::start(&[&sidecar]).await;
    let half = format!(
        "POST {CHAT} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\
         content-length: 500\r\n\r\n{{\"model\":"
    );
    let mut socket = tokio::net::TcpStream::connect(gateway.listen)
        .await
        .expect("connection");
    tokio::io::AsyncWriteExt::write_all(&mut socket, half.as_bytes())
        .await
        .expect("request");
    drop(socket);
    let answer = gateway.caller().get("/v1/models", Some(KEY)).await;
    assert_eq!(answer.status, 200);
    assert!(!sidecar.has_work().await);
}

#[tokio::test]
async fn slow_reader() {
    const TOKEN: usize = 64 * 1024;
    let sidecar = ScriptedSidecar::engine("e1").await;
    let gateway = TestGateway::start(&[&sidecar]).await;
    let caller = gateway.caller();
    let (mut running, mut events) = tokio::join!(
        async {
            let mut running = sidecar.next().await;
            running.accept();
            running.token("first").await;
            running
        },
        caller.stream(KEY, "long")
    );
    let text = "x".repeat(TOKEN);
    let mut sent = 1;
    // The caller does not read, so back pressure must eventually block the sidecar.
    while timeout(Duration::from_millis(500), running.token(&text))
        .await
        .is_ok()
    {
        sent += 1;
        assert!(sent < 900, "no back pressure after {sent} tokens");
    }
    let send_rest = async {
        running.retry_token(&text).await;
        running.end().await;
    };
    let read_all = async {
        let mut tokens = vec![events.token().await];
        for _ in 0..sent {
            tokens.push(events.token().await);
        }
        (tokens, events.rest().await)
    };
    let ((), (tokens, rest)) = tokio::join!(send_rest, read_all);
    assert_eq!(tokens.len(), sent + 1);
    assert!(tokens[1..].iter().all(|token| *token == text));
    assert_eq!(rest.last().map(String::as_str), Some("[DONE]"));
}
