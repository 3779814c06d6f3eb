//! Guards against taking a version for possible at which no stream has begun, and against streams that
//! begin at a version before the store names it.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_policy::edge::software_versions::{StoredVersion, VersionHistory, VersionTag};

const RETENTION: Duration = Duration::from_secs(20);

const OLD: VersionTag = VersionTag(1);
const NEW: VersionTag = VersionTag(2);

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(Duration::from_millis(ms))
}

fn stored(version: VersionTag) -> StoredVersion {
    StoredVersion {
        version,
        unused_ms: 0,
    }
}

fn versions(set: &[StoredVersion]) -> Vec<VersionTag> {
    set.iter().map(|stored| stored.version).collect()
}

/// Returns the history of an instance that started at 0, read `earlier` from the store and finds both
/// versions listed.
fn started(earlier: &[StoredVersion]) -> VersionHistory {
    let mut history = VersionHistory::default();
    history.record_listed([OLD, NEW], true, at(0));
    history.record_earlier(earlier, true, at(0), at(10));
    history
}

/// Returns what an instance writes to the store at `ms` in place of `in_store`.
fn written(history: &VersionHistory, in_store: &[StoredVersion], ms: u64) -> Vec<VersionTag> {
    let replacement = history.replacement(in_store, RETENTION, at(ms));
    replacement.map_or_else(Vec::new, |set| versions(&set))
}

/// All instances were killed, and a version was listed before they started.
#[test]
fn listed_in_outage() {
    let mut history = started(&[stored(OLD)]);
    assert_eq!(history.only(), Some(OLD));
    let told: Vec<_> = history.snapshot(at(10)).collect();
    assert_eq!(versions(&told), [OLD], "the others are not told of it");
    assert!(history.is_held(NEW) && !history.is_held(OLD));
    let list_read_at = Some(at(9_000));
    assert_eq!(
        history.proved(list_read_at, at(5_000)),
        None,
        "another instance may have taken it into use since"
    );
    history.record_earlier(&[stored(OLD)], true, at(5_000), at(5_010));
    assert_eq!(history.proved(None, at(5_000)), Some(OLD));
    assert_eq!(history.proved(list_read_at, at(5_001)), None);
}

/// Another instance takes the new version into use after this one has started.
#[test]
fn taken_elsewhere() {
    let third = VersionTag(3);
    for added in [NEW, third] {
        let mut history = started(&[stored(OLD)]);
        history.record_earlier(&[stored(OLD), stored(added)], true, at(5_000), at(5_010));
        assert_eq!(history.proved(None, at(5_000)), None);
        assert!(!history.is_held(added));
    }
    let mut history = started(&[stored(OLD)]);
    history.record_told(&[stored(NEW)], at(5_000));
    assert_eq!(history.only(), None);
}

/// The store may have lost the versions in use in a restore.
#[test]
fn restored_set() {
    let mut history = started(&[stored(OLD)]);
    history.record_earlier(&[stored(OLD)], false, at(5_000), at(5_010));
    assert_eq!(history.proved(None, at(5_000)), None);
}

/// An instance that has just started leaves the new version alone for as long as streams from before
/// may be taken up.
#[test]
fn hold_after_start() {
    let in_store = [stored(OLD)];
    let mut history = started(&in_store);
    for ms in (500..20_000).step_by(500) {
        history.record_listed([OLD, NEW], true, at(ms));
        history.sweep(RETENTION, at(ms));
        assert!(history.is_held(NEW), "at {ms}");
        assert!(!written(&history, &in_store, ms).contains(&NEW), "at {ms}");
    }
    assert_eq!(written(&history, &in_store, 20_000), [OLD, NEW]);
    assert!(history.is_held(NEW), "it is not written yet");
    history.record_written(&[stored(OLD), stored(NEW)]);
    assert!(!history.is_held(NEW));
    assert_eq!(history.only(), None);
}

