//! Guards against one request that crashes every upstream, no matter how often its caller repeats
//! it.

mod support;

use std::time::Duration;

use futures::future::join_all;
use nutmegbay_core::verdict::Verdict;
use nutmegbay_fakes::engine::EngineConfig;
use nutmegbay_proto::problem::ProblemKind;
use support::{KEY, TestGateway, real_sidecar, wait_until};
use tokio::time::sleep;

const CRASHING_PROMPT: &str = "crash-this-engine";

fn config() -> EngineConfig {
    EngineConfig {
        restart_ms: Some(100),
        ..EngineConfig::instant()
    }
}

#[tokio::test]
async fn crashing_request() {
    let engines =
        join_all(["e1", "e2", "e3"].map(|name| real_sidecar::engine(name, config()))).await;
    let listed = engines.iter().map(|(_, b)| b.instance.clone()).collect();
    let gateway = TestGateway::start_listing(listed).await;
    let caller = gateway.caller();
    let problem = caller.chat(KEY, CRASHING_PROMPT).await.problem();
    assert_eq!(problem.kind, ProblemKind::Quarantined);
    assert_eq!(problem.verdict, Verdict::MayHaveRun);
    let crashes: usize = engines
        .iter()
        .map(|(e, _)| e.seen().crash_batches.len())
        .sum();
    assert_eq!(crashes, 2);
    // A repeat is refused without a run, also by another gateway.
    let other = TestGateway::start_with(gateway.platform.clone(), "gw2").await;
    other.wait_until_ready().await;
    for caller in [caller, other.caller()] {
        let problem = caller.chat(KEY, CRASHING_PROMPT).await.problem();
        assert_eq!(problem.kind, ProblemKind::Quarantined);
        assert_eq!(problem.verdict, Verdict::NotRun);
    }
    wait_until(async || gateway.caller().chat(KEY, "verse").await.status == 200).await;
    let crashes: usize = engines
        .iter()
        .map(|(e, _)| e.seen().crash_batches.len())
        .sum();
    assert_eq!(crashes, 2);
}

/// Guards against prompts that begin alike and go on differently: if each is quarantined by itself,
/// each of them costs upstreams.
#[tokio::test]
async fn shared_beginning() {
    const PROMPTS: usize = 12;
    /// The operators' limit: three beyond the fifth.
    const MAX_CRASHES: usize = 8;
    let engines =
        join_all(["e1", "e2", "e3"].map(|name| real_sidecar::engine(name, config()))).await;
    let listed = engines.iter().map(|(_, b)| b.instance.clone()).collect();
    let gateway = TestGateway::start_listing(listed).await;
    let caller = gateway.caller();
    for n in 0..PROMPTS {
        let prompt = format!("{CRASHING_PROMPT} and go on with verse {n}");
        let refused = caller.chat(KEY, &prompt).await;
        assert_ne!(refused.status, 200);
        wait_until(async || caller.chat(KEY, "verse").await.status == 200).await;
    }
    let crashes: usize = engines
        .iter()
        .map(|(e, _)| e.seen().crash_batches.len())
        .sum();
    assert!(crashes <= MAX_CRASHES, "{crashes} crashes");
}

/// Guards against refusing harmless prompts because they begin like prompts that crash upstreams,
/// also at a gateway that has answered none of them.
#[tokio::test]
async fn common_beginning() {
    const COMMON: &str = "You are a helpful assistant.";
    let engines =
        join_all(["e1", "e2", "e3"].map(|name| real_sidecar::engine(name, config()))).await;
    let listed = engines.iter().map(|(_, b)| b.instance.clone()).collect();
    let gateway = TestGateway::start_listing(listed).await;
    let other = TestGateway::start_with(gateway.platform.clone(), "gw2").await;
    other.wait_until_ready().await;
    for (gateway, name) in [(&gateway, "gw1"), (&other, "gw2")] {
        gateway.platform.list_instance(gateway.instance(name));
    }
    let callers = [gateway.caller(), other.caller()];
    for n in 0..4 {
        let crashing = format!("{COMMON} {CRASHING_PROMPT} and go on with verse {n}");
        assert_ne!(callers[0].chat(KEY, &crashing).await.status, 200);
        let harmless = format!("{COMMON} Go on with verse {n}");
        wait_until(async || callers[0].chat(KEY, &harmless).await.status == 200).await;
    }
    // The gateways learn of each other, and then exchange what they know twice a second.
    sleep(Duration::from_secs(1)).await;
    let crashing = format!("{COMMON} {CRASHING_PROMPT} and go on with verse 5");
    for caller in callers {
        let problem = caller.chat(KEY, &crashing).await.problem();
        assert_eq!(problem.kind, ProblemKind::Quarantined);
        assert_eq!(problem.verdict, Verdict::NotRun);
        let harmless = format!("{COMMON} Go on with verse 5");
        assert_eq!(caller.chat(KEY, &harmless).await.status, 200);
    }
}

#[tokio::test]
async fn harmless_requests() {
    let engines =
        join_all(["e1", "e2", "e3"].map(|name| real_sidecar::engine(name, config()))).await;
    let listed = engines.iter().map(|(_, b)| b.instance.clone()).collect();
    let gateway = TestGateway::start_listing(listed).await;
    let caller = gateway.caller();
    // These requests run in the same batch as the crashing one, become suspect too, and must still
    // be answered.
    let prompts: Vec<String> = (0..6).map(|n| format!("verse {n}")).collect();
    let harmless = join_all(prompts.iter().map(|prompt| caller.chat(KEY, prompt)));
    let (answers, crashing) = tokio::join!(harmless, caller.chat(KEY, CRASHING_PROMPT));
    assert_eq!(crashing.problem().kind, ProblemKind::Quarantined);
    for answer in answers {
        assert_eq!(answer.status, 200, "{:?}", answer.body);
    }
}
