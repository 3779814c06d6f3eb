//! Guards against answers that are incomplete, out of order or not in the format of OpenAI.

mod support;

use serde_json::Value;
use support::scripted_sidecar::ScriptedSidecar;
use support::{KEY, TestGateway};

#[tokio::test]
async fn streamed_answer() {
    let sidecar = ScriptedSidecar::engine("e1").await;
    let gateway = TestGateway::start(&[&sidecar]).await;
    let caller = gateway.caller();
    let serve = async {
        let mut running = sidecar.next().await;
        assert_eq!(&*running.work.account, "acme");
        assert_eq!(&*running.work.prompt, "user: a verse\n");
        running.accept();
        running.keep_alive().await;
        running.token("one ").await;
        running.token("\"two\"\n").await;
        running.end().await;
    };
    let ask = async {
        let mut events = caller.stream(KEY, "a verse").await;
        assert_eq!(events.token().await, "one ");
        assert_eq!(events.token().await, "\"two\"\n");
        events.rest().await
    };
    let ((), rest) = tokio::join!(serve, ask);
    assert_eq!(rest.len(), 2);
    let last: Value = serde_json::from_str(&rest[0]).expect("JSON event");
    assert_eq!(last["choices"][0]["finish_reason"], "stop");
    assert_eq!(last["usage"]["prompt_tokens"], 7);
    assert_eq!(last["usage"]["completion_tokens"], 2);
    assert_eq!(rest[1], "[DONE]");
}

#[tokio::test]
async fn whole_answer() {
    let sidecar = ScriptedSidecar::engine("e1").await;
    let gateway = TestGateway::start(&[&sidecar]).await;
    let serve = async {
        let mut running = sidecar.next().await;
        running.accept();
        running.token("one ").await;
        running.token("two").await;
        running.end().await;
    };
    let caller = gateway.caller();
    let ((), answer) = tokio::join!(serve, caller.chat(KEY, "a verse"));
    assert_eq!(answer.status, 200);
    let body = answer.json();
    assert_eq!(body["choices"][0]["message"]["content"], "one two");
    assert_eq!(body["usage"]["total_tokens"], 9);
}

#[tokio::test]
async fn text_completion() {
    let sidecar = ScriptedSidecar::engine("e1").await;
    let gateway = TestGateway::start(&[&sidecar]).await;
    let serve = async {
        let mut running = sidecar.next().await;
        assert_eq!(&*running.work.prompt, "once");
        assert_eq!(running.work.max_tokens, 5);
        running.accept();
        running.token("upon").await;
        running.end().await;
    };
    let body = serde_json::json!({ "model": "verse", "prompt": "once", "max_tokens": 5 });
    let caller = gateway.caller();
    let ((), answer) = tokio::join!(serve, caller.post("/v1/completions", Some(KEY), &body));
    assert_eq!(answer.json()["choices"][0]["text"], "upon");
}

#[tokio::test]
async fn model_list() {
    let gateway = TestGateway::start(&[]).await;
    let answer = gateway.caller().get("/v1/models", Some(KEY)).await;
    assert_eq!(answer.json()["data"][0]["id"], "verse");
}

#[tokio::test]
async fn service_call() {
    let sidecar = ScriptedSidecar::service("s1").await;
    let gateway = TestGateway::start(&[&sidecar]).await;
    let answer = gateway.caller().get("/orders/7?full=1", Some(KEY)).await;
    assert_eq!(answer.status, 200);
    assert_eq!(&answer.body[..], b"done for acme");
    assert_eq!(answer.headers["x-service"], "orders");
    let calls = sidecar.calls();
    assert_eq!(calls[0].path, "/call/orders/7?full=1");
}
