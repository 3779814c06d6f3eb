//! Costs of replaying the log, by kind of record: time, log size and memory.

use std::collections::BTreeMap;

use nutmegbay_core::ids::{CallKey, Fingerprint, Incarnation, Offset, RecordId, WindowId};
use nutmegbay_core::record::{
    AttemptOpen, AttemptOutcome, Body, ConfigPublish, ConfigScope, KeyGrant, Record, SCHEMA, Usage,
    UsageCounts,
};
use nutmegbay_core::replica::Replica;
use tokio::time::Instant;

use super::{Slope, resident_bytes};

/// Numbers of entries. Each replay starts with an empty replica.
const ENTRY_COUNTS: [u64; 6] = [2_000, 5_000, 10_000, 20_000, 40_000, 80_000];

/// Numbers of accounts in a record of usage counts and of routes in a configuration.
const RECORD_WIDTHS: [u64; 6] = [8, 50, 200, 500, 1_000, 2_000];

pub fn slopes() -> Vec<Slope> {
    let mut slopes = Vec::new();
    slopes.extend(replay_by_entries("key", |n| vec![key_grant(n)]));
    slopes.extend(replay_by_entries("attempt with outcome", |n| {
        vec![attempt_open(n), attempt_outcome(n)]
    }));
    slopes.extend(replay_by_width("usage counts", "account", usage_counts));
    slopes.extend(replay_by_width("configuration", "route", config_publish));
    slopes
}

/// Measures replay time, log bytes and memory by the number of entries.
fn replay_by_entries(name: &str, entry: impl Fn(u64) -> Vec<Body>) -> Vec<Slope> {
    let (mut time, mut bytes, mut memory) = (Vec::new(), Vec::new(), Vec::new());
    for size in ENTRY_COUNTS {
        let texts: Vec<_> = (0..size)
            .flat_map(|n| {
                entry(n)
                    .into_iter()
                    .zip(0_u64..)
                    .map(move |(b, i)| (n * 2 + i, b))
            })
            .map(|(id, body)| record_text(id, body))
            .collect();
        let memory_before = resident_bytes();
        let start = Instant::now();
        let mut replica = Replica::new();
        for (offset, text) in (0..).zip(&texts) {
            replica.apply(Offset(offset), text);
        }
        let elapsed_us = start.elapsed().as_secs_f64() * 1e6;
        let x = size as f64;
        time.push((x, elapsed_us));
        memory.push((x, (resident_bytes() - memory_before).max(0.0)));
        bytes.push((x, texts.iter().map(String::len).sum::<usize>() as f64));
        drop(replica);
    }
    vec![
        Slope::fit(&format!("replay of {name}, time"), "entry", "us", time),
        Slope::fit(&format!("replay of {name}, log"), "entry", "bytes", bytes),
        Slope::fit(
            &format!("replay of {name}, memory"),
            "entry",
            "bytes",
            memory,
        ),
    ]
}

/// Measures replay time and log bytes of one record by its width.
fn replay_by_width(name: &str, per: &'static str, body: impl Fn(u64, u64) -> Body) -> Vec<Slope> {
    let (mut time, mut bytes) = (Vec::new(), Vec::new());
    for width in RECORD_WIDTHS {
        let texts: Vec<_> = (0..20).map(|n| record_text(n, body(n, width))).collect();
        let start = Instant::now();
        let mut replica = Replica::new();
        for (offset, text) in (0..).zip(&texts) {
            replica.apply(Offset(offset), text);
        }
        let elapsed_us = start.elapsed().as_secs_f64() * 1e6 / texts.len() as f64;
        time.push((width as f64, elapsed_us));
        bytes.push((width as f64, texts[0].len() as f64));
    }
    vec![
        Slope::fit(&format!("replay of {name}, time"), per, "us", time),
        Slope::fit(&format!("replay of {name}, log"), per, "bytes", bytes),
    ]
}

/// Returns a log record as JSON.
fn record_text(id: u64, body: Body) -> String {
    let record = Record {
        id: RecordId(u128::from(id) + 1),
        author: "gateway-1".into(),
        at_ms: 1_700_000_000_000,
        schema: SCHEMA,
        body,
    };
    serde_json::to_string(&record).unwrap_or_default()
}

fn key_grant(n: u64) -> Body {
    Body::KeyGrant(KeyGrant {
        key: format!("{n:016x}").into(),
        account: format!("account-{}", n % 2_000).into(),
        secret_sha256: format!("{n:064x}").into(),
    })
}

fn attempt_open(n: u64) -> Body {
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

fn attempt_outcome(n: u64) -> Body {
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

fn usage_counts(n: u64, accounts: u64) -> Body {
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

fn config_publish(n: u64, routes: u64) -> Body {
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
