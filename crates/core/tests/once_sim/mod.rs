//! Simulates gateways, sidecars, services and the log in memory, with injected faults, and checks
//! the predicates that every history must satisfy. Time and all random choices are derived from the
//! seed of the history.

mod event;
mod gateway;
mod oracle;
mod sidecar;

use std::collections::BTreeMap;
use std::rc::Rc;

use nutmegbay_core::attempt::{CallEnd, CallRequest, TicketId};
use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_core::guard::TableLimits;
use nutmegbay_core::ids::{CallKey, Fingerprint, Incarnation, Offset};
use nutmegbay_core::mutation::{Mutation, Mutations};
use nutmegbay_core::replica::Replica;
use nutmegbay_core::verdict::Verdict;

use event::{Event, Queue};
use gateway::Gateway;
use oracle::Oracle;
use sidecar::Sidecar;

pub const GATEWAYS: usize = 3;
pub const SIDECARS: usize = 3;

/// Time in milliseconds after which an append counts as lost. It may still take effect later.
const APPEND_TIMEOUT_MS: u64 = 300;

/// Maximum wait of a read at the head of the log, in milliseconds.
const READ_WAIT_MS: u64 = 300;

/// Time in milliseconds for the answer of a sidecar, in addition to the requested wait.
const RPC_TIMEOUT_MS: u64 = 500;

/// Deadline in milliseconds of a retry after the faults have ended.
const FINAL_DEADLINE_MS: u64 = 10_000;

/// Maximum number of retries of each call after the faults have ended.
const FINAL_RETRIES: usize = 6;

/// Initial state of a history.
#[derive(Debug, Clone, Copy)]
pub struct InitialState {
    pub seed: u64,
    /// Whether the tables of the sidecars hold only a few attempts.
    pub small_tables: bool,
}

/// One command of a history.
#[derive(Debug, Clone)]
pub enum Command {
    /// A caller sends a call, or a retry of it, to a gateway.
    Call {
        call: u8,
        gateway: usize,
        deadline_ms: u64,
    },
    /// The latest caller leaves.
    Leave,
    /// Simulated time passes.
    Run {
        ms: u64,
    },
    /// A gateway is killed and restarted with empty memory.
    KillGateway(usize),
    /// A sidecar is killed and restarted with empty memory.
    KillSidecar(usize),
    PauseGateway {
        gateway: usize,
        ms: u64,
    },
    PauseSidecar {
        sidecar: usize,
        ms: u64,
    },
    /// The log refuses all reads and appends.
    LogOutage {
        ms: u64,
    },
    /// The answers of the next appends are lost; the appends take effect.
    LoseAppendAnswers(u32),
    /// The next messages between gateways and sidecars are lost.
    LoseMessages(u32),
    /// The next messages between gateways, sidecars and the log arrive twice.
    DuplicateMessages(u32),
    /// The next messages of any kind take up to `ms` milliseconds.
    DelayMessages {
        messages: u32,
        ms: u64,
    },
    /// The service next to a sidecar dies in its next call, after executing it if `after` is set.
    ServiceDies {
        sidecar: usize,
        after: bool,
    },
    /// A sidecar refuses new attempts.
    Drain(usize),
}

pub struct Sim {
    now: u64,
    random: u64,
    mutations: Mutations,
    limits: TableLimits,
    queue: Queue,
    log: Vec<Rc<str>>,
    /// Replica that is always up to date, for the checks.
    reference_replica: Replica,
    outage_until: u64,
    readers: Vec<(usize, Incarnation, u64, usize)>,
    gateways: Vec<Gateway>,
    sidecars: Vec<Sidecar>,
    /// Low-water marks of the tables of ended sidecar incarnations.
    ended_tables: Vec<(Incarnation, Offset)>,
    faults: Faults,
    tickets: BTreeMap<TicketId, Ticket>,
    oracle: Oracle,
}

#[derive(Default)]
struct Faults {
    lose_append_answers: u32,
    lose_messages: u32,
    duplicate_messages: u32,
    delay_messages: u32,
    delay_ms: u64,
}

#[derive(Debug, Clone)]
pub struct Ticket {
    call: CallKey,
    gateway: usize,
    started_at: u64,
    /// When and how it ended. `None` as the end if its gateway was killed or its caller has left.
    ended: Option<(u64, Option<CallEnd>)>,
}

