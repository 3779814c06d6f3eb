//! Start-time fair queueing over client accounts.

use std::cmp::Ordering;
use std::collections::{BTreeSet, BinaryHeap};
use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use slotmap::SecondaryMap;

use super::{Queue, Refused, Ticket};
use crate::AccountKey;

/// Most time by which work at peers may put an account behind the others. Without a bound, an
/// account that was served alone for an hour would then wait for an hour.
const MAX_LEAD_S: f64 = 10.0;

/// Time over which one sample of the drain rate is taken.
const DRAIN_SAMPLE: Duration = Duration::from_secs(1);

/// Weight of one sample of the drain rate.
const DRAIN_GAIN: f64 = 0.3;

/// Start-time fair queueing: each account has a start tag that grows by cost over share, and the
/// account with the smallest tag goes first. Within an account, priority and deadline decide.
#[derive(Debug)]
pub struct FairQueue<T> {
    accounts: SecondaryMap<AccountKey, Backlog<T>>,
    order: BTreeSet<(Tag, AccountKey)>,
    virtual_time: f64,
    rate: f64,
    drain: Drain,
    queued: usize,
    queued_cost: f64,
    active_share: f64,
    total_share: f64,
    seq: u64,
}

/// Rate at which work leaves the queue while some waits.
#[derive(Debug, Default)]
struct Drain {
    since: Option<MonotonicTime>,
    popped: f64,
    rate: Option<f64>,
}

impl Drain {
    fn popped(&mut self, cost: f64, still_waiting: bool, now: MonotonicTime) {
        if !still_waiting {
            self.since = None;
            self.popped = 0.0;
            return;
        }
        self.popped += cost;
        self.tick(now);
    }

    fn tick(&mut self, now: MonotonicTime) {
        let since = *self.since.get_or_insert(now);
        let time = now.since(since);
        if time < DRAIN_SAMPLE {
            return;
        }
        let rate = self.popped / time.as_secs_f64();
        self.rate = Some(
            self.rate
                .map_or(rate, |old| old + DRAIN_GAIN * (rate - old)),
        );
        self.since = Some(now);
        self.popped = 0.0;
    }
}

#[derive(Debug)]
struct Backlog<T> {
    share: f64,
    tag: f64,
    cost: f64,
    tickets: BinaryHeap<Entry<T>>,
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Tag(f64);

impl Eq for Tag {}

impl PartialOrd for Tag {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Tag {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

#[derive(Debug)]
struct Entry<T> {
    seq: u64,
    ticket: Ticket<T>,
}

impl<T> Entry<T> {
    fn rank(&self) -> (u8, std::cmp::Reverse<(MonotonicTime, u64)>) {
        (
            self.ticket.priority,
            std::cmp::Reverse((self.ticket.deadline, self.seq)),
        )
    }
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Self) -> bool {
        self.seq == other.seq
    }
}

impl<T> Eq for Entry<T> {}

impl<T> PartialOrd for Entry<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Entry<T> {
    fn cmp(&self, other: &Self) -> Ordering {
        self.rank().cmp(&other.rank())
    }
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self {
            accounts: SecondaryMap::new(),
            order: BTreeSet::new(),
            virtual_time: 0.0,
            rate: 1.0,
            drain: Drain::default(),
            queued: 0,
            queued_cost: 0.0,
            active_share: 0.0,
            total_share: 0.0,
            seq: 0,
        }
    }
}

impl<T> FairQueue<T> {
    /// Estimated time until a ticket with `priority` and `deadline` leaves the queue.
    ///
    /// Only work of the account that goes before it counts, served at the account's share of the
    /// rate among the accounts that wait, and never more than the whole queue.
    pub fn wait(&self, account: AccountKey, priority: u8, deadline: MonotonicTime) -> Duration {
        let Some(backlog) = self.accounts.get(account) else {
            return Duration::ZERO;
        };
        let before: f64 = backlog
            .tickets
            .iter()
            .map(|entry| &entry.ticket)
            .filter(|t| (t.priority, deadline) >= (priority, t.deadline))
            .map(|t| t.cost)
            .sum();
        let mut active = self.active_share;
        if backlog.tickets.is_empty() {
            active += backlog.share;
        }
        let lead = (backlog.tag - self.virtual_time).max(0.0) * backlog.share;
        let own = (before + lead) * active / backlog.share;
        let ahead = own.min(self.queued_cost);
        let rate = self
            .drain
            .rate
            .map_or(self.rate, |drain| drain.clamp(self.rate * 0.05, self.rate));
        Duration::from_secs_f64((ahead / rate.max(1e-6)).min(86_400.0))
    }

    fn insert(&mut self, entry: Entry<T>) {
        let account = entry.ticket.account;
        if self.accounts[account].tickets.is_empty() {
            self.wake(account);
        }
        let backlog = &mut self.accounts[account];
        backlog.cost += entry.ticket.cost;
        self.queued_cost += entry.ticket.cost;
        self.queued += 1;
        backlog.tickets.push(entry);
    }

