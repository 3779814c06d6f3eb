//! Guards against faults on the path of a request from a caller to a worker and back, and against
//! wrong refusals.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::proxy::{LinkState, Proxy};
use common::store::{Fault, UsageReport};
use common::worker::header;
use common::{Site, config};
use tokio::time::{sleep, timeout};

#[tokio::test(flavor = "multi_thread")]
async fn served_request() {
    let site = Site::start(1, 2).await;
    let response = site
        .call(
            "POST",
            "/once/7?a=b",
            &[("X-Tenant", "forged"), ("X-Other", "kept")],
        )
        .await;
    assert_eq!(response.status, 200);
    assert_eq!(response.body, b"done");
    assert_eq!(response.header("x-server-seal"), Some("s1"));
    let requests: Vec<_> = site
        .workers
        .iter()
        .flat_map(common::worker::Worker::requests)
        .collect();
    let [head] = requests.as_slice() else {
        panic!("{} runs", requests.len());
    };
    assert!(head.starts_with("POST /once/7?a=b HTTP/1.1"), "{head}");
    assert_eq!(header(head, "x-tenant"), Some("acme"));
    assert_eq!(header(head, "x-other"), Some("kept"));
    assert_eq!(header(head, "x-api-key"), None);
    assert!(header(head, "x-expect-instance").is_some());
    let deadline_ms: u64 = header(head, "x-deadline-ms").unwrap().parse().unwrap();
    assert!(
        deadline_ms <= 1_500,
        "the deadline for the worker must not exceed the route's timeout"
    );
    assert!(site.metrics().await.contains("nutmegbay_requests_total"));
}

#[tokio::test(flavor = "multi_thread")]
async fn refused_requests() {
    let site = Site::start(2, 1).await;
    assert_eq!(
        site.call("GET", "/any/1", &[("X-Api-Key", "wrong")])
            .await
            .status,
        401
    );
    assert_eq!(site.call("GET", "/nowhere/", &[]).await.status, 404);
    let two_keys = [("X-Api-Key", "k1"), ("X-Api-Key", "k2")];
    assert_eq!(site.call("GET", "/any/1", &two_keys).await.status, 400);
    let two_lengths = [("Content-Length", "1"), ("Content-Length", "2")];
    assert_eq!(site.call("POST", "/any/1", &two_lengths).await.status, 400);
    let too_long = [("Content-Length", "5000")];
    assert_eq!(site.call("POST", "/any/1", &too_long).await.status, 413);
    assert_eq!(site.runs(), 0);
}

/// A process without a configuration responds with 503. It must not report that a route or key does
/// not exist.
#[tokio::test(flavor = "multi_thread")]
async fn no_config() {
    let site = Site::start_without_config(3, 1).await;
    site.wait_until("the edge listens", async || {
        site.readiness().await == Some(503)
    })
    .await;
    let response = site.call("GET", "/any/1", &[]).await;
    assert_eq!(response.status, 503);
    let after: f64 = response.header("retry-after").unwrap().parse().unwrap();
    assert!(after > 0.0 && after < 2.0, "{after}");
}

/// Changes come into force soon, also if the store dropped its history in the meantime. An older
/// version that is read later has no effect.
#[tokio::test(flavor = "multi_thread")]
async fn config_changes() {
    let site = Site::start(4, 1).await;
    site.store.put("keyed.op", "config", &config(5, &["k2"]));
    site.wait_until("k1 is withdrawn", async || {
        site.call("GET", "/any/1", &[]).await.status == 401
    })
    .await;
    assert_eq!(
        site.call("GET", "/any/1", &[("X-Api-Key", "k2")])
            .await
            .status,
        200
    );
    site.store.put("keyed.op", "config", &config(4, &["k1"]));
    site.store.drop_history();
    site.store.put("keyed.op", "config", &config(6, &["k3"]));
    site.wait_until("k3 is granted", async || {
        site.call("GET", "/any/1", &[("X-Api-Key", "k3")])
            .await
            .status
            == 200
    })
    .await;
    assert_eq!(site.call("GET", "/any/1", &[]).await.status, 401);
}

/// Requests are served while the store is unavailable. Changes made in this time come into force
/// when it is available again.
#[tokio::test(flavor = "multi_thread")]
async fn store_outage() {
    let site = Site::start(5, 1).await;
    for fault in [Fault::Refuse, Fault::Unresponsive] {
        site.store.set_fault(fault);
        assert_eq!(
            site.call("GET", "/any/1", &[]).await.status,
            200,
            "{fault:?}"
        );
        assert_eq!(site.readiness().await, Some(200));
    }
    site.store.put("keyed.op", "config", &config(9, &["k9"]));
    site.store.set_fault(Fault::None);
    site.wait_until("k9 is granted", async || {
        site.call("GET", "/any/1", &[("X-Api-Key", "k9")])
            .await
            .status
            == 200
    })
    .await;
}

