use super::call_machine::{CallMachine, PendingAppend};
use super::{AppendResult, CallEnd, Coordinator, DispatchResult, Effect, Target};
use crate::environment::{Environment, MonotonicTime};
use crate::guard::{AttemptRef, AttemptState};
use crate::ids::{CallKey, RecordId};
use crate::mutation::Mutation;
use crate::replica::{AttemptPhase, Attempts};
use crate::verdict::Verdict;

impl Coordinator {
    /// Applies the state of the log to a call until its chart state no longer changes.
    pub(super) fn apply_log_state<W>(
        &mut self,
        call: CallKey,
        attempts: &Attempts,
        environment: &mut W,
    ) where
        W: Environment,
        W::Effect: From<Effect>,
    {
        let state = attempts.get(call);
        let is_own = state.is_some_and(|state| state.gateway == self.incarnation);
        while let Some(machine) = self.calls.get_mut(&call) {
            if state.is_some_and(|state| state.content != machine.content) {
                self.finish_callers(call, &CallEnd::KeyReused, environment);
                self.calls.remove(&call);
                return;
            }
            let dispatched = self.dispatched.get(&call).copied();
            let has_dispatched = dispatched.is_some() && dispatched == state.map(|s| s.number);
            let event = machine.chart_event(state, is_own, has_dispatched);
            if event == "open_other" && machine.chart.state() == "joining" {
                let number = state.map_or(0, |state| state.number);
                if machine.number != number {
                    machine.fence = false;
                    self.perform_state_action(call, attempts, environment);
                }
                return;
            }
            let is_other_fence = event == "open_unsent" && machine.chart.state() == "fencing";
            if !machine.chart.handle(event) && !is_other_fence {
                return;
            }
            if let ("open_unsent", Some(state)) = (event, state) {
                machine.number = state.number;
                machine.fenced_by = Some(self.incarnation);
            }
            self.perform_state_action(call, attempts, environment);
        }
    }

    /// Handles a chart event that does not come from the log.
    pub(super) fn handle_chart_event<W>(
        &mut self,
        call: CallKey,
        event: &str,
        attempts: &Attempts,
        environment: &mut W,
    ) where
        W: Environment,
        W::Effect: From<Effect>,
    {
        let Some(machine) = self.calls.get_mut(&call) else {
            return;
        };
        if machine.chart.handle(event) {
            self.perform_state_action(call, attempts, environment);
        }
        self.apply_log_state(call, attempts, environment);
    }

    pub(super) fn on_chosen<W>(
        &mut self,
        call: CallKey,
        target: Option<Target>,
        attempts: &Attempts,
        environment: &mut W,
    ) where
        W: Environment,
        W::Effect: From<Effect>,
    {
        let retry_delay = self.timing.retry_delay;
        let Some(machine) = self.calls.get_mut(&call) else {
            return;
        };
        if machine.chart.state() != "choosing" {
            return;
        }
        machine.target = target;
        if machine.target.is_some() {
            self.handle_chart_event(call, "chosen", attempts, environment);
        } else {
            machine.retry_at = Some(environment.now().plus(retry_delay));
        }
    }

    pub(super) fn on_appended<W>(
        &mut self,
        token: u64,
        result: AppendResult,
        attempts: &Attempts,
        environment: &mut W,
    ) where
        W: Environment,
        W::Effect: From<Effect>,
    {
        let Some(call) = self.appends.get(&token).copied() else {
            return;
        };
        match result {
            // Replay shows what the record did. If it does not show the record, the next read that
            // reaches the head resolves the append.
            AppendResult::Done | AppendResult::Lost => {
                let now = environment.now();
                if let Some(machine) = self.calls.get_mut(&call)
                    && let Some(append) = &mut machine.append
                    && append.token == token
                {
                    append.answered_at.get_or_insert(now);
                } else {
                    self.appends.remove(&token);
                }
            }
            AppendResult::Refused => {
                self.appends.remove(&token);
                self.on_append_resolved(
                    call,
                    |append| append.token == token,
                    attempts,
                    environment,
                );
            }
        }
    }

    /// The replica contains every record that was accepted before `time`: an append that ended
    /// before that and was not replayed is not in the log.
    pub(super) fn resolve_appends_before<W>(
        &mut self,
        time: MonotonicTime,
        attempts: &Attempts,
        environment: &mut W,
    ) where
        W: Environment,
        W::Effect: From<Effect>,
    {
        for call in self.calls_in_order() {
            let is_settled =
                |append: PendingAppend| append.answered_at.is_some_and(|at| at <= time);
            self.on_append_resolved(call, is_settled, attempts, environment);
        }
    }

