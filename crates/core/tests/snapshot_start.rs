//! Guards against a started replica that differs from one that replayed the whole log, and against a
//! snapshot that is incomplete, damaged, older than the state or written by a diverged replica.

mod common;

use std::time::Duration;

use assert_matches::assert_matches;
use common::host::{Host, entries};
use common::{busy_log, grant, publish, put_snapshot};
use nutmegbay_core::freshness::LogProgress;
use nutmegbay_core::ids::{Epoch, Fingerprint, Offset};
use nutmegbay_core::node::{Effect, Event, TailRead};
use nutmegbay_core::record::Body;
use nutmegbay_core::replica::{Reason, Replica};
use nutmegbay_core::snapshot::{Collector, Image, InvalidImage};

#[test]
fn same_state() {
    let mut log = busy_log(3000, 3, 5);
    put_snapshot(&mut log, 4096);
    log.put("ann", grant("late", "a1"));
    // Only the records from the mark on are kept.
    let as_of = log.replica.snapshots().complete().unwrap().0;
    let kept = log.texts.split_off(usize::try_from(as_of).unwrap());
    let mut host = Host::named("g1");
    host.pass(0);
    host.read(&kept, as_of);
    assert!(host.node.is_started(), "the node found no snapshot");
    assert_eq!(
        host.node.replica(),
        &log.replica,
        "snapshot and tail give another state than the whole log"
    );
    assert_eq!(Image::of(host.node.replica()), Image::of(&log.replica));
}

#[test]
fn long_log() {
    let mut log = busy_log(20_000, 3, 5);
    put_snapshot(&mut log, 65_536);
    let mut host = Host::named("g1");
    host.pass(0);
    host.read(&log.texts, 0);
    assert_eq!(host.node.replica(), &log.replica);
    assert!(
        host.records_read < 12_000,
        "{} records were read although a snapshot is near the head",
        host.records_read
    );
}

#[test]
fn no_snapshot() {
    let log = busy_log(10_000, 3, 5);
    let mut host = Host::named("g1");
    host.pass(0);
    host.read(&log.texts, 0);
    assert_eq!(
        host.node.replica(),
        &log.replica,
        "a log without a snapshot was not replayed without a pause"
    );
}

#[test]
fn lost_records() {
    let log = busy_log(500, 3, 5);
    let mut host = Host::named("g1");
    host.pass(0);
    let effects = host.read(&log.texts[100..], 100);
    assert!(
        !host.node.is_started(),
        "a node started without the first records"
    );
    assert!(effects.contains(&Effect::AskImage));
    let image = Image::of(&log.replica);
    let asked = host.outside.now;
    let head_read_age = Some(Duration::ZERO);
    let next = image.as_of;
    host.give(Event::PeerImage {
        party: "g2".into(),
        asked,
        view: LogProgress {
            next,
            head_read_age,
        },
        image,
    });
    assert_eq!(host.node.replica(), &log.replica);
    assert_eq!(host.node.freshness().state(), "fresh");
}

#[test]
fn damaged_parts() {
    let mut log = busy_log(300, 2, 3);
    put_snapshot(&mut log, 1000);
    let mut whole = Collector::default();
    log.texts.iter().for_each(|text| whole.feed(text));
    assert_eq!(whole.latest().unwrap().load().unwrap().next(), Offset(301));

    let parts = log.texts.len() - 301;
    assert!(parts > 3);
    let mut lacking = Collector::default();
    let kept = |index: &usize| *index != 303;
    (0..log.texts.len())
        .filter(kept)
        .for_each(|index| lacking.feed(&log.texts[index]));
    assert!(
        lacking.latest().is_none(),
        "a snapshot without a part was taken"
    );

    let mut damaged = Collector::default();
    let swap = |text: &String| text.replace("a1", "a2");
    log.texts.iter().for_each(|text| damaged.feed(&swap(text)));
    assert!(
        damaged.latest().is_none(),
        "a snapshot with another digest was taken"
    );
}

#[test]
fn bad_images() {
    let log = busy_log(50, 2, 3);
    let image = Image::of(&log.replica);
    let load = |as_of, text: &str| Image::from_text(as_of, text.into()).load().unwrap_err();
    assert_eq!(load(image.as_of, "{"), InvalidImage::Unreadable);
    assert_eq!(load(Offset(1), &image.text), InvalidImage::OtherOffset);
    let newer = image.text.replace("\"schema\":1", "\"schema\":2");
    assert_eq!(load(image.as_of, &newer), InvalidImage::OtherSchema);
}

#[test]
fn older_image() {
    let mut log = busy_log(50, 2, 3);
    let old = Image::of(&log.replica);
    log.put("ann", publish(None, log.replica.config().last(), "new"));
    let mut host = Host::named("g1");
    host.pass(0);
    host.read(&log.texts, 0);
    // The log has dropped records that the node needs, and the peer is behind.
    let oldest = log.replica.next().0 + 100;
    let gone = vec![String::from("{}"); 3];
    host.give(Event::TailRead(TailRead {
        started: host.outside.now,
        entries: entries(&gone, oldest, 0, 3),
        head: Offset(oldest + 3),
        oldest: Offset(oldest),
    }));
    host.read(&gone, oldest);
    assert!(!host.node.is_started());
    let (asked, view) = (host.outside.now, LogProgress::default());
    host.give(Event::PeerImage {
        party: "g2".into(),
        asked,
        view,
        image: old,
    });
    assert_eq!(
        host.node.replica().config().last(),
        log.replica.config().last(),
        "an older image took the configuration back"
    );
}

#[test]
fn diverged_writer() {
    let mut log = busy_log(200, 2, 3);
    put_snapshot(&mut log, 1000);
    let last = log.texts.len() - 1;
    let mut other = Replica::new();
    other.apply(Offset(0), &log.texts[0]);
    let digest = Image::of(&other).digest;
    let right = Image::of(&log.replica).digest;
    assert_ne!(digest, right);
    // The same snapshot with the digest of another state.
    let mark: Vec<String> = log.texts[..201].to_vec();
    let parts = log.texts[201..].iter().map(|text| {
        let mut record: nutmegbay_core::record::Record = serde_json::from_str(text).unwrap();
        if let Body::SnapshotPart(part) = &mut record.body {
            part.digest = Fingerprint(1);
        }
        serde_json::to_string(&record).unwrap()
    });
    let forged: Vec<String> = mark.into_iter().chain(parts).collect();
    assert_eq!(forged.len(), last + 1);
    let mut host = Host::named("g1");
    host.pass(0);
    let effects = host.read(&forged, 0);
    assert!(
        effects.contains(&Effect::SnapshotDiffers(Offset(201))),
        "a snapshot that differs from the own state was not reported"
    );
}

#[test]
fn part_order() {
    let mut log = busy_log(100, 2, 3);
    put_snapshot(&mut log, 1000);
    let parts = Image::of(&log.replica).split(Epoch(0), 1000);
    let again = Body::SnapshotPart(parts[0].clone());
    assert_matches!(
        log.put("g0", again),
        Some(Reason::Unknown | Reason::Overtaken)
    );
    assert!(log.replica.snapshots().complete().is_some());
    assert!(!entries(&log.texts, 0, 0, 1).is_empty());
}
