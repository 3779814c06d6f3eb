//! Guards against instances that together spend more than the quota of an account while they are
//! killed, cut off or stand still.
#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "counts and milliseconds stay far below 2^52 and are not negative"
)]

mod quota_group;

use proptest::prelude::*;
use quota_group::{ACCOUNT, Group, QUOTA};

/// takes until one side takes the other for failed. One side, both or none reach the store.
#[test]
fn cut() {
    for (count, stores) in [
        (7, [true, true]),
        (7, [true, false]),
        (7, [false, true]),
        (13, [false, true]),
        (13, [true, false]),
        (10, [false, true]),
        (10, [false, false]),
    ] {
        let mut group = Group::new(20, QUOTA);
        group.overload(8.0, 5_000);
        let owners = group.instances[0].members.owners(ACCOUNT);
        let owners = owners.as_slice().iter().copied();
        let others = (0..20).filter(|n| !owners.clone().any(|owner| owner == *n));
        let order: Vec<_> = owners.clone().chain(others).collect();
        for (n, member) in order.into_iter().enumerate() {
            let side = usize::from(n < count);
            let instance = &mut group.instances[usize::try_from(member).unwrap()];
            (instance.side, instance.has_store) = (side, stores[side]);
        }
        group.overload(8.0, 30_000);
        let most = group.most_spent(QUOTA, 0);
        assert!(most <= 1.0, "{count} {stores:?}: {most} of what is allowed");
        for instance in &mut group.instances {
            (instance.side, instance.has_store) = (0, true);
        }
        group.overload(8.0, 10_000);
        let most = group.most_spent(QUOTA, 0);
        assert!(most <= 1.0, "{count} {stores:?}: {most} after the cut");
        group.check_lowered();
    }
}

/// All instances are killed and start again, and the quota is lowered meanwhile.
#[test]
fn all_killed() {
    let mut group = Group::new(20, QUOTA);
    group.overload(8.0, 10_000);
    let served = group.spent.len();
    for _ in 0..3 {
        (0..20).for_each(|n| group.kill(n));
        group.overload(8.0, 1_500);
    }
    let most = group.most_spent(QUOTA, 0);
    assert!(most <= 1.0, "{most} of what is allowed");
    assert!(group.spent.len() > served, "nothing served after the kill");
    group.check_lowered();
}

/// The owners stand still until others have their parts, and wake.
#[test]
fn long_freeze() {
    let mut group = Group::new(20, QUOTA);
    group.overload(0.5, 5_000);
    let owners = group.instances[0].members.owners(ACCOUNT);
    for owner in owners.as_slice() {
        let owner = usize::try_from(*owner).unwrap();
        group.instances[owner].frozen_until_ms = group.now_ms + 33_000;
    }
    group.overload(8.0, 50_000);
    let most = group.most_spent(QUOTA, 0);
    assert!(most <= 1.0, "{most} of what is allowed");
}

/// Half of the instances stand still for two seconds, and wake with tokens that are too old.
#[test]
fn freeze() {
    let mut group = Group::new(20, QUOTA);
    group.overload(0.5, 10_000);
    for n in 0..10 {
        group.instances[n].frozen_until_ms = group.now_ms + 2_000;
    }
    group.overload(8.0, 10_000);
    let most = group.most_spent(QUOTA, 0);
    assert!(most <= 1.0, "{most} of what is allowed");
    group.check_lowered();
}

/// Something that happens to a group.
#[derive(Debug, Clone)]
enum Op {
    Requests {
        count: u8,
        cost: u16,
        delay_ms: u16,
        runs: bool,
    },
    Wait {
        ms: u16,
    },
    Kill {
        n: usize,
    },
    KillAll,
    Cut {
        n: usize,
        has_store: bool,
    },
    Join {
        n: usize,
    },
    Freeze {
        n: usize,
        ms: u16,
    },
    Lose {
        percent: u8,
    },
}

fn op() -> impl Strategy<Value = Op> {
    let n = 0..6_usize;
    prop_oneof![
        6 => (any::<u8>(), 100..20_000_u16, 0..700_u16, any::<bool>())
            .prop_map(|(count, cost, delay_ms, runs)| Op::Requests { count, cost, delay_ms, runs }),
        4 => (0..3_000_u16).prop_map(|ms| Op::Wait { ms }),
        2 => n.clone().prop_map(|n| Op::Kill { n }),
        1 => Just(Op::KillAll),
        2 => (n.clone(), any::<bool>()).prop_map(|(n, has_store)| Op::Cut { n, has_store }),
        2 => n.clone().prop_map(|n| Op::Join { n }),
        1 => (n, any::<u16>()).prop_map(|(n, ms)| Op::Freeze { n, ms: ms / 2 }),
        1 => (0..90_u8).prop_map(|percent| Op::Lose { percent }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(150))]

    /// No order of requests, losses, cuts, freezes and restarts exceeds the bound.
    #[test]
    fn any_order(ops in proptest::collection::vec(op(), 1..60)) {
        let mut group = Group::new(6, QUOTA);
        for op in ops {
            match op {
                Op::Requests { count, cost, delay_ms, runs } => {
                    for n in 0..usize::from(count) {
                        if group.is_awake(n % 6) {
                            group.request(n % 6, cost.into(), delay_ms.into(), runs);
                        }
                    }
                    group.advance(1);
                }
                Op::Wait { ms } => group.advance(ms.into()),
                Op::Kill { n } => group.kill(n),
                Op::KillAll => (0..6).for_each(|n| group.kill(n)),
                Op::Cut { n, has_store } => {
                    (group.instances[n].side, group.instances[n].has_store) = (1, has_store);
                }
                Op::Join { n } => {
                    (group.instances[n].side, group.instances[n].has_store) = (0, true);
                }
                Op::Freeze { n, ms } => {
                    group.instances[n].frozen_until_ms = group.now_ms + u64::from(ms);
                }
                Op::Lose { percent } => group.loss = f64::from(percent) / 100.0,
            }
        }
        group.advance(1_000);
        let most = group.most_spent(QUOTA, 0);
        prop_assert!(most <= 1.0, "{} of what is allowed", most);
    }
}