    fn wake(&mut self, account: AccountKey) {
        let virtual_time = self.virtual_time;
        let backlog = &mut self.accounts[account];
        backlog.tag = backlog.tag.max(virtual_time);
        self.order.insert((Tag(backlog.tag), account));
        self.active_share += backlog.share;
    }

    fn sleep(&mut self, account: AccountKey) {
        let backlog = &self.accounts[account];
        self.order.remove(&(Tag(backlog.tag), account));
        self.active_share = (self.active_share - backlog.share).max(0.0);
        if self.order.is_empty() {
            self.active_share = 0.0;
            self.queued_cost = 0.0;
        }
    }

    /// Virtual time that passes in [`MAX_LEAD_S`] while every account waits.
    fn max_lead(&self) -> f64 {
        MAX_LEAD_S * self.rate / self.total_share.max(1e-9)
    }

    fn retag(&mut self, account: AccountKey, by: f64) {
        let virtual_time = self.virtual_time;
        let backlog = &mut self.accounts[account];
        let waiting = !backlog.tickets.is_empty();
        if waiting {
            self.order.remove(&(Tag(backlog.tag), account));
        }
        backlog.tag = backlog.tag.max(virtual_time) + by;
        if waiting {
            self.order.insert((Tag(backlog.tag), account));
        }
    }
}

impl<T> Queue<T> for FairQueue<T> {
    fn set_share(&mut self, account: AccountKey, share: f64) {
        let share = share.max(1e-9);
        if let Some(backlog) = self.accounts.get_mut(account) {
            if !backlog.tickets.is_empty() {
                self.active_share += share - backlog.share;
            }
            self.total_share += share - backlog.share;
            backlog.share = share;
            return;
        }
        self.total_share += share;
        self.accounts.insert(
            account,
            Backlog {
                share,
                tag: self.virtual_time,
                cost: 0.0,
                tickets: BinaryHeap::new(),
            },
        );
    }

    fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
    }

    fn push(&mut self, ticket: Ticket<T>, now: MonotonicTime) -> Result<(), Refused<T>> {
        let account = ticket.account;
        if !self.accounts.contains_key(account) {
            self.set_share(account, 1.0);
        }
        let wait = self.wait(account, ticket.priority, ticket.deadline);
        if now.plus(wait) > ticket.deadline {
            return Err(Refused {
                ticket,
                retry_after: wait,
            });
        }
        self.seq += 1;
        self.insert(Entry {
            seq: self.seq,
            ticket,
        });
        Ok(())
    }

    fn pop(&mut self, now: MonotonicTime) -> Option<Ticket<T>> {
        let &(tag, account) = self.order.first()?;
        let ticket = self.accounts[account].tickets.pop()?.ticket;
        self.virtual_time = self.virtual_time.max(tag.0);
        self.queued -= 1;
        self.queued_cost = (self.queued_cost - ticket.cost).max(0.0);
        let backlog = &mut self.accounts[account];
        backlog.cost = (backlog.cost - ticket.cost).max(0.0);
        let step = ticket.cost / backlog.share;
        if backlog.tickets.is_empty() {
            self.sleep(account);
            self.accounts[account].tag += step;
        } else {
            self.retag(account, step);
        }
        self.drain.popped(ticket.cost, self.queued > 0, now);
        Some(ticket)
    }

    fn put_back(&mut self, ticket: Ticket<T>) {
        let account = ticket.account;
        self.drain.popped = (self.drain.popped - ticket.cost).max(0.0);
        let step = ticket.cost / self.accounts[account].share;
        if self.accounts[account].tickets.is_empty() {
            self.accounts[account].tag -= step;
        } else {
            self.retag(account, -step);
        }
        self.insert(Entry { seq: 0, ticket });
    }

    fn expire(&mut self, now: MonotonicTime) -> Vec<Ticket<T>> {
        let mut late = Vec::new();
        let waiting: Vec<_> = self.order.iter().map(|&(_, account)| account).collect();
        for account in waiting {
            let backlog = &mut self.accounts[account];
            if backlog.tickets.iter().all(|e| e.ticket.deadline > now) {
                continue;
            }
            let (gone, kept): (Vec<_>, Vec<_>) = std::mem::take(&mut backlog.tickets)
                .into_iter()
                .partition(|e| e.ticket.deadline <= now);
            let cost: f64 = gone.iter().map(|e| e.ticket.cost).sum();
            backlog.cost = (backlog.cost - cost).max(0.0);
            backlog.tickets = kept.into();
            self.queued -= gone.len();
            self.queued_cost = (self.queued_cost - cost).max(0.0);
            if self.accounts[account].tickets.is_empty() {
                self.sleep(account);
            }
            late.extend(gone.into_iter().map(|e| e.ticket));
        }
        late
    }

    fn charge(&mut self, account: AccountKey, work: f64) {
        let horizon = self.virtual_time + self.max_lead();
        if let Some(backlog) = self.accounts.get(account) {
            let room = (horizon - backlog.tag).max(0.0);
            let by = (work / backlog.share).min(room);
            self.retag(account, by);
        }
    }

    fn len(&self) -> usize {
        self.queued
    }
}
