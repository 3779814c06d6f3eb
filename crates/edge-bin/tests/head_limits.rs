//! Guards against proper requests that are refused because of the size of their heads.

mod common;

use std::net::SocketAddr;

use common::worker::header;
use common::{Site, config, instance};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Limit in the configuration, above the one in force without a configuration.
const HEADER_BYTES: usize = 32 * 1024;

/// Sends a request with further headers over a kept connection and returns the status.
async fn send(io: &mut TcpStream, headers: &str) -> u16 {
    let head = exchange(io, headers).await;
    head.split(' ').nth(1).unwrap().parse().unwrap()
}

/// Sends a request and returns the head of the response.
async fn exchange(io: &mut TcpStream, headers: &str) -> String {
    let id: u64 = rand::random();
    let head = format!(
        "GET /any/1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {id:016x}\r\n\
         X-Deadline-Ms: 3000\r\nX-Api-Key: k1\r\n{headers}\r\n"
    );
    io.write_all(head.as_bytes()).await.unwrap();
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let len: usize = header(head, "content-length").unwrap().parse().unwrap();
            if body.len() >= len {
                return head.to_owned();
            }
        }
        assert_ne!(io.read_buf(&mut bytes).await.unwrap(), 0, "{text}");
    }
}

fn padding(bytes: usize) -> String {
    format!("X-Padding: {}\r\n", "x".repeat(bytes))
}

/// Starts an edge and opens a connection before the first configuration is published.
async fn connect_before_config(test: u8) -> (Site, TcpStream) {
    let site = Site::start_without_config(test, 1).await;
    let connect = async || TcpStream::connect(site.edge().ingress()).await.is_ok();
    site.wait_until("it listens", connect).await;
    let mut io = TcpStream::connect(site.edge().ingress()).await.unwrap();
    assert_eq!(send(&mut io, "").await, 503);
    let mut config = config(1, &["k1"]);
    config["limits"]["header-bytes"] = json!(HEADER_BYTES);
    site.store.put("keyed.op", "config", &config);
    site.wait_until_ready().await;
    (site, io)
}

#[tokio::test(flavor = "multi_thread")]
async fn early_connection() {
    let (site, mut io) = connect_before_config(91).await;
    assert_eq!(send(&mut io, &padding(HEADER_BYTES - 1_000)).await, 200);
    assert_eq!(send(&mut io, &padding(HEADER_BYTES + 1)).await, 431);
    // A lower limit is in force at open connections too.
    let mut config = config(2, &["k1"]);
    config["limits"]["header-bytes"] = json!(HEADER_BYTES / 2);
    site.store.put("keyed.op", "config", &config);
    site.wait_until("the lower limit is in force", async || {
        site.edge().metric("nutmegbay_config_version ").await == 2
    })
    .await;
    assert_eq!(send(&mut io, &padding(HEADER_BYTES - 1_000)).await, 431);
    assert_eq!(send(&mut io, &padding(HEADER_BYTES / 2 - 1_000)).await, 200);
}

/// A connection keeps the time for which it may be idle, so it ends with the next response.
#[tokio::test(flavor = "multi_thread")]
async fn changed_idle_time() {
    let (site, mut io) = connect_before_config(92).await;
    let head = exchange(&mut io, "").await;
    assert_eq!(header(&head, "connection"), None);
    let mut config = config(2, &["k1"]);
    config["limits"]["idle-ms"] = json!(40_000);
    site.store.put("keyed.op", "config", &config);
    site.wait_until("the limit is in force", async || {
        site.edge().metric("nutmegbay_config_version ").await == 2
    })
    .await;
    let head = exchange(&mut io, "").await;
    assert_eq!(header(&head, "connection"), Some("close"));
}

/// The operator limits the bytes of a head, and not the number of its headers.
#[tokio::test(flavor = "multi_thread")]
async fn many_headers() {
    let (_site, mut io) = connect_before_config(93).await;
    for count in [100, 1_900] {
        let headers: Vec<_> = (0..count).map(|n| format!("X-{n}: {n}\r\n")).collect();
        assert_eq!(
            send(&mut io, &headers.concat()).await,
            200,
            "{count} headers"
        );
    }
}

/// Runs each request and answers it with `count` headers beside the usual ones.
async fn answer_with_headers(listener: TcpListener, count: u32) {
    let headers: Vec<_> = (0..count).map(|n| format!("X-{n}: {n}\r\n")).collect();
    loop {
        let (mut io, _) = listener.accept().await.unwrap();
        let mut bytes = Vec::new();
        while !bytes.ends_with(b"\r\n\r\n") {
            if io.read_buf(&mut bytes).await.unwrap() == 0 {
                break;
            }
        }
        let text = String::from_utf8(bytes).unwrap();
        let id = header(&text, "x-attempt-id").unwrap_or_default();
        let response = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: s1\r\nConnection: close\r\n\
             Content-Length: 0\r\n{}\r\n",
            headers.concat()
        );
        io.write_all(response.as_bytes()).await.unwrap();
    }
}

/// A response with many headers counted as a broken connection, after the request had run.
#[tokio::test(flavor = "multi_thread")]
async fn many_response_headers() {
    let (site, _io) = connect_before_config(97).await;
    let addr = SocketAddr::new(site.address(98), 8_500);
    let listener = TcpListener::bind(addr).await.unwrap();
    tokio::spawn(answer_with_headers(listener, 1_900));
    site.store.remove("keyed.servers", "i-0");
    let entry = instance(addr, "ready");
    site.store.put("keyed.servers", "i-9", &entry);
    site.wait_until("the other upstream serves", async || {
        let runs = site.runs();
        let status = site.call("GET", "/any/1", &[]).await.status;
        status == 200 && site.runs() == runs
    })
    .await;
}
