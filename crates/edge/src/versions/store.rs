//! Keeps the versions of each service in the store: all processes may end at once.
//!
//! Writes are conditional, since one without a response may take effect later.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_core::position::Position;
use nutmegbay_policy::edge::software_versions::{MAX_CALLER_WAIT, StoredVersion};
use nutmegbay_policy::edge::stream_origins::Origin;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use super::Versions;
use crate::clock::millis;
use crate::follow::{DependencyStatus, NewestRecords};
use crate::metrics::increment;
use crate::platform_api::{Store, StoreError, Topic, WireCodec};
use crate::state::EdgeState;

/// Minimum time between two reads of this process for proofs, so that all processes that read the
/// store together read it some hundred times per second.
const PROOF_READ_SPACING: Duration = Duration::from_millis(50);

/// Time between two reads while the store may have lost versions in a restore that others still
/// know.
const CONFIRM_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum pause after a write that another process has preceded, per running process.
const CONFLICT_PAUSE_PER_PROCESS: Duration = Duration::from_millis(10);

/// Versions of one service as stored.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
struct StoredSet {
    /// Era of the store in which the set was written.
    era: u64,
    versions: Vec<StoredVersion>,
    /// Longest time for which a caller has stated to wait, in milliseconds.
    #[serde(default)]
    caller_wait_ms: Option<u64>,
}

/// Contents of the topic as last read, with the writes of this process since.
#[derive(Debug, Default)]
struct StoredSets {
    by_service: HashMap<Box<str>, StoredSet>,
    end: Position,
}

/// Set that has to be written.
struct NextWrite {
    service: Box<str>,
    set: StoredSet,
}

/// Reads the versions when this process lacks those of before its start, and writes them when they
/// change, for as long as the process runs.
pub async fn synchronize<D: WireCodec, S: Store>(state: Rc<EdgeState<D>>, store: S) {
    let mut store_status = DependencyStatus::new("store_versions");
    let mut sets: Option<StoredSets> = None;
    let changed = state.versions.borrow().changed();
    let mut read_at: Option<MonotonicTime> = None;
    loop {
        let known = sets
            .as_ref()
            .filter(|known| known.end.era == state.store_era());
        let write = known.and_then(|known| next_write(&state, known));
        let call = if needs_read(&state, known.is_some()) {
            if let Some(at) = read_at {
                sleep(at.plus(PROOF_READ_SPACING).since(state.now())).await;
            }
            read_at = Some(state.now());
            let read = read(&state, &store).await;
            state.read_done.notify_waiters();
            read.map(|read| sets = Some(read))
        } else if let (Some(NextWrite { service, set }), Some(known)) = (write, &mut sets) {
            let written = append(&state, &store, &service, &set, known.end).await;
            written.map(|end| {
                known.end = end;
                record_written(&state, &service, &set.versions);
                known.by_service.insert(service, set);
                state.read_done.notify_waiters();
            })
        } else {
            changed.notified().await;
            continue;
        };
        match call {
            Ok(()) => {
                store_status.record_success(state.now());
                if needs_earlier(&state) {
                    sleep(CONFIRM_INTERVAL).await;
                }
            }
            Err(error) => {
                // The call may still take effect, or another process has written.
                sets = None;
                if error == StoreError::Conflict {
                    sleep(conflict_pause(&state).mul_f64(rand::random())).await;
                    continue;
                }
                increment(&state.metrics.store_failures);
                state.list_demand.record_failure();
                let pause = store_status.record_failure(state.now(), &error);
                state.store_backoff(pause).await;
            }
        }
    }
}

/// Returns the maximum pause after another process has written. The processes see a change of the
/// list at about the same time.
fn conflict_pause<D: WireCodec>(state: &EdgeState<D>) -> Duration {
    let processes = u32::try_from(state.process_count()).unwrap_or(u32::MAX);
    CONFLICT_PAUSE_PER_PROCESS.saturating_mul(processes)
}

fn needs_earlier<D: WireCodec>(state: &EdgeState<D>) -> bool {
    let versions = state.versions.borrow();
    let mut known = versions.by_service.values();
    known.any(|known| known.history.needs_earlier())
}

/// Returns whether the topic has to be read: for the versions of before the start, or for its end,
/// which the writes of this process depend on.
fn needs_read<D: WireCodec>(state: &EdgeState<D>, is_known: bool) -> bool {
    let versions = state.versions.borrow();
    let has_services = !versions.by_service.is_empty();
    let mut known = versions.by_service.values();
    let writes = !state.is_relayed() || known.any(|known| known.history.is_wanted());
    drop(versions);
    needs_earlier(state)
        || state.versions.borrow().read_wanted.is_some()
        || (!is_known && has_services && writes)
}

