//! Publishes the address and the usage counts of this process in the store.

use std::rc::Rc;
use std::time::Duration;

use nutmegbay_core::duty::{MemberCounts, WindowCounts};
use tokio::time::sleep;

use super::{MemberRecord, read_members, relay_capacity};
use crate::clock::millis;
use crate::follow::DependencyStatus;
use crate::metrics::increment;
use crate::platform_api::{Store, Topic, WireCodec};
use crate::state::EdgeState;

/// Number of writes per usage window. A killed process loses the counts since its last write.
const WRITES_PER_WINDOW: u32 = 2;

/// Delay from the end of a window until its counts are written, so that they include the requests
/// that started just before the end.
const WINDOW_END_DELAY: Duration = Duration::from_millis(400);

/// Pause between two tries to write while the process stops.
const STOPPING_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Delay added to each write timer, in milliseconds. Timers have a resolution of one millisecond,
/// and a write must not happen just before the end of its interval.
const WRITE_DELAY_MS: u64 = 5;

/// Writes the record of this process for as long as it runs. The counts of earlier incarnations are
/// kept.
pub async fn publish<D: WireCodec, S: Store>(state: Rc<EdgeState<D>>, store: S) {
    let mut store_status = DependencyStatus::new("store_members_write");
    let earlier = read_earlier_counts(&state, &store).await;
    *state.previous_usage.borrow_mut() = Some(earlier);
    // Written record, and the era of the store that has it.
    let mut last = None;
    while let Some(usage) = own_counts(&state) {
        let record = MemberRecord {
            control: state.settings().control,
            domain: state.settings().domain.clone(),
            relay_capacity: relay_capacity(&state.settings()),
            usage,
        };
        let value = match serde_json::to_vec(&record) {
            Ok(value) => value,
            Err(error) => {
                tracing::error!(event = "member_record_not_encoded", %error);
                return;
            }
        };
        if last.as_ref() != Some(&(state.store_era(), value.clone())) {
            state.metrics.count_store_call(Topic::Members);
            match store
                .append(Topic::Members, &state.settings().node, &value, None)
                .await
            {
                Ok(position) => {
                    state.observe_store_era(position.era, Topic::Members.into());
                    store_status.record_success(state.now());
                    last = Some((position.era, value));
                    state.record_written_at.set(state.now());
                    *state.stored_usage.borrow_mut() = (position.era, record.usage.counts);
                }
                Err(error) => {
                    increment(&state.metrics.store_failures);
                    let pause = store_status.record_failure(state.now(), &error);
                    if state.stop.is_cancelled() {
                        sleep(STOPPING_RETRY_PAUSE).await;
                    } else {
                        tokio::select! {
                            () = state.store_backoff(pause) => {}
                            () = state.stop.cancelled() => {}
                        }
                    }
                    continue;
                }
            }
        }
        tokio::select! {
            () = sleep(time_until_next_write(&state)) => {}
            () = state.flush_usage.notified() => {}
        }
    }
}

/// Returns the usage counts of all incarnations of this process, or `None` until those of earlier
/// incarnations have been read.
pub fn own_counts<D: WireCodec>(state: &EdgeState<D>) -> Option<MemberCounts> {
    Some(MemberCounts {
        earlier: state.previous_usage.borrow().clone()?,
        counts: state.usage.borrow().clone(),
        through: last_counted_window(state),
    })
}

async fn read_earlier_counts<D: WireCodec, S: Store>(
    state: &EdgeState<D>,
    store: &S,
) -> WindowCounts {
    let mut store_status = DependencyStatus::new("store_members_read");
    loop {
        match read_members(state, store).await {
            Ok(records) => {
                let own = records.get(&state.settings().node);
                // An earlier incarnation may have counted requests in the window in which this one
                // started.
                return own.map_or_else(Default::default, |own| own.usage.total());
            }
            Err(error) => {
                state
                    .store_backoff(store_status.record_failure(state.now(), &error))
                    .await;
            }
        }
    }
}

/// Returns the last window whose requests have all been counted.
fn last_counted_window<D: WireCodec>(state: &EdgeState<D>) -> u64 {
    let now_ms = state.wall_clock.borrow().now_ms();
    let now_ms = now_ms.saturating_sub(millis(WINDOW_END_DELAY));
    state.usage_window_at(now_ms).saturating_sub(1)
}

fn time_until_next_write<D: WireCodec>(state: &EdgeState<D>) -> Duration {
    let step = state.settings().bounds.usage_window / WRITES_PER_WINDOW;
    let step_ms = millis(step).max(1);
    let now_ms = state.wall_clock.borrow().now_ms();
    let now_ms = now_ms.saturating_sub(millis(WINDOW_END_DELAY));
    Duration::from_millis(step_ms - now_ms % step_ms + WRITE_DELAY_MS)
}
