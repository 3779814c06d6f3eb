//! Guards against replay that accepts a record where it is not valid, stops at a record that does
//! not parse, or differs between replicas.

mod common;

use assert_matches::assert_matches;
use common::{Log, account, claim, publish, renew, sha256, token};
use nutmegbay_core::ids::{Epoch, Incarnation, Offset, RecordId, WindowId};
use nutmegbay_core::record::{
    Body, DrainRequest, EngineRole, KeyGrant, KeyWithdraw, LeaseChange, LeaseRole, OrderCommand,
    OrderDone, OrderIntent, Usage, UsageCounts, WindowReported, WindowSeal,
};
use nutmegbay_core::replica::{Applied, KeyError, RejectReason, Replica};

#[test]
fn concurrent_publishes() {
    let mut log = Log::default();
    assert_eq!(log.put("ann", publish(None, None, "1")), None);
    let first = Some(Offset(0));
    assert_eq!(log.put("ann", publish(Some("north"), first, "2")), None);
    assert_eq!(
        log.put("bob", publish(None, first, "3")),
        Some(RejectReason::Overtaken),
        "a publish over an outdated version was accepted"
    );
    let config = log.replica.config();
    assert_eq!(config.last(), Some(Offset(1)));
    assert_eq!(&*config.base().unwrap().text, "1");
    assert_eq!(&*config.overlay("north").unwrap().text, "2");
    let last = log.replica.audit().iter().next_back().unwrap();
    assert_eq!(
        (&*last.author, last.rejected),
        ("bob", Some(RejectReason::Overtaken))
    );
}

#[test]
fn key_withdrawal_is_final() {
    let mut log = Log::default();
    let grant = |account: &str, secret: &str| {
        Body::KeyGrant(KeyGrant {
            key: "k1".into(),
            account: account.into(),
            secret_sha256: sha256(secret),
        })
    };
    assert_eq!(log.put("ann", grant("a", "s_1")), None);
    assert_eq!(log.put("ann", grant("b", "s2")), Some(RejectReason::Exists));
    let keys = log.replica.keys();
    assert_eq!(&*keys.check(&token("k1", "s_1")).unwrap().account, "a");
    assert_eq!(keys.check(&token("k1", "s2")), Err(KeyError::WrongSecret));
    assert_eq!(keys.check(&token("k2", "s_1")), Err(KeyError::Unknown));
    for text in ["", "nb_", "nb_k1", "nb__s", "nb_k1_", "k1_s_1"] {
        assert_eq!(keys.check(text), Err(KeyError::Malformed), "{text}");
    }
    let withdraw = Body::KeyWithdraw(KeyWithdraw { key: "k1".into() });
    assert_eq!(log.put("ann", withdraw.clone()), None);
    assert_eq!(log.put("ann", withdraw), Some(RejectReason::Withdrawn));
    assert_eq!(
        log.put("ann", grant("a", "s_1")),
        Some(RejectReason::Exists),
        "a withdrawn key was granted again"
    );
    let keys = log.replica.keys();
    assert_eq!(keys.check(&token("k1", "s_1")), Err(KeyError::Withdrawn));
    assert!(!keys.is_live("k1"));
}

#[test]
fn unreadable_records() {
    let mut replica = Replica::new();
    let deep = "[".repeat(100_000);
    for (offset, text) in ["", "{", "null", "{\"id\":1}", &deep]
        .into_iter()
        .enumerate()
    {
        let applied = replica.apply(Offset(offset as u64), text);
        assert_matches!(applied, Applied::Unreadable(_));
    }
    assert_eq!(replica.unreadable(), 5);
    assert_eq!(
        replica.first_newer_schema(),
        None,
        "a record that does not parse counts as one of a newer schema"
    );
    let mut log = Log::default();
    let text = log.text("ann", publish(None, None, "1"));
    let newer = text.replace("\"schema\":1", "\"schema\":2");
    let unknown = text.replace("config_publish", "config_unpublish");
    assert_matches!(replica.apply(Offset(5), &newer), Applied::Unreadable(_));
    assert_eq!(replica.first_newer_schema(), Some(Offset(5)));
    assert_matches!(replica.apply(Offset(6), &unknown), Applied::Unreadable(_));
    assert_matches!(replica.apply(Offset(9), &text), Applied::Gap);
    assert_matches!(replica.apply(Offset(3), &text), Applied::Stale);
    assert_matches!(replica.apply(Offset(7), &text), Applied::Accepted(_));
    assert_matches!(replica.apply(Offset(8), &text), Applied::Duplicate(_));
    assert_eq!(replica.next(), Offset(9));
    assert_eq!(replica.config().last(), Some(Offset(7)));
}

#[test]
fn lease_records_in_order() {
    let mut log = Log::default();
    let role = LeaseRole::Planner;
    assert_eq!(log.put("g1", claim(role, "g1", None)), None);
    assert_eq!(
        log.put("g2", claim(role, "g2", None)),
        Some(RejectReason::Overtaken)
    );
    assert_eq!(log.put("g1", renew(role, 0, 0)), None);
    assert_eq!(
        log.put("g2", claim(role, "g2", Some(Offset(0)))),
        Some(RejectReason::Overtaken),
        "a claim was accepted although the holder renewed first"
    );
    assert_eq!(
        log.put("g2", renew(role, 0, 2)),
        Some(RejectReason::NotHolder)
    );
    assert_eq!(log.put("g2", claim(role, "g2", Some(Offset(2)))), None);
    assert_eq!(
        log.put("g1", renew(role, 0, 2)),
        Some(RejectReason::OldEpoch)
    );
    let release = Body::LeaseRelease(LeaseChange {
        role,
        epoch: Epoch(5),
        prev: Offset(5),
    });
    assert_eq!(log.put("g2", release), None);
    assert_eq!(log.replica.leases().current(role), None);
    assert_eq!(
        log.put("g2", renew(role, 5, 7)),
        Some(RejectReason::OldEpoch)
    );
}

