//! Guards against orders that are placed twice, lost orders, and refusals that say "not run" of a
//! call that ran.

mod support;

use std::time::Duration;

use nutmegbay_core::verdict::Verdict;
use nutmegbay_proto::platform::InstanceKind;
use nutmegbay_proto::problem::ProblemKind;
use support::beside::Service;
use support::caller::{Answer, Caller};
use support::{KEY, Site, instance, until};
use tokio::net::TcpListener;

async fn place(caller: &Caller, key: &str, body: &str) -> Answer {
    let mut req = caller.request("POST", "/place", Some(KEY), body.to_owned());
    req.headers_mut()
        .insert("idempotency-key", key.parse().expect("value"));
    caller.send(req).await
}

/// Waits until the gateway knows the sidecar; its first call would otherwise wait as long.
async fn start(service: &Service) -> (Site, support::beside::Beside) {
    let beside = service.beside("s1");
    let site = Site::start_listing(vec![beside.instance.clone()]).await;
    (site, beside)
}

#[tokio::test]
async fn repeated_call() {
    let service = Service::start().await;
    let (site, _beside) = start(&service).await;
    let first = place(&site.caller(), "key-1", "cards").await;
    assert_eq!(
        (first.status, &first.body[..]),
        (200, &b"order 1: cards"[..])
    );
    let second = place(&site.caller(), "key-1", "cards").await;
    assert_eq!(second.body, first.body);
    // Another gateway answers from the log.
    let other = Site::start_with(site.platform.clone(), "gw2").await;
    other.until_ready().await;
    let third = place(&other.caller(), "key-1", "cards").await;
    assert_eq!(third.body, first.body);
    assert_eq!(service.runs(), 1);
    let other_key = place(&other.caller(), "key-2", "cards").await;
    assert_eq!(&other_key.body[..], b"order 2: cards");
}

#[tokio::test]
async fn parallel_calls() {
    let service = Service::start().await;
    let (site, _beside) = start(&service).await;
    let other = Site::start_with(site.platform.clone(), "gw2").await;
    other.until_ready().await;
    let callers = [site.caller(), other.caller()];
    let calls = (0..20).map(|n| place(&callers[n % 2], "key-1", "cards"));
    let answers = futures::future::join_all(calls).await;
    for answer in answers {
        assert_eq!(&answer.body[..], b"order 1: cards");
    }
    assert_eq!(service.runs(), 1);
}

#[tokio::test]
async fn missing_idempotency_key() {
    let service = Service::start().await;
    let (site, _beside) = start(&service).await;
    let caller = site.caller();
    let req = caller.request("POST", "/place", Some(KEY), "cards");
    let problem = caller.send(req).await.problem();
    assert_eq!(problem.kind, ProblemKind::MissingIdempotencyKey);
    assert_eq!(problem.verdict, Verdict::NotRun);
    assert_eq!(service.runs(), 0);
}

#[tokio::test]
async fn reused_key() {
    let service = Service::start().await;
    let (site, _beside) = start(&service).await;
    place(&site.caller(), "key-1", "cards").await;
    let problem = place(&site.caller(), "key-1", "more cards").await.problem();
    assert_eq!(problem.kind, ProblemKind::IdempotencyKeyReused);
    assert_eq!(problem.status, 422);
    assert_eq!(service.runs(), 1);
}

#[tokio::test]
async fn caller_who_left() {
    let service = Service::held().await;
    let (site, _beside) = start(&service).await;
    let caller = site.caller();
    tokio::select! {
        () = until(async || service.runs() == 1) => {}
        answer = place(&caller, "key-1", "cards") => panic!("{answer:?}"),
    }
    drop(caller);
    let caller = site.caller();
    let retry = place(&caller, "key-1", "cards");
    let (answer, ()) = tokio::join!(retry, async { service.release() });
    assert_eq!(&answer.body[..], b"order 1: cards");
    assert_eq!(service.runs(), 1);
}

#[tokio::test]
async fn log_outage() {
    let service = Service::start().await;
    let (site, _beside) = start(&service).await;
    let known = place(&site.caller(), "key-1", "cards").await;
    site.platform.set_down(true);
    let problem = place(&site.caller(), "key-2", "cards").await.problem();
    assert_eq!(problem.kind, ProblemKind::LogUnavailable);
    assert_eq!(problem.verdict, Verdict::NotRun);
    assert_eq!(
        place(&site.caller(), "key-1", "cards").await.body,
        known.body
    );
    assert_eq!(service.runs(), 1);
    site.platform.set_down(false);
    until(async || place(&site.caller(), "key-2", "cards").await.status == 200).await;
    assert_eq!(service.runs(), 2);
}

#[tokio::test]
async fn outage_with_silent_peer() {
    let service = Service::start().await;
    let (site, _beside) = start(&service).await;
    let silent = TcpListener::bind("127.0.0.1:0").await.expect("port");
    let silent = silent.local_addr().expect("address");
    site.platform
        .list(instance("gw2", InstanceKind::Gateway, "", silent));
    tokio::time::sleep(Duration::from_millis(600)).await;
    site.platform.set_down(true);
    let problem = place(&site.caller(), "key-1", "cards").await.problem();
    // The peer may have recorded and run it just before the log went away.
    assert_eq!(problem.verdict, Verdict::MayHaveRun);
    assert_eq!(service.runs(), 0);
}

#[tokio::test]
async fn refused_appends() {
    let service = Service::start().await;
    let (site, _beside) = start(&service).await;
    site.platform.set_refuses_appends(true);
    let problem = place(&site.caller(), "key-1", "cards").await.problem();
    assert_eq!(problem.kind, ProblemKind::LogUnavailable);
    assert_eq!(problem.verdict, Verdict::NotRun);
    assert_eq!(service.runs(), 0);
}

#[tokio::test]
async fn lost_append_answer() {
    let service = Service::start().await;
    let (site, _beside) = start(&service).await;
    site.platform.set_loses_answers(true);
    let answer = place(&site.caller(), "key-1", "cards").await;
    assert_eq!(&answer.body[..], b"order 1: cards");
    assert_eq!(service.runs(), 1);
}

#[tokio::test]
async fn lost_sidecar() {
    let service = Service::held().await;
    let (site, beside) = start(&service).await;
    let caller = site.caller();
    let (answer, ()) = tokio::join!(place(&caller, "key-1", "cards"), async {
        until(async || service.runs() == 1).await;
        beside.kill();
    });
    assert_eq!(answer.problem().verdict, Verdict::MayHaveRun);
    // A new sidecar on the instance must not run the call again.
    service.release();
    let again = service.beside("s1");
    site.platform.list(again.instance.clone());
    let answer = place(&caller, "key-1", "cards").await;
    assert_eq!(answer.problem().verdict, Verdict::MayHaveRun);
    assert_eq!(service.runs(), 1);
    assert_eq!(place(&caller, "key-2", "cards").await.status, 200);
}

#[tokio::test]
async fn no_sidecar() {
    let site = Site::start(&[]).await;
    let problem = place(&site.caller(), "key-1", "cards").await.problem();
    assert_eq!(problem.kind, ProblemKind::NoUpstream);
    assert_eq!(problem.verdict, Verdict::NotRun);
}
