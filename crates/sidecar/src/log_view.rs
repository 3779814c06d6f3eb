//! Recent log records: a ring for gateways that are cut off from the log, and the planner lease.

use std::collections::VecDeque;
use std::time::Duration as StdDuration;

use nutmegbay_backplane::{ClientSettings, Log, PlatformClient};
use nutmegbay_core::guard::{OrderFencing, OrderRefused};
use nutmegbay_core::ids::{Epoch, Offset};
use nutmegbay_core::record::Record;
use nutmegbay_proto::control::{LogStatus, Tail};
use nutmegbay_proto::platform::Entry;
use tokio::time::{Duration, Instant, sleep};

use crate::state::Shared;

/// Records that are kept. At 1,000 records/s this bridges 4 s, more than the 3 s after which a
/// gateway that is cut off refuses keyed requests.
const RECORDS_KEPT: usize = 4_096;

/// Bytes of records that are kept.
const BYTES_KEPT: usize = 16 << 20;

/// Most records of one answer, so that it stays below the size limit of the control interface.
const TAIL_RECORDS: usize = 1_024;

/// Most bytes of records in one answer.
const TAIL_BYTES: usize = 4 << 20;

/// Records read from the platform behind the head at the start. The planner renews its lease every
/// second, so a few seconds of records settle who holds it.
const READ_BACK: u64 = 4_096;

/// Most records of one read from the platform.
const READ_MAX: u32 = 512;

/// Longest wait of a read at the head.
const READ_WAIT: StdDuration = StdDuration::from_millis(500);

/// Time between two looks at whether the planner lease must be read from the platform.
const CONFIRM_EVERY: Duration = Duration::from_millis(250);

/// The log as far as this sidecar was told.
pub(crate) struct LogView {
    started: Instant,
    authority: OrderFencing,
    ring: VecDeque<Entry>,
    bytes: usize,
    /// Newest offset that a gateway has told of, and the moment as of which that was the head.
    newest: Offset,
    fresh_at: Option<Instant>,
}

impl LogView {
    pub(crate) fn new() -> Self {
        Self {
            started: Instant::now(),
            authority: OrderFencing::new(),
            ring: VecDeque::new(),
            bytes: 0,
            newest: Offset(0),
            fresh_at: None,
        }
    }

    /// Takes records that a gateway hands over.
    pub(crate) fn relay(&mut self, tail: Tail) {
        for entry in tail.entries {
            self.take(entry);
        }
        self.hear(tail.log);
    }

    /// Takes a gateway's view of the log.
    pub(crate) fn hear(&mut self, log: LogStatus) {
        self.newest = self.newest.max(log.next);
        let age = log.fresh_ms.map(Duration::from_millis);
        let fresh_at = age.and_then(|age| Instant::now().checked_sub(age));
        self.fresh_at = self.fresh_at.max(fresh_at);
        // A read that began after this process is at or after the head at its start.
        if fresh_at.is_some_and(|at| at >= self.started) {
            self.authority.set_head(log.next);
            self.authority.reached(log.next);
        }
    }

    /// How current the newest view among the gateways is.
    pub(crate) fn status(&self) -> LogStatus {
        let age = self.fresh_at.map(|at| at.elapsed().as_millis());
        LogStatus {
            next: self.newest,
            fresh_ms: age.map(|age| u64::try_from(age).unwrap_or(u64::MAX)),
        }
    }

    /// Offset of the next record that the ring lacks, and how current that is.
    pub(crate) fn ring_status(&self) -> LogStatus {
        LogStatus {
            next: self.ring_next().unwrap_or(self.newest),
            ..self.status()
        }
    }

    /// Records from `from` on; none if the ring no longer has the first of them.
    pub(crate) fn tail(&self, from: Offset) -> Tail {
        let is_kept = self.ring.front().is_some_and(|entry| entry.offset <= from);
        let mut bytes = 0;
        let entries = self
            .ring
            .iter()
            .filter(|entry| is_kept && entry.offset >= from)
            .take(TAIL_RECORDS)
            .take_while(|entry| {
                bytes += entry.record.get().len();
                bytes <= TAIL_BYTES
            })
            .cloned()
            .collect();
        Tail {
            entries,
            log: self.status(),
        }
    }

    pub(crate) fn check_order(&mut self, epoch: Epoch) -> Result<(), OrderRefused> {
        self.authority.check(epoch)
    }

    fn ring_next(&self) -> Option<Offset> {
        self.ring.back().map(|entry| entry.offset.next())
    }

    fn take(&mut self, entry: Entry) {
        let record: Option<Record> = serde_json::from_str(entry.record.get()).ok();
        self.authority.observe(entry.offset, record.as_ref());
        match self.ring_next() {
            Some(next) if entry.offset < next => return,
            // Records are missing: the ring starts over, since it must not have a gap.
            Some(next) if entry.offset > next => {
                self.ring.clear();
                self.bytes = 0;
            }
            _ => {}
        }
        self.newest = self.newest.max(entry.offset.next());
        self.bytes += entry.record.get().len();
        self.ring.push_back(entry);
        while self.ring.len() > RECORDS_KEPT || self.bytes > BYTES_KEPT {
            let Some(oldest) = self.ring.pop_front() else {
                return;
            };
            self.bytes -= oldest.record.get().len();
        }
    }
}

/// Reads the platform's log whenever it is not known who holds the planner lease. Afterwards the
/// gateways relay what is new, so that hundreds of sidecars do not all read the log.
pub(crate) async fn run(shared: &Shared) {
    let Some(addr) = shared.settings.platform_addr() else {
        return;
    };
    let settings = ClientSettings::new(addr, shared.settings.instance.clone());
    let platform = PlatformClient::new(settings);
    loop {
        if !shared.log().authority.is_confirmed()
            && let Err(error) = read(shared, &platform).await
        {
            tracing::debug!(event = "log_read_failed", %error);
        }
        sleep(CONFIRM_EVERY).await;
    }
}

async fn read(
    shared: &Shared,
    platform: &PlatformClient,
) -> Result<(), error_stack::Report<nutmegbay_backplane::PlatformError>> {
    // A read from far ahead returns the head and the oldest offset at once.
    let first = platform.read(Offset(0), 1, StdDuration::ZERO).await?;
    let back = Offset(first.head.0.saturating_sub(READ_BACK)).max(first.oldest);
    let mut from = match shared.log().authority.next() {
        Some(next) if next >= back => next,
        _ => back,
    };
    {
        let mut log = shared.log();
        log.authority.set_head(first.head);
        log.authority.reached(first.head);
    }
    while !shared.log().authority.is_confirmed() {
        let read = platform.read(from, READ_MAX, READ_WAIT).await?;
        let mut log = shared.log();
        for entry in read.records {
            from = entry.offset.next();
            log.take(entry);
        }
    }
    Ok(())
}
