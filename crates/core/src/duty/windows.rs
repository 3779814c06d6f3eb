use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Number of windows for which a process keeps its counts. A report is due a few windows after the
/// end of its window.
const MAX_WINDOWS: usize = 8;

/// Number of windows without a write after which a process is considered failed.
const FAILED_AFTER_WINDOWS: u64 = 3;

/// Number of requests by client account.
type Counts = BTreeMap<Box<str>, u64>;

/// Requests that one process has counted, by window number.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WindowCounts {
    windows: BTreeMap<u64, Counts>,
}

impl WindowCounts {
    /// Counts a request of a client account.
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

    /// Returns the counts of a window, if any request was counted in it.
    pub fn window(&self, window: u64) -> Option<&Counts> {
        self.windows.get(&window)
    }
}

/// Counts of one process in the form in which it publishes them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberCounts {
    /// Counts of the current incarnation.
    pub counts: WindowCounts,
    /// Counts of earlier incarnations of the process, read at its start.
    #[serde(default)]
    pub earlier: WindowCounts,
    /// Number of the last window that had ended when the counts were written; they are complete for
    /// it.
    #[serde(default)]
    pub through: u64,
}

/// Decides when a window is sealed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SealTiming {
    /// Length of a window in milliseconds.
    pub window_ms: u64,
    /// Time in milliseconds after the end of a window at which it is sealed even if counts are
    /// missing.
    pub max_delay_ms: u64,
}

impl SealTiming {
    /// Returns whether the counts of a process are incomplete for `window` although it may be
    /// running. A process that has written nothing for some windows is considered failed.
    pub fn lacks_counts(window: u64, member: &MemberCounts) -> bool {
        let is_running = member.through.saturating_add(FAILED_AFTER_WINDOWS) >= window;
        member.through < window && is_running
    }

    /// Returns the time at `now_ms` since which a process with the counts `member` should have
    /// written those of its next window. `newest` is the last window that any process has written:
    /// the time is zero while none has written that window, since the store may be away.
    pub fn silence(&self, now_ms: u64, member: &MemberCounts, newest: u64) -> Duration {
        let expected = member.through.saturating_add(1);
        if newest < expected {
            return Duration::ZERO;
        }
        let expected_ms = self.end_ms(expected);
        Duration::from_millis(now_ms.saturating_sub(expected_ms))
    }

    /// Returns whether `window` is to be sealed at `now_ms`: it has ended, and either all counts
    /// are present or its report would be overdue.
    pub fn is_due(&self, window: u64, now_ms: u64, is_complete: bool) -> bool {
        let is_over = now_ms >= self.end_ms(window);
        is_over && (is_complete || self.ms_until_latest(window, now_ms) == 0)
    }

    /// Returns the end of `window` in milliseconds since 1970.
    pub fn end_ms(&self, window: u64) -> u64 {
        window.saturating_add(1).saturating_mul(self.window_ms)
    }

    /// Returns the milliseconds from `now_ms` until `window` is sealed even if counts are missing.
    pub fn ms_until_latest(&self, window: u64, now_ms: u64) -> u64 {
        let latest = self.end_ms(window).saturating_add(self.max_delay_ms);
        latest.saturating_sub(now_ms)
    }
}

/// Final figures of a window.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SealedWindow {
    /// Number of the window.
    pub window: u64,
    /// Number of requests by client account.
    pub counts: Counts,
}

/// Adds requests of a client account, saturating at the maximum.
fn add(counts: &mut Counts, account: &str, n: u64) {
    let sum = counts.entry(account.into()).or_default();
    *sum = sum.saturating_add(n);
}

/// Returns the sum of the counts of all processes in a window.
pub fn sum_counts<'a>(
    window: u64,
    members: impl Iterator<Item = &'a MemberCounts>,
) -> SealedWindow {
    let mut counts = Counts::new();
    for member in members {
        for source in [&member.counts, &member.earlier] {
            for (account, n) in source.window(window).into_iter().flatten() {
                add(&mut counts, account, *n);
            }
        }
    }
    SealedWindow { window, counts }
}

impl MemberCounts {
    /// Returns the counts of all incarnations of the process.
    pub fn total(&self) -> WindowCounts {
        let mut total = self.counts.clone();
        for (window, counts) in &self.earlier.windows {
            let sum = total.windows.entry(*window).or_default();
            for (account, n) in counts {
                add(sum, account, *n);
            }
        }
        while total.windows.len() > MAX_WINDOWS {
            total.windows.pop_first();
        }
        total
    }
}
