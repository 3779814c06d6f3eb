use super::machine::{Machine, Pending};
use super::{AppendResult, Coordinator, DispatchResult, Effect, End, Target};
use crate::guard::{AttemptRef, AttemptState};
use crate::ids::{CallKey, RecordId};
use crate::mutation::Mutation;
use crate::replica::{AttemptPhase, Attempts};
use crate::verdict::Verdict;
use crate::world::{Moment, World};

impl Coordinator {
    /// Lets the state of the log act on a call until nothing changes any more.
    pub(super) fn step<W>(&mut self, call: CallKey, attempts: &Attempts, world: &mut W)
    where
        W: World,
        W::Effect: From<Effect>,
    {
        let state = attempts.get(call);
        let is_mine = state.is_some_and(|state| state.gateway == self.me);
        while let Some(machine) = self.calls.get_mut(&call) {
            if state.is_some_and(|state| state.content != machine.content) {
                self.finish(call, &End::Reused, world);
                self.calls.remove(&call);
                return;
            }
            let dispatched = self.dispatched.get(&call).copied();
            let has_dispatched = dispatched.is_some() && dispatched == state.map(|s| s.number);
            let event = machine.observe(state, is_mine, has_dispatched);
            if event == "open_other" && machine.chart.state() == "joining" {
                let number = state.map_or(0, |state| state.number);
                if machine.number != number {
                    machine.fence = false;
                    self.enter(call, attempts, world);
                }
                return;
            }
            let is_other_fence = event == "open_unsent" && machine.chart.state() == "fencing";
            if !machine.chart.handle(event) && !is_other_fence {
                return;
            }
            if let ("open_unsent", Some(state)) = (event, state) {
                machine.number = state.number;
                machine.promised_by = Some(self.me);
            }
            self.enter(call, attempts, world);
        }
    }

    /// Handles an event of the chart that does not come from the log.
    pub(super) fn handle<W>(
        &mut self,
        call: CallKey,
        event: &str,
        attempts: &Attempts,
        world: &mut W,
    ) where
        W: World,
        W::Effect: From<Effect>,
    {
        let Some(machine) = self.calls.get_mut(&call) else {
            return;
        };
        if machine.chart.handle(event) {
            self.enter(call, attempts, world);
        }
        self.step(call, attempts, world);
    }

    pub(super) fn on_chosen<W>(
        &mut self,
        call: CallKey,
        target: Option<Target>,
        attempts: &Attempts,
        world: &mut W,
    ) where
        W: World,
        W::Effect: From<Effect>,
    {
        let retry = self.timing.retry;
        let Some(machine) = self.calls.get_mut(&call) else {
            return;
        };
        if machine.chart.state() != "choosing" {
            return;
        }
        machine.target = target;
        if machine.target.is_some() {
            self.handle(call, "chosen", attempts, world);
        } else {
            machine.retry_at = Some(world.now().plus(retry));
        }
    }

    pub(super) fn on_appended<W>(
        &mut self,
        token: u64,
        result: AppendResult,
        attempts: &Attempts,
        world: &mut W,
    ) where
        W: World,
        W::Effect: From<Effect>,
    {
        let Some(call) = self.appends.get(&token).copied() else {
            return;
        };
        match result {
            // Replay shows what the record did; if it shows nothing, the next read of the head does.
            AppendResult::Done | AppendResult::Lost => {
                let now = world.now();
                if let Some(machine) = self.calls.get_mut(&call)
                    && let Some(append) = &mut machine.append
                    && append.token == token
                {
                    append.ended.get_or_insert(now);
                } else {
                    self.appends.remove(&token);
                }
            }
            AppendResult::Refused => {
                self.appends.remove(&token);
                self.on_resolved(call, |append| append.token == token, attempts, world);
            }
        }
    }

    /// The replica holds everything that was accepted before `moment`: an append that ended before
    /// that and did not show is not in the log.
    pub(super) fn settle<W>(&mut self, moment: Moment, attempts: &Attempts, world: &mut W)
    where
        W: World,
        W::Effect: From<Effect>,
    {
        for call in self.calls_in_order() {
            let is_settled = |append: Pending| append.ended.is_some_and(|ended| ended <= moment);
            self.on_resolved(call, is_settled, attempts, world);
        }
    }

    /// An append had no effect that still counts: after a refusal, a settled loss, or replay.
    pub(super) fn on_resolved<W>(
        &mut self,
        call: CallKey,
        is_it: impl Fn(Pending) -> bool,
        attempts: &Attempts,
        world: &mut W,
    ) where
        W: World,
        W::Effect: From<Effect>,
    {
        let retry = self.timing.retry;
        let Some(machine) = self.calls.get_mut(&call) else {
            return;
        };
        let Some(append) = machine.append.filter(|append| is_it(*append)) else {
            return;
        };
        machine.append = None;
        self.appends.remove(&append.token);
        match machine.chart.state() {
            // Waits before it chooses again.
            "opening" | "revoking" | "fencing" => {
                machine.retry_at = Some(world.now().plus(retry));
            }
            "recording" => {
                machine.retry_at = Some(world.now().plus(retry));
                // The log is not there to make the answer lasting; the caller gets it now.
                self.release(call, world);
            }
            _ => {}
        }
        self.abandon(call, attempts, world);
    }