#[test]
fn one_outstanding_order() {
    let mut log = Log::default();
    let intent = |order, epoch, upstream: &str, role| {
        Body::OrderIntent(OrderIntent {
            order: RecordId(order),
            epoch: Epoch(epoch),
            command: OrderCommand::SetRole {
                upstream: upstream.into(),
                role,
            },
        })
    };
    let done = |order, epoch| {
        Body::OrderDone(OrderDone {
            order: RecordId(order),
            epoch: Epoch(epoch),
            applied: true,
            note: "".into(),
        })
    };
    let role = LeaseRole::Planner;
    let early = intent(1, 0, "e1", EngineRole::Decode);
    assert_eq!(log.put("g1", early), Some(RejectReason::OldEpoch));
    assert_eq!(log.put("g1", claim(role, "g1", None)), None);
    assert_eq!(log.put("g1", intent(1, 1, "e1", EngineRole::Decode)), None);
    assert_eq!(
        log.put("g1", intent(2, 1, "e1", EngineRole::Prefill)),
        Some(RejectReason::OrderOutstanding),
        "an engine has two outstanding orders"
    );
    assert_eq!(log.put("g1", intent(3, 1, "e2", EngineRole::Prefill)), None);
    assert_eq!(log.put("g2", claim(role, "g2", Some(Offset(1)))), None);
    assert_eq!(
        log.put("g1", intent(4, 1, "e3", EngineRole::Mixed)),
        Some(RejectReason::OldEpoch)
    );
    assert_eq!(
        log.put("g1", done(1, 1)),
        Some(RejectReason::OldEpoch),
        "a former lease holder ended an order that its successor repeats"
    );
    assert_eq!(log.put("g2", done(1, 5)), None);
    let outstanding = log.replica.orders().outstanding_for("e1");
    assert!(outstanding.is_none());
    assert_eq!(
        log.put("g2", intent(1, 5, "e1", EngineRole::Mixed)),
        Some(RejectReason::Exists)
    );
}

#[test]
fn sealed_windows_are_final() {
    let mut log = Log::default();
    let counts = |gateway, seq, windows: &[(u64, u64)]| {
        let usage = |calls| Usage {
            calls,
            ..Usage::default()
        };
        let entry = |&(window, calls): &(u64, u64)| (WindowId(window), account("a", usage(calls)));
        Body::UsageCounts(UsageCounts {
            gateway: Incarnation(gateway),
            seq,
            windows: windows.iter().map(entry).collect(),
        })
    };
    let seal = |window| {
        Body::WindowSeal(WindowSeal {
            window: WindowId(window),
            epoch: Epoch(0),
        })
    };
    let role = LeaseRole::Reporter;
    assert_eq!(log.put("g1", claim(role, "g1", None)), None);
    assert_eq!(log.put("g1", counts(1, 1, &[(7, 10)])), None);
    assert_eq!(log.put("g1", counts(1, 3, &[(7, 12), (8, 1)])), None);
    assert_eq!(
        log.put("g1", counts(1, 2, &[(7, 11)])),
        Some(RejectReason::OldSequence)
    );
    assert_eq!(
        log.put("g1", counts(1, 4, &[(7, 11)])),
        Some(RejectReason::CountDecreased)
    );
    assert_eq!(log.put("g2", counts(2, 1, &[(7, 5)])), None);
    assert_eq!(
        log.put("g1", seal(8)),
        Some(RejectReason::EarlierWindowOpen)
    );
    assert_eq!(log.put("g1", seal(7)), None);
    assert_eq!(log.put("g1", seal(7)), Some(RejectReason::WindowSealed));
    let before = log.replica.usage().report(WindowId(7)).unwrap().clone();
    assert_eq!(before.usage.accounts["a"].calls, 17);
    assert_eq!(log.put("g2", counts(2, 2, &[(7, 9)])), None);
    assert_eq!(
        log.replica.usage().report(WindowId(7)),
        Some(&before),
        "a count that was read after the seal changed the sealed usage"
    );
    let next = log.replica.usage().open().next().unwrap();
    assert_eq!((next.0, next.1.late["a"].calls), (WindowId(8), 4));
    let reported = Body::WindowReported(WindowReported {
        window: WindowId(7),
    });
    assert_eq!(log.put("g1", reported.clone()), None);
    assert_eq!(log.put("g1", reported), Some(RejectReason::Exists));
    assert_eq!(log.replica.usage().unreported().count(), 0);
}

#[test]
fn drain_before_restart() {
    let mut log = Log::default();
    let drain = Body::DrainRequest(DrainRequest {
        instance: "g1".into(),
    });
    assert_eq!(log.put("ann", drain), None);
    let drains = log.replica.drains();
    assert!(drains.is_requested("g1", Offset(0)));
    assert!(
        !drains.is_requested("g1", Offset(1)),
        "a drain request to a former process applies to the restarted instance"
    );
}