/// Changes the configuration and asserts that it is in force within 3 s.
async fn assert_change_in_force(site: &Site) {
    site.store.put("keyed.op", "config", &config(9, &["k9"]));
    let in_force = site.wait_until("k9 is granted", async || {
        site.call("GET", "/any/1", &[("X-Api-Key", "k9")])
            .await
            .status
            == 200
    });
    timeout(Duration::from_secs(3), in_force)
        .await
        .expect("the change is not in force in time");
}

/// A read that was waiting when the store became unavailable must not delay a change after its
/// return. One process responded with 404 on a new route for 3.7 s.
#[tokio::test(flavor = "multi_thread")]
async fn waiting_read() {
    let site = Site::start(8, 1).await;
    site.store.set_fault(Fault::Refuse);
    sleep(Duration::from_secs(2)).await;
    site.store.set_fault(Fault::None);
    assert_change_in_force(&site).await;
}

/// A waiting read may get no response although all other calls work, for example when the store
/// drops its history. One process responded with 404 on a new route 4.1 s after the
/// acknowledgement.
#[tokio::test(flavor = "multi_thread")]
async fn muted_read() {
    let site = Site::start(17, 1).await;
    sleep(Duration::from_millis(300)).await;
    site.store.stall_waiting_reads();
    assert_change_in_force(&site).await;
}

/// A worker whose entry is removed gets no new requests.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_worker() {
    let site = Site::start(6, 2).await;
    site.store.remove("keyed.servers", "i-0");
    site.wait_until("the removed worker gets no requests", async || {
        site.workers[0].clear_requests();
        for _ in 0..6 {
            assert_eq!(site.call("GET", "/any/1", &[]).await.status, 200);
        }
        site.workers[0].requests().is_empty()
    })
    .await;
}

/// Each usage window is reported once. The reports contain all requests that began to run.
#[tokio::test(flavor = "multi_thread")]
async fn usage_report() {
    let site = Site::start(7, 1).await;
    for _ in 0..5 {
        assert_eq!(site.call("POST", "/once/1", &[]).await.status, 200);
    }
    let sum = || {
        let reports = site.store.reports();
        let count = |report: &UsageReport| report.counts["acme"].as_u64().unwrap_or(0);
        (reports.iter().map(count).sum::<u64>(), reports)
    };
    // Requests that were refused before the first upstream was known are not counted.
    site.wait_until("all requests are reported", async || sum().0 >= 5)
        .await;
    let (_, reports) = sum();
    let mut windows: Vec<_> = reports.iter().map(|report| report.window).collect();
    let reported = windows.len();
    windows.dedup();
    assert_eq!(windows.len(), reported, "a window was reported twice");
}

/// An edge without a connection to the store has counted requests. Their report must neither wait
/// for the connection nor omit them.
#[tokio::test(flavor = "multi_thread")]
async fn cut_off_counts() {
    let site = Site::start(18, 1).await;
    let proxy_at = SocketAddr::new(site.address(119), 8_408);
    let proxy = Proxy::start(proxy_at, site.store_address()).await;
    let other = site.start_edge(118, proxy_at).await;
    site.wait_until("the edge's record is in the store", async || {
        site.store.values("keyed.nutmegbay-members").len() > 2
            && site.edge().metric("nutmegbay_members ").await == 2
    })
    .await;
    proxy.set(LinkState::Dropping);
    let sum = || {
        let reports = site.store.reports();
        let count = |report: &UsageReport| report.counts["acme"].as_u64().unwrap_or(0);
        reports.iter().map(count).sum::<u64>()
    };
    let before = sum();
    for _ in 0..7 {
        assert_eq!(other.call("POST", "/once/1", &[]).await.status, 200);
    }
    let reported = site.wait_until("the edge's requests are reported", async || {
        sum() >= before + 7
    });
    // Windows have a length of 1 s, and reports are due 6 s after the end of the window.
    timeout(Duration::from_secs(7), reported)
        .await
        .expect("the counts are not reported in time");
}

/// Entries that vanish while the store is unavailable are used until their grace time ends, because
/// their workers may register again.
#[tokio::test(flavor = "multi_thread")]
async fn expired_entry() {
    let site = Site::start(9, 1).await;
    site.store.set_fault(Fault::Refuse);
    sleep(Duration::from_millis(3_500)).await;
    site.store.remove("keyed.servers", "i-0");
    site.store.set_fault(Fault::None);
    sleep(Duration::from_millis(1_200)).await;
    assert_eq!(
        site.call("GET", "/any/1", &[]).await.status,
        200,
        "the worker may register again"
    );
    site.wait_until("the entry has expired", async || {
        site.call("GET", "/any/1", &[]).await.status == 503
    })
    .await;
}

/// An edge that cannot reach the store gets the configuration and its changes from another edge.
#[tokio::test(flavor = "multi_thread")]
async fn cut_off_edge() {
    let site = Site::start(10, 1).await;
    let cut_off = site.start_edge_without_store(110).await;
    site.store.put("keyed.op", "config", &config(7, &["k7"]));
    let withdrawn = site.wait_until("k1 is withdrawn", async || {
        cut_off.call("GET", "/any/1", &[]).await.status == 401
    });
    timeout(Duration::from_secs(5), withdrawn)
        .await
        .expect("the withdrawn key works for too long");
}
