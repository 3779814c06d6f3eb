//! Guards against losing the version of a stream with the instance that carried it, and against
//! copies without end.

use std::collections::BTreeSet;
use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_policy::edge::origin_replicas::{ASKED_REPLICAS, REPLICAS, ReplicaMember};
use nutmegbay_policy::edge::software_versions::VersionTag;
use nutmegbay_policy::edge::stream_origins::{
    AttemptTag, MAX_ATTEMPTS, Origin, ServiceTag, StreamOrigins,
};
use nutmegbay_policy::edge::version_news::VersionNews;

const SERVICE: ServiceTag = ServiceTag(7);

const RETENTION: Duration = Duration::from_secs(20);

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(Duration::from_millis(ms))
}

fn origin(version: u32) -> Origin {
    Origin {
        service: SERVICE,
        version: VersionTag(version),
    }
}

fn version(origins: &StreamOrigins, attempt: u64, ms: u64) -> Option<u32> {
    let known = origins.origin(AttemptTag(attempt), at(ms));
    known.map(|known| known.version.0)
}

fn index(name: u64) -> usize {
    usize::try_from(name).unwrap()
}

/// Instances of a group, by their names and failure domains.
fn members(names: std::ops::Range<u64>) -> Vec<ReplicaMember> {
    let member = |name| ReplicaMember {
        domain: name % 3,
        name,
    };
    names.map(member).collect()
}

/// Returns instances that know each other.
fn group(count: u64) -> Vec<StreamOrigins> {
    let members = members(0..count);
    let known = |own: &ReplicaMember| {
        let mut origins = StreamOrigins::default();
        origins.update_members(*own, members.clone());
        origins
    };
    members.iter().map(known).collect()
}

/// Delivers what waits to be sent at `ms`, until nothing does. Returns the number of datagrams.
fn deliver(group: &mut [StreamOrigins], ms: u64) -> usize {
    let mut datagrams = 0;
    loop {
        let taken: Vec<_> = group
            .iter_mut()
            .flat_map(|o| o.take_copies(at(ms)))
            .collect();
        if taken.is_empty() {
            return datagrams;
        }
        datagrams += taken.len();
        for (to, copies) in taken {
            for copies in copies {
                group[index(to)].merge(&copies, at(ms));
            }
        }
    }
}

/// A second version appears while streams are open, whose carriers are gone or stand still then.
#[test]
fn lost_carriers() {
    let mut group = group(300);
    for attempt in 0..600 {
        let carrier = &mut group[index(attempt) % 300];
        carrier.record_own(AttemptTag(attempt), origin(1), at(0));
    }
    deliver(&mut group, 5);
    for attempt in 0..600 {
        let carrier = attempt % 300;
        let replicas = group[0].replicas(AttemptTag(attempt), REPLICAS);
        let domains: BTreeSet<u64> = replicas.iter().map(|name| name % 3).collect();
        assert_eq!(domains.len(), 3, "{replicas:?}");
        for name in replicas.iter().filter(|name| **name != carrier) {
            let known = version(&group[index(*name)], attempt, 5);
            assert_eq!(known, Some(1), "{attempt} at {name}");
        }
    }
}

/// The instance that needs an origin knows another set of instances than the one that carried the
/// stream: one has joined, or is no longer known.
#[test]
fn other_members() {
    let mut group = group(30);
    let mut joined = StreamOrigins::default();
    joined.update_members(members(40..41)[0], members(0..30));
    let mut without = StreamOrigins::default();
    without.update_members(members(0..1)[0], members(0..29));
    for attempt in 0..500 {
        group[29].record_own(AttemptTag(attempt), origin(1), at(0));
    }
    deliver(&mut group, 5);
    for attempt in 0..500 {
        for asking in [&joined, &without] {
            let asked = asking.replicas(AttemptTag(attempt), ASKED_REPLICAS);
            // The carrier is gone, and the instance that has joined knows nothing.
            let asked = asked.iter().filter(|name| **name < 29);
            let known = asked.filter(|name| version(&group[index(**name)], attempt, 5).is_some());
            assert_ne!(known.count(), 0, "{attempt}");
        }
    }
}

