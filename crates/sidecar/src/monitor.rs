//! Health, load and cache events of the upstream.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use nutmegbay_proto::engine::{CacheEvent, CacheEvents, Load};
use nutmegbay_settings::model::UpstreamKind;
use tokio::net::TcpStream;
use tokio::time::{Duration, Instant, MissedTickBehavior, interval, timeout};

use crate::state::{Shared, lock};
use crate::upstream::AskError;

/// Failed checks in a row after which the upstream counts as gone.
const FAILURES: u32 = 2;

/// Cache events that are kept for gateways that ask late.
const EVENTS_KEPT: usize = 8_192;

/// Latest news of the upstream.
pub(crate) struct Monitor {
    started: Instant,
    /// When work last brought data, in milliseconds since `started`.
    data_at_ms: AtomicU64,
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    /// Load with the moment at which it was read; none before the first read.
    load: Option<(Load, Instant)>,
    failures: u32,
    next_event: u64,
    events: VecDeque<CacheEvent>,
}

impl Monitor {
    pub(crate) fn new() -> Self {
        Self {
            started: Instant::now(),
            data_at_ms: AtomicU64::new(0),
            inner: Mutex::default(),
        }
    }

    /// Notes that the upstream has sent something for its work.
    pub(crate) fn on_data(&self) {
        self.data_at_ms.store(self.now_ms(), Ordering::Relaxed);
    }

    /// Whether the upstream has sent something for its work within `time`.
    fn has_data(&self, time: Duration) -> bool {
        let data_at_ms = self.data_at_ms.load(Ordering::Relaxed);
        let silent_ms = self.now_ms().saturating_sub(data_at_ms);
        Duration::from_millis(silent_ms) < time
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Load as it was `age_ms` ago. A plain service reports none, so its calls are counted here.
    pub(crate) fn load(&self, in_flight: u32) -> Load {
        match &lock(&self.inner).load {
            Some((load, at)) => {
                let since = u64::try_from(at.elapsed().as_millis()).unwrap_or(u64::MAX);
                Load {
                    age_ms: load.age_ms.saturating_add(since),
                    ..load.clone()
                }
            }
            None => Load {
                running: in_flight,
                ..Load::default()
            },
        }
    }

    /// Whether the upstream answers.
    pub(crate) fn is_healthy(&self) -> bool {
        lock(&self.inner).failures < FAILURES
    }

    /// Cache events from `from` on.
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

    fn on_load(&self, load: Load, at: Instant) {
        lock(&self.inner).load = Some((load, at));
    }

    fn on_events(&self, events: CacheEvents) {
        let mut inner = lock(&self.inner);
        if events.next < inner.next_event {
            // The engine has restarted and counts from the beginning; its cache is empty.
            inner.events.clear();
        }
        inner.next_event = events.next;
        inner.events.extend(events.events);
        let excess = inner.events.len().saturating_sub(EVENTS_KEPT);
        inner.events.drain(..excess);
    }

    /// Records a check and returns whether the upstream is newly found to be gone.
    fn on_check(&self, succeeded: bool) -> bool {
        let mut inner = lock(&self.inner);
        if succeeded {
            inner.failures = 0;
            return false;
        }
        inner.failures = inner.failures.saturating_add(1);
        inner.failures == FAILURES
    }
}

/// Checks the upstream for ever.
pub(crate) async fn run(shared: &Shared) {
    let mut ticks = interval(Duration::from_millis(shared.settings.poll_ms));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        shared.gauge_in_flight();
        let succeeded = match shared.settings.kind {
            UpstreamKind::Engine => check_engine(shared).await,
            UpstreamKind::Service => check_service(shared).await,
        };
        if shared.monitor.on_check(succeeded) {
            tracing::warn!(event = "upstream_unhealthy", upstream = %shared.settings.instance);
            shared.count_metric("upstream_unhealthy");
            shared.crashes.unhealthy();
        }
    }
}

async fn check_engine(shared: &Shared) -> bool {
    let at = Instant::now();
    match shared.upstream.get::<Load>("/load").await {
        Ok(load) => shared.monitor.on_load(load, at),
        Err(error) => {
            tracing::debug!(event = "health_check_failed", %error);
            return match error {
                AskError::Unreachable => false,
                // A busy engine may be late with its load while its work goes on.
                AskError::NoAnswer => {
                    let time = Duration::from_millis(shared.settings.probe_timeout_ms);
                    shared.monitor.has_data(time)
                }
                // An engine that answers, even with a refusal, has not crashed.
                AskError::Refused(..) | AskError::Malformed(_) => true,
            };
        }
    }
    let from = shared.monitor.next_event();
    let path = format!("/cache/events?from={from}");
    // Late or missing cache events only cost cache hits.
    match shared.upstream.get::<CacheEvents>(&path).await {
        Ok(events) => shared.monitor.on_events(events),
        Err(error) => tracing::debug!(event = "cache_events_failed", %error),
    }
    true
}

async fn check_service(shared: &Shared) -> bool {
    let limit = Duration::from_millis(shared.settings.probe_timeout_ms);
    let connected = timeout(limit, TcpStream::connect(shared.upstream.addr())).await;
    matches!(connected, Ok(Ok(_)))
}
