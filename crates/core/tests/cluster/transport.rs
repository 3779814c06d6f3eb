//! Log, links between the nodes, fake engines and fake report interface.

use nutmegbay_core::environment::{Append, MonotonicTime};
use nutmegbay_core::freshness::LogProgress;
use nutmegbay_core::ids::Offset;
use nutmegbay_core::node::{Event, GatewayNode, TailRead};
use nutmegbay_core::orders::{OrderAnswer, SendOrder};
use nutmegbay_core::record::{LeaseRole, Record};
use nutmegbay_core::usage::SendUsageReport;

use super::{APPEND_TIMEOUT_MS, BUDGET_MS, Cluster, HOP_MS, Message, NODES, UNRESPONSIVE_MS};

impl Cluster {
    pub(super) fn send_append(&mut self, from: usize, boot: u32, append: Append) {
        let token = append.token;
        let failed = |may_have_run| Event::AppendFailed {
            token,
            may_have_run,
        };
        let slot = &mut self.nodes[from];
        if slot.fail_appends > 0 {
            slot.fail_appends -= 1;
            slot.mark_fault_until(self.t);
            return self.answer(HOP_MS, from, boot, failed(false));
        }
        let is_lost = slot.lose_answers > 0;
        slot.lose_answers = slot.lose_answers.saturating_sub(1);
        let delay = slot.delay_append.take();
        if is_lost || delay.is_some() || slot.repeat_append.is_some() {
            slot.mark_fault_until(self.t);
        }
        let delay = delay.unwrap_or(HOP_MS);
        if let Some(after) = slot.repeat_append.take() {
            let append = append.clone();
            self.post(
                after,
                Message::Append {
                    from,
                    boot,
                    append,
                    is_answered: false,
                },
            );
        }
        let is_answered = !is_lost && delay < APPEND_TIMEOUT_MS;
        if !is_answered {
            self.answer(APPEND_TIMEOUT_MS, from, boot, failed(true));
        }
        self.post(
            delay,
            Message::Append {
                from,
                boot,
                append,
                is_answered,
            },
        );
    }

    pub(super) fn on_append(&mut self, from: usize, boot: u32, append: &Append, is_answered: bool) {
        let token = append.token;
        if self.t < self.log_down_until.max(self.nodes[from].cut_appends_until) {
            self.nodes[from].mark_fault_until(self.t);
            if is_answered {
                let may_have_run = true;
                let event = Event::AppendFailed {
                    token,
                    may_have_run,
                };
                self.answer(HOP_MS, from, boot, event);
            }
            return;
        }
        for record in &append.records {
            self.write(record);
        }
        if is_answered {
            self.answer(HOP_MS, from, boot, Event::AppendDone { token });
        }
    }

    /// Appends a record to the log and wakes the waiting reads. Returns whether replay accepted it.
    pub(super) fn write(&mut self, record: &Record) -> bool {
        let text = serde_json::to_string(record).unwrap();
        let is_accepted = self.oracle.on_record(self.t, &text).is_accepted();
        self.log.push(text.into());
        for (node, boot, offset, started, until) in std::mem::take(&mut self.waiting_reads) {
            let read = Message::Read {
                from: node,
                boot,
                offset,
                started,
                until,
            };
            self.post(0, read);
        }
        is_accepted
    }

    pub(super) fn on_read(
        &mut self,
        from: usize,
        boot: u32,
        offset: Offset,
        started: MonotonicTime,
        until: u64,
    ) {
        if self.nodes[from].boot != boot {
            return;
        }
        if self.t < self.log_down_until.max(self.nodes[from].cut_reads_until) {
            self.nodes[from].mark_fault_until(self.t);
            return self.answer(HOP_MS, from, boot, Event::TailReadFailed);
        }
        if offset >= self.head() && self.t < until {
            // Answered with the next record, or when the wait ends.
            self.waiting_reads.retain(|waiting| waiting.0 != from);
            self.waiting_reads
                .push((from, boot, offset, started, until));
            let read = Message::Read {
                from,
                boot,
                offset,
                started,
                until,
            };
            return self.post(until - self.t, read);
        }
        let was_answered = !self.nodes[from].begin_answer(boot, started);
        if was_answered {
            return;
        }
        let read = TailRead {
            started,
            entries: self.entries(offset, self.head(), 200),
            head: self.head(),
            oldest: self.oldest(),
        };
        let (slow_until, delay) = self.nodes[from].slow_reads;
        let delay = if self.t < slow_until { delay } else { HOP_MS };
        self.answer(delay, from, boot, Event::TailRead(read));
    }

