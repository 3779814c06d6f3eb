//! Guards against continuing a stream at another version than the one that began it because an
//! instance takes the versions that it knows for all there were, and against remembering versions
//! forever.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_policy::edge::software_versions::{
    StartEvidence, StartVerdict, StoredVersion, TakeUpBounds, VersionHistory, VersionTag,
};

const RETENTION: Duration = Duration::from_secs(20);

const OLD: VersionTag = VersionTag(1);
const NEW: VersionTag = VersionTag(2);

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(Duration::from_millis(ms))
}

fn stored(version: VersionTag, unused_ms: u64) -> StoredVersion {
    StoredVersion { version, unused_ms }
}

/// Returns the history of an instance that started at `ms` and has read `earlier` from the store.
fn started(listed: VersionTag, earlier: &[StoredVersion], ms: u64) -> VersionHistory {
    let mut history = VersionHistory::default();
    history.record_listed([listed], true, at(ms));
    history.record_earlier(earlier, true, at(ms), at(ms));
    history
}

/// All instances were killed after the last upstream of a version had left.
#[test]
fn killed_instances() {
    let mut history = started(NEW, &[stored(OLD, 0), stored(NEW, 0)], 0);
    assert_eq!(history.only(), None);
    for ms in (0..20_000).step_by(500) {
        history.record_listed([NEW], true, at(ms));
        history.sweep(RETENTION, at(ms));
        assert_eq!(history.only(), None, "at {ms}");
    }
    history.record_listed([NEW], true, at(20_000));
    history.sweep(RETENTION, at(20_000));
    assert_eq!(history.only(), Some(NEW));
}

/// An instance that has not read the store does not know what served before.
#[test]
fn unread_store() {
    let mut history = VersionHistory::default();
    assert!(!history.needs_earlier(), "the list comes first");
    for ms in (0..20_000).step_by(500) {
        history.record_listed([NEW], true, at(ms));
        history.sweep(RETENTION, at(ms));
        assert_eq!(history.only(), None, "at {ms}");
        assert!(history.needs_earlier());
        assert_eq!(history.replacement(&[], RETENTION, at(ms)), None);
    }
    history.sweep(RETENTION, at(20_000));
    assert_eq!(history.only(), Some(NEW), "it has seen all of the time");
}

/// A version may come and go while the list is out of date. What was read from the store before
/// does not contain it.
#[test]
fn outdated_list() {
    let mut history = started(OLD, &[], 0);
    assert_eq!(history.only(), Some(OLD));
    history.record_listed([OLD], false, at(5_000));
    assert_eq!(history.only(), None);
    history.record_listed([OLD], true, at(8_000));
    assert_eq!(history.only(), None);
    history.record_earlier(&[stored(OLD, 0)], true, at(7_000), at(8_000));
    assert_eq!(history.only(), None);
    let now_stored = [stored(OLD, 0), stored(NEW, 0)];
    history.record_earlier(&now_stored, true, at(8_000), at(8_100));
    assert!(history.is_complete());
    assert_eq!(history.only(), None);
}

/// While the store is away, upstreams stay in use that the list has not named for a long time.
#[test]
fn long_outage() {
    let mut history = started(OLD, &[], 0);
    for ms in (0..60_000).step_by(500) {
        history.record_listed([OLD], false, at(ms));
        history.sweep(RETENTION, at(ms));
    }
    history.record_listed([NEW], true, at(60_000));
    history.record_earlier(&[stored(NEW, 0)], true, at(60_000), at(60_000));
    history.sweep(RETENTION, at(60_000));
    assert_eq!(history.only(), None);
    assert_eq!(history.len(), 2);
}

/// A restored store may lack a version that was written after it was copied.
#[test]
fn restored_store() {
    let mut history = VersionHistory::default();
    history.record_listed([OLD], true, at(0));
    history.record_earlier(&[stored(OLD, 0)], false, at(0), at(0));
    assert_eq!(history.only(), None);
    assert!(history.needs_earlier());
    let written_again = [stored(OLD, 0), stored(NEW, 0)];
    history.record_earlier(&written_again, true, at(1_000), at(1_000));
    assert_eq!(history.only(), None);
    assert_eq!(history.len(), 2);
}

