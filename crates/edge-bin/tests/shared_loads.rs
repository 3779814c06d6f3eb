//! Guards against edges that choose an upstream without taking into account the requests that other
//! edges have just sent there.

mod common;

use std::time::Duration;

use common::Site;
use common::worker::Action;
use tokio::time::sleep;

/// Time within which an edge has told the others which of its requests run and which have ended.
const DIGEST_TIME: Duration = Duration::from_millis(100);

/// Metric with the number of edges that an edge considers running.
const MEMBERS: &str = "nutmegbay_members ";

/// While a request of one edge waits at a worker, the other edges send theirs to the other worker.
/// Of the three edges, at least two prefer the same one of two idle workers.
#[tokio::test(flavor = "multi_thread")]
async fn busy_worker() {
    let site = Site::start(95, 2).await;
    let additional = [
        site.start_edge(96, site.store_address()).await,
        site.start_edge(97, site.store_address()).await,
    ];
    let edges = [site.edge(), &additional[0], &additional[1]];
    site.wait_until("the edges know each other", async || {
        let mut known = true;
        for edge in edges {
            known &= edge.metric(MEMBERS).await == 3;
        }
        known
    })
    .await;
    // The edges look for each other twice per second.
    sleep(Duration::from_millis(1_100)).await;
    for (n, edge) in edges.into_iter().enumerate() {
        for worker in &site.workers {
            worker.clear_requests();
            worker.script(&[Action::Hang]);
        }
        let others = async {
            let is_busy = |worker: &&common::worker::Worker| !worker.requests().is_empty();
            site.wait_until("the request waits", async || {
                site.workers.iter().any(|worker| is_busy(&worker))
            })
            .await;
            for worker in &site.workers {
                worker.script(&[]);
            }
            let busy = site.workers.iter().find(is_busy).unwrap();
            for other in edges.iter().skip(n + 1) {
                // Until then, the requests of the edge before count at the idle worker.
                sleep(DIGEST_TIME).await;
                for _ in 0..3 {
                    assert_eq!(other.call("POST", "/once/1", &[]).await.status, 200);
                }
            }
            assert_eq!(busy.requests().len(), 1, "others sent to the busy worker");
        };
        tokio::join!(edge.call("POST", "/once/1", &[]), others);
    }
}
