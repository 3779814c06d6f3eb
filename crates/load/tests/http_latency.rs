//! Guards against latencies that are clamped or never recorded, and against patient callers.

use std::net::SocketAddr;
use std::time::Duration;

use nutmegbay_load::http::{Rows, Workload, run};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Time that the server takes for each token.
const PACE: Duration = Duration::from_millis(40);

/// Answers any request with two tokens as server-sent events.
async fn serve(mut stream: TcpStream) -> std::io::Result<()> {
    let mut buf = vec![0; 65_536];
    let _ = stream.read(&mut buf).await?;
    stream
        .write_all(
            b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n",
        )
        .await?;
    for token in ["a", "b"] {
        sleep(PACE).await;
        let event =
            format!("data: {{\"choices\":[{{\"delta\":{{\"content\":\"{token}\"}}}}]}}\n\n");
        stream.write_all(event.as_bytes()).await?;
    }
    stream.write_all(b"data: [DONE]\n\n").await
}

async fn server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let at = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream));
        }
    });
    at
}

async fn drive(patience_ms: u64) -> Rows {
    let at = server().await;
    let text = format!(
        r#"{{ "targets": ["{at}"], "model": "verse", "max_requests": 20, "max_seconds": 2,
            "max_in_flight": 10, "phases": [{{ "seconds": 1, "factors": [1] }}],
            "accounts": [{{ "name": "shop", "key": "k", "rate_per_s": 10, "prompt_tokens": [9, 9],
                "output_tokens": [2, 2], "patience_ms": {patience_ms}, "max_sends": 3 }}] }}"#
    );
    let workload = Workload::parse(&text).expect("valid");
    run(workload, None, 1).await.expect("loopback")
}

#[tokio::test]
async fn token_times() {
    let rows = drive(5_000).await;
    let row = &rows["shop"];
    assert!(
        row.first.min() >= 39_000,
        "first token after {} us",
        row.first.min()
    );
    assert!(
        row.gap.min() >= 30_000,
        "second token after {} us",
        row.gap.min()
    );
    assert!(
        row.whole.min() >= 79_000,
        "whole answer after {} us",
        row.whole.min()
    );
    assert!(row.failed.is_empty(), "{:?}", row.failed);
}

#[tokio::test]
async fn impatient_caller() {
    let rows = drive(5).await;
    let row = &rows["shop"];
    assert_eq!(row.first.len(), 0, "no token comes within 5 ms");
    assert_eq!(row.failed.get("Impatient"), Some(&row.sent));
    assert!(row.sent <= 20, "{} sendings exceed the bound", row.sent);
}
