//! Guards against instances that hear of no change because the one that reads for them is gone, and
//! against a number of calls to the store that grows with the number of instances.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_policy::edge::relay::{Feed, Reads, Relay, relays};

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(Duration::from_millis(ms))
}

fn relay(key: u32, is_near: bool) -> Relay<u32> {
    Relay {
        key,
        is_near,
        spread: u64::from(key),
    }
}

#[test]
fn few_relays() {
    assert_eq!(relays(1), 4, "the first few depend on nobody");
    assert_eq!(relays(29), 4);
    assert_eq!(relays(350), 22);
}

#[test]
fn near_relay() {
    let mut feed = Feed::default();
    let all = [relay(1, false), relay(2, true), relay(3, true)];
    assert_eq!(feed.choose(&all, at(0)), Some(2));
}

/// Another near relay appears: a change of relays would cost trust for nothing.
#[test]
fn kept_relay() {
    let mut feed = Feed::default();
    assert_eq!(feed.choose(&[relay(5, false)], at(0)), Some(5));
    let all = [relay(1, true), relay(5, false)];
    assert_eq!(feed.choose(&all, at(10)), Some(5));
    assert_eq!(feed.choose(&[relay(1, true)], at(20)), Some(1));
}

fn reads(config: u64, instances: u64) -> Reads {
    Reads { config, instances }
}

/// A relay that was paused passes on reads from before the pause: the first one of each topic may
/// have been answered long ago.
#[test]
fn trusted_late() {
    let mut feed = Feed::default();
    feed.choose(&[relay(1, true)], at(0));
    for (config, instances) in [(7, 9), (8, 9), (8, 10), (8, 11)] {
        feed.replied(reads(config, instances), at(1_600));
        assert_eq!(feed.relayed_until(at(1)), None, "{config} {instances}");
    }
    feed.replied(reads(9, 11), at(2_900));
    assert_eq!(feed.relayed_until(at(1_300)), Some(at(2_900)));
    assert_eq!(feed.relayed_until(at(2_900)), None, "the next one is due");
}

/// A restarted relay begins to count anew: its numbers say nothing of the reads before.
#[test]
fn restarted_relay() {
    let mut feed = Feed::default();
    feed.choose(&[relay(1, true)], at(0));
    feed.replied(reads(700, 900), at(1_600));
    feed.replied(reads(1, 1), at(1_700));
    feed.replied(reads(2, 3), at(1_800));
    assert_eq!(feed.relayed_until(at(1_000)), None);
    feed.replied(reads(3, 3), at(1_900));
    assert_eq!(feed.relayed_until(at(1_000)), Some(at(1_900)));
}

/// A silent relay must not be asked again at once, and its instance reads the store meanwhile.
#[test]
fn silent_relay() {
    let mut feed = Feed::default();
    let all = [relay(1, true), relay(2, false)];
    feed.choose(&all, at(0));
    feed.replied(reads(0, 0), at(1_600));
    feed.replied(reads(2, 2), at(2_900));
    assert_eq!(feed.relayed_until(at(2_000)), Some(at(2_900)));
    feed.failed(at(2_000));
    assert_eq!(feed.relayed_until(at(2_000)), None);
    assert_eq!(feed.choose(&all, at(2_000)), Some(2));
    feed.replied(reads(5, 5), at(4_000));
    assert_eq!(feed.relayed_until(at(2_100)), None, "trust begins anew");
    feed.failed(at(2_200));
    assert_eq!(feed.choose(&all, at(2_200)), None);
    assert_eq!(feed.choose(&all, at(7_100)), Some(1), "it may work again");
}

/// Where all instances started at once, each read the whole list and none had it in time. An instance
/// that has just started gives its relay a moment to reply, follows it without further proof, and
/// reads the store itself where no reply comes.
#[test]
fn all_started() {
    let mut feed = Feed::starting(at(5_000));
    feed.choose(&[relay(1, true)], at(10));
    feed.await_first(300, at(10));
    assert!(
        feed.relayed_until(at(500)).is_some(),
        "the relay reads for all"
    );
    feed.await_first(300, at(2_500));
    assert_eq!(feed.relayed_until(at(2_500)), None, "no reply came");
    feed.replied(reads(1, 1), at(4_200));
    assert_eq!(feed.relayed_until(at(2_600)), Some(at(4_200)));
    feed.failed(at(2_700));
    assert_eq!(feed.relayed_until(at(2_700)), None, "the relay is lost");
}

/// Few instances can all read the store at once: a dead relay must not cost them a second.
#[test]
fn few_started() {
    let mut feed = Feed::starting(at(5_000));
    feed.choose(&[relay(1, true)], at(10));
    feed.await_first(30, at(10));
    assert_eq!(feed.relayed_until(at(250)), None);
}

/// The bounds on changes hold again: from then on a relay is trusted only after two reads of its own.
#[test]
fn started_long_ago() {
    let mut feed = Feed::starting(at(5_000));
    feed.choose(&[relay(1, true)], at(6_000));
    feed.await_first(300, at(6_000));
    assert_eq!(feed.relayed_until(at(6_000)), None);
    feed.replied(reads(1, 1), at(7_500));
    assert_eq!(feed.relayed_until(at(6_100)), None);
}
