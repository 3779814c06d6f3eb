//! Simulation of several nodes with a log in memory, fake engines, a fake report interface and
//! faults.
#![allow(dead_code, reason = "each test file uses a part")]

mod node;
mod oracle;
mod step_actions;
pub mod steps;
mod transport;

use std::collections::BTreeMap;

use nutmegbay_core::environment::{Append, MonotonicTime};
use nutmegbay_core::ids::{Epoch, Offset};
use nutmegbay_core::mutation::Mutations;
use nutmegbay_core::node::{Effect, Entry, Event, GatewayNode};
use nutmegbay_core::orders::SendOrder;
use nutmegbay_core::record::LeaseRole;
use nutmegbay_core::usage::SendUsageReport;
use strum::IntoEnumIterator;

use crate::common::token;
use node::NodeSlot;
use oracle::{Oracle, ProcessEnd, Sample};

pub const NODES: usize = 3;
/// Number of keys that are granted before a history starts.
pub const KEYS: usize = 3;

/// Duration of one message between a node and the log, a peer or an engine.
const HOP_MS: u64 = 4;
/// Time between two ticks of a node.
const TICK_MS: u64 = 50;
/// Time after which an append without an answer fails.
const APPEND_TIMEOUT_MS: u64 = 1_000;
/// Time after which a peer without an answer is reported as unresponsive.
const UNRESPONSIVE_MS: u64 = 300;
/// Time after which an order or a report without an answer is abandoned.
const BUDGET_MS: u64 = 500;
/// Time between two offers of a withdrawal to the nodes.
const OFFER_INTERVAL_MS: u64 = 500;
/// Time between two requests that a node serves.
const SERVE_INTERVAL_MS: u64 = 200;
/// Time without faults at the end of a history. A restarted process needs 3.4 s for its first
/// claim.
const SETTLE_MS: u64 = 9_000;
/// Time within which all nodes read a record in the absence of faults.
const FOLLOW_MS: u64 = 50;
const SECRET: &str = "secret";

/// Messages and timers. `boot`, or the `u32` after a node, tells the incarnation that is meant.
enum Message {
    Event(usize, u32, Box<Event>),
    Append {
        from: usize,
        boot: u32,
        append: Append,
        is_answered: bool,
    },
    Read {
        from: usize,
        boot: u32,
        offset: Offset,
        started: MonotonicTime,
        until: u64,
    },
    Query {
        from: usize,
        boot: u32,
        asked: MonotonicTime,
    },
    ReadEndpoint {
        from: usize,
        boot: u32,
        name: Box<str>,
        offset: Offset,
    },
    Snapshot {
        from: usize,
        boot: u32,
        asked: MonotonicTime,
    },
    Order {
        from: usize,
        boot: u32,
        order: SendOrder,
        is_answered: bool,
    },
    Report {
        from: usize,
        boot: u32,
        report: SendUsageReport,
        is_answered: bool,
    },
    Offer {
        left: u32,
    },
    Tick(usize, u32),
    Resume(usize),
    Start(usize),
}

pub struct Cluster {
    pub oracle: Oracle,
    /// Time since the start of the history in milliseconds.
    t: u64,
    seq: u64,
    /// Messages by the time of their delivery and the order in which they were sent.
    queue: BTreeMap<(u64, u64), Message>,
    /// Reads that wait at the head: node, incarnation, first offset, start and end of the wait.
    waiting_reads: Vec<(usize, u32, Offset, MonotonicTime, u64)>,
    log: Vec<Box<str>>,
    nodes: Vec<NodeSlot>,
    ids: u128,
    keys: u32,
    log_down_until: u64,
    reports_down_until: u64,
    lose_orders: u32,
    delay_order: Option<u64>,
    repeat_order: Option<u64>,
    lose_report_answers: u32,
    /// Highest fencing number that each engine has received.
    engine_epochs: BTreeMap<Box<str>, Epoch>,
    /// Client account, call times and end of each incarnation that ended.
    ended: Vec<(Box<str>, Vec<u64>, ProcessEnd)>,
    mutations: Mutations,
}