impl Sim {
    pub fn new(start: InitialState, mutations: Mutations) -> Self {
        let limits = if start.small_tables {
            TableLimits {
                attempts: 2,
                answer_bytes: 1 << 20,
            }
        } else {
            TableLimits::default()
        };
        let mut sim = Self {
            now: 1,
            random: start.seed,
            mutations,
            limits,
            queue: Queue::default(),
            log: Vec::new(),
            reference_replica: Replica::new().with_mutations(mutations),
            outage_until: 0,
            readers: Vec::new(),
            gateways: Vec::new(),
            sidecars: Vec::new(),
            ended_tables: Vec::new(),
            faults: Faults::default(),
            tickets: BTreeMap::new(),
            oracle: Oracle::default(),
        };
        for _ in 0..SIDECARS {
            let sidecar = sim.new_sidecar();
            sim.sidecars.push(sidecar);
        }
        for index in 0..GATEWAYS {
            let gateway = sim.new_gateway();
            sim.gateways.push(gateway);
            sim.read(index);
        }
        sim
    }

    pub fn apply(&mut self, command: &Command) {
        match *command {
            Command::Call {
                call,
                gateway,
                deadline_ms,
            } => {
                let call = CallKey(call.into());
                self.call(call, gateway, deadline_ms);
            }
            Command::Leave => self.leave(),
            Command::Run { ms } => self.run(ms),
            Command::KillGateway(gateway) => self.kill_gateway(gateway),
            Command::KillSidecar(sidecar) => self.kill_sidecar(sidecar),
            Command::PauseGateway { gateway, ms } => {
                let until = self.now + ms;
                self.gateways[gateway].paused_until = until;
            }
            Command::PauseSidecar { sidecar, ms } => {
                let until = self.now + ms;
                self.sidecars[sidecar].paused_until = until;
            }
            Command::LogOutage { ms } => self.outage_until = self.now + ms,
            Command::LoseAppendAnswers(appends) => self.faults.lose_append_answers = appends,
            Command::LoseMessages(messages) => self.faults.lose_messages = messages,
            Command::DuplicateMessages(messages) => self.faults.duplicate_messages = messages,
            Command::DelayMessages { messages, ms } => {
                self.faults.delay_messages = messages;
                self.faults.delay_ms = ms;
            }
            Command::ServiceDies { sidecar, after } => {
                self.sidecars[sidecar].service_dies = Some(after);
            }
            Command::Drain(sidecar) => self.sidecars[sidecar].draining = true,
        }
    }

    /// Ends all faults and lets each caller retry its call until it has an answer.
    pub fn finish(&mut self) {
        self.outage_until = 0;
        self.faults = Faults::default();
        for sidecar in &mut self.sidecars {
            sidecar.paused_until = 0;
            sidecar.draining = false;
            sidecar.service_dies = None;
        }
        for gateway in &mut self.gateways {
            gateway.paused_until = 0;
        }
        self.run(5_000);
        self.check_deadlines();
        for call in self.oracle.calls() {
            self.retry_until_answered(call);
        }
    }

    fn retry_until_answered(&mut self, call: CallKey) {
        let mut last = None;
        for retry in 0..FINAL_RETRIES {
            let ticket = self.call(call, retry % GATEWAYS, FINAL_DEADLINE_MS);
            while self.tickets[&ticket].ended.is_none() {
                self.run(50);
            }
            last = self.tickets[&ticket].ended.clone().and_then(|(_, end)| end);
            if matches!(last, Some(CallEnd::Answered(_))) {
                return;
            }
        }
        assert!(
            self.may_be_lost(call),
            "lost: call {call} ends with {last:?} although its sidecar incarnation is still running"
        );
    }

    /// Returns whether no process can know the end of the call: its service died during the call,
    /// its sidecar has evicted it, or its sidecar incarnation has ended and either the attempt was
    /// sent and not answered, or the gateway that could prove that it was not sent has ended too.
    fn may_be_lost(&self, call: CallKey) -> bool {
        let Some(state) = self.reference_replica.attempts().get(call) else {
            return false;
        };
        let is_over = self.sidecars.iter().all(|s| s.incarnation != state.sidecar);
        let was_sent = self.oracle.is_unanswered(call, state.number);
        let has_dispatcher = self.gateways.iter().any(|g| g.incarnation == state.gateway);
        let low_water = self
            .sidecars
            .iter()
            .map(|s| (s.incarnation, s.attempts.low_water()))
            .chain(self.ended_tables.iter().copied())
            .find(|(incarnation, _)| *incarnation == state.sidecar);
        let is_forgotten = low_water.is_some_and(|(_, low_water)| state.opened < low_water);
        self.oracle.service_died(call) || is_forgotten || (is_over && (was_sent || !has_dispatcher))
    }

