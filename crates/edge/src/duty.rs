//! Usage reports: one process at a time fixes the figures of each window and sends them.

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
use tokio::time::{sleep, timeout};

use crate::clock::millis;
use crate::follow::{Link, wait_on};
use crate::members::{self, MemberRecord};
use crate::metrics::count;
use crate::peers::{PeerError, ask_usage};
use crate::platform_api::{DutyError, Store, StoreError, Topic, UsageReporter, WireCodec};
use crate::state::EdgeState;

/// Key of the only record of the topic.
const KEY: &str = "usage";

/// Factor on the operator's least time between turns that makes the length of a term.
const TERM_FACTOR: u32 = 2;

/// Renewals in one term.
const RENEWALS_PER_TERM: u32 = 3;

/// Time that a call of the duty may take; a call starts only if the term covers it.
const CALL_BUDGET: Duration = Duration::from_millis(1_500);

/// Time before a report is due at which its window is sealed although counts are missing.
const SEAL_BEFORE_DUE: Duration = Duration::from_secs(1);

/// Time after the end of a window from which missing counts are asked for: usually they are in the
/// store by then.
const ASK_AFTER: Duration = Duration::from_millis(1_200);

/// Time between two tries to send a report.
const REPORT_PAUSE: Duration = Duration::from_millis(700);

/// Longest time between two looks at what is due.
const LONGEST_WAIT: Duration = Duration::from_secs(1);

/// Pause of a process that does not hold the duties between two reads of the register, for each
/// process that runs. Each renewal would otherwise end a waiting read of every process.
const FOLLOW_PAUSE: Duration = Duration::from_millis(80);

/// Longest such pause: it delays a claim after the loss of the holder.
const LONGEST_FOLLOW_PAUSE: Duration = Duration::from_millis(2_500);

/// Processes that follow the register closely, the first ones by name. One of them takes the duties
/// over unless all are lost at once.
const CLOSE_FOLLOWERS: usize = 5;

/// Part of a term that the others pause between two reads of the register. A process that has not
/// read for a whole term would take the holder for lost.
const FAR_FOLLOW_PART: f64 = 0.8;

/// Longest wait of a read of the register.
const READ_WAIT: Duration = Duration::from_secs(10);

/// Time for giving back the duties on a planned stop.
const RELEASE_TIME: Duration = Duration::from_millis(500);

/// Length of a term.
fn term<D: WireCodec>(state: &EdgeState<D>) -> Duration {
    state.settings().bounds.lease * TERM_FACTOR
}

/// Keeps the duty for one process.
pub struct Duty<D, S, R> {
    state: Rc<EdgeState<D>>,
    store: S,
    reports: R,
    keeper: RefCell<DutyKeeper>,
    reported: RefCell<BTreeSet<u64>>,
    absent: RefCell<FailureDetector>,
}

impl<D: WireCodec, S: Store, R: UsageReporter> Duty<D, S, R> {
    /// Duty of a process that has read nothing yet.
    pub fn new(state: Rc<EdgeState<D>>, store: S, reports: R) -> Self {
        let ttl = term(&state);
        let terms = LeaseTiming {
            ttl,
            renew_every: ttl / RENEWALS_PER_TERM,
            ..LeaseTiming::default()
        };
        let incarnation = Incarnation(rand::random());
        let keeper = DutyKeeper::new(&state.settings().node, incarnation, terms);
        Self {
            state,
            store,
            reports,
            keeper: keeper.into(),
            reported: RefCell::default(),
            absent: RefCell::default(),
        }
    }

    /// Follows the register for as long as the process runs.
    pub async fn follow(&self) {
        let mut link = Link::new("store_duty");
        let mut next = None;
        loop {
            if !self.is_holder() {
                self.state.wait_for_direct_reads().await;
            }
            match wait_on(&self.state, &self.store, Topic::Duty, next, READ_WAIT).await {
                Ok((records, end)) => {
                    link.works(self.state.now());
                    if next != Some(end) {
                        self.read(
                            records.last().and_then(|record| record.value.as_deref()),
                            end,
                        );
                    }
                    next = Some(end);
                    if !self.is_holder() {
                        sleep(self.follow_pause()).await;
                    }
                }
                Err(StoreError::Expired) => next = None,
                Err(error) => {
                    count(&self.state.metrics.store_failures);
                    let pause = link.fails(self.state.now(), &error);
                    self.state.store_backoff(pause).await;
                }
            }
        }
    }