impl Cluster {
    pub fn new(mutations: Mutations) -> Self {
        let mut cluster = Self {
            oracle: Oracle::default(),
            t: 0,
            seq: 0,
            queue: BTreeMap::new(),
            waiting_reads: Vec::new(),
            log: Vec::new(),
            nodes: (0..NODES).map(NodeSlot::new).collect(),
            ids: 1 << 100,
            keys: 0,
            log_down_until: 0,
            reports_down_until: 0,
            lose_orders: 0,
            delay_order: None,
            repeat_order: None,
            lose_report_answers: 0,
            engine_epochs: BTreeMap::new(),
            ended: Vec::new(),
            mutations,
        };
        for node in 0..NODES {
            cluster.post(0, Message::Start(node));
        }
        for _ in 0..KEYS {
            cluster.grant();
        }
        cluster
    }

    /// Ends all faults, lets the nodes recover and checks the conditions at the end of a history.
    pub fn settle(&mut self) {
        self.log_down_until = 0;
        self.reports_down_until = 0;
        self.lose_orders = 0;
        self.lose_report_answers = 0;
        for slot in &mut self.nodes {
            slot.clear_faults();
        }
        self.run(SETTLE_MS);
        for slot in &mut self.nodes {
            slot.is_serving = false;
        }
        self.run(2_400);
        let expected_next = self.head();
        self.run(FOLLOW_MS);
        if self.oracle.is_violated() {
            return;
        }
        let head = self.head();
        for (index, slot) in self.nodes.iter().enumerate() {
            let state = slot.node.as_ref().map(|node| {
                let state = node.freshness().state().to_owned();
                (state, node.replica().next(), node.is_started())
            });
            let is_current = state
                .as_ref()
                .is_some_and(|(state, next, _)| state == "fresh" && *next >= expected_next);
            self.oracle.require(is_current, "recovery", || {
                format!("node {index} is in {state:?} long after the last fault, head {head}")
            });
        }
        let running = self.nodes.iter().filter_map(|slot| slot.node.as_ref());
        let differs = running
            .map(GatewayNode::replica)
            .any(|replica| replica.next() == head && *replica != self.oracle.reference);
        self.oracle.require(!differs, "replica state", || {
            "two replicas differ after the same records".to_owned()
        });
        for role in LeaseRole::iter() {
            let is_held = self.holders(role).len() == 1;
            self.oracle
                .require(is_held, "recovery", || format!("no node holds {role}"));
        }
        let outstanding = self.oracle.reference.orders().outstanding().len();
        self.oracle.require(outstanding == 0, "recovery", || {
            format!("{outstanding} orders did not end")
        });
        let mut incarnations = std::mem::take(&mut self.ended);
        incarnations.extend(self.nodes.iter_mut().map(NodeSlot::take_calls));
        for (account, served, end) in incarnations {
            self.oracle.on_process_end(&account, &served, &end);
        }
    }

    /// Delivers messages until `ms` milliseconds have passed.
    fn run(&mut self, ms: u64) {
        let end = self.t + ms;
        while let Some(entry) = self.queue.first_entry()
            && entry.key().0 <= end
            && !self.oracle.is_violated()
        {
            self.t = entry.key().0.max(self.t);
            let message = entry.remove();
            self.deliver(message);
        }
        self.t = end;
    }

    /// Sends a message that is delivered after `after` milliseconds.
    fn post(&mut self, after: u64, message: Message) {
        self.seq += 1;
        self.queue.insert((self.t + after, self.seq), message);
    }

    fn head(&self) -> Offset {
        Offset(self.log.len() as u64)
    }

    /// Oldest record that the log still has. It drops the records below the last snapshot.
    fn oldest(&self) -> Offset {
        self.oracle
            .reference
            .snapshots()
            .complete()
            .unwrap_or_default()
    }

    fn entries(&self, from: Offset, to: Offset, max: usize) -> Vec<Entry> {
        let from = from.max(self.oldest());
        (from.0..to.0)
            .take(max)
            .map(|offset| {
                (
                    Offset(offset),
                    self.log[usize::try_from(offset).unwrap()].clone(),
                )
            })
            .collect()
    }

