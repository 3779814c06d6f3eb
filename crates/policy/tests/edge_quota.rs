//! Guards against instances that together spend more than the quota of an account that is hot, and
//! against refusals of an account that stays below its quota.
#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "counts and milliseconds stay far below 2^52 and are not negative"
)]

mod quota_group;

use std::time::Duration;

use nutmegbay_policy::edge::quota::{Bucket, Contact, ContactReport};
use quota_group::{ACCOUNT, BOUNDS, Group, QUOTA, at};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Twenty instances serve an account at eight times its quota, and what it may use is used.
#[test]
fn hot_account() {
    let mut group = Group::new(20, QUOTA);
    group.overload(8.0, 30_000);
    let most = group.most_spent(QUOTA, 0);
    assert!(most <= 1.0, "{most} of what is allowed");
    let used: f64 = group.spent.iter().map(|(_, tokens)| tokens).sum();
    assert!(used >= QUOTA.per_s * 30.0 * 0.85, "only {used} used");
}

/// All requests of a caller arrive at one instance, then at another. Its use, at nine tenths of the
/// rate, stays within what one bucket would grant it.
#[test]
fn quiet_caller() {
    for (seed, cost) in [(1, 9_000.0), (2, 25_000.0), (3, 300.0)] {
        let mut group = Group::new(20, QUOTA);
        group.rng = ChaCha8Rng::seed_from_u64(seed);
        let (mut sent, mut refused) = (0, 0);
        let mut stated = Bucket::new(QUOTA.per_s, QUOTA.burst, 2.0);
        let pause_ms = cost / (QUOTA.per_s * 0.9) * 1e3;
        for n in (0..20).flat_map(|n| std::iter::repeat_n(n, 40)) {
            let varied = pause_ms * group.rng.random_range(0.5..1.5);
            group.advance(varied.round().max(1.0) as u64);
            stated.gain(group.now_ms as f64 / 1e3);
            if stated.try_take(cost) {
                sent += 1;
                refused += u32::from(!group.request(n, cost, 5, true));
            }
        }
        assert!(sent > 700, "only {sent} at {cost} within the quota");
        assert!(
            refused * 100 <= sent,
            "{refused} of {sent} at {cost} refused"
        );
    }
}

/// The owners and some others are cut off from the rest, a minority or a majority, for longer than it
/// Requests get tokens and do not run, for seconds, until upstreams accept them all again.
#[test]
fn circulating() {
    let mut group = Group::new(20, QUOTA);
    let grant = |group: &mut Group, ms: u64, runs: bool| {
        for n in 0..ms / 2 {
            group.request(n as usize % 20, 2_000.0, 300, runs);
            group.advance(2);
        }
    };
    grant(&mut group, 6_000, false);
    grant(&mut group, 9_000, true);
    let most = group.most_spent(QUOTA, 0);
    assert!(most <= 1.0, "{most} of what is allowed");
    let unspent = group
        .instances
        .iter()
        .filter_map(|instance| instance.owner.tokens(ACCOUNT));
    let held: f64 = unspent.sum();
    assert!(held <= group.plan.depth, "{held} held");
}

/// An instance that has just started gains only when the others know of it.
#[test]
fn starting() {
    let report = |ms: u64, heard: usize, known: usize| ContactReport {
        announced_for: Some(Duration::from_millis(ms)),
        has_joined: ms >= 2_000,
        record_age: Duration::ZERO,
        is_current: true,
        heard,
        known,
    };
    let gains = |report: ContactReport| {
        let mut contact = Contact::default();
        contact.update(report, at(9_000));
        contact.has_joined()
    };
    assert!(
        !gains(report(100, 19, 19)),
        "its announcement is on its way"
    );
    assert!(!gains(report(500, 19, 3)), "it has not read all records");
    assert!(!gains(report(500, 9, 19)), "it hears a minority");
    assert!(!gains(report(500, 0, 0)), "it hears nobody");
    assert!(gains(report(500, 12, 19)));
    assert!(gains(report(2_000, 0, 0)));
    let mut contact = Contact::default();
    contact.update(report(9_000, 19, 19), at(9_000));
    assert!(contact.has_joined());
    let woken = ContactReport {
        record_age: Duration::from_secs(21),
        ..report(30_000, 19, 19)
    };
    assert!(!contact.update(woken, at(30_000)) && !contact.has_joined());
    assert!(contact.update(woken, at(30_100)), "it announces itself");
}

/// An instance that is cut off still spends its share of the tolerance, and no more.
#[test]
fn alone() {
    for has_store in [true, false] {
        let mut group = Group::new(20, QUOTA);
        let owners = group.instances[0].members.owners(ACCOUNT);
        let alone = (0..20).find(|n| !owners.as_slice().contains(n)).unwrap();
        let alone = usize::try_from(alone).unwrap();
        (
            group.instances[alone].side,
            group.instances[alone].has_store,
        ) = (1, has_store);
        group.advance(15_000);
        let granted = (0..20_000).filter(|_| {
            group.advance(1);
            group.request(alone, 50.0, 1, true)
        });
        let granted = granted.count() as f64 * 50.0;
        assert!(granted > 0.0, "nothing");
        let share = QUOTA.per_s * 20.0 * BOUNDS.excess / 20.0;
        assert!(granted < share, "{granted}");
    }
}
