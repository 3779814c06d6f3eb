//! Simulates gateways, upstreams and the log in memory, with requests that crash their upstream.
//! Time and all random choices are derived from the seed of the history.

mod gateway;
mod upstream;

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use nutmegbay_core::ids::{Fingerprint, Incarnation, Offset};
use nutmegbay_core::mutation::Mutations;
use nutmegbay_core::quarantine::{AppendResult, TicketId};
use nutmegbay_core::record::CrashReport;
use nutmegbay_core::replica::Replica;

use gateway::Gateway;
use upstream::Upstream;

pub const GATEWAYS: usize = 3;
pub const UPSTREAMS: usize = 4;

/// Request that crashes each upstream that runs it.
pub const POISON: u8 = 0;

/// Maximum number of upstreams that the poison request may crash.
const MAX_CRASHED_UPSTREAMS: usize = 2;

/// Time in milliseconds between two polls of the crash reports of the sidecars by a gateway.
const POLL_MS: u64 = 200;

/// Mean time in milliseconds between two reads of the log.
const READ_MS: u64 = 20;

/// One command of a history.
#[derive(Debug, Clone)]
pub enum Command {
    /// A caller sends a request. The poison request is sent again only after its last error was
    /// returned.
    Send {
        request: u8,
        gateway: usize,
        upstream: usize,
    },
    Run {
        ms: u64,
    },
    /// A gateway is killed and restarted with empty memory.
    KillGateway(usize),
    PauseGateway {
        gateway: usize,
        ms: u64,
    },
    LogOutage {
        ms: u64,
    },
    LoseAppendAnswers(u32),
    /// The next announcements between gateways are lost.
    LoseAnnouncements(u32),
}

#[derive(Debug, Clone)]
enum Event {
    Begin {
        gateway: usize,
        process: Incarnation,
        ticket: TicketId,
    },
    Advance {
        gateway: usize,
        process: Incarnation,
    },
    Read {
        gateway: usize,
        process: Incarnation,
    },
    Poll {
        gateway: usize,
        process: Incarnation,
    },
    Append {
        gateway: usize,
        process: Incarnation,
        token: u64,
        text: Rc<str>,
    },
    Appended {
        gateway: usize,
        process: Incarnation,
        token: u64,
        result: AppendResult,
    },
    Announced {
        gateway: usize,
        process: Incarnation,
        from: usize,
        from_process: Incarnation,
        report: CrashReport,
    },
    Acknowledged {
        gateway: usize,
        process: Incarnation,
        peer: usize,
        crash: Incarnation,
    },
    Crashed {
        gateway: usize,
        process: Incarnation,
        report: CrashReport,
        tickets: Vec<TicketId>,
    },
    Ended {
        gateway: usize,
        process: Incarnation,
        ticket: TicketId,
    },
    RunEnds {
        upstream: usize,
        run: u64,
    },
}

impl Event {
    /// Returns the gateway incarnation that handles the event, if any.
    fn gateway(&self) -> Option<(usize, Incarnation)> {
        match self {
            Self::Begin {
                gateway, process, ..
            }
            | Self::Advance { gateway, process }
            | Self::Read { gateway, process }
            | Self::Poll { gateway, process }
            | Self::Appended {
                gateway, process, ..
            }
            | Self::Announced {
                gateway, process, ..
            }
            | Self::Acknowledged {
                gateway, process, ..
            }
            | Self::Crashed {
                gateway, process, ..
            }
            | Self::Ended {
                gateway, process, ..
            } => Some((*gateway, *process)),
            Self::Append { .. } | Self::RunEnds { .. } => None,
        }
    }
}

pub struct Sim {
    now: u64,
    random: u64,
    mutations: Mutations,
    events: BTreeMap<(u64, u64), Event>,
    next_event: u64,
    log: Vec<Rc<str>>,
    reference_replica: Replica,
    outage_until: u64,
    lose_append_answers: u32,
    lose_announcements: u32,
    gateways: Vec<Gateway>,
    upstreams: Vec<Upstream>,
    next_run: u64,
    tickets: BTreeMap<TicketId, Ticket>,
    crashed_upstreams: usize,
    /// Number of gateway incarnations that ended while their callers waited for the error of a
    /// crash.
    killed_error_holders: usize,
    crashes_by_request: BTreeMap<Fingerprint, BTreeSet<Incarnation>>,
}

#[derive(Debug, Clone, PartialEq)]
enum End {
    Done,
    Failed,
    Refused,
    Killed,
}

struct Ticket {
    fingerprint: Fingerprint,
    gateway: usize,
    upstream: usize,
    end: Option<End>,
}

impl Sim {
    pub fn new(seed: u64, mutations: Mutations) -> Self {
        let mut sim = Self {
            now: 1,
            random: seed,
            mutations,
            events: BTreeMap::new(),
            next_event: 0,
            log: Vec::new(),
            reference_replica: Replica::new().with_mutations(mutations),
            outage_until: 0,
            lose_append_answers: 0,
            lose_announcements: 0,
            gateways: Vec::new(),
            upstreams: (0..UPSTREAMS).map(|_| Upstream::default()).collect(),
            next_run: 0,
            tickets: BTreeMap::new(),
            crashed_upstreams: 0,
            killed_error_holders: 0,
            crashes_by_request: BTreeMap::new(),
        };
        for gateway in 0..GATEWAYS {
            let next = sim.new_gateway();
            sim.gateways.push(next);
            sim.start_gateway(gateway);
        }
        sim
    }

