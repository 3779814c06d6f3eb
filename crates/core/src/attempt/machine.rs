use nutmegbay_chart::Chart;

use super::{Target, TicketId};
use crate::ids::{Fingerprint, Incarnation, RecordId};
use crate::record::Answer;
use crate::replica::{AttemptPhase, CallState};
use crate::world::Moment;

/// One call in progress at this gateway.
pub(super) struct Machine {
    pub(super) chart: nutmegbay_chart::Machine,
    pub(super) content: Fingerprint,
    pub(super) tickets: Vec<Ticket>,
    /// Caller that came last, whose body is sent.
    pub(super) latest: TicketId,
    /// Attempt that the state refers to, 0 before the first.
    pub(super) number: u32,
    pub(super) target: Option<Target>,
    pub(super) append: Option<Pending>,
    pub(super) retry_at: Option<Moment>,
    /// Who promised that attempt `number` never runs.
    pub(super) promised_by: Option<Incarnation>,
    /// Answer of attempt `number`, held until the log has it or `release_at` has come.
    pub(super) answer: Option<Answer>,
    pub(super) release_at: Option<Moment>,
    /// Whether the next question to the sidecar asks for its promise.
    pub(super) fence: bool,
}

/// A caller that waits for the end of a call.
pub(super) struct Ticket {
    pub(super) id: TicketId,
    pub(super) arrived: Moment,
    pub(super) deadline: Moment,
}

/// An append whose effect replay has not shown yet.
#[derive(Clone, Copy)]
pub(super) struct Pending {
    pub(super) token: u64,
    pub(super) record: RecordId,
    /// When its answer came or was lost.
    pub(super) ended: Option<Moment>,
}

impl Machine {
    pub(super) fn new(chart: Chart, content: Fingerprint) -> Self {
        Self {
            chart: nutmegbay_chart::Machine::new(chart),
            content,
            tickets: Vec::new(),
            latest: TicketId::default(),
            number: 0,
            target: None,
            append: None,
            retry_at: None,
            promised_by: None,
            answer: None,
            release_at: None,
            fence: false,
        }
    }

    /// Moment at which the machine has something to do.
    pub(super) fn wake(&self) -> Option<Moment> {
        let deadline = self.tickets.iter().map(|ticket| ticket.deadline).min();
        [deadline, self.retry_at, self.release_at]
            .into_iter()
            .flatten()
            .min()
    }

    /// Event of the chart that the state of the log amounts to. `is_mine` tells whether the gateway
    /// may dispatch the open attempt, `has_dispatched` whether it has.
    pub(super) fn observe(
        &self,
        state: Option<&CallState>,
        is_mine: bool,
        has_dispatched: bool,
    ) -> &'static str {
        let Some(state) = state else {
            return self.free();
        };
        let is_same = state.number == self.number;
        match state.phase {
            AttemptPhase::Answered(_) => "answered",
            AttemptPhase::Unknown => "unknown",
            AttemptPhase::Fenced(_) => self.free(),
            AttemptPhase::Open if is_mine && !has_dispatched => match self.chart.state() {
                "opening" | "choosing" if is_same => "open_mine",
                "fencing" if is_same => "open_same",
                // An append that was given up has taken effect late; nobody dispatches it.
                _ => "open_unsent",
            },
            AttemptPhase::Open if !is_same => "open_other",
            // Only in these states does the machine deal with the open attempt itself; in all others
            // it wanted the number for itself, and another gateway has taken it.
            AttemptPhase::Open => match self.chart.state() {
                "dispatching" | "joining" | "fencing" | "recording" => "open_same",
                _ => "open_other",
            },
        }
    }

    /// No attempt is open. While an append of this gateway is under way, that is no news.
    pub(super) fn free(&self) -> &'static str {
        match self.append {
            Some(_) if matches!(self.chart.state(), "opening" | "revoking") => "pending",
            _ => "free",
        }
    }
}