/// What an instance sends does not grow with the number of instances.
#[test]
fn large_group() {
    for count in [4, 30, 300] {
        let mut group = group(count);
        for attempt in 0..100 {
            group[0].record_own(AttemptTag(attempt), origin(1), at(0));
        }
        let taken = group[0].take_copies(at(0));
        let json = serde_json::to_string(&taken).unwrap();
        assert!(taken.len() <= 3 * 100, "{count}: {}", taken.len());
        assert!(json.len() < 30_000, "{count}: {}", json.len());
        assert_eq!(group[0].take_copies(at(30_000)), []);
    }
}

/// Short streams are complete before the next datagram, and nobody takes them up.
#[test]
fn complete_streams() {
    let mut group = group(4);
    for attempt in 0..10 {
        group[0].record_own(AttemptTag(attempt), origin(1), at(0));
        if attempt > 0 {
            group[0].record_complete(AttemptTag(attempt));
        }
    }
    deliver(&mut group, 5);
    for attempt in 0..10 {
        let holders = group.iter().filter(|o| version(o, attempt, 5).is_some());
        let copies = if attempt == 0 { 2..=3 } else { 0..=0 };
        assert!(copies.contains(&(holders.count() - 1)), "{attempt}");
    }
    group[0].record_own(AttemptTag(1), origin(1), at(10));
    assert!(deliver(&mut group, 15) > 0, "it is taken up");
}

/// A receiver must not send on what it gets, or copies would go back and forth.
#[test]
fn sent_once() {
    let mut group = group(4);
    group[0].record_own(AttemptTag(1), origin(1), at(0));
    let others = group[0].replicas(AttemptTag(1), REPLICAS);
    let others = others.iter().filter(|name| **name != 0).count();
    assert_eq!(deliver(&mut group, 0), others);
    for ms in (0..5_000).step_by(5) {
        assert_eq!(deliver(&mut group, ms), 0);
    }
}

/// An instance that carries streams learns of the others later.
#[test]
fn found_later() {
    let members = members(0..2);
    let mut origins = StreamOrigins::default();
    origins.record_own(AttemptTag(1), origin(1), at(0));
    assert_eq!(origins.take_copies(at(0)), []);
    assert_eq!(origins.update_members(members[0], members.clone()), [1]);
    let [(1, copies)] = &origins.take_copies(at(2_500))[..] else {
        panic!("one instance gets copies");
    };
    let mut other = StreamOrigins::default();
    other.merge(&copies[0], at(3_000));
    assert_eq!(version(&other, 1, 3_000), Some(1));
    assert!(
        origins
            .update_members(members[0], members.clone())
            .is_empty()
    );
    assert_eq!(origins.take_copies(at(3_000)), []);
}

/// Two attempts with the same hash, or a peer in error, must not change a known origin.
#[test]
fn first_origin() {
    let mut group = group(2);
    group[0].record_own(AttemptTag(1), origin(1), at(0));
    group[1].record_own(AttemptTag(1), origin(2), at(0));
    deliver(&mut group, 5_000);
    group[0].record_own(AttemptTag(1), origin(2), at(6_000));
    assert_eq!(version(&group[0], 1, 6_000), Some(1));
    assert_eq!(version(&group[1], 1, 6_000), Some(2));
    let (_, copies) = &group[0].take_copies(at(6_000))[0];
    assert_eq!(copies[0].news.origin, origin(1));
}

/// A caller takes up its stream again and again, each time naming its first attempt.
#[test]
fn long_chain() {
    let mut group = group(4);
    for ms in (0..60_000).step_by(5_000) {
        group[0].record_own(AttemptTag(1), origin(1), at(ms));
        deliver(&mut group, ms);
        for origins in &mut group {
            origins.sweep(RETENTION, at(ms));
        }
        for name in group[0].replicas(AttemptTag(1), REPLICAS) {
            assert_eq!(version(&group[index(name)], 1, ms), Some(1), "at {ms}");
        }
    }
    for origins in &mut group {
        origins.sweep(RETENTION, at(75_000));
        assert!(origins.is_empty());
    }
}

