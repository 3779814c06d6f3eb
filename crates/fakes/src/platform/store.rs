//! State of the fake platform.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::time::Duration;

use nutmegbay_core::ids::{Offset, RecordId, WindowId};
use nutmegbay_proto::platform::{InstanceList, LogEntry, ReadResponse, UpstreamOrder, UsageReport};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use tokio::time::Instant;

/// Append-only log that keeps a limited number of records.
#[derive(Debug)]
pub(super) struct LogStore {
    entries: VecDeque<LogEntry>,
    head: u64,
    retain: usize,
}

impl LogStore {
    pub(super) fn new(retain: usize) -> Self {
        Self {
            entries: VecDeque::new(),
            head: 0,
            retain,
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
        while self.entries.len() > self.retain {
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

/// Token bucket on the runtime's clock.
#[derive(Debug)]
pub(super) struct RateLimit {
    per_s: f64,
    burst: f64,
    tokens: f64,
    filled: Instant,
}

impl RateLimit {
    pub(super) fn new(per_s: f64, burst: f64) -> Self {
        Self {
            per_s,
            burst,
            tokens: burst,
            filled: Instant::now(),
        }
    }

    /// Takes one call, if the rate allows it.
    pub(super) fn take(&mut self, now: Instant) -> bool {
        let since = now.duration_since(self.filled).as_secs_f64();
        self.tokens = (self.tokens + since * self.per_s).min(self.burst);
        self.filled = now;
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}

/// Instance list whose changes become visible after a lag.
#[derive(Debug)]
pub(super) struct Instances {
    visible: InstanceList,
    coming: VecDeque<(Instant, InstanceList)>,
    lag: Duration,
}

impl Instances {
    pub(super) fn new(visible: InstanceList, lag: Duration) -> Self {
        Self {
            visible,
            coming: VecDeque::new(),
            lag,
        }
    }

    pub(super) fn set(&mut self, list: InstanceList, now: Instant) {
        self.coming.push_back((now + self.lag, list));
    }

    pub(super) fn get(&mut self, now: Instant) -> &InstanceList {
        while let Some((_, list)) = self.coming.pop_front_if(|(at, _)| *at <= now) {
            self.visible = list;
        }
        &self.visible
    }
}

/// Upstream order as received.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReceivedOrder {
    /// Client that sent it.
    pub client: Box<str>,
    /// Order with its fencing number.
    pub order: UpstreamOrder,
    /// Whether it took effect, which a repeat does not.
    pub effective: bool,
}

/// Usage report as received.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReceivedReport {
    /// Client that sent it.
    pub client: Box<str>,
    /// Report with its fencing number.
    pub report: UsageReport,
    /// Whether it was taken; a report with other figures for a known window is not.
    pub accepted: bool,
}

/// Received upstream orders and usage reports.
#[derive(Debug, Default)]
pub(super) struct Received {
    pub(super) orders: Vec<ReceivedOrder>,
    known_orders: HashSet<RecordId>,
    pub(super) reports: Vec<ReceivedReport>,
    windows: BTreeMap<WindowId, UsageReport>,
}

impl Received {
    pub(super) fn order(&mut self, client: Box<str>, order: UpstreamOrder) {
        let effective = self.known_orders.insert(order.order);
        self.orders.push(ReceivedOrder {
            client,
            order,
            effective,
        });
    }

    /// Takes a report, unless its window is known with other figures.
    pub(super) fn report(&mut self, client: Box<str>, report: UsageReport) -> bool {
        let known = self
            .windows
            .entry(report.window)
            .or_insert_with(|| report.clone());
        let accepted = known.accounts == report.accounts && known.late == report.late;
        self.reports.push(ReceivedReport {
            client,
            report,
            accepted,
        });
        accepted
    }
}
