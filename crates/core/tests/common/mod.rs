//! Records and a log for the tests.
#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::BTreeMap;
use std::fmt::Write;

use nutmegbay_core::ids::{Epoch, Incarnation, Offset, RecordId};
use nutmegbay_core::record::{
    Body, ConfigPublish, ConfigScope, LeaseChange, LeaseClaim, LeaseRole, Record, SCHEMA, Usage,
};
use nutmegbay_core::replica::{Reason, Replica};
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
