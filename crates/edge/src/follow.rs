//! Reads the operator's configuration and the list of instances from the store, and applies their
//! changes.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_core::position::Position;
use nutmegbay_policy::edge::entry_age::EntryAge;
use tokio::time::sleep;

use crate::clock::millis;
use crate::crashes;
use crate::metrics::increment;
use crate::model::KeyedRecord;
use crate::platform_api::{CONFIG_KEY, ReadBatch, Store, StoreError, Topic, WireCodec};
use crate::settings::Bounds;
use crate::state::EdgeState;
use crate::versions;

/// Maximum wait of one read of the configuration, as a fraction of [`Bounds::apply`]. A waiting
/// read may never get its response although all other calls succeed, which shows only when the wait
/// ends. The rest of the bound covers the wait for a response after that and one more read.
const CONFIG_WAIT_FRACTION: f64 = 0.6;

/// Time between two reads of the list of instances, as a fraction of [`Bounds::drain`]. The rest of
/// the bound covers a read that fails. A larger fraction saves reads, each of which has a cost.
const INSTANCES_INTERVAL_FRACTION: f64 = 0.42;

/// Pause after the first failed read. It doubles with each further failure, up to
/// [`MAX_RETRY_PAUSE`].
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Maximum pause between reads while the store is unavailable.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(800);

/// Availability of a dependency. Logs each change and provides the pause between retries.
#[derive(Debug)]
pub struct DependencyStatus {
    name: &'static str,
    failing_since: Option<MonotonicTime>,
    pause: Duration,
}

impl DependencyStatus {
    /// Creates the status of a dependency that has not failed. `name` is its name in the log.
    pub fn new(name: &'static str) -> Self {
        Self {
            name,
            failing_since: None,
            pause: MIN_RETRY_PAUSE,
        }
    }

    /// Records a successful call. Returns the duration of the outage that it ends, or `None` if the
    /// previous call succeeded.
    pub fn record_success(&mut self, now: MonotonicTime) -> Option<Duration> {
        self.pause = MIN_RETRY_PAUSE;
        let outage = now.since(self.failing_since.take()?);
        let away_ms = millis(outage);
        tracing::info!(event = "dependency_regained", name = self.name, away_ms);
        Some(outage)
    }

    /// Records a failed call. Returns the pause before the next try.
    pub fn record_failure(&mut self, now: MonotonicTime, error: &StoreError) -> Duration {
        if self.failing_since.is_none() {
            self.failing_since = Some(now);
            tracing::warn!(event = "dependency_lost", name = self.name, ?error);
        }
        let pause = self.pause;
        self.pause = (pause * 2).min(MAX_RETRY_PAUSE);
        pause
    }
}

/// Newest record of each key of a topic, read page by page. Pages already read are kept when a
/// later page fails: when all processes start at the same time, the store stays overloaded for
/// longer than the timeout of one call.
#[derive(Debug, Default)]
pub struct NewestRecords {
    /// Records of the pages read so far.
    pub records: Vec<KeyedRecord>,
    /// End of the topic when the first page was read. Later pages may contain newer records;
    /// reading on from this position repeats them.
    pub end: Option<Position>,
    /// Key after which the next page is read.
    after: Option<Box<str>>,
    /// Whether a page named no key after which the next one could be read.
    is_cut: bool,
}

impl NewestRecords {
    /// Reads the next page. Returns its records and whether more pages follow.
    pub async fn read_page<D: WireCodec, S: Store>(
        &mut self,
        state: &EdgeState<D>,
        store: &S,
        topic: Topic,
    ) -> Result<(&[KeyedRecord], bool), StoreError> {
        state.metrics.count_store_call(topic);
        let page = store.newest(topic, self.after.as_deref()).await?;
        state.check_store_era(page.end.era, topic)?;
        if self.end.is_some_and(|end| end.era != page.end.era) {
            // The pages before were read in an earlier era.
            *self = Self::default();
            return Err(StoreError::Expired);
        }
        self.end.get_or_insert(page.end);
        let has_next = page.last_key.is_some() && self.has_not_read(page.last_key.as_deref());
        if page.has_more && !has_next {
            tracing::warn!(event = "list_cut", %topic, after = self.after.as_deref());
            self.is_cut = true;
        }
        self.after = page.last_key;
        let known = self.records.len();
        self.records.extend(page.records);
        Ok((&self.records[known..], page.has_more && has_next))
    }