    /// Pause of a process that does not hold the duties.
    fn follow_pause(&self) -> Duration {
        if self.state.member_rank() >= CLOSE_FOLLOWERS {
            return term(&self.state).mul_f64(FAR_FOLLOW_PART);
        }
        let instances = u32::try_from(self.state.process_count()).unwrap_or(u32::MAX);
        let pause = FOLLOW_PAUSE.saturating_mul(instances);
        pause.min(LONGEST_FOLLOW_PAUSE)
    }

    fn is_holder(&self) -> bool {
        let keeper = self.keeper.borrow();
        keeper.may_act(self.state.now(), Duration::ZERO).is_some()
    }

    fn read(&self, value: Option<&[u8]>, end: u64) {
        let record: Option<DutyRecord> = match value.map(serde_json::from_slice).transpose() {
            Ok(record) => record,
            Err(error) => {
                tracing::error!(event = "duty_record_unreadable", end, %error);
                return;
            }
        };
        let mut keeper = self.keeper.borrow_mut();
        let before = keeper.record().map(|record| record.fencing);
        if let Some(record) = &record
            && before != Some(record.fencing)
        {
            tracing::info!(
                event = "duty_holder",
                holder = %record.holder,
                fencing = record.fencing.0,
                offset = end,
            );
        }
        keeper.on_read(self.state.now(), record, end);
    }

    /// Claims, renews, seals and reports for as long as the process runs.
    pub async fn run(&self) {
        loop {
            self.state.wall_clock.borrow_mut().update(self.state.now());
            let wait = self.look().await;
            sleep(wait.min(LONGEST_WAIT).max(Duration::from_millis(20))).await;
        }
    }

    async fn look(&self) -> Duration {
        if self.state.is_relayed() && !self.is_holder() {
            // The register is not followed meanwhile.
            return LONGEST_WAIT;
        }
        let step = self.keeper.borrow().next_step(self.state.now());
        let mut wait = match step {
            DutyStep::Wait(wait) => wait,
            DutyStep::Write { position, record } => self.write(position, record).await,
        };
        while let Some(window) = self.window_to_seal() {
            if !self.seal(window).await {
                let now_ms = self.state.wall_clock.borrow().now_ms();
                let latest = self.seal_terms().ms_until_latest(window, now_ms);
                // Overdue windows are tried at the usual pace.
                if latest > 0 {
                    wait = wait.min(Duration::from_millis(latest));
                }
                break;
            }
        }
        self.report().await.map_or(wait, |pause| pause.min(wait))
    }

    /// Writes the register and returns how long to wait.
    async fn write(&self, at: u64, record: DutyRecord) -> Duration {
        let Ok(value) = serde_json::to_vec(&record) else {
            tracing::error!(event = "duty_record_not_encoded");
            return LONGEST_WAIT;
        };
        self.keeper.borrow_mut().on_write_sent(self.state.now(), at);
        self.state.metrics.store_call(Topic::Duty);
        let condition = Some(at);
        match self.store.append(Topic::Duty, KEY, &value, condition).await {
            Ok(offset) => {
                self.read(Some(&value), offset + 1);
                Duration::ZERO
            }
            // Another process was first, or an earlier write took effect: the follower reads it.
            Err(error) => {
                tracing::debug!(event = "duty_write_failed", at, ?error);
                LONGEST_WAIT
            }
        }
    }

    /// Window that is over and not yet sealed.
    fn window_to_seal(&self) -> Option<u64> {
        let keeper = self.keeper.borrow();
        keeper.may_act(self.state.now(), CALL_BUDGET)?;
        let now_ms = self.state.wall_clock.borrow().now_ms();
        let newest = self.state.usage_window_at(now_ms).checked_sub(1)?;
        // The reports of older windows are overdue.
        let terms = self.seal_terms();
        let oldest = newest.saturating_sub(terms.max_delay_ms.div_ceil(terms.window_ms.max(1)));
        let sealed = keeper.record()?.sealed.last().map(|last| last.window);
        // Not the newest where none is sealed: while it is not counted yet, it would move on.
        let next = sealed.map_or(oldest, |sealed| (sealed + 1).max(oldest));
        (next <= newest).then_some(next)
    }

