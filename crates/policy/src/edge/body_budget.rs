//! Bound on the memory for request bodies, which an instance holds whole until their requests end.
//!
//! Load pattern: many callers send bodies of the largest allowed size at once. Each is within its
//! own limit, and together they take more memory than the instance has. Its end would take the
//! requests of all callers with it, so what is over the bound is refused alone.

/// Part of the instance's memory that bodies may take. Each body is copied once while it is put
/// together, and the rest of the process needs room as well.
const MEMORY_FRACTION: u64 = 4;

/// Memory assumed for an instance that states none, in bytes.
const DEFAULT_MEMORY_BYTES: u64 = 160 * 1024 * 1024;

/// Memory for request bodies, in bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BodyBudget {
    used: u64,
}

impl BodyBudget {
    /// Takes `bytes` of the budget of an instance with `memory` bytes. Returns false, and takes
    /// nothing, if there are not as many left.
    pub fn try_take(&mut self, bytes: u64, memory: Option<u64>) -> bool {
        let limit = memory.unwrap_or(DEFAULT_MEMORY_BYTES) / MEMORY_FRACTION;
        let used = self.used.saturating_add(bytes);
        let is_within = used <= limit;
        if is_within {
            self.used = used;
        }
        is_within
    }

    /// Returns `bytes` to the budget.
    pub fn put_back(&mut self, bytes: u64) {
        self.used = self.used.saturating_sub(bytes);
    }

    /// Returns the number of bytes in use.
    pub fn used(&self) -> u64 {
        self.used
    }
}
