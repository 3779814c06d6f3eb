//! Guards against uploads of many instances that together crash an upstream again and again, and
//! against crashes of another cause that take uploads their room.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_policy::edge::upstream_memory::{
    HeldElsewhere, HeldHere, HeldNews, MemoryEstimate, has_room,
};

const MIB: u64 = 1024 * 1024;
const MAX_BODY: u64 = 4 * MIB;

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(Duration::from_millis(ms))
}

fn news(instance: u64, kib: u32, sequence: u32) -> HeldNews {
    HeldNews {
        instance,
        upstream: 7,
        kib,
        sequence,
    }
}

/// Each of 30 instances uploads 4 MiB a second to an upstream with 40 MiB, which takes 3 s for one.
/// Without a limit, it crashes each second.
#[test]
fn repeated_crashes() {
    let mut estimate = MemoryEstimate::default();
    let mut ends = Vec::new();
    let (mut crashes, mut refused) = (0, 0);
    for ms in (0..60_000).step_by(33) {
        ends.retain(|end| *end > ms);
        let held = ends.len() as u64 * 4 * MIB;
        estimate.record_survived(if held <= 40 * MIB { held } else { 0 });
        let is_admitted = estimate
            .limit(at(ms))
            .is_none_or(|limit| has_room(held, 4 * MIB, limit));
        if !is_admitted {
            refused += 1;
            continue;
        }
        ends.push(ms + 3_000);
        let held = held + 4 * MIB;
        if held > 40 * MIB {
            crashes += 1;
            estimate.record_crash(held, MAX_BODY, at(ms));
            ends.clear();
        }
    }
    assert!(crashes <= 2, "{crashes}");
    assert!(refused > 0);
}

/// Upstreams that crash with less than others have held set no limit.
#[test]
fn other_causes() {
    let mut estimate = MemoryEstimate::default();
    estimate.record_survived(20 * MIB);
    assert!(!estimate.record_crash(12 * MIB, MAX_BODY, at(0)));
    assert!(!MemoryEstimate::default().record_crash(MAX_BODY, MAX_BODY, at(0)));
    assert_eq!(estimate.limit(at(0)), None);
    // A limit that was wrong grows until upstreams have answered beyond it.
    assert!(estimate.record_crash(24 * MIB, MAX_BODY, at(0)));
    assert_eq!(estimate.limit(at(0)), Some(20 * MIB));
    assert!(estimate.limit(at(60_000)) >= Some(24 * MIB));
    estimate.record_survived(24 * MIB);
    assert_eq!(estimate.limit(at(60_000)), None);
}

#[test]
fn small_bodies() {
    let limit = 32 * MIB;
    assert!(!has_room(23 * MIB, 2 * MIB, limit));
    assert!(has_room(23 * MIB, MIB, limit));
    assert!(!has_room(32 * MIB, 1, limit));
    assert!(has_room(0, 40 * MIB, limit));
    assert!(!has_room(1, u64::MAX, limit));
}

#[test]
fn told_sizes() {
    let mut held = HeldElsewhere::default();
    held.merge(&news(1, 2_048, 5), false, at(0));
    held.merge(&news(2, 1_024, 1), true, at(10));
    held.merge(&news(1, 9_999, 4), true, at(20));
    assert_eq!(held.bytes(7, at(30)), 3 * MIB);
    assert_eq!(held.bytes(6, at(30)), 0);
    assert_eq!(held.take_news(), [news(2, 1_024, 1)]);
    assert!(held.take_news().is_empty());
    assert_eq!(held.bytes(7, at(2_005)), MIB, "one has told nothing since");
    for instance in 0..20_000 {
        held.merge(&news(instance, 1, 1), false, at(2_100));
    }
    assert!(held.bytes(7, at(2_100)) <= 4_096 * 1024);
}

#[test]
fn own_sizes() {
    let mut held = HeldHere::default();
    held.record_sent(10_000);
    assert_eq!(held.take_news(at(0)), None, "too small to matter");
    held.record_sent(MIB);
    assert_eq!(held.untold_elsewhere(3), 3 * (MIB + 10_000));
    assert_eq!(held.take_news(at(1)), Some(1_033));
    assert_eq!(held.untold_elsewhere(3), 0);
    assert_eq!(held.take_news(at(100)), None);
    assert_eq!(held.take_news(at(501)), Some(1_033));
    held.record_end(MIB);
    assert_eq!(held.take_news(at(502)), Some(0));
    held.record_end(u64::MAX);
    assert_eq!((held.bytes(), held.take_news(at(5_000))), (0, None));
}

#[test]
fn told_crashes() {
    let mut known = MemoryEstimate::default();
    known.record_crash(44 * MIB, MAX_BODY, at(0));
    let told: Vec<_> = std::iter::from_fn(|| known.take_news()).collect();
    assert_eq!(told, [44 * 1024; 3]);
    let mut follower = MemoryEstimate::default();
    assert!(follower.merge_crash(told[0], false, at(0)));
    assert!(!follower.merge_crash(told[1], false, at(0)));
    assert_eq!(follower.take_news(), None);
    let mut relay = MemoryEstimate::default();
    assert!(relay.merge_crash(told[0], true, at(0)));
    assert_eq!(relay.take_news(), Some(told[0]));
    let mut experienced = MemoryEstimate::default();
    experienced.record_survived(50 * MIB);
    assert!(!experienced.merge_crash(told[0], true, at(0)));
}
