//! Usage counted on the data path, until the state task takes it.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

use nutmegbay_core::record::Usage;

/// Usage since the last [`Self::take`], by client account.
#[derive(Debug, Default)]
pub struct UsageCounter {
    counts: Mutex<BTreeMap<Box<str>, Usage>>,
}

impl UsageCounter {
    /// Adds the usage of one complete answer.
    pub fn add(&self, account: &str, prompt_tokens: u32, completion_tokens: u32) {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        if !counts.contains_key(account) {
            counts.insert(account.into(), Usage::default());
        }
        if let Some(usage) = counts.get_mut(account) {
            usage.calls += 1;
            usage.prompt_tokens += u64::from(prompt_tokens);
            usage.completion_tokens += u64::from(completion_tokens);
        }
    }

    /// Whether no usage was added since the last [`Self::take`].
    pub fn is_empty(&self) -> bool {
        let counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        counts.is_empty()
    }

    /// Returns the usage and resets it to zero.
    pub fn take(&self) -> BTreeMap<Box<str>, Usage> {
        std::mem::take(&mut *self.counts.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
