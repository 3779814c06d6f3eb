//! Usage reports. One process at a time holds the duty to seal the usage counts of each window and
//! to send them to the platform.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;
use nutmegbay_core::duty::{
    DutyKeeper, DutyRecord, DutyStep, FailureDetector, SealTiming, SealedWindow, sum_counts,
};
use nutmegbay_core::ids::Incarnation;
use nutmegbay_core::lease::LeaseTiming;
use nutmegbay_core::position::Position;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::clock::millis;
use crate::follow::{DependencyStatus, poll_topic};
use crate::members::{self, MemberRecord};
use crate::metrics::increment;
use crate::model::KeyedRecord;
use crate::peers::{PeerError, request_usage};
use crate::platform_api::{DutyError, Store, StoreError, Topic, UsageReporter, WireCodec};
use crate::state::EdgeState;

/// Key of the single record in [`Topic::Duty`].
const RECORD_KEY: &str = "usage";

/// Length of a term as a multiple of [`Bounds::lease`](crate::settings::Bounds::lease).
const TERM_FACTOR: u32 = 2;

/// Number of renewals per term.
const RENEWALS_PER_TERM: u32 = 3;

/// Maximum duration of a call made under the duty. A call starts only if the rest of the term
/// covers it, and it is not extended while this process is late.
const CALL_BUDGET: Duration = Duration::from_millis(1_500);

/// Error of such a call without a response in time.
const NO_RESPONSE: &str = "no response in time";

/// Time before the report is due at which a window is sealed even if counts are missing.
const SEAL_MARGIN: Duration = Duration::from_secs(1);

/// Time after the end of a window from which processes are asked directly for missing counts. The
/// store usually has them by then.
const ASK_DELAY: Duration = Duration::from_millis(1_200);

/// Pause after a failed report before it is sent again.
const REPORT_RETRY_PAUSE: Duration = Duration::from_millis(700);

/// Maximum time between two runs of the steps that are due.
const MAX_STEP_INTERVAL: Duration = Duration::from_secs(1);

/// Pause between two reads of the register by a process that does not hold the duty, per running
/// process. Without the pause, each renewal would end a waiting read of every process.
const READ_PAUSE_PER_PROCESS: Duration = Duration::from_millis(80);

/// Maximum of that pause. It delays the claim after the holder has failed.
const MAX_READ_PAUSE: Duration = Duration::from_millis(2_500);

/// Number of processes, counted from the lowest rank, that read the register often. One of them
/// takes over the duty unless all of them fail at once.
const TAKEOVER_CANDIDATES: usize = 5;

/// Pause between two reads of the register by all other processes, as a fraction of the term. A
/// process that does not read for a whole term would consider the holder failed.
const SLOW_READ_TERM_FRACTION: f64 = 0.8;

/// Maximum wait of one read of the register for a new record.
const MAX_READ_WAIT: Duration = Duration::from_secs(10);

/// Maximum time to release the duty on a planned stop.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

fn term_length<D: WireCodec>(state: &EdgeState<D>) -> Duration {
    state.settings().bounds.lease * TERM_FACTOR
}

/// Claims and performs the usage report duty in one process.
pub struct UsageDuty<D, S, R> {
    state: Rc<EdgeState<D>>,
    store: S,
    reporter: R,
    keeper: RefCell<DutyKeeper>,
    reported_windows: RefCell<BTreeSet<u64>>,
    failure_detector: RefCell<FailureDetector>,
    /// Notified when a report has ended.
    call_ended: Notify,
}

impl<D: WireCodec, S: Store, R: UsageReporter> UsageDuty<D, S, R> {
    /// Creates the state of a process that has not read the register yet.
    pub fn new(state: Rc<EdgeState<D>>, store: S, reporter: R) -> Self {
        let ttl = term_length(&state);
        let timing = LeaseTiming {
            ttl,
            renew_every: ttl / RENEWALS_PER_TERM,
            ..LeaseTiming::default()
        };
        let incarnation = Incarnation(rand::random());
        let settings = state.settings();
        let address = settings.ingress.to_string();
        let keeper = DutyKeeper::new(&settings.node, incarnation, &address, timing);
        Self {
            state,
            store,
            reporter,
            keeper: keeper.into(),
            reported_windows: RefCell::default(),
            failure_detector: RefCell::default(),
            call_ended: Notify::new(),
        }
    }

