//! What happens at a moment, in order.

use std::collections::BTreeMap;
use std::rc::Rc;

use nutmegbay_core::attempt::{AppendResult, CallRequest, DispatchResult, TicketId};
use nutmegbay_core::guard::{AttemptRef, AttemptState};
use nutmegbay_core::ids::{CallKey, Incarnation};

use super::Sim;

/// Messages and timers. A message to a process names the life that it was sent to; a connection
/// does not outlive a process.
#[derive(Debug, Clone)]
pub enum Event {
    Begin {
        gateway: usize,
        life: Incarnation,
        req: CallRequest,
    },
    Gone {
        gateway: usize,
        life: Incarnation,
        ticket: TicketId,
    },
    Tick {
        gateway: usize,
        life: Incarnation,
    },
    Choose {
        gateway: usize,
        life: Incarnation,
        call: CallKey,
    },
    Append {
        gateway: usize,
        life: Incarnation,
        token: u64,
        text: Rc<str>,
    },
    Appended {
        gateway: usize,
        life: Incarnation,
        token: u64,
        result: AppendResult,
    },
    ReadArrives {
        gateway: usize,
        life: Incarnation,
        started: u64,
        from: usize,
    },
    ReadExpires {
        gateway: usize,
        life: Incarnation,
        started: u64,
    },
    ReadAnswered {
        gateway: usize,
        life: Incarnation,
        started: u64,
        records: Option<Vec<Rc<str>>>,
    },
    Dispatch {
        gateway: usize,
        life: Incarnation,
        sidecar: usize,
        sidecar_life: Incarnation,
        attempt: AttemptRef,
    },
    Dispatched {
        gateway: usize,
        life: Incarnation,
        attempt: AttemptRef,
        result: DispatchResult,
    },
    Query {
        gateway: usize,
        life: Incarnation,
        sidecar: usize,
        sidecar_life: Incarnation,
        attempt: AttemptRef,
        fence: bool,
        wait: u64,
    },
    QueryExpires {
        sidecar: usize,
        sidecar_life: Incarnation,
        waiter: u64,
    },
    Queried {
        gateway: usize,
        life: Incarnation,
        attempt: AttemptRef,
        state: Option<AttemptState>,
    },
    Execute {
        sidecar: usize,
        sidecar_life: Incarnation,
        attempt: AttemptRef,
        dies: Option<bool>,
    },
    Executed {
        sidecar: usize,
        sidecar_life: Incarnation,
        attempt: AttemptRef,
        run: Option<u64>,
    },
}

#[derive(Default)]
pub struct Queue {
    events: BTreeMap<(u64, u64), Event>,
    next: u64,
}

impl Queue {
    pub fn push(&mut self, at: u64, event: Event) {
        self.events.insert((at, self.next), event);
        self.next += 1;
    }

    /// Takes the next event up to `until`.
    pub fn pop(&mut self, until: u64) -> Option<(u64, Event)> {
        let (&(at, _), _) = self.events.first_key_value()?;
        if at > until {
            return None;
        }
        self.events.pop_first().map(|((at, _), event)| (at, event))
    }
}

impl Event {
    /// Gateway life that handles the event.
    fn gateway(&self) -> Option<(usize, Incarnation)> {
        match self {
            Self::Begin { gateway, life, .. }
            | Self::Gone { gateway, life, .. }
            | Self::Tick { gateway, life }
            | Self::Choose { gateway, life, .. }
            | Self::Appended { gateway, life, .. }
            | Self::ReadAnswered { gateway, life, .. }
            | Self::Dispatched { gateway, life, .. }
            | Self::Queried { gateway, life, .. } => Some((*gateway, *life)),
            _ => None,
        }
    }

    /// Sidecar life that handles the event.
    fn sidecar(&self) -> Option<(usize, Incarnation)> {
        match self {
            Self::Dispatch {
                sidecar,
                sidecar_life,
                ..
            }
            | Self::Query {
                sidecar,
                sidecar_life,
                ..
            }
            | Self::QueryExpires {
                sidecar,
                sidecar_life,
                ..
            }
            | Self::Executed {
                sidecar,
                sidecar_life,
                ..
            } => Some((*sidecar, *sidecar_life)),
            _ => None,
        }
    }
}

impl Sim {
    pub(super) fn handle(&mut self, event: Event) {
        if let Some((gateway, life)) = event.gateway() {
            let target = &self.gateways[gateway];
            if target.life != life {
                return;
            }
            if target.paused_until > self.now {
                let until = target.paused_until;
                self.queue.push(until, event);
                return;
            }
            self.on_gateway(gateway, event);
            return;
        }
        if let Some((sidecar, life)) = event.sidecar() {
            let target = &self.sidecars[sidecar];
            if target.life != life {
                return;
            }
            if target.paused_until > self.now {
                let until = target.paused_until;
                self.queue.push(until, event);
                return;
            }
            self.on_sidecar(sidecar, &event);
            return;
        }
        match event {
            Event::Append {
                gateway,
                life,
                token,
                text,
            } => self.on_append(gateway, life, token, text),
            Event::ReadArrives {
                gateway,
                life,
                started,
                from,
            } => self.on_read(gateway, life, started, from),
            Event::ReadExpires {
                gateway,
                life,
                started,
            } => self.on_read_expired(gateway, life, started),
            Event::Execute {
                sidecar,
                sidecar_life,
                attempt,
                dies,
            } => self.on_execute(sidecar, sidecar_life, attempt, dies),
            _ => {}
        }
    }

    fn on_append(&mut self, gateway: usize, life: Incarnation, token: u64, text: Rc<str>) {
        let result = if self.is_log_up() {
            self.append(text);
            AppendResult::Done
        } else {
            AppendResult::Refused
        };
        if result == AppendResult::Done && self.faults.lose_append_answers > 0 {
            self.faults.lose_append_answers -= 1;
            return;
        }
        let event = Event::Appended {
            gateway,
            life,
            token,
            result,
        };
        let at = self.now + self.latency();
        self.queue.push(at, event);
    }

    fn on_read(&mut self, gateway: usize, life: Incarnation, started: u64, from: usize) {
        if self.is_log_up() && from >= self.log.len() {
            self.readers.push((gateway, life, started, from));
            let event = Event::ReadExpires {
                gateway,
                life,
                started,
            };
            self.queue.push(self.now + super::READ_WAIT_MS, event);
            return;
        }
        self.serve_read(gateway, life, started, from);
    }

    fn on_read_expired(&mut self, gateway: usize, life: Incarnation, started: u64) {
        let is_it = |reader: &(usize, Incarnation, u64, usize)| {
            (reader.0, reader.1, reader.2) == (gateway, life, started)
        };
        let Some(place) = self.readers.iter().position(is_it) else {
            return;
        };
        let (.., from) = self.readers.swap_remove(place);
        self.serve_read(gateway, life, started, from);
    }

    pub(super) fn serve_read(
        &mut self,
        gateway: usize,
        life: Incarnation,
        started: u64,
        from: usize,
    ) {
        let records = self
            .is_log_up()
            .then(|| self.log.get(from..).unwrap_or_default().to_vec());
        let event = Event::ReadAnswered {
            gateway,
            life,
            started,
            records,
        };
        let at = self.now + self.latency();
        self.queue.push(at, event);
    }
}
