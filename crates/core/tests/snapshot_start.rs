//! Guards against a replica that differs after a start from one that replayed the whole log, and
//! against the use of a snapshot that is incomplete, damaged, older than the state or written by a
//! replica whose state diverged.

mod common;

use std::time::Duration;

use assert_matches::assert_matches;
use common::host::{Host, entries};
use common::{busy_log, grant, publish, put_snapshot};
use nutmegbay_core::freshness::LogProgress;
use nutmegbay_core::ids::{Epoch, Fingerprint, Offset};
use nutmegbay_core::node::{Effect, Event, TailRead};
use nutmegbay_core::record::Body;
use nutmegbay_core::replica::{RejectReason, Replica};
use nutmegbay_core::snapshot::{InvalidSnapshot, ReplicaSnapshot, SnapshotAssembler};

#[test]
fn snapshot_equals_replay() {
    let mut log = busy_log(3000, 3, 5);
    put_snapshot(&mut log, 4096);
    log.put("ann", grant("late", "a1"));
    // The log keeps only the records from the mark on.
    let as_of = log.replica.snapshots().complete().unwrap().0;
    let kept = log.texts.split_off(usize::try_from(as_of).unwrap());
    let mut host = Host::named("g1");
    host.advance(0);
    host.read(&kept, as_of);
    assert!(host.node.is_started(), "the node found no snapshot");
    assert_eq!(
        host.node.replica(),
        &log.replica,
        "the state from a snapshot differs from the state from the whole log"
    );
    assert_eq!(
        ReplicaSnapshot::of(host.node.replica()),
        ReplicaSnapshot::of(&log.replica)
    );
}

#[test]
fn long_log() {
    let mut log = busy_log(20_000, 3, 5);
    put_snapshot(&mut log, 65_536);
    let mut host = Host::named("g1");
    host.advance(0);
    host.read(&log.texts, 0);
    assert_eq!(host.node.replica(), &log.replica);
    assert!(
        host.records_read < 12_000,
        "{} records were read although a snapshot is close to the head",
        host.records_read
    );
}

#[test]
fn no_snapshot() {
    let log = busy_log(10_000, 3, 5);
    let mut host = Host::named("g1");
    host.advance(0);
    host.read(&log.texts, 0);
    assert_eq!(
        host.node.replica(),
        &log.replica,
        "a log without a snapshot was not replayed at once"
    );
}

#[test]
fn dropped_records() {
    let log = busy_log(500, 3, 5);
    let mut host = Host::named("g1");
    host.advance(0);
    let effects = host.read(&log.texts[100..], 100);
    assert!(
        !host.node.is_started(),
        "a node started without the first records"
    );
    assert!(effects.contains(&Effect::RequestPeerSnapshot));
    let snapshot = ReplicaSnapshot::of(&log.replica);
    let asked = host.environment.now;
    let head_read_age = Some(Duration::ZERO);
    let next = snapshot.as_of;
    host.send_event(Event::PeerSnapshot {
        endpoint: "g2".into(),
        asked,
        view: LogProgress {
            next,
            head_read_age,
        },
        snapshot,
    });
    assert_eq!(host.node.replica(), &log.replica);
    assert_eq!(host.node.freshness().state(), "fresh");
}

#[test]
fn damaged_parts() {
    let mut log = busy_log(300, 2, 3);
    put_snapshot(&mut log, 1000);
    let mut complete = SnapshotAssembler::default();
    log.texts.iter().for_each(|text| complete.add_record(text));
    assert_eq!(
        complete.latest().unwrap().load().unwrap().next(),
        Offset(301)
    );

    let parts = log.texts.len() - 301;
    assert!(parts > 3);
    let mut incomplete = SnapshotAssembler::default();
    let is_kept = |index: &usize| *index != 303;
    (0..log.texts.len())
        .filter(is_kept)
        .for_each(|index| incomplete.add_record(&log.texts[index]));
    assert!(
        incomplete.latest().is_none(),
        "a snapshot with a missing part was accepted"
    );

    let mut damaged = SnapshotAssembler::default();
    let damage = |text: &String| text.replace("a1", "a2");
    log.texts
        .iter()
        .for_each(|text| damaged.add_record(&damage(text)));
    assert!(
        damaged.latest().is_none(),
        "a snapshot that does not match its digest was accepted"
    );
}

