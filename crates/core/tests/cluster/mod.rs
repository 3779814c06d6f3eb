//! Several nodes, a log in memory, fake engines and a fake report interface, with faults.
#![allow(dead_code, reason = "each test file uses a part")]

mod node;
mod oracle;
mod outside;
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
use node::Slot;
use oracle::{End, Oracle, Sample};

pub const NODES: usize = 3;
/// Keys granted before a history.
pub const KEYS: usize = 3;

const HOP_MS: u64 = 4;
const TICK_MS: u64 = 50;
const TIMEOUT_MS: u64 = 1_000;
const SILENCE_MS: u64 = 300;
const BUDGET_MS: u64 = 500;
const OFFER_EVERY_MS: u64 = 500;
const SERVE_EVERY_MS: u64 = 200;
/// Time without faults at the end of a history. A restarted process needs 3.4 s for its first claim.
const SETTLE_MS: u64 = 9_000;
/// Time within which a record is read by all nodes when nothing is wrong.
const FOLLOW_MS: u64 = 50;
const SECRET: &str = "secret";

enum Message {
    Event(usize, u32, Box<Event>),
    Append {
        from: usize,
        life: u32,
        append: Append,
        is_answered: bool,
    },
    Read {
        from: usize,
        life: u32,
        offset: Offset,
        started: MonotonicTime,
        until: u64,
    },
    Ask {
        from: usize,
        life: u32,
        asked: MonotonicTime,
    },
    ReadParty {
        from: usize,
        life: u32,
        party: Box<str>,
        offset: Offset,
    },
    AskImage {
        from: usize,
        life: u32,
        asked: MonotonicTime,
    },
    Order {
        from: usize,
        life: u32,
        order: SendOrder,
        is_answered: bool,
    },
    Report {
        from: usize,
        life: u32,
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
    t: u64,
    seq: u64,
    queue: BTreeMap<(u64, u64), Message>,
    /// Reads that wait at the head.
    waiting: Vec<(usize, u32, Offset, MonotonicTime, u64)>,
    log: Vec<Box<str>>,
    nodes: Vec<Slot>,
    ids: u128,
    keys: u32,
    down_until: u64,
    reports_down_until: u64,
    lose_orders: u32,
    delay_order: Option<u64>,
    repeat_order: Option<u64>,
    lose_report_answers: u32,
    engine_epochs: BTreeMap<Box<str>, Epoch>,
    ended: Vec<(Box<str>, Vec<u64>, End)>,
    mutations: Mutations,
}

impl Cluster {
    pub fn new(mutations: Mutations) -> Self {
        let mut cluster = Self {
            oracle: Oracle::default(),
            t: 0,
            seq: 0,
            queue: BTreeMap::new(),
            waiting: Vec::new(),
            log: Vec::new(),
            nodes: (0..NODES).map(Slot::new).collect(),
            ids: 1 << 100,
            keys: 0,
            down_until: 0,
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

    /// Ends all faults, lets the nodes recover and checks what must hold in the end.
    pub fn settle(&mut self) {
        self.down_until = 0;
        self.reports_down_until = 0;
        self.lose_orders = 0;
        self.lose_report_answers = 0;
        for slot in &mut self.nodes {
            slot.heal();
        }
        self.run(SETTLE_MS);
        for slot in &mut self.nodes {
            slot.is_serving = false;
        }
        self.run(2_400);
        let read_by_all = self.head();
        self.run(FOLLOW_MS);
        if self.oracle.is_broken() {
            return;
        }
        let head = self.head();
        for (index, slot) in self.nodes.iter().enumerate() {
            let state = slot.node.as_ref().map(|node| {
                let state = node.freshness().state().to_owned();
                (state, node.replica().next(), node.is_started())
            });
            let follows = state
                .as_ref()
                .is_some_and(|(state, next, _)| state == "fresh" && *next >= read_by_all);
            self.oracle.require(follows, "recovery", || {
                format!("node {index} is in {state:?} long after all faults, head {head}")
            });
        }
        let last = self.nodes.iter().filter_map(|slot| slot.node.as_ref());
        let differs = last
            .map(GatewayNode::replica)
            .any(|replica| replica.next() == head && *replica != self.oracle.truth);
        self.oracle.require(!differs, "replica state", || {
            "two replicas differ after the same records".to_owned()
        });
        for role in LeaseRole::iter() {
            let is_held = self.holders(role).len() == 1;
            self.oracle
                .require(is_held, "recovery", || format!("nobody holds {role}"));
        }
        let open = self.oracle.truth.orders().outstanding().len();
        self.oracle.require(open == 0, "recovery", || {
            format!("{open} orders did not end")
        });
        let mut lives = std::mem::take(&mut self.ended);
        lives.extend(self.nodes.iter_mut().map(Slot::account));
        for (account, served, end) in lives {
            self.oracle.on_end_of_life(&account, &served, &end);
        }
    }

    fn run(&mut self, ms: u64) {
        let end = self.t + ms;
        while let Some(entry) = self.queue.first_entry()
            && entry.key().0 <= end
            && !self.oracle.is_broken()
        {
            self.t = entry.key().0.max(self.t);
            let message = entry.remove();
            self.deliver(message);
        }
        self.t = end;
    }

    fn post(&mut self, after: u64, message: Message) {
        self.seq += 1;
        self.queue.insert((self.t + after, self.seq), message);
    }

    fn head(&self) -> Offset {
        Offset(self.log.len() as u64)
    }

    /// Records below the last snapshot are dropped.
    fn oldest(&self) -> Offset {
        self.oracle.truth.snapshots().complete().unwrap_or_default()
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
            Message::Event(node, life, event) => self.give(node, life, *event),
            Message::Append {
                from,
                life,
                append,
                is_answered,
            } => {
                self.on_append(from, life, &append, is_answered);
            }
            Message::Read {
                from,
                life,
                offset,
                started,
                until,
            } => {
                self.on_read(from, life, offset, started, until);
            }
            Message::Ask { from, life, asked } => self.on_ask(from, life, asked),
            Message::ReadParty {
                from,
                life,
                party,
                offset,
            } => {
                let peer = (0..NODES).find(|n| *party == *self.nodes[*n].name).unwrap();
                let next = self.nodes[peer].next();
                if self.are_linked(from, peer) && next > offset && offset >= self.oldest() {
                    let entries = self.entries(offset, next, 500);
                    self.answer(HOP_MS, from, life, Event::Offered(entries));
                }
            }
            Message::AskImage { from, life, asked } => self.on_ask_image(from, life, asked),
            Message::Order {
                from,
                life,
                order,
                is_answered,
            } => {
                self.on_order(from, life, &order, is_answered);
            }
            Message::Report {
                from,
                life,
                report,
                is_answered,
            } => {
                if self.t >= self.reports_down_until {
                    self.oracle.on_report(&report);
                    if is_answered {
                        let window = report.window;
                        let event = Event::ReportAnswered {
                            window,
                            is_taken: true,
                        };
                        self.answer(HOP_MS, from, life, event);
                    }
                }
            }
            Message::Offer { left } => self.on_offer(left),
            Message::Tick(node, life) => {
                if self.nodes[node].life != life || self.nodes[node].node.is_none() {
                    return;
                }
                self.serve(node);
                self.give(node, life, Event::Tick);
                self.sample(node);
                self.post(TICK_MS, Message::Tick(node, life));
            }
            Message::Resume(node) => {
                if self.nodes[node].is_running(self.t) {
                    for event in std::mem::take(&mut self.nodes[node].held) {
                        let life = self.nodes[node].life;
                        self.give(node, life, event);
                    }
                }
            }
            Message::Start(node) => self.start(node),
        }
    }

    fn answer(&mut self, after: u64, node: usize, life: u32, event: Event) {
        self.post(after, Message::Event(node, life, Box::new(event)));
    }

    /// Gives an event to a node and carries out what it asks for.
    fn give(&mut self, node: usize, life: u32, event: Event) {
        let t = self.t;
        let slot = &mut self.nodes[node];
        if slot.life != life || slot.node.is_none() {
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
                slot.held.push(event);
            }
            return;
        }
        for effect in slot.handle(t, event) {
            self.effect(node, life, effect);
        }
    }

