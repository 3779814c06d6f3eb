//! Orders to engines and the platform while this process holds the planner lease: intent in the log,
//! send, result in the log. An intent that a former holder left is finished under its identity.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::append::{Appender, Input};
use crate::ids::{Epoch, RecordId};
use crate::lease::LeaseKeeper;
use crate::mutation::{Mutation, Mutations};
use crate::record::{Body, OrderCommand, OrderDone, OrderIntent};
use crate::replica::{Orders, Outstanding, Replica};
use crate::environment::{Append, MonotonicTime, Environment};

/// Time between two sends of an order whose end is not known.
const RESEND_DELAY: Duration = Duration::from_secs(1);

/// Commands that wait for their intent. The planner decides again at its next evaluation.
const MAX_REQUESTED: usize = 256;

/// Effect: sends an order, by the deadline or not at all.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SendOrder {
    /// Identity: a repeat has no further effect.
    pub order: RecordId,
    /// Current authority.
    pub epoch: Epoch,
    /// What is ordered.
    pub command: OrderCommand,
    /// The send is abandoned then.
    pub deadline: MonotonicTime,
}

/// What became of a [`SendOrder`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderAnswer {
    /// It took effect.
    Applied(Box<str>),
    /// It was refused for good and will have no effect.
    Refused(Box<str>),
    /// Nobody knows, or the authority was not current: it is sent again while the lease is held.
    Unknown,
}

/// Drives orders from intent to result.
pub struct OrderDriver {
    send_budget: Duration,
    appender: Appender,
    requested: VecDeque<OrderCommand>,
    sent: BTreeMap<RecordId, SentOrder>,
    epoch: Option<Epoch>,
    is_stopping: bool,
    mutations: Mutations,
}

/// Order sent under the current authority.
struct SentOrder {
    /// End of the send, unless it was answered.
    in_flight_until: MonotonicTime,
    /// Earliest repeat.
    not_before: MonotonicTime,
    /// Known end.
    result: Option<(bool, Box<str>)>,
}

impl OrderDriver {
    /// Driver of one process life.
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

    /// A driver with a deliberate fault, to prove that the tests find it.
    #[doc(hidden)]
    #[must_use]
    pub fn with_mutations(mut self, mutations: Mutations) -> Self {
        self.mutations = mutations;
        self
    }

    /// Asks for an order. It is dropped without the lease, or if one is outstanding for its engine.
    pub fn request(&mut self, command: OrderCommand) {
        if self.requested.len() < MAX_REQUESTED {
            self.requested.push_back(command);
        }
    }

    /// Whether no order is on its way.
    pub fn is_idle(&self, now: MonotonicTime) -> bool {
        self.sent.values().all(|sent| now >= sent.in_flight_until)
    }

    /// A send ended.
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

    /// Handles one event.
    pub fn on_event<W>(
        &mut self,
        environment: &mut W,
        input: Input<'_>,
        replica: &Replica,
        lease: &LeaseKeeper,
    ) where
        W: Environment<Effect: From<Append> + From<SendOrder>>,
    {
        self.appender.follow(environment.now(), input);
        self.is_stopping |= matches!(input, Input::Stop);
        let epoch = lease.may_act(environment.now(), self.send_budget);
        let Some(epoch) = epoch.filter(|_| !self.is_stopping) else {
            self.requested.clear();
            return;
        };
        let orders = replica.orders();
        if self.epoch != Some(epoch) {
            // An answer under a former authority may be overtaken by a repeat of the order.
            self.sent.clear();
            self.epoch = Some(epoch);
        }
        let is_open = |id: &RecordId| orders.outstanding().iter().any(|o| o.order == *id);
        self.sent.retain(|id, _| is_open(id));
        if self.appender.is_free(environment.now()) {
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
            let conflicts = |o: &Outstanding| o.command.conflicts_with(&command);
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
            self.appender.send(environment, vec![Body::OrderIntent(intent)]);
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
            if sent.is_some_and(|s| s.result.is_some() || now < s.not_before || now < s.in_flight_until) {
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
