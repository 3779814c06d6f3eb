//! Log in memory and records for the tests.
#![allow(dead_code, reason = "each test file uses a part")]

pub mod host;

use std::collections::BTreeMap;
use std::fmt::Write;

use nutmegbay_core::ids::{Epoch, Incarnation, Offset, RecordId, WindowId};
use nutmegbay_core::record::{
    Body, ConfigPublish, ConfigScope, KeyGrant, LeaseChange, LeaseClaim, LeaseRole, Record, SCHEMA,
    SnapshotMark, Usage, UsageCounts,
};
use nutmegbay_core::replica::{Applied, RejectReason, Replica};
use nutmegbay_core::snapshot::ReplicaSnapshot;
use sha2::{Digest, Sha256};

/// Log in memory with one replica that applies it.
#[derive(Default)]
pub struct Log {
    pub replica: Replica,
    pub texts: Vec<String>,
    ids: u128,
}

impl Log {
    /// JSON text of a new record with a fresh identity, without appending it.
    pub fn text(&mut self, author: &str, body: Body) -> String {
        self.ids += 1;
        serde_json::to_string(&Record {
            id: RecordId(self.ids),
            author: author.into(),
            at_ms: 0,
            schema: SCHEMA,
            body,
        })
        .unwrap()
    }

    /// Appends a record that a component wrote.
    pub fn write(&mut self, record: &Record) -> Applied {
        let text = serde_json::to_string(record).unwrap();
        let applied = self.replica.apply(self.replica.next(), &text);
        self.texts.push(text);
        applied
    }

    /// Appends a new record and returns the reason if replay rejected it.
    pub fn put(&mut self, author: &str, body: Body) -> Option<RejectReason> {
        let text = self.text(author, body);
        let applied = self.replica.apply(self.replica.next(), &text);
        self.texts.push(text);
        let reason = applied.reason();
        assert!(applied.is_accepted() || reason.is_some(), "{applied:?}");
        reason
    }
}

pub fn publish(site: Option<&str>, prev: Option<Offset>, text: &str) -> Body {
    Body::ConfigPublish(ConfigPublish {
        scope: site.map_or(ConfigScope::Base, |site| ConfigScope::Overlay(site.into())),
        prev,
        text: text.into(),
    })
}

pub fn claim(role: LeaseRole, holder: &str, prev: Option<Offset>) -> Body {
    Body::LeaseClaim(LeaseClaim {
        role,
        holder: holder.into(),
        incarnation: Incarnation(1),
        prev,
        ttl_ms: 3000,
    })
}

pub fn renew(role: LeaseRole, epoch: u64, prev: u64) -> Body {
    Body::LeaseRenew(LeaseChange {
        role,
        epoch: Epoch(epoch),
        prev: Offset(prev),
    })
}

pub fn account(name: &str, usage: Usage) -> BTreeMap<Box<str>, Usage> {
    BTreeMap::from([(name.into(), usage)])
}

pub fn token(key: &str, secret: &str) -> String {
    format!("nb_{key}_{secret}")
}

pub fn sha256(secret: &str) -> Box<str> {
    let mut text = String::new();
    for b in Sha256::digest(secret) {
        write!(text, "{b:02x}").unwrap();
    }
    text.into()
}

/// Log of `records` records with a usual mix of keys, configuration changes, lease renewals and
/// usage counts.
pub fn busy_log(records: usize, gateways: usize, accounts: usize) -> Log {
    let mut log = Log::default();
    log.put("g0", claim(LeaseRole::Snapshot, "g0", None));
    for number in 0..accounts {
        log.put("ann", grant(&format!("k{number}"), &format!("a{number}")));
    }
    let mut totals = vec![BTreeMap::new(); gateways];
    let mut renewed = 0;
    while log.texts.len() < records {
        let number = log.texts.len();
        if number.is_multiple_of(100) {
            log.put("g0", renew(LeaseRole::Snapshot, 0, renewed));
            renewed = number as u64;
        } else if number.is_multiple_of(997) {
            let prev = log.replica.config().last();
            log.put("ann", publish(None, prev, &"x".repeat(2000)));
        } else {
            let gateway = number % gateways;
            let account = format!("a{}", number % accounts);
            let total: &mut Usage = totals[gateway].entry(account.into()).or_default();
            total.calls += 1;
            total.completion_tokens += 200;
            let window = WindowId(number as u64 / 10_000);
            log.put(
                "g",
                Body::UsageCounts(UsageCounts {
                    gateway: Incarnation(gateway as u128 + 1),
                    seq: number as u64,
                    windows: BTreeMap::from([(window, totals[gateway].clone())]),
                }),
            );
        }
    }
    log
}

/// Appends a complete snapshot of the state.
pub fn put_snapshot(log: &mut Log, part_bytes: usize) {
    let epoch = log.replica.leases().current(LeaseRole::Snapshot).unwrap();
    assert_eq!(
        log.put("g0", Body::SnapshotMark(SnapshotMark { epoch })),
        None
    );
    for part in ReplicaSnapshot::of(&log.replica).split(epoch, part_bytes) {
        assert_eq!(log.put("g0", Body::SnapshotPart(part)), None);
    }
}

pub fn grant(key: &str, account: &str) -> Body {
    Body::KeyGrant(KeyGrant {
        key: key.into(),
        account: account.into(),
        secret_sha256: sha256("secret"),
    })
}
