//! Guards against reports of a holder of the duty that arrive after those of its successor.

mod common;

use std::time::Duration;

use common::{Edge, Site};
use tokio::time::{Instant, sleep};

/// Time after which a duty that was not released is claimed.
const TERM: Duration = Duration::from_secs(6);

/// Time in which a successor claims the duty and reports.
const SUCCESSION_TIME: Duration = Duration::from_secs(5);

/// Stops the holder as planned while a report of it takes `delay` to arrive. Returns the time until
/// another one reports.
async fn stop_holder(test: u8, delay: Duration) -> Duration {
    let site = Site::start(test, 1).await;
    let others = [
        site.start_edge(test + 1, site.store_address()).await,
        site.start_edge(test + 2, site.store_address()).await,
    ];
    site.wait_until("there are reports", async || site.store.reports().len() > 1)
        .await;
    let last = site.store.reports().pop().unwrap();
    site.store.delay_reports(&last.holder, delay);
    site.wait_until("a report is under way", async || {
        site.store.open_reports() > 0
    })
    .await;
    let mut others = others.iter().zip([test + 1, test + 2]);
    let edge = |(edge, n): (_, u8)| (last.holder == format!("front-{n}")).then_some(edge);
    let holder: &Edge = others.find_map(edge).unwrap_or(site.edge());
    holder.signal("TERM");
    let stopped_at = Instant::now();
    site.wait_until("another one reports", async || {
        let reports = site.store.reports();
        reports.iter().any(|report| report.holder != last.holder)
    })
    .await;
    let after = stopped_at.elapsed();
    sleep(SUCCESSION_TIME).await;
    let reports = site.store.reports();
    let fencing: Vec<_> = reports.iter().map(|report| report.fencing).collect();
    assert!(fencing.is_sorted(), "{fencing:?}");
    after
}

/// The holder gets its answer. Its successor need not wait for the end of the term.
#[tokio::test(flavor = "multi_thread")]
async fn late_report() {
    let after = stop_holder(1, Duration::from_millis(1_200)).await;
    assert!(after < TERM, "{after:?}");
}

/// The holder gets no answer in time, and its report arrives seconds later.
#[tokio::test(flavor = "multi_thread")]
async fn unanswered_report() {
    stop_holder(4, Duration::from_millis(3_500)).await;
}
