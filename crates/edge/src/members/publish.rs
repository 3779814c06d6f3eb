//! A process publishes its address and its usage counts in the store.

use std::rc::Rc;
use std::time::Duration;

use nutmegbay_core::duty::{MemberCounts, WindowCounts};
use tokio::time::sleep;

use super::{MemberRecord, read, strength};
use crate::clock::millis;
use crate::follow::Link;
use crate::metrics::count;
use crate::platform_api::{Store, Topic, WireCodec};
use crate::state::EdgeState;

/// Writes in one usage window. A killed process loses the counts since its last write.
const WRITES_PER_WINDOW: u32 = 2;

/// Time after the end of a window at which its counts are written, so that requests that began
/// just before it are in.
const AFTER_WINDOW: Duration = Duration::from_millis(400);

/// Pause between two tries to write while the process stops.
const LAST_PAUSE: Duration = Duration::from_millis(100);

/// Timers fire to the millisecond; a write must not come just before the end of its step.
const WRITE_MARGIN_MS: u64 = 5;

/// Writes this process's record for as long as it runs. Counts of the life before are kept.
pub async fn publish<D: WireCodec, S: Store>(state: Rc<EdgeState<D>>, store: S) {
    let mut link = Link::new("store_members_write");
    let earlier = earlier_counts(&state, &store).await;
    *state.previous_usage.borrow_mut() = Some(earlier);
    let mut last = None;
    while let Some(usage) = own_counts(&state) {
        let record = MemberRecord {
            control: state.settings().control,
            domain: state.settings().domain.clone(),
            strength: strength(&state.settings()),
            usage,
        };
        let value = match serde_json::to_vec(&record) {
            Ok(value) => value,
            Err(error) => {
                tracing::error!(event = "member_record_not_encoded", %error);
                return;
            }
        };
        if last.as_ref() != Some(&value) {
            state.metrics.store_call(Topic::Members);
            match store
                .append(Topic::Members, &state.settings().node, &value, None)
                .await
            {
                Ok(_) => {
                    link.works(state.now());
                    last = Some(value);
                    *state.stored_usage.borrow_mut() = record.usage.counts;
                }
                Err(error) => {
                    count(&state.metrics.store_failures);
                    let pause = link.fails(state.now(), &error);
                    if state.stop.is_cancelled() {
                        sleep(LAST_PAUSE).await;
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
            () = sleep(until_next_write(&state)) => {}
            () = state.flush_usage.notified() => {}
        }
    }
}

/// Usage counts of all lives of this process; none until the earlier ones are known.
pub fn own_counts<D: WireCodec>(state: &EdgeState<D>) -> Option<MemberCounts> {
    Some(MemberCounts {
        earlier: state.previous_usage.borrow().clone()?,
        counts: state.usage.borrow().clone(),
        through: through(state),
    })
}

async fn earlier_counts<D: WireCodec, S: Store>(state: &EdgeState<D>, store: &S) -> WindowCounts {
    let mut link = Link::new("store_members_read");
    loop {
        match read(state, store).await {
            Ok(records) => {
                let own = records.get(&state.settings().node);
                // A life before may have counted in the window of this one's start.
                return own.map_or_else(Default::default, |own| own.usage.total());
            }
            Err(error) => state.store_backoff(link.fails(state.now(), &error)).await,
        }
    }
}

/// Last window whose requests have all been counted.
fn through<D: WireCodec>(state: &EdgeState<D>) -> u64 {
    let now_ms = state.wall_clock.borrow().now_ms();
    let now_ms = now_ms.saturating_sub(millis(AFTER_WINDOW));
    state.usage_window_at(now_ms).saturating_sub(1)
}

fn until_next_write<D: WireCodec>(state: &EdgeState<D>) -> Duration {
    let step = state.settings().bounds.usage_window / WRITES_PER_WINDOW;
    let step_ms = millis(step).max(1);
    let now_ms = state.wall_clock.borrow().now_ms();
    let now_ms = now_ms.saturating_sub(millis(AFTER_WINDOW));
    Duration::from_millis(step_ms - now_ms % step_ms + WRITE_MARGIN_MS)
}