    fn effect(&mut self, node: usize, life: u32, effect: Effect) {
        let asked = self.nodes[node].now(self.t);
        match effect {
            Effect::Append(append) => self.send_append(node, life, append),
            Effect::ReadTail { from, wait } => {
                let wait = u64::try_from(wait.as_millis()).unwrap();
                let until = self.t + HOP_MS + wait;
                let (offset, started) = (from, asked);
                let read = Message::Read {
                    from: node,
                    life,
                    offset,
                    started,
                    until,
                };
                self.post(HOP_MS, read);
            }
            Effect::AskParties => self.post(
                HOP_MS,
                Message::Ask {
                    from: node,
                    life,
                    asked,
                },
            ),
            Effect::ReadParty { party, from } => {
                let offset = from;
                self.post(
                    HOP_MS,
                    Message::ReadParty {
                        from: node,
                        life,
                        party,
                        offset,
                    },
                );
            }
            Effect::AskImage => {
                self.post(
                    HOP_MS,
                    Message::AskImage {
                        from: node,
                        life,
                        asked,
                    },
                );
            }
            Effect::SendUsageReport(report) => self.send_report(node, life, report),
            Effect::SendOrder(order) => self.send_order(node, life, order),
            Effect::SnapshotDiffers(as_of) => {
                self.oracle.require(false, "snapshot", || {
                    format!("node {node} differs from the snapshot as of {as_of}")
                });
            }
            Effect::KeysWithdrawn(keys) => {
                let streams = &mut self.nodes[node].streams;
                streams.retain(|key| !keys.contains(key));
            }
            Effect::EndKeyed => self.nodes[node].streams.clear(),
            Effect::MayExit => self.nodes[node].may_exit = true,
            _ => {}
        }
        if self.nodes[node].may_exit {
            self.end(node, End::Alive, 500);
        }
    }

