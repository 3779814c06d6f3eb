//! Embedder of one node, which carries out its effects on a log that answers at once.

use std::collections::VecDeque;
use std::time::Duration;

use nutmegbay_core::ids::{Incarnation, Offset};
use nutmegbay_core::node::{
    Effect, Entry, Event, GatewayNode, MAX_READ_WAIT, NodeConfig, TailRead,
};

use nutmegbay_core::environment::{Environment, MonotonicTime};

use super::Log;

/// Maximum number of records of one read, as on the platform.
const MAX_READ_RECORDS: usize = 1000;

pub struct Host {
    pub node: GatewayNode,
    pub environment: TestEnvironment,
    /// Number of records that were read from the log.
    pub records_read: usize,
    /// First offset of the read that waits at the head, and the time at which it was sent.
    waiting_read: Option<(Offset, MonotonicTime)>,
}

/// Clock, random numbers and pending effects.
#[derive(Default)]
pub struct TestEnvironment {
    pub now: MonotonicTime,
    random: u128,
    /// Offset of the random numbers, different for each node of a test.
    pub seed: u128,
    pub effects: VecDeque<Effect>,
}

impl Environment for TestEnvironment {
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
            environment: TestEnvironment::default(),
            records_read: 0,
            waiting_read: None,
        }
    }

    /// Host of a node with the default configuration.
    pub fn named(instance: &str) -> Self {
        Self::new(NodeConfig::new(instance, Incarnation(77)))
    }

    pub fn send_event(&mut self, event: Event) {
        self.node.on_event(&mut self.environment, event);
    }

    /// Advances the clock and sends a tick.
    pub fn advance(&mut self, ms: u64) {
        self.environment.now = self.environment.now.plus(Duration::from_millis(ms));
        self.send_event(Event::Tick);
    }

    /// Answers reads from `log`, whose first record has the offset `oldest`, until a started node
    /// reads at the head. Returns the other effects.
    pub fn read(&mut self, log: &[String], oldest: u64) -> Vec<Effect> {
        let mut others = Vec::new();
        let head = Offset(oldest + log.len() as u64);
        while let Some(effect) = self.environment.effects.pop_front() {
            let Effect::ReadTail { from, .. } = effect else {
                others.push(effect);
                continue;
            };
            if from >= head && self.node.is_started() && self.records_read > 0 {
                break;
            }
            let entries = entries(log, oldest, from.0, MAX_READ_RECORDS);
            self.records_read += entries.len();
            let started = self.environment.now;
            self.send_event(Event::TailRead(TailRead {
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
    /// Carries out pending appends and reads, and returns the other effects.
    pub fn process_effects(&mut self, log: &mut Log) -> Vec<Effect> {
        let mut others = Vec::new();
        loop {
            let Some(effect) = self.environment.effects.pop_front() else {
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
                    self.send_event(Event::AppendDone { token });
                }
                Effect::ReadTail { from, .. } => {
                    self.waiting_read = Some((from, self.environment.now));
                }
                other => others.push(other),
            }
        }
    }

    /// Advances the clock in ticks of 50 ms and returns the effects other than appends and reads.
    pub fn run(&mut self, log: &mut Log, ms: u64) -> Vec<Effect> {
        let mut others = Vec::new();
        for _ in 0..ms.div_ceil(50) {
            self.advance(50);
            others.extend(self.process_effects(log));
        }
        others
    }

    /// Answers the waiting read if it has records to return or its wait has ended.
    fn answer_read(&mut self, log: &Log) -> bool {
        let head = log.replica.next();
        let is_due = |&(from, started): &(Offset, MonotonicTime)| {
            from < head || self.environment.now.since(started) >= MAX_READ_WAIT
        };
        let Some((from, started)) = self.waiting_read.filter(is_due) else {
            return false;
        };
        self.waiting_read = None;
        let entries = entries(&log.texts, 0, from.0, MAX_READ_RECORDS);
        let oldest = Offset(0);
        self.send_event(Event::TailRead(TailRead {
            started,
            entries,
            head,
            oldest,
        }));
        true
    }
}

/// Records of `log` from the offset `from` on, where the first record of `log` has the offset
/// `oldest`.
pub fn entries(log: &[String], oldest: u64, from: u64, max: usize) -> Vec<Entry> {
    let skipped = usize::try_from(from.saturating_sub(oldest)).unwrap();
    let first = oldest.max(from);
    let texts = log.iter().skip(skipped).take(max);
    (first..)
        .zip(texts)
        .map(|(offset, text)| (Offset(offset), text.as_str().into()))
        .collect()
}
