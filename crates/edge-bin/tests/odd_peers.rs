//! Guards against processes that end, or stop following, because of an odd message of a peer.

mod common;

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use axum::Router;
use common::store::Fault;
use common::{EXCHANGE, Site, config, listen};
use nutmegbay_core::crashes::{Answer, BrokenRun, ContentId, CrashReport};
use nutmegbay_policy::edge::exchange::{Digest, PrefixBlockUse, Scope, UpstreamWork};
use nutmegbay_policy::edge::prefill_rate::PrefillTimes;
use nutmegbay_policy::edge::upstream_limit::LimitNews;
use rand::{Rng, RngExt};
use serde_json::{Value, json};
use tokio::time::sleep;

/// Metric with the number of pieces of content that an edge refuses.
const QUARANTINED: &str = "nutmegbay_quarantined_contents ";

/// Number of damaged datagrams.
const DAMAGED: usize = 4_000;

/// Datagrams sent between two pauses, so that all of them fit into the receive buffer.
const DATAGRAMS_PER_PAUSE: usize = 20;

/// Returns a digest and news with the given numbers.
fn datagram(scope: Scope, number: u32, part: f32, runs: Vec<BrokenRun>) -> Vec<u8> {
    let work = UpstreamWork {
        requests: number,
        streams: number,
        ..UpstreamWork::default()
    };
    let digest = Digest {
        scope,
        instances: number,
        work: vec![(0, work), (number, work), (number, work)],
        block_uses: vec![PrefixBlockUse {
            block: u64::MAX,
            upstream: number,
        }],
        prefill_times: vec![(
            number,
            PrefillTimes {
                fixed_ms: part,
                token_ms: part,
                prefills: number,
            },
        )],
    };
    let report = CrashReport {
        answers: vec![Answer {
            content: ContentId(1),
            at_ms: u64::MAX,
        }],
        runs,
    };
    let limit = LimitNews {
        upstream: number,
        per_s: Some(part.into()),
        age_ms: number,
    };
    let news = postcard::to_stdvec(&(report, [limit].to_vec(), [u64::MAX].to_vec())).unwrap();
    [postcard::to_stdvec(&digest).unwrap(), news].concat()
}

