//! Baseline queue: first come, first served.

use std::collections::VecDeque;

use nutmegbay_core::environment::MonotonicTime;

use super::{Queue, Refused, Ticket};
use crate::AccountKey;

/// First come, first served, without early refusal.
#[derive(Debug)]
pub struct Fifo<T> {
    tickets: VecDeque<Ticket<T>>,
}

impl<T> Default for Fifo<T> {
    fn default() -> Self {
        Self {
            tickets: VecDeque::new(),
        }
    }
}

impl<T> Queue<T> for Fifo<T> {
    fn set_share(&mut self, _account: AccountKey, _share: f64) {}

    fn set_rate(&mut self, _rate: f64) {}

    fn push(&mut self, ticket: Ticket<T>, _now: MonotonicTime) -> Result<(), Refused<T>> {
        self.tickets.push_back(ticket);
        Ok(())
    }

    fn pop(&mut self, _now: MonotonicTime) -> Option<Ticket<T>> {
        self.tickets.pop_front()
    }

    fn put_back(&mut self, ticket: Ticket<T>) {
        self.tickets.push_front(ticket);
    }

    fn expire(&mut self, now: MonotonicTime) -> Vec<Ticket<T>> {
        let (expired, waiting) = std::mem::take(&mut self.tickets)
            .into_iter()
            .partition(|ticket| ticket.deadline <= now);
        self.tickets = waiting;
        Vec::from(expired)
    }

    fn charge(&mut self, _account: AccountKey, _work: f64) {}

    fn len(&self) -> usize {
        self.tickets.len()
    }
}