/// Returns a set that has to be written. Where another process reads the store for this one, only
/// versions that are wanted at once are.
fn next_write<D: WireCodec>(state: &EdgeState<D>, sets: &StoredSets) -> Option<NextWrite> {
    let now = state.now();
    let era = state.store_era();
    let versions = state.versions.borrow();
    versions.by_service.values().find_map(|known| {
        if state.is_relayed() && !known.history.is_wanted() {
            return None;
        }
        let stored = sets.by_service.get(&known.name);
        let stored = stored.filter(|stored| stored.era == era);
        let stored_wait_ms = stored.and_then(|stored| stored.caller_wait_ms);
        let stored = stored.map_or(&[][..], |stored| &stored.versions);
        let caller_wait_ms = known.bounds.caller_wait.map(millis);
        let is_longer = known.history.is_complete() && caller_wait_ms > stored_wait_ms;
        let replacement = known.history.replacement(stored, known.retention(), now);
        let versions = replacement.or_else(|| is_longer.then(|| known.merged(stored, now)))?;
        Some(NextWrite {
            service: known.name.clone(),
            set: StoredSet {
                era,
                versions,
                caller_wait_ms: caller_wait_ms.max(stored_wait_ms),
            },
        })
    })
}

/// Reads all sets, and records the versions of before the start of this process.
async fn read<D: WireCodec, S: Store>(
    state: &EdgeState<D>,
    store: &S,
) -> Result<StoredSets, StoreError> {
    let as_of = state.now();
    state.versions.borrow_mut().read_wanted = None;
    let newest = NewestRecords::read(state, store, Topic::Versions).await?;
    let end = newest.end.unwrap_or_default();
    let mut by_service = HashMap::new();
    let mut unreadable = HashSet::new();
    for record in newest.records {
        let Some(value) = &record.value else { continue };
        match serde_json::from_slice::<StoredSet>(value) {
            Ok(set) => {
                by_service.insert(record.key, set);
            }
            Err(error) => {
                tracing::warn!(event = "versions_unreadable", service = %record.key, %error);
                unreadable.insert(record.key);
            }
        }
    }
    let now = state.now();
    let mut versions = state.versions.borrow_mut();
    let Versions {
        by_service: known, ..
    } = &mut *versions;
    // A set of an earlier era may lack what was written after the store was copied, and so may the
    // topic.
    let is_current = |set: &StoredSet| set.era == end.era;
    let is_topic_current = by_service.values().all(is_current);
    for known in known.values_mut() {
        let set = by_service.get(&known.name);
        let is_known = !unreadable.contains(&known.name);
        let is_complete = is_known && set.map_or(is_topic_current, is_current);
        let earlier = set.map_or(&[][..], |set| &set.versions);
        let stored_wait = set.and_then(|set| set.caller_wait_ms);
        known.bounds.caller_wait = known
            .bounds
            .caller_wait
            .max(stored_wait.map(|ms| Duration::from_millis(ms).min(MAX_CALLER_WAIT)));
        let retention = known.retention();
        let history = &mut known.history;
        history.record_earlier(earlier, is_complete, as_of, now);
        history.sweep(retention, now);
    }
    Ok(StoredSets { by_service, end })
}

/// Records that this process has written which versions are in use, and tells all others about the
/// new ones: those that do not read the store wait for it.
fn record_written<D: WireCodec>(state: &EdgeState<D>, service: &str, written: &[StoredVersion]) {
    let now = state.now();
    let mut versions = state.versions.borrow_mut();
    let Versions {
        by_service,
        version_news,
        ..
    } = &mut *versions;
    let Some(known) = by_service.get_mut(service) else {
        return;
    };
    let service = known.tag;
    let is_held = |s: &&StoredVersion| known.history.is_held(s.version);
    let taken: Vec<_> = written.iter().filter(is_held).map(|s| s.version).collect();
    known.history.record_written(written);
    for version in taken {
        tracing::info!(
            event = "version_taken_into_use",
            service = %known.name,
            version = version.0,
            observed_ms = millis(known.history.observed_for(now)),
        );
        version_news.record(Origin { service, version }, now);
        state.fleet.borrow().load_changed.notify_one();
    }
}

/// Writes a set if the topic still ends at `end`. Returns the new end.
async fn append<D: WireCodec, S: Store>(
    state: &EdgeState<D>,
    store: &S,
    service: &str,
    set: &StoredSet,
    end: Position,
) -> Result<Position, StoreError> {
    let value = match serde_json::to_vec(set) {
        Ok(value) => value,
        Err(error) => {
            tracing::error!(event = "versions_not_encoded", %error);
            return Ok(end);
        }
    };
    state.metrics.count_store_call(Topic::Versions);
    let at = store
        .append(Topic::Versions, service, &value, Some(end))
        .await?;
    state.observe_store_era(at.era, Topic::Versions.into());
    Ok(at.next())
}
