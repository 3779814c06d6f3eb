//! Prefix cache and load reports of the fake engine. Guards against a cache without a capacity
//! limit or without late events, which would make prefix routing look better than it is.

mod common;

use common::{HttpClient, generate};
use nutmegbay_fakes::engine::{CostModel, EngineConfig, FakeEngine};
use nutmegbay_proto::engine::{CacheEvents, CacheExport, CachedPrefixBlocks, Load};
use nutmegbay_proto::frame::FrameBody;
use nutmegbay_proto::prefix::{PREFIX_BLOCK_BYTES, prefix_block_hashes};

/// Returns a prompt of two full prefix blocks and a partial one.
fn prompt(letter: &str) -> String {
    letter.repeat(2 * PREFIX_BLOCK_BYTES + 40)
}

/// Returns the number of cached tokens that the engine reports for `prompt`.
async fn cached_tokens(engine: &FakeEngine, prompt: &str) -> u32 {
    let frames = HttpClient::new()
        .generate(engine.addr(), &generate(1, prompt, 1))
        .await
        .collect_frames()
        .await;
    match &frames.last().unwrap().body {
        FrameBody::End(end) => end.cached_tokens,
        other => panic!("{other:?}"),
    }
}

#[tokio::test]
async fn least_recently_used_evicted() {
    let cfg = EngineConfig {
        cache_pieces: 4,
        ..EngineConfig::instant()
    };
    let engine = FakeEngine::start(cfg).await.unwrap();
    assert_eq!(cached_tokens(&engine, &prompt("a")).await, 0);
    assert_eq!(cached_tokens(&engine, &prompt("b")).await, 0);
    assert_eq!(cached_tokens(&engine, &prompt("a")).await, 4_096);
    assert_eq!(cached_tokens(&engine, &prompt("c")).await, 0);
    assert_eq!(cached_tokens(&engine, &prompt("b")).await, 0);
    let events: CacheEvents = HttpClient::new()
        .get(engine.addr(), "/cache/events?from=4")
        .await;
    let c_blocks = prefix_block_hashes("m", &prompt("c"));
    let b_blocks = prefix_block_hashes("m", &prompt("b"));
    let seen: Vec<(u64, bool)> = events.events.iter().map(|e| (e.block, e.stored)).collect();
    assert_eq!(
        seen[..4],
        [
            (c_blocks[0], true),
            (c_blocks[1], true),
            (b_blocks[0], false),
            (b_blocks[1], false)
        ]
    );
}

#[tokio::test]
async fn late_events_with_gaps() {
    let cfg = EngineConfig {
        event_lag_ms: 3_600_000,
        ..EngineConfig::instant()
    };
    let engine = FakeEngine::start(cfg).await.unwrap();
    cached_tokens(&engine, &prompt("a")).await;
    let events: CacheEvents = HttpClient::new()
        .get(engine.addr(), "/cache/events?from=0")
        .await;
    assert_eq!((events.next, events.events.len()), (0, 0));

    let cfg = EngineConfig {
        event_gap_share: 1.0,
        ..EngineConfig::instant()
    };
    let engine = FakeEngine::start(cfg).await.unwrap();
    cached_tokens(&engine, &prompt("a")).await;
    let events: CacheEvents = HttpClient::new()
        .get(engine.addr(), "/cache/events?from=0")
        .await;
    assert_eq!((events.next, events.events.len()), (2, 0));
}

#[tokio::test]
async fn export_and_import() {
    let from = FakeEngine::start(EngineConfig::instant()).await.unwrap();
    let to = FakeEngine::start(EngineConfig::instant()).await.unwrap();
    cached_tokens(&from, &prompt("a")).await;
    let export = CacheExport {
        model: "m".into(),
        prompt: prompt("a").into(),
    };
    let res = HttpClient::new()
        .post(from.addr(), "/cache/export", &export)
        .await
        .unwrap();
    let pieces: CachedPrefixBlocks = common::json(res).await;
    assert_eq!(pieces.blocks, prefix_block_hashes("m", &prompt("a")));
    assert_eq!(
        HttpClient::new()
            .post(to.addr(), "/cache/import", &pieces)
            .await
            .unwrap()
            .status(),
        204
    );
    assert_eq!(cached_tokens(&to, &prompt("a")).await, 4_096);
}

#[tokio::test]
async fn load_lag() {
    let slow_cost = CostModel {
        step_us: 3.6e9,
        ..CostModel::ZERO
    };
    for (lag, running) in [(0, 1), (3_600_000, 0)] {
        let cfg = EngineConfig {
            cost: slow_cost,
            load_lag_ms: lag,
            ..EngineConfig::default()
        };
        let engine = FakeEngine::start(cfg).await.unwrap();
        let answer = HttpClient::new()
            .generate(engine.addr(), &generate(1, "why", 5))
            .await;
        let mut load = Load::default();
        common::within_deadline(async {
            loop {
                load = HttpClient::new().get(engine.addr(), "/load").await;
                if load.waiting == 0 {
                    return;
                }
            }
        })
        .await;
        assert_eq!((load.running, load.age_ms), (running, lag));
        drop(answer);
    }
}
