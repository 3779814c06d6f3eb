use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Windows for which a process keeps its counts. A report is due a few windows after the end.
const MAX_WINDOWS: usize = 8;

/// Windows without a write after which a process is taken for gone.
const FAILED_AFTER_WINDOWS: u64 = 3;

/// Requests by client account.
type Counts = BTreeMap<Box<str>, u64>;

/// Requests that one process counted, by window.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WindowCounts {
    windows: BTreeMap<u64, Counts>,
}

impl WindowCounts {
    /// Counts a request.
    pub fn count(&mut self, window: u64, account: &str) {
        let counts = self.windows.entry(window).or_default();
        match counts.get_mut(account) {
            Some(n) => *n += 1,
            None => {
                counts.insert(account.into(), 1);
            }
        }
        while self.windows.len() > MAX_WINDOWS {
            self.windows.pop_first();
        }
    }

    /// Counts of a window.
    pub fn window(&self, window: u64) -> Option<&Counts> {
        self.windows.get(&window)
    }
}

/// Counts of one process as it publishes them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberCounts {
    /// Counts of the process that runs now.
    pub counts: WindowCounts,
    /// Counts that earlier lives of the process left, which it read at its start.
    #[serde(default)]
    pub earlier: WindowCounts,
    /// Last window that was over when the counts were written; they hold all of it.
    #[serde(default)]
    pub through: u64,
}

/// When a window is sealed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SealTiming {
    /// Length of a window, in milliseconds.
    pub window_ms: u64,
    /// Time after the end of a window at which it is sealed although counts are missing, in
    /// milliseconds.
    pub max_delay_ms: u64,
}

impl SealTiming {
    /// Whether the counts of a process do not hold all of `window` although it may run. A process
    /// that wrote nothing for some windows is gone.
    pub fn lacks_counts(window: u64, member: &MemberCounts) -> bool {
        let is_running = member.through.saturating_add(FAILED_AFTER_WINDOWS) >= window;
        member.through < window && is_running
    }

    /// Whether `window` is sealed at `now_ms`: all counts are there, or its report would be overdue.
    pub fn is_due(&self, window: u64, now_ms: u64, is_complete: bool) -> bool {
        let is_over = now_ms >= self.end_ms(window);
        is_over && (is_complete || self.ms_until_latest(window, now_ms) == 0)
    }

    /// End of `window`, in milliseconds since 1970.
    pub fn end_ms(&self, window: u64) -> u64 {
        window.saturating_add(1).saturating_mul(self.window_ms)
    }

    /// Milliseconds from `now_ms` until `window` is sealed in any case.
    pub fn ms_until_latest(&self, window: u64, now_ms: u64) -> u64 {
        let latest = self.end_ms(window).saturating_add(self.max_delay_ms);
        latest.saturating_sub(now_ms)
    }
}

/// Figures of a window that never change.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SealedWindow {
    /// Number of the window.
    pub window: u64,
    /// Requests by client account.
    pub counts: Counts,
}

/// Adds the counts of all processes in a window.
pub fn sum_counts<'a>(window: u64, members: impl Iterator<Item = &'a MemberCounts>) -> SealedWindow {
    let mut counts = Counts::new();
    for member in members {
        for source in [&member.counts, &member.earlier] {
            for (account, n) in source.window(window).into_iter().flatten() {
                *counts.entry(account.clone()).or_default() += n;
            }
        }
    }
    SealedWindow { window, counts }
}

impl MemberCounts {
    /// Counts of all lives of the process.
    pub fn total(&self) -> WindowCounts {
        let mut total = self.counts.clone();
        for (window, counts) in &self.earlier.windows {
            let sum = total.windows.entry(*window).or_default();
            for (account, n) in counts {
                *sum.entry(account.clone()).or_default() += n;
            }
        }
        while total.windows.len() > MAX_WINDOWS {
            total.windows.pop_first();
        }
        total
    }
}
