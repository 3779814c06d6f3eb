//! Guards against a node that reads without end, and against streams that go on after a withdrawal
//! or in isolation.

mod common;

use common::host::{Host, entries};
use common::{Log, grant};
use nutmegbay_core::ids::Offset;
use nutmegbay_core::node::{Effect, Event, TailRead};
use nutmegbay_core::record::{Body, KeyWithdraw};

fn reads(host: &mut Host) -> usize {
    let count = |effect: &Effect| matches!(effect, Effect::ReadTail { .. });
    host.outside.effects.drain(..).filter(count).count()
}

#[test]
fn gap_in_log() {
    let mut log = Log::default();
    log.put("ann", grant("k1", "a"));
    let mut host = Host::named("g1");
    host.run(&mut log, 600);
    assert!(host.node.is_started());
    reads(&mut host);
    let read = TailRead {
        started: host.outside.now,
        entries: entries(&log.texts, 5, 5, 1),
        head: Offset(6),
        oldest: Offset(0),
    };
    host.give(Event::TailRead(read));
    assert_eq!(
        reads(&mut host),
        0,
        "a read without progress was repeated at once"
    );
    host.pass(300);
    assert_eq!(reads(&mut host), 1);
}

#[test]
fn failing_log() {
    let mut host = Host::named("g1");
    host.pass(0);
    assert_eq!(reads(&mut host), 1);
    host.give(Event::TailFailed);
    host.pass(50);
    assert_eq!(
        reads(&mut host),
        0,
        "a failed read was repeated without a pause"
    );
    host.pass(250);
    assert_eq!(reads(&mut host), 1);
}

#[test]
fn ended_streams() {
    let mut log = Log::default();
    log.put("ann", grant("k1", "a"));
    let mut host = Host::named("g1");
    host.run(&mut log, 1_000);
    let withdraw = KeyWithdraw { key: "k1".into() };
    log.put("ann", Body::KeyWithdraw(withdraw));
    let effects = host.pump(&mut log);
    assert!(
        effects.contains(&Effect::KeysWithdrawn(vec!["k1".into()])),
        "open streams of a withdrawn key were not ended"
    );
    // No answer for 3 s: the peers are not known, so this is no outage.
    host.pass(1_600);
    let lagging = host.outside.effects.contains(&Effect::EndKeyed);
    assert!(
        !lagging,
        "streams were ended while the node was only lagging"
    );
    host.pass(1_500);
    assert!(
        host.outside.effects.contains(&Effect::EndKeyed),
        "keyed streams went on in isolation"
    );
}
