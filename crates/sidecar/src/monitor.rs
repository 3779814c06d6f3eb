//! Polls health, load and cache events of the upstream.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use nutmegbay_proto::engine::{CacheEvent, CacheEvents, Load};
use nutmegbay_settings::model::UpstreamKind;
use tokio::net::TcpStream;
use tokio::time::{Duration, Instant, MissedTickBehavior, interval, timeout};

use crate::state::{SharedState, lock};
use crate::upstream::UpstreamError;

/// Consecutive failed checks after which the upstream is considered failed.
const UNHEALTHY_AFTER_FAILURES: u32 = 2;

/// Maximum number of cache events that are kept for gateways that lag behind.
const EVENTS_KEPT: usize = 8_192;

/// Latest health, load and cache events of the upstream.
pub(crate) struct UpstreamMonitor {
    created_at: Instant,
    /// Time of the latest data from the upstream for its work, in milliseconds since `created_at`.
    last_data_at_ms: AtomicU64,
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    /// Load and the start of the read that returned it, `None` before the first read.
    load: Option<(Load, Instant)>,
    /// Consecutive failed checks.
    failures: u32,
    /// Sequence number after the last event.
    next_event: u64,
    events: VecDeque<CacheEvent>,
}

impl UpstreamMonitor {
    pub(crate) fn new() -> Self {
        Self {
            created_at: Instant::now(),
            last_data_at_ms: AtomicU64::new(0),
            inner: Mutex::default(),
        }
    }

    /// Records that the upstream has sent data for its work.
    pub(crate) fn record_data(&self) {
        self.last_data_at_ms.store(self.now_ms(), Ordering::Relaxed);
    }

    /// Returns whether the upstream has sent data for its work within the last `period`.
    fn has_sent_data_within(&self, period: Duration) -> bool {
        let last_data_at_ms = self.last_data_at_ms.load(Ordering::Relaxed);
        let elapsed_ms = self.now_ms().saturating_sub(last_data_at_ms);
        Duration::from_millis(elapsed_ms) < period
    }

    /// Returns the milliseconds since `created_at`.
    fn now_ms(&self) -> u64 {
        u64::try_from(self.created_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns the latest load with its current age. A plain service reports no load, so the calls
    /// in flight are returned as running.
    pub(crate) fn load(&self, in_flight: u32) -> Load {
        match &lock(&self.inner).load {
            Some((load, read_at)) => {
                let elapsed_ms = u64::try_from(read_at.elapsed().as_millis()).unwrap_or(u64::MAX);
                Load {
                    age_ms: load.age_ms.saturating_add(elapsed_ms),
                    ..load.clone()
                }
            }
            None => Load {
                running: in_flight,
                ..Load::default()
            },
        }
    }

    /// Returns whether fewer than [`UNHEALTHY_AFTER_FAILURES`] consecutive checks have failed.
    pub(crate) fn is_healthy(&self) -> bool {
        lock(&self.inner).failures < UNHEALTHY_AFTER_FAILURES
    }

    /// Returns the cache events with sequence numbers from `from` on.
    pub(crate) fn events(&self, from: u64) -> CacheEvents {
        let inner = lock(&self.inner);
        CacheEvents {
            next: inner.next_event,
            events: inner
                .events
                .iter()
                .filter(|event| event.seq >= from)
                .cloned()
                .collect(),
        }
    }

    fn next_event(&self) -> u64 {
        lock(&self.inner).next_event
    }

    fn record_load(&self, load: Load, read_at: Instant) {
        lock(&self.inner).load = Some((load, read_at));
    }

    fn record_events(&self, events: CacheEvents) {
        let mut inner = lock(&self.inner);
        if events.next < inner.next_event {
            // The engine has restarted: its sequence numbers start over and its cache is empty.
            inner.events.clear();
        }
        inner.next_event = events.next;
        inner.events.extend(events.events);
        let excess = inner.events.len().saturating_sub(EVENTS_KEPT);
        inner.events.drain(..excess);
    }

    /// Records the result of a check and returns whether the upstream is considered failed from
    /// this check on.
    fn record_check(&self, succeeded: bool) -> bool {
        let mut inner = lock(&self.inner);
        if succeeded {
            inner.failures = 0;
            return false;
        }
        inner.failures = inner.failures.saturating_add(1);
        inner.failures == UNHEALTHY_AFTER_FAILURES
    }
}

/// Polls the upstream until the future is dropped.
pub(crate) async fn run(shared: &SharedState) {
    let mut ticks = interval(Duration::from_millis(shared.settings.poll_ms));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        shared.gauge_in_flight();
        let succeeded = match shared.settings.kind {
            UpstreamKind::Engine => check_engine(shared).await,
            UpstreamKind::Service => check_service(shared).await,
        };
        if shared.monitor.record_check(succeeded) {
            tracing::warn!(event = "upstream_unhealthy", upstream = %shared.settings.instance);
            shared.increment_metric("upstream_unhealthy");
            shared.crashes.record_failed_health_check();
        }
    }
}

/// Reads load and cache events of the engine and returns whether the check succeeded.
async fn check_engine(shared: &SharedState) -> bool {
    let read_at = Instant::now();
    match shared.upstream.get::<Load>("/load").await {
        Ok(load) => shared.monitor.record_load(load, read_at),
        Err(error) => {
            tracing::debug!(event = "health_check_failed", %error);
            return match error {
                UpstreamError::Unreachable => false,
                // A busy engine may answer late while its work continues.
                UpstreamError::NoAnswer => {
                    let period = Duration::from_millis(shared.settings.probe_timeout_ms);
                    shared.monitor.has_sent_data_within(period)
                }
                // An engine that answers has not crashed, whatever the answer.
                UpstreamError::Refused(..) | UpstreamError::Malformed(_) => true,
            };
        }
    }
    let from = shared.monitor.next_event();
    let path = format!("/cache/events?from={from}");
    // Late or missing cache events only reduce the hit rate of the prefix cache.
    match shared.upstream.get::<CacheEvents>(&path).await {
        Ok(events) => shared.monitor.record_events(events),
        Err(error) => tracing::debug!(event = "cache_events_failed", %error),
    }
    true
}

/// Connects to the service and returns whether that succeeded in time.
async fn check_service(shared: &SharedState) -> bool {
    let probe_timeout = Duration::from_millis(shared.settings.probe_timeout_ms);
    let connected = timeout(probe_timeout, TcpStream::connect(shared.upstream.addr())).await;
    matches!(connected, Ok(Ok(_)))
}
