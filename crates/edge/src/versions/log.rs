//! Keeps the origins of open streams in the store while several versions are in use: all processes
//! may end at once. Processes that read the store write for the others too.

use std::rc::Rc;
use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_core::position::Position;
use nutmegbay_policy::edge::origin_log::{READ_SPACING, write_interval};
use nutmegbay_policy::edge::software_versions::VersionTag;
use nutmegbay_policy::edge::stream_origins::{
    AgedOrigins, AttemptTag, Origin, OriginNews, ServiceTag,
};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use super::replicate::{merge, send_to_relay};
use super::{Versions, attempt_tag};
use crate::clock::millis;
use crate::follow::DependencyStatus;
use crate::forward::RoutedRequest;
use crate::metrics::increment;
use crate::platform_api::{Store, StoreError, Topic, WireCodec};
use crate::state::EdgeState;

/// Digits of an attempt in a record.
const ATTEMPT_DIGITS: usize = 16;

/// Maximum number of calls of one read. A page contains some 60,000 origins.
const MAX_PAGES: usize = 16;

/// Streams with one origin as stored.
#[derive(Debug, Serialize, Deserialize)]
struct StoredOrigins {
    service: ServiceTag,
    version: VersionTag,
    /// Attempts as hexadecimal numbers without separators.
    attempts: Box<str>,
}

impl StoredOrigins {
    fn new(news: &OriginNews) -> Self {
        let Origin { service, version } = news.origin;
        let attempts = news.streams().map(|AttemptTag(n)| format!("{n:016x}"));
        Self {
            service,
            version,
            attempts: attempts.collect::<String>().into(),
        }
    }

    fn into_news(self) -> OriginNews {
        let Self {
            service,
            version,
            attempts,
        } = self;
        let digits = attempts.as_bytes().chunks_exact(ATTEMPT_DIGITS);
        let attempts = digits.filter_map(|digits| {
            let text = std::str::from_utf8(digits).ok()?;
            u64::from_str_radix(text, 16).ok().map(AttemptTag)
        });
        OriginNews::new(Origin { service, version }, attempts)
    }
}

/// Records that the caller of a stream has got it whole, but for what the kernel still delivers.
pub fn record_complete<D: WireCodec>(state: &EdgeState<D>, request: &RoutedRequest) {
    let mut versions = state.versions.borrow_mut();
    for attempt in request.stream_attempts().map(attempt_tag) {
        versions.unwritten.record_complete(attempt);
        versions.origins.record_complete(attempt);
    }
}

/// Writes origins, or sends them to the relay of this process, for as long as it runs.
pub async fn write<D: WireCodec, S: Store>(state: Rc<EdgeState<D>>, store: S) {
    let mut store_status = DependencyStatus::new("store_origins");
    loop {
        sleep(interval(&state)).await;
        let origins = state.versions.borrow_mut().take_unwritten();
        if origins.is_empty() {
            continue;
        }
        let relay = state.relay_follower.borrow().relay();
        if let Some(relay) = relay.filter(|_| state.is_relayed()) {
            send_to_relay(&state, relay.ip(), origins);
            continue;
        }
        match append(&state, &store, &origins).await {
            Ok(()) => {
                store_status.record_success(state.now());
            }
            Err(error) => {
                let now = state.now();
                state
                    .versions
                    .borrow_mut()
                    .unwritten
                    .record_all(&origins, now);
                increment(&state.metrics.store_failures);
                let pause = store_status.record_failure(now, &error);
                state.store_backoff(pause).await;
            }
        }
    }
}

fn interval<D: WireCodec>(state: &EdgeState<D>) -> Duration {
    let members = state.members.borrow();
    let relays = members.relays(&state.settings().node, state.now());
    write_interval(relays.others.len() + 1)
}

