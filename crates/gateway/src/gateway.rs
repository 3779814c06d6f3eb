//! State that all requests of a gateway share.

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
use crate::state::crash_history::SharedCrashHistory;
use crate::state::environment::Clock;
use crate::state::keyed_streams::KeyedStreams;
use crate::state::rpc_clients::RpcClients;
use crate::state::usage_counter::UsageCounter;
use crate::state::view::{FreshnessGate, View};
use crate::state::{Input, SharedContext};

/// Shared state of one gateway.
pub struct Gateway {
    /// Process settings.
    pub settings: GatewaySettings,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Monotonic and wall clock.
    pub clock: Clock,
    /// HTTP client for the data path of sidecars.
    pub client: UpstreamClient,
    /// JSON-RPC clients for the control interfaces of other instances.
    pub clients: Arc<RpcClients>,
    /// Crashes by the content of prompts.
    pub crash_history: Arc<SharedCrashHistory>,
    /// Open streams grouped by access key, so that a withdrawal can end them.
    pub keyed_streams: Arc<KeyedStreams>,
    /// Queues requests and assigns them to upstreams.
    pub admission: Arc<Admission>,
    /// Model runs in flight, shared by identical requests.
    pub shared_runs: SharedRuns,
    /// Counters and timers for statsd.
    pub metrics: Metrics,
    usage_counter: Arc<UsageCounter>,
    gate: Arc<FreshnessGate>,
    inputs: mpsc::Sender<Input>,
    next_ticket: AtomicU64,
    view: watch::Receiver<Arc<View>>,
    in_flight: AtomicU32,
    became_idle: Notify,
    is_draining: AtomicBool,
}

impl Gateway {
    /// Creates the shared state. `view` receives what the state task publishes; the task is created
    /// with the same `context`.
    pub fn new<P>(
        context: &SharedContext<P>,
        inputs: mpsc::Sender<Input>,
        view: watch::Receiver<Arc<View>>,
    ) -> Arc<Self> {
        Arc::new(Self {
            settings: context.settings.clone(),
            incarnation: context.incarnation,
            clock: context.clock,
            client: context.sidecars.clone(),
            clients: Arc::clone(&context.clients),
            crash_history: Arc::clone(&context.crash_history),
            keyed_streams: Arc::clone(&context.keyed_streams),
            admission: Admission::new(context.clock, &context.settings.failure_domain),
            shared_runs: SharedRuns::default(),
            metrics: context.metrics.clone(),
            usage_counter: Arc::clone(&context.usage_counter),
            gate: Arc::clone(&context.gate),
            inputs,
            next_ticket: AtomicU64::new(0),
            view,
            in_flight: AtomicU32::new(0),
            became_idle: Notify::new(),
            is_draining: AtomicBool::new(false),
        })
    }

    /// Returns a new ticket, which identifies a request towards the state task.
    pub fn ticket(&self) -> TicketId {
        TicketId(self.next_ticket.fetch_add(1, Ordering::Relaxed))
    }

    /// Sends a query to the state task and waits for its answer; `None` if the task has ended.
    pub async fn query_state<T>(
        &self,
        input: impl FnOnce(oneshot::Sender<T>) -> Input,
    ) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.inputs.send(input(reply)).await.ok()?;
        answer.await.ok()
    }

    /// Sends an input to the state task without waiting, so that destructors can use it. A full
    /// queue leaves the input to a spawned task.
    pub fn notify_state(&self, input: Input) {
        let Err(TrySendError::Full(input)) = self.inputs.try_send(input) else {
            return;
        };
        let inputs = self.inputs.clone();
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move { inputs.send(input).await });
        }
    }

    /// Returns [`ProblemKind::StaleState`] if the keys in this replica may be out of date.
    ///
    /// [`ProblemKind::StaleState`]: nutmegbay_proto::problem::ProblemKind::StaleState
    pub fn check_freshness(&self) -> Result<(), Problem> {
        self.gate.check(self.clock.now())
    }

    /// Whether the last read of the log is recent and the last append succeeded.
    pub fn is_log_available(&self) -> bool {
        self.gate.is_log_available()
    }

    /// Returns the view that the state task published last.
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.view.borrow())
    }

    /// Returns a new random request id.
    pub fn new_request_id(&self) -> RequestId {
        RequestId(rand::random())
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub fn track_request(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard(Arc::clone(self))
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Waits until no request is in flight.
    pub async fn wait_until_idle(&self) {
        loop {
            let notified = self.became_idle.notified();
            if self.in_flight() == 0 {
                return;
            }
            notified.await;
        }
    }

    /// Starts to drain: `/ready` fails and every answer closes its connection.
    pub fn drain(&self) {
        self.is_draining.store(true, Ordering::Relaxed);
    }

    /// Whether [`Self::drain`] was called.
    pub fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Relaxed)
    }

    /// Answer of `/ready`: whether the load balancer may send callers to this instance.
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && self.view().is_ready()
    }

    /// Records the usage of a complete answer for billing.
    pub fn record_usage(&self, account: &str, prompt_tokens: u32, completion_tokens: u32) {
        self.usage_counter
            .add(account, prompt_tokens, completion_tokens);
    }
}

/// Counts one request as in flight until it is dropped.
pub struct InFlightGuard(Arc<Gateway>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        if self.0.in_flight.fetch_sub(1, Ordering::Relaxed) == 1 {
            self.0.became_idle.notify_waiters();
        }
    }
}

/// Model runs in flight by fingerprint and token limit, so that identical requests share one run.
#[derive(Default)]
pub struct SharedRuns {
    by_request: Mutex<HashMap<(Fingerprint, u32), Weak<SharedRun>>>,
}

impl SharedRuns {
    /// Joins an identical run in flight or registers a new one. The flag is true for a new run,
    /// which the caller must execute.
    pub fn join(
        &self,
        fingerprint: Fingerprint,
        max_tokens: u32,
    ) -> (Arc<SharedRun>, SubscriberId, bool) {
        let mut by_request = self
            .by_request
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let running = by_request
            .get(&(fingerprint, max_tokens))
            .and_then(Weak::upgrade);
        if let Some((shared_run, subscriber)) =
            running.and_then(|run| run.join().map(|subscriber| (run, subscriber)))
        {
            return (shared_run, subscriber, false);
        }
        let (shared_run, subscriber) = SharedRun::start();
        by_request.insert((fingerprint, max_tokens), Arc::downgrade(&shared_run));
        (shared_run, subscriber, true)
    }

    /// Removes `shared_run` when its run has ended, unless a newer run has taken its entry.
    pub fn remove(&self, fingerprint: Fingerprint, max_tokens: u32, shared_run: &Arc<SharedRun>) {
        let mut by_request = self
            .by_request
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let key = (fingerprint, max_tokens);
        if by_request
            .get(&key)
            .is_some_and(|run| run.as_ptr() == Arc::as_ptr(shared_run))
        {
            by_request.remove(&key);
        }
    }
}
