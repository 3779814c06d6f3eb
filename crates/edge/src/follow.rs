//! Follows the operator's configuration and the list of instances.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use tokio::time::sleep;

use crate::clock::millis;
use crate::crashes;
use crate::metrics::count;
use crate::model::KeyedRecord;
use crate::platform_api::{CONFIG_KEY, Store, StoreError, Topic, WireCodec};
use crate::settings::Bounds;
use crate::state::EdgeState;

/// Part of the operator's bound for a configuration that one read of it waits at most. A waiting
/// read may hear nothing any more while all other calls work, so that only its end shows it; the
/// rest of the bound covers the wait for an answer after it and one more read.
const CONFIG_WAIT_PART: f64 = 0.6;

/// Part of the operator's bound for a leaving upstream that lies between two reads of the list of
/// instances. The rest covers a read that fails, and each read is priced.
const INSTANCES_PART: f64 = 0.42;

/// First pause after a failed read; doubles up to [`LONGEST_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause between tries while the store is away.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// Whether a dependency answers, logged when it changes.
#[derive(Debug)]
pub struct Link {
    name: &'static str,
    failing_since: Option<MonotonicTime>,
    pause: Duration,
}

impl Link {
    /// A dependency that has not failed yet.
    pub fn new(name: &'static str) -> Self {
        Self {
            name,
            failing_since: None,
            pause: FIRST_PAUSE,
        }
    }

    /// Notes an answer and returns for how long there had been none, if calls failed before it.
    pub fn works(&mut self, now: MonotonicTime) -> Option<Duration> {
        self.pause = FIRST_PAUSE;
        let away = now.since(self.failing_since.take()?);
        let away_ms = millis(away);
        tracing::info!(event = "dependency_regained", name = self.name, away_ms);
        Some(away)
    }

    /// Notes a failure and returns how long to wait before the next try.
    pub fn fails(&mut self, now: MonotonicTime, error: &StoreError) -> Duration {
        if self.failing_since.is_none() {
            self.failing_since = Some(now);
            tracing::warn!(event = "dependency_lost", name = self.name, ?error);
        }
        let pause = self.pause;
        self.pause = (pause * 2).min(LONGEST_PAUSE);
        pause
    }
}

/// The newest record of each key of a topic, read page by page. What was read stays when a page fails:
/// where all processes start at once, the store is busy for longer than one call may take.
#[derive(Debug, Default)]
pub struct Listing {
    /// Records of the pages that were read.
    pub records: Vec<KeyedRecord>,
    /// End of the topic when the first page was read. Later pages may hold newer records; reading on
    /// from the first end repeats them.
    pub end: Option<u64>,
}

impl Listing {
    /// Reads one more page. Returns its records and whether more follow.
    pub async fn read_page<D: WireCodec, S: Store>(
        &mut self,
        state: &EdgeState<D>,
        store: &S,
        topic: Topic,
    ) -> Result<(&[KeyedRecord], bool), StoreError> {
        state.metrics.store_call(topic);
        let last = self.records.last().map(|record| &*record.key);
        let page = store.newest(topic, last).await?;
        self.end.get_or_insert(page.end);
        let known = self.records.len();
        let has_more = page.has_more && !page.records.is_empty();
        self.records.extend(page.records);
        Ok((&self.records[known..], has_more))
    }

    /// Reads all pages.
    pub async fn read<D: WireCodec, S: Store>(
        state: &EdgeState<D>,
        store: &S,
        topic: Topic,
    ) -> Result<Self, StoreError> {
        let mut listing = Self::default();
        while listing.read_page(state, store, topic).await?.1 {}
        Ok(listing)
    }
}

/// Reads what comes after `next` in a topic, or the newest record of each key where nothing was read
/// yet. Returns the records and where to go on.
async fn read_on<D: WireCodec, S: Store>(
    state: &EdgeState<D>,
    store: &S,
    topic: Topic,
    next: Option<u64>,
    wait: Duration,
) -> Result<(Vec<KeyedRecord>, u64), StoreError> {
    match next {
        None => {
            let listing = Listing::read(state, store, topic).await?;
            Ok((listing.records, listing.end.unwrap_or(0)))
        }
        Some(from) => {
            state.metrics.store_call(topic);
            let batch = store.read(topic, from, wait).await?;
            Ok((batch.records, batch.next))
        }
    }
}