/// The upstreams of the version in use have no room, or have left.
#[test]
fn no_room() {
    let in_store = [stored(OLD)];
    let mut history = started(&in_store);
    history.want_listed();
    assert_eq!(written(&history, &in_store, 20), [OLD, NEW]);
    history.record_written(&[stored(OLD), stored(NEW)]);
    history.sweep(RETENTION, at(500));
    assert!(!history.is_wanted(), "a later version is not wanted yet");
}

/// An instance that has run for long enough takes a version into use when it is listed.
#[test]
fn calm_release() {
    let in_store = [stored(OLD)];
    let mut history = VersionHistory::default();
    for ms in (0..30_000).step_by(500) {
        history.record_listed([OLD], true, at(ms));
        history.record_earlier(&in_store, true, at(ms), at(ms));
        history.sweep(RETENTION, at(ms));
    }
    history.record_listed([OLD, NEW], true, at(30_000));
    assert!(history.is_held(NEW), "the store comes first");
    assert_eq!(written(&history, &in_store, 30_000), [OLD, NEW]);
}

/// An entry of another version came and went. Nobody writes that it is in use.
#[test]
fn passing_entry() {
    let mut history = started(&[]);
    history.record_written(&[stored(OLD), stored(NEW)]);
    let third = VersionTag(3);
    history.record_entry(third, at(1_000));
    history.record_listed([OLD, NEW], true, at(1_001));
    assert_eq!(written(&history, &[stored(OLD), stored(NEW)], 1_001), []);
    history.record_listed([OLD, NEW, third], true, at(2_000));
    let taken = written(&history, &[stored(OLD), stored(NEW)], 2_000);
    assert_eq!(taken, [OLD, NEW, third]);
}

/// Entries of versions without end must not push out one at which streams have begun.
#[test]
fn many_entries() {
    let mut history = started(&[stored(OLD), stored(NEW)]);
    for n in 0..1_000 {
        history.record_listed([OLD, VersionTag(100 + n)], true, at(u64::from(n)));
        assert_eq!(history.only(), None);
    }
    assert!(history.len() <= 16);
}

/// The system starts for the first time: no version was in use before.
#[test]
fn first_start() {
    let history = started(&[]);
    assert!(!history.is_held(OLD) && !history.is_held(NEW));
    assert_eq!(history.only(), None);
    assert_eq!(written(&history, &[], 10), [OLD, NEW]);
}

/// An instance that has not read the store does not know which versions were in use.
#[test]
fn unread_store() {
    let mut history = VersionHistory::default();
    history.record_listed([OLD, NEW], true, at(0));
    assert!(history.is_held(OLD) && history.is_held(NEW));
    assert_eq!(history.only(), None);
    let mut history = VersionHistory::default();
    history.record_listed([NEW], true, at(0));
    assert!(!history.is_held(NEW), "there is no other");
    history.record_earlier(&[stored(OLD)], true, at(0), at(10));
    assert_eq!(history.only(), None, "streams may have begun there");
}

/// An instance that knew a version by its entry alone leaves it in the store, where another one has
/// written it meanwhile.
#[test]
fn written_elsewhere() {
    let mut history = started(&[stored(OLD)]);
    for ms in (500..=21_000).step_by(500) {
        history.record_listed([OLD], true, at(ms));
        history.sweep(RETENTION, at(ms));
    }
    let in_store = [stored(OLD), stored(NEW)];
    assert_eq!(written(&history, &in_store, 21_000), []);
}

/// A version that was out of use for long is only listed again.
#[test]
fn listed_again() {
    let mut history = started(&[stored(OLD), stored(NEW)]);
    for ms in (500..=20_500).step_by(500) {
        history.record_listed([OLD], true, at(ms));
        history.sweep(RETENTION, at(ms));
    }
    assert_eq!(history.only(), Some(OLD));
    history.record_listed([OLD, NEW], true, at(21_000));
    assert!(history.is_held(NEW));
}
