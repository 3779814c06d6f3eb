use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::Reason;
use crate::ids::Offset;
use crate::record::{Body, ConfigScope, Record};

/// Entries kept. An ordinary day at the planned size has 2,300 configuration changes; the log
/// itself keeps the older ones for as long as it keeps records.
const KEPT: usize = 512;

/// Recent changes by operators and holders of authority.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Audit {
    entries: VecDeque<AuditEntry>,
}

/// One change or attempted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// Position in the log.
    pub offset: Offset,
    /// Operator or instance that wrote it.
    pub author: Box<str>,
    /// Wall-clock time of writing in milliseconds since 1970.
    pub at_ms: u64,
    /// What was to change.
    pub what: Box<str>,
    /// Why replay rejected it, none if it was accepted.
    pub rejected: Option<Reason>,
}

impl Audit {
    /// Entries, oldest first.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &AuditEntry> {
        self.entries.iter()
    }

    pub(super) fn note(&mut self, offset: Offset, record: &Record, rejected: Option<Reason>) {
        let Some(what) = describe(&record.body, rejected.is_some()) else {
            return;
        };
        if self.entries.len() == KEPT {
            self.entries.pop_front();
        }
        self.entries.push_back(AuditEntry {
            offset,
            author: record.author.clone(),
            at_ms: record.at_ms,
            what: what.into(),
            rejected,
        });
    }
}

/// Text for the trail, none for the records of ordinary traffic.
fn describe(body: &Body, is_rejected: bool) -> Option<String> {
    let text = match body {
        Body::LeaseClaim(claim) => format!("claim lease {}", claim.role),
        Body::LeaseRelease(change) => format!("release lease {}", change.role),
        Body::LeaseRenew(change) if is_rejected => format!("renew lease {}", change.role),
        Body::ConfigPublish(publish) => match &publish.scope {
            ConfigScope::Base => "publish base configuration".to_owned(),
            ConfigScope::Overlay(site) => format!("publish overlay of {site}"),
        },
        Body::KeyGrant(grant) => format!("grant key {} to {}", grant.key, grant.account),
        Body::KeyWithdraw(withdraw) => format!("withdraw key {}", withdraw.key),
        Body::OrderIntent(intent) => format!("order {}: {}", intent.order, intent.command),
        Body::OrderDone(done) => {
            let end = if done.applied {
                "applied"
            } else {
                "not applied"
            };
            format!("order {} {end}: {}", done.order, done.note)
        }
        Body::WindowSeal(seal) => format!("seal usage window {}", seal.window),
        Body::WindowReported(reported) => format!("report usage window {}", reported.window),
        Body::QuarantineClear(clear) => format!("clear request {}", clear.fingerprint),
        Body::CrashReport(report) => format!("crash of upstream {}", report.upstream),
        Body::DrainRequest(drain) => format!("drain instance {}", drain.instance),
        Body::SnapshotMark(_) => "mark snapshot".to_owned(),
        Body::SnapshotPart(part) if is_rejected => format!("snapshot part {}", part.part),
        Body::LeaseRenew(_)
        | Body::SnapshotPart(_)
        | Body::UsageCounts(_)
        | Body::AttemptOpen(_)
        | Body::AttemptFence(_)
        | Body::AttemptOutcome(_)
        | Body::ExclusiveRun(_) => return None,
    };
    Some(text)
}
