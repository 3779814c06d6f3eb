use super::call_machine::PendingAppend;
use super::{CallEnd, Coordinator, Effect, MAX_LOGGED_ANSWER_BYTES};
use crate::environment::{Append, Environment, MonotonicTime};
use crate::guard::AttemptRef;
use crate::ids::{CallKey, RecordId};
use crate::mutation::Mutation;
use crate::record::{AttemptFence, AttemptOpen, AttemptOutcome, Body, Record, SCHEMA};
use crate::replica::{AttemptPhase, Attempts, CallState};
use crate::verdict::Verdict;

impl Coordinator {
    /// Performs the action of the current chart state, on entry and on each retry.
    pub(super) fn perform_state_action<W>(
        &mut self,
        call: CallKey,
        attempts: &Attempts,
        environment: &mut W,
    ) where
        W: Environment,
        W::Effect: From<Effect>,
    {
        let Some(machine) = self.calls.get_mut(&call) else {
            return;
        };
        machine.retry_at = None;
        let state = attempts.get(call);
        match machine.chart.state() {
            "choosing" if machine.tickets.is_empty() => drop(self.calls.remove(&call)),
            "choosing" => {
                machine.target = None;
                machine.append = None;
                machine.fenced_by = None;
                environment.perform(Effect::Choose(call).into());
            }
            "opening" => self.append_open_record(call, state, environment),
            "dispatching" => self.dispatch(call, state, environment),
            "joining" => self.query(call, state, environment),
            "fencing" => self.append_fence_record(call, environment),
            "recording" => self.append_outcome_record(call, environment),
            "ended" => self.finish_ended_call(call, state, environment),
            _ => {}
        }
    }

    fn append_open_record<W>(
        &mut self,
        call: CallKey,
        state: Option<&CallState>,
        environment: &mut W,
    ) where
        W: Environment,
        W::Effect: From<Effect>,
    {
        let Some(machine) = self.calls.get_mut(&call) else {
            return;
        };
        let (number, prev) = match state {
            Some(state) => match state.phase {
                AttemptPhase::Fenced(fence) => (state.number + 1, Some(fence)),
                _ => return,
            },
            None => (1, None),
        };
        let Some(target) = machine.target.clone() else {
            return;
        };
        machine.number = number;
        let body = Body::AttemptOpen(AttemptOpen {
            call,
            number,
            prev,
            content: machine.content,
            upstream: target.upstream,
            sidecar: target.sidecar,
            gateway: self.instance.clone(),
            gateway_incarnation: self.incarnation,
        });
        self.append(call, body, environment);
    }

    fn append_fence_record<W>(&mut self, call: CallKey, environment: &mut W)
    where
        W: Environment,
        W::Effect: From<Effect>,
    {
        let Some(machine) = self.calls.get_mut(&call) else {
            return;
        };
        let body = Body::AttemptFence(AttemptFence {
            call,
            number: machine.number,
            by: machine.fenced_by.unwrap_or(self.incarnation),
        });
        self.append(call, body, environment);
    }

    fn append_outcome_record<W>(&mut self, call: CallKey, environment: &mut W)
    where
        W: Environment,
        W::Effect: From<Effect>,
    {
        let wait = self.timing.record_wait;
        let Some(machine) = self.calls.get_mut(&call) else {
            return;
        };
        if !machine.tickets.is_empty() {
            machine
                .release_at
                .get_or_insert(environment.now().plus(wait));
        }
        let answer = machine.answer.clone().map(|mut answer| {
            answer.body = answer
                .body
                .filter(|body| body.len() <= MAX_LOGGED_ANSWER_BYTES);
            answer
        });
        let body = Body::AttemptOutcome(AttemptOutcome {
            call,
            number: machine.number,
            answer,
        });
        self.append(call, body, environment);
    }

    fn append<W>(&mut self, call: CallKey, body: Body, environment: &mut W)
    where
        W: Environment,
        W::Effect: From<Effect>,
    {
        let Some(machine) = self.calls.get_mut(&call) else {
            return;
        };
        #[expect(clippy::cast_possible_truncation, reason = "64 of 128 random bits")]
        let token = environment.random() as u64;
        let record = Record {
            id: RecordId(environment.random()),
            author: self.instance.clone(),
            at_ms: environment.wall_ms(),
            schema: SCHEMA,
            body,
        };
        machine.append = Some(PendingAppend {
            token,
            record: record.id,
            answered_at: None,
        });
        self.appends.insert(token, call);
        let records = vec![record];
        environment.perform(Effect::Append(Append { token, records }).into());
    }

    /// Dispatches the attempt that replay has accepted for this gateway. This is the only place
    /// that dispatches, and it is entered once per attempt.
    fn dispatch<W>(&mut self, call: CallKey, state: Option<&CallState>, environment: &mut W)
    where
        W: Environment,
        W::Effect: From<Effect>,
    {
        let (Some(machine), Some(state)) = (self.calls.get_mut(&call), state) else {
            return;
        };
        machine.append = None;
        self.dispatched.insert(call, state.number);
        let effect = Effect::Dispatch {
            attempt: attempt_ref(call, state),
            upstream: state.upstream.clone(),
            ticket: machine.latest_ticket,
        };
        environment.perform(effect.into());
    }