/// Another instance still sends requests to upstreams whose entries are gone here.
#[test]
fn used_elsewhere() {
    let mut history = started(NEW, &[], 0);
    assert!(history.record_used(OLD, at(1_000)));
    assert_eq!(history.only(), None);
    history.record_listed([NEW], true, at(20_900));
    history.sweep(RETENTION, at(20_900));
    assert_eq!(history.only(), None);
    history.sweep(RETENTION, at(21_000));
    assert_eq!(history.only(), Some(NEW));
}

/// Instances that restart one after another must not keep a version forever that each of them has
/// read from the store.
#[test]
fn restarts_in_turn() {
    let mut in_store = vec![stored(OLD, 0), stored(NEW, 0)];
    let mut writes = 0;
    let lifetime = 12_000;
    for restart in 0..10 {
        let from = restart * lifetime;
        let mut history = started(NEW, &in_store, from);
        for ms in (from..from + lifetime).step_by(500) {
            history.record_listed([NEW], true, at(ms));
            history.sweep(RETENTION, at(ms));
            if let Some(replacement) = history.replacement(&in_store, RETENTION, at(ms)) {
                in_store = replacement;
                writes += 1;
            }
        }
        if history.only() == Some(NEW) {
            assert_eq!(in_store, [stored(NEW, 0)]);
            assert_eq!(restart, 1);
            assert_eq!(writes, 2);
            return;
        }
    }
    panic!("the old version is remembered: {in_store:?}");
}

/// Instances that see a change of the list at different moments must not undo each other's writes.
#[test]
fn writers_in_turn() {
    let mut in_store = Vec::new();
    let mut instances: Vec<_> = (0..4).map(|_| started(OLD, &[], 0)).collect();
    let mut writes = 0;
    for ms in (0..60_000).step_by(100) {
        for (n, history) in (0..).zip(&mut instances) {
            let lag = n * 300;
            let has_old = ms < 10_000 + lag;
            let has_new = ms >= 5_000 + lag;
            let listed = [(OLD, has_old), (NEW, has_new)];
            let listed = listed.iter().filter(|(_, is_listed)| *is_listed);
            history.record_listed(listed.map(|(version, _)| *version), true, at(ms));
            history.sweep(RETENTION, at(ms));
            if let Some(replacement) = history.replacement(&in_store, RETENTION, at(ms)) {
                in_store = replacement;
                writes += 1;
            }
        }
    }
    assert_eq!(in_store, [stored(NEW, 0)]);
    // Each change is written, and may be written once more by each of the others.
    assert!(writes <= 4 * 4, "{writes} writes");
}

/// An instance that removes a version from the store must not remove one that another instance has
/// just found.
#[test]
fn found_elsewhere() {
    let third = VersionTag(3);
    let mut history = started(OLD, &[stored(OLD, 0), stored(third, 0)], 0);
    history.record_listed([OLD], true, at(20_000));
    history.sweep(RETENTION, at(20_000));
    let in_store = [stored(OLD, 0), stored(NEW, 0), stored(third, 10_000)];
    let replacement = history.replacement(&in_store, RETENTION, at(20_000));
    assert_eq!(replacement, Some(vec![stored(OLD, 0), stored(NEW, 0)]));
}

/// Versions without end must not use more and more memory, nor push out the one in use.
#[test]
fn many_versions() {
    let mut history = started(OLD, &[], 0);
    for n in 0..1_000 {
        history.record_used(VersionTag(100 + n), at(u64::from(n)));
        assert!(!history.record_listed([OLD], true, at(u64::from(n))));
        assert_eq!(history.only(), None);
    }
    assert!(history.len() <= 16);
    for ms in (1_000..22_000).step_by(500) {
        history.record_listed([OLD], true, at(ms));
        history.sweep(RETENTION, at(ms));
    }
    assert_eq!(history.only(), Some(OLD));
}

/// A caller waits for longer than two answers may last.
#[test]
fn patient_caller() {
    let bounds = |caller_wait| TakeUpBounds {
        drain: Duration::from_secs(2),
        timeout: Duration::from_secs(2),
        caller_wait,
    };
    let wait = Duration::from_secs(15);
    let mut history = started(NEW, &[stored(OLD, 0), stored(NEW, 0)], 0);
    history.record_listed([NEW], true, at(16_900));
    history.sweep(bounds(Some(wait)).retention(), at(16_900));
    assert_eq!(history.only(), None);
    history.sweep(bounds(Some(wait)).retention(), at(17_000));
    assert_eq!(history.only(), Some(NEW));
}

