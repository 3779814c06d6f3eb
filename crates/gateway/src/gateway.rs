//! What all requests of a gateway share.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError, Weak};

use nutmegbay_core::attempt::TicketId;
use nutmegbay_core::ids::{Fingerprint, Incarnation, RequestId};
use nutmegbay_proto::problem::Problem;
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{Notify, mpsc, oneshot, watch};

use crate::admit::Admission;
use crate::data::client::UpstreamClient;
use crate::data::shared_run::{SharedRun, SubscriberId};
use crate::metrics::Metrics;
use crate::settings::GatewaySettings;
use crate::state::parties::Clients;
use crate::state::revoke::OpenKeys;
use crate::state::tally::Tally;
use crate::state::view::{Gate, View};
use crate::state::world::Clock;
use crate::state::{Input, Parts};

/// Shared state of one gateway.
pub struct Gateway {
    /// Process settings.
    pub settings: GatewaySettings,
    /// Life of this process.
    pub incarnation: Incarnation,
    /// Clocks.
    pub clock: Clock,
    /// Client towards sidecars.
    pub client: UpstreamClient,
    /// Control clients.
    pub clients: Arc<Clients>,
    /// Open streams by key.
    pub open_keys: Arc<OpenKeys>,
    /// Who runs when and where.
    pub admission: Arc<Admission>,
    /// Model work in flight.
    pub flights: Flights,
    /// Counters and timers.
    pub metrics: Metrics,
    tally: Arc<Tally>,
    gate: Arc<Gate>,
    inputs: mpsc::Sender<Input>,
    tickets: AtomicU64,
    view: watch::Receiver<Arc<View>>,
    in_flight: AtomicU32,
    idle: Notify,
    is_draining: AtomicBool,
}

impl Gateway {
    /// Creates the shared state; `view` is fed by the state task, which has the same `parts`.
    pub fn new<P>(
        parts: &Parts<P>,
        inputs: mpsc::Sender<Input>,
        view: watch::Receiver<Arc<View>>,
    ) -> Arc<Self> {
        Arc::new(Self {
            settings: parts.settings.clone(),
            incarnation: parts.incarnation,
            clock: parts.clock,
            client: parts.sidecars.clone(),
            clients: Arc::clone(&parts.clients),
            open_keys: Arc::clone(&parts.open_keys),
            admission: Admission::new(parts.clock, &parts.settings.failure_domain),
            flights: Flights::default(),
            metrics: parts.metrics.clone(),
            tally: Arc::clone(&parts.tally),
            gate: Arc::clone(&parts.gate),
            inputs,
            tickets: AtomicU64::new(0),
            view,
            in_flight: AtomicU32::new(0),
            idle: Notify::new(),
            is_draining: AtomicBool::new(false),
        })
    }

    /// Fresh name for a request at the state task.
    pub fn ticket(&self) -> TicketId {
        TicketId(self.tickets.fetch_add(1, Ordering::Relaxed))
    }

    /// Asks the state task; none while it stops.
    pub async fn ask<T>(&self, input: impl FnOnce(oneshot::Sender<T>) -> Input) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.inputs.send(input(reply)).await.ok()?;
        answer.await.ok()
    }

    /// Tells the state task, also from a destructor.
    pub fn tell(&self, input: Input) {
        let Err(TrySendError::Full(input)) = self.inputs.try_send(input) else {
            return;
        };
        let inputs = self.inputs.clone();
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move { inputs.send(input).await });
        }
    }

    /// Refuses if the keys known here may be out of date.
    pub fn check_current(&self) -> Result<(), Problem> {
        self.gate.check(self.clock.now())
    }

    /// Whether the log was read lately and took the last append.
    pub fn has_log(&self) -> bool {
        self.gate.has_log()
    }

    /// Newest state that the state task has published.
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.view.borrow())
    }

    /// Fresh identity for a request.
    pub fn request_id(&self) -> RequestId {
        RequestId(rand::random())
    }

    /// Counts a request until the result is dropped.
    pub fn enter(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlight(Arc::clone(self))
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Waits until no request is in flight.
    pub async fn idle(&self) {
        loop {
            let notified = self.idle.notified();
            if self.in_flight() == 0 {
                return;
            }
            notified.await;
        }
    }

    /// Stops taking new work.
    pub fn drain(&self) {
        self.is_draining.store(true, Ordering::Relaxed);
    }

    /// Whether it no longer takes new work.
    pub fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Relaxed)
    }

    /// Whether the load balancer may send callers here.
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && self.view().is_ready()
    }

    /// Counts a complete answer for billing.
    pub fn count(&self, account: &str, prompt_tokens: u32, completion_tokens: u32) {
        self.tally.add(account, prompt_tokens, completion_tokens);
    }
}

/// Counts one request while it is in flight.
pub struct InFlight(Arc<Gateway>);

impl Drop for InFlight {
    fn drop(&mut self) {
        if self.0.in_flight.fetch_sub(1, Ordering::Relaxed) == 1 {
            self.0.idle.notify_waiters();
        }
    }
}

/// Model work in flight by what it asks for, so that identical requests share one run.
#[derive(Default)]
pub struct Flights {
    by_work: Mutex<HashMap<(Fingerprint, u32), Weak<SharedRun>>>,
}

impl Flights {
    /// Joins the work in flight or starts it; true if the caller must run it.
    pub fn join(&self, work: Fingerprint, max_tokens: u32) -> (Arc<SharedRun>, SubscriberId, bool) {
        let mut by_work = self.by_work.lock().unwrap_or_else(PoisonError::into_inner);
        let known = by_work.get(&(work, max_tokens)).and_then(Weak::upgrade);
        if let Some((shared_run, subscriber)) =
            known.and_then(|f| f.join().map(|subscriber| (f, subscriber)))
        {
            return (shared_run, subscriber, false);
        }
        let (shared_run, subscriber) = SharedRun::start();
        by_work.insert((work, max_tokens), Arc::downgrade(&shared_run));
        (shared_run, subscriber, true)
    }

    /// Forgets finished work.
    pub fn remove(&self, work: Fingerprint, max_tokens: u32, shared_run: &Arc<SharedRun>) {
        let mut by_work = self.by_work.lock().unwrap_or_else(PoisonError::into_inner);
        let key = (work, max_tokens);
        if by_work
            .get(&key)
            .is_some_and(|f| f.as_ptr() == Arc::as_ptr(shared_run))
        {
            by_work.remove(&key);
        }
    }
}
