//! Orders to engines and to the platform while this process holds the planner lease. The intent is
//! written to the log, then the order is sent, then its result is written to the log. An intent
//! that a former holder left is completed under its original identity.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::append::{Appender, Input};
use crate::environment::{Append, Environment, MonotonicTime};
use crate::ids::{Epoch, RecordId};
use crate::lease::LeaseKeeper;
use crate::mutation::{Mutation, Mutations};
use crate::record::{Body, OrderCommand, OrderDone, OrderIntent};
use crate::replica::{Orders, OutstandingOrder, Replica};

/// Time between two sends of an order whose result is unknown.
const RESEND_DELAY: Duration = Duration::from_secs(1);

/// Maximum number of commands that wait for their intent. More are dropped; the planner decides
/// again at its next evaluation.
const MAX_REQUESTED: usize = 256;

/// Effect that sends an order, unless `deadline` has passed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SendOrder {
    /// Identity of the order. A repeat of it has no further effect.
    pub order: RecordId,
    /// Fencing number of the current planner lease.
    pub epoch: Epoch,
    /// Command to execute.
    pub command: OrderCommand,
    /// Time at which the send is abandoned.
    pub deadline: MonotonicTime,
}

/// Result of a [`SendOrder`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The order took effect. The text is the note for the log.
    Applied(Box<str>),
    /// The order was refused permanently and will have no effect. The text is the note for the log.
    Refused(Box<str>),
    /// The result is unknown, or the fencing number was not current. The order is sent again while
    /// the lease is held.
    Unknown,
}

/// Takes orders from intent to result.
pub struct OrderDriver {
    send_budget: Duration,
    appender: Appender,
    requested: VecDeque<OrderCommand>,
    sent: BTreeMap<RecordId, SentOrder>,
    epoch: Option<Epoch>,
    is_stopping: bool,
    mutations: Mutations,
}

/// Order that was sent under the current fencing number.
struct SentOrder {
    /// Time until which the send is in flight, unless it is answered before.
    in_flight_until: MonotonicTime,
    /// Earliest time of a repeat.
    not_before: MonotonicTime,
    /// Whether the order was applied, and its note, once known.
    result: Option<(bool, Box<str>)>,
}

impl OrderDriver {
    /// Creates the driver of one process incarnation.
    pub fn new(instance: &str, send_budget: Duration) -> Self {
        Self {
            send_budget,
            appender: Appender::new(instance),
            requested: VecDeque::new(),
            sent: BTreeMap::new(),
            epoch: None,
            is_stopping: false,
            mutations: Mutations::default(),
        }
    }

    /// Adds a deliberate fault, which the tests must detect.
    #[doc(hidden)]
    #[must_use]
    pub fn with_mutations(mut self, mutations: Mutations) -> Self {
        self.mutations = mutations;
        self
    }

    /// Requests an order. The request is dropped without the planner lease, or if an order for the
    /// same engine is outstanding.
    pub fn request(&mut self, command: OrderCommand) {
        if self.requested.len() < MAX_REQUESTED {
            self.requested.push_back(command);
        }
    }

    /// Returns whether no order is in flight.
    pub fn is_idle(&self, now: MonotonicTime) -> bool {
        self.sent.values().all(|sent| now >= sent.in_flight_until)
    }

    /// Handles the result of a send.
    pub fn on_answer(&mut self, now: MonotonicTime, order: RecordId, answer: OrderAnswer) {
        let Some(sent) = self.sent.get_mut(&order) else {
            return;
        };
        sent.in_flight_until = now;
        match answer {
            OrderAnswer::Applied(note) => sent.result = Some((true, note)),
            OrderAnswer::Refused(note) => sent.result = Some((false, note)),
            OrderAnswer::Unknown => {}
        }
    }

    /// Handles one event: completes, announces and sends orders as far as the lease allows.
    pub fn on_event<W>(
        &mut self,
        environment: &mut W,
        input: Input<'_>,
        replica: &Replica,
        lease: &LeaseKeeper,
    ) where
        W: Environment<Effect: From<Append> + From<SendOrder>>,
    {
        self.appender.on_input(environment.now(), input);
        self.is_stopping |= matches!(input, Input::Stop);
        let epoch = lease.may_act(environment.now(), self.send_budget);
        let Some(epoch) = epoch.filter(|_| !self.is_stopping) else {
            self.requested.clear();
            return;
        };
        let orders = replica.orders();
        if self.epoch != Some(epoch) {
            // A repeat of the order may have overtaken an answer under a former fencing number.
            self.sent.clear();
            self.epoch = Some(epoch);
        }
        let is_open = |id: &RecordId| orders.outstanding().iter().any(|o| o.order == *id);
        self.sent.retain(|id, _| is_open(id));
        if self.appender.can_send(environment.now()) {
            self.append(environment, orders, epoch);
        }
        self.send(environment, orders, lease);
    }

    fn append<W>(&mut self, environment: &mut W, orders: &Orders, epoch: Epoch)
    where
        W: Environment<Effect: From<Append>>,
    {
        let ended = self.sent.iter().find_map(|(order, sent)| {
            let (applied, note) = sent.result.as_ref()?;
            Some(OrderDone {
                order: *order,
                epoch,
                applied: *applied,
                note: note.clone(),
            })
        });
        if let Some(done) = ended {
            self.appender.send(environment, vec![Body::OrderDone(done)]);
            return;
        }
        while let Some(command) = self.requested.pop_front() {
            let conflicts = |o: &OutstandingOrder| o.command.conflicts_with(&command);
            let unchecked = self.mutations.has(Mutation::IntentWithoutCheck);
            if orders.outstanding().iter().any(conflicts) && !unchecked {
                continue;
            }
            let order = RecordId(environment.random());
            let intent = OrderIntent {
                order,
                epoch,
                command,
            };
            self.appender
                .send(environment, vec![Body::OrderIntent(intent)]);
            return;
        }
    }

    fn send<W>(&mut self, environment: &mut W, orders: &Orders, lease: &LeaseKeeper)
    where
        W: Environment<Effect: From<SendOrder>>,
    {
        for outstanding in orders.outstanding() {
            let now = environment.now();
            let sent = self.sent.get(&outstanding.order);
            if sent.is_some_and(|s| {
                s.result.is_some() || now < s.not_before || now < s.in_flight_until
            }) {
                continue;
            }
            let Some(epoch) = lease.may_act(now, self.send_budget) else {
                return;
            };
            let deadline = now.plus(self.send_budget);
            let sent = SentOrder {
                in_flight_until: deadline,
                not_before: now.plus(RESEND_DELAY),
                result: None,
            };
            self.sent.insert(outstanding.order, sent);
            environment.perform(
                SendOrder {
                    order: outstanding.order,
                    epoch,
                    command: outstanding.command.clone(),
                    deadline,
                }
                .into(),
            );
        }
    }
}