    /// Handles that an append is no longer pending although the chart state still waits for it:
    /// after a refusal, or after a lost answer whose record is not in the log.
    pub(super) fn on_append_resolved<W>(
        &mut self,
        call: CallKey,
        matches: impl Fn(PendingAppend) -> bool,
        attempts: &Attempts,
        environment: &mut W,
    ) where
        W: Environment,
        W::Effect: From<Effect>,
    {
        let retry_delay = self.timing.retry_delay;
        let Some(machine) = self.calls.get_mut(&call) else {
            return;
        };
        let Some(append) = machine.append.filter(|append| matches(*append)) else {
            return;
        };
        machine.append = None;
        self.appends.remove(&append.token);
        match machine.chart.state() {
            // Waits before it chooses again.
            "opening" | "revoking" | "fencing" => {
                machine.retry_at = Some(environment.now().plus(retry_delay));
            }
            "recording" => {
                machine.retry_at = Some(environment.now().plus(retry_delay));
                // The log cannot make the answer durable now, so the caller gets it without delay.
                self.finish_before_logged(call, environment);
            }
            _ => {}
        }
        self.abandon_without_callers(call, attempts, environment);
    }

    pub(super) fn on_replayed<W>(
        &mut self,
        call: CallKey,
        record: RecordId,
        attempts: &Attempts,
        environment: &mut W,
    ) where
        W: Environment,
        W::Effect: From<Effect>,
    {
        let state = attempts.get(call);
        if let Some(state) = state {
            let is_open = state.phase == AttemptPhase::Open;
            if !is_open || self.dispatched.get(&call) != Some(&state.number) {
                self.dispatched.remove(&call);
            }
            let is_orphan = is_open
                && state.gateway == self.incarnation
                && !self.calls.contains_key(&call)
                && !self.has_dispatched(call, state.number);
            if is_orphan {
                // An append that this gateway had abandoned took effect late. Nobody dispatches the
                // attempt. Fencing it keeps the call from counting as one that may have run.
                let machine = CallMachine::new(self.chart.clone(), state.content);
                self.calls.insert(call, machine);
            }
        }
        let is_own = |append: PendingAppend| append.record == record;
        if let Some(machine) = self.calls.get_mut(&call)
            && let Some(append) = machine.append.filter(|append| is_own(*append))
        {
            machine.append = None;
            self.appends.remove(&append.token);
        }
        self.apply_log_state(call, attempts, environment);
        self.abandon_without_callers(call, attempts, environment);
    }

    pub(super) fn on_dispatched<W>(
        &mut self,
        attempt: AttemptRef,
        result: DispatchResult,
        attempts: &Attempts,
        environment: &mut W,
    ) where
        W: Environment,
        W::Effect: From<Effect>,
    {
        let incarnation = self.incarnation;
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
                machine.fenced_by = Some(attempt.sidecar);
                "promise"
            }
            // The only dispatch of this attempt reached no process that could run it.
            DispatchResult::NotSent | DispatchResult::OtherIncarnation => {
                machine.fenced_by = Some(incarnation);
                "promise"
            }
            DispatchResult::Lost if abandons => "result",
            DispatchResult::Lost => "lost",
        };
        self.handle_chart_event(attempt.call, event, attempts, environment);
    }

    pub(super) fn on_queried<W>(
        &mut self,
        attempt: AttemptRef,
        state: Option<AttemptState>,
        attempts: &Attempts,
        environment: &mut W,
    ) where
        W: Environment,
        W::Effect: From<Effect>,
    {
        let retry_delay = self.timing.retry_delay;
        let call = attempt.call;
        let Some(machine) = self.calls.get_mut(&call) else {
            return;
        };
        if machine.number != attempt.number || machine.chart.state() != "joining" {
            return;
        }
        let event = match state {
            None => {
                machine.retry_at = Some(environment.now().plus(retry_delay));
                return;
            }
            Some(AttemptState::NotSeen | AttemptState::Running) => {
                machine.fence = true;
                self.perform_state_action(call, attempts, environment);
                return;
            }
            Some(AttemptState::Fenced) => {
                machine.fenced_by = Some(attempt.sidecar);
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
                    // The gateway that may dispatch the attempt can still prove that it did not.
                    self.finish_callers(call, &CallEnd::Failed(Verdict::MayHaveRun), environment);
                    self.calls.remove(&call);
                    return;
                }
            }
        };
        self.handle_chart_event(call, event, attempts, environment);
    }

    pub(super) fn on_wake<W>(
        &mut self,
        call: CallKey,
        now: MonotonicTime,
        attempts: &Attempts,
        environment: &mut W,
    ) where
        W: Environment,
        W::Effect: From<Effect>,
    {
        let Some(machine) = self.calls.get_mut(&call) else {
            return;
        };
        if machine.release_at.is_some_and(|at| at <= now) {
            self.finish_before_logged(call, environment);
        }
        self.finish_expired_callers(call, now, environment);
        self.abandon_without_callers(call, attempts, environment);
        let Some(machine) = self.calls.get_mut(&call) else {
            return;
        };
        if machine.retry_at.is_some_and(|at| at <= now) {
            machine.retry_at = None;
            if matches!(machine.chart.state(), "opening" | "revoking") {
                // The current state of the log decides. If it shows no change, the call chooses
                // again.
                self.apply_log_state(call, attempts, environment);
            } else {
                self.perform_state_action(call, attempts, environment);
            }
        }
    }
}
