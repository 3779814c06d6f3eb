//! Guards against a gateway that answers keyed requests although it may lack a withdrawal, and
//! against one that refuses them although the log is unavailable for everyone.

mod common;

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_core::freshness::{Freshness, LogProgress};
use nutmegbay_core::ids::Offset;

const NEXT: Offset = Offset(10);

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(Duration::from_millis(ms))
}

fn progress(next: u64, age_ms: u64) -> LogProgress {
    LogProgress {
        next: Offset(next),
        head_read_age: Some(Duration::from_millis(age_ms)),
    }
}

/// Returns a state that is fresh as of 1,000 ms, with the peers g2 and g3.
fn fresh() -> Freshness {
    let mut freshness = Freshness::default();
    freshness.set_peers(["g2", "g3"]);
    freshness.on_head_read(at(1_000));
    freshness.on_tick(at(1_000), NEXT);
    assert_eq!(freshness.state(), "fresh");
    freshness
}

fn state_at(freshness: &mut Freshness, ms: u64) -> String {
    freshness.on_tick(at(ms), NEXT);
    assert_eq!(
        freshness.may_serve_keyed(at(ms)),
        freshness.state() != "isolated"
    );
    freshness.state().to_owned()
}

#[test]
fn unresponsive_peers() {
    let mut freshness = fresh();
    assert_eq!(state_at(&mut freshness, 2_499), "fresh");
    assert_eq!(state_at(&mut freshness, 2_500), "lagging");
    assert_eq!(state_at(&mut freshness, 3_999), "lagging");
    assert_eq!(state_at(&mut freshness, 4_000), "isolated");
    freshness.on_head_read(at(4_100));
    assert_eq!(state_at(&mut freshness, 4_110), "fresh");
}

#[test]
fn one_peer_missing() {
    let mut freshness = fresh();
    freshness.on_progress("g2", at(3_900), progress(10, 2_900));
    freshness.on_progress("sidecar", at(3_900), progress(10, 2_900));
    assert_eq!(
        state_at(&mut freshness, 4_050),
        "isolated",
        "one peer did not answer and may be able to read the log"
    );
    freshness.on_progress("g3", at(4_100), progress(10, 3_000));
    assert_eq!(state_at(&mut freshness, 4_110), "outage");
}

#[test]
fn expired_answers() {
    let mut freshness = fresh();
    for peer in ["g2", "g3"] {
        freshness.on_progress(peer, at(5_000), progress(10, 4_500));
    }
    assert_eq!(state_at(&mut freshness, 5_010), "outage");
    // No tick in between: the process was paused, or the peers became unreachable.
    assert!(freshness.may_serve_keyed(at(6_200)));
    assert!(
        !freshness.may_serve_keyed(at(6_250)),
        "expired answers of the peers still count as an outage"
    );
    freshness.on_no_answer("g2");
    assert_eq!(state_at(&mut freshness, 5_020), "isolated");
}

#[test]
fn peer_with_newer_records() {
    let mut freshness = fresh();
    freshness.on_progress("g2", at(5_000), progress(12, 100));
    freshness.on_progress("g3", at(5_000), progress(10, 4_000));
    assert_eq!(
        state_at(&mut freshness, 5_010),
        "isolated",
        "a peer has records that this replica lacks"
    );
    assert_eq!(freshness.endpoint_ahead(NEXT), Some("g2"));
    // With the peer's records the replica is as fresh as the peer was, less 5 % for the peer's
    // clock.
    freshness.on_tick(at(5_020), Offset(12));
    assert_eq!(freshness.state(), "fresh");
    let age = freshness.head_read_age(at(5_020)).unwrap();
    assert_eq!(age, Duration::from_millis(125));
}

#[test]
fn unknown_peers() {
    let mut freshness = Freshness::default();
    freshness.on_head_read(at(0));
    assert_eq!(
        state_at(&mut freshness, 3_000),
        "isolated",
        "an outage was assumed without knowing the peers"
    );
    freshness.set_peers(Vec::<Box<str>>::new());
    assert_eq!(state_at(&mut freshness, 3_010), "outage");
}

#[test]
fn never_read() {
    let mut freshness = Freshness::default();
    freshness.set_peers(["g2"]);
    freshness.on_progress("g2", at(10), LogProgress::default());
    assert_eq!(
        state_at(&mut freshness, 20),
        "isolated",
        "a process without any state answered keyed requests"
    );
}

#[test]
fn outage_time() {
    let mut freshness = fresh();
    freshness.on_progress("g2", at(3_800), progress(10, 2_800));
    assert_eq!(
        freshness.outage_as_of(at(3_900)),
        None,
        "one peer was not queried"
    );
    freshness.on_progress("g3", at(3_900), progress(10, 2_900));
    assert_eq!(state_at(&mut freshness, 3_950), "outage");
    assert_eq!(freshness.outage_as_of(at(3_950)), Some(at(3_800)));

    // A peer that has read further may have dispatched an attempt that this replica lacks.
    freshness.on_progress("g3", at(4_000), progress(11, 3_000));
    freshness.on_tick(at(4_010), NEXT);
    assert_eq!(freshness.outage_as_of(at(4_010)), None);
}
