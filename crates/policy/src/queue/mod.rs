//! Queue in front of the upstreams.

mod fair;
mod fifo;

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;

use crate::AccountKey;

pub use fair::FairQueue;
pub use fifo::Fifo;

/// A request that waits, with an item of the embedder.
#[derive(Debug, Clone, PartialEq)]
pub struct Ticket<T> {
    /// Client account.
    pub account: AccountKey,
    /// Engine seconds that it is expected to use.
    pub cost: f64,
    /// Priority within the account, larger first.
    pub priority: u8,
    /// Time by which it must leave the queue to be of use.
    pub deadline: MonotonicTime,
    /// What waits.
    pub item: T,
}

/// Refusal before any work was done.
#[derive(Debug, Clone, PartialEq)]
pub struct Refused<T> {
    /// The ticket, given back.
    pub ticket: Ticket<T>,
    /// Time after which a repeat has a chance.
    pub retry_after: Duration,
}

/// A queue of tickets.
pub trait Queue<T> {
    /// Sets the paid share of an account.
    fn set_share(&mut self, account: AccountKey, share: f64);

    /// Sets the engine seconds per second that leave this queue.
    fn set_rate(&mut self, rate: f64);

    /// Adds a ticket or refuses it because it would miss its deadline.
    fn push(&mut self, ticket: Ticket<T>, now: MonotonicTime) -> Result<(), Refused<T>>;

    /// Takes the next ticket.
    fn pop(&mut self, now: MonotonicTime) -> Option<Ticket<T>>;

    /// Puts back the ticket that [`Self::pop`] returned last, as if it had not been taken.
    fn put_back(&mut self, ticket: Ticket<T>);

    /// Removes the tickets whose deadline has passed.
    fn expire(&mut self, now: MonotonicTime) -> Vec<Ticket<T>>;

    /// Counts work that peers served to an account.
    fn charge(&mut self, account: AccountKey, work: f64);

    /// Number of waiting tickets.
    fn len(&self) -> usize;

    /// Whether nothing waits.
    fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