    fn serve(&mut self, node: usize) {
        let slot = &mut self.nodes[node];
        let is_due = self.t >= slot.serve_at && slot.is_running(self.t);
        if is_due && slot.is_serving && !slot.is_stopping {
            slot.serve_at = self.t + SERVE_EVERY_MS;
            slot.served.push(self.t);
            let number = self.t / SERVE_EVERY_MS % u64::from(self.keys.max(1)) + 1;
            slot.open_stream(self.t, &format!("k{number}"));
            let (life, event) = (slot.life, slot.served_event());
            self.give(node, life, event);
        }
    }

    pub fn holders(&self, role: LeaseRole) -> Vec<(usize, Epoch)> {
        let acting = |node: usize| Some((node, self.nodes[node].acting(role, self.t)?));
        (0..NODES).filter_map(acting).collect()
    }

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
            life: slot.life,
            is_fresh: running.freshness().state() == "fresh",
            replica: running.replica(),
        };
        self.oracle.on_sample(self.t, &sample);
        let now = slot.now(self.t);
        let is_taken = |key: &&str| {
            slot.streams.contains(*key) || running.check_key(now, &token(key, SECRET)).is_ok()
        };
        let taken = self.oracle.dead_keys(self.t).find(is_taken);
        if let Some(key) = taken.map(str::to_owned) {
            self.oracle.on_key_accepted(node, self.t, &key);
        }
    }

    fn start(&mut self, node: usize) {
        if self.nodes[node].node.is_none() {
            self.nodes[node].start(self.t, self.mutations);
            let life = self.nodes[node].life;
            let peers = (0..NODES).filter(|peer| *peer != node);
            let peers = peers.map(|peer| self.nodes[peer].name.clone()).collect();
            self.give(node, life, Event::Peers(peers));
            self.post(TICK_MS, Message::Tick(node, life));
        }
    }

    /// A process ends and another one starts in its place.
    fn end(&mut self, node: usize, end: End, restart_after: u64) {
        if self.nodes[node].node.take().is_some() {
            let (account, served, _) = self.nodes[node].account();
            self.ended.push((account, served, end));
            self.post(restart_after, Message::Start(node));
        }
    }
}
