//! Runs and answers that other instances have not been told of.

use std::collections::VecDeque;

use super::{Answer, BrokenRun, CrashReport};

/// Times after its arrival at which a piece of news is sent, in milliseconds. Datagrams may be
/// lost.
const SEND_AFTER_MS: [u64; 3] = [0, 40, 200];

/// Maximum number of pieces of news in one report, so that it fits into a datagram.
const MAX_REPORT_ITEMS: usize = 32;

/// Maximum number of pieces of news that wait. The oldest ones are dropped; instances that need
/// them read them from the store.
const MAX_WAITING: usize = 512;

#[derive(Debug, Clone, PartialEq, Eq)]
enum Item {
    Run(BrokenRun),
    Answer(Answer),
}

#[derive(Debug, Clone)]
struct Pending {
    item: Item,
    since_ms: u64,
    sends: usize,
}

/// News that wait to be sent, each several times.
#[derive(Debug, Clone, Default)]
pub struct News(VecDeque<Pending>);

impl News {
    pub fn add_run(&mut self, run: BrokenRun, now_ms: u64) {
        self.add(Item::Run(run), now_ms);
    }

    pub fn add_answer(&mut self, answer: Answer, now_ms: u64) {
        let is_waiting = self.0.iter().any(|pending| match pending.item {
            Item::Answer(known) => known.content == answer.content,
            Item::Run(_) => false,
        });
        if !is_waiting {
            self.add(Item::Answer(answer), now_ms);
        }
    }

    fn add(&mut self, item: Item, now_ms: u64) {
        if self.0.len() >= MAX_WAITING {
            self.0.pop_front();
        }
        self.0.push_back(Pending {
            item,
            since_ms: now_ms,
            sends: 0,
        });
    }

    /// Returns the news that are due, and forgets those that were sent often enough.
    pub fn take(&mut self, now_ms: u64) -> CrashReport {
        let mut report = CrashReport::default();
        let is_due = |pending: &&mut Pending| {
            let after_ms = SEND_AFTER_MS.get(pending.sends).copied().unwrap_or(0);
            // A clock that was set back must not hold the news up.
            now_ms < pending.since_ms || now_ms - pending.since_ms >= after_ms
        };
        for pending in self.0.iter_mut().filter(is_due).take(MAX_REPORT_ITEMS) {
            pending.sends += 1;
            match &pending.item {
                Item::Run(run) => report.runs.push(run.clone()),
                Item::Answer(answer) => report.answers.push(*answer),
            }
        }
        self.0.retain(|pending| pending.sends < SEND_AFTER_MS.len());
        report
    }
}
