//! Orders to engines and the platform while this process holds the planner lease: intent in the log,
//! send, result in the log. An intent that a former holder left is finished under its identity.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::append::{Appender, Input};
use crate::ids::{Epoch, RecordId};
use crate::lease::LeaseKeeper;
use crate::mutation::{Mutation, Mutations};
use crate::record::{Body, OrderCommand, OrderDone, OrderIntent};
use crate::replica::{Orders, OutstandingOrder, Replica};
use crate::world::{Append, Moment, World};

/// Time between two sends of an order whose end is not known.
const RESEND_AFTER: Duration = Duration::from_secs(1);

/// Commands that wait for their intent. The planner decides again at its next evaluation.
const WANTED_MAX: usize = 256;

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
    pub deadline: Moment,
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
    wanted: VecDeque<OrderCommand>,
    sent: BTreeMap<RecordId, Sent>,
    epoch: Option<Epoch>,
    is_stopping: bool,
    mutations: Mutations,
}

/// Order sent under the current authority.
struct Sent {
    /// End of the send, unless it was answered.
    busy_until: Moment,
    /// Earliest repeat.
    not_before: Moment,
    /// Known end.
    end: Option<(bool, Box<str>)>,
}

impl OrderDriver {
    /// Driver of one process life.
    pub fn new(instance: &str, send_budget: Duration) -> Self {
        Self {
            send_budget,
            appender: Appender::new(instance),
            wanted: VecDeque::new(),
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
    pub fn want(&mut self, command: OrderCommand) {
        if self.wanted.len() < WANTED_MAX {
            self.wanted.push_back(command);
        }
    }

    /// Whether no order is on its way.
    pub fn is_idle(&self, now: Moment) -> bool {
        self.sent.values().all(|sent| now >= sent.busy_until)
    }

    /// A send ended.
    pub fn on_answer(&mut self, now: Moment, order: RecordId, answer: OrderAnswer) {
        let Some(sent) = self.sent.get_mut(&order) else {
            return;
        };
        sent.busy_until = now;
        match answer {
            OrderAnswer::Applied(note) => sent.end = Some((true, note)),
            OrderAnswer::Refused(note) => sent.end = Some((false, note)),
            OrderAnswer::Unknown => {}
        }
    }

    /// Handles one event.
    pub fn on_event<W>(
        &mut self,
        world: &mut W,
        input: Input<'_>,
        replica: &Replica,
        lease: &LeaseKeeper,
    ) where
        W: World<Effect: From<Append> + From<SendOrder>>,
    {
        self.appender.on_input(world.now(), input);
        self.is_stopping |= matches!(input, Input::Stop);
        let epoch = lease.may_act(world.now(), self.send_budget);
        let Some(epoch) = epoch.filter(|_| !self.is_stopping) else {
            self.wanted.clear();
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
        if self.appender.can_send(world.now()) {
            self.append(world, orders, epoch);
        }
        self.send(world, orders, lease);
    }

    fn append<W>(&mut self, world: &mut W, orders: &Orders, epoch: Epoch)
    where
        W: World<Effect: From<Append>>,
    {
        let ended = self.sent.iter().find_map(|(order, sent)| {
            let (applied, note) = sent.end.as_ref()?;
            Some(OrderDone {
                order: *order,
                epoch,
                applied: *applied,
                note: note.clone(),
            })
        });
        if let Some(done) = ended {
            self.appender.send(world, vec![Body::OrderDone(done)]);
            return;
        }
        while let Some(command) = self.wanted.pop_front() {
            let conflicts = |o: &OutstandingOrder| o.command.conflicts_with(&command);
            let unchecked = self.mutations.has(Mutation::IntentWithoutCheck);
            if orders.outstanding().iter().any(conflicts) && !unchecked {
                continue;
            }
            let order = RecordId(world.random());
            let intent = OrderIntent {
                order,
                epoch,
                command,
            };
            self.appender.send(world, vec![Body::OrderIntent(intent)]);
            return;
        }
    }

    fn send<W>(&mut self, world: &mut W, orders: &Orders, lease: &LeaseKeeper)
    where
        W: World<Effect: From<SendOrder>>,
    {
        for outstanding in orders.outstanding() {
            let now = world.now();
            let sent = self.sent.get(&outstanding.order);
            if sent.is_some_and(|s| s.end.is_some() || now < s.not_before || now < s.busy_until) {
                continue;
            }
            let Some(epoch) = lease.may_act(now, self.send_budget) else {
                return;
            };
            let deadline = now.plus(self.send_budget);
            let sent = Sent {
                busy_until: deadline,
                not_before: now.plus(RESEND_AFTER),
                end: None,
            };
            self.sent.insert(outstanding.order, sent);
            world.perform(
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
