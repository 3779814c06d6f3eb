//! Keeps the crashed runs of this process in the store, and reads those of the others. Peers that
//! this process cannot reach may still reach the store, and all processes may end at once.

use std::rc::Rc;
use std::time::Duration;

use nutmegbay_core::crashes::{CrashReport, ReportSource};
use tokio::time::sleep;

use super::merge;
use crate::follow::{DependencyStatus, NewestRecords, poll_topic};
use crate::metrics::increment;
use crate::model::KeyedRecord;
use crate::platform_api::{Store, StoreError, Topic, WireCodec};
use crate::state::EdgeState;

/// Maximum wait of one read for a new record.
const MAX_READ_WAIT: Duration = Duration::from_secs(10);

/// Minimum time between two writes, per running process. After a crash that affects them all, the
/// processes together make 100 calls per second.
const WRITE_SPACING_PER_PROCESS: Duration = Duration::from_millis(10);

/// Reads what other processes have written, for as long as the process runs, except while a relay
/// sends their reports.
pub async fn follow<D: WireCodec, S: Store>(state: Rc<EdgeState<D>>, store: S) {
    let mut store_status = DependencyStatus::new("store_crashes");
    let mut next = None;
    loop {
        state.wait_for_direct_reads().await;
        match poll_topic(&state, &store, Topic::Crashes, next, MAX_READ_WAIT).await {
            Ok((records, end)) => {
                store_status.record_success(state.now());
                merge_records(&state, &records);
                next = Some(end);
            }
            Err(StoreError::Expired) => next = None,
            Err(error) => {
                increment(&state.metrics.store_failures);
                let pause = store_status.record_failure(state.now(), &error);
                state.store_backoff(pause).await;
            }
        }
    }
}

/// Writes the runs of this process whenever they are evidence against some content, for as long as
/// the process runs.
pub async fn publish<D: WireCodec, S: Store>(state: Rc<EdgeState<D>>, store: S) {
    let mut store_status = DependencyStatus::new("store_crashes_write");
    let mut has_read = false;
    // Written report, and the era of the store that has it.
    let mut written: Option<(u64, CrashReport)> = None;
    loop {
        let report = state.crashes.borrow().own_report();
        let era = state.store_era();
        let is_stored = written
            .as_ref()
            .is_some_and(|(in_era, written)| *in_era == era && *written == report);
        if report.is_empty() || is_stored {
            state.crashes_changed.notified().await;
            if state.store_era() != era {
                // All processes have lost their records at the same time.
                sleep(write_spacing(&state).mul_f64(rand::random())).await;
            }
            continue;
        }
        // The record replaces the one of the previous incarnation of this process.
        let call = if has_read {
            let era = write(&state, &store, &report).await;
            era.map(|era| written = Some((era, report)))
        } else {
            read_all(&state, &store).await
        };
        match call {
            Ok(()) => {
                store_status.record_success(state.now());
                has_read = true;
                sleep(write_spacing(&state)).await;
            }
            Err(error) => {
                increment(&state.metrics.store_failures);
                let pause = store_status.record_failure(state.now(), &error);
                state.store_backoff(pause).await;
            }
        }
    }
}

/// Returns the minimum time between two writes of this process.
fn write_spacing<D: WireCodec>(state: &EdgeState<D>) -> Duration {
    let processes = u32::try_from(state.process_count()).unwrap_or(u32::MAX);
    WRITE_SPACING_PER_PROCESS.saturating_mul(processes)
}

/// Writes the runs of this process. Returns the era of the store that has them.
async fn write<D: WireCodec, S: Store>(
    state: &EdgeState<D>,
    store: &S,
    report: &CrashReport,
) -> Result<u64, StoreError> {
    let value = match serde_json::to_vec(report) {
        Ok(value) => value,
        Err(error) => {
            tracing::error!(event = "crashes_not_encoded", %error);
            return Ok(state.store_era());
        }
    };
    state.metrics.count_store_call(Topic::Crashes);
    let node = &state.settings().node;
    let position = store.append(Topic::Crashes, node, &value, None).await?;
    state.observe_store_era(position.era, Topic::Crashes.into());
    Ok(position.era)
}

async fn read_all<D: WireCodec, S: Store>(
    state: &EdgeState<D>,
    store: &S,
) -> Result<(), StoreError> {
    let newest = NewestRecords::read(state, store, Topic::Crashes).await?;
    merge_records(state, &newest.records);
    Ok(())
}

fn merge_records<D: WireCodec>(state: &EdgeState<D>, records: &[KeyedRecord]) {
    let node = &state.settings().node;
    for record in records {
        let Some(value) = &record.value else { continue };
        let source = if record.key == *node {
            ReportSource::Own
        } else {
            ReportSource::Unshared
        };
        match serde_json::from_slice(value) {
            Ok(report) => merge(state, &report, source),
            Err(error) => {
                tracing::warn!(event = "crashes_unreadable", member = %record.key, %error);
            }
        }
    }
}
