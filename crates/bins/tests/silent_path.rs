//! Connections that go silent. Guards against an answer that never ends because a connection on
//! its way has gone silent while new ones work.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::http::{chat_text, events};
use common::site::Site;
use nutmegbay_fakes::engine::expected_text;
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Tokens of one answer; with 20 ms a token it takes two seconds.
const TOKENS: u32 = 100;

/// Engine settings for answers that are under way for long enough to be disturbed.
const SLOW: &str = r#"{"cost":{"step_us":20000.0}}"#;

/// Time of a disturbed answer: its own two seconds, two for noticing the silence, and slack.
const ANSWER: Duration = Duration::from_secs(12);

/// Relay whose open connections can go silent while new ones work, as a middlebox that has dropped
/// its state.
struct Relay {
    addr: SocketAddr,
    silent: watch::Sender<u64>,
}

impl Relay {
    async fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let silent = watch::Sender::new(0);
        let signal = silent.clone();
        tokio::spawn(async move {
            while let Ok((mut near, _)) = listener.accept().await {
                let mut silenced = signal.subscribe();
                tokio::spawn(async move {
                    let Ok(mut far) = TcpStream::connect(to).await else {
                        return;
                    };
                    tokio::select! {
                        _ = copy_bidirectional(&mut near, &mut far) => {}
                        _ = silenced.changed() => std::future::pending().await,
                    }
                });
            }
        });
        Self { addr, silent }
    }

    /// Lets all open connections go silent.
    fn silence(&self) {
        self.silent.send_modify(|count| *count += 1);
    }
}

/// Streams an answer, disturbs its way once it has begun, and checks that it is whole.
async fn disturbed(site: &Site, disturb: impl AsyncFnOnce()) {
    let (_, token) = site.grant_everywhere("shop").await;
    let answer = site.chat(0, &token, "a verse about thyme", TOKENS, true);
    let disturb = async {
        site.until("the engine runs", async || {
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
        disturb().await;
    };
    let both = async { tokio::join!(answer, disturb) };
    let (answer, ()) = tokio::time::timeout(ANSWER, both)
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
    let mut site = Site::start_with(1, 1, 0, SLOW).await;
    let relay = Relay::start(site.engines[0].instance.data).await;
    site.engines[0].instance.data = relay.addr;
    site.list_instances().await;
    // The platform's list lags by half a second.
    let (_, token) = site.grant_everywhere("studio").await;
    site.until("the gateway uses the relay", async || {
        let _ = site.chat(0, &token, "start", 1, false).await;
        relay.silent.receiver_count() > 0
    })
    .await;
    disturbed(&site, async || relay.silence()).await;
}