    fn call(&mut self, call: CallKey, gateway: usize, deadline_ms: u64) -> TicketId {
        let ticket = TicketId(self.tickets.len() as u64 + 1);
        self.tickets.insert(
            ticket,
            Ticket {
                call,
                gateway,
                started_at: self.now,
                ended: None,
            },
        );
        self.oracle.begin(call);
        let req = CallRequest {
            ticket,
            call,
            content: Fingerprint(call.0),
            deadline: MonotonicTime(std::time::Duration::from_millis(self.now + deadline_ms)),
        };
        let incarnation = self.gateways[gateway].incarnation;
        self.queue.push(
            self.now,
            Event::Begin {
                gateway,
                incarnation,
                req,
            },
        );
        ticket
    }

    fn leave(&mut self) {
        let last = self.tickets.iter().rev().find(|(_, t)| t.ended.is_none());
        let Some((ticket, gateway)) = last.map(|(id, t)| (*id, t.gateway)) else {
            return;
        };
        let incarnation = self.gateways[gateway].incarnation;
        let event = Event::CallerLeft {
            gateway,
            incarnation,
            ticket,
        };
        self.queue.push(self.now, event);
    }

    /// Lets simulated time pass.
    pub fn run(&mut self, ms: u64) {
        let until = self.now + ms;
        while let Some((at, event)) = self.queue.pop(until) {
            self.now = self.now.max(at);
            self.handle(event);
        }
        self.now = until;
    }

    /// Returns a random number below `below`.
    fn random_below(&mut self, below: u64) -> u64 {
        self.random_bits() % below
    }

    /// Returns the next number of the splitmix64 generator.
    fn random_bits(&mut self) -> u64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.random;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    fn new_incarnation(&mut self) -> Incarnation {
        Incarnation(self.random_bits().into())
    }

    /// Returns the latency of the next message in milliseconds.
    fn latency(&mut self) -> u64 {
        if self.faults.delay_messages > 0 {
            self.faults.delay_messages -= 1;
            let max = self.faults.delay_ms;
            return 1 + self.random_below(max);
        }
        1 + self.random_below(4)
    }

    /// Sends a message, which may be lost or arrive twice.
    fn send(&mut self, event: Event) {
        if self.faults.lose_messages > 0 {
            self.faults.lose_messages -= 1;
            return;
        }
        self.send_lossless(event);
    }

    fn send_lossless(&mut self, event: Event) {
        if self.faults.duplicate_messages > 0 {
            self.faults.duplicate_messages -= 1;
            let at = self.now + self.latency() + self.random_below(500);
            self.queue.push(at, event.clone());
        }
        let at = self.now + self.latency();
        self.queue.push(at, event);
    }

    fn is_log_up(&self) -> bool {
        self.now >= self.outage_until
    }

    /// Appends a record to the log and answers the waiting reads.
    fn append(&mut self, text: Rc<str>) {
        let offset = Offset(self.log.len() as u64);
        self.reference_replica.apply(offset, &text);
        self.log.push(text);
        for (gateway, incarnation, started, from) in std::mem::take(&mut self.readers) {
            self.serve_read(gateway, incarnation, started, from);
        }
    }

    /// Ends a request and checks the result that its caller got.
    fn end(&mut self, ticket: TicketId, end: Option<CallEnd>) {
        let now = self.now;
        let Some(state) = self.tickets.get_mut(&ticket) else {
            return;
        };
        if state.ended.is_some() {
            return;
        }
        state.ended = Some((now, end.clone()));
        let state = state.clone();
        match end {
            Some(CallEnd::Answered(answer)) => self.oracle.answered(state.call, &answer),
            Some(CallEnd::Failed(Verdict::NotRun)) => {
                if !self.overlaps(&state, ticket) {
                    self.oracle.not_run(state.call, now);
                }
            }
            Some(CallEnd::Failed(_)) | None => {}
            Some(CallEnd::KeyReused) => {
                panic!("a retry with the same content was refused as a reused key")
            }
        }
    }

    /// Returns whether another request for the same call overlapped with this one. The effect of
    /// that request is reported to its own caller.
    fn overlaps(&self, ticket: &Ticket, id: TicketId) -> bool {
        self.tickets.iter().any(|(other_id, other)| {
            *other_id != id
                && other.call == ticket.call
                && other
                    .ended
                    .as_ref()
                    .is_none_or(|(at, _)| *at > ticket.started_at)
        })
    }

    fn check_deadlines(&self) {
        for (id, ticket) in &self.tickets {
            assert!(
                ticket.ended.is_some(),
                "deadline: request {} is still open long after its deadline",
                id.0
            );
        }
    }
}

/// Returns the set that contains this fault only.
pub fn only(mutation: Option<Mutation>) -> Mutations {
    mutation.map_or_else(Mutations::default, Mutations::only)
}
