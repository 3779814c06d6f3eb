//! Tokens that were granted for one request.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;

use super::Quotas;
use crate::clock::MonotonicClock;

/// Tokens of one request. Dropping them gives them back to their owners unless the request was sent
/// to an upstream that may have run it.
#[derive(Debug)]
pub struct QuotaTicket {
    pub(super) quotas: Rc<RefCell<Quotas>>,
    pub(super) clock: MonotonicClock,
    /// Hash of the account's name.
    pub(super) account: u64,
    /// Owners and ids of the grants.
    pub(super) parts: Vec<(u64, u64)>,
    /// Time of the first ask. The tokens were granted later.
    pub(super) asked_at: MonotonicTime,
    pub(super) life: Duration,
    is_spent: Cell<bool>,
}

impl QuotaTicket {
    pub(super) fn new(
        quotas: &Rc<RefCell<Quotas>>,
        clock: MonotonicClock,
        account: u64,
        life: Duration,
    ) -> Self {
        Self {
            quotas: Rc::clone(quotas),
            clock,
            account,
            parts: Vec::new(),
            asked_at: clock.now(),
            life,
            is_spent: Cell::new(false),
        }
    }

    /// Returns whether the request may be sent: its tokens are still valid, or already spent for it.
    pub fn covers_send(&self) -> bool {
        self.is_spent.get() || self.clock.now().since(self.asked_at) < self.life
    }

    /// Records that the request is being sent. Returns false if it was before.
    pub fn mark_spent(&self) -> bool {
        !self.is_spent.replace(true)
    }

    /// Records that the request did not run.
    pub fn mark_unspent(&self) {
        self.is_spent.set(false);
    }
}

impl Drop for QuotaTicket {
    fn drop(&mut self) {
        if self.is_spent.get() {
            return;
        }
        let now = self.clock.now();
        if now.since(self.asked_at) >= self.life {
            return;
        }
        let mut quotas = self.quotas.borrow_mut();
        for (owner, id) in self.parts.drain(..) {
            quotas.give_back(self.account, owner, id, now);
        }
    }
}
