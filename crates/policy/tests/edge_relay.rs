//! Guards against instances that miss changes because their relay failed, and against a number of
//! calls to the store that grows with the number of instances.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_policy::edge::relay::{ReadCounts, Relay, RelayFollower, relay_count};

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(Duration::from_millis(ms))
}

fn relay(key: u32, is_same_domain: bool) -> Relay<u32> {
    Relay {
        key,
        is_same_domain,
        tie_break: u64::from(key),
    }
}

#[test]
fn few_relays() {
    assert_eq!(
        relay_count(1),
        4,
        "the first few instances depend on no relay"
    );
    assert_eq!(relay_count(29), 4);
    assert_eq!(relay_count(350), 22);
}

#[test]
fn same_domain_relay() {
    let mut follower = RelayFollower::default();
    let all = [relay(1, false), relay(2, true), relay(3, true)];
    assert_eq!(follower.choose(&all, at(0)), Some(2));
}

/// A relay of the same failure domain appears. A change to it would only cost the time until it is
/// trusted.
#[test]
fn kept_relay() {
    let mut follower = RelayFollower::default();
    assert_eq!(follower.choose(&[relay(5, false)], at(0)), Some(5));
    let all = [relay(1, true), relay(5, false)];
    assert_eq!(follower.choose(&all, at(10)), Some(5));
    assert_eq!(follower.choose(&[relay(1, true)], at(20)), Some(1));
}

fn reads(config: u64, instances: u64) -> ReadCounts {
    ReadCounts { config, instances }
}

/// A relay that was paused passes on reads from before the pause: the first read of each topic
/// after its first reply may have been answered long ago.
#[test]
fn trusted_after_reads() {
    let mut follower = RelayFollower::default();
    follower.choose(&[relay(1, true)], at(0));
    for (config, instances) in [(7, 9), (8, 9), (8, 10), (8, 11)] {
        follower.record_reply(reads(config, instances), at(1_600));
        assert_eq!(follower.relayed_until(at(1)), None, "{config} {instances}");
    }
    follower.record_reply(reads(9, 11), at(2_900));
    assert_eq!(follower.relayed_until(at(1_300)), Some(at(2_900)));
    assert_eq!(
        follower.relayed_until(at(2_900)),
        None,
        "the next reply is due"
    );
}

/// A restarted relay counts from zero. Its counts must not be compared with those before the
/// restart.
#[test]
fn restarted_relay() {
    let mut follower = RelayFollower::default();
    follower.choose(&[relay(1, true)], at(0));
    follower.record_reply(reads(700, 900), at(1_600));
    follower.record_reply(reads(1, 1), at(1_700));
    follower.record_reply(reads(2, 3), at(1_800));
    assert_eq!(follower.relayed_until(at(1_000)), None);
    follower.record_reply(reads(3, 3), at(1_900));
    assert_eq!(follower.relayed_until(at(1_000)), Some(at(1_900)));
}

/// An unresponsive relay must not be asked again at once, and its follower reads the store
/// meanwhile.
#[test]
fn unresponsive_relay() {
    let mut follower = RelayFollower::default();
    let all = [relay(1, true), relay(2, false)];
    follower.choose(&all, at(0));
    follower.record_reply(reads(0, 0), at(1_600));
    follower.record_reply(reads(2, 2), at(2_900));
    assert_eq!(follower.relayed_until(at(2_000)), Some(at(2_900)));
    follower.record_relay_failure(at(2_000));
    assert_eq!(follower.relayed_until(at(2_000)), None);
    assert_eq!(follower.choose(&all, at(2_000)), Some(2));
    follower.record_reply(reads(5, 5), at(4_000));
    assert_eq!(
        follower.relayed_until(at(2_100)),
        None,
        "a new relay is not trusted yet"
    );
    follower.record_relay_failure(at(2_200));
    assert_eq!(follower.choose(&all, at(2_200)), None);
    assert_eq!(
        follower.choose(&all, at(7_100)),
        Some(1),
        "it may work again"
    );
}

/// When all instances started at once, each read the whole list and none received it in time. An
/// instance that has just started waits for the reply of its relay, follows it without further
/// proof, and reads the store itself if no reply comes.
#[test]
fn all_started() {
    let mut follower = RelayFollower::starting(at(5_000));
    follower.choose(&[relay(1, true)], at(10));
    follower.await_first_reply(300, at(10));
    assert!(
        follower.relayed_until(at(500)).is_some(),
        "the relay reads the store for all instances"
    );
    follower.await_first_reply(300, at(2_500));
    assert_eq!(follower.relayed_until(at(2_500)), None, "no reply came");
    follower.record_reply(reads(1, 1), at(4_200));
    assert_eq!(follower.relayed_until(at(2_600)), Some(at(4_200)));
    follower.record_relay_failure(at(2_700));
    assert_eq!(
        follower.relayed_until(at(2_700)),
        None,
        "the relay has failed"
    );
}

/// Few instances can all read the store at once: a failed relay must not delay them by a second.
#[test]
fn few_started() {
    let mut follower = RelayFollower::starting(at(5_000));
    follower.choose(&[relay(1, true)], at(10));
    follower.await_first_reply(30, at(10));
    assert_eq!(follower.relayed_until(at(250)), None);
}

/// After the start phase, the bounds on the delay of changes hold: a relay is trusted only after
/// two reads of its own.
#[test]
fn after_start_phase() {
    let mut follower = RelayFollower::starting(at(5_000));
    follower.choose(&[relay(1, true)], at(6_000));
    follower.await_first_reply(300, at(6_000));
    assert_eq!(follower.relayed_until(at(6_000)), None);
    follower.record_reply(reads(1, 1), at(7_500));
    assert_eq!(follower.relayed_until(at(6_100)), None);
}
