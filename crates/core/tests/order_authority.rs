//! Guards against orders that take effect under a fencing number that is no longer in force.

mod common;

use assert_matches::assert_matches;
use common::{claim, renew};
use nutmegbay_core::guard::{OrderFencing, OrderRefused};
use nutmegbay_core::ids::{Epoch, Offset, RecordId};
use nutmegbay_core::record::{Body, LeaseChange, LeaseRole, Record, SCHEMA};

const PLANNER: LeaseRole = LeaseRole::Planner;

fn observe(fencing: &mut OrderFencing, offset: u64, author: &str, body: Body) {
    let record = Record {
        id: RecordId(offset.into()),
        author: author.into(),
        at_ms: 0,
        schema: SCHEMA,
        body,
    };
    fencing.observe(Offset(offset), Some(&record));
}

/// Returns a state that has read the log from offset 100 on, with a holder that renews.
fn confirmed() -> OrderFencing {
    let mut fencing = OrderFencing::new();
    fencing.set_head(Offset(103));
    observe(
        &mut fencing,
        100,
        "g1",
        claim(PLANNER, "g1", Some(Offset(50))),
    );
    observe(&mut fencing, 101, "g1", renew(PLANNER, 100, 100));
    fencing.observe(Offset(102), None);
    fencing
}

#[test]
fn none_after_start() {
    let mut fencing = OrderFencing::new();
    assert_eq!(fencing.check(Epoch(7)), Err(OrderRefused::NotConfirmed));
    fencing.set_head(Offset(101));
    // Replay may have rejected a single claim.
    observe(
        &mut fencing,
        100,
        "g1",
        claim(PLANNER, "g1", Some(Offset(50))),
    );
    assert_eq!(fencing.check(Epoch(100)), Err(OrderRefused::NotConfirmed));
}

#[test]
fn below_head() {
    let mut fencing = OrderFencing::new();
    fencing.set_head(Offset(500));
    observe(
        &mut fencing,
        100,
        "g1",
        claim(PLANNER, "g1", Some(Offset(50))),
    );
    observe(&mut fencing, 101, "g1", renew(PLANNER, 100, 100));
    assert_eq!(
        fencing.check(Epoch(100)),
        Err(OrderRefused::NotConfirmed),
        "a log position before the start confirmed the lease"
    );
}

#[test]
fn old_number_refused() {
    let mut fencing = confirmed();
    assert_matches!(fencing.check(Epoch(99)), Err(OrderRefused::Old { .. }));
    assert_eq!(fencing.check(Epoch(100)), Ok(()));
    assert_eq!(fencing.check(Epoch(120)), Ok(()));
    assert_matches!(fencing.check(Epoch(100)), Err(OrderRefused::Old { .. }));
}

#[test]
fn rejected_claim() {
    let mut fencing = confirmed();
    // Replay rejects this claim because it does not follow the renewal.
    observe(
        &mut fencing,
        103,
        "g2",
        claim(PLANNER, "g2", Some(Offset(100))),
    );
    assert_eq!(fencing.check(Epoch(100)), Ok(()));
}

#[test]
fn next_claim() {
    let mut fencing = confirmed();
    observe(
        &mut fencing,
        103,
        "g2",
        claim(PLANNER, "g2", Some(Offset(101))),
    );
    assert_matches!(fencing.check(Epoch(100)), Err(OrderRefused::Old { .. }));
    assert_eq!(fencing.check(Epoch(103)), Ok(()));
}

#[test]
fn released() {
    let mut fencing = confirmed();
    let release = Body::LeaseRelease(LeaseChange {
        role: PLANNER,
        epoch: Epoch(100),
        prev: Offset(101),
    });
    observe(&mut fencing, 103, "g1", release);
    assert_matches!(fencing.check(Epoch(100)), Err(OrderRefused::Old { .. }));
}

#[test]
fn gap() {
    let mut fencing = confirmed();
    fencing.observe(Offset(110), None);
    assert!(!fencing.is_confirmed(), "a missing record was ignored");
    assert_matches!(
        fencing.check(Epoch(99)),
        Err(OrderRefused::Old { .. }),
        "the highest fencing number was lost"
    );
}
