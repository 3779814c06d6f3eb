use super::machine::Pending;
use super::{Coordinator, Effect, End, MAX_LOGGED_ANSWER_BYTES};
use crate::guard::AttemptRef;
use crate::ids::{CallKey, RecordId};
use crate::mutation::Mutation;
use crate::record::{AttemptFence, AttemptOpen, AttemptOutcome, Body, Record, SCHEMA};
use crate::replica::{AttemptPhase, Attempts, CallState};
use crate::verdict::Verdict;
use crate::world::{Append, Moment, World};

impl Coordinator {
    /// Performs what the state asks for, on entry and when it is tried again.
    pub(super) fn enter<W>(&mut self, call: CallKey, attempts: &Attempts, world: &mut W)
    where
        W: World,
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
                machine.promised_by = None;
                world.perform(Effect::Choose(call).into());
            }
            "opening" => self.append_open(call, state, world),
            "dispatching" => self.dispatch(call, state, world),
            "joining" => self.query(call, state, world),
            "fencing" => self.append_fence(call, world),
            "recording" => self.append_outcome(call, world),
            "ended" => self.end(call, state, world),
            _ => {}
        }
    }

    fn append_open<W>(&mut self, call: CallKey, state: Option<&CallState>, world: &mut W)
    where
        W: World,
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
            gateway_incarnation: self.me,
        });
        self.append(call, body, world);
    }

    fn append_fence<W>(&mut self, call: CallKey, world: &mut W)
    where
        W: World,
        W::Effect: From<Effect>,
    {
        let Some(machine) = self.calls.get_mut(&call) else {
            return;
        };
        let body = Body::AttemptFence(AttemptFence {
            call,
            number: machine.number,
            by: machine.promised_by.unwrap_or(self.me),
        });
        self.append(call, body, world);
    }

    fn append_outcome<W>(&mut self, call: CallKey, world: &mut W)
    where
        W: World,
        W::Effect: From<Effect>,
    {
        let wait = self.timing.record_wait;
        let Some(machine) = self.calls.get_mut(&call) else {
            return;
        };
        if !machine.tickets.is_empty() {
            machine.release_at.get_or_insert(world.now().plus(wait));
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
        self.append(call, body, world);
    }

    fn append<W>(&mut self, call: CallKey, body: Body, world: &mut W)
    where
        W: World,
        W::Effect: From<Effect>,
    {
        let Some(machine) = self.calls.get_mut(&call) else {
            return;
        };
        #[expect(clippy::cast_possible_truncation, reason = "64 of 128 random bits")]
        let token = world.random() as u64;
        let record = Record {
            id: RecordId(world.random()),
            author: self.instance.clone(),
            at_ms: world.wall_ms(),
            schema: SCHEMA,
            body,
        };
        machine.append = Some(Pending {
            token,
            record: record.id,
            ended: None,
        });
        self.appends.insert(token, call);
        let records = vec![record];
        world.perform(Effect::Append(Append { token, records }).into());
    }

    /// Sends the attempt that replay has accepted for this gateway. This is the only place that
    /// dispatches, and it is entered once per attempt.
    fn dispatch<W>(&mut self, call: CallKey, state: Option<&CallState>, world: &mut W)
    where
        W: World,
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
            ticket: machine.latest,
        };
        world.perform(effect.into());
    }

    fn query<W>(&mut self, call: CallKey, state: Option<&CallState>, world: &mut W)
    where
        W: World,
        W::Effect: From<Effect>,
    {
        let (Some(machine), Some(state)) = (self.calls.get_mut(&call), state) else {
            return;
        };
        machine.append = None;
        machine.number = state.number;
        // Nobody else dispatches an attempt of this gateway, so it needs no grace.
        let fence = machine.fence || state.gateway == self.me;
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
        world.perform(effect.into());
    }

    /// Answers all callers from the log, which has the end of the call.
    fn end<W>(&mut self, call: CallKey, state: Option<&CallState>, world: &mut W)
    where
        W: World,
        W::Effect: From<Effect>,
    {
        let held = self.calls.get(&call).and_then(|m| m.answer.clone());
        let end = match state.map(|state| &state.phase) {
            Some(AttemptPhase::Answered(answer)) => {
                let mut answer = answer.clone();
                if answer.body.is_none() {
                    answer.body = held.and_then(|held| held.body);
                }
                if self.mutations.has(Mutation::ForgetAnswer) {
                    answer.body = None;
                }
                End::Answered(answer)
            }
            _ => held.map_or(End::Failed(Verdict::MayHaveRun), End::Answered),
        };
        self.finish(call, &end, world);
        self.calls.remove(&call);
    }

    pub(super) fn finish<W>(&mut self, call: CallKey, end: &End, world: &mut W)
    where
        W: World,
        W::Effect: From<Effect>,
    {
        let Some(machine) = self.calls.get_mut(&call) else {
            return;
        };
        for ticket in std::mem::take(&mut machine.tickets) {
            self.tickets.remove(&ticket.id);
            let end = end.clone();
            world.perform(
                Effect::Finish {
                    ticket: ticket.id,
                    end,
                }
                .into(),
            );
        }
    }

    /// Gives the callers of a recorded call the answer that is not in the log yet.
    pub(super) fn release<W>(&mut self, call: CallKey, world: &mut W)
    where
        W: World,
        W::Effect: From<Effect>,
    {
        let Some(machine) = self.calls.get_mut(&call) else {
            return;
        };
        machine.release_at = None;
        let end = match &machine.answer {
            Some(answer) => End::Answered(answer.clone()),
            None => End::Failed(Verdict::MayHaveRun),
        };
        self.finish(call, &end, world);
    }

    /// Ends the requests whose deadline has passed.
    pub(super) fn expire<W>(&mut self, call: CallKey, now: Moment, world: &mut W)
    where
        W: World,
        W::Effect: From<Effect>,
    {
        let complete_as_of = self.complete_as_of;
        let trusts_stale = self.mutations.has(Mutation::StaleNotRun);
        let Some(machine) = self.calls.get_mut(&call) else {
            return;
        };
        // The call goes on for the callers that still have time, so it may still run.
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
                Some(answer) => End::Answered(answer.clone()),
                None if machine.chart.is_in("revocable") && is_last && is_complete => {
                    End::Failed(Verdict::NotRun)
                }
                None => End::Failed(Verdict::MayHaveRun),
            };
            self.tickets.remove(&ticket.id);
            let ticket = ticket.id;
            world.perform(Effect::Finish { ticket, end }.into());
        }
    }

    /// Gives up a call that has no caller any more, as far as it can.
    pub(super) fn abandon<W>(&mut self, call: CallKey, attempts: &Attempts, world: &mut W)
    where
        W: World,
        W::Effect: From<Effect>,
    {
        let keeps_right = self.mutations.has(Mutation::DispatchRevoked);
        let Some(machine) = self.calls.get_mut(&call) else {
            return;
        };
        if !machine.tickets.is_empty() {
            return;
        }
        match machine.chart.state() {
            "choosing" => drop(self.calls.remove(&call)),
            "opening" if keeps_right => {}
            "opening" => self.handle(call, "withdraw", attempts, world),
            "revoking" if machine.append.is_none() => {
                let is_mine = attempts.get(call).is_some_and(|state| {
                    state.phase == AttemptPhase::Open && state.gateway == self.me
                });
                if !is_mine {
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
