use nutmegbay_chart::Chart;

use super::{Target, TicketId};
use crate::ids::{Fingerprint, Incarnation, RecordId};
use crate::record::Answer;
use crate::replica::{CallState, Phase};
use crate::environment::MonotonicTime;

/// One call in progress at this gateway.
pub(super) struct CallMachine {
    pub(super) chart: nutmegbay_chart::Machine,
    pub(super) content: Fingerprint,
    pub(super) tickets: Vec<Ticket>,
    /// Caller that came last, whose body is sent.
    pub(super) latest_ticket: TicketId,
    /// Attempt that the state refers to, 0 before the first.
    pub(super) number: u32,
    pub(super) target: Option<Target>,
    pub(super) append: Option<PendingAppend>,
    pub(super) retry_at: Option<MonotonicTime>,
    /// Who promised that attempt `number` never runs.
    pub(super) fenced_by: Option<Incarnation>,
    /// Answer of attempt `number`, held until the log has it or `release_at` has come.
    pub(super) answer: Option<Answer>,
    pub(super) release_at: Option<MonotonicTime>,
    /// Whether the next question to the sidecar asks for its promise.
    pub(super) fence: bool,
}

/// A caller that waits for the end of a call.
pub(super) struct Ticket {
    pub(super) id: TicketId,
    pub(super) arrived: MonotonicTime,
    pub(super) deadline: MonotonicTime,
}

/// An append whose effect replay has not shown yet.
#[derive(Clone, Copy)]
pub(super) struct PendingAppend {
    pub(super) token: u64,
    pub(super) record: RecordId,
    /// When its answer came or was lost.
    pub(super) answered_at: Option<MonotonicTime>,
}

impl CallMachine {
    pub(super) fn new(chart: Chart, content: Fingerprint) -> Self {
        Self {
            chart: nutmegbay_chart::Machine::new(chart),
            content,
            tickets: Vec::new(),
            latest_ticket: TicketId::default(),
            number: 0,
            target: None,
            append: None,
            retry_at: None,
            fenced_by: None,
            answer: None,
            release_at: None,
            fence: false,
        }
    }

    /// MonotonicTime at which the machine has something to do.
    pub(super) fn next_wake(&self) -> Option<MonotonicTime> {
        let deadline = self.tickets.iter().map(|ticket| ticket.deadline).min();
        [deadline, self.retry_at, self.release_at]
            .into_iter()
            .flatten()
            .min()
    }

    /// Event of the chart that the state of the log amounts to. `is_own` tells whether the gateway
    /// may dispatch the open attempt, `has_dispatched` whether it has.
    pub(super) fn chart_event(
        &self,
        state: Option<&CallState>,
        is_own: bool,
        has_dispatched: bool,
    ) -> &'static str {
        let Some(state) = state else {
            return self.no_open_attempt_event();
        };
        let is_same = state.number == self.number;
        match state.phase {
            Phase::Answered(_) => "answered",
            Phase::Unknown => "unknown",
            Phase::Fenced(_) => self.no_open_attempt_event(),
            Phase::Open if is_own && !has_dispatched => match self.chart.state() {
                "opening" | "choosing" if is_same => "open_mine",
                "fencing" if is_same => "open_same",
                // An append that was given up has taken effect late; nobody dispatches it.
                _ => "open_unsent",
            },
            Phase::Open if !is_same => "open_other",
            // Only in these states does the machine deal with the open attempt itself; in all others
            // it wanted the number for itself, and another gateway has taken it.
            Phase::Open => match self.chart.state() {
                "dispatching" | "joining" | "fencing" | "recording" => "open_same",
                _ => "open_other",
            },
        }
    }

    /// No attempt is open. While an append of this gateway is under way, that is no news.
    pub(super) fn no_open_attempt_event(&self) -> &'static str {
        match self.append {
            Some(_) if matches!(self.chart.state(), "opening" | "revoking") => "pending",
            _ => "free",
        }
    }
}
