//! Guards against an account that starves others, and against work for requests that come too late.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_policy::AccountKey;
use nutmegbay_policy::queue::{FairQueue, Fifo, Queue, Ticket};
use slotmap::SlotMap;

fn accounts() -> (AccountKey, AccountKey) {
    let mut arena = SlotMap::<AccountKey, ()>::with_key();
    (arena.insert(()), arena.insert(()))
}

fn ticket(account: AccountKey, item: u32) -> Ticket<u32> {
    Ticket {
        account,
        cost: 1.0,
        priority: 0,
        deadline: MonotonicTime(Duration::from_hours(1)),
        item,
    }
}

/// Share of the first 20 places that a modest account gets behind 200 requests of a greedy one.
fn modest_share(mut queue: impl Queue<u32>) -> usize {
    let (greedy, modest) = accounts();
    queue.set_share(greedy, 1.0);
    queue.set_share(modest, 1.0);
    queue.set_rate(1.0);
    let now = MonotonicTime::default();
    for item in 0..200 {
        queue.push(ticket(greedy, item), now).expect("far deadline");
    }
    for item in 0..20 {
        queue.push(ticket(modest, item), now).expect("far deadline");
    }
    let popped = std::iter::from_fn(|| queue.pop(now)).take(20);
    popped.filter(|ticket| ticket.account == modest).count()
}

#[test]
fn greedy_account() {
    assert_eq!(modest_share(FairQueue::default()), 10);
    // The check can fail: first come, first served starves the modest account.
    assert_eq!(modest_share(Fifo::default()), 0);
}

#[test]
fn peer_charge() {
    let (served, fresh) = accounts();
    let first = |charge: f64| {
        let mut queue = FairQueue::default();
        let now = MonotonicTime::default();
        for account in [served, fresh] {
            queue.set_share(account, 1.0);
        }
        queue.set_rate(1.0);
        for item in 0..10 {
            queue.push(ticket(served, item), now).expect("far deadline");
            queue.push(ticket(fresh, item), now).expect("far deadline");
        }
        queue.charge(served, charge);
        let popped = std::iter::from_fn(|| queue.pop(now)).take(4);
        popped.filter(|ticket| ticket.account == fresh).count()
    };
    assert_eq!(first(4.0), 4, "work at a peer counts here as well");
    assert_eq!(first(0.0), 2, "without the charge both are equal");
}

#[test]
fn early_refusal() {
    let (account, _) = accounts();
    let mut queue = FairQueue::default();
    queue.set_share(account, 1.0);
    queue.set_rate(1.0);
    let now = MonotonicTime::default();
    let soon = |item| Ticket {
        deadline: MonotonicTime(Duration::from_secs(5)),
        ..ticket(account, item)
    };
    let taken = (0..20).filter(|&item| queue.push(soon(item), now).is_ok());
    let taken = taken.count();
    assert!(
        (4..=7).contains(&taken),
        "took {taken} of 20 with 5 s to go"
    );
    let refused = queue.push(soon(99), now).expect_err("no time left");
    assert!(refused.retry_after > Duration::from_secs(4));
}

#[test]
fn put_back() {
    let (one, two) = accounts();
    let mut queue = FairQueue::default();
    let now = MonotonicTime::default();
    for account in [one, two] {
        queue.set_share(account, 1.0);
        for item in 0..3 {
            queue
                .push(ticket(account, item), now)
                .expect("far deadline");
        }
    }
    let first = queue.pop(now).expect("six wait");
    queue.put_back(first.clone());
    assert_eq!(queue.len(), 6);
    assert_eq!(
        queue.pop(now),
        Some(first),
        "a blocked head keeps its place"
    );
}
