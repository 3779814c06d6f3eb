//! Admission queue in front of the upstreams.

mod fair;
mod fifo;

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;

use crate::AccountKey;

pub use fair::FairQueue;
pub use fifo::Fifo;

/// Waiting request with an item of the caller.
#[derive(Debug, Clone, PartialEq)]
pub struct Ticket<T> {
    /// Client account.
    pub account: AccountKey,
    /// Expected engine seconds.
    pub cost: f64,
    /// Priority within the account; larger values go first.
    pub priority: u8,
    /// Time by which the request must leave the queue to meet its own deadline.
    pub deadline: MonotonicTime,
    /// Item of the caller, returned with the ticket.
    pub item: T,
}

/// Refusal of a ticket before any work was done.
#[derive(Debug, Clone, PartialEq)]
pub struct Refused<T> {
    /// The refused ticket.
    pub ticket: Ticket<T>,
    /// Time after which a retry may be accepted.
    pub retry_after: Duration,
}

/// Queue of tickets that decides which request is served next.
pub trait Queue<T> {
    /// Sets the paid share of an account.
    fn set_share(&mut self, account: AccountKey, share: f64);

    /// Sets the rate at which work leaves this queue, in engine seconds per second.
    fn set_rate(&mut self, rate: f64);

    /// Adds a ticket.
    ///
    /// # Errors
    ///
    /// Refuses a ticket that would miss its deadline.
    fn push(&mut self, ticket: Ticket<T>, now: MonotonicTime) -> Result<(), Refused<T>>;

    /// Removes and returns the next ticket.
    fn pop(&mut self, now: MonotonicTime) -> Option<Ticket<T>>;

    /// Puts back the ticket that [`Self::pop`] returned last, as if it had not been removed.
    fn put_back(&mut self, ticket: Ticket<T>);

    /// Removes and returns the tickets whose deadline has passed.
    fn expire(&mut self, now: MonotonicTime) -> Vec<Ticket<T>>;

    /// Adds `work` engine seconds that peers served to an account.
    fn charge(&mut self, account: AccountKey, work: f64);

    /// Returns the number of waiting tickets.
    fn len(&self) -> usize;

    /// Returns whether no ticket waits.
    fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
