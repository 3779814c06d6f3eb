//! Counters and latency histograms, in the Prometheus text format.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use crate::platform_api::Topic;

/// Upper bounds of the latency buckets, in milliseconds.
const BUCKETS_MS: [u32; 12] = [
    5, 10, 20, 50, 100, 150, 200, 500, 1_000, 2_000, 5_000, 15_000,
];

/// Maximum number of series per metric. A site has a few dozen.
const MAX_SERIES: usize = 1_024;

/// Route, HTTP status and cause of a request that has ended.
type RequestOutcome = (Box<str>, u16, &'static str);

/// Counters and histograms of one process.
#[derive(Debug, Default)]
pub struct Metrics {
    requests: RefCell<BTreeMap<RequestOutcome, u64>>,
    first_result: RefCell<BTreeMap<Box<str>, Histogram>>,
    /// Connections opened to upstreams.
    pub connections_opened: Cell<u64>,
    /// Requests sent again.
    pub retries: Cell<u64>,
    /// Store calls by topic.
    store_calls: RefCell<BTreeMap<&'static str, u64>>,
    /// Store calls that failed.
    pub store_failures: Cell<u64>,
    /// Callers that disconnected before their response was complete.
    pub callers_left: Cell<u64>,
    /// Streams that were resumed at another upstream.
    pub streams_resumed: Cell<u64>,
    /// Requests refused because they are beyond their account's part.
    pub refused_beyond_part: Cell<u64>,
    /// Load digests sent to other instances.
    pub digests_sent: Cell<u64>,
    /// Datagrams about the origins of streams alone.
    pub origin_datagrams_sent: Cell<u64>,
}

#[derive(Debug, Default)]
struct Histogram {
    buckets: [u64; BUCKETS_MS.len()],
    count: u64,
    sum_ms: f64,
}

/// Adds one to a counter.
pub fn increment(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

impl Metrics {
    /// Counts a request that ended with `status` for `cause`.
    pub fn count_request(&self, route: &str, status: u16, cause: &'static str) {
        let mut requests = self.requests.borrow_mut();
        if requests.len() < MAX_SERIES {
            *requests.entry((route.into(), status, cause)).or_default() += 1;
        }
    }

    /// Counts a store call.
    pub fn count_store_call(&self, topic: Topic) {
        *self
            .store_calls
            .borrow_mut()
            .entry(topic.into())
            .or_default() += 1;
    }

    /// Records the time from the arrival of a request to its first result.
    pub fn record_first_result(&self, route: &str, after: Duration) {
        let mut series = self.first_result.borrow_mut();
        if !series.contains_key(route) {
            if series.len() >= MAX_SERIES {
                return;
            }
            series.insert(route.into(), Histogram::default());
        }
        if let Some(histogram) = series.get_mut(route) {
            histogram.record(after.as_secs_f64() * 1e3);
        }
    }

    /// Returns all metrics, one per line, after `gauges`, which are pairs of name and value.
    pub fn render(&self, gauges: &[(&str, u64)], dropped_lines: u64) -> String {
        let mut text = String::new();
        for (name, value) in gauges {
            let _ = writeln!(text, "nutmegbay_{name} {value}");
        }
        for ((route, status, cause), n) in &*self.requests.borrow() {
            let _ = writeln!(
                text,
                "nutmegbay_requests_total{{route=\"{route}\",status=\"{status}\",cause=\"{cause}\"}} {n}"
            );
        }
        for (route, histogram) in &*self.first_result.borrow() {
            histogram.write(&mut text, route);
        }
        for (topic, n) in &*self.store_calls.borrow() {
            let _ = writeln!(text, "nutmegbay_store_calls_total{{topic=\"{topic}\"}} {n}");
        }
        let counters = [
            ("connections_opened", self.connections_opened.get()),
            ("retries", self.retries.get()),
            ("store_failures", self.store_failures.get()),
            ("callers_left", self.callers_left.get()),
            ("streams_resumed", self.streams_resumed.get()),
            ("refused_beyond_part", self.refused_beyond_part.get()),
            ("digests_sent", self.digests_sent.get()),
            ("origin_datagrams_sent", self.origin_datagrams_sent.get()),
            ("log_lines_dropped", dropped_lines),
        ];
        for (name, value) in counters {
            let _ = writeln!(text, "nutmegbay_{name}_total {value}");
        }
        text
    }
}

impl Histogram {
    fn record(&mut self, ms: f64) {
        for (bound, n) in BUCKETS_MS.iter().zip(&mut self.buckets) {
            if ms <= f64::from(*bound) {
                *n += 1;
            }
        }
        self.count += 1;
        self.sum_ms += ms;
    }

    fn write(&self, text: &mut String, route: &str) {
        const NAME: &str = "nutmegbay_first_result_ms";
        for (bound, n) in BUCKETS_MS.iter().zip(&self.buckets) {
            let _ = writeln!(
                text,
                "{NAME}_bucket{{route=\"{route}\",le=\"{bound}\"}} {n}"
            );
        }
        let _ = writeln!(
            text,
            "{NAME}_bucket{{route=\"{route}\",le=\"+Inf\"}} {0}\n{NAME}_count{{route=\"{route}\"}} {0}\n{NAME}_sum{{route=\"{route}\"}} {1:.1}",
            self.count, self.sum_ms
        );
    }
}
