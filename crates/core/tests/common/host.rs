//! A node with a log that answers at once.

use std::collections::VecDeque;
use std::time::Duration;

use nutmegbay_core::ids::{Incarnation, Offset};
use nutmegbay_core::node::{Effect, Entry, Event, GatewayNode, NodeConfig, READ_WAIT, TailRead};

use nutmegbay_core::environment::{Environment, MonotonicTime};

use super::Log;

/// Records of one read, as the platform limits them.
const READ_MAX: usize = 1000;

pub struct Host {
    pub node: GatewayNode,
    pub outside: Outside,
    /// Records read from the log.
    pub records_read: usize,
    /// Read that waits at the head, and when it was sent.
    waiting: Option<(Offset, MonotonicTime)>,
}

/// Clock and effects.
#[derive(Default)]
pub struct Outside {
    pub now: MonotonicTime,
    random: u128,
    pub seed: u128,
    pub effects: VecDeque<Effect>,
}

impl Environment for Outside {
    type Effect = Effect;

    fn now(&self) -> MonotonicTime {
        self.now
    }

    fn wall_ms(&self) -> u64 {
        1_000_000 + u64::try_from(self.now.0.as_millis()).unwrap()
    }

    fn random(&mut self) -> u128 {
        self.random += 1;
        self.random + self.seed
    }

    fn perform(&mut self, effect: Effect) {
        self.effects.push_back(effect);
    }
}

impl Host {
    pub fn new(cfg: NodeConfig) -> Self {
        Self {
            node: GatewayNode::new(cfg),
            outside: Outside::default(),
            records_read: 0,
            waiting: None,
        }
    }

    pub fn named(instance: &str) -> Self {
        Self::new(NodeConfig::new(instance, Incarnation(77)))
    }

    pub fn give(&mut self, event: Event) {
        self.node.on_event(&mut self.outside, event);
    }

    pub fn pass(&mut self, ms: u64) {
        self.outside.now = self.outside.now.plus(Duration::from_millis(ms));
        self.give(Event::Tick);
    }

    /// Answers reads from `log`, whose first record has the offset `oldest`, until the node waits at
    /// the head. Returns the other effects.
    pub fn read(&mut self, log: &[String], oldest: u64) -> Vec<Effect> {
        let mut others = Vec::new();
        let head = Offset(oldest + log.len() as u64);
        while let Some(effect) = self.outside.effects.pop_front() {
            let Effect::ReadTail { from, .. } = effect else {
                others.push(effect);
                continue;
            };
            if from >= head && self.node.is_started() && self.records_read > 0 {
                break;
            }
            let entries = entries(log, oldest, from.0, READ_MAX);
            self.records_read += entries.len();
            let started = self.outside.now;
            self.give(Event::TailRead(TailRead {
                started,
                entries,
                head,
                oldest: Offset(oldest),
            }));
        }
        others
    }
}

impl Host {
    /// Carries out appends and reads, and returns the other effects.
    pub fn pump(&mut self, log: &mut Log) -> Vec<Effect> {
        let mut others = Vec::new();
        loop {
            let Some(effect) = self.outside.effects.pop_front() else {
                if self.answer_read(log) {
                    continue;
                }
                return others;
            };
            match effect {
                Effect::Append(append) => {
                    for record in &append.records {
                        log.write(record);
                    }
                    let token = append.token;
                    self.give(Event::AppendDone { token });
                }
                Effect::ReadTail { from, .. } => self.waiting = Some((from, self.outside.now)),
                other => others.push(other),
            }
        }
    }

    /// Lets time pass in steps of one tick and returns the effects other than appends and reads.
    pub fn run(&mut self, log: &mut Log, ms: u64) -> Vec<Effect> {
        let mut others = Vec::new();
        for _ in 0..ms.div_ceil(50) {
            self.pass(50);
            others.extend(self.pump(log));
        }
        others
    }

    fn answer_read(&mut self, log: &Log) -> bool {
        let head = log.replica.next();
        let is_due = |&(from, started): &(Offset, MonotonicTime)| {
            from < head || self.outside.now.since(started) >= READ_WAIT
        };
        let Some((from, started)) = self.waiting.filter(is_due) else {
            return false;
        };
        self.waiting = None;
        let entries = entries(&log.texts, 0, from.0, READ_MAX);
        let oldest = Offset(0);
        self.give(Event::TailRead(TailRead {
            started,
            entries,
            head,
            oldest,
        }));
        true
    }
}

pub fn entries(log: &[String], oldest: u64, from: u64, max: usize) -> Vec<Entry> {
    let skipped = usize::try_from(from.saturating_sub(oldest)).unwrap();
    let first = oldest.max(from);
    let texts = log.iter().skip(skipped).take(max);
    (first..)
        .zip(texts)
        .map(|(offset, text)| (Offset(offset), text.as_str().into()))
        .collect()
}
