//! Carries out the steps of a history: faults, and actions of callers and operators.

use nutmegbay_core::ids::RecordId;
use nutmegbay_core::node::Event;
use nutmegbay_core::record::{
    Body, ConfigPublish, ConfigScope, EngineRole, KeyGrant, KeyWithdraw, OrderCommand, Record,
    SCHEMA,
};

use super::steps::{Fault, Step};
use super::{Cluster, HOP_MS, Message, NODES, OFFER_INTERVAL_MS, SECRET};
use crate::common::sha256;

impl Cluster {
    pub fn step(&mut self, step: &Step) {
        let t = self.t;
        match step {
            Step::Run { ms } => self.run(*ms),
            Step::Fault { node, fault } => self.inject(*node, fault),
            Step::TwoFaults { node, faults } => {
                self.inject(*node, &faults.0);
                self.inject(*node, &faults.1);
            }
            Step::LogDown { ms } => self.log_down_until = t + ms,
            Step::Grant => self.grant(),
            Step::Withdraw { key } => self.withdraw(&format!("k{}", key + 1)),
            Step::Publish { operators } => self.publish(*operators),
            Step::RequestOrder { engine, version } => self.request_order(*engine, *version),
            Step::LoseOrders { count } => self.lose_orders = *count,
            Step::DelayOrder { ms } => self.delay_order = Some(*ms),
            Step::RepeatOrder { ms } => self.repeat_order = Some(*ms),
            Step::ReportsDown { ms } => self.reports_down_until = t + ms,
            Step::LoseReportAnswers { count } => self.lose_report_answers = *count,
        }
    }

    pub(super) fn inject(&mut self, node: usize, fault: &Fault) {
        let t = self.t;
        let slot = &mut self.nodes[node];
        match *fault {
            Fault::CutLog { ms } => slot.cut_log(t + ms),
            Fault::CutReads { ms } => slot.cut_reads_until = t + ms,
            Fault::CutAppends { ms } => slot.cut_appends_until = t + ms,
            Fault::CutPeers { ms } => slot.cut_peers_until = t + ms,
            Fault::Isolate { ms } => {
                slot.cut_log(t + ms);
                slot.cut_peers_until = t + ms;
            }
            Fault::SlowReads { delay, ms } => slot.slow_reads = (t + ms, delay),
            Fault::LoseAnswers { count } => slot.lose_answers = count,
            Fault::FailAppends { count } => slot.fail_appends = count,
            Fault::DelayAppend { ms } => slot.delay_append = Some(ms),
            Fault::RepeatAppend { ms } => slot.repeat_append = Some(ms),
            Fault::Pause { ms } => self.pause(node, ms),
            Fault::Kill { ms } => self.kill(node, ms),
            Fault::Stop { ms } => self.stop(node, ms),
        }
    }

    pub(super) fn publish(&mut self, operators: u8) {
        let prev = self.oracle.reference.config().last();
        for operator in 0..operators {
            self.append_as_operator(Body::ConfigPublish(ConfigPublish {
                scope: ConfigScope::Base,
                prev,
                text: format!("{operator}").into(),
            }));
        }
    }

    pub(super) fn request_order(&mut self, engine: u8, version: u8) {
        let upstream = format!("e{engine}").into();
        let command = match version {
            _ if engine == 2 => OrderCommand::AddUpstream {
                failure_domain: "d1".into(),
                serves: "m".into(),
            },
            0 => OrderCommand::SetRole {
                upstream,
                role: EngineRole::Decode,
            },
            1 => OrderCommand::SetRole {
                upstream,
                role: EngineRole::Prefill,
            },
            _ => OrderCommand::LoadModel {
                upstream,
                model: "m".into(),
                version: "2".into(),
            },
        };
        for node in 0..NODES {
            let boot = self.nodes[node].boot;
            self.send_event(node, boot, Event::OrderRequested(command.clone()));
        }
    }

    /// Appends a record of an operator, if the log is available. Returns whether replay accepted
    /// it.
    pub(super) fn append_as_operator(&mut self, body: Body) -> bool {
        if self.t < self.log_down_until {
            return false;
        }
        self.ids += 1;
        let record = Record {
            id: RecordId(self.ids),
            author: "operator".into(),
            at_ms: self.t,
            schema: SCHEMA,
            body,
        };
        self.write(&record)
    }

    pub(super) fn grant(&mut self) {
        self.keys += 1;
        self.append_as_operator(Body::KeyGrant(KeyGrant {
            key: format!("k{}", self.keys).into(),
            account: "a".into(),
            secret_sha256: sha256(SECRET),
        }));
    }

    /// Withdraws a key. The operators' tool then offers the record repeatedly to all nodes that it
    /// reaches.
    pub(super) fn withdraw(&mut self, key: &str) {
        if self.append_as_operator(Body::KeyWithdraw(KeyWithdraw { key: key.into() })) {
            self.oracle.withdrawn.push((self.t, key.into()));
            self.post(HOP_MS, Message::Offer { left: 20 });
        }
    }

    pub(super) fn on_offer(&mut self, left: u32) {
        for node in 0..NODES {
            if self.t >= self.nodes[node].cut_peers_until {
                let (boot, next) = (self.nodes[node].boot, self.nodes[node].next());
                let entries = self.entries(next, self.head(), 500);
                self.answer(HOP_MS, node, boot, Event::RecordsOffered(entries));
            }
        }
        if left > 0 {
            self.post(OFFER_INTERVAL_MS, Message::Offer { left: left - 1 });
        }
    }

    pub(super) fn pause(&mut self, node: usize, ms: u64) {
        if self.nodes[node].node.is_some() {
            self.nodes[node].paused_until = self.t + ms;
            self.nodes[node].mark_fault_until(self.t + ms);
            self.post(ms, Message::Resume(node));
        }
    }

    pub(super) fn kill(&mut self, node: usize, ms: u64) {
        let end = self.nodes[node].end_if_killed(self.t);
        self.end(node, end, ms);
    }

    pub(super) fn stop(&mut self, node: usize, ms: u64) {
        if self.nodes[node].node.is_some() && !self.nodes[node].is_stopping {
            self.nodes[node].is_stopping = true;
            let boot = self.nodes[node].boot;
            self.answer(ms % 100, node, boot, Event::StopRequested);
        }
    }
}
