//! Guards against latencies that are clamped or never recorded, and against callers that wait
//! longer than their patience.

use std::net::SocketAddr;
use std::time::Duration;

use nutmegbay_load::http::{StatisticsByAccount, Workload, run};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Time that the server waits before each token.
const TOKEN_INTERVAL: Duration = Duration::from_millis(40);

/// Reads a request and answers it with two tokens as server-sent events.
async fn serve(mut stream: TcpStream) -> std::io::Result<()> {
    let mut buf = vec![0; 65_536];
    let _ = stream.read(&mut buf).await?;
    stream
        .write_all(
            b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n",
        )
        .await?;
    for token in ["a", "b"] {
        sleep(TOKEN_INTERVAL).await;
        let event =
            format!("data: {{\"choices\":[{{\"delta\":{{\"content\":\"{token}\"}}}}]}}\n\n");
        stream.write_all(event.as_bytes()).await?;
    }
    stream.write_all(b"data: [DONE]\n\n").await
}

async fn start_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream));
        }
    });
    addr
}

async fn run_workload(patience_ms: u64) -> StatisticsByAccount {
    let addr = start_server().await;
    let text = format!(
        r#"{{ "targets": ["{addr}"], "model": "verse", "max_requests": 20, "max_seconds": 2,
            "max_in_flight": 10, "phases": [{{ "seconds": 1, "factors": [1] }}],
            "accounts": [{{ "name": "shop", "key": "k", "rate_per_s": 10, "prompt_tokens": [9, 9],
                "output_tokens": [2, 2], "patience_ms": {patience_ms}, "max_sends": 3 }}] }}"#
    );
    let workload = Workload::parse(&text).expect("valid");
    run(workload, None, 1).await.expect("loopback")
}

#[tokio::test]
async fn latencies_are_recorded() {
    let statistics = run_workload(5_000).await;
    let shop = &statistics["shop"];
    assert!(
        shop.first_token_us.min() >= 39_000,
        "first token after {} us",
        shop.first_token_us.min()
    );
    assert!(
        shop.token_gap_us.min() >= 30_000,
        "second token after {} us",
        shop.token_gap_us.min()
    );
    assert!(
        shop.total_us.min() >= 79_000,
        "whole answer after {} us",
        shop.total_us.min()
    );
    assert!(shop.failures.is_empty(), "{:?}", shop.failures);
}

#[tokio::test]
async fn timeout_to_first_token() {
    let statistics = run_workload(5).await;
    let shop = &statistics["shop"];
    assert_eq!(
        shop.first_token_us.len(),
        0,
        "the first token takes longer than 5 ms"
    );
    assert_eq!(shop.failures.get("Impatient"), Some(&shop.sent));
    assert!(shop.sent <= 20, "{} calls exceed max_requests", shop.sent);
}
