//! A node with a log that answers at once.

use std::collections::VecDeque;
use std::time::Duration;

use nutmegbay_core::ids::{Incarnation, Offset};
use nutmegbay_core::node::{Effect, Entry, Event, GatewayNode, NodeConfig, TailRead};
use nutmegbay_core::world::{Moment, World};

/// Records of one read, as the platform limits them.
const READ_MAX: usize = 1000;

pub struct Host {
    pub node: GatewayNode,
    pub outside: Outside,
    /// Records read from the log.
    pub records_read: usize,
}

/// Clock and effects.
#[derive(Default)]
pub struct Outside {
    pub now: Moment,
    random: u128,
    pub effects: VecDeque<Effect>,
}

impl World for Outside {
    type Effect = Effect;

    fn now(&self) -> Moment {
        self.now
    }

    fn wall_ms(&self) -> u64 {
        1_000_000
    }

    fn random(&mut self) -> u128 {
        self.random += 1;
        self.random
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

pub fn entries(log: &[String], oldest: u64, from: u64, max: usize) -> Vec<Entry> {
    let skipped = usize::try_from(from.saturating_sub(oldest)).unwrap();
    let first = oldest.max(from);
    let texts = log.iter().skip(skipped).take(max);
    (first..)
        .zip(texts)
        .map(|(offset, text)| (Offset(offset), text.as_str().into()))
        .collect()
}
