//! Start-time fair queueing over client accounts.

use std::cmp::Ordering;
use std::collections::{BTreeSet, BinaryHeap};
use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use slotmap::SecondaryMap;

use super::{Queue, Refused, Ticket};
use crate::AccountKey;

/// Maximum time by which work served at peers may put an account behind the others. Without a
/// bound, an account that was served alone for an hour would then wait for an hour.
const MAX_LEAD_S: f64 = 10.0;

/// Time over which one sample of the drain rate is taken.
const DRAIN_SAMPLE_TIME: Duration = Duration::from_secs(1);

/// Weight of one sample of the drain rate.
const DRAIN_GAIN: f64 = 0.3;

/// Start-time fair queueing: the start tag of each account grows by cost divided by share, and the
/// account with the smallest tag is served first. Within an account, priority and deadline decide.
#[derive(Debug)]
pub struct FairQueue<T> {
    accounts: SecondaryMap<AccountKey, AccountQueue<T>>,
    order: BTreeSet<(StartTag, AccountKey)>,
    virtual_time: f64,
    rate: f64,
    drain: DrainRate,
    queued: usize,
    queued_cost: f64,
    active_share: f64,
    total_share: f64,
    seq: u64,
}

/// Measured rate at which work leaves the queue while some waits.
#[derive(Debug, Default)]
struct DrainRate {
    sample_start: Option<MonotonicTime>,
    popped: f64,
    rate: Option<f64>,
}

impl DrainRate {
    fn record_pop(&mut self, cost: f64, still_waiting: bool, now: MonotonicTime) {
        if !still_waiting {
            self.sample_start = None;
            self.popped = 0.0;
            return;
        }
        self.popped += cost;
        self.sample(now);
    }

    fn sample(&mut self, now: MonotonicTime) {
        let sample_start = *self.sample_start.get_or_insert(now);
        let elapsed = now.since(sample_start);
        if elapsed < DRAIN_SAMPLE_TIME {
            return;
        }
        let rate = self.popped / elapsed.as_secs_f64();
        self.rate = Some(
            self.rate
                .map_or(rate, |old| old + DRAIN_GAIN * (rate - old)),
        );
        self.sample_start = Some(now);
        self.popped = 0.0;
    }
}

#[derive(Debug)]
struct AccountQueue<T> {
    share: f64,
    tag: f64,
    cost: f64,
    tickets: BinaryHeap<QueuedTicket<T>>,
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct StartTag(f64);

impl Eq for StartTag {}

impl PartialOrd for StartTag {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for StartTag {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

#[derive(Debug)]
struct QueuedTicket<T> {
    seq: u64,
    ticket: Ticket<T>,
}

impl<T> QueuedTicket<T> {
    fn rank(&self) -> (u8, std::cmp::Reverse<(MonotonicTime, u64)>) {
        (
            self.ticket.priority,
            std::cmp::Reverse((self.ticket.deadline, self.seq)),
        )
    }
}

impl<T> PartialEq for QueuedTicket<T> {
    fn eq(&self, other: &Self) -> bool {
        self.seq == other.seq
    }
}

impl<T> Eq for QueuedTicket<T> {}

impl<T> PartialOrd for QueuedTicket<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for QueuedTicket<T> {
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
            drain: DrainRate::default(),
            queued: 0,
            queued_cost: 0.0,
            active_share: 0.0,
            total_share: 0.0,
            seq: 0,
        }
    }
}

impl<T> FairQueue<T> {
    /// Estimates the time until a ticket with `priority` and `deadline` leaves the queue.
    ///
    /// Only the work of the account that is served before the ticket counts, at the account's share
    /// of the rate among the accounts that wait, and never more than the whole queue.
    pub fn estimate_wait(
        &self,
        account: AccountKey,
        priority: u8,
        deadline: MonotonicTime,
    ) -> Duration {
        let Some(queue) = self.accounts.get(account) else {
            return Duration::ZERO;
        };
        let before: f64 = queue
            .tickets
            .iter()
            .map(|entry| &entry.ticket)
            .filter(|t| (t.priority, deadline) >= (priority, t.deadline))
            .map(|t| t.cost)
            .sum();
        let mut active = self.active_share;
        if queue.tickets.is_empty() {
            active += queue.share;
        }
        let lead = (queue.tag - self.virtual_time).max(0.0) * queue.share;
        let own = (before + lead) * active / queue.share;
        let ahead = own.min(self.queued_cost);
        let rate = self
            .drain
            .rate
            .map_or(self.rate, |drain| drain.clamp(self.rate * 0.05, self.rate));
        Duration::from_secs_f64((ahead / rate.max(1e-6)).min(86_400.0))
    }

