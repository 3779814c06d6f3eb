//! Guards against a node that repeats reads without a pause, and against streams that continue
//! after their key was withdrawn or while the node is isolated.

mod common;

use common::host::{Host, entries};
use common::{Log, grant};
use nutmegbay_core::ids::Offset;
use nutmegbay_core::node::{Effect, Event, TailRead};
use nutmegbay_core::record::{Body, KeyWithdraw};

/// Takes all pending effects and returns the number of reads among them.
fn take_reads(host: &mut Host) -> usize {
    let is_read = |effect: &Effect| matches!(effect, Effect::ReadTail { .. });
    host.environment.effects.drain(..).filter(is_read).count()
}

#[test]
fn gap_in_log() {
    let mut log = Log::default();
    log.put("ann", grant("k1", "a"));
    let mut host = Host::named("g1");
    host.run(&mut log, 600);
    assert!(host.node.is_started());
    take_reads(&mut host);
    let read = TailRead {
        started: host.environment.now,
        entries: entries(&log.texts, 5, 5, 1),
        head: Offset(6),
        oldest: Offset(0),
    };
    host.send_event(Event::TailRead(read));
    assert_eq!(
        take_reads(&mut host),
        0,
        "a read without progress was repeated at once"
    );
    host.advance(300);
    assert_eq!(take_reads(&mut host), 1);
}

#[test]
fn failing_log() {
    let mut host = Host::named("g1");
    host.advance(0);
    assert_eq!(take_reads(&mut host), 1);
    host.send_event(Event::TailReadFailed);
    host.advance(50);
    assert_eq!(
        take_reads(&mut host),
        0,
        "a failed read was repeated without a pause"
    );
    host.advance(250);
    assert_eq!(take_reads(&mut host), 1);
}

#[test]
fn ended_streams() {
    let mut log = Log::default();
    log.put("ann", grant("k1", "a"));
    let mut host = Host::named("g1");
    host.run(&mut log, 1_000);
    let withdraw = KeyWithdraw { key: "k1".into() };
    log.put("ann", Body::KeyWithdraw(withdraw));
    let effects = host.process_effects(&mut log);
    assert!(
        effects.contains(&Effect::KeysWithdrawn(vec!["k1".into()])),
        "open streams of a withdrawn key were not ended"
    );
    // Reads are not answered for 3 s. No peer is known, so this counts as isolation and not as an
    // outage of the log.
    host.advance(1_600);
    let has_ended = host.environment.effects.contains(&Effect::EndKeyedStreams);
    assert!(
        !has_ended,
        "streams were ended while the node was only lagging"
    );
    host.advance(1_500);
    assert!(
        host.environment.effects.contains(&Effect::EndKeyedStreams),
        "streams with a key continued in isolation"
    );
}
