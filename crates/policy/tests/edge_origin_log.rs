//! Guards against origins that are written to the store in vain, too often or not at all.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_policy::edge::origin_log::{UnwrittenOrigins, write_interval};
use nutmegbay_policy::edge::relay::relay_count;
use nutmegbay_policy::edge::software_versions::VersionTag;
use nutmegbay_policy::edge::stream_origins::{AttemptTag, Origin, OriginNews, ServiceTag};

const MIXED: ServiceTag = ServiceTag(1);

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(Duration::from_millis(ms))
}

fn origin(service: ServiceTag) -> Origin {
    Origin {
        service,
        version: VersionTag(3),
    }
}

fn take(unwritten: &mut UnwrittenOrigins) -> Vec<AttemptTag> {
    let taken = unwritten.take(|service| service == MIXED);
    let mut attempts: Vec<_> = taken.iter().flat_map(OriginNews::streams).collect();
    attempts.sort_unstable();
    attempts
}

/// Short streams are not written, nor those of services with one version.
#[test]
fn open_streams() {
    let mut unwritten = UnwrittenOrigins::default();
    for attempt in [1, 2] {
        unwritten.record(AttemptTag(attempt), origin(MIXED), at(0));
    }
    unwritten.record(AttemptTag(3), origin(ServiceTag(2)), at(0));
    unwritten.record_complete(AttemptTag(1));
    assert_eq!(take(&mut unwritten), [AttemptTag(2)]);
    assert_eq!(take(&mut unwritten), []);
    assert_eq!(unwritten.len(), 1);
}

/// A second version appears while a stream is open.
#[test]
fn later_version() {
    let mut unwritten = UnwrittenOrigins::default();
    unwritten.record(AttemptTag(1), origin(MIXED), at(0));
    assert!(unwritten.take(|_| false).is_empty());
    assert_eq!(take(&mut unwritten), [AttemptTag(1)]);
}

/// A write fails.
#[test]
fn failed_write() {
    let mut unwritten = UnwrittenOrigins::default();
    unwritten.record(AttemptTag(1), origin(MIXED), at(0));
    let failed = unwritten.take(|_| true);
    unwritten.record_all(&failed, at(500));
    assert_eq!(take(&mut unwritten), [AttemptTag(1)]);
}

/// Streams whose callers never come back, and more of them than can be written, must not take more
/// and more memory.
#[test]
fn bounded_memory() {
    let mut unwritten = UnwrittenOrigins::default();
    for attempt in 0..100_000 {
        unwritten.record(AttemptTag(attempt), origin(MIXED), at(0));
    }
    assert!(unwritten.len() < 70_000);
    let first = take(&mut unwritten).len();
    assert!((1..10_000).contains(&first), "{first}");
    unwritten.sweep(Duration::from_secs(20), at(20_000));
    assert!(unwritten.is_empty());
}

/// Many instances write.
#[test]
fn rate_of_all() {
    for instances in [4, 30, 300] {
        let writers = relay_count(instances);
        let writes_in_3_s = 3_000 * writers as u128 / write_interval(writers).as_millis();
        assert!(writes_in_3_s <= 100, "{writes_in_3_s} of {instances}");
    }
}
