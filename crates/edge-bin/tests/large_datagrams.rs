//! Guards against news about crashes that are lost because they do not fit into one read.

mod common;

use std::net::{SocketAddr, UdpSocket};

use common::{EXCHANGE, Site};
use nutmegbay_core::crashes::{BrokenRun, ContentId, CrashReport};
use nutmegbay_policy::edge::exchange::{Digest, Scope, UpstreamWork};
use nutmegbay_policy::edge::upstream_limit::LimitNews;

/// Metric with the number of pieces of content that an edge refuses.
const QUARANTINED: &str = "nutmegbay_quarantined_contents ";

/// Content of runs that crashed upstreams, in the number that one datagram may have.
fn crashed_runs(now_ms: u64) -> Vec<BrokenRun> {
    let run = |n: u64| BrokenRun {
        id: u64::MAX - n,
        contents: (0..16).map(|m| ContentId(u64::MAX - n * m)).collect(),
        incarnation: u64::MAX - n,
        sent_ms: now_ms - 4_000 + 100 * n,
        broke_ms: now_ms - 3_950 + 100 * n,
    };
    (0..32).map(run).collect()
}

/// A crash of many runs is told while all upstreams are busy and state limits.
#[tokio::test(flavor = "multi_thread")]
async fn many_runs() {
    let site = Site::start(45, 1).await;
    let digest = Digest {
        scope: Scope::Own,
        instances: 1,
        work: (0..140)
            .map(|n| (u32::MAX - n, UpstreamWork::default()))
            .collect(),
        block_uses: Vec::new(),
        prefill_times: Vec::new(),
    };
    let now_ms = std::time::UNIX_EPOCH.elapsed().unwrap().as_millis();
    let report = CrashReport {
        runs: crashed_runs(now_ms.try_into().unwrap()),
        answers: Vec::new(),
    };
    let limit = |n| LimitNews {
        upstream: u32::MAX - n,
        per_s: Some(1.0),
        age_ms: 100,
    };
    let limits: Vec<_> = (0..100).map(limit).collect();
    let announced = [u64::MAX; 64].to_vec();
    let news = postcard::to_stdvec(&(report, limits, announced)).unwrap();
    let datagram = [postcard::to_stdvec(&digest).unwrap(), news].concat();
    let sender = UdpSocket::bind(SocketAddr::new(site.address(46), 0)).unwrap();
    let edge = SocketAddr::new(site.address(45), EXCHANGE);
    site.wait_until("the content is refused", async || {
        sender.send_to(&datagram, edge).unwrap();
        site.edge().metric(QUARANTINED).await > 0
    })
    .await;
}
