//! Guards against non-idempotent calls that run twice or are lost, and against refusals with the
//! verdict "not run" for a call that ran.

mod support;

use nutmegbay_core::verdict::Verdict;
use nutmegbay_proto::platform::{Instance, InstanceKind};
use nutmegbay_proto::problem::ProblemKind;
use support::caller::{Answer, Caller};
use support::real_sidecar::Service;
use support::{KEY, TestGateway, wait_until};

async fn place(caller: &Caller, key: &str, body: &str) -> Answer {
    let mut req = caller.request("POST", "/place", Some(KEY), body.to_owned());
    req.headers_mut()
        .insert("idempotency-key", key.parse().expect("value"));
    caller.send(req).await
}

/// Starts a gateway with the sidecar in its instance list and waits until it is ready, so that the
/// first call does not wait for the sidecar as well.
async fn start(service: &Service) -> (TestGateway, support::real_sidecar::RealSidecar) {
    let sidecar = service.start_sidecar("s1");
    let gateway = TestGateway::start_listing(vec![sidecar.instance.clone()]).await;
    (gateway, sidecar)
}

#[tokio::test]
async fn repeated_call() {
    let service = Service::start().await;
    let (gateway, _sidecar) = start(&service).await;
    let first = place(&gateway.caller(), "key-1", "cards").await;
    assert_eq!(
        (first.status, &first.body[..]),
        (200, &b"order 1: cards"[..])
    );
    let second = place(&gateway.caller(), "key-1", "cards").await;
    assert_eq!(second.body, first.body);
    // Another gateway answers the same key from the log.
    let other = TestGateway::start_with(gateway.platform.clone(), "gw2").await;
    other.wait_until_ready().await;
    let third = place(&other.caller(), "key-1", "cards").await;
    assert_eq!(third.body, first.body);
    assert_eq!(service.runs(), 1);
    let other_key = place(&other.caller(), "key-2", "cards").await;
    assert_eq!(&other_key.body[..], b"order 2: cards");
}

#[tokio::test]
async fn parallel_calls() {
    let service = Service::start().await;
    let (gateway, _sidecar) = start(&service).await;
    let other = TestGateway::start_with(gateway.platform.clone(), "gw2").await;
    other.wait_until_ready().await;
    let callers = [gateway.caller(), other.caller()];
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
    let (gateway, _sidecar) = start(&service).await;
    let caller = gateway.caller();
    let req = caller.request("POST", "/place", Some(KEY), "cards");
    let problem = caller.send(req).await.problem();
    assert_eq!(problem.kind, ProblemKind::MissingIdempotencyKey);
    assert_eq!(problem.verdict, Verdict::NotRun);
    assert_eq!(service.runs(), 0);
}

#[tokio::test]
async fn reused_key() {
    let service = Service::start().await;
    let (gateway, _sidecar) = start(&service).await;
    place(&gateway.caller(), "key-1", "cards").await;
    let problem = place(&gateway.caller(), "key-1", "more cards")
        .await
        .problem();
    assert_eq!(problem.kind, ProblemKind::IdempotencyKeyReused);
    assert_eq!(problem.status, 422);
    assert_eq!(service.runs(), 1);
}

#[tokio::test]
async fn disconnected_caller() {
    let service = Service::start_held().await;
    let (gateway, _sidecar) = start(&service).await;
    let caller = gateway.caller();
    tokio::select! {
        () = wait_until(async || service.runs() == 1) => {}
        answer = place(&caller, "key-1", "cards") => panic!("{answer:?}"),
    }
    drop(caller);
    let caller = gateway.caller();
    let retry = place(&caller, "key-1", "cards");
    let (answer, ()) = tokio::join!(retry, async { service.release() });
    assert_eq!(&answer.body[..], b"order 1: cards");
    assert_eq!(service.runs(), 1);
}

#[tokio::test]
async fn log_outage() {
    let service = Service::start().await;
    let (gateway, _sidecar) = start(&service).await;
    let recorded = place(&gateway.caller(), "key-1", "cards").await;
    gateway.platform.set_down(true);
    let problem = place(&gateway.caller(), "key-2", "cards").await.problem();
    assert_eq!(problem.kind, ProblemKind::LogUnavailable);
    // No other gateway is listed, so none can have recorded and run the call.
    assert_eq!(problem.verdict, Verdict::NotRun);
    assert_eq!(
        place(&gateway.caller(), "key-1", "cards").await.body,
        recorded.body
    );
    assert_eq!(service.runs(), 1);
    gateway.platform.set_down(false);
    wait_until(async || place(&gateway.caller(), "key-2", "cards").await.status == 200).await;
    assert_eq!(service.runs(), 2);
}

