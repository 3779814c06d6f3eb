//! Replay of the log: time and memory of each kind of record.

use std::collections::BTreeMap;

use nutmegbay_core::ids::{CallKey, Fingerprint, Incarnation, Offset, RecordId, WindowId};
use nutmegbay_core::record::{
    AttemptOpen, AttemptOutcome, Body, ConfigPublish, ConfigScope, KeyGrant, Record, SCHEMA, Usage,
    UsageCounts,
};
use nutmegbay_core::replica::Replica;
use tokio::time::Instant;

use super::{Slope, resident};

/// Numbers of records; each replay starts empty.
const SIZES: [u64; 6] = [2_000, 5_000, 10_000, 20_000, 40_000, 80_000];

/// Accounts in one record of usage counts, and routes in one configuration.
const WIDTHS: [u64; 6] = [8, 50, 200, 500, 1_000, 2_000];

pub fn slopes() -> Vec<Slope> {
    let mut slopes = Vec::new();
    slopes.extend(grow("key", |n| vec![key(n)]));
    slopes.extend(grow("attempt with outcome", |n| {
        vec![attempt(n), outcome(n)]
    }));
    slopes.extend(widen("usage counts", "account", usage));
    slopes.extend(widen("configuration", "route", config));
    slopes
}

/// Time of the replay, log bytes and memory against the number of entries.
fn grow(what: &str, entry: impl Fn(u64) -> Vec<Body>) -> Vec<Slope> {
    let (mut time, mut bytes, mut memory) = (Vec::new(), Vec::new(), Vec::new());
    for size in SIZES {
        let texts: Vec<_> = (0..size)
            .flat_map(|n| {
                entry(n)
                    .into_iter()
                    .zip(0_u64..)
                    .map(move |(b, i)| (n * 2 + i, b))
            })
            .map(|(id, body)| text(id, body))
            .collect();
        let before = resident();
        let start = Instant::now();
        let mut replica = Replica::new();
        for (offset, text) in (0..).zip(&texts) {
            replica.apply(Offset(offset), text);
        }
        let spent = start.elapsed().as_secs_f64() * 1e6;
        let x = size as f64;
        time.push((x, spent));
        memory.push((x, (resident() - before).max(0.0)));
        bytes.push((x, texts.iter().map(String::len).sum::<usize>() as f64));
        drop(replica);
    }
    vec![
        Slope::fit(&format!("replay of {what}, time"), "entry", "us", time),
        Slope::fit(&format!("replay of {what}, log"), "entry", "bytes", bytes),
        Slope::fit(
            &format!("replay of {what}, memory"),
            "entry",
            "bytes",
            memory,
        ),
    ]
}

/// Time of one record and its log bytes against its width.
fn widen(what: &str, per: &'static str, body: impl Fn(u64, u64) -> Body) -> Vec<Slope> {
    let (mut time, mut bytes) = (Vec::new(), Vec::new());
    for width in WIDTHS {
        let texts: Vec<_> = (0..20).map(|n| text(n, body(n, width))).collect();
        let start = Instant::now();
        let mut replica = Replica::new();
        for (offset, text) in (0..).zip(&texts) {
            replica.apply(Offset(offset), text);
        }
        let spent = start.elapsed().as_secs_f64() * 1e6 / texts.len() as f64;
        time.push((width as f64, spent));
        bytes.push((width as f64, texts[0].len() as f64));
    }
    vec![
        Slope::fit(&format!("replay of {what}, time"), per, "us", time),
        Slope::fit(&format!("replay of {what}, log"), per, "bytes", bytes),
    ]
}

fn text(id: u64, body: Body) -> String {
    let record = Record {
        id: RecordId(u128::from(id) + 1),
        author: "gateway-1".into(),
        at_ms: 1_700_000_000_000,
        schema: SCHEMA,
        body,
    };
    serde_json::to_string(&record).unwrap_or_default()
}

fn key(n: u64) -> Body {
    Body::KeyGrant(KeyGrant {
        key: format!("{n:016x}").into(),
        account: format!("account-{}", n % 2_000).into(),
        secret_sha256: format!("{n:064x}").into(),
    })
}

fn attempt(n: u64) -> Body {
    Body::AttemptOpen(AttemptOpen {
        call: CallKey(u128::from(n) << 64),
        number: 1,
        prev: None,
        content: Fingerprint(u128::from(n)),
        upstream: "order-worker-01".into(),
        sidecar: Incarnation(7),
        gateway: "gateway-1".into(),
        gateway_incarnation: Incarnation(8),
    })
}

fn outcome(n: u64) -> Body {
    let answer = nutmegbay_core::record::Answer {
        status: 201,
        content_type: Some("application/json".into()),
        body: Some(format!("{{\"order\":{n}}}").into()),
    };
    Body::AttemptOutcome(AttemptOutcome {
        call: CallKey(u128::from(n) << 64),
        number: 1,
        answer: Some(answer),
    })
}

fn usage(n: u64, accounts: u64) -> Body {
    let counts: BTreeMap<Box<str>, Usage> = (0..accounts)
        .map(|account| {
            let usage = Usage {
                calls: n + 1,
                prompt_tokens: (n + 1) * 1_000,
                completion_tokens: (n + 1) * 100,
            };
            (format!("account-{account:04}").into(), usage)
        })
        .collect();
    Body::UsageCounts(UsageCounts {
        gateway: Incarnation(9),
        seq: n + 1,
        windows: BTreeMap::from([(WindowId(100), counts)]),
    })
}

fn config(n: u64, routes: u64) -> Body {
    let routes: Vec<_> = (0..routes)
        .map(|route| {
            format!("{{\"path\":\"/r{route}\",\"methods\":[\"GET\"],\"service\":\"orders\",\"idempotent\":true}}")
        })
        .collect();
    Body::ConfigPublish(ConfigPublish {
        scope: ConfigScope::Base,
        prev: n.checked_sub(1).map(Offset),
        text: format!("{{\"routes\":[{}]}}", routes.join(",")).into(),
    })
}
