//! Bound on the memory for responses that wait for callers which read slowly.
//!
//! Load pattern: many callers stop reading in the middle of large responses. Each response waits
//! within its own buffer, and together they take more memory than the instance has. Its end would
//! take the responses of all callers with it, so the response that takes the most memory for the
//! longest time without progress is given up alone. An upstream cuts off a response that remains
//! unread, so what a slow caller has not read is taken over from the upstream while there is room.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use slotmap::{SlotMap, new_key_type};

new_key_type! {
    /// Key of a caller's connection.
    pub struct CallerKey;
}

/// Part of the instance's memory that request bodies and unread responses may take together. The
/// rest is for the process itself and the buffers of the kernel.
const MEMORY_FRACTION: u64 = 2;

/// Memory assumed for an instance that states none, in bytes.
const DEFAULT_MEMORY_BYTES: u64 = 160 * 1024 * 1024;

/// Fraction of the limit up to which one response is taken over from its upstream.
const READ_AHEAD_FRACTION: u64 = 16;

/// Percentage of the limit up to which responses are taken over. The rest is for responses whose
/// callers read.
const READ_AHEAD_PERCENT: u64 = 75;

#[derive(Debug, Clone, Copy)]
struct Caller {
    /// Bytes that the caller has not taken yet.
    bytes: u64,
    /// Time at which the caller last took bytes, or at which the first one began to wait.
    progress_at: MonotonicTime,
}

/// A response that is given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GivenUp {
    /// Connection of its caller.
    pub caller: CallerKey,
    /// Bytes that the caller has not taken.
    pub bytes: u64,
    /// Time for which the caller has taken none.
    pub stalled: Duration,
}

/// Unread responses of one instance.
#[derive(Debug, Default)]
pub struct HeldResponses {
    callers: SlotMap<CallerKey, Caller>,
    total: u64,
}

/// Returns the number of bytes that unread responses may take in an instance with `memory` bytes
/// whose request bodies take `bodies`.
pub fn limit(memory: Option<u64>, bodies: u64) -> u64 {
    (memory.unwrap_or(DEFAULT_MEMORY_BYTES) / MEMORY_FRACTION).saturating_sub(bodies)
}

impl HeldResponses {
    /// Adds a connection.
    pub fn open(&mut self, now: MonotonicTime) -> CallerKey {
        self.callers.insert(Caller {
            bytes: 0,
            progress_at: now,
        })
    }

    /// Removes a connection.
    pub fn close(&mut self, key: CallerKey) {
        if let Some(caller) = self.callers.remove(key) {
            self.total = self.total.saturating_sub(caller.bytes);
        }
    }

    /// Records that `bytes` wait for a caller.
    pub fn record_held(&mut self, key: CallerKey, bytes: u64, now: MonotonicTime) {
        let Some(caller) = self.callers.get_mut(key) else {
            return;
        };
        if caller.bytes == 0 {
            caller.progress_at = now;
        }
        let before = caller.bytes;
        caller.bytes = before.saturating_add(bytes);
        self.total = self.total.saturating_add(caller.bytes - before);
    }

    /// Records that a caller took `bytes`, including those of the response head and framing.
    pub fn record_taken(&mut self, key: CallerKey, bytes: u64, now: MonotonicTime) {
        if let Some(caller) = self.callers.get_mut(key) {
            let taken = bytes.min(caller.bytes);
            caller.bytes -= taken;
            caller.progress_at = now;
            self.total = self.total.saturating_sub(taken);
        }
    }

    /// Returns the number of bytes that wait for a caller.
    pub fn held(&self, key: CallerKey) -> u64 {
        self.callers.get(key).map_or(0, |caller| caller.bytes)
    }

    /// Returns the number of bytes that wait for all callers.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Returns whether more of a response may be taken over from its upstream before the caller
    /// reads it.
    pub fn may_read_ahead(&self, key: CallerKey, limit: u64) -> bool {
        self.held(key) < limit / READ_AHEAD_FRACTION
            && self.total < limit / 100 * READ_AHEAD_PERCENT
    }

    /// Gives up a response if all together take more than `limit` bytes: the one with the largest
    /// product of its size and the time without progress. A caller that reads has hardly any such
    /// time. Its bytes no longer count.
    pub fn give_up(&mut self, limit: u64, now: MonotonicTime) -> Option<GivenUp> {
        if self.total <= limit {
            return None;
        }
        let weight = |caller: &Caller| {
            let stalled_ms = now.since(caller.progress_at).as_millis() + 1;
            u128::from(caller.bytes) * stalled_ms
        };
        let (key, caller) = self
            .callers
            .iter_mut()
            .max_by_key(|(_, caller)| weight(caller))?;
        let given_up = GivenUp {
            caller: key,
            bytes: caller.bytes,
            stalled: now.since(caller.progress_at),
        };
        self.total = self.total.saturating_sub(std::mem::take(&mut caller.bytes));
        Some(given_up)
    }
}
