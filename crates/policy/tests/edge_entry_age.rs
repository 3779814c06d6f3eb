//! Guards against entries of a restored list that bring back upstreams which are leaving or gone,
//! and against ignoring upstreams that run.

use nutmegbay_policy::edge::entry_age::EntryAge;

fn entry(started_ms: u64, heartbeat: u64) -> EntryAge {
    EntryAge {
        started_ms: Some(started_ms),
        heartbeat: Some(heartbeat),
    }
}

fn undated(heartbeat: u64) -> EntryAge {
    EntryAge {
        started_ms: None,
        heartbeat: Some(heartbeat),
    }
}

#[test]
fn restored_entry() {
    let known = entry(1_000, 9);
    for older in [entry(1_000, 5), entry(1_000, 9), entry(400, 80)] {
        assert!(older.is_outdated(known, true), "{older:?}");
    }
    for newer in [entry(1_000, 10), entry(2_000, 0)] {
        assert!(!newer.is_outdated(known, true), "{newer:?}");
    }
}

/// The upstreams write in order what the store has lost.
#[test]
fn written_again() {
    assert!(entry(1_000, 8).is_outdated(entry(1_000, 9), false));
    assert!(!entry(1_000, 9).is_outdated(entry(1_000, 9), false));
}

/// Without the start of the incarnation, a lower heartbeat may belong to a new one.
#[test]
fn unknown_incarnation() {
    assert!(!undated(0).is_outdated(undated(9), false));
    assert!(undated(5).is_outdated(undated(9), true));
    assert!(!undated(10).is_outdated(undated(9), true));
    assert!(!EntryAge::default().is_outdated(undated(9), true));
}

/// The clock of the upstream jumped back before it started again.
#[test]
fn clock_jump() {
    assert!(!entry(400, 0).is_outdated(entry(1_000, 9), false));
}
