//! Fair queueing: one account must not starve others, and requests that would miss their deadline
//! are refused before any work is done.

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

/// Returns how many of the first 20 served requests belong to a modest account that queues behind
/// 200 requests of a greedy one.
fn modest_places(mut queue: impl Queue<u32>) -> usize {
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
    assert_eq!(modest_places(FairQueue::default()), 10);
    // Shows that the check can fail: first come, first served starves the modest account.
    assert_eq!(modest_places(Fifo::default()), 0);
}

#[test]
fn peer_charge() {
    let (served, fresh) = accounts();
    let fresh_among_first = |charge: f64| {
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
    assert_eq!(
        fresh_among_first(4.0),
        4,
        "work served at a peer delays the account here"
    );
    assert_eq!(
        fresh_among_first(0.0),
        2,
        "without the charge both accounts are served equally"
    );
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
    let accepted = (0..20).filter(|&item| queue.push(soon(item), now).is_ok());
    let accepted = accepted.count();
    assert!(
        (4..=7).contains(&accepted),
        "accepted {accepted} of 20 tickets with a deadline in 5 s"
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
        "a ticket that is put back keeps its place"
    );
}