/// Returns runs that show content which crashes upstreams.
fn crashed_runs(content: u64) -> Vec<BrokenRun> {
    let now_ms = std::time::UNIX_EPOCH.elapsed().unwrap().as_millis();
    let now_ms = u64::try_from(now_ms).unwrap();
    let run = |n: u64| BrokenRun {
        id: content + n,
        contents: vec![ContentId(content)],
        incarnation: content + n,
        sent_ms: now_ms - 4_000 + 100 * n,
        broke_ms: now_ms - 3_950 + 100 * n,
    };
    (0..4).map(run).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn datagrams() {
    let mut site = Site::start(130, 2).await;
    let sender = UdpSocket::bind(SocketAddr::new(site.address(131), 0)).unwrap();
    let edge = SocketAddr::new(site.address(130), EXCHANGE);
    let mut sent = Vec::new();
    for scope in [Scope::Own, Scope::Group, Scope::Others] {
        for number in [0, 1, u32::MAX] {
            for part in [0.0, -1.0, f32::MAX, f32::NAN, f32::INFINITY] {
                sent.push(datagram(scope, number, part, Vec::new()));
            }
        }
    }
    let mut rng = rand::rng();
    let valid = datagram(Scope::Own, 300, 1.5, Vec::new());
    for n in 0..DAMAGED {
        let mut damaged = valid.clone();
        for _ in 0..=n % 4 {
            let at = rng.random_range(0..damaged.len());
            damaged[at] = rng.random();
        }
        damaged.truncate(rng.random_range(0..=damaged.len() + 20).max(1));
        sent.push(damaged);
        let mut junk = vec![0; rng.random_range(0..100)];
        rng.fill_bytes(&mut junk);
        sent.push(junk);
    }
    for datagrams in sent.chunks(DATAGRAMS_PER_PAUSE) {
        for datagram in datagrams {
            sender.send_to(datagram, edge).unwrap();
        }
        sleep(Duration::from_millis(2)).await;
    }
    assert_eq!(site.call("POST", "/once/1", &[]).await.status, 200);
    let last = datagram(Scope::Own, 1, 1.0, crashed_runs(0x70_0000));
    site.wait_until("datagrams are received", async || {
        sender.send_to(&last, edge).unwrap();
        site.edge().metric(QUARANTINED).await > 0
    })
    .await;
    assert_eq!(site.exit_code(), None);
}

/// Returns a reply to a request for records.
fn reply() -> Value {
    json!({"store_era": 0, "reads": {"config": 1, "instances": 1}, "age_ms": 0, "config_age_ms": 0,
        "config": null, "config_next": [0, 1], "instances": [], "instances_next": [0, 1],
        "is_whole": false, "lapse_ms": 0, "members": [], "crashes": {"runs": [], "answers": []}})
}

/// Returns replies with odd fields. The era is left out: one that is too high takes every response
/// of the store for outdated, and only the edges themselves state it.
fn odd_replies() -> Vec<String> {
    let nested = "[".repeat(100_000) + &"]".repeat(100_000);
    let most = u64::MAX;
    let record = format!("{{\"key\":\"i-9\",\"position\":[0,{most}],\"value\":\"\\u0000\"}}");
    let member = format!(
        "{{\"name\":\"m\",\"control\":\"127.0.0.1:1\",\"domain\":\"\",\"strength\":0,\
         \"position\":[0,{most}]}}"
    );
    let run = format!(
        "{{\"id\":{most},\"contents\":[],\"incarnation\":0,\"sent_ms\":{most},\"broke_ms\":{most}}}"
    );
    let odd = [
        (
            "reads",
            format!("{{\"config\":{most},\"instances\":{most}}}"),
        ),
        ("reads", "1e400".into()),
        ("age_ms", most.to_string()),
        ("config_age_ms", most.to_string()),
        ("config", record.clone()),
        ("config", record.replace("i-9", "config")),
        ("config_next", format!("[0,{most}]")),
        ("instances", format!("[{record}]")),
        ("instances", format!("[{nested}]")),
        ("instances_next", format!("[0,{most}]")),
        ("is_whole", "true".into()),
        ("lapse_ms", most.to_string()),
        ("members", format!("[{member}]")),
        ("crashes", format!("{{\"runs\":[{run}],\"answers\":[]}}")),
    ];
    let mut replies = vec![nested, String::new(), "null".into(), "\"\\ud800\"".into()];
    for (name, odd) in odd {
        let mut reply = reply();
        reply[name] = json!("ODD");
        replies.push(reply.to_string().replace("\"ODD\"", &odd));
    }
    replies
}

/// An edge that cannot read the store asks its peers.
#[tokio::test(flavor = "multi_thread")]
async fn replies() {
    let mut site = Site::start(132, 2).await;
    let peer = SocketAddr::new(site.address(133), 8_407);
    let replies = odd_replies();
    let (count, sent) = (replies.len(), Arc::new(AtomicUsize::new(0)));
    let next = Arc::clone(&sent);
    let router = Router::new().fallback(async move || {
        let n = next.fetch_add(1, Ordering::Relaxed);
        replies[n % replies.len()].clone()
    });
    let listener = listen(peer).await;
    tokio::spawn(async move { axum::serve(listener, router).await });
    for n in 0..6 {
        let member = json!({"control": peer, "domain": "z", "strength": u32::MAX,
            "usage": {"counts": {}, "earlier": {}, "through": 0}});
        site.store
            .put("keyed.nutmegbay-members", &format!("m-{n}"), &member);
    }
    site.wait_until("the peer is known", async || {
        site.edge().metric("nutmegbay_members ").await == 7
    })
    .await;
    site.store.set_fault(Fault::Refuse);
    site.wait_until("the replies are read", async || {
        sent.load(Ordering::Relaxed) > count
    })
    .await;
    site.store.set_fault(Fault::None);
    for n in 0..6 {
        site.store
            .remove("keyed.nutmegbay-members", &format!("m-{n}"));
    }
    site.list_as_draining(0);
    site.store
        .put("keyed.op", "config", &config(9, &["k1", "k9"]));
    site.wait_until("it follows the store", async || {
        site.workers[0].clear_requests();
        let response = site.call("POST", "/once/1", &[("X-Api-Key", "k9")]).await;
        response.status == 200 && site.workers[0].requests().is_empty()
    })
    .await;
    assert_eq!(site.exit_code(), None);
}