    pub(super) fn on_query(&mut self, from: usize, boot: u32, asked: MonotonicTime) {
        for peer in (0..NODES).filter(|peer| *peer != from) {
            let endpoint = self.nodes[peer].name.clone();
            if self.are_linked(from, peer) {
                let view: LogProgress = self.nodes[peer].view(self.t);
                self.answer(
                    HOP_MS,
                    from,
                    boot,
                    Event::EndpointStatus {
                        endpoint,
                        asked,
                        view,
                    },
                );
            } else {
                self.answer(
                    UNRESPONSIVE_MS,
                    from,
                    boot,
                    Event::EndpointUnresponsive(endpoint),
                );
            }
        }
    }

    pub(super) fn on_snapshot(&mut self, from: usize, boot: u32, asked: MonotonicTime) {
        for peer in (0..NODES).filter(|peer| *peer != from) {
            let slot = &self.nodes[peer];
            let snapshot = slot.node.as_ref().and_then(GatewayNode::snapshot);
            if let Some(snapshot) = snapshot.filter(|_| self.are_linked(from, peer)) {
                let (endpoint, view) = (slot.name.clone(), slot.view(self.t));
                let event = Event::PeerSnapshot {
                    endpoint,
                    asked,
                    view,
                    snapshot,
                };
                self.answer(HOP_MS, from, boot, event);
            }
        }
    }

    pub(super) fn send_order(&mut self, from: usize, boot: u32, order: SendOrder) {
        let end = self.t + BUDGET_MS;
        let id = (LeaseRole::Planner, order.order.0);
        self.oracle.on_effect(id, order.epoch, from, self.t, end);
        let is_lost = self.lose_orders > 0;
        self.lose_orders = self.lose_orders.saturating_sub(1);
        let delay = self.delay_order.take().unwrap_or(HOP_MS);
        if let Some(after) = self.repeat_order.take() {
            let order = order.clone();
            self.post(
                after,
                Message::Order {
                    from,
                    boot,
                    order,
                    is_answered: false,
                },
            );
        }
        let is_answered = !is_lost && delay < BUDGET_MS;
        if !is_answered {
            let event = Event::OrderAnswered(order.order, OrderAnswer::Unknown);
            self.answer(BUDGET_MS, from, boot, event);
        }
        // A loss affects the order itself if its identity is odd, otherwise only the answer.
        if !is_lost || order.order.0.is_multiple_of(2) {
            self.post(
                delay,
                Message::Order {
                    from,
                    boot,
                    order,
                    is_answered,
                },
            );
        }
    }

    pub(super) fn on_order(
        &mut self,
        from: usize,
        boot: u32,
        order: &SendOrder,
        is_answered: bool,
    ) {
        // The platform does not check fencing numbers; it recognizes repeats by the identity alone.
        let highest = order.command.upstream().map(|upstream| {
            let highest = self.engine_epochs.entry(upstream.into()).or_default();
            *highest = order.epoch.max(*highest);
            *highest
        });
        let is_current = highest.is_none_or(|highest| order.epoch >= highest);
        if is_current {
            self.oracle.on_order(order);
        }
        if is_answered {
            let answer = if is_current {
                OrderAnswer::Applied("".into())
            } else {
                OrderAnswer::Unknown
            };
            self.answer(
                HOP_MS,
                from,
                boot,
                Event::OrderAnswered(order.order, answer),
            );
        }
    }

    pub(super) fn send_report(&mut self, from: usize, boot: u32, report: SendUsageReport) {
        let epoch = self.nodes[from].acting_epoch(LeaseRole::Reporter, self.t);
        let epoch = epoch.unwrap_or_default();
        let end = self.t + BUDGET_MS;
        let id = (LeaseRole::Reporter, u128::from(report.window.0));
        self.oracle.on_effect(id, epoch, from, self.t, end);
        let is_answered = self.lose_report_answers == 0 && self.t >= self.reports_down_until;
        self.lose_report_answers = self.lose_report_answers.saturating_sub(1);
        if !is_answered {
            let (window, is_accepted) = (report.window, false);
            let event = Event::ReportAnswered {
                window,
                is_accepted,
            };
            self.answer(BUDGET_MS, from, boot, event);
        }
        self.post(
            HOP_MS,
            Message::Report {
                from,
                boot,
                report,
                is_answered,
            },
        );
    }
}