    fn are_linked(&self, a: usize, b: usize) -> bool {
        let is_cut = |node: usize| self.t < self.nodes[node].cut_peers_until;
        !is_cut(a) && !is_cut(b) && self.nodes[b].is_running(self.t)
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Event(node, boot, event) => self.send_event(node, boot, *event),
            Message::Append {
                from,
                boot,
                append,
                is_answered,
            } => {
                self.on_append(from, boot, &append, is_answered);
            }
            Message::Read {
                from,
                boot,
                offset,
                started,
                until,
            } => {
                self.on_read(from, boot, offset, started, until);
            }
            Message::Query { from, boot, asked } => self.on_query(from, boot, asked),
            Message::ReadEndpoint {
                from,
                boot,
                name,
                offset,
            } => {
                let peer = (0..NODES).find(|n| *name == *self.nodes[*n].name).unwrap();
                let next = self.nodes[peer].next();
                if self.are_linked(from, peer) && next > offset && offset >= self.oldest() {
                    let entries = self.entries(offset, next, 500);
                    self.answer(HOP_MS, from, boot, Event::RecordsOffered(entries));
                }
            }
            Message::Snapshot { from, boot, asked } => self.on_snapshot(from, boot, asked),
            Message::Order {
                from,
                boot,
                order,
                is_answered,
            } => {
                self.on_order(from, boot, &order, is_answered);
            }
            Message::Report {
                from,
                boot,
                report,
                is_answered,
            } => {
                if self.t >= self.reports_down_until {
                    self.oracle.on_report(&report);
                    if is_answered {
                        let window = report.window;
                        let event = Event::ReportAnswered {
                            window,
                            is_accepted: true,
                        };
                        self.answer(HOP_MS, from, boot, event);
                    }
                }
            }
            Message::Offer { left } => self.on_offer(left),
            Message::Tick(node, boot) => {
                if self.nodes[node].boot != boot || self.nodes[node].node.is_none() {
                    return;
                }
                self.serve(node);
                self.send_event(node, boot, Event::Tick);
                self.sample(node);
                self.post(TICK_MS, Message::Tick(node, boot));
            }
            Message::Resume(node) => {
                if self.nodes[node].is_running(self.t) {
                    for event in std::mem::take(&mut self.nodes[node].delayed) {
                        let boot = self.nodes[node].boot;
                        self.send_event(node, boot, event);
                    }
                }
            }
            Message::Start(node) => self.start(node),
        }
    }

    fn answer(&mut self, after: u64, node: usize, boot: u32, event: Event) {
        self.post(after, Message::Event(node, boot, Box::new(event)));
    }

    /// Sends an event to a node and carries out the effects.
    fn send_event(&mut self, node: usize, boot: u32, event: Event) {
        let t = self.t;
        let slot = &mut self.nodes[node];
        if slot.boot != boot || slot.node.is_none() {
            return;
        }
        match &event {
            Event::OrderAnswered(order, _) => {
                self.oracle.on_effect_end((LeaseRole::Planner, order.0), t);
            }
            Event::ReportAnswered { window, .. } => {
                let id = (LeaseRole::Reporter, u128::from(window.0));
                self.oracle.on_effect_end(id, t);
            }
            _ => {}
        }
        if t < slot.paused_until {
            if !matches!(event, Event::Tick) {
                slot.delayed.push(event);
            }
            return;
        }
        for effect in slot.handle(t, event) {
            self.perform(node, boot, effect);
        }
    }

    fn perform(&mut self, node: usize, boot: u32, effect: Effect) {
        let asked = self.nodes[node].now(self.t);
        match effect {
            Effect::Append(append) => self.send_append(node, boot, append),
            Effect::ReadTail { from, wait } => {
                let wait = u64::try_from(wait.as_millis()).unwrap();
                let until = self.t + HOP_MS + wait;
                let (offset, started) = (from, asked);
                let read = Message::Read {
                    from: node,
                    boot,
                    offset,
                    started,
                    until,
                };
                self.post(HOP_MS, read);
            }
            Effect::QueryEndpoints => self.post(
                HOP_MS,
                Message::Query {
                    from: node,
                    boot,
                    asked,
                },
            ),
            Effect::ReadEndpoint { endpoint, from } => {
                let offset = from;
                self.post(
                    HOP_MS,
                    Message::ReadEndpoint {
                        from: node,
                        boot,
                        name: endpoint,
                        offset,
                    },
                );
            }
            Effect::RequestPeerSnapshot => {
                self.post(
                    HOP_MS,
                    Message::Snapshot {
                        from: node,
                        boot,
                        asked,
                    },
                );
            }
            Effect::SendUsageReport(report) => self.send_report(node, boot, report),
            Effect::SendOrder(order) => self.send_order(node, boot, order),
            Effect::SnapshotMismatch(as_of) => {
                self.oracle.require(false, "snapshot", || {
                    format!("node {node} differs from the snapshot as of {as_of}")
                });
            }
            Effect::KeysWithdrawn(keys) => {
                let streams = &mut self.nodes[node].streams;
                streams.retain(|key| !keys.contains(key));
            }
            Effect::EndKeyedStreams => self.nodes[node].streams.clear(),
            Effect::ReadyToExit => self.nodes[node].may_exit = true,
            _ => {}
        }
        if self.nodes[node].may_exit {
            self.end(node, ProcessEnd::Planned, 500);
        }
    }

    /// Serves a request on a node if one is due.
    fn serve(&mut self, node: usize) {
        let slot = &mut self.nodes[node];
        let is_due = self.t >= slot.serve_at && slot.is_running(self.t);
        if is_due && slot.is_serving && !slot.is_stopping {
            slot.serve_at = self.t + SERVE_INTERVAL_MS;
            slot.served.push(self.t);
            let number = self.t / SERVE_INTERVAL_MS % u64::from(self.keys.max(1)) + 1;
            slot.open_stream(self.t, &format!("k{number}"));
            let (boot, event) = (slot.boot, slot.served_event());
            self.send_event(node, boot, event);
        }
    }

    /// Nodes that may act under the lease of `role`, with their fencing numbers.
    pub fn holders(&self, role: LeaseRole) -> Vec<(usize, Epoch)> {
        let holder = |node: usize| Some((node, self.nodes[node].acting_epoch(role, self.t)?));
        (0..NODES).filter_map(holder).collect()
    }

    /// Checks the predicates that must hold at any time.
    fn sample(&mut self, node: usize) {
        for role in LeaseRole::iter() {
            let holders = self.holders(role);
            self.oracle.on_holders(role, &holders);
        }
        let slot = &self.nodes[node];
        let Some(running) = slot.node.as_ref().filter(|_| slot.is_running(self.t)) else {
            return;
        };
        let sample = Sample {
            node,
            boot: slot.boot,
            is_fresh: running.freshness().state() == "fresh",
            replica: running.replica(),
        };
        self.oracle.on_sample(self.t, &sample);
        let now = slot.now(self.t);
        let is_accepted = |key: &&str| {
            slot.streams.contains(*key) || running.check_key(now, &token(key, SECRET)).is_ok()
        };
        let accepted = self.oracle.refused_keys(self.t).find(is_accepted);
        if let Some(key) = accepted.map(str::to_owned) {
            self.oracle.on_key_accepted(node, self.t, &key);
        }
    }

    fn start(&mut self, node: usize) {
        if self.nodes[node].node.is_none() {
            self.nodes[node].start(self.t, self.mutations);
            let boot = self.nodes[node].boot;
            let peers = (0..NODES).filter(|peer| *peer != node);
            let peers = peers.map(|peer| self.nodes[peer].name.clone()).collect();
            self.send_event(node, boot, Event::Peers(peers));
            self.post(TICK_MS, Message::Tick(node, boot));
        }
    }

    /// Ends a process and starts another one in its place after `restart_after` milliseconds.
    fn end(&mut self, node: usize, end: ProcessEnd, restart_after: u64) {
        if self.nodes[node].node.take().is_some() {
            let (account, served, _) = self.nodes[node].take_calls();
            self.ended.push((account, served, end));
            self.post(restart_after, Message::Start(node));
        }
    }
}
