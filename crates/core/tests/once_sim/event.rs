//! Events of the simulation, in the order of their time.

use std::collections::BTreeMap;
use std::rc::Rc;

use nutmegbay_core::attempt::{AppendResult, CallRequest, DispatchResult, TicketId};
use nutmegbay_core::guard::{AttemptRef, AttemptState};
use nutmegbay_core::ids::{CallKey, Incarnation};

use super::Sim;

/// Messages and timers. A message to a process names the incarnation that it was sent to, because a
/// connection ends with its process.
#[derive(Debug, Clone)]
pub enum Event {
    Begin {
        gateway: usize,
        incarnation: Incarnation,
        req: CallRequest,
    },
    CallerLeft {
        gateway: usize,
        incarnation: Incarnation,
        ticket: TicketId,
    },
    Tick {
        gateway: usize,
        incarnation: Incarnation,
    },
    Choose {
        gateway: usize,
        incarnation: Incarnation,
        call: CallKey,
    },
    Append {
        gateway: usize,
        incarnation: Incarnation,
        token: u64,
        text: Rc<str>,
    },
    Appended {
        gateway: usize,
        incarnation: Incarnation,
        token: u64,
        result: AppendResult,
    },
    ReadArrives {
        gateway: usize,
        incarnation: Incarnation,
        started: u64,
        from: usize,
    },
    ReadExpires {
        gateway: usize,
        incarnation: Incarnation,
        started: u64,
    },
    ReadAnswered {
        gateway: usize,
        incarnation: Incarnation,
        started: u64,
        records: Option<Vec<Rc<str>>>,
    },
    Dispatch {
        gateway: usize,
        incarnation: Incarnation,
        sidecar: usize,
        sidecar_incarnation: Incarnation,
        attempt: AttemptRef,
    },
    Dispatched {
        gateway: usize,
        incarnation: Incarnation,
        attempt: AttemptRef,
        result: DispatchResult,
    },
    Query {
        gateway: usize,
        incarnation: Incarnation,
        sidecar: usize,
        sidecar_incarnation: Incarnation,
        attempt: AttemptRef,
        fence: bool,
        wait: u64,
    },
    QueryExpires {
        sidecar: usize,
        sidecar_incarnation: Incarnation,
        waiter: u64,
    },
    Queried {
        gateway: usize,
        incarnation: Incarnation,
        attempt: AttemptRef,
        state: Option<AttemptState>,
    },
    Execute {
        sidecar: usize,
        sidecar_incarnation: Incarnation,
        attempt: AttemptRef,
        dies: Option<bool>,
    },
    Executed {
        sidecar: usize,
        sidecar_incarnation: Incarnation,
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

    /// Removes and returns the next event up to `until`.
    pub fn pop(&mut self, until: u64) -> Option<(u64, Event)> {
        let (&(at, _), _) = self.events.first_key_value()?;
        if at > until {
            return None;
        }
        self.events.pop_first().map(|((at, _), event)| (at, event))
    }
}

impl Event {
    /// Returns the gateway incarnation that handles the event, if any.
    fn gateway(&self) -> Option<(usize, Incarnation)> {
        match self {
            Self::Begin {
                gateway,
                incarnation,
                ..
            }
            | Self::CallerLeft {
                gateway,
                incarnation,
                ..
            }
            | Self::Tick {
                gateway,
                incarnation,
            }
            | Self::Choose {
                gateway,
                incarnation,
                ..
            }
            | Self::Appended {
                gateway,
                incarnation,
                ..
            }
            | Self::ReadAnswered {
                gateway,
                incarnation,
                ..
            }
            | Self::Dispatched {
                gateway,
                incarnation,
                ..
            }
            | Self::Queried {
                gateway,
                incarnation,
                ..
            } => Some((*gateway, *incarnation)),
            _ => None,
        }
    }

    /// Returns the sidecar incarnation that handles the event, if any.
    fn sidecar(&self) -> Option<(usize, Incarnation)> {
        match self {
            Self::Dispatch {
                sidecar,
                sidecar_incarnation,
                ..
            }
            | Self::Query {
                sidecar,
                sidecar_incarnation,
                ..
            }
            | Self::QueryExpires {
                sidecar,
                sidecar_incarnation,
                ..
            }
            | Self::Executed {
                sidecar,
                sidecar_incarnation,
                ..
            } => Some((*sidecar, *sidecar_incarnation)),
            _ => None,
        }
    }
}

impl Sim {
    pub(super) fn handle(&mut self, event: Event) {
        if let Some((gateway, incarnation)) = event.gateway() {
            let target = &self.gateways[gateway];
            if target.incarnation != incarnation {
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
        if let Some((sidecar, incarnation)) = event.sidecar() {
            let target = &self.sidecars[sidecar];
            if target.incarnation != incarnation {
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
                incarnation,
                token,
                text,
            } => self.on_append(gateway, incarnation, token, text),
            Event::ReadArrives {
                gateway,
                incarnation,
                started,
                from,
            } => self.on_read(gateway, incarnation, started, from),
            Event::ReadExpires {
                gateway,
                incarnation,
                started,
            } => self.on_read_expired(gateway, incarnation, started),
            Event::Execute {
                sidecar,
                sidecar_incarnation,
                attempt,
                dies,
            } => self.on_execute(sidecar, sidecar_incarnation, attempt, dies),
            _ => {}
        }
    }

    fn on_append(&mut self, gateway: usize, incarnation: Incarnation, token: u64, text: Rc<str>) {
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
            incarnation,
            token,
            result,
        };
        let at = self.now + self.latency();
        self.queue.push(at, event);
    }

    fn on_read(&mut self, gateway: usize, incarnation: Incarnation, started: u64, from: usize) {
        if self.is_log_up() && from >= self.log.len() {
            self.readers.push((gateway, incarnation, started, from));
            let event = Event::ReadExpires {
                gateway,
                incarnation,
                started,
            };
            self.queue.push(self.now + super::READ_WAIT_MS, event);
            return;
        }
        self.serve_read(gateway, incarnation, started, from);
    }

    fn on_read_expired(&mut self, gateway: usize, incarnation: Incarnation, started: u64) {
        let is_same_read = |reader: &(usize, Incarnation, u64, usize)| {
            (reader.0, reader.1, reader.2) == (gateway, incarnation, started)
        };
        let Some(index) = self.readers.iter().position(is_same_read) else {
            return;
        };
        let (.., from) = self.readers.swap_remove(index);
        self.serve_read(gateway, incarnation, started, from);
    }

    pub(super) fn serve_read(
        &mut self,
        gateway: usize,
        incarnation: Incarnation,
        started: u64,
        from: usize,
    ) {
        let records = self
            .is_log_up()
            .then(|| self.log.get(from..).unwrap_or_default().to_vec());
        let event = Event::ReadAnswered {
            gateway,
            incarnation,
            started,
            records,
        };
        let at = self.now + self.latency();
        self.queue.push(at, event);
    }
}
