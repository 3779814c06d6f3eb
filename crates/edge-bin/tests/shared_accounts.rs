//! Guards against edges that divide room among client accounts by their own figures alone, and
//! against work for it where accounts do not compete.

mod common;

use common::{Edge, Site};

/// Headers of a prompt that is prefilled.
const LONG_PROMPT: [(&str, &str); 2] = [
    ("X-Token-Counts", "20000,100"),
    ("X-Prompt-Prefix", "a:10,b:19990"),
];

/// Metric with the engine time that all accounts ask for at all edges, as far as an edge knows.
const ASKED: &str = "nutmegbay_accounts_asked_ms_per_second ";

async fn call(edge: &Edge) {
    edge.call("POST", "/stream/1", &LONG_PROMPT).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn told_work() {
    let site = Site::start_engines(151).await;
    let mut edges = [
        site.start_edge(152, site.store_address()).await,
        site.start_edge(153, site.store_address()).await,
    ];
    call(&edges[0]).await;
    for edge in &edges {
        assert_eq!(edge.metric(ASKED).await, 0, "accounts do not compete");
    }
    for edge in &mut edges {
        edge.restart_with("contracts=base,tenants,pressure\n");
    }
    for edge in &edges {
        site.wait_until("it serves", async || {
            edge.call("GET", "/any/1", &[]).await.status == 200
        })
        .await;
    }
    let [busy, idle] = &edges;
    site.wait_until("an edge hears of the work at another one", async || {
        call(busy).await;
        idle.metric(ASKED).await > 0
    })
    .await;
}
