//! Gateways paused past their lease. Guards against a holder that resumes and still acts, and
//! against a gateway that resumes with keys that were withdrawn meanwhile.

mod common;

use std::time::Duration;

use common::site::{BASE, Site};
use http::Method;
use serde_json::Value;

/// Longest wait until another gateway has taken the lease: ttl 3 s, margin and its claim.
const TAKEOVER: Duration = Duration::from_secs(10);

/// Usage windows that are reported after the resumption.
const WINDOWS: usize = 3;

/// Index of the gateway that holds the lease of the usage reporter.
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
    site.until("a window is reported", async || {
        for gateway in 0..2 {
            assert_eq!(chat(gateway).await.unwrap().status, 200);
        }
        !reports(&site).await.is_empty()
    })
    .await;
    let old = reporter(&site).expect("nobody reports");
    let new = 1 - old;
    site.gateways[old].1.signal("STOP");
    let takeover = site.until("the other gateway reports", async || {
        assert_eq!(chat(new).await.unwrap().status, 200);
        reporter(&site) == Some(new)
    });
    tokio::time::timeout(TAKEOVER, takeover)
        .await
        .expect("the lease was not taken over");
    site.gateways[old].1.signal("CONT");
    let before = reports(&site).await.len();
    site.until("more windows are reported", async || {
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
    // Past the time for which a gateway without news goes on.
    tokio::time::sleep(Duration::from_secs(4)).await;
    site.ctl_json(&["key", "withdraw", &key, "--wait", "0"]);
    let bearer = format!("Bearer {token}");
    let headers = [("authorization", &*bearer)];
    let addr = site.gateway(0);
    // The first call waits in the paused process and is the first thing that it sees.
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
        "the withdrawn key was taken\n{}",
        site.logs()
    );
}
