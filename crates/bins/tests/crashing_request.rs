//! A request that crashes every engine that runs it, retried immediately as a new request. Guards
//! against the crash of more than two engines, and against lost answers of other callers.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::http::{chat_text, events};
use common::site::Site;
use http::Method;
use nutmegbay_fakes::engine::expected_text;

/// Number of callers that send the crashing request.
const CALLERS: usize = 4;

/// Number of times that each of them sends it.
const REQUESTS_PER_CALLER: usize = 6;

/// Engine settings with a short restart time, so that each engine could crash again.
const ENGINE_CONFIG: &str = r#"{"restart_ms":300}"#;

/// Number of concurrent requests of another account.
const OTHER_REQUESTS: usize = 10;

/// Maximum time until all requests are answered, and until an engine has restarted.
const TIMEOUT: Duration = Duration::from_mins(1);

#[tokio::test]
async fn two_engines_lost() {
    let site = Site::start_with(2, 4, 0, ENGINE_CONFIG).await;
    let (_, token) = site.grant_everywhere("shop").await;
    let (_, other_token) = site.grant_everywhere("studio").await;
    let callers = (0..CALLERS).map(|caller| {
        let (site, token) = (&site, &token);
        async move {
            let mut last = None;
            for _ in 0..REQUESTS_PER_CALLER {
                last = Some(
                    site.chat(caller % 2, token, "crash-this-engine", 5, false)
                        .await,
                );
            }
            last.unwrap().unwrap()
        }
    });
    let others = (0..OTHER_REQUESTS).map(|index| {
        let (site, token) = (&site, &other_token);
        async move {
            let prompt = format!("verse {index}");
            let answer = site
                .chat(index % 2, token, &prompt, 200, true)
                .await
                .unwrap();
            let (events, is_done) = events(answer.text());
            assert!(is_done, "{}", answer.text());
            let expected = expected_text("verse", &format!("user: {prompt}\n"), 200);
            assert_eq!(chat_text(&events), expected);
        }
    });
    let all = async {
        tokio::join!(
            futures::future::join_all(callers),
            futures::future::join_all(others)
        )
    };
    let (last, _) = tokio::time::timeout(TIMEOUT, all)
        .await
        .expect("callers got no answers");
    let mut crashes = 0;
    for engine in &site.engines {
        let seen = tokio::time::timeout(
            TIMEOUT,
            wait_engine_counters(&site, engine.backend.addr("addr")),
        )
        .await
        .expect("an engine did not restart");
        crashes += seen["crash_batches"].as_array().unwrap().len();
    }
    assert!(
        (1..=2).contains(&crashes),
        "{crashes} engine crashes\n{}",
        site.logs()
    );
    for answer in last {
        assert!(answer.text().contains("quarantined"), "{}", answer.text());
    }
}

/// Returns the counters of an engine. Waits for its restart if it has crashed.
async fn wait_engine_counters(site: &Site, addr: SocketAddr) -> serde_json::Value {
    loop {
        match site.http.call(Method::GET, addr, "/seen", &[], "").await {
            Ok(answer) => return answer.json(),
            Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    }
}