    /// Returns whether no page before ended with or contained `key`.
    fn has_not_read(&self, key: Option<&str>) -> bool {
        let mut keys = self.records.iter().map(|record| Some(&*record.key));
        self.after.as_deref() != key && keys.all(|known| known != key)
    }

    /// Reads all pages.
    pub async fn read<D: WireCodec, S: Store>(
        state: &EdgeState<D>,
        store: &S,
        topic: Topic,
    ) -> Result<Self, StoreError> {
        let mut newest = Self::default();
        while newest.read_page(state, store, topic).await?.1 {}
        Ok(newest)
    }
}

/// Reads the records of a topic from `next` on, or the newest record of each key if `next`
/// is `None`. Returns the records and the position to read from next.
async fn read_topic<D: WireCodec, S: Store>(
    state: &EdgeState<D>,
    store: &S,
    topic: Topic,
    next: Option<Position>,
    wait: Duration,
) -> Result<(Vec<KeyedRecord>, Position), StoreError> {
    match next {
        None => {
            let newest = NewestRecords::read(state, store, topic).await?;
            Ok((newest.records, newest.end.unwrap_or_default()))
        }
        Some(from) => {
            let batch = read_batch(state, store, topic, from, wait).await?;
            Ok((batch.records, batch.next))
        }
    }
}

/// Reads the records of a topic from `from` on. Fails with [`StoreError::Expired`] if the store was
/// restored since that position was read.
async fn read_batch<D: WireCodec, S: Store>(
    state: &EdgeState<D>,
    store: &S,
    topic: Topic,
    from: Position,
    wait: Duration,
) -> Result<ReadBatch, StoreError> {
    state.metrics.count_store_call(topic);
    let batch = store.read(topic, from, wait).await?;
    state.check_store_era(batch.next.era, topic)?;
    if batch.next.era != from.era {
        return Err(StoreError::Expired);
    }
    Ok(batch)
}

/// Reads a topic as [`read_topic`] does and waits up to `wait` for a record. A read from an offset
/// is restarted whenever another store call fails, since its own response may have been lost.
pub async fn poll_topic<D: WireCodec, S: Store>(
    state: &EdgeState<D>,
    store: &S,
    topic: Topic,
    next: Option<Position>,
    wait: Duration,
) -> Result<(Vec<KeyedRecord>, Position), StoreError> {
    loop {
        // Offsets of an earlier era are assigned again.
        let next = next.filter(|next| next.era == state.store_era());
        tokio::select! {
            read = read_topic(state, store, topic, next, wait) => return read,
            () = state.store_call_failed.notified(), if next.is_some() => {}
        }
    }
}

/// Reads the configuration from the store for as long as the process runs, except while a relay
/// sends its changes.
pub async fn follow_config<D: WireCodec, S: Store>(state: Rc<EdgeState<D>>, store: S) {
    let mut store_status = DependencyStatus::new("store_config");
    loop {
        // Without a configuration the process cannot serve, and a single record is quick to read.
        if state.version().is_some() {
            state.wait_for_direct_reads().await;
        }
        let wait = max_config_wait(&state.settings().bounds);
        let next = state.known_records.borrow().config_next;
        let began = state.now();
        match poll_topic(&state, &store, Topic::Config, next, wait).await {
            Ok((records, end)) => {
                let now = state.now();
                store_status.record_success(now);
                for record in &records {
                    apply_config_record(&state, record, "store");
                }
                let mut known_records = state.known_records.borrow_mut();
                known_records.config_next = Some(end);
                // A read that returns no record got its response after the whole wait.
                let waited = if records.is_empty() && next.is_some() {
                    now.since(began).min(wait)
                } else {
                    Duration::ZERO
                };
                known_records.config_at = Some(began.plus(waited));
                known_records.reads.config += 1;
                state.read_done.notify_waiters();
            }
            Err(StoreError::Expired) => state.known_records.borrow_mut().config_next = None,
            Err(error) => {
                increment(&state.metrics.store_failures);
                sleep(store_status.record_failure(state.now(), &error)).await;
            }
        }
    }
}

/// Returns the maximum wait of one read of the configuration.
pub fn max_config_wait(bounds: &Bounds) -> Duration {
    bounds.apply.mul_f64(CONFIG_WAIT_FRACTION)
}