    /// Seals a window and returns whether that worked.
    async fn seal(&self, window: u64) -> bool {
        let mut records = match members::read(&self.state, &self.store).await {
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
        let missing = self.ask_missing(window, &mut records).await;
        let is_complete = missing == 0 && !SealTiming::lacks_counts(window, &own);
        let now_ms = self.state.wall_clock.borrow().now_ms();
        if !self.seal_terms().is_due(window, now_ms, is_complete) {
            return false;
        }
        let usage = records.values().map(|record| &record.usage);
        let sealed = sum_counts(window, usage.chain([&own]));
        let step = self
            .keeper
            .borrow()
            .seal(self.state.now(), CALL_BUDGET, sealed);
        if let Some(DutyStep::Write { position, record }) = step {
            let total: u64 = record
                .sealed
                .last()
                .map_or(0, |sealed| sealed.counts.values().sum());
            tracing::info!(
                event = "usage_sealed",
                window,
                total,
                members = records.len() + 1,
                missing
            );
            self.write(position, record).await;
        }
        let keeper = self.keeper.borrow();
        let sealed = keeper.record().and_then(|record| record.sealed.last());
        sealed.is_some_and(|sealed| sealed.window >= window)
    }

    /// Asks the processes whose counts of a window are not in the store for them, and returns how many
    /// are still missing. Processes that have been out of reach for long are not waited for.
    async fn ask_missing(
        &self,
        window: u64,
        records: &mut BTreeMap<Box<str>, MemberRecord>,
    ) -> usize {
        let now = self.state.now();
        let lacking: Vec<_> = records
            .iter_mut()
            .filter(|(name, record)| {
                let lacks = SealTiming::lacks_counts(window, &record.usage);
                lacks && !self.absent.borrow().is_considered_failed(name, now)
            })
            .collect();
        let now_ms = self.state.wall_clock.borrow().now_ms();
        if now_ms < self.seal_terms().end_ms(window) + millis(ASK_AFTER) {
            return lacking.len();
        }
        let asked = lacking
            .into_iter()
            .map(|(name, record)| self.ask_one(window, name, record));
        let answers = join_all(asked).await;
        answers.iter().filter(|is_counted| !**is_counted).count()
    }

    /// Asks a process for its counts of a window, and returns whether they are there.
    async fn ask_one(&self, window: u64, name: &str, record: &mut MemberRecord) -> bool {
        let Some(control) = record.control else {
            return false;
        };
        let answer = ask_usage(control).await;
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
                self.absent
                    .borrow_mut()
                    .record_failure(name, self.state.now());
            }
            _ => self.absent.borrow_mut().record_response(name),
        }
        match answer {
            Ok(counts) if counts.through >= record.usage.through => {
                record.usage = counts;
                !SealTiming::lacks_counts(window, &record.usage)
            }
            Ok(_) | Err(_) => false,
        }
    }

    fn seal_terms(&self) -> SealTiming {
        let bounds = self.state.settings().bounds;
        SealTiming {
            window_ms: millis(bounds.usage_window),
            max_delay_ms: millis(bounds.usage_lag.saturating_sub(SEAL_BEFORE_DUE)),
        }
    }

    /// Sends what is sealed and not reported. Returns a pause if something is left.
    async fn report(&self) -> Option<Duration> {
        let (fencing, windows) = {
            let keeper = self.keeper.borrow();
            let fencing = keeper.may_act(self.state.now(), CALL_BUDGET)?;
            let reported = self.reported.borrow();
            let windows: Vec<SealedWindow> = keeper
                .record()?
                .sealed
                .iter()
                .filter(|sealed| !reported.contains(&sealed.window))
                .cloned()
                .collect();
            (fencing, windows)
        };
        let settings = self.state.settings();
        for sealed in windows {
            let sent =
                self.reports
                    .report_usage(&settings.node, fencing.0, sealed.window, &sealed.counts);
            match sent.await {
                Ok(()) => {
                    tracing::info!(event = "usage_reported", window = sealed.window);
                    let mut reported = self.reported.borrow_mut();
                    reported.insert(sealed.window);
                    while reported.len() > 16 {
                        reported.pop_first();
                    }
                }
                Err(DutyError::Fenced) => {
                    tracing::warn!(event = "duty_fenced", fencing = fencing.0);
                    self.keeper.borrow_mut().on_fenced();
                    return None;
                }
                Err(error) => {
                    tracing::warn!(event = "usage_not_reported", window = sealed.window, ?error);
                    return Some(REPORT_PAUSE);
                }
            }
        }
        None
    }

    /// Gives the duties back on a planned stop.
    pub async fn stop(&self) {
        self.keeper.borrow_mut().stop();
        let step = self.keeper.borrow().next_step(self.state.now());
        if let DutyStep::Write { position, record } = step
            && timeout(RELEASE_TIME, self.write(position, record))
                .await
                .is_err()
        {
            tracing::warn!(event = "duty_not_released", "the term ends by itself");
        }
    }
}
