//! Request coalescing and retry budget: a repeated request must not run twice, must not count twice
//! as demand, and retries must be bounded.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_core::ids::Fingerprint;
use nutmegbay_policy::AccountKey;
use nutmegbay_policy::join::{Join, JoinTable};
use nutmegbay_policy::plan::{Demand, DemandLedger};
use nutmegbay_policy::retry::RetryBudget;
use slotmap::SlotMap;

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(Duration::from_millis(ms))
}

fn accounts() -> (AccountKey, AccountKey) {
    let mut arena = SlotMap::<AccountKey, ()>::with_key();
    (arena.insert(()), arena.insert(()))
}

#[test]
fn same_request() {
    let (one, two) = accounts();
    let mut table = JoinTable::<u8>::default();
    let work = Fingerprint(5);
    let Join::First(key) = table.enter(one, work, at(0)) else {
        panic!("no run is in progress");
    };
    assert_eq!(table.enter(one, work, at(10)), Join::Joined(key));
    // An account never receives the answer to a request of another account.
    assert!(matches!(table.enter(two, work, at(10)), Join::First(_)));
    table.finish(key);
    assert!(matches!(table.enter(one, work, at(20)), Join::First(_)));
}

#[test]
fn caller_returns() {
    let (account, _) = accounts();
    let mut table = JoinTable::<u8>::default();
    let work = Fingerprint(5);
    let Join::First(key) = table.enter(account, work, at(0)) else {
        panic!("no run is in progress");
    };
    table.leave(key, at(1_000));
    assert!(table.take_abandoned(at(1_500)).is_empty());
    assert_eq!(table.enter(account, work, at(1_600)), Join::Joined(key));
    table.leave(key, at(2_000));
    assert_eq!(table.take_abandoned(at(9_000)), [key]);
}

#[test]
fn other_gateway() {
    let (account, _) = accounts();
    let work = Fingerprint(5);
    let mut here = JoinTable::<u8>::default();
    let mut there = JoinTable::<u8>::default();
    here.enter(account, work, at(0));
    here.record_arrival(account, work, at(0));
    let runs: Vec<_> = here.announcements(at(400)).collect();
    there.apply_announcements(1, runs, at(400));
    assert_eq!(there.enter(account, work, at(500)), Join::AtPeer(1));
    // The repeat keeps the time of the first arrival, so that it does not get a new deadline.
    assert_eq!(there.record_arrival(account, work, at(500)), at(0));
    // An announcement that is not repeated expires, so that a failed peer does not block requests.
    assert!(matches!(
        there.enter(account, work, at(9_000)),
        Join::First(_)
    ));
}

#[test]
fn demand_once() {
    let mut ledger = DemandLedger::new(1);
    let demand = Demand {
        prefill: 1.0,
        decode: 0.5,
    };
    for gateway in 0..3 {
        ledger.record(Fingerprint(9), demand, at(gateway));
    }
    assert_eq!(ledger.take(at(10)), demand);
    assert_eq!(ledger.take(at(20)), Demand::default());
}

#[test]
fn retry_bound() {
    let mut budget = RetryBudget::new(at(0));
    let allowed = (0..1_000)
        .filter(|_| {
            budget.record_first_attempt();
            budget.try_retry(at(0))
        })
        .count();
    assert!(
        (100..=125).contains(&allowed),
        "{allowed} retries for 1,000 requests"
    );
}