/// Reads on and waits up to `wait` for a record. A wait starts anew whenever the store is doubted.
pub async fn wait_on<D: WireCodec, S: Store>(
    state: &EdgeState<D>,
    store: &S,
    topic: Topic,
    next: Option<u64>,
    wait: Duration,
) -> Result<(Vec<KeyedRecord>, u64), StoreError> {
    loop {
        tokio::select! {
            read = read_on(state, store, topic, next, wait) => return read,
            () = state.store_call_failed.notified(), if next.is_some() => {}
        }
    }
}

/// Follows the configuration in the store for as long as the process runs, while no other one tells
/// of it.
pub async fn config<D: WireCodec, S: Store>(state: Rc<EdgeState<D>>, store: S) {
    let mut link = Link::new("store_config");
    loop {
        // Without any configuration the process serves nothing, and one record is read soon.
        if state.version().is_some() {
            state.wait_for_direct_reads().await;
        }
        let wait = config_wait(&state.settings().bounds);
        let next = state.known_records.borrow().config_next;
        let began = state.now();
        match wait_on(&state, &store, Topic::Config, next, wait).await {
            Ok((records, end)) => {
                let now = state.now();
                link.works(now);
                for record in &records {
                    take_config(&state, record, "store");
                }
                let mut known_records = state.known_records.borrow_mut();
                known_records.config_next = Some(end);
                // A read that ends without a record was answered after its whole wait.
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
                count(&state.metrics.store_failures);
                sleep(link.fails(state.now(), &error)).await;
            }
        }
    }
}

/// Longest wait of one read of the configuration.
pub fn config_wait(bounds: &Bounds) -> Duration {
    bounds.apply.mul_f64(CONFIG_WAIT_PART)
}

/// Time between two reads of the list of instances.
pub fn instances_pause(bounds: &Bounds) -> Duration {
    bounds.drain.mul_f64(INSTANCES_PART)
}

/// Puts a record of the configuration in force, wherever it was read.
pub fn take_config<D: WireCodec>(state: &EdgeState<D>, record: &KeyedRecord, source: &'static str) {
    let (true, Some(value)) = (*record.key == *CONFIG_KEY, &record.value) else {
        return;
    };
    match state.codec.decode_config(value) {
        Ok(config) => {
            state.apply_config(config, source);
            state.known_records.borrow_mut().keep_config(record);
        }
        Err(error) => tracing::error!(
            event = "config_unreadable",
            offset = record.offset,
            error = %error.0,
            "the version before stays in force"
        ),
    }
}

/// Follows the list of instances in the store for as long as the process runs, while no other one
/// tells of it.
pub async fn instances<D: WireCodec, S: Store>(state: Rc<EdgeState<D>>, store: S) {
    let mut link = Link::new("store_instances");
    let mut listing = Listing::default();
    loop {
        state.wait_for_direct_reads().await;
        let began = state.now();
        let next = state.known_records.borrow().instances_next;
        let read = match next {
            Some(from) => read_changes(&state, &store, &mut link, from).await,
            None => read_list(&state, &store, &mut link, &mut listing).await,
        };
        match read {
            Ok(end) => {
                {
                    let mut known_records = state.known_records.borrow_mut();
                    known_records.instances_next = Some(end);
                    known_records.instances_at = Some(began);
                    known_records.reads.instances += 1;
                }
                state.read_done.notify_waiters();
                after_instances(&state);
                sleep(instances_pause(&state.settings().bounds)).await;
            }
            Err(StoreError::Expired) => state.known_records.borrow_mut().instances_next = None,
            Err(error) => {
                count(&state.metrics.store_failures);
                state.set_store_available(false);
                state.store_call_failed.notify_waiters();
                sleep(link.fails(state.now(), &error)).await;
            }
        }
    }
}

