//! Statsd client. Guards against metrics that are not sent.

use cadence::prelude::*;
use nutmegbay_telemetry::metrics::client;
use tokio::net::UdpSocket;

#[tokio::test]
async fn counter_reaches_server() {
    let server = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let metrics = client("nutmegbay", Some(server.local_addr().unwrap())).unwrap();
    metrics.count("calls", 3).unwrap();
    let mut buf = [0; 64];
    let len = server.recv(&mut buf).await.unwrap();
    assert_eq!(&buf[..len], b"nutmegbay.calls:3|c");
}

#[test]
fn metrics_without_address() {
    let metrics = client("nutmegbay", None).unwrap();
    metrics.count("calls", 3).unwrap();
}
