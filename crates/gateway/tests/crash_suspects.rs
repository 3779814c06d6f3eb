//! Guards against one request that crashes every upstream, however often its caller sends it.

mod support;

use futures::future::join_all;
use nutmegbay_core::verdict::Verdict;
use nutmegbay_fakes::engine::EngineConfig;
use nutmegbay_proto::problem::ProblemKind;
use support::{KEY, Site, beside, until};

const CRASH: &str = "crash-this-engine";

fn config() -> EngineConfig {
    EngineConfig {
        restart_ms: Some(100),
        ..EngineConfig::instant()
    }
}

#[tokio::test]
async fn crashing_request() {
    let engines = join_all(["e1", "e2", "e3"].map(|name| beside::engine(name, config()))).await;
    let listed = engines.iter().map(|(_, b)| b.instance.clone()).collect();
    let site = Site::start_listing(listed).await;
    let caller = site.caller();
    let problem = caller.chat(KEY, CRASH).await.problem();
    assert_eq!(problem.kind, ProblemKind::Quarantined);
    assert_eq!(problem.verdict, Verdict::MayHaveRun);
    let crashes: usize = engines
        .iter()
        .map(|(e, _)| e.seen().crash_batches.len())
        .sum();
    assert_eq!(crashes, 2);
    // Again, also at another gateway: refused without a run.
    let other = Site::start_with(site.platform.clone(), "gw2").await;
    other.until_ready().await;
    for caller in [caller, other.caller()] {
        let problem = caller.chat(KEY, CRASH).await.problem();
        assert_eq!(problem.kind, ProblemKind::Quarantined);
        assert_eq!(problem.verdict, Verdict::NotRun);
    }
    until(async || site.caller().chat(KEY, "verse").await.status == 200).await;
    let crashes: usize = engines
        .iter()
        .map(|(e, _)| e.seen().crash_batches.len())
        .sum();
    assert_eq!(crashes, 2);
}

#[tokio::test]
async fn innocent_request() {
    let engines = join_all(["e1", "e2", "e3"].map(|name| beside::engine(name, config()))).await;
    let listed = engines.iter().map(|(_, b)| b.instance.clone()).collect();
    let site = Site::start_listing(listed).await;
    let caller = site.caller();
    // Runs beside the crashing request, is suspect with it, and is answered in the end.
    let prompts: Vec<String> = (0..6).map(|n| format!("verse {n}")).collect();
    let innocent = join_all(prompts.iter().map(|prompt| caller.chat(KEY, prompt)));
    let (answers, crashing) = tokio::join!(innocent, caller.chat(KEY, CRASH));
    assert_eq!(crashing.problem().kind, ProblemKind::Quarantined);
    for answer in answers {
        assert_eq!(answer.status, 200, "{:?}", answer.body);
    }
}