/// Returns the time between two reads of the list of instances.
pub fn instances_read_interval(bounds: &Bounds) -> Duration {
    bounds.drain.mul_f64(INSTANCES_INTERVAL_FRACTION)
}

/// Puts the configuration in `record` in force, unless the record is of another key, malformed, or
/// older than the configuration in force. `source` names its origin in the log.
pub fn apply_config_record<D: WireCodec>(
    state: &EdgeState<D>,
    record: &KeyedRecord,
    source: &'static str,
) {
    let (true, Some(value)) = (*record.key == *CONFIG_KEY, &record.value) else {
        return;
    };
    match state.codec.decode_config(value) {
        Ok(config) => {
            let in_force = state.version();
            // A store that was restored from a copy may return an earlier version.
            let is_outdated = in_force.is_some_and(|in_force| config.version < in_force);
            if is_outdated {
                tracing::info!(
                    event = "config_outdated",
                    version = config.version,
                    in_force,
                    era = record.position.era,
                    offset = record.position.offset,
                    source,
                );
            }
            let has_list = state.known_records.borrow().instances_next.is_some();
            if state.apply_config(config, source) && has_list {
                // The list was read before the configuration named its services.
                versions::record_listed(state);
            }
            let mut known_records = state.known_records.borrow_mut();
            known_records.keep_config(record, is_outdated);
        }
        Err(error) => tracing::error!(
            event = "config_unreadable",
            offset = record.position.offset,
            error = %error.0,
            "the previous version stays in force"
        ),
    }
}

/// Reads the list of instances from the store for as long as the process runs, except while a relay
/// sends its changes.
pub async fn follow_instances<D: WireCodec, S: Store>(state: Rc<EdgeState<D>>, store: S) {
    let mut store_status = DependencyStatus::new("store_instances");
    let mut newest = NewestRecords::default();
    loop {
        tokio::select! {
            () = state.wait_for_direct_reads() => {}
            () = state.wait_for_list_demand() => {}
        }
        let began = state.now();
        let next = state.known_records.borrow().instances_next;
        let next = next.filter(|next| next.era == state.store_era());
        let read = match next {
            Some(from) => read_instance_changes(&state, &store, &mut store_status, from).await,
            None => read_instance_list(&state, &store, &mut store_status, &mut newest).await,
        };
        match read {
            Ok(end) => {
                {
                    let mut known_records = state.known_records.borrow_mut();
                    known_records.instances_next = Some(end);
                    known_records.instances_at = Some(began);
                    known_records.instances_read_at = Some(began);
                    known_records.reads.instances += 1;
                }
                state.read_done.notify_waiters();
                finish_instances_update(&state);
                tokio::select! {
                    () = sleep(instances_read_interval(&state.settings().bounds)) => {}
                    () = state.wait_for_list_demand() => {}
                }
            }
            Err(StoreError::Expired) => {
                state.known_records.borrow_mut().instances_next = None;
                versions::record_list_gap(&state);
            }
            Err(error) => {
                increment(&state.metrics.store_failures);
                state.expiry_grace.borrow_mut().record_failure(began);
                state.set_store_available(false);
                state.list_demand.record_failure();
                state.store_call_failed.notify_waiters();
                sleep(store_status.record_failure(state.now(), &error)).await;
            }
        }
    }
}

/// Reads and applies the changes of the list of instances from `from` on. Returns the position to
/// read from next.
async fn read_instance_changes<D: WireCodec, S: Store>(
    state: &EdgeState<D>,
    store: &S,
    store_status: &mut DependencyStatus,
    from: Position,
) -> Result<Position, StoreError> {
    let batch = read_batch(state, store, Topic::Instances, from, Duration::ZERO).await?;
    let grace_until = record_instances_response(state, store_status);
    for record in batch.records {
        apply_instance_record(state, record, grace_until);
    }
    Ok(batch.next)
}

