//! Guards against bodies that together take more memory than the instance has, and against a budget
//! that is never given back.

use nutmegbay_policy::edge::body_budget::BodyBudget;

const MIB: u64 = 1024 * 1024;

#[test]
fn bodies_at_once() {
    let mut budget = BodyBudget::default();
    let taken = (0..150).filter(|_| budget.try_take(4 * MIB, Some(260 * MIB)));
    assert_eq!(taken.count(), 16);
    assert!(
        budget.try_take(MIB / 2, Some(260 * MIB)),
        "a small one fits"
    );
}

#[test]
fn ended_requests() {
    let mut budget = BodyBudget::default();
    for _ in 0..1_000 {
        assert!(budget.try_take(30 * MIB, Some(160 * MIB)));
        assert!(!budget.try_take(30 * MIB, Some(160 * MIB)));
        budget.put_back(30 * MIB);
    }
    assert_eq!(budget.used(), 0);
}

#[test]
fn odd_sizes() {
    let mut budget = BodyBudget::default();
    assert!(!budget.try_take(u64::MAX, None));
    assert!(budget.try_take(MIB, None));
    assert!(!budget.try_take(u64::MAX, None));
    budget.put_back(u64::MAX);
    assert_eq!(budget.used(), 0);
}
