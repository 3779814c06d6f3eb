use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::RejectReason;
use crate::ids::Offset;
use crate::record::{Body, ConfigScope, Record};

/// Maximum number of entries. A day has about 2,300 configuration changes at the planned size; the
/// older ones can be read from the log for as long as it keeps them.
const MAX_ENTRIES: usize = 512;

/// Recent changes by operators and lease holders, accepted and rejected.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct AuditTrail {
    entries: VecDeque<AuditEntry>,
}

/// One change that was accepted or rejected.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// Offset of the record.
    pub offset: Offset,
    /// Operator or instance that wrote it.
    pub author: Box<str>,
    /// Wall-clock time of writing in milliseconds since 1970.
    pub at_ms: u64,
    /// Description of the change.
    pub what: Box<str>,
    /// Reason why replay rejected it, `None` if it was accepted.
    pub rejected: Option<RejectReason>,
}

impl AuditTrail {
    /// Entries, oldest first.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &AuditEntry> {
        self.entries.iter()
    }

    pub(super) fn add(&mut self, offset: Offset, record: &Record, rejected: Option<RejectReason>) {
        let Some(what) = describe(&record.body, rejected.is_some()) else {
            return;
        };
        if self.entries.len() == MAX_ENTRIES {
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

/// Description for the audit trail, `None` for records that ordinary traffic causes.
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