    fn query<W>(&mut self, call: CallKey, state: Option<&CallState>, environment: &mut W)
    where
        W: Environment,
        W::Effect: From<Effect>,
    {
        let (Some(machine), Some(state)) = (self.calls.get_mut(&call), state) else {
            return;
        };
        machine.append = None;
        machine.number = state.number;
        // Only this gateway dispatches its attempts, so no grace time is needed for the attempt to
        // arrive.
        let fence = machine.fence || state.gateway == self.incarnation;
        let wait = if fence {
            self.timing.join_wait
        } else {
            self.timing.join_grace
        };
        let effect = Effect::Query {
            attempt: attempt_ref(call, state),
            upstream: state.upstream.clone(),
            fence,
            wait,
        };
        environment.perform(effect.into());
    }

    /// Answers all callers with the end of the call that is in the log.
    fn finish_ended_call<W>(
        &mut self,
        call: CallKey,
        state: Option<&CallState>,
        environment: &mut W,
    ) where
        W: Environment,
        W::Effect: From<Effect>,
    {
        let held_answer = self.calls.get(&call).and_then(|m| m.answer.clone());
        let end = match state.map(|state| &state.phase) {
            Some(AttemptPhase::Answered(answer)) => {
                let mut answer = answer.clone();
                if answer.body.is_none() {
                    answer.body = held_answer.and_then(|held_answer| held_answer.body);
                }
                if self.mutations.has(Mutation::ForgetAnswer) {
                    answer.body = None;
                }
                CallEnd::Answered(answer)
            }
            _ => held_answer.map_or(CallEnd::Failed(Verdict::MayHaveRun), CallEnd::Answered),
        };
        self.finish_callers(call, &end, environment);
        self.calls.remove(&call);
    }

    pub(super) fn finish_callers<W>(&mut self, call: CallKey, end: &CallEnd, environment: &mut W)
    where
        W: Environment,
        W::Effect: From<Effect>,
    {
        let Some(machine) = self.calls.get_mut(&call) else {
            return;
        };
        for ticket in std::mem::take(&mut machine.tickets) {
            self.tickets.remove(&ticket.id);
            let end = end.clone();
            environment.perform(
                Effect::Finish {
                    ticket: ticket.id,
                    end,
                }
                .into(),
            );
        }
    }

    /// Answers the callers of a call in `recording` before its answer is in the log.
    pub(super) fn finish_before_logged<W>(&mut self, call: CallKey, environment: &mut W)
    where
        W: Environment,
        W::Effect: From<Effect>,
    {
        let Some(machine) = self.calls.get_mut(&call) else {
            return;
        };
        machine.release_at = None;
        let end = match &machine.answer {
            Some(answer) => CallEnd::Answered(answer.clone()),
            None => CallEnd::Failed(Verdict::MayHaveRun),
        };
        self.finish_callers(call, &end, environment);
    }

    /// Ends the requests whose deadline has passed.
    pub(super) fn finish_expired_callers<W>(
        &mut self,
        call: CallKey,
        now: MonotonicTime,
        environment: &mut W,
    ) where
        W: Environment,
        W::Effect: From<Effect>,
    {
        let complete_as_of = self.complete_as_of;
        let trusts_stale = self.mutations.has(Mutation::StaleNotRun);
        let Some(machine) = self.calls.get_mut(&call) else {
            return;
        };
        // The call continues for the callers whose deadline has not passed, so it may still run.
        let is_last = machine.tickets.iter().all(|ticket| ticket.deadline <= now);
        let mut at = 0;
        while let Some(ticket) = machine.tickets.get(at) {
            if ticket.deadline > now {
                at += 1;
                continue;
            }
            let is_complete = complete_as_of >= Some(ticket.arrived) || trusts_stale;
            let ticket = machine.tickets.remove(at);
            let end = match &machine.answer {
                Some(answer) => CallEnd::Answered(answer.clone()),
                None if machine.chart.is_in("revocable") && is_last && is_complete => {
                    CallEnd::Failed(Verdict::NotRun)
                }
                None => CallEnd::Failed(Verdict::MayHaveRun),
            };
            self.tickets.remove(&ticket.id);
            let ticket = ticket.id;
            environment.perform(Effect::Finish { ticket, end }.into());
        }
    }

    /// Stops a call that has no callers left, as far as that is safe.
    pub(super) fn abandon_without_callers<W>(
        &mut self,
        call: CallKey,
        attempts: &Attempts,
        environment: &mut W,
    ) where
        W: Environment,
        W::Effect: From<Effect>,
    {
        let dispatches_revoked = self.mutations.has(Mutation::DispatchRevoked);
        let Some(machine) = self.calls.get_mut(&call) else {
            return;
        };
        if !machine.tickets.is_empty() {
            return;
        }
        match machine.chart.state() {
            "choosing" => drop(self.calls.remove(&call)),
            "opening" if dispatches_revoked => {}
            "opening" => self.handle_chart_event(call, "withdraw", attempts, environment),
            "revoking" if machine.append.is_none() => {
                let is_own = attempts.get(call).is_some_and(|state| {
                    state.phase == AttemptPhase::Open && state.gateway == self.incarnation
                });
                if !is_own {
                    self.calls.remove(&call);
                }
            }
            "joining" => {
                let number = machine.number;
                if !self.has_dispatched(call, number) {
                    self.calls.remove(&call);
                }
            }
            _ => {}
        }
    }
    pub(super) fn has_dispatched(&self, call: CallKey, number: u32) -> bool {
        self.dispatched.get(&call) == Some(&number)
    }
}

fn attempt_ref(call: CallKey, state: &CallState) -> AttemptRef {
    AttemptRef {
        call,
        number: state.number,
        opened: state.opened,
        sidecar: state.sidecar,
    }
}
