//! One node with its clock and the faults that are set for it.

use std::collections::BTreeSet;
use std::time::Duration;

use nutmegbay_core::environment::{Environment, MonotonicTime};
use nutmegbay_core::freshness::LogProgress;
use nutmegbay_core::ids::{Epoch, Incarnation, Offset};
use nutmegbay_core::mutation::Mutations;
use nutmegbay_core::node::{Effect, Event, GatewayNode, NodeConfig};
use nutmegbay_core::record::{LeaseRole, Usage};
use nutmegbay_core::usage::WindowTerms;

use super::SECRET;
use super::oracle::End;
use crate::common::token;

/// Rates of the nodes' clocks in parts per thousand: 4 % apart, within the margin of 5 %.
const RATES: [u64; 3] = [1000, 980, 1020];

/// Time since the last fault after which counts must have reached the log.
const QUIET_MS: u64 = 4_000;

pub struct Slot {
    pub name: Box<str>,
    pub life: u32,
    pub node: Option<GatewayNode>,
    pub paused_until: u64,
    pub held: Vec<Event>,
    pub cut_reads_until: u64,
    pub cut_appends_until: u64,
    pub cut_peers_until: u64,
    pub slow: (u64, u64),
    pub lose_answers: u32,
    pub fail_appends: u32,
    pub delay_append: Option<u64>,
    pub repeat_append: Option<u64>,
    pub is_serving: bool,
    pub is_stopping: bool,
    pub may_exit: bool,
    pub serve_at: u64,
    pub served: Vec<u64>,
    /// Keys with an open stream.
    pub streams: BTreeSet<Box<str>>,
    /// Last time at which something kept the node from the log.
    fault_at: u64,
    index: usize,
    rate: u64,
    born: u64,
    random: u128,
    last_read: Option<MonotonicTime>,
}

struct Host<'a> {
    now: MonotonicTime,
    wall_ms: u64,
    random: &'a mut u128,
    effects: Vec<Effect>,
}

impl Environment for Host<'_> {
    type Effect = Effect;

    fn now(&self) -> MonotonicTime {
        self.now
    }

    fn wall_ms(&self) -> u64 {
        self.wall_ms
    }

    fn random(&mut self) -> u128 {
        *self.random += 1;
        self.random
            .wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835)
    }

    fn perform(&mut self, effect: Effect) {
        self.effects.push(effect);
    }
}

impl Slot {
    pub fn new(index: usize) -> Self {
        Self {
            name: format!("g{index}").into(),
            life: 0,
            node: None,
            paused_until: 0,
            held: Vec::new(),
            cut_reads_until: 0,
            cut_appends_until: 0,
            cut_peers_until: 0,
            slow: (0, 0),
            lose_answers: 0,
            fail_appends: 0,
            delay_append: None,
            repeat_append: None,
            is_serving: true,
            is_stopping: false,
            may_exit: false,
            serve_at: 0,
            served: Vec::new(),
            streams: BTreeSet::new(),
            fault_at: 0,
            index,
            rate: RATES[index % RATES.len()],
            born: 0,
            random: (index as u128 + 1) << 64,
            last_read: None,
        }
    }

    pub fn start(&mut self, t: u64, mutations: Mutations) {
        self.life += 1;
        self.born = t;
        self.fault_at = t;
        self.is_stopping = false;
        self.may_exit = false;
        self.paused_until = 0;
        self.held.clear();
        self.served.clear();
        self.streams.clear();
        self.last_read = None;
        let life = Incarnation((self.index as u128) << 32 | u128::from(self.life));
        let mut cfg = NodeConfig::new(&self.name, life);
        cfg.windows = WindowTerms {
            window_ms: 2_000,
            grace_ms: 1_000,
        };
        cfg.snapshot_every = 96;
        cfg.part_bytes = 8_192;
        cfg.mutations = mutations;
        self.node = Some(GatewayNode::new(cfg));
    }

    pub fn heal(&mut self) {
        self.cut_log(0);
        self.cut_peers_until = 0;
        self.slow = (0, 0);
        self.lose_answers = 0;
        self.fail_appends = 0;
        self.delay_append = None;
        self.repeat_append = None;
    }

    pub fn cut_log(&mut self, until: u64) {
        self.cut_reads_until = until;
        self.cut_appends_until = until;
    }

    pub fn now(&self, t: u64) -> MonotonicTime {
        MonotonicTime(Duration::from_micros(
            t.saturating_sub(self.born) * self.rate,
        ))
    }

    pub fn is_running(&self, t: u64) -> bool {
        self.node.is_some() && t >= self.paused_until
    }

    pub fn handle(&mut self, t: u64, event: Event) -> Vec<Effect> {
        let now = self.now(t);
        let mut host = Host {
            now,
            // The wall clocks are up to 200 ms apart.
            wall_ms: 1_000_000 + t + 100 * self.index as u64,
            random: &mut self.random,
            effects: Vec::new(),
        };
        if let Some(node) = &mut self.node {
            node.on_event(&mut host, event);
        }
        host.effects
    }

    pub fn next(&self) -> Offset {
        self.node.as_ref().map_or(Offset(0), |n| n.replica().next())
    }

    pub fn view(&self, t: u64) -> LogProgress {
        let now = self.now(t);
        self.node.as_ref().map(|n| n.view(now)).unwrap_or_default()
    }

    pub fn acting(&self, role: LeaseRole, t: u64) -> Option<Epoch> {
        self.node.as_ref()?.may_act(role, self.now(t))
    }

    /// Whether this read was not answered before.
    pub fn answer_read(&mut self, life: u32, started: MonotonicTime) -> bool {
        if self.life != life || self.last_read >= Some(started) {
            return false;
        }
        self.last_read = Some(started);
        true
    }

    /// Client account that counts the calls of this life, the times of the calls, and its end.
    pub fn account(&mut self) -> (Box<str>, Vec<u64>, End) {
        (
            self.account_name(),
            std::mem::take(&mut self.served),
            End::Alive,
        )
    }

    /// Opens a stream for the key, if the node takes it.
    pub fn open_stream(&mut self, t: u64, key: &str) {
        let now = self.now(t);
        let node = self.node.as_ref();
        if node.is_some_and(|node| node.check_key(now, &token(key, SECRET)).is_ok()) {
            self.streams.insert(key.into());
        }
    }

    pub fn served_event(&self) -> Event {
        Event::Served {
            account: self.account_name(),
            usage: Usage {
                calls: 1,
                prompt_tokens: 3,
                completion_tokens: 2,
            },
        }
    }

    /// Something keeps the node from the log until `t`.
    pub fn blame(&mut self, t: u64) {
        self.fault_at = self.fault_at.max(t);
    }

    pub fn end_if_killed(&self, t: u64) -> End {
        if t >= self.fault_at + QUIET_MS {
            End::Killed { at: t }
        } else {
            End::KilledInFault
        }
    }

    fn account_name(&self) -> Box<str> {
        format!("{}-{}", self.name, self.life).into()
    }
}
