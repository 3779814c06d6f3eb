//! Guards against orders that take effect under a fencing number that is no longer in force.

mod common;

use assert_matches::assert_matches;
use common::{claim, renew};
use nutmegbay_core::guard::{OrderFencing, OrderRefused};
use nutmegbay_core::ids::{Epoch, Offset, RecordId};
use nutmegbay_core::record::{Body, LeaseChange, LeaseRole, Record, SCHEMA};

const PLANNER: LeaseRole = LeaseRole::Planner;

fn observe(authority: &mut OrderFencing, offset: u64, author: &str, body: Body) {
    let record = Record {
        id: RecordId(offset.into()),
        author: author.into(),
        at_ms: 0,
        schema: SCHEMA,
        body,
    };
    authority.observe(Offset(offset), Some(&record));
}

/// OrderFencing that has read the log from offset 100 on, with a holder that renews.
fn confirmed() -> OrderFencing {
    let mut authority = OrderFencing::new();
    authority.set_head(Offset(103));
    observe(
        &mut authority,
        100,
        "g1",
        claim(PLANNER, "g1", Some(Offset(50))),
    );
    observe(&mut authority, 101, "g1", renew(PLANNER, 100, 100));
    authority.observe(Offset(102), None);
    authority
}

#[test]
fn none_after_start() {
    let mut authority = OrderFencing::new();
    assert_eq!(authority.check(Epoch(7)), Err(OrderRefused::NotConfirmed));
    authority.set_head(Offset(101));
    // One claim alone may have been rejected by replay.
    observe(
        &mut authority,
        100,
        "g1",
        claim(PLANNER, "g1", Some(Offset(50))),
    );
    assert_eq!(authority.check(Epoch(100)), Err(OrderRefused::NotConfirmed));
}

#[test]
fn below_head() {
    let mut authority = OrderFencing::new();
    authority.set_head(Offset(500));
    observe(
        &mut authority,
        100,
        "g1",
        claim(PLANNER, "g1", Some(Offset(50))),
    );
    observe(&mut authority, 101, "g1", renew(PLANNER, 100, 100));
    assert_eq!(
        authority.check(Epoch(100)),
        Err(OrderRefused::NotConfirmed),
        "a log position before the start was enough"
    );
}

#[test]
fn old_refused() {
    let mut authority = confirmed();
    assert_matches!(authority.check(Epoch(99)), Err(OrderRefused::Old { .. }));
    assert_eq!(authority.check(Epoch(100)), Ok(()));
    assert_eq!(authority.check(Epoch(120)), Ok(()));
    assert_matches!(authority.check(Epoch(100)), Err(OrderRefused::Old { .. }));
}

#[test]
fn rejected_claim() {
    let mut authority = confirmed();
    // Replay rejects this claim: it does not follow the renewal.
    observe(
        &mut authority,
        103,
        "g2",
        claim(PLANNER, "g2", Some(Offset(100))),
    );
    assert_eq!(authority.check(Epoch(100)), Ok(()));
}

#[test]
fn next_claim() {
    let mut authority = confirmed();
    observe(
        &mut authority,
        103,
        "g2",
        claim(PLANNER, "g2", Some(Offset(101))),
    );
    assert_matches!(authority.check(Epoch(100)), Err(OrderRefused::Old { .. }));
    assert_eq!(authority.check(Epoch(103)), Ok(()));
}

#[test]
fn released() {
    let mut authority = confirmed();
    let release = Body::LeaseRelease(LeaseChange {
        role: PLANNER,
        epoch: Epoch(100),
        prev: Offset(101),
    });
    observe(&mut authority, 103, "g1", release);
    assert_matches!(authority.check(Epoch(100)), Err(OrderRefused::Old { .. }));
}

#[test]
fn gap() {
    let mut authority = confirmed();
    authority.observe(Offset(110), None);
    assert!(!authority.is_confirmed(), "a missing record was ignored");
    assert_matches!(
        authority.check(Epoch(99)),
        Err(OrderRefused::Old { .. }),
        "the highest fencing number was forgotten"
    );
}
