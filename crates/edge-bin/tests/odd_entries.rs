//! Guards against processes that end, or stop following a list, because another writer left an odd
//! value in the store.

mod common;

use std::time::Duration;

use common::{Site, config, instance};
use serde_json::{Value, json};
use tokio::time::sleep;

/// Time in which an edge reads each topic at least once.
const READ_TIME: Duration = Duration::from_secs(3);

/// Levels of the nested value of another writer.
const DEPTH: usize = 100_000;

fn nested(open: &str, close: &str) -> String {
    open.repeat(DEPTH) + "1" + &close.repeat(DEPTH)
}

/// Returns `valid` with each of its fields replaced by odd values, and values of another shape.
fn odd_values(valid: &Value) -> Vec<Vec<u8>> {
    let mut values: Vec<Vec<u8>> = vec![
        nested("[", "]").into(),
        nested("{\"a\":", "}").into(),
        "[".repeat(DEPTH).into(),
        b"\xff\xfe\x00".to_vec(),
        b"\0".to_vec(),
        b"null".to_vec(),
        b"[]".to_vec(),
        b"1e400".to_vec(),
        vec![b'9'; 100_000],
    ];
    let odd_fields = [
        nested("[", "]"),
        "1e400".into(),
        "-1".into(),
        "1e300".into(),
        "70000".into(),
        u64::MAX.to_string(),
        u32::MAX.to_string(),
        "null".into(),
        "true".into(),
        "\"\\u0000\"".into(),
        "\"\\ud800\"".into(),
        "\"0.0.0.0:0\"".into(),
        "\"127.0.0.1:70000\"".into(),
        "\"resting\"".into(),
        format!("\"{}\"", "x".repeat(100_000)),
        "[]".into(),
        "{}".into(),
        format!("{{\"{}\":{{\"acme\":{}}}}}", u64::MAX, u64::MAX),
        format!("[{},{}]", u64::MAX, u64::MAX),
    ];
    for name in valid.as_object().unwrap().keys() {
        for odd in &odd_fields {
            let mut entry = valid.clone();
            entry[name] = json!("ODD");
            values.push(entry.to_string().replace("\"ODD\"", odd).into());
        }
    }
    values
}

/// Asserts that the edge serves, and follows the list of instances and the configuration.
async fn assert_follows(site: &Site, version: u64) {
    site.list_as_draining(0);
    let key = format!("k{version}");
    site.store
        .put("keyed.op", "config", &config(version, &["k1", &key]));
    site.wait_until("it follows", async || {
        site.workers[0].clear_requests();
        let with_key = [("X-Api-Key", &*key)];
        let response = site.call("POST", "/once/1", &with_key).await;
        response.status == 200 && site.workers[0].requests().is_empty()
    })
    .await;
}

/// Odd entries among those of the workers.
#[tokio::test(flavor = "multi_thread")]
async fn workers() {
    let mut site = Site::start(146, 2).await;
    let mut valid = instance(site.store_address(), "ready");
    valid["service"] = json!("another");
    valid["born"] = json!(1);
    valid["phase"] = json!("decode");
    let values = odd_values(&valid);
    for (n, value) in values.iter().enumerate() {
        site.store
            .put_bytes("keyed.servers", &format!("a-{n}"), value);
    }
    assert_follows(&site, 2).await;
    // Another one finds them in the list.
    let edge = site.start_edge(147, site.store_address()).await;
    site.workers[1].clear_requests();
    assert_eq!(edge.call("POST", "/once/1", &[]).await.status, 200);
    assert_eq!(site.workers[1].requests().len(), 1);
    assert_eq!(site.exit_code(), None);
}

/// Odd records among those of the edges.
#[tokio::test(flavor = "multi_thread")]
async fn members() {
    let mut site = Site::start(148, 2).await;
    let valid = json!({"control": "127.0.0.1:1", "domain": "z", "strength": 1,
        "usage": {"counts": {"1": {"acme": 1}}, "earlier": {"1": {"acme": 1}}, "through": 1}});
    for (n, value) in odd_values(&valid).iter().enumerate() {
        site.store
            .put_bytes("keyed.nutmegbay-members", &format!("a-{n}"), value);
    }
    let usage = json!({"counts": {"1": {"acme": 1}}, "earlier": {"1": {"acme": 1}}, "through": 1});
    for (n, value) in odd_values(&usage).iter().enumerate() {
        let value = String::from_utf8_lossy(value);
        let value = format!("{{\"domain\":\"z\",\"strength\":1,\"usage\":{value}}}");
        site.store.put_bytes(
            "keyed.nutmegbay-members",
            &format!("b-{n}"),
            value.as_bytes(),
        );
    }
    sleep(READ_TIME).await;
    assert_follows(&site, 2).await;
    let _edge = site.start_edge(149, site.store_address()).await;
    assert_eq!(site.exit_code(), None);
}