#[test]
fn invalid_snapshots() {
    let log = busy_log(50, 2, 3);
    let snapshot = ReplicaSnapshot::of(&log.replica);
    let load = |as_of, text: &str| {
        ReplicaSnapshot::from_text(as_of, text.into())
            .load()
            .unwrap_err()
    };
    assert_eq!(load(snapshot.as_of, "{"), InvalidSnapshot::Unreadable);
    assert_eq!(
        load(Offset(1), &snapshot.text),
        InvalidSnapshot::OffsetMismatch
    );
    let newer = snapshot.text.replace("\"schema\":1", "\"schema\":2");
    assert_eq!(
        load(snapshot.as_of, &newer),
        InvalidSnapshot::SchemaMismatch
    );
}

#[test]
fn older_snapshot() {
    let mut log = busy_log(50, 2, 3);
    let old = ReplicaSnapshot::of(&log.replica);
    log.put("ann", publish(None, log.replica.config().last(), "new"));
    let mut host = Host::named("g1");
    host.advance(0);
    host.read(&log.texts, 0);
    // The log no longer has the records that the node needs next, and the peer's state is older.
    let oldest = log.replica.next().0 + 100;
    let later = vec![String::from("{}"); 3];
    host.send_event(Event::TailRead(TailRead {
        started: host.environment.now,
        entries: entries(&later, oldest, 0, 3),
        head: Offset(oldest + 3),
        oldest: Offset(oldest),
    }));
    host.read(&later, oldest);
    assert!(!host.node.is_started());
    let (asked, view) = (host.environment.now, LogProgress::default());
    host.send_event(Event::PeerSnapshot {
        endpoint: "g2".into(),
        asked,
        view,
        snapshot: old,
    });
    assert_eq!(
        host.node.replica().config().last(),
        log.replica.config().last(),
        "an older snapshot replaced the configuration by an older one"
    );
}

#[test]
fn snapshot_of_diverged_replica() {
    let mut log = busy_log(200, 2, 3);
    put_snapshot(&mut log, 1000);
    let last = log.texts.len() - 1;
    let mut other = Replica::new();
    other.apply(Offset(0), &log.texts[0]);
    let digest = ReplicaSnapshot::of(&other).digest;
    let right = ReplicaSnapshot::of(&log.replica).digest;
    assert_ne!(digest, right);
    // The same snapshot, whose parts carry another digest.
    let up_to_mark: Vec<String> = log.texts[..201].to_vec();
    let parts = log.texts[201..].iter().map(|text| {
        let mut record: nutmegbay_core::record::Record = serde_json::from_str(text).unwrap();
        if let Body::SnapshotPart(part) = &mut record.body {
            part.digest = Fingerprint(1);
        }
        serde_json::to_string(&record).unwrap()
    });
    let forged: Vec<String> = up_to_mark.into_iter().chain(parts).collect();
    assert_eq!(forged.len(), last + 1);
    let mut host = Host::named("g1");
    host.advance(0);
    let effects = host.read(&forged, 0);
    assert!(
        effects.contains(&Effect::SnapshotMismatch(Offset(201))),
        "a snapshot that differs from the replica's own state was not reported"
    );
}

#[test]
fn repeated_part() {
    let mut log = busy_log(100, 2, 3);
    put_snapshot(&mut log, 1000);
    let parts = ReplicaSnapshot::of(&log.replica).split(Epoch(0), 1000);
    let again = Body::SnapshotPart(parts[0].clone());
    assert_matches!(
        log.put("g0", again),
        Some(RejectReason::Unknown | RejectReason::Overtaken)
    );
    assert!(log.replica.snapshots().complete().is_some());
    assert!(!entries(&log.texts, 0, 0, 1).is_empty());
}
