//! Gateways paused until their lease has expired. Guards against a former holder that continues its
//! duty after it resumes, and against a resumed gateway that accepts a key withdrawn during the
//! pause.

mod common;

use std::time::Duration;

use common::site::{BASE, Site};
use http::Method;
use serde_json::Value;

/// Maximum time until another gateway holds the lease: TTL of 3 s, safety margin and claim.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(10);

/// Number of usage windows to be reported after the paused gateway resumes.
const WINDOWS: usize = 3;

/// Returns the index of the gateway that holds the lease of the usage reporter.
fn reporter(site: &Site) -> Option<usize> {
    let leases = site.ctl_json(&["leases"]);
    let held = leases
        .as_array()?
        .iter()
        .find(|held| held["role"] == "reporter")?;
    let holder = held["lease"]["holder"].as_str()?;
    site.gateways
        .iter()
        .position(|(instance, _)| &*instance.name == holder)
}

async fn reports(site: &Site) -> Vec<Value> {
    let reports = site
        .http
        .get(site.platform(), "/usage-reports")
        .await
        .json();
    reports.as_array().unwrap().clone()
}

#[tokio::test]
async fn resumed_holder() {
    let site = Site::start(2, 1, 0).await;
    site.publish_base(&BASE.replace(
        r#""window_s": 5, "grace_s": 2"#,
        r#""window_s": 1, "grace_s": 1"#,
    ));
    let (_, token) = site.grant_everywhere("shop").await;
    let chat = async |gateway: usize| site.chat(gateway, &token, "a verse", 5, false).await;
    site.wait_until("a window is reported", async || {
        for gateway in 0..2 {
            assert_eq!(chat(gateway).await.unwrap().status, 200);
        }
        !reports(&site).await.is_empty()
    })
    .await;
    let old = reporter(&site).expect("no gateway holds the reporter lease");
    let new = 1 - old;
    site.gateways[old].1.signal("STOP");
    let takeover = site.wait_until("the other gateway reports", async || {
        assert_eq!(chat(new).await.unwrap().status, 200);
        reporter(&site) == Some(new)
    });
    tokio::time::timeout(TAKEOVER_TIMEOUT, takeover)
        .await
        .expect("the lease was not taken over");
    site.gateways[old].1.signal("CONT");
    let before = reports(&site).await.len();
    site.wait_until("more windows are reported", async || {
        assert_eq!(chat(new).await.unwrap().status, 200);
        reports(&site).await.len() >= before + WINDOWS
    })
    .await;
    let reports = reports(&site).await;
    assert!(
        reports.iter().all(|seen| seen["accepted"] == true),
        "{reports:?}"
    );
    let epochs: Vec<u64> = reports
        .iter()
        .map(|seen| seen["report"]["epoch"].as_u64().unwrap())
        .collect();
    assert!(
        epochs.is_sorted(),
        "a former holder reported: {epochs:?}\n{}",
        site.logs()
    );
    assert_ne!(epochs.first(), epochs.last());
}

#[tokio::test]
async fn withdrawn_meanwhile() {
    let site = Site::start(2, 1, 0).await;
    let (key, token) = site.grant_everywhere("shop").await;
    site.gateways[0].1.signal("STOP");
    // Longer than a gateway serves without updates from the log.
    tokio::time::sleep(Duration::from_secs(4)).await;
    site.ctl_json(&["key", "withdraw", &key, "--wait", "0"]);
    let bearer = format!("Bearer {token}");
    let headers = [("authorization", &*bearer)];
    let addr = site.gateway(0);
    // This call is queued at the paused process, which handles it first when it resumes.
    let call = site
        .http
        .call(Method::GET, addr, "/v1/models", &headers, "");
    let resume = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        site.gateways[0].1.signal("CONT");
    };
    let (answer, ()) = tokio::join!(call, resume);
    let answer = answer.unwrap();
    assert_ne!(
        answer.status,
        200,
        "the withdrawn key was accepted\n{}",
        site.logs()
    );
}
