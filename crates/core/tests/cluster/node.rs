//! One node with its clock and its pending faults.

use std::collections::BTreeSet;
use std::time::Duration;

use nutmegbay_core::environment::{Environment, MonotonicTime};
use nutmegbay_core::freshness::LogProgress;
use nutmegbay_core::ids::{Epoch, Incarnation, Offset};
use nutmegbay_core::mutation::Mutations;
use nutmegbay_core::node::{Effect, Event, GatewayNode, NodeConfig};
use nutmegbay_core::record::{LeaseRole, Usage};
use nutmegbay_core::usage::WindowTiming;

use super::SECRET;
use super::oracle::ProcessEnd;
use crate::common::token;

/// Rates of the nodes' clocks in parts per thousand. They differ by up to 4 %, within the margin of
/// 5 %.
const CLOCK_RATES: [u64; 3] = [1000, 980, 1020];

/// Time since the last fault after which counts must have reached the log.
const RECOVERY_MS: u64 = 4_000;

/// Place of one node, in which processes follow each other. Times are those of the simulation, in
/// milliseconds.
pub struct NodeSlot {
    pub name: Box<str>,
    /// Number of process starts so far: identifies the incarnation within this place.
    pub boot: u32,
    pub node: Option<GatewayNode>,
    pub paused_until: u64,
    /// Events that arrived while the process was paused.
    pub delayed: Vec<Event>,
    pub cut_reads_until: u64,
    pub cut_appends_until: u64,
    pub cut_peers_until: u64,
    /// End of slow reads and their duration.
    pub slow_reads: (u64, u64),
    pub lose_answers: u32,
    pub fail_appends: u32,
    pub delay_append: Option<u64>,
    pub repeat_append: Option<u64>,
    pub is_serving: bool,
    pub is_stopping: bool,
    pub may_exit: bool,
    pub serve_at: u64,
    /// Times of the calls that this incarnation served.
    pub served: Vec<u64>,
    /// Keys with an open stream.
    pub streams: BTreeSet<Box<str>>,
    /// Last time at which a fault prevented the node from using the log.
    fault_until: u64,
    index: usize,
    clock_rate: u64,
    started_at: u64,
    random: u128,
    /// Start of the last read that was answered.
    last_read: Option<MonotonicTime>,
}

struct NodeEnvironment<'a> {
    now: MonotonicTime,
    wall_ms: u64,
    random: &'a mut u128,
    effects: Vec<Effect>,
}

impl Environment for NodeEnvironment<'_> {
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

impl NodeSlot {
    pub fn new(index: usize) -> Self {
        Self {
            name: format!("g{index}").into(),
            boot: 0,
            node: None,
            paused_until: 0,
            delayed: Vec::new(),
            cut_reads_until: 0,
            cut_appends_until: 0,
            cut_peers_until: 0,
            slow_reads: (0, 0),
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
            fault_until: 0,
            index,
            clock_rate: CLOCK_RATES[index % CLOCK_RATES.len()],
            started_at: 0,
            random: (index as u128 + 1) << 64,
            last_read: None,
        }
    }

    pub fn start(&mut self, t: u64, mutations: Mutations) {
        self.boot += 1;
        self.started_at = t;
        self.fault_until = t;
        self.is_stopping = false;
        self.may_exit = false;
        self.paused_until = 0;
        self.delayed.clear();
        self.served.clear();
        self.streams.clear();
        self.last_read = None;
        let incarnation = Incarnation((self.index as u128) << 32 | u128::from(self.boot));
        let mut cfg = NodeConfig::new(&self.name, incarnation);
        cfg.windows = WindowTiming {
            window_ms: 2_000,
            grace_ms: 1_000,
        };
        cfg.snapshot_every = 96;
        cfg.part_bytes = 8_192;
        cfg.mutations = mutations;
        self.node = Some(GatewayNode::new(cfg));
    }

    /// Ends all faults of this node.
    pub fn clear_faults(&mut self) {
        self.cut_log(0);
        self.cut_peers_until = 0;
        self.slow_reads = (0, 0);
        self.lose_answers = 0;
        self.fail_appends = 0;
        self.delay_append = None;
        self.repeat_append = None;
    }

    pub fn cut_log(&mut self, until: u64) {
        self.cut_reads_until = until;
        self.cut_appends_until = until;
    }

    /// Time of the node's own clock at `t`.
    pub fn now(&self, t: u64) -> MonotonicTime {
        MonotonicTime(Duration::from_micros(
            t.saturating_sub(self.started_at) * self.clock_rate,
        ))
    }

    pub fn is_running(&self, t: u64) -> bool {
        self.node.is_some() && t >= self.paused_until
    }

    pub fn handle(&mut self, t: u64, event: Event) -> Vec<Effect> {
        let now = self.now(t);
        let mut environment = NodeEnvironment {
            now,
            // The wall clocks differ by up to 200 ms.
            wall_ms: 1_000_000 + t + 100 * self.index as u64,
            random: &mut self.random,
            effects: Vec::new(),
        };
        if let Some(node) = &mut self.node {
            node.on_event(&mut environment, event);
        }
        environment.effects
    }

    pub fn next(&self) -> Offset {
        self.node.as_ref().map_or(Offset(0), |n| n.replica().next())
    }

    pub fn view(&self, t: u64) -> LogProgress {
        let now = self.now(t);
        self.node.as_ref().map(|n| n.view(now)).unwrap_or_default()
    }

    /// Fencing number under which the node may act for `role`.
    pub fn acting_epoch(&self, role: LeaseRole, t: u64) -> Option<Epoch> {
        self.node.as_ref()?.may_act(role, self.now(t))
    }

    /// Records that a read is answered. Returns `false` if it was answered before or belongs to
    /// another incarnation.
    pub fn begin_answer(&mut self, boot: u32, started: MonotonicTime) -> bool {
        if self.boot != boot || self.last_read >= Some(started) {
            return false;
        }
        self.last_read = Some(started);
        true
    }

    /// Takes the calls of this incarnation: its client account, the times of the calls, and an end
    /// without a loss of counts.
    pub fn take_calls(&mut self) -> (Box<str>, Vec<u64>, ProcessEnd) {
        (
            self.account_name(),
            std::mem::take(&mut self.served),
            ProcessEnd::Planned,
        )
    }

    /// Opens a stream for the key, if the node accepts it.
    pub fn open_stream(&mut self, t: u64, key: &str) {
        let now = self.now(t);
        let node = self.node.as_ref();
        if node.is_some_and(|node| node.check_key(now, &token(key, SECRET)).is_ok()) {
            self.streams.insert(key.into());
        }
    }

    pub fn served_event(&self) -> Event {
        Event::RequestServed {
            account: self.account_name(),
            usage: Usage {
                calls: 1,
                prompt_tokens: 3,
                completion_tokens: 2,
            },
        }
    }

    /// Records that a fault prevents the node from using the log until `t`.
    pub fn mark_fault_until(&mut self, t: u64) {
        self.fault_until = self.fault_until.max(t);
    }

    /// How the process ends if it is killed at `t`.
    pub fn end_if_killed(&self, t: u64) -> ProcessEnd {
        if t >= self.fault_until + RECOVERY_MS {
            ProcessEnd::Killed { at: t }
        } else {
            ProcessEnd::KilledInFault
        }
    }

    fn account_name(&self) -> Box<str> {
        format!("{}-{}", self.name, self.boot).into()
    }
}