/// Follows what has changed in the list of instances since `from`. Returns where to go on.
async fn read_changes<D: WireCodec, S: Store>(
    state: &EdgeState<D>,
    store: &S,
    link: &mut Link,
    from: u64,
) -> Result<u64, StoreError> {
    state.metrics.store_call(Topic::Instances);
    let batch = store.read(Topic::Instances, from, Duration::ZERO).await?;
    let lapsing_until = instances_answered(state, link);
    for record in batch.records {
        take_instance(state, record, lapsing_until);
    }
    Ok(batch.next)
}

/// Reads the list of instances from where `listing` ends. Each page is used as soon as it comes. Returns
/// where to go on after the whole list.
async fn read_list<D: WireCodec, S: Store>(
    state: &EdgeState<D>,
    store: &S,
    link: &mut Link,
    listing: &mut Listing,
) -> Result<u64, StoreError> {
    let mut lapsing_until = None;
    loop {
        let is_first = listing.end.is_none();
        let (records, has_more) = listing.read_page(state, store, Topic::Instances).await?;
        if is_first {
            lapsing_until = instances_answered(state, link);
        } else {
            link.works(state.now());
        }
        for record in records {
            take_instance(state, record.clone(), lapsing_until);
        }
        if !has_more {
            break;
        }
    }
    let listing = std::mem::take(listing);
    let end = listing.end.unwrap_or(0);
    drop_unlisted(state, &listing.records, end, lapsing_until);
    state.known_records.borrow_mut().record_full_read(end);
    Ok(end)
}

/// Notes that the store answered about the list of instances. Returns until when entries that are gone
/// count as lapsed.
fn instances_answered<D: WireCodec>(
    state: &EdgeState<D>,
    link: &mut Link,
) -> Option<MonotonicTime> {
    let now = state.now();
    state.set_store_available(true);
    let mut expiry_grace = state.expiry_grace.borrow_mut();
    expiry_grace.record_list(now, link.works(now));
    expiry_grace.usable_until(now)
}

/// Follows up on a list of instances, wherever it was read.
pub fn after_instances<D: WireCodec>(state: &Rc<EdgeState<D>>) {
    let now = state.now();
    state.fleet.borrow_mut().sweep(now);
    state.known_records.borrow_mut().sweep(now);
    crashes::share(state);
}

/// Follows a record of the list. An entry that is removed may have lapsed because the store was
/// away: its upstream is used until `lapsing_until`, if given.
pub fn take_instance<D: WireCodec>(
    state: &EdgeState<D>,
    record: KeyedRecord,
    lapsing_until: Option<MonotonicTime>,
) {
    if state.known_records.borrow().has_instance(&record) {
        return;
    }
    let mut fleet = state.fleet.borrow_mut();
    let is_change = match &record.value {
        Some(value) => match state.codec.decode_instance(value) {
            Ok(report) => fleet.apply_report(&record.key, report),
            Err(error) => {
                tracing::debug!(event = "instance_unreadable", id = %record.key, error = %error.0);
                fleet.remove(&record.key, "unreadable entry")
            }
        },
        None => {
            match lapsing_until {
                Some(until) => fleet.start_expiry_grace(&record.key, until),
                None => {
                    fleet.remove(&record.key, "entry removed");
                }
            }
            true
        }
    };
    drop(fleet);
    let now = state.now();
    let mut known_records = state.known_records.borrow_mut();
    known_records.keep_instance(record, is_change, now);
}

/// Takes upstreams that the whole list up to `end` does not name as removed.
pub fn drop_unlisted<D: WireCodec>(
    state: &EdgeState<D>,
    listed: &[KeyedRecord],
    end: u64,
    lapsing_until: Option<MonotonicTime>,
) {
    let listed: HashSet<&str> = listed.iter().map(|record| &*record.key).collect();
    let ids = state.fleet.borrow().ids();
    for id in ids {
        if listed.contains(&*id) {
            continue;
        }
        let removal = KeyedRecord {
            offset: end.saturating_sub(1),
            key: id,
            value: None,
        };
        take_instance(state, removal, lapsing_until);
    }
}
