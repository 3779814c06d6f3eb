//! Simulated sidecars with their attempt tables, and the services next to them.

use std::collections::BTreeMap;

use nutmegbay_core::attempt::DispatchResult;
use nutmegbay_core::guard::{Admission, AttemptRef, AttemptState, AttemptTable};
use nutmegbay_core::ids::Incarnation;
use nutmegbay_core::record::Answer;

use super::Sim;
use super::event::Event;

pub struct Sidecar {
    pub incarnation: Incarnation,
    pub paused_until: u64,
    pub draining: bool,
    pub service_dies: Option<bool>,
    pub attempts: AttemptTable,
    waiters: BTreeMap<u64, Waiter>,
    next_waiter: u64,
}

/// Gateway that waits for the end of an attempt.
#[derive(Clone, Copy)]
struct Waiter {
    gateway: usize,
    incarnation: Incarnation,
    attempt: AttemptRef,
    is_dispatch: bool,
}

fn answer(run: u64) -> Answer {
    Answer {
        status: 201,
        content_type: None,
        body: Some(format!("run {run}").into()),
    }
}

impl Sim {
    pub(super) fn new_sidecar(&mut self) -> Sidecar {
        let incarnation = self.new_incarnation();
        Sidecar {
            incarnation,
            paused_until: 0,
            draining: false,
            service_dies: None,
            attempts: AttemptTable::new(incarnation, self.limits).with_mutations(self.mutations),
            waiters: BTreeMap::new(),
            next_waiter: 0,
        }
    }

    pub(super) fn kill_sidecar(&mut self, sidecar: usize) {
        let next = self.new_sidecar();
        let ended = std::mem::replace(&mut self.sidecars[sidecar], next);
        let table = (ended.incarnation, ended.attempts.low_water());
        self.ended_tables.push(table);
    }

    pub(super) fn on_sidecar(&mut self, sidecar: usize, event: &Event) {
        match event.clone() {
            Event::Dispatch {
                gateway,
                incarnation,
                attempt,
                ..
            } => {
                let waiter = Waiter {
                    gateway,
                    incarnation,
                    attempt,
                    is_dispatch: true,
                };
                self.on_dispatch(sidecar, waiter);
            }
            Event::Query {
                gateway,
                incarnation,
                attempt,
                fence,
                wait,
                ..
            } => {
                let attempts = &mut self.sidecars[sidecar].attempts;
                let state = if fence {
                    attempts.fence(attempt)
                } else {
                    attempts.state(attempt)
                };
                let waiter = Waiter {
                    gateway,
                    incarnation,
                    attempt,
                    is_dispatch: false,
                };
                if matches!(state, AttemptState::Running | AttemptState::NotSeen) {
                    let number = self.add_waiter(sidecar, waiter);
                    let event = Event::QueryExpires {
                        sidecar,
                        sidecar_incarnation: self.sidecars[sidecar].incarnation,
                        waiter: number,
                    };
                    self.queue.push(self.now + wait, event);
                } else {
                    self.reply(waiter, state);
                }
            }
            Event::QueryExpires { waiter, .. } => {
                if let Some(waiter) = self.sidecars[sidecar].waiters.remove(&waiter) {
                    let state = self.sidecars[sidecar].attempts.state(waiter.attempt);
                    self.reply(waiter, state);
                }
            }
            Event::Executed { attempt, run, .. } => {
                let state = run.map_or(AttemptState::Unknown, |run| {
                    AttemptState::Answered(answer(run))
                });
                self.sidecars[sidecar].attempts.finish(attempt, state);
                self.answer_waiters(sidecar, attempt);
            }
            _ => {}
        }
    }

    fn on_dispatch(&mut self, sidecar: usize, waiter: Waiter) {
        let attempt = waiter.attempt;
        let target = &mut self.sidecars[sidecar];
        let admission = if target.draining {
            Admission::Known(target.attempts.refuse(attempt))
        } else {
            target.attempts.admit(attempt)
        };
        match admission {
            Admission::Run => {
                let dies = target.service_dies.take();
                let sidecar_incarnation = target.incarnation;
                self.add_waiter(sidecar, waiter);
                let event = Event::Execute {
                    sidecar,
                    sidecar_incarnation,
                    attempt,
                    dies,
                };
                let at = self.now + 1 + self.random_below(20);
                self.queue.push(at, event);
            }
            Admission::Known(AttemptState::Running) => drop(self.add_waiter(sidecar, waiter)),
            Admission::Known(state) => {
                self.reply(waiter, state);
                self.answer_waiters(sidecar, attempt);
            }
        }
    }

    /// The service executes a call, even if the sidecar that sent it has ended in the meantime.
    pub(super) fn on_execute(
        &mut self,
        sidecar: usize,
        sidecar_incarnation: Incarnation,
        attempt: AttemptRef,
        dies: Option<bool>,
    ) {
        let run = (dies != Some(false)).then(|| self.execute(attempt));
        if dies.is_some() {
            self.oracle.service_dies(attempt.call);
        }
        let event = Event::Executed {
            sidecar,
            sidecar_incarnation,
            attempt,
            run: run.filter(|_| dies.is_none()),
        };
        // Some calls are slow, so that faults occur while they run.
        let time = if self.random_below(4) == 0 { 800 } else { 20 };
        let at = self.now + 1 + self.random_below(time);
        self.queue.push(at, event);
    }

    fn execute(&mut self, attempt: AttemptRef) -> u64 {
        let requests = self.tickets.values().filter(|t| t.call == attempt.call);
        let last_started = requests.map(|t| t.started_at).max().unwrap_or_default();
        self.oracle.run(attempt.call, last_started)
    }

    fn add_waiter(&mut self, sidecar: usize, waiter: Waiter) -> u64 {
        let target = &mut self.sidecars[sidecar];
        target.next_waiter += 1;
        target.waiters.insert(target.next_waiter, waiter);
        target.next_waiter
    }

    /// Answers all waiters of an attempt that has ended.
    fn answer_waiters(&mut self, sidecar: usize, attempt: AttemptRef) {
        let target = &mut self.sidecars[sidecar];
        let state = target.attempts.state(attempt);
        if state == AttemptState::Running {
            return;
        }
        let (ended, waiters) = std::mem::take(&mut target.waiters)
            .into_iter()
            .partition(|(_, waiter)| waiter.attempt == attempt);
        target.waiters = waiters;
        let ended: BTreeMap<u64, Waiter> = ended;
        for waiter in ended.into_values() {
            self.reply(waiter, state.clone());
        }
    }

    fn reply(&mut self, waiter: Waiter, state: AttemptState) {
        let Waiter {
            gateway,
            incarnation,
            attempt,
            is_dispatch,
        } = waiter;
        if !is_dispatch {
            let state = Some(state);
            self.send(Event::Queried {
                gateway,
                incarnation,
                attempt,
                state,
            });
            return;
        }
        let result = match state {
            AttemptState::Answered(answer) => DispatchResult::Answered(answer),
            AttemptState::Fenced => DispatchResult::Fenced,
            AttemptState::OtherIncarnation => DispatchResult::OtherIncarnation,
            AttemptState::Unknown => DispatchResult::Unknown,
            AttemptState::Running | AttemptState::NotSeen => DispatchResult::Lost,
        };
        self.send(Event::Dispatched {
            gateway,
            incarnation,
            attempt,
            result,
        });
    }
}
