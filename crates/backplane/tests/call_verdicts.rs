//! Verdicts of failed platform calls. Guards against a lost answer that is reported as "not run":
//! the caller would then repeat an append that has taken effect.

use std::net::SocketAddr;
use std::time::Duration;

use nutmegbay_backplane::{Cause, ClientSettings, InstanceDirectory, Log, PlatformClient};
use nutmegbay_core::ids::Offset;
use nutmegbay_core::verdict::Verdict;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Starts a server that sends `answer` after the first bytes of a request and then closes the
/// connection, or keeps it open if `keep_open` is set.
async fn server(answer: &'static str, keep_open: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            tokio::spawn(async move {
                let mut buf = [0; 4_096];
                assert!(stream.read(&mut buf).await.unwrap() > 0);
                stream.write_all(answer.as_bytes()).await.unwrap();
                if keep_open {
                    std::future::pending::<()>().await;
                }
            });
        }
    });
    addr
}

fn client(addr: SocketAddr) -> PlatformClient {
    let mut settings = ClientSettings::new(addr, "g1");
    settings.timeout = Duration::from_millis(200);
    PlatformClient::new(settings)
}

/// Returns cause and verdict of an append that fails.
async fn append_error(addr: SocketAddr) -> (Cause, Verdict) {
    let report = client(addr).append(Vec::new()).await.unwrap_err();
    let error = report.current_context();
    (error.cause, error.verdict)
}

#[tokio::test]
async fn refused_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    drop(listener);
    assert_eq!(append_error(addr).await, (Cause::Connect, Verdict::NotRun));
}

#[tokio::test]
async fn unresponsive_server() {
    let addr = server("", true).await;
    assert_eq!(
        append_error(addr).await,
        (Cause::Timeout, Verdict::MayHaveRun)
    );
}

#[tokio::test]
async fn closed_without_answer() {
    let addr = server("", false).await;
    assert_eq!(
        append_error(addr).await,
        (Cause::ConnectionLost, Verdict::MayHaveRun)
    );
}

#[tokio::test]
async fn connection_lost_within_answer() {
    let addr = server(
        "HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\n{\"first\"",
        false,
    )
    .await;
    assert_eq!(
        append_error(addr).await,
        (Cause::ConnectionLost, Verdict::MayHaveRun)
    );
}

#[tokio::test]
async fn stalled_within_answer() {
    let addr = server(
        "HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\n{\"first\"",
        true,
    )
    .await;
    assert_eq!(
        append_error(addr).await,
        (Cause::Timeout, Verdict::MayHaveRun)
    );
}

#[tokio::test]
async fn rate_limited() {
    let addr = server("HTTP/1.1 429 Busy\r\ncontent-length: 0\r\n\r\n", true).await;
    assert_eq!(
        append_error(addr).await,
        (Cause::RateLimited, Verdict::NotRun)
    );
}

#[tokio::test]
async fn unavailable() {
    let addr = server("HTTP/1.1 503 Down\r\ncontent-length: 0\r\n\r\n", true).await;
    assert_eq!(
        append_error(addr).await,
        (Cause::Unavailable, Verdict::NotRun)
    );
}

#[tokio::test]
async fn server_error() {
    let addr = server("HTTP/1.1 500 Fault\r\ncontent-length: 0\r\n\r\n", true).await;
    assert_eq!(
        append_error(addr).await,
        (Cause::UnexpectedStatus, Verdict::MayHaveRun)
    );
}

#[tokio::test]
async fn malformed_answer() {
    let addr = server("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nnone", true).await;
    assert_eq!(
        append_error(addr).await,
        (Cause::MalformedAnswer, Verdict::Ran)
    );
}

#[tokio::test]
async fn complete_answers() {
    let addr = server(
        "HTTP/1.1 200 OK\r\ncontent-length: 11\r\n\r\n{\"first\":7}",
        true,
    )
    .await;
    assert_eq!(
        client(addr).append(Vec::new()).await.unwrap().first,
        Offset(7)
    );
    let addr = server(
        "HTTP/1.1 200 OK\r\ncontent-length: 16\r\n\r\n{\"instances\":[]}",
        true,
    )
    .await;
    assert!(client(addr).instances().await.unwrap().instances.is_empty());
}