    /// Reads the register for as long as the process runs.
    pub async fn follow(&self) {
        let mut store_status = DependencyStatus::new("store_duty");
        let mut next = None;
        loop {
            if !self.is_holder() {
                self.state.wait_for_direct_reads().await;
            }
            match poll_topic(&self.state, &self.store, Topic::Duty, next, MAX_READ_WAIT).await {
                Ok((records, end)) => {
                    store_status.record_success(self.state.now());
                    self.apply_records(&records, next, end);
                    next = Some(end);
                    if !self.is_holder() {
                        sleep(self.read_pause()).await;
                    }
                }
                Err(StoreError::Expired) => next = None,
                Err(error) => {
                    increment(&self.state.metrics.store_failures);
                    let pause = store_status.record_failure(self.state.now(), &error);
                    self.state.store_backoff(pause).await;
                }
            }
        }
    }

    /// Returns the pause between two reads of the register while another process holds the duty.
    fn read_pause(&self) -> Duration {
        if self.state.member_rank() >= TAKEOVER_CANDIDATES {
            return term_length(&self.state).mul_f64(SLOW_READ_TERM_FRACTION);
        }
        let instances = u32::try_from(self.state.process_count()).unwrap_or(u32::MAX);
        let pause = READ_PAUSE_PER_PROCESS.saturating_mul(instances);
        pause.min(MAX_READ_PAUSE)
    }

    /// Returns whether this process holds the duties, or may claim them again at once because the
    /// store has lost its claim.
    fn is_holder(&self) -> bool {
        self.keeper.borrow().has_term(self.state.now())
    }

    /// Applies the records between `from` and `end`, or the newest one if `from` is `None`.
    fn apply_records(&self, records: &[KeyedRecord], from: Option<Position>, end: Position) {
        let own = |record: &&KeyedRecord| *record.key == *RECORD_KEY;
        let own: Vec<_> = records.iter().filter(own).collect();
        match own.split_last() {
            Some((last, before)) => {
                for record in before {
                    self.apply_read(record.value.as_deref(), record.position.next());
                }
                self.apply_read(last.value.as_deref(), end);
            }
            None if from == Some(end) => {}
            None if from.is_none() && records.is_empty() => self.apply_read(None, end),
            None => self.apply_foreign_record(end),
        }
    }

    /// Applies a read of which the last record is of another key or cannot be decoded.
    fn apply_foreign_record(&self, end: Position) {
        self.record_ended_window();
        let mut keeper = self.keeper.borrow_mut();
        keeper.on_foreign_record(self.state.now(), end);
    }

    fn record_ended_window(&self) {
        let now_ms = self.state.wall_clock.borrow().now_ms();
        let ended = self.state.usage_window_at(now_ms).saturating_sub(1);
        self.keeper.borrow_mut().record_ended_window(ended);
    }

    fn apply_read(&self, value: Option<&[u8]>, end: Position) {
        let record: Option<DutyRecord> = match value.map(serde_json::from_slice).transpose() {
            Ok(record) => record,
            Err(error) => {
                tracing::error!(event = "duty_record_unreadable", end = end.offset, %error);
                self.apply_foreign_record(end);
                return;
            }
        };
        self.record_ended_window();
        let mut keeper = self.keeper.borrow_mut();
        let before = keeper.record().map(|record| record.fencing);
        if let Some(record) = &record
            && before != Some(record.fencing)
        {
            tracing::info!(
                event = "duty_holder",
                holder = %record.holder,
                fencing = record.fencing.0,
                era = end.era,
                offset = end.offset,
                skipped_through = record.skipped_through,
            );
        }
        keeper.on_read(self.state.now(), record, end);
    }

    /// Claims and renews the duty, seals windows and reports them for as long as the process runs.
    pub async fn run(&self) {
        loop {
            self.state.wall_clock.borrow_mut().update(self.state.now());
            let wait = self.run_due_steps().await;
            sleep(wait.min(MAX_STEP_INTERVAL).max(Duration::from_millis(20))).await;
        }
    }

    async fn run_due_steps(&self) -> Duration {
        if self.state.is_relayed() && !self.is_holder() {
            // The register is not read while a relay sends the changes.
            return MAX_STEP_INTERVAL;
        }
        let step = self.keeper.borrow().next_step(self.state.now());
        let mut wait = match step {
            DutyStep::Wait(wait) => wait,
            DutyStep::Write { position, record } => self.write_register(position, record).await,
        };
        while let Some(window) = self.window_to_seal() {
            if !self.seal_window(window).await {
                let now_ms = self.state.wall_clock.borrow().now_ms();
                let latest = self.seal_timing().ms_until_latest(window, now_ms);
                // Sealing an overdue window is tried again at the usual interval.
                if latest > 0 {
                    wait = wait.min(Duration::from_millis(latest));
                }
                break;
            }
        }
        self.report_sealed_windows()
            .await
            .map_or(wait, |pause| pause.min(wait))
    }