async fn append<D: WireCodec, S: Store>(
    state: &EdgeState<D>,
    store: &S,
    origins: &[OriginNews],
) -> Result<(), StoreError> {
    let records: Vec<_> = origins.iter().map(StoredOrigins::new).collect();
    let Ok(value) = serde_json::to_vec(&records) else {
        tracing::error!(event = "origins_not_encoded");
        return Ok(());
    };
    state.metrics.count_store_call(Topic::Origins);
    let node = Box::clone(&state.settings().node);
    let at = store.append(Topic::Origins, &node, &value, None).await?;
    state.observe_store_era(at.era, Topic::Origins.into());
    Ok(())
}

impl Versions {
    /// Takes the origins that are to be written now.
    fn take_unwritten(&mut self) -> Vec<OriginNews> {
        let services = self.by_service.values();
        let mixed: Vec<_> = services
            .filter(|known| known.history.has_several())
            .map(|known| known.tag)
            .collect();
        self.unwritten.take(|service| mixed.contains(&service))
    }
}

/// Reads of the origins that are stored.
#[derive(Debug, Default)]
pub struct OriginReads {
    /// Position up to which they are known.
    next: Position,
    /// Start of the last read.
    read_at: Option<MonotonicTime>,
}

/// Reads origins when a stream is taken up that nobody knows, for as long as the process runs.
pub async fn read_on_demand<D: WireCodec, S: Store>(state: Rc<EdgeState<D>>, store: S) {
    let demand = Rc::clone(&state.versions.borrow().origins_wanted);
    let mut reads = OriginReads::default();
    loop {
        demand.notified().await;
        if let Some(at) = reads.read_at {
            sleep(at.plus(READ_SPACING).since(state.now())).await;
        }
        let began = state.now();
        reads.read_at = Some(began);
        match read(&state, &store, &mut reads).await {
            Ok(known) => {
                tracing::info!(
                    event = "origins_read",
                    read = known,
                    next = reads.next.offset,
                    took_ms = millis(state.now().since(began)),
                );
            }
            Err(error) => {
                tracing::warn!(event = "origins_not_read", %error);
                increment(&state.metrics.store_failures);
            }
        }
        state.versions.borrow_mut().origins_read_at = Some(began);
        state.read_done.notify_waiters();
    }
}

/// Reads what the store has gained since the last read. Returns the number of records.
async fn read<D: WireCodec, S: Store>(
    state: &EdgeState<D>,
    store: &S,
    reads: &mut OriginReads,
) -> Result<usize, StoreError> {
    if reads.next.era != state.store_era() {
        // Offsets are assigned again after a restore.
        reads.next = Position::default();
    }
    let mut count = 0;
    for _ in 0..MAX_PAGES {
        state.metrics.count_store_call(Topic::Origins);
        let batch = store.retained(Topic::Origins, reads.next).await?;
        state.check_store_era(batch.next.era, Topic::Origins)?;
        if batch.records.is_empty() {
            reads.next = batch.next;
            break;
        }
        count += batch.records.len();
        for record in &batch.records {
            let Some(value) = &record.value else { continue };
            match serde_json::from_slice::<Vec<StoredOrigins>>(value) {
                Ok(stored) => {
                    let copies = stored.into_iter().map(|stored| AgedOrigins {
                        age_s: 0,
                        news: stored.into_news(),
                    });
                    merge(state, &copies.collect::<Vec<_>>());
                }
                Err(error) => tracing::warn!(event = "origins_unreadable", %error),
            }
        }
        reads.next = batch.next;
    }
    Ok(count)
}

/// Waits until the origins in the store were read after `since`, `timeout` at most. Returns at once
/// in a process that does not read the store, or while only one version is known.
pub async fn confirm_origins<D: WireCodec>(
    state: &EdgeState<D>,
    service: ServiceTag,
    since: MonotonicTime,
    timeout: Duration,
) {
    let (demand, has_several) = {
        let mut versions = state.versions.borrow_mut();
        let known = versions.tagged(service);
        let has_several = known.is_some_and(|known| known.history.has_several());
        (Rc::clone(&versions.origins_wanted), has_several)
    };
    if state.is_relayed() || !has_several {
        return;
    }
    let is_read = || state.versions.borrow().origins_read_at >= Some(since);
    let until = state.now().plus(timeout);
    state
        .wait_for_read(until, is_read, || demand.notify_one())
        .await;
}
