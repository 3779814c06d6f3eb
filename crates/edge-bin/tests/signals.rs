//! Guards planned work: a stop cuts no request, and a changed settings file ends no process.

mod common;

use std::time::Duration;

use common::Site;
use common::store::Fault;
use common::worker::Act;
use tokio::time::sleep;

/// The process ended with code 129 at SIGHUP, which cut 29 requests.
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

/// Settings that cannot be used leave the former ones in force.
#[tokio::test(flavor = "multi_thread")]
async fn bad_reload() {
    let mut site = Site::start(22, 1).await;
    site.change_settings("listen.front=", "listen.back=");
    site.signal("HUP");
    sleep(Duration::from_millis(100)).await;
    assert_eq!(site.call("GET", "/any/1", &[]).await.status, 200);
    assert_eq!(site.exit_code(), None);
}

/// After SIGTERM the process is not ready, still serves what comes, and ends with 0.
#[tokio::test(flavor = "multi_thread")]
async fn planned_stop() {
    let mut site = Site::start(23, 1).await;
    site.signal("TERM");
    site.until("not ready", async || site.readiness().await == Some(503))
        .await;
    let answer = site.call("GET", "/any/1", &[]).await;
    assert_eq!(answer.status, 200);
    assert_eq!(answer.header("connection"), Some("close"));
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

/// A request that is being served when the stop comes gets its answer.
#[tokio::test(flavor = "multi_thread")]
async fn stop_while_busy() {
    let site = Site::start(24, 1).await;
    site.workers[0].script(&[Act::Hang]);
    let call = site.call("POST", "/once/1", &[]);
    let stop = async {
        site.until("the worker has it", async || site.runs() == 1)
            .await;
        site.signal("TERM");
    };
    let (answer, ()) = tokio::join!(call, stop);
    assert_eq!(answer.status, 504, "the route's time ends it, not the stop");
}

/// Counts that the store did not take before the stop are written once it is back: two processes
/// that stopped during an outage had taken a fifth of a window with them.
#[tokio::test(flavor = "multi_thread")]
async fn stop_in_outage() {
    let mut site = Site::start(25, 1).await;
    site.store.set_fault(Fault::Refuse);
    for _ in 0..7 {
        assert_eq!(site.call("POST", "/once/1", &[]).await.status, 200);
    }
    site.signal("TERM");
    site.until("not ready", async || site.readiness().await == Some(503))
        .await;
    sleep(Duration::from_secs(3)).await;
    assert_eq!(
        site.exit_code(),
        None,
        "it must wait for the store within its grace time"
    );
    site.store.set_fault(Fault::None);
    site.until("the counts are written", async || {
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
