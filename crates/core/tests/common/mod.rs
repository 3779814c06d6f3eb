//! Records and a log for the tests.
#![allow(dead_code, reason = "each test file uses a part")]

pub mod host;

use std::collections::BTreeMap;
use std::fmt::Write;

use nutmegbay_core::ids::{Epoch, Incarnation, Offset, RecordId, WindowId};
use nutmegbay_core::record::{
    Body, ConfigPublish, ConfigScope, KeyGrant, LeaseChange, LeaseClaim, LeaseRole, Record, SCHEMA,
    SnapshotMark, Usage, UsageCounts,
};
use nutmegbay_core::replica::{Applied, Reason, Replica};
use nutmegbay_core::snapshot::Image;
use sha2::{Digest, Sha256};

/// A log with one replica that reads it.
#[derive(Default)]
pub struct Log {
    pub replica: Replica,
    pub texts: Vec<String>,
    ids: u128,
}

impl Log {
    /// Text of a new record.
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

    /// Appends a record and returns why replay rejected it, if it did.
    pub fn put(&mut self, author: &str, body: Body) -> Option<Reason> {
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

/// A log of an ordinary day: keys, configuration, leases, usage counts.
pub fn busy_log(records: usize, gateways: usize, accounts: usize) -> Log {
    let mut log = Log::default();
    log.put("g0", claim(LeaseRole::Snapshot, "g0", None));
    for number in 0..accounts {
        log.put("ann", grant(&format!("k{number}"), &format!("a{number}")));
    }
    let mut totals = vec![BTreeMap::new(); gateways];
    let mut renewed = 0;
    while log.texts.len() < records {
        let turn = log.texts.len();
        if turn.is_multiple_of(100) {
            log.put("g0", renew(LeaseRole::Snapshot, 0, renewed));
            renewed = turn as u64;
        } else if turn.is_multiple_of(997) {
            let prev = log.replica.config().last();
            log.put("ann", publish(None, prev, &"x".repeat(2000)));
        } else {
            let gateway = turn % gateways;
            let used = format!("a{}", turn % accounts);
            let counted: &mut Usage = totals[gateway].entry(used.into()).or_default();
            counted.calls += 1;
            counted.completion_tokens += 200;
            let window = WindowId(turn as u64 / 10_000);
            log.put(
                "g",
                Body::UsageCounts(UsageCounts {
                    gateway: Incarnation(gateway as u128 + 1),
                    seq: turn as u64,
                    windows: BTreeMap::from([(window, totals[gateway].clone())]),
                }),
            );
        }
    }
    log
}

/// Writes a snapshot of the state into the log.
pub fn put_snapshot(log: &mut Log, part_bytes: usize) {
    let epoch = log.replica.leases().current(LeaseRole::Snapshot).unwrap();
    assert_eq!(
        log.put("g0", Body::SnapshotMark(SnapshotMark { epoch })),
        None
    );
    for part in Image::of(&log.replica).split(epoch, part_bytes) {
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