    fn insert(&mut self, entry: QueuedTicket<T>) {
        let account = entry.ticket.account;
        if self.accounts[account].tickets.is_empty() {
            self.activate(account);
        }
        let queue = &mut self.accounts[account];
        queue.cost += entry.ticket.cost;
        self.queued_cost += entry.ticket.cost;
        self.queued += 1;
        queue.tickets.push(entry);
    }

    fn activate(&mut self, account: AccountKey) {
        let virtual_time = self.virtual_time;
        let queue = &mut self.accounts[account];
        queue.tag = queue.tag.max(virtual_time);
        self.order.insert((StartTag(queue.tag), account));
        self.active_share += queue.share;
    }

    fn deactivate(&mut self, account: AccountKey) {
        let queue = &self.accounts[account];
        self.order.remove(&(StartTag(queue.tag), account));
        self.active_share = (self.active_share - queue.share).max(0.0);
        if self.order.is_empty() {
            self.active_share = 0.0;
            self.queued_cost = 0.0;
        }
    }

    /// Returns the virtual time that passes in [`MAX_LEAD_S`] while every account waits.
    fn max_lead(&self) -> f64 {
        MAX_LEAD_S * self.rate / self.total_share.max(1e-9)
    }

    fn shift_tag(&mut self, account: AccountKey, by: f64) {
        let virtual_time = self.virtual_time;
        let queue = &mut self.accounts[account];
        let waiting = !queue.tickets.is_empty();
        if waiting {
            self.order.remove(&(StartTag(queue.tag), account));
        }
        queue.tag = queue.tag.max(virtual_time) + by;
        if waiting {
            self.order.insert((StartTag(queue.tag), account));
        }
    }
}

impl<T> Queue<T> for FairQueue<T> {
    fn set_share(&mut self, account: AccountKey, share: f64) {
        let share = share.max(1e-9);
        if let Some(queue) = self.accounts.get_mut(account) {
            if !queue.tickets.is_empty() {
                self.active_share += share - queue.share;
            }
            self.total_share += share - queue.share;
            queue.share = share;
            return;
        }
        self.total_share += share;
        self.accounts.insert(
            account,
            AccountQueue {
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
        let wait = self.estimate_wait(account, ticket.priority, ticket.deadline);
        if now.plus(wait) > ticket.deadline {
            return Err(Refused {
                ticket,
                retry_after: wait,
            });
        }
        self.seq += 1;
        self.insert(QueuedTicket {
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
        let queue = &mut self.accounts[account];
        queue.cost = (queue.cost - ticket.cost).max(0.0);
        let step = ticket.cost / queue.share;
        if queue.tickets.is_empty() {
            self.deactivate(account);
            self.accounts[account].tag += step;
        } else {
            self.shift_tag(account, step);
        }
        self.drain.record_pop(ticket.cost, self.queued > 0, now);
        Some(ticket)
    }

    fn put_back(&mut self, ticket: Ticket<T>) {
        let account = ticket.account;
        self.drain.popped = (self.drain.popped - ticket.cost).max(0.0);
        let step = ticket.cost / self.accounts[account].share;
        if self.accounts[account].tickets.is_empty() {
            self.accounts[account].tag -= step;
        } else {
            self.shift_tag(account, -step);
        }
        self.insert(QueuedTicket { seq: 0, ticket });
    }

    fn expire(&mut self, now: MonotonicTime) -> Vec<Ticket<T>> {
        let mut late = Vec::new();
        let active: Vec<_> = self.order.iter().map(|&(_, account)| account).collect();
        for account in active {
            let queue = &mut self.accounts[account];
            if queue.tickets.iter().all(|e| e.ticket.deadline > now) {
                continue;
            }
            let (expired, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut queue.tickets)
                .into_iter()
                .partition(|e| e.ticket.deadline <= now);
            let cost: f64 = expired.iter().map(|e| e.ticket.cost).sum();
            queue.cost = (queue.cost - cost).max(0.0);
            queue.tickets = waiting.into();
            self.queued -= expired.len();
            self.queued_cost = (self.queued_cost - cost).max(0.0);
            if self.accounts[account].tickets.is_empty() {
                self.deactivate(account);
            }
            late.extend(expired.into_iter().map(|e| e.ticket));
        }
        late
    }

    fn charge(&mut self, account: AccountKey, work: f64) {
        let horizon = self.virtual_time + self.max_lead();
        if let Some(queue) = self.accounts.get(account) {
            let headroom = (horizon - queue.tag).max(0.0);
            let by = (work / queue.share).min(headroom);
            self.shift_tag(account, by);
        }
    }

    fn len(&self) -> usize {
        self.queued
    }
}
