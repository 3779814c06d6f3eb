use nutmegbay_chart::Chart;

use super::{Target, TicketId};
use crate::environment::MonotonicTime;
use crate::ids::{Fingerprint, Incarnation, RecordId};
use crate::record::Answer;
use crate::replica::{AttemptPhase, CallState};

/// State machine of a call in progress at this gateway.
pub(super) struct CallMachine {
    pub(super) chart: nutmegbay_chart::Machine,
    pub(super) content: Fingerprint,
    pub(super) tickets: Vec<Ticket>,
    /// Latest caller, whose body is sent.
    pub(super) latest_ticket: TicketId,
    /// Number of the attempt that the state refers to, 0 before the first.
    pub(super) number: u32,
    pub(super) target: Option<Target>,
    pub(super) append: Option<PendingAppend>,
    pub(super) retry_at: Option<MonotonicTime>,
    /// Incarnation of the process that guarantees that attempt `number` never runs.
    pub(super) fenced_by: Option<Incarnation>,
    /// Answer of attempt `number`, held back until it is in the log or `release_at` is reached.
    pub(super) answer: Option<Answer>,
    pub(super) release_at: Option<MonotonicTime>,
    /// Whether the next query asks the sidecar to fence the attempt.
    pub(super) fence: bool,
}

/// Request of a caller that waits for the end of a call.
pub(super) struct Ticket {
    pub(super) id: TicketId,
    pub(super) arrived: MonotonicTime,
    pub(super) deadline: MonotonicTime,
}

/// Append whose effect replay has not shown yet.
#[derive(Clone, Copy)]
pub(super) struct PendingAppend {
    pub(super) token: u64,
    pub(super) record: RecordId,
    /// When its answer arrived or was lost.
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

    /// Returns the time of the next deadline, retry or release.
    pub(super) fn next_wake(&self) -> Option<MonotonicTime> {
        let deadline = self.tickets.iter().map(|ticket| ticket.deadline).min();
        [deadline, self.retry_at, self.release_at]
            .into_iter()
            .flatten()
            .min()
    }

    /// Returns the chart event that matches the state of the call in the log. `is_own` tells
    /// whether this gateway may dispatch the open attempt, `has_dispatched` whether it has done so.
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
            AttemptPhase::Answered(_) => "answered",
            AttemptPhase::Unknown => "unknown",
            AttemptPhase::Fenced(_) => self.no_open_attempt_event(),
            AttemptPhase::Open if is_own && !has_dispatched => match self.chart.state() {
                "opening" | "choosing" if is_same => "open_mine",
                "fencing" if is_same => "open_same",
                // An append that this gateway had abandoned took effect late. Nobody dispatches
                // this attempt.
                _ => "open_unsent",
            },
            AttemptPhase::Open if !is_same => "open_other",
            // In these states the machine handles the open attempt itself. In all others it tried
            // to open this number, and another gateway has opened it first.
            AttemptPhase::Open => match self.chart.state() {
                "dispatching" | "joining" | "fencing" | "recording" => "open_same",
                _ => "open_other",
            },
        }
    }

    /// Returns the chart event for a call without an open attempt. While an append of this gateway
    /// is pending in `opening` or `revoking`, that event is `pending`, which the chart ignores.
    pub(super) fn no_open_attempt_event(&self) -> &'static str {
        match self.append {
            Some(_) if matches!(self.chart.state(), "opening" | "revoking") => "pending",
            _ => "free",
        }
    }
}
