//! Connections that become unresponsive while new connections work. Guards against an answer that
//! never ends because the gateway keeps waiting on such a connection.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::http::{chat_text, events};
use common::site::Site;
use nutmegbay_fakes::engine::expected_text;
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Tokens of one answer, which takes two seconds at 20 ms per token.
const TOKENS: u32 = 100;

/// Engine settings that make answers slow enough to inject a fault in the middle.
const SLOW_ENGINE: &str = r#"{"cost":{"step_us":20000.0}}"#;

/// Maximum time of an answer: two seconds of decode, two until the gateway considers the connection
/// unresponsive, and slack.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(12);

/// TCP proxy that can stop forwarding on its open connections while new ones work, like a middlebox
/// that lost its connection state.
struct TcpProxy {
    addr: SocketAddr,
    stalls: watch::Sender<u64>,
}

impl TcpProxy {
    async fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let stalls = watch::Sender::new(0);
        let signal = stalls.clone();
        tokio::spawn(async move {
            while let Ok((mut client, _)) = listener.accept().await {
                let mut stalled = signal.subscribe();
                tokio::spawn(async move {
                    let Ok(mut server) = TcpStream::connect(to).await else {
                        return;
                    };
                    tokio::select! {
                        _ = copy_bidirectional(&mut client, &mut server) => {}
                        _ = stalled.changed() => std::future::pending().await,
                    }
                });
            }
        });
        Self { addr, stalls }
    }

    /// Stops forwarding on all open connections without closing them.
    fn stall_connections(&self) {
        self.stalls.send_modify(|count| *count += 1);
    }
}

/// Streams an answer, calls `inject_fault` once it has begun, and checks that the caller gets the
/// complete answer.
async fn assert_complete_despite(site: &Site, inject_fault: impl AsyncFnOnce()) {
    let (_, token) = site.grant_everywhere("shop").await;
    let answer = site.chat(0, &token, "a verse about thyme", TOKENS, true);
    let inject_fault = async {
        site.wait_until("an engine has generated tokens", async || {
            let mut running = false;
            for engine in &site.engines {
                let seen = site
                    .http
                    .get(engine.backend.addr("addr"), "/seen")
                    .await
                    .json();
                running |= seen["tokens"].as_u64() > Some(10);
            }
            running
        })
        .await;
        inject_fault().await;
    };
    let both = async { tokio::join!(answer, inject_fault) };
    let (answer, ()) = tokio::time::timeout(ANSWER_TIMEOUT, both)
        .await
        .expect("the answer never ended");
    let answer = answer.unwrap();
    let (events, is_done) = events(answer.text());
    assert!(is_done, "{}", answer.text());
    let expected = expected_text("verse", "user: a verse about thyme\n", TOKENS);
    assert_eq!(chat_text(&events), expected);
}

#[tokio::test]
async fn gateway_to_sidecar() {
    let mut site = Site::start_with(1, 1, 0, SLOW_ENGINE).await;
    let proxy = TcpProxy::start(site.engines[0].instance.data).await;
    site.engines[0].instance.data = proxy.addr;
    site.list_instances().await;
    // The instance list that gateways read lags by half a second.
    let (_, token) = site.grant_everywhere("studio").await;
    site.wait_until("the gateway connects through the proxy", async || {
        let _ = site.chat(0, &token, "start", 1, false).await;
        proxy.stalls.receiver_count() > 0
    })
    .await;
    assert_complete_despite(&site, async || proxy.stall_connections()).await;
}