    /// Writes the register. Returns the time to wait before the next step.
    async fn write_register(&self, at: Position, record: DutyRecord) -> Duration {
        if at.era != self.state.store_era() {
            // The register must be read again first.
            return MAX_STEP_INTERVAL;
        }
        let Ok(value) = serde_json::to_vec(&record) else {
            tracing::error!(event = "duty_record_not_encoded");
            return MAX_STEP_INTERVAL;
        };
        self.keeper.borrow_mut().on_write_sent(self.state.now(), at);
        self.state.metrics.count_store_call(Topic::Duty);
        let append = self.store.append(Topic::Duty, RECORD_KEY, &value, Some(at));
        let no_response = |_| Err(StoreError::Unreachable(NO_RESPONSE.into()));
        match timeout(CALL_BUDGET, append)
            .await
            .unwrap_or_else(no_response)
        {
            Ok(position) => {
                self.state
                    .observe_store_era(position.era, Topic::Duty.into());
                self.apply_read(Some(&value), position.next());
                Duration::ZERO
            }
            // Another process wrote first, or an earlier write took effect. The next read shows
            // which.
            Err(error) => {
                tracing::debug!(event = "duty_write_failed", at = at.offset, ?error);
                MAX_STEP_INTERVAL
            }
        }
    }

    /// Returns the oldest ended window that is not sealed, if this process may seal it.
    fn window_to_seal(&self) -> Option<u64> {
        let keeper = self.keeper.borrow();
        keeper.may_act(self.state.now(), CALL_BUDGET)?;
        let now_ms = self.state.wall_clock.borrow().now_ms();
        let newest = self.state.usage_window_at(now_ms).checked_sub(1)?;
        // Reports of older windows are overdue, so those windows are skipped.
        let timing = self.seal_timing();
        let oldest = newest.saturating_sub(timing.max_delay_ms.div_ceil(timing.window_ms.max(1)));
        let closed = keeper.record()?.last_closed_window();
        // With nothing sealed, starting at the newest window would skip it: the start moves on with
        // each new window while the counts are incomplete.
        let next = closed.map_or(oldest, |closed| closed.saturating_add(1).max(oldest));
        (next <= newest).then_some(next)
    }

    /// Seals a window. Returns whether it is sealed.
    async fn seal_window(&self, window: u64) -> bool {
        let mut records = match members::read_members(&self.state, &self.store).await {
            Ok(records) => records,
            Err(error) => {
                tracing::debug!(event = "usage_not_read", window, ?error);
                return false;
            }
        };
        records.remove(&self.state.settings().node);
        let Some(own) = members::own_counts(&self.state) else {
            return false;
        };
        let missing = self.ask_missing_counts(window, &mut records).await;
        let is_complete = missing == 0 && !SealTiming::lacks_counts(window, &own);
        let now_ms = self.state.wall_clock.borrow().now_ms();
        if !self.seal_timing().is_due(window, now_ms, is_complete) {
            return false;
        }
        let usage = records.values().map(|record| &record.usage);
        let sealed = sum_counts(window, usage.chain([&own]));
        let step = self
            .keeper
            .borrow()
            .seal(self.state.now(), CALL_BUDGET, sealed);
        if let Some(DutyStep::Write { position, record }) = step {
            let total: u64 = record.sealed.last().map_or(0, |sealed| {
                sealed.counts.values().copied().fold(0, u64::saturating_add)
            });
            tracing::info!(
                event = "usage_sealed",
                window,
                total,
                members = records.len() + 1,
                missing
            );
            self.write_register(position, record).await;
        }
        let keeper = self.keeper.borrow();
        let sealed = keeper.record().and_then(|record| record.sealed.last());
        sealed.is_some_and(|sealed| sealed.window >= window)
    }

    /// Asks the processes whose counts of a window are not in the store. Returns the number of
    /// processes whose counts are still missing, without those that are considered failed.
    async fn ask_missing_counts(
        &self,
        window: u64,
        records: &mut BTreeMap<Box<str>, MemberRecord>,
    ) -> usize {
        let now = self.state.now();
        let written = records.values().map(|record| record.usage.through);
        let newest = written.max().unwrap_or_default();
        let lacking: Vec<_> = records
            .iter_mut()
            .filter(|(name, record)| {
                let lacks = SealTiming::lacks_counts(window, &record.usage);
                lacks
                    && !self
                        .failure_detector
                        .borrow()
                        .is_considered_failed(name, now)
            })
            .collect();
        let now_ms = self.state.wall_clock.borrow().now_ms();
        if now_ms < self.seal_timing().end_ms(window) + millis(ASK_DELAY) {
            return lacking.len();
        }
        let requests = lacking
            .into_iter()
            .map(|(name, record)| self.ask_counts(window, name, record, newest));
        let answers = join_all(requests).await;
        answers.iter().filter(|is_counted| !**is_counted).count()
    }

