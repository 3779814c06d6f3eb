//! View of the log: a ring of recent records for gateways that cannot reach the log, and the state
//! of the planner lease, which fences orders.

use std::collections::VecDeque;
use std::time::Duration as StdDuration;

use nutmegbay_backplane::{ClientSettings, Log, PlatformClient};
use nutmegbay_core::guard::{OrderFencing, OrderRefused};
use nutmegbay_core::ids::{Epoch, Offset};
use nutmegbay_core::record::Record;
use nutmegbay_proto::control::{LogStatus, LogTail};
use nutmegbay_proto::platform::LogEntry;
use tokio::time::{Duration, Instant, sleep};

use crate::state::SharedState;

/// Maximum number of records in the ring. At 1,000 records/s this covers 4 s, more than the 3 s
/// after which a gateway that cannot reach the log refuses keyed requests.
const MAX_RING_RECORDS: usize = 4_096;

/// Maximum size of the records in the ring, in bytes.
const MAX_RING_BYTES: usize = 16 << 20;

/// Maximum number of records in one answer, which keeps it below the size limit of the control
/// interface.
const MAX_TAIL_RECORDS: usize = 1_024;

/// Maximum size of the records in one answer, in bytes.
const MAX_TAIL_BYTES: usize = 4 << 20;

/// Number of records before the head that are read from the platform. The planner renews its lease
/// every second, so a few seconds of records show who holds it.
const READ_BEHIND_HEAD: u64 = 4_096;

/// Maximum number of records in one read from the platform.
const MAX_READ_RECORDS: u32 = 512;

/// Maximum time that a read at the head waits for a record.
const MAX_READ_WAIT: StdDuration = StdDuration::from_millis(500);

/// Interval between two checks of whether the planner lease must be read from the platform.
const CONFIRMATION_INTERVAL: Duration = Duration::from_millis(250);

/// Log records and positions that this sidecar has received from gateways or read itself.
pub(crate) struct LogView {
    created_at: Instant,
    order_fencing: OrderFencing,
    ring: VecDeque<LogEntry>,
    bytes: usize,
    /// Highest head that a gateway has reported or that the ring implies.
    known_head: Offset,
    /// Start of the latest read of a gateway that reached the head, `None` before the first report.
    head_read_at: Option<Instant>,
}

impl LogView {
    pub(crate) fn new() -> Self {
        Self {
            created_at: Instant::now(),
            order_fencing: OrderFencing::new(),
            ring: VecDeque::new(),
            bytes: 0,
            known_head: Offset(0),
            head_read_at: None,
        }
    }

    /// Applies records that a gateway relays, and its view of the log.
    pub(crate) fn apply_relayed(&mut self, tail: LogTail) {
        for entry in tail.entries {
            self.apply(entry);
        }
        self.observe_status(tail.log);
    }

    /// Merges a gateway's view of the log into this one.
    pub(crate) fn observe_status(&mut self, log: LogStatus) {
        self.known_head = self.known_head.max(log.next);
        let age = log.fresh_ms.map(Duration::from_millis);
        let head_read_at = age.and_then(|age| Instant::now().checked_sub(age));
        self.head_read_at = self.head_read_at.max(head_read_at);
        // A read that began after this view was created covers the head as of its creation.
        if head_read_at.is_some_and(|at| at >= self.created_at) {
            self.order_fencing.set_head(log.next);
            self.order_fencing.reached(log.next);
        }
    }

    /// Returns the newest view of the log among the gateways that have reported theirs.
    pub(crate) fn status(&self) -> LogStatus {
        let age = self.head_read_at.map(|at| at.elapsed().as_millis());
        LogStatus {
            next: self.known_head,
            fresh_ms: age.map(|age| u64::try_from(age).unwrap_or(u64::MAX)),
        }
    }