    pub fn apply(&mut self, command: &Command) {
        match *command {
            Command::Send {
                request,
                gateway,
                upstream,
            } => {
                let is_poison_open = self
                    .tickets
                    .values()
                    .any(|t| t.fingerprint.0 == 0 && t.end.is_none());
                if request != POISON || !is_poison_open {
                    self.send(request, gateway, upstream);
                }
            }
            Command::Run { ms } => self.run(ms),
            Command::KillGateway(gateway) => self.kill_gateway(gateway),
            Command::PauseGateway { gateway, ms } => {
                self.gateways[gateway].paused_until = self.now + ms;
            }
            Command::LogOutage { ms } => self.outage_until = self.now + ms,
            Command::LoseAppendAnswers(appends) => self.lose_append_answers = appends,
            Command::LoseAnnouncements(messages) => self.lose_announcements = messages,
        }
    }

    /// Ends all faults, lets every request end and checks that the innocent requests are cleared.
    pub fn finish(&mut self) {
        self.outage_until = 0;
        self.lose_append_answers = 0;
        self.lose_announcements = 0;
        self.gateways.iter_mut().for_each(|g| g.paused_until = 0);
        self.run(20_000);
        let open = self.tickets.iter().find(|(_, t)| t.end.is_none());
        assert!(
            open.is_none(),
            "end: request {:?} waits without end",
            open.map(|(id, _)| id.0)
        );
        for request in 1..4 {
            let crashes = self
                .crashes_by_request
                .get(&Fingerprint(request.into()))
                .map_or(0, BTreeSet::len);
            if crashes < 2 {
                self.check_cleared(request);
            }
        }
    }

    fn check_cleared(&mut self, request: u8) {
        for gateway in 0..GATEWAYS {
            let ticket = self.send(request, gateway, gateway);
            let until = self.now + 5_000;
            while self.tickets[&ticket].end.is_none() && self.now < until {
                self.run(50);
            }
            let end = self.tickets[&ticket].end.clone();
            assert_eq!(
                end,
                Some(End::Done),
                "cleared: innocent request {request} was not served"
            );
        }
        // The record that clears the request is appended after its answer.
        self.run(500);
        let suspect = self
            .reference_replica
            .quarantine()
            .get(Fingerprint(request.into()));
        assert!(
            suspect.is_none(),
            "cleared: request {request} is still suspect: {suspect:?}"
        );
    }

    fn send(&mut self, request: u8, gateway: usize, upstream: usize) -> TicketId {
        let ticket = TicketId(self.tickets.len() as u64 + 1);
        let state = Ticket {
            fingerprint: Fingerprint(request.into()),
            gateway,
            upstream,
            end: None,
        };
        self.tickets.insert(ticket, state);
        let process = self.gateways[gateway].process;
        self.push(
            0,
            Event::Begin {
                gateway,
                process,
                ticket,
            },
        );
        ticket
    }

    /// Ends a request. The caller of the poison request retries it immediately, at a random
    /// gateway.
    fn end(&mut self, ticket: TicketId, end: End) {
        let Some(state) = self.tickets.get_mut(&ticket).filter(|t| t.end.is_none()) else {
            return;
        };
        let is_retried = state.fingerprint.0 == 0 && matches!(end, End::Failed | End::Killed);
        state.end = Some(end);
        if is_retried {
            let gateway = usize::try_from(self.random_below(GATEWAYS as u64)).unwrap();
            let upstream = usize::try_from(self.random_below(UPSTREAMS as u64)).unwrap();
            self.send(POISON, gateway, upstream);
        }
    }

    fn run(&mut self, ms: u64) {
        let until = self.now + ms;
        while let Some((&(at, number), _)) = self.events.first_key_value() {
            if at > until {
                break;
            }
            self.now = self.now.max(at);
            if let Some(event) = self.events.remove(&(at, number)) {
                self.handle(event);
            }
        }
        self.now = until;
    }

    fn handle(&mut self, event: Event) {
        if let Some((gateway, process)) = event.gateway() {
            if self.gateways[gateway].process != process {
                return;
            }
            let paused_until = self.gateways[gateway].paused_until;
            if paused_until > self.now {
                self.push(paused_until - self.now, event);
            } else {
                self.on_gateway(gateway, event);
            }
            return;
        }
        match event {
            Event::Append {
                gateway,
                process,
                token,
                text,
            } => {
                let result = if self.now < self.outage_until {
                    AppendResult::Refused
                } else {
                    self.reference_replica
                        .apply(Offset(self.log.len() as u64), &text);
                    self.log.push(text);
                    AppendResult::Done
                };
                if result == AppendResult::Done && self.lose_append_answers > 0 {
                    self.lose_append_answers -= 1;
                    return;
                }
                self.push(
                    2,
                    Event::Appended {
                        gateway,
                        process,
                        token,
                        result,
                    },
                );
            }
            Event::RunEnds { upstream, run } => self.on_run_end(upstream, run),
            _ => {}
        }
    }

    fn push(&mut self, after: u64, event: Event) {
        self.next_event += 1;
        self.events
            .insert((self.now + after, self.next_event), event);
    }

    /// Returns a random number below `below`, from the splitmix64 generator.
    fn random_below(&mut self, below: u64) -> u64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.random;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (z ^ (z >> 31)) % below
    }

    fn new_incarnation(&mut self) -> Incarnation {
        Incarnation(self.random_below(u64::MAX).into())
    }
}