/// Attempts without end must not use more and more memory, nor datagrams that are too large.
#[test]
fn bounded_memory() {
    let mut group = group(2);
    let count = MAX_ATTEMPTS as u64 + 1_000;
    for n in 0..count {
        group[0].record_own(AttemptTag(n), origin(1), at(0));
    }
    assert!(group[0].len() <= MAX_ATTEMPTS);
    assert_eq!(version(&group[0], 0, 0), None);
    assert_eq!(version(&group[0], count - 1, 0), Some(1));
    let mut datagrams = 0;
    for ms in (0..10_000).step_by(5) {
        for (_, copies) in group[0].take_copies(at(ms)) {
            let size = serde_json::to_vec(&copies).map(|json| json.len());
            assert!(size.is_ok_and(|size| size < 16_000));
            datagrams += 1;
        }
    }
    assert!(datagrams < 500, "{datagrams} datagrams");
    group[0].sweep(RETENTION, at(20_000));
    assert!(group[0].is_empty());
}

/// An instance that has just started, under a name that the others know, gets what it is to keep.
#[test]
fn started_instance() {
    let mut group = group(2);
    group[0].record_own(AttemptTag(1), origin(1), at(0));
    group[0].record_own(AttemptTag(2), origin(2), at(6_000));
    deliver(&mut group, 6_000);
    group[1] = StreamOrigins::default();
    group[0].copy_to(1);
    deliver(&mut group, 8_000);
    assert_eq!(version(&group[1], 1, 8_000), Some(1));
    assert_eq!(version(&group[1], 2, 8_000), Some(2));
}

/// All instances that keep the copies of a stream are stopped one after another and stay away.
#[test]
fn stopped_in_turn() {
    let mut group = group(30);
    for attempt in 0..100 {
        group[0].record_own(AttemptTag(attempt), origin(1), at(0));
    }
    deliver(&mut group, 0);
    let mut asking = StreamOrigins::default();
    for stopped in 0..25 {
        group[index(stopped)].leave();
        deliver(&mut group, 100);
        group[index(stopped)] = StreamOrigins::default();
        for other in stopped + 1..30 {
            let left = members(stopped + 1..30);
            group[index(other)].update_members(members(other..other + 1)[0], left);
        }
        deliver(&mut group, 200);
        asking.update_members(members(40..41)[0], members(stopped + 1..30));
        for attempt in 0..100 {
            let mut asked = asking
                .replicas(AttemptTag(attempt), ASKED_REPLICAS)
                .into_iter();
            let is_known =
                |name: u64| name < 30 && version(&group[index(name)], attempt, 200).is_some();
            assert!(asked.any(is_known), "{attempt} after {stopped}");
        }
    }
}

/// Instances that start one after another must not keep a stream forever.
#[test]
fn handed_on() {
    let mut group = group(2);
    group[0].record_own(AttemptTag(1), origin(1), at(100_000));
    deliver(&mut group, 100_000);
    for ms in (103_000..=121_000).step_by(3_000) {
        let started = usize::from(ms % 2_000 == 0);
        let own = members(started as u64..started as u64 + 1)[0];
        group[started] = StreamOrigins::default();
        group[started].update_members(own, members(0..2));
        group[1 - started].copy_to(started as u64);
        deliver(&mut group, ms);
        for origins in &mut group {
            origins.sweep(RETENTION, at(ms));
        }
        let known = version(&group[started], 1, ms);
        assert_eq!(known.is_some(), ms < 120_000, "at {ms}");
    }
}

/// A version goes on being used by an instance that has not read the list.
#[test]
fn versions_in_use() {
    let mut news = VersionNews::default();
    assert!(news.record(origin(1), at(0)));
    assert!(!news.record(origin(1), at(10)));
    assert!(news.record(origin(2), at(10)));
    assert_eq!(news.take().collect::<Vec<_>>(), [origin(1), origin(2)]);
    assert_eq!(news.take().count(), 0);
    assert!(news.record(origin(1), at(1_000)));
    for version in 10..1_000 {
        news.record(origin(version), at(1_000));
    }
    assert!(news.take().count() < 100);
}
