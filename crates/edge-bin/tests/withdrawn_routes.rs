//! Guards against requests that are cut off or refused because a configuration that came after them
//! takes their route, service or account away.

mod common;

use std::time::Duration;

use common::worker::{Action, EVENTS, events};
use common::{Site, config, decode_chunked};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Time for which a request has been running when the configuration changes.
const RUNNING_TIME: Duration = Duration::from_millis(300);

/// Returns configurations without the routes, services or accounts, and the status that a later
/// request gets.
fn withdrawals() -> [(Value, u16); 4] {
    let without = |version: u64, names: &[&str]| {
        let mut config = config(version, &["k1"]);
        for name in names {
            config[*name] = json!([]);
        }
        config
    };
    [
        (without(2, &["routes"]), 404),
        (without(3, &["services"]), 503),
        (without(4, &["routes", "services", "tenants"]), 404),
        (config(5, &["k2"]), 401),
    ]
}

/// Sends a request of which a part of the body is missing.
async fn send_part(site: &Site) -> TcpStream {
    let mut io = TcpStream::connect(site.edge().ingress()).await.unwrap();
    let head = "POST /once/1 HTTP/1.1\r\nHost: shop.example\r\nX-Api-Key: k1\r\n\
        X-Attempt-Id: 1\r\nX-Deadline-Ms: 3000\r\nConnection: close\r\nContent-Length: 4\r\n\r\nab";
    io.write_all(head.as_bytes()).await.unwrap();
    io
}

#[tokio::test(flavor = "multi_thread")]
async fn accepted_requests() {
    let site = Site::start(130, 3).await;
    for (version, (withdrawal, status)) in withdrawals().into_iter().enumerate() {
        let in_force = 10 * version as u64 + 10;
        site.store
            .put("keyed.op", "config", &config(in_force, &["k1"]));
        site.wait_until("all is allowed", async || {
            site.call("GET", "/any/1", &[]).await.status == 200
        })
        .await;
        for worker in &site.workers {
            worker.script(&[Action::SlowPrefill]);
        }
        let mut unfinished = send_part(&site).await;
        let change = async {
            sleep(RUNNING_TIME).await;
            let mut withdrawal = withdrawal;
            withdrawal["version"] = json!(in_force + 1);
            site.store.put("keyed.op", "config", &withdrawal);
            site.wait_until("it is withdrawn", async || {
                site.call("GET", "/any/1", &[]).await.status == status
            })
            .await;
            for worker in &site.workers {
                worker.script(&[]);
            }
            unfinished.write_all(b"cd").await.unwrap();
            let mut answer = String::new();
            unfinished.read_to_string(&mut answer).await.unwrap();
            answer
        };
        let (plain, once, answer) = tokio::join!(
            site.call("GET", "/any/1", &[]),
            site.call("POST", "/once/1", &[]),
            change,
        );
        assert_eq!((plain.status, once.status), (200, 200), "change {version}");
        assert!(answer.starts_with("HTTP/1.1 200 "), "{version}: {answer:?}");
    }
}

/// A stream that breaks after the change is resumed elsewhere all the same.
#[tokio::test(flavor = "multi_thread")]
async fn broken_stream() {
    let site = Site::start(131, 2).await;
    for worker in &site.workers {
        worker.script(&[Action::Trickle]);
    }
    let change = async {
        sleep(RUNNING_TIME).await;
        let mut empty = config(2, &[]);
        for name in ["routes", "services", "tenants"] {
            empty[name] = json!([]);
        }
        site.store.put("keyed.op", "config", &empty);
        site.wait_until("it is withdrawn", async || {
            site.call("GET", "/any/1", &[]).await.status == 404
        })
        .await;
        for worker in &site.workers {
            worker.script(&[Action::Stream]);
        }
    };
    let (response, ()) = tokio::join!(site.call("POST", "/stream/1", &[]), change);
    assert_eq!(response.status, 200);
    assert_eq!(decode_chunked(&response.body), events(1, EVENTS));
}