    /// Asks one process for its counts. `newest` is the last window that any process has written.
    /// Returns whether the counts of `window` are complete, or need not be waited for.
    async fn ask_counts(
        &self,
        window: u64,
        name: &str,
        record: &mut MemberRecord,
        newest: u64,
    ) -> bool {
        let Some(control) = record.control else {
            return false;
        };
        let answer = request_usage(control, &self.state.delay_monitor).await;
        let error = answer.as_ref().err().map(tracing::field::display);
        tracing::info!(
            event = "usage_asked",
            window,
            member = name,
            written_through = record.usage.through,
            through = answer.as_ref().map_or(0, |counts| counts.through),
            error,
        );
        match answer {
            Err(PeerError::Unreachable(_)) => {
                let now_ms = self.state.wall_clock.borrow().now_ms();
                let silent = self.seal_timing().silence(now_ms, &record.usage, newest);
                let now = self.state.now();
                let mut failure_detector = self.failure_detector.borrow_mut();
                failure_detector.record_silence(name, now, silent);
                if failure_detector.is_considered_failed(name, now) {
                    return true;
                }
            }
            _ => self.failure_detector.borrow_mut().record_response(name),
        }
        match answer {
            Ok(counts) if counts.through >= record.usage.through => {
                record.usage = counts;
                !SealTiming::lacks_counts(window, &record.usage)
            }
            Ok(_) | Err(_) => false,
        }
    }

    fn seal_timing(&self) -> SealTiming {
        let bounds = self.state.settings().bounds;
        SealTiming {
            window_ms: millis(bounds.usage_window),
            max_delay_ms: millis(bounds.usage_lag.saturating_sub(SEAL_MARGIN)),
        }
    }

    /// Reports the sealed windows that are not reported yet. Returns the pause before the next try
    /// if a report failed.
    async fn report_sealed_windows(&self) -> Option<Duration> {
        let (fencing, windows) = {
            let keeper = self.keeper.borrow();
            let fencing = keeper.may_act(self.state.now(), CALL_BUDGET)?;
            let reported_windows = self.reported_windows.borrow();
            let windows: Vec<SealedWindow> = keeper
                .record()?
                .sealed
                .iter()
                .filter(|sealed| !reported_windows.contains(&sealed.window))
                .cloned()
                .collect();
            (fencing, windows)
        };
        let settings = self.state.settings();
        for sealed in windows {
            // The calls before may have taken the rest of the term.
            if self.keeper.borrow().may_act(self.state.now(), CALL_BUDGET) != Some(fencing) {
                return None;
            }
            let sent = self.reporter.report_usage(
                &settings.node,
                fencing.0,
                sealed.window,
                &sealed.counts,
            );
            let no_response = |_| Err(DutyError::Unreachable(NO_RESPONSE.into()));
            self.keeper.borrow_mut().on_call_sent();
            let answer = timeout(CALL_BUDGET, sent).await.unwrap_or_else(no_response);
            let is_answered = !matches!(answer, Err(DutyError::Unreachable(_)));
            let now = self.state.now();
            self.keeper.borrow_mut().on_call_ended(now, is_answered);
            self.call_ended.notify_waiters();
            match answer {
                Ok(()) => {
                    tracing::info!(event = "usage_reported", window = sealed.window);
                    let mut reported_windows = self.reported_windows.borrow_mut();
                    reported_windows.insert(sealed.window);
                    while reported_windows.len() > 16 {
                        reported_windows.pop_first();
                    }
                }
                Err(DutyError::Fenced) => {
                    tracing::warn!(event = "duty_fenced", fencing = fencing.0);
                    self.keeper.borrow_mut().on_fenced();
                    return None;
                }
                Err(error) => {
                    tracing::warn!(event = "usage_not_reported", window = sealed.window, ?error);
                    return Some(REPORT_RETRY_PAUSE);
                }
            }
        }
        None
    }

    /// Releases the duty on a planned stop, once the report that may be under way has its answer.
    /// Without one, the duty stays claimed until the term expires.
    pub async fn release(&self) {
        self.keeper.borrow_mut().stop();
        let ended = async {
            loop {
                let ended = self.call_ended.notified();
                if !self.keeper.borrow().has_open_call() {
                    return;
                }
                ended.await;
            }
        };
        let has_ended = timeout(CALL_BUDGET, ended).await.is_ok();
        let is_released = has_ended && timeout(RELEASE_TIMEOUT, self.write_release()).await.is_ok();
        if self.is_holder() || !is_released {
            tracing::warn!(
                event = "duty_not_released",
                has_open_call = !has_ended,
                "the duty stays claimed until the term expires"
            );
        }
    }

    async fn write_release(&self) {
        let step = self.keeper.borrow().next_step(self.state.now());
        if let DutyStep::Write { position, record } = step {
            self.write_register(position, record).await;
        }
    }
}
