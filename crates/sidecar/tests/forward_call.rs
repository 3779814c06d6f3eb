//! Guards against a caller's credentials reaching the service, and against changes to forwarded
//! calls.

mod common;

use axum::Router;
use axum::body::Body;
use axum::extract::Request;
use axum::response::IntoResponse;
use common::TestSidecar;
use nutmegbay_core::ids::RequestId;
use nutmegbay_core::verdict::Verdict;
use nutmegbay_proto::problem::Problem;
use nutmegbay_proto::work::{CALL_HEADER, CallHead};

/// Service that answers with the method, path, headers and body of the request.
async fn echo(req: Request) -> impl IntoResponse {
    let (parts, body) = req.into_parts();
    let body = axum::body::to_bytes(body, 1 << 20).await.unwrap();
    let header_texts: Vec<String> = parts
        .headers
        .iter()
        .map(|(name, value)| format!("{name}={}", value.to_str().unwrap()))
        .collect();
    let text = format!(
        "{} {} [{}] {}",
        parts.method,
        parts.uri,
        header_texts.join(","),
        String::from_utf8_lossy(&body)
    );
    (
        [
            ("x-nutmegbay-account", "forged"),
            ("keep-alive", "timeout=5"),
            ("x-service", "yes"),
        ],
        text,
    )
}

fn call_head() -> String {
    serde_json::to_string(&CallHead {
        id: RequestId(7),
        account: Some("acme".into()),
        attempt: None,
        deadline_ms: 5_000,
    })
    .unwrap()
}

#[tokio::test]
async fn stripped_headers() {
    let sidecar = TestSidecar::start("service", Router::new().fallback(echo)).await;
    let req = sidecar
        .request("PUT", "/call/orders/7?x=%20y")
        .header(CALL_HEADER, call_head())
        .header("authorization", "Bearer nb_a_secret")
        .header("x-api-key", "nb_a_secret")
        .header("cookie", "k=nb_a_secret")
        .header("x-nutmegbay-account", "someone-else")
        .header("x-nutmegbay-anything", "nb_a_secret")
        .header("connection", "x-hop")
        .header("x-hop", "nb_a_secret")
        .header("te", "trailers")
        .header("accept", "text/plain")
        .body(Body::from("two cards"))
        .unwrap();
    let res = sidecar.send(req).await;
    assert!(res.headers().contains_key("x-service"));
    for name in ["x-nutmegbay-account", "keep-alive"] {
        assert!(
            !res.headers().contains_key(name),
            "`{name}` reached the gateway"
        );
    }
    let received = String::from_utf8(common::read_body(res).await.to_vec()).unwrap();
    assert!(received.starts_with("PUT /orders/7?x=%20y "), "{received}");
    assert!(received.ends_with(" two cards"), "{received}");
    assert!(received.contains("x-nutmegbay-account=acme"), "{received}");
    assert!(received.contains("accept=text/plain"), "{received}");
    for text in [
        "secret",
        "someone-else",
        "x-hop",
        "te=",
        "x-nutmegbay-call",
        "cookie",
    ] {
        assert!(
            !received.contains(text),
            "the service received `{text}`: {received}"
        );
    }
}

#[tokio::test]
async fn missing_call_head() {
    let sidecar = TestSidecar::start("service", Router::new().fallback(echo)).await;
    let req = sidecar
        .request("GET", "/call/x")
        .body(Body::empty())
        .unwrap();
    let res = sidecar.send(req).await;
    assert_eq!(res.status(), 400);
    let problem: Problem = serde_json::from_slice(&common::read_body(res).await).unwrap();
    assert_eq!(problem.verdict, Verdict::NotRun);
}
