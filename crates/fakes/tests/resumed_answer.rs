//! Resumed answers. Guards against an engine whose continued answer differs from an uninterrupted
//! one, with which no resume could be checked.

mod common;

use common::{Http, generate, tokens};
use nutmegbay_fakes::engine::{EngineConfig, FakeEngine, expected_tokens};
use nutmegbay_proto::frame::FrameBody;

#[tokio::test]
async fn equals_uninterrupted() {
    let (http, cfg) = (Http::new(), EngineConfig::instant());
    let first = FakeEngine::start(cfg.clone()).await.unwrap();
    let second = FakeEngine::start(cfg).await.unwrap();
    let whole = http
        .generate(first.addr(), &generate(1, "why", 20))
        .await
        .all()
        .await;
    assert_eq!(tokens(&whole), expected_tokens("m", "why", 20));

    let mut resumed = generate(1, "why", 20);
    resumed.attempt = 2;
    resumed.delivered = tokens(&whole)[..7].to_vec();
    let rest = http.generate(second.addr(), &resumed).await.all().await;
    assert_eq!(tokens(&rest), tokens(&whole)[7..]);
    let seqs: Vec<u32> = rest.iter().map(|frame| frame.seq).collect();
    assert_eq!(seqs, (7..=20).collect::<Vec<u32>>());
    assert!(rest.iter().all(|frame| frame.attempt == 2));
    assert!(matches!(&rest.last().unwrap().body, FrameBody::End(end) if &*end.finish == "length"));
    assert_eq!(second.seen().resumed, 1);
}

#[tokio::test]
async fn everything_delivered() {
    let (http, engine) = (
        Http::new(),
        FakeEngine::start(EngineConfig::instant()).await.unwrap(),
    );
    let mut resumed = generate(1, "why", 5);
    resumed.delivered = expected_tokens("m", "why", 5);
    let rest = http.generate(engine.addr(), &resumed).await.all().await;
    assert_eq!(rest.len(), 1);
    assert_eq!(rest[0].seq, 5);
}

#[tokio::test]
async fn natural_end() {
    let cfg = EngineConfig {
        natural_tokens: 10,
        ..EngineConfig::instant()
    };
    let (http, engine) = (Http::new(), FakeEngine::start(cfg).await.unwrap());
    let whole = http
        .generate(engine.addr(), &generate(1, "why", 1_000))
        .await
        .all()
        .await;
    assert!((2..=11).contains(&whole.len()));
    assert!(matches!(&whole.last().unwrap().body, FrameBody::End(end) if &*end.finish == "stop"));
}

#[test]
fn different_prompts() {
    let text = |model: &str, prompt: &str| expected_tokens(model, prompt, 20);
    assert_ne!(text("m", "why"), text("m", "how"));
    assert_ne!(text("m", "why"), text("n", "why"));
}
