//! Guards against requests that a planned stop cuts off, and against processes that a changed
//! settings file ends.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::proxy::{LinkState, Proxy};
use common::store::Fault;
use common::worker::Action;
use common::{Site, config};
use tokio::time::{sleep, timeout};

/// SIGHUP without a handler ends the process with code 129, which cut off 29 requests in a run.
#[tokio::test(flavor = "multi_thread")]
async fn reload() {
    let mut site = Site::start(21, 1).await;
    site.change_settings("retry-slack=54", "retry-slack=20");
    site.signal("HUP");
    for _ in 0..10 {
        assert_eq!(site.call("GET", "/any/1", &[]).await.status, 200);
    }
    assert_eq!(site.exit_code(), None);
}

/// If the changed settings are invalid, the previous ones stay in force.
#[tokio::test(flavor = "multi_thread")]
async fn bad_reload() {
    let mut site = Site::start(22, 1).await;
    site.change_settings("listen.front=", "listen.back=");
    site.signal("HUP");
    sleep(Duration::from_millis(100)).await;
    assert_eq!(site.call("GET", "/any/1", &[]).await.status, 200);
    assert_eq!(site.exit_code(), None);
}

/// The store has another address, and the former one does not respond. A key that was withdrawn then
/// stayed valid.
#[tokio::test(flavor = "multi_thread")]
async fn moved_store() {
    const APPLY_TIME: Duration = Duration::from_secs(2);
    let mut site = Site::start(93, 1).await;
    let store = format!("platform.addr={}", site.store_address());
    let former = SocketAddr::new(site.address(94), 8_408);
    let proxy = Proxy::start(former, site.store_address()).await;
    site.change_settings(&store, &format!("platform.addr={former}"));
    site.signal("KILL");
    site.edge_mut().restart();
    site.wait_until_ready().await;
    proxy.set(LinkState::Dropping);
    site.change_settings(&format!("platform.addr={former}"), &store);
    site.signal("HUP");
    site.store.put("keyed.op", "config", &config(2, &["k2"]));
    let withdrawn = site.wait_until("the key is withdrawn", async || {
        site.call("GET", "/any/1", &[]).await.status == 401
    });
    assert!(timeout(APPLY_TIME, withdrawn).await.is_ok());
}

/// After SIGTERM, the process reports that it is not ready, serves new requests and exits with 0.
#[tokio::test(flavor = "multi_thread")]
async fn planned_stop() {
    let mut site = Site::start(23, 1).await;
    site.signal("TERM");
    site.wait_until("not ready", async || site.readiness().await == Some(503))
        .await;
    let response = site.call("GET", "/any/1", &[]).await;
    assert_eq!(response.status, 200);
    assert_eq!(response.header("connection"), Some("close"));
    let mut code = None;
    for _ in 0..400 {
        code = site.exit_code();
        if code.is_some() {
            break;
        }
        sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(code, Some(0));
}

/// A request that is in flight at SIGTERM gets its response.
#[tokio::test(flavor = "multi_thread")]
async fn stop_while_busy() {
    let site = Site::start(24, 1).await;
    site.workers[0].script(&[Action::Hang]);
    let call = site.call("POST", "/once/1", &[]);
    let stop = async {
        site.wait_until("the worker has the request", async || site.runs() == 1)
            .await;
        site.signal("TERM");
    };
    let (response, ()) = tokio::join!(call, stop);
    assert_eq!(
        response.status, 504,
        "the route's timeout must end it, and not the stop"
    );
}

/// Usage counts that could not be written before the stop are written once the store is available
/// again. Processes that stop during an outage would otherwise lose part of a usage window: two of
/// them lost a fifth of one.
#[tokio::test(flavor = "multi_thread")]
async fn stop_in_outage() {
    let mut site = Site::start(25, 1).await;
    site.store.set_fault(Fault::Refuse);
    for _ in 0..7 {
        assert_eq!(site.call("POST", "/once/1", &[]).await.status, 200);
    }
    site.signal("TERM");
    site.wait_until("not ready", async || site.readiness().await == Some(503))
        .await;
    sleep(Duration::from_secs(3)).await;
    assert_eq!(
        site.exit_code(),
        None,
        "it must wait for the store within its grace time"
    );
    site.store.set_fault(Fault::None);
    site.wait_until("the counts are written", async || {
        let records = site.store.values("keyed.nutmegbay-members");
        let counted = |record: &serde_json::Value| -> u64 {
            let windows = record["usage"]["counts"].as_object();
            let sums = windows.into_iter().flat_map(|windows| windows.values());
            sums.filter_map(|counts| counts["acme"].as_u64()).sum()
        };
        records.last().is_some_and(|record| counted(record) >= 7)
    })
    .await;
}