#[tokio::test]
async fn unreachable_gateway() {
    let service = Service::start().await;
    let sidecar = service.start_sidecar("s1");
    let unreachable = Instance {
        name: "gw2".into(),
        kind: InstanceKind::Gateway,
        serves: "".into(),
        // Nothing listens on port 1.
        control: ([127, 0, 0, 1], 1).into(),
        data: ([127, 0, 0, 1], 1).into(),
        ..sidecar.instance.clone()
    };
    let gateway = TestGateway::start_listing(vec![sidecar.instance.clone(), unreachable]).await;
    gateway.platform.set_down(true);
    // The other gateway may have recorded and run the call just before the outage of the log.
    let problem = place(&gateway.caller(), "key-1", "cards").await.problem();
    assert_eq!(problem.verdict, Verdict::MayHaveRun);

    // The verdict is the same once the keys are stale and the call is refused at once.
    wait_until(async || {
        let problem = place(&gateway.caller(), "key-2", "cards").await.problem();
        assert_eq!(problem.verdict, Verdict::MayHaveRun, "{problem}");
        problem.kind == ProblemKind::StaleState
    })
    .await;
    assert_eq!(service.runs(), 0);
}

#[tokio::test]
async fn withdrawn_key() {
    let service = Service::start().await;
    let (gateway, _sidecar) = start(&service).await;
    place(&gateway.caller(), "key-1", "cards").await;
    gateway.platform.withdraw("k1");
    wait_until(async || gateway.caller().get("/v1/models", Some(KEY)).await.status == 401).await;
    let problem = place(&gateway.caller(), "key-1", "cards").await.problem();
    assert_eq!(problem.kind, ProblemKind::InvalidKey);
    assert_eq!(
        problem.verdict,
        Verdict::MayHaveRun,
        "the call ran before the key was withdrawn"
    );
}

#[tokio::test]
async fn refused_appends() {
    let service = Service::start().await;
    let (gateway, _sidecar) = start(&service).await;
    gateway.platform.set_refuses_appends(true);
    let problem = place(&gateway.caller(), "key-1", "cards").await.problem();
    assert_eq!(problem.kind, ProblemKind::LogUnavailable);
    assert_eq!(problem.verdict, Verdict::NotRun);
    assert_eq!(service.runs(), 0);
}

#[tokio::test]
async fn lost_append_answer() {
    let service = Service::start().await;
    let (gateway, _sidecar) = start(&service).await;
    gateway.platform.set_loses_answers(true);
    let answer = place(&gateway.caller(), "key-1", "cards").await;
    assert_eq!(&answer.body[..], b"order 1: cards");
    assert_eq!(service.runs(), 1);
}

#[tokio::test]
async fn lost_sidecar() {
    let service = Service::start_held().await;
    let (gateway, sidecar) = start(&service).await;
    let caller = gateway.caller();
    let (answer, ()) = tokio::join!(place(&caller, "key-1", "cards"), async {
        wait_until(async || service.runs() == 1).await;
        sidecar.kill();
    });
    assert_eq!(answer.problem().verdict, Verdict::MayHaveRun);
    // A new sidecar on the instance must not run the call again.
    service.release();
    let restarted = service.start_sidecar("s1");
    gateway.platform.list_instance(restarted.instance.clone());
    let answer = place(&caller, "key-1", "cards").await;
    assert_eq!(answer.problem().verdict, Verdict::MayHaveRun);
    assert_eq!(service.runs(), 1);
    assert_eq!(place(&caller, "key-2", "cards").await.status, 200);
}

#[tokio::test]
async fn no_sidecar() {
    let gateway = TestGateway::start(&[]).await;
    let problem = place(&gateway.caller(), "key-1", "cards").await.problem();
    assert_eq!(problem.kind, ProblemKind::NoUpstream);
    assert_eq!(problem.verdict, Verdict::NotRun);
}