/// A process that has just started does not know yet for how long callers wait.
#[test]
fn unstated_wait() {
    let bounds = TakeUpBounds::default();
    let mut history = started(NEW, &[stored(OLD, 0)], 0);
    for ms in (0..200_000).step_by(500) {
        history.record_listed([NEW], true, at(ms));
        history.sweep(bounds.retention(), at(ms));
        assert_eq!(history.only(), None, "at {ms}");
    }
}

/// A caller states that it waits forever.
#[test]
fn endless_wait() {
    let bounds = TakeUpBounds {
        caller_wait: Some(Duration::MAX),
        ..TakeUpBounds::default()
    };
    assert_eq!(bounds.retention(), Duration::MAX);
    let mut history = started(OLD, &[stored(NEW, u64::MAX)], 0);
    history.sweep(bounds.retention(), at(1_000));
    assert!(
        history
            .replacement(&[], bounds.retention(), at(1_000))
            .is_some()
    );
}

/// The process did not run while upstreams of another version joined. The list is not old enough to
/// count as out of date.
#[test]
fn stopped_process() {
    let history = started(OLD, &[], 0);
    assert_eq!(history.proved(Some(at(500)), at(400)), Some(OLD));
    assert_eq!(history.proved(Some(at(500)), at(501)), None);
    assert_eq!(history.proved(None, at(0)), None);
}

/// Records of the list are gone before they were read. What the store has is read again.
#[test]
fn missed_records() {
    let mut history = started(OLD, &[], 0);
    history.record_gap();
    assert_eq!(history.only(), None);
    history.record_listed([OLD], true, at(1_000));
    assert_eq!(history.only(), None);
    let now_stored = [stored(OLD, 0), stored(NEW, 300)];
    history.record_earlier(&now_stored, true, at(1_000), at(1_010));
    assert_eq!(history.only(), None);
}

/// An instance that reads the list through another one does not see what came and went between two
/// replies.
#[test]
fn told_versions() {
    let mut history = started(OLD, &[], 0);
    history.record_told(&[stored(NEW, 2_000), stored(OLD, 9_000)], at(10_000));
    assert_eq!(history.only(), None);
    history.record_listed([OLD], true, at(27_900));
    history.sweep(RETENTION, at(27_900));
    assert_eq!(history.only(), None);
    history.sweep(RETENTION, at(28_000));
    assert_eq!(history.only(), Some(OLD));
}

/// An upstream that starts again under its id is taken for the one before.
#[test]
fn started_again() {
    let verdict = |listed_ms, reported_ms, has_ended, goes_on| {
        StartEvidence {
            listed_ms,
            reported_ms,
            has_ended,
            goes_on,
        }
        .verdict()
    };
    for goes_on in [false, true] {
        assert_eq!(
            verdict(Some(5), Some(5), true, goes_on),
            StartVerdict::Proved
        );
        assert_eq!(
            verdict(Some(5), Some(6), false, goes_on),
            StartVerdict::Other
        );
        assert_eq!(verdict(Some(5), None, true, goes_on), StartVerdict::Other);
    }
    assert_eq!(verdict(Some(5), None, false, true), StartVerdict::Unknown);
    assert_eq!(verdict(None, Some(5), false, true), StartVerdict::Unknown);
    assert_eq!(verdict(None, None, false, false), StartVerdict::Assumed);
}

/// An instance that was cut off knows a version from long ago. The store knows that it was in use
/// later.
#[test]
fn later_use_stored() {
    let mut history = VersionHistory::default();
    history.record_used(OLD, at(0));
    history.record_listed([NEW], true, at(10_000));
    history.record_earlier(
        &[stored(OLD, 0), stored(NEW, 0)],
        true,
        at(10_000),
        at(10_000),
    );
    for ms in (10_000..30_000).step_by(500) {
        history.record_listed([NEW], true, at(ms));
        history.sweep(RETENTION, at(ms));
        assert_eq!(history.only(), None, "at {ms}");
    }
}
