//! Resumed answers. Guards against an engine whose resumed answer differs from an uninterrupted
//! one: no test could then check a resumed stream.

mod common;

use common::{HttpClient, generate, tokens};
use nutmegbay_fakes::engine::{EngineConfig, FakeEngine, expected_tokens};
use nutmegbay_proto::frame::FrameBody;

#[tokio::test]
async fn resumed_equals_uninterrupted() {
    let (http, cfg) = (HttpClient::new(), EngineConfig::instant());
    let first = FakeEngine::start(cfg.clone()).await.unwrap();
    let second = FakeEngine::start(cfg).await.unwrap();
    let complete = http
        .generate(first.addr(), &generate(1, "why", 20))
        .await
        .collect_frames()
        .await;
    assert_eq!(tokens(&complete), expected_tokens("m", "why", 20));

    let mut resumed = generate(1, "why", 20);
    resumed.attempt = 2;
    resumed.delivered = tokens(&complete)[..7].to_vec();
    let rest = http
        .generate(second.addr(), &resumed)
        .await
        .collect_frames()
        .await;
    assert_eq!(tokens(&rest), tokens(&complete)[7..]);
    let seqs: Vec<u32> = rest.iter().map(|frame| frame.seq).collect();
    assert_eq!(seqs, (7..=20).collect::<Vec<u32>>());
    assert!(rest.iter().all(|frame| frame.attempt == 2));
    assert!(matches!(&rest.last().unwrap().body, FrameBody::End(end) if &*end.finish == "length"));
    assert_eq!(second.seen().resumed, 1);
}

#[tokio::test]
async fn resumed_after_last_token() {
    let (http, engine) = (
        HttpClient::new(),
        FakeEngine::start(EngineConfig::instant()).await.unwrap(),
    );
    let mut resumed = generate(1, "why", 5);
    resumed.delivered = expected_tokens("m", "why", 5);
    let rest = http
        .generate(engine.addr(), &resumed)
        .await
        .collect_frames()
        .await;
    assert_eq!(rest.len(), 1);
    assert_eq!(rest[0].seq, 5);
}

#[tokio::test]
async fn ends_before_token_limit() {
    let cfg = EngineConfig {
        natural_tokens: 10,
        ..EngineConfig::instant()
    };
    let (http, engine) = (HttpClient::new(), FakeEngine::start(cfg).await.unwrap());
    let complete = http
        .generate(engine.addr(), &generate(1, "why", 1_000))
        .await
        .collect_frames()
        .await;
    assert!((2..=11).contains(&complete.len()));
    assert!(
        matches!(&complete.last().unwrap().body, FrameBody::End(end) if &*end.finish == "stop")
    );
}

#[test]
fn tokens_depend_on_model_and_prompt() {
    let answer = |model: &str, prompt: &str| expected_tokens(model, prompt, 20);
    assert_ne!(answer("m", "why"), answer("m", "how"));
    assert_ne!(answer("m", "why"), answer("n", "why"));
}
