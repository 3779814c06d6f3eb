//! Guards against edges that together send an upstream more than its memory holds, crash by crash.

mod common;

use std::time::Duration;

use common::worker::{Action, Worker};
use common::{Edge, Site, config, head};
use futures::future::join_all;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Settings of a deployment whose client accounts compete for too little room.
const COMPETING: &str = "contracts=base,pressure\nlimits.memory-mb=256\n";

/// Size of an upload, in bytes.
const UPLOAD_BYTES: usize = 1_000_000;

/// Number of uploads that an upstream can hold.
const HELD_UPLOADS: usize = 6;

/// Number of uploads that each edge gets at the same time.
const UPLOADS_AT_ONCE: usize = 8;

const ROUNDS: usize = 8;

/// Sends an upload and returns the status of its response, or `None` if there is none.
async fn upload(edge: &Edge, path: String) -> Option<u16> {
    let mut io = TcpStream::connect(edge.ingress()).await.unwrap();
    let head = head("POST", &path, &[]);
    let head = format!("{head}Connection: close\r\nContent-Length: {UPLOAD_BYTES}\r\n\r\n");
    io.write_all(head.as_bytes()).await.unwrap();
    let _ = io.write_all(&vec![b'u'; UPLOAD_BYTES]).await;
    let mut bytes = Vec::new();
    let _ = timeout(common::WAIT_TIMEOUT, io.read_to_end(&mut bytes)).await;
    let text = String::from_utf8_lossy(&bytes);
    text.split(' ').nth(1)?.parse().ok()
}

/// Two edges get uploads for one upstream, which holds each for a second.
#[tokio::test(flavor = "multi_thread")]
async fn two_edges() {
    let mut site = Site::start_without_config(150, 1).await;
    let mut config = config(1, &["k1"]);
    config["limits"]["body-bytes"] = json!(UPLOAD_BYTES);
    for route in config["routes"].as_array_mut().unwrap() {
        route["timeout-ms"] = json!(5_000);
    }
    site.store.put("keyed.op", "config", &config);
    site.edge_mut().restart_with(COMPETING);
    site.wait_until_ready().await;
    let mut other = site.launch_edge(151, site.store_address());
    other.restart_with(COMPETING);
    let edges = [site.edge(), &other];
    site.wait_until("the edges know each other", async || {
        if other.call("GET", "/any/1", &[]).await.status != 200 {
            return false;
        }
        let members = edges.map(|edge| edge.metric("nutmegbay_members "));
        join_all(members).await == [2, 2]
    })
    .await;
    // The edges look for each other twice per second.
    sleep(Duration::from_millis(1_100)).await;
    let worker: &Worker = &site.workers[0];
    worker.set_memory(HELD_UPLOADS * UPLOAD_BYTES);
    let mut crashes = Vec::new();
    let mut statuses = Vec::new();
    for round in 0..ROUNDS {
        worker.script(&[Action::SlowPrefill; 2 * UPLOADS_AT_ONCE]);
        let uploads = edges.iter().flat_map(|edge| {
            let at_once = 0..UPLOADS_AT_ONCE;
            // Content that was at an upstream when it crashed is refused elsewhere.
            at_once.map(move |n| upload(edge, format!("/once/{round}/{n}")))
        });
        statuses = join_all(uploads).await;
        crashes.push(worker.crashes());
        sleep(Duration::from_millis(600)).await;
    }
    let served = statuses.iter().filter(|status| **status == Some(200));
    assert!(
        served.count() >= 2,
        "the upstream is used: {statuses:?}, {crashes:?}"
    );
    let refused = statuses.iter().filter(|status| **status == Some(503));
    assert!(refused.count() > 0, "{statuses:?}, {crashes:?}");
    assert!(worker.crashes() <= ROUNDS / 2, "{crashes:?}");
}