    /// Returns the offset after the last record in the ring, with the age of the newest view of the
    /// log.
    pub(crate) fn ring_status(&self) -> LogStatus {
        LogStatus {
            next: self.ring_next().unwrap_or(self.known_head),
            ..self.status()
        }
    }

    /// Returns the records from `from` on, or no records if the ring does not hold the record at
    /// `from`.
    pub(crate) fn tail(&self, from: Offset) -> LogTail {
        let is_kept = self.ring.front().is_some_and(|entry| entry.offset <= from);
        let mut bytes = 0;
        let entries = self
            .ring
            .iter()
            .filter(|entry| is_kept && entry.offset >= from)
            .take(MAX_TAIL_RECORDS)
            .take_while(|entry| {
                bytes += entry.record.get().len();
                bytes <= MAX_TAIL_BYTES
            })
            .cloned()
            .collect();
        LogTail {
            entries,
            log: self.status(),
        }
    }

    /// Checks that an order with fencing number `epoch` may be forwarded.
    pub(crate) fn check_order(&mut self, epoch: Epoch) -> Result<(), OrderRefused> {
        self.order_fencing.check(epoch)
    }

    fn ring_next(&self) -> Option<Offset> {
        self.ring.back().map(|entry| entry.offset.next())
    }

    /// Applies a record to the fencing state and adds it to the ring.
    fn apply(&mut self, entry: LogEntry) {
        let record: Option<Record> = serde_json::from_str(entry.record.get()).ok();
        self.order_fencing.observe(entry.offset, record.as_ref());
        match self.ring_next() {
            Some(next) if entry.offset < next => return,
            // Records are missing. The ring is cleared, because it must not have a gap.
            Some(next) if entry.offset > next => {
                self.ring.clear();
                self.bytes = 0;
            }
            _ => {}
        }
        self.known_head = self.known_head.max(entry.offset.next());
        self.bytes += entry.record.get().len();
        self.ring.push_back(entry);
        while self.ring.len() > MAX_RING_RECORDS || self.bytes > MAX_RING_BYTES {
            let Some(oldest) = self.ring.pop_front() else {
                return;
            };
            self.bytes -= oldest.record.get().len();
        }
    }
}

/// Reads the platform's log whenever the holder of the planner lease is not known. Otherwise the
/// gateways relay new records, so that hundreds of sidecars do not all read the log.
pub(crate) async fn run(shared: &SharedState) {
    let Some(addr) = shared.settings.platform_addr() else {
        return;
    };
    let settings = ClientSettings::new(addr, shared.settings.instance.clone());
    let platform = PlatformClient::new(settings);
    loop {
        if !shared.log().order_fencing.is_confirmed()
            && let Err(error) = confirm_planner_lease(shared, &platform).await
        {
            tracing::debug!(event = "log_read_failed", %error);
        }
        sleep(CONFIRMATION_INTERVAL).await;
    }
}

/// Reads records from the platform until the holder of the planner lease is known.
async fn confirm_planner_lease(
    shared: &SharedState,
    platform: &PlatformClient,
) -> Result<(), error_stack::Report<nutmegbay_backplane::PlatformError>> {
    // Every read returns the head and the oldest offset, here without waiting for a record.
    let first = platform.read(Offset(0), 1, StdDuration::ZERO).await?;
    let start = Offset(first.head.0.saturating_sub(READ_BEHIND_HEAD)).max(first.oldest);
    let mut from = match shared.log().order_fencing.next() {
        Some(next) if next >= start => next,
        _ => start,
    };
    {
        let mut log = shared.log();
        log.order_fencing.set_head(first.head);
        log.order_fencing.reached(first.head);
    }
    while !shared.log().order_fencing.is_confirmed() {
        let read = platform.read(from, MAX_READ_RECORDS, MAX_READ_WAIT).await?;
        let mut log = shared.log();
        for entry in read.records {
            from = entry.offset.next();
            log.apply(entry);
        }
    }
    Ok(())
}
