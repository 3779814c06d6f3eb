//! Guards against client accounts that starve behind a large one, requests that wait beyond their
//! deadline, and work that is sent to leaving, draining or failing upstreams.

mod support;

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use nutmegbay_gateway::admit::{Admission, AdmissionRequest, Requirements, Reservation};
use nutmegbay_gateway::state::environment::Clock;
use nutmegbay_gateway::state::upstreams::merge;
use nutmegbay_gateway::state::view::View;
use nutmegbay_proto::engine::Load;
use nutmegbay_proto::platform::{Instance, InstanceKind, InstanceList, InstanceState};
use nutmegbay_proto::problem::{Problem, ProblemKind};
use support::{base, instance};
use tokio::time::{Instant, sleep};

/// Load of an upstream without capacity: its prefill queue takes minutes.
fn busy() -> Load {
    Load {
        running: 64,
        prefill_tokens: 4_000_000,
        ..Load::default()
    }
}

fn view(instances: Vec<Instance>) -> View {
    let site = nutmegbay_settings::parse_site(&base().to_string(), None).expect("settings");
    View {
        site: Some(Arc::new(site)),
        upstreams: merge(&[], &InstanceList { instances }),
        ..View::default()
    }
}

fn engine(name: &str) -> Instance {
    let addr = "127.0.0.1:0".parse().expect("address");
    instance(name, InstanceKind::Engine, "verse", addr)
}

fn admission() -> Arc<Admission> {
    Admission::new(Clock::new(), "a")
}

async fn admit(
    admission: &Arc<Admission>,
    view: &View,
    account: &str,
) -> Result<Reservation, Problem> {
    let requirements = Requirements::new("verse", "a verse", 100);
    let req = AdmissionRequest {
        account,
        model: "verse",
        priority: 0,
        requirements: &requirements,
    };
    admission.admit(view, req).await
}

#[tokio::test(start_paused = true)]
async fn passed_deadline() {
    let (admission, view) = (admission(), view(vec![engine("e1")]));
    drop(admit(&admission, &view, "acme").await.expect("a grant"));
    admission.on_load_report(&view.upstreams[0], &busy());
    let started = Instant::now();
    let problem = admit(&admission, &view, "acme")
        .await
        .err()
        .expect("a refusal");
    assert_eq!(problem.kind, ProblemKind::Overloaded);
    assert!(problem.retry_after_s.is_some());
    assert!(started.elapsed() <= Duration::from_millis(1_001));
}

#[tokio::test(start_paused = true)]
async fn full_queue() {
    let (admission, view) = (admission(), view(vec![engine("e1")]));
    drop(admit(&admission, &view, "acme").await.expect("a grant"));
    admission.on_load_report(&view.upstreams[0], &busy());
    let started = Instant::now();
    let all = join_all((0..300).map(|_| admit(&admission, &view, "acme"))).await;
    assert!(all.iter().all(Result::is_err));
    // The queue holds at most 100 requests; the others are refused without a wait.
    assert!(started.elapsed() <= Duration::from_millis(1_001));
}

#[tokio::test(start_paused = true)]
async fn large_account() {
    let (admission, view) = (admission(), view(vec![engine("e1")]));
    drop(admit(&admission, &view, "acme").await.expect("a grant"));
    admission.on_load_report(&view.upstreams[0], &busy());
    let order = Arc::new(std::sync::Mutex::new(Vec::new()));
    let mut tasks = Vec::new();
    for n in 0..40 {
        let account = if n < 36 { "acme" } else { "other" };
        let (admission, view, order) = (admission.clone(), view.clone(), Arc::clone(&order));
        tasks.push(tokio::spawn(async move {
            let grant = admit(&admission, &view, account).await.expect("a grant");
            order.lock().expect("lock").push(account);
            grant
        }));
    }
    sleep(Duration::from_millis(100)).await;
    assert!(order.lock().expect("lock").is_empty());
    // Capacity for one request becomes free at a time.
    for _ in 0..10 {
        let room = Load {
            running: 63,
            ..Load::default()
        };
        admission.on_load_report(&view.upstreams[0], &room);
        admission.tick(&view);
        sleep(Duration::from_millis(10)).await;
        admission.on_load_report(&view.upstreams[0], &busy());
    }
    let served = order.lock().expect("lock").clone();
    let others = served.iter().take(10).filter(|a| **a == "other").count();
    assert_eq!(others, 4, "{served:?}");
}

#[tokio::test(start_paused = true)]
async fn leaving_upstream() {
    let mut leaving = engine("e1");
    leaving.state = InstanceState::Leaving;
    let (admission, view) = (admission(), view(vec![leaving, engine("e2")]));
    for _ in 0..20 {
        let grant = admit(&admission, &view, "acme").await.expect("a grant");
        assert_eq!(&*grant.upstream.name, "e2");
    }
    view.upstreams[1].set_draining(true);
    let problem = admit(&admission, &view, "acme")
        .await
        .err()
        .expect("a refusal");
    assert_eq!(problem.kind, ProblemKind::NoUpstream);
}

#[tokio::test(start_paused = true)]
async fn failing_upstream() {
    let (admission, view) = (admission(), view(vec![engine("e1"), engine("e2")]));
    view.upstreams[0].set_failing(true);
    for _ in 0..20 {
        let grant = admit(&admission, &view, "acme").await.expect("a grant");
        assert_eq!(&*grant.upstream.name, "e2");
    }
    // A failing upstream is used if no other accepts work.
    view.upstreams[1].set_draining(true);
    let grant = admit(&admission, &view, "acme").await.expect("a grant");
    assert_eq!(&*grant.upstream.name, "e1");
}

#[tokio::test(start_paused = true)]
async fn cancelled_wait() {
    let (admission, view) = (admission(), view(vec![engine("e1")]));
    drop(admit(&admission, &view, "acme").await.expect("a grant"));
    admission.on_load_report(&view.upstreams[0], &busy());
    let cancelled =
        tokio::time::timeout(Duration::from_millis(10), admit(&admission, &view, "acme"));
    assert!(cancelled.await.is_err());
    admission.on_load_report(&view.upstreams[0], &Load::default());
    admission.tick(&view);
    assert_eq!(view.upstreams[0].open_requests(), 0);
    let grant = admit(&admission, &view, "acme").await.expect("a grant");
    assert_eq!(grant.upstream.open_requests(), 1);
    drop(grant);
    assert_eq!(view.upstreams[0].open_requests(), 0);
}