    pub(super) fn on_replayed<W>(
        &mut self,
        call: CallKey,
        record: RecordId,
        attempts: &Attempts,
        world: &mut W,
    ) where
        W: World,
        W::Effect: From<Effect>,
    {
        let state = attempts.get(call);
        if let Some(state) = state {
            let is_open = state.phase == AttemptPhase::Open;
            if !is_open || self.dispatched.get(&call) != Some(&state.number) {
                self.dispatched.remove(&call);
            }
            let is_orphan = is_open
                && state.gateway == self.me
                && !self.calls.contains_key(&call)
                && !self.has_dispatched(call, state.number);
            if is_orphan {
                // An append that was given up has taken effect late. Nobody dispatches it; the fence
                // keeps the call from being taken for one that may have run.
                let machine = Machine::new(self.chart.clone(), state.content);
                self.calls.insert(call, machine);
            }
        }
        let is_mine = |append: Pending| append.record == record;
        if let Some(machine) = self.calls.get_mut(&call)
            && let Some(append) = machine.append.filter(|append| is_mine(*append))
        {
            machine.append = None;
            self.appends.remove(&append.token);
        }
        self.step(call, attempts, world);
        self.abandon(call, attempts, world);
    }

    pub(super) fn on_dispatched<W>(
        &mut self,
        attempt: AttemptRef,
        result: DispatchResult,
        attempts: &Attempts,
        world: &mut W,
    ) where
        W: World,
        W::Effect: From<Effect>,
    {
        let me = self.me;
        let abandons = self.mutations.has(Mutation::AbandonLostDispatch);
        let Some(machine) = self.calls.get_mut(&attempt.call) else {
            return;
        };
        let is_current = machine.number == attempt.number && machine.chart.state() == "dispatching";
        if !is_current {
            return;
        }
        let event = match result {
            DispatchResult::Answered(answer) => {
                machine.answer = Some(answer);
                "result"
            }
            DispatchResult::Unknown => "result",
            DispatchResult::Fenced => {
                machine.promised_by = Some(attempt.sidecar);
                "promise"
            }
            // The one dispatch of this attempt reached nobody who could run it.
            DispatchResult::NotSent | DispatchResult::OtherIncarnation => {
                machine.promised_by = Some(me);
                "promise"
            }
            DispatchResult::Lost if abandons => "result",
            DispatchResult::Lost => "lost",
        };
        self.handle(attempt.call, event, attempts, world);
    }

    pub(super) fn on_queried<W>(
        &mut self,
        attempt: AttemptRef,
        state: Option<AttemptState>,
        attempts: &Attempts,
        world: &mut W,
    ) where
        W: World,
        W::Effect: From<Effect>,
    {
        let retry = self.timing.retry;
        let call = attempt.call;
        let Some(machine) = self.calls.get_mut(&call) else {
            return;
        };
        if machine.number != attempt.number || machine.chart.state() != "joining" {
            return;
        }
        let event = match state {
            None => {
                machine.retry_at = Some(world.now().plus(retry));
                return;
            }
            Some(AttemptState::NotSeen | AttemptState::Running) => {
                machine.fence = true;
                self.enter(call, attempts, world);
                return;
            }
            Some(AttemptState::Fenced) => {
                machine.promised_by = Some(attempt.sidecar);
                "promise"
            }
            Some(AttemptState::Answered(answer)) => {
                machine.answer = Some(answer);
                "result"
            }
            Some(AttemptState::Unknown) => "result",
            Some(AttemptState::OtherIncarnation) => {
                if self.has_dispatched(call, attempt.number) {
                    // Only this gateway could have dispatched it, and it did.
                    "result"
                } else {
                    // The gateway that may dispatch it can still prove that it did not.
                    self.finish(call, &End::Failed(Verdict::MayHaveRun), world);
                    self.calls.remove(&call);
                    return;
                }
            }
        };
        self.handle(call, event, attempts, world);
    }

    pub(super) fn wake<W>(&mut self, call: CallKey, now: Moment, attempts: &Attempts, world: &mut W)
    where
        W: World,
        W::Effect: From<Effect>,
    {
        let Some(machine) = self.calls.get_mut(&call) else {
            return;
        };
        if machine.release_at.is_some_and(|at| at <= now) {
            self.release(call, world);
        }
        self.expire(call, now, world);
        self.abandon(call, attempts, world);
        let Some(machine) = self.calls.get_mut(&call) else {
            return;
        };
        if machine.retry_at.is_some_and(|at| at <= now) {
            machine.retry_at = None;
            if matches!(machine.chart.state(), "opening" | "revoking") {
                // Whatever the log shows by now decides; without news the call chooses again.
                self.step(call, attempts, world);
            } else {
                self.enter(call, attempts, world);
            }
        }
    }
}