/// Odd records of crashes.
#[tokio::test(flavor = "multi_thread")]
async fn crashes() {
    let mut site = Site::start(150, 2).await;
    let run = json!({"id": 1, "contents": [1], "incarnation": 1, "sent_ms": 1, "broke_ms": 1});
    for (n, value) in odd_values(&run).iter().enumerate() {
        let value = String::from_utf8_lossy(value);
        let value = format!("{{\"runs\":[{value}],\"answers\":[]}}");
        site.store.put_bytes(
            "keyed.nutmegbay-crashes",
            &format!("a-{n}"),
            value.as_bytes(),
        );
    }
    let answer = json!({"content": 1, "at_ms": 1});
    for (n, value) in odd_values(&answer).iter().enumerate() {
        let value = String::from_utf8_lossy(value);
        let value = format!("{{\"runs\":[],\"answers\":[{value}]}}");
        site.store.put_bytes(
            "keyed.nutmegbay-crashes",
            &format!("b-{n}"),
            value.as_bytes(),
        );
    }
    sleep(READ_TIME).await;
    assert_follows(&site, 2).await;
    assert_eq!(site.exit_code(), None);
}

/// An odd record of the duties ended the usage reports for good.
#[tokio::test(flavor = "multi_thread")]
async fn duty() {
    let mut site = Site::start(151, 2).await;
    site.wait_until("a report", async || !site.store.reports().is_empty())
        .await;
    let reports = site.store.reports().len();
    let fencing = site.store.reports()[0].fencing;
    site.store
        .put_bytes("keyed.nutmegbay-duty", "usage", nested("[", "]").as_bytes());
    site.call("POST", "/once/1", &[]).await;
    site.wait_until("a report after it", async || {
        site.store.reports().len() > reports
    })
    .await;
    site.store.put("keyed.nutmegbay-duty", "another", &json!(7));
    let reports = site.store.reports().len();
    site.wait_until("a report after another key", async || {
        site.store.reports().len() > reports
    })
    .await;
    // A process that knows none of the records before it.
    site.edge_mut().signal("KILL");
    site.store
        .put_bytes("keyed.nutmegbay-duty", "usage", b"\xff");
    let reports = site.store.reports().len();
    site.edge_mut().restart();
    site.wait_until("a report of the next one", async || {
        site.store.reports().len() > reports
    })
    .await;
    let last = site.store.reports().last().unwrap().fencing;
    assert!(last > fencing, "{last} after {fencing}");
    assert_eq!(site.exit_code(), None);
}

/// Odd fields of a readable record of the duties.
#[tokio::test(flavor = "multi_thread")]
async fn duty_fields() {
    let mut site = Site::start(152, 2).await;
    let valid = json!({"holder": "x", "incarnation": 1, "fencing": 1, "before": "", "released": true,
        "skipped_through": 0, "sealed": [{"window": 1, "counts": {"acme": 1}}]});
    for value in odd_values(&valid) {
        site.store
            .put_bytes("keyed.nutmegbay-duty", "usage", &value);
    }
    sleep(READ_TIME).await;
    let most = u64::MAX;
    for value in [
        json!({"holder": "x", "incarnation": 1, "fencing": most, "released": true}),
        json!({"holder": "x", "incarnation": 1, "fencing": 7, "released": true,
            "sealed": [{"window": most, "counts": {"acme": most, "other": most}}]}),
    ] {
        site.store.put("keyed.nutmegbay-duty", "usage", &value);
        sleep(READ_TIME).await;
    }
    assert_follows(&site, 2).await;
    assert_eq!(site.exit_code(), None);
}

/// Numbers of a configuration that are too large to be added.
#[tokio::test(flavor = "multi_thread")]
async fn config_numbers() {
    let mut site = Site::start(153, 2).await;
    for (version, odd) in [1.8e22, 1e300, -1.0, 4e9].into_iter().enumerate() {
        let mut config = config(2 + version as u64, &["k1"]);
        for route in config["routes"].as_array_mut().unwrap() {
            for name in ["timeout-ms", "slo-ms", "itl-target-ms", "priority"] {
                route[name] = json!(odd);
            }
            let target = json!({"service": "desk", "weight": u32::MAX});
            route["split"] = json!([target, target]);
        }
        for name in ["header-ms", "idle-ms", "header-bytes", "body-bytes"] {
            config["limits"][name] = json!(odd);
        }
        site.store.put("keyed.op", "config", &config);
        site.wait_until("the version is in force", async || {
            site.edge().metric("nutmegbay_config_version ").await == 2 + version as u64
        })
        .await;
        for path in ["/any/1", "/once/1", "/stream/1"] {
            site.workers[0].script(&[]);
            let status = site.call("POST", path, &[]).await.status;
            assert_ne!(status, 0, "{path} with {odd}");
        }
    }
    assert_eq!(site.exit_code(), None);
}

/// An entry that was replaced by bytes which are no text stayed in use at the edges that got it from
/// another edge.
#[tokio::test(flavor = "multi_thread")]
async fn passed_on() {
    let site = Site::start(154, 1).await;
    let edge = site.start_edge_without_store(155).await;
    site.store.put_bytes("keyed.servers", "i-0", b"\xff");
    site.wait_until("it is not used", async || {
        edge.call("POST", "/once/1", &[]).await.status == 503
    })
    .await;
    assert_eq!(site.call("POST", "/once/1", &[]).await.status, 503);
}
