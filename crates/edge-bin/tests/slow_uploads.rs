//! Guards against uploads that are sent to a second upstream because the first one takes them
//! slowly.

mod common;

use std::time::Duration;

use common::{Site, config, head};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Size of an upload, in bytes: several times what the buffers of the sockets hold.
const UPLOAD_BYTES: usize = 24 << 20;

/// Objective of the routes in milliseconds. A result is awaited for twice this time.
const OBJECTIVE_MS: u32 = 1_000;

#[tokio::test(flavor = "multi_thread")]
async fn slow_upstream() {
    let mut site = Site::start_without_config(152, 2).await;
    let mut config = config(1, &["k1"]);
    config["limits"]["body-bytes"] = json!(UPLOAD_BYTES);
    for route in config["routes"].as_array_mut().unwrap() {
        route["timeout-ms"] = json!(15_000);
        route["slo-ms"] = json!(OBJECTIVE_MS);
    }
    site.store.put("keyed.op", "config", &config);
    site.edge_mut()
        .restart_with("contracts=base,pressure\nlimits.memory-mb=256\n");
    site.wait_until_ready().await;
    for worker in &site.workers {
        worker.pause_in_bodies(Duration::from_millis(150));
    }
    let mut io = TcpStream::connect(site.edge().ingress()).await.unwrap();
    let head = head("POST", "/any/1", &[]).replace("Deadline-Ms: 3000", "Deadline-Ms: 15000");
    let head = format!("{head}Connection: close\r\nContent-Length: {UPLOAD_BYTES}\r\n\r\n");
    io.write_all(head.as_bytes()).await.unwrap();
    io.write_all(&vec![b'u'; UPLOAD_BYTES]).await.unwrap();
    let mut bytes = Vec::new();
    let read = timeout(common::WAIT_TIMEOUT, io.read_to_end(&mut bytes)).await;
    read.unwrap().unwrap();
    assert!(bytes.starts_with(b"HTTP/1.1 200 "));
    assert_eq!(site.runs(), 1);
    assert_eq!(site.edge().metric("nutmegbay_retries_total").await, 0);
}
