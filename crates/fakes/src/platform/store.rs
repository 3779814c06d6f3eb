//! In-memory state of the fake platform.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::time::Duration;

use nutmegbay_core::ids::{Offset, RecordId, WindowId};
use nutmegbay_proto::platform::{InstanceList, LogEntry, ReadResponse, UpstreamOrder, UsageReport};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use tokio::time::Instant;

/// Append-only log that retains a limited number of records.
#[derive(Debug)]
pub(super) struct RecordLog {
    entries: VecDeque<LogEntry>,
    /// Offset of the next record.
    head: u64,
    max_entries: usize,
}

impl RecordLog {
    pub(super) fn new(max_entries: usize) -> Self {
        Self {
            entries: VecDeque::new(),
            head: 0,
            max_entries,
        }
    }

    pub(super) fn append(&mut self, records: Vec<Box<RawValue>>) -> Offset {
        let first = Offset(self.head);
        for record in records {
            self.entries.push_back(LogEntry {
                offset: Offset(self.head),
                record,
            });
            self.head += 1;
        }
        while self.entries.len() > self.max_entries {
            self.entries.pop_front();
        }
        first
    }

    pub(super) fn read(&self, from: Offset, max: usize) -> ReadResponse {
        let oldest = self.head - self.entries.len() as u64;
        let skip = usize::try_from(from.0.saturating_sub(oldest)).unwrap_or(usize::MAX);
        ReadResponse {
            records: self.entries.iter().skip(skip).take(max).cloned().collect(),
            head: Offset(self.head),
            oldest: Offset(oldest),
        }
    }

    pub(super) fn head(&self) -> Offset {
        Offset(self.head)
    }
}

/// Token bucket that limits the rate of calls, on the clock of the Tokio runtime.
#[derive(Debug)]
pub(super) struct TokenBucket {
    tokens_per_s: f64,
    capacity: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    pub(super) fn new(tokens_per_s: f64, capacity: f64) -> Self {
        Self {
            tokens_per_s,
            capacity,
            tokens: capacity,
            refilled_at: Instant::now(),
        }
    }

    /// Takes one token. Returns `false` if the bucket holds less than one.
    pub(super) fn try_take(&mut self, now: Instant) -> bool {
        let elapsed_s = now.duration_since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed_s * self.tokens_per_s).min(self.capacity);
        self.refilled_at = now;
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}

/// Instance list whose changes become visible after `lag`.
#[derive(Debug)]
pub(super) struct LaggingInstanceList {
    visible: InstanceList,
    pending: VecDeque<(Instant, InstanceList)>,
    lag: Duration,
}

impl LaggingInstanceList {
    pub(super) fn new(visible: InstanceList, lag: Duration) -> Self {
        Self {
            visible,
            pending: VecDeque::new(),
            lag,
        }
    }

    pub(super) fn set(&mut self, list: InstanceList, now: Instant) {
        self.pending.push_back((now + self.lag, list));
    }

    pub(super) fn get(&mut self, now: Instant) -> &InstanceList {
        while let Some((_, list)) = self.pending.pop_front_if(|(at, _)| *at <= now) {
            self.visible = list;
        }
        &self.visible
    }
}

/// An upstream order with the outcome of its call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReceivedOrder {
    /// Client that sent it, as named by its header `x-instance`.
    pub client: Box<str>,
    /// Order as received, with its fencing number.
    pub order: UpstreamOrder,
    /// Whether it took effect; a repeated order does not.
    pub effective: bool,
}

/// A usage report with the outcome of its call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReceivedReport {
    /// Client that sent it, as named by its header `x-instance`.
    pub client: Box<str>,
    /// Report as received, with its fencing number.
    pub report: UsageReport,
    /// Whether it was accepted; a report that contradicts an earlier one for its window is not.
    pub accepted: bool,
}

/// Received upstream orders and usage reports, in order of arrival.
#[derive(Debug, Default)]
pub(super) struct ReceivedCalls {
    pub(super) orders: Vec<ReceivedOrder>,
    applied_orders: HashSet<RecordId>,
    pub(super) reports: Vec<ReceivedReport>,
    accepted_reports: BTreeMap<WindowId, UsageReport>,
}

impl ReceivedCalls {
    pub(super) fn record_order(&mut self, client: Box<str>, order: UpstreamOrder) {
        let effective = self.applied_orders.insert(order.order);
        self.orders.push(ReceivedOrder {
            client,
            order,
            effective,
        });
    }

    /// Records a report. Returns whether it was accepted, that is, whether it has the same figures
    /// as the first report for its window.
    pub(super) fn record_report(&mut self, client: Box<str>, report: UsageReport) -> bool {
        let first = self
            .accepted_reports
            .entry(report.window)
            .or_insert_with(|| report.clone());
        let accepted = first.accounts == report.accounts && first.late == report.late;
        self.reports.push(ReceivedReport {
            client,
            report,
            accepted,
        });
        accepted
    }
}
