//! Admin server. Guards against a readiness route that does not report draining, which makes load
//! balancers send requests to a stopping process.

use std::net::SocketAddr;

use nutmegbay_telemetry::admin::{Readiness, serve};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

async fn status(addr: SocketAddr, path: &str) -> u16 {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    let req = format!("GET {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n");
    stream.write_all(req.as_bytes()).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    answer.split(' ').nth(1).unwrap().parse().unwrap()
}

#[tokio::test]
async fn ready_status_follows_flag() {
    let (readiness, stop) = (Readiness::new(), CancellationToken::new());
    let listen = "127.0.0.1:0".parse().unwrap();
    let addr = serve(listen, readiness.clone(), stop.clone())
        .await
        .unwrap();
    assert_eq!(status(addr, "/ready").await, 503);
    assert_eq!(status(addr, "/health").await, 200);
    readiness.set(true);
    assert_eq!(status(addr, "/ready").await, 200);
    readiness.set(false);
    assert_eq!(status(addr, "/ready").await, 503);
    stop.cancel();
}