/// Reads the rest of the list of instances after the pages in `newest`. Each page is applied as
/// soon as it is read. Returns the position to read from after the whole list.
async fn read_instance_list<D: WireCodec, S: Store>(
    state: &EdgeState<D>,
    store: &S,
    store_status: &mut DependencyStatus,
    newest: &mut NewestRecords,
) -> Result<Position, StoreError> {
    let mut grace_until = None;
    loop {
        let is_first = newest.end.is_none();
        let (records, has_more) = newest.read_page(state, store, Topic::Instances).await?;
        if is_first {
            grace_until = record_instances_response(state, store_status);
        } else {
            store_status.record_success(state.now());
        }
        for record in records {
            apply_instance_record(state, record.clone(), grace_until);
        }
        if !has_more {
            break;
        }
    }
    let newest = std::mem::take(newest);
    let end = newest.end.unwrap_or_default();
    if !newest.is_cut {
        remove_unlisted(state, &newest.records, end, grace_until);
        state.known_records.borrow_mut().record_full_read(end);
    }
    Ok(end)
}

/// Records that a read of the list of instances succeeded. Returns the end of the grace period for
/// entries that expired during an outage.
fn record_instances_response<D: WireCodec>(
    state: &EdgeState<D>,
    store_status: &mut DependencyStatus,
) -> Option<MonotonicTime> {
    let now = state.now();
    state.set_store_available(true);
    let is_restored = state
        .known_records
        .borrow_mut()
        .record_list_era(state.store_era());
    let outage = store_status.record_success(now);
    let contact = state.settings().bounds.contact;
    let mut expiry_grace = state.expiry_grace.borrow_mut();
    expiry_grace.record_list(now, outage, is_restored, contact);
    expiry_grace.usable_until(now)
}

/// Drops expired state and counts crashes. To be called after each update of the list of
/// instances.
pub fn finish_instances_update<D: WireCodec>(state: &Rc<EdgeState<D>>) {
    let now = state.now();
    state.share_limits();
    state.fleet.borrow_mut().sweep(now);
    state.known_records.borrow_mut().sweep(now);
    crashes::record_ended_upstreams(state);
    versions::record_listed(state);
}

/// Applies a record of the list of instances unless it is outdated. A removed entry may have expired
/// because the store was unavailable: if `grace_until` is given, its upstream is used until then.
pub fn apply_instance_record<D: WireCodec>(
    state: &EdgeState<D>,
    record: KeyedRecord,
    grace_until: Option<MonotonicTime>,
) {
    if state.known_records.borrow().has_instance(&record) {
        return;
    }
    if let Some(report) = state.fleet.borrow().report(&record.key) {
        // The version was in use until this record, however long ago the list was last read.
        versions::record_entry(state, &report.service, &report.version);
    }
    let mut fleet = state.fleet.borrow_mut();
    let mut age = EntryAge::default();
    let now = state.now();
    let is_change = match &record.value {
        Some(value) => match state.codec.decode_instance(value) {
            Ok(entry) => {
                age = entry.age();
                if state.known_records.borrow_mut().is_outdated(&record, age) {
                    tracing::info!(
                        event = "instance_outdated",
                        id = %record.key,
                        ready = entry.report.is_ready,
                        heartbeat = entry.heartbeat,
                        era = record.position.era,
                        offset = record.position.offset,
                    );
                    return;
                }
                let report = &entry.report;
                versions::record_entry(state, &report.service, &report.version);
                fleet.apply_report(&record.key, entry.report, now)
            }
            Err(error) => {
                tracing::debug!(event = "instance_unreadable", id = %record.key, error = %error.0);
                fleet.remove(&record.key, "unreadable entry", now)
            }
        },
        None => {
            match grace_until {
                Some(until) => fleet.start_expiry_grace(&record.key, until),
                None => {
                    fleet.remove(&record.key, "entry removed", now);
                }
            }
            true
        }
    };
    drop(fleet);
    let mut known_records = state.known_records.borrow_mut();
    known_records.keep_instance(record, age, is_change, now);
}

/// Removes the upstreams that are not in `listed`, which is the whole list up to `end`.
pub fn remove_unlisted<D: WireCodec>(
    state: &EdgeState<D>,
    listed: &[KeyedRecord],
    end: Position,
    grace_until: Option<MonotonicTime>,
) {
    let listed: HashSet<&str> = listed.iter().map(|record| &*record.key).collect();
    let ids = state.fleet.borrow().ids();
    for id in ids {
        if listed.contains(&*id) {
            continue;
        }
        let removal = KeyedRecord {
            position: Position::new(end.era, end.offset.saturating_sub(1)),
            key: id,
            value: None,
        };
        apply_instance_record(state, removal, grace_until);
    }
}
