//! State task: the only task that changes the replicated state.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use nutmegbay_backplane::{Log, UpstreamOrders, UsageReports};
use nutmegbay_core::attempt::{DispatchResult, TicketId};
use nutmegbay_core::environment::{Environment as _, MonotonicTime};
use nutmegbay_core::freshness::ISOLATED_AFTER;
use nutmegbay_core::guard::{AttemptRef, AttemptState};
use nutmegbay_core::ids::{Epoch, Fingerprint, Incarnation, Offset};
use nutmegbay_core::node::{self, Event, GatewayNode, NodeConfig, TailRead};
use nutmegbay_core::quarantine::RunEnd;
use nutmegbay_core::record::{Body, CrashReport, LeaseRole};
use nutmegbay_core::replica::Applied;
use nutmegbay_core::snapshot::ReplicaSnapshot;
use nutmegbay_core::usage::WindowTiming;
use nutmegbay_core::verdict::Verdict;
use nutmegbay_proto::control::LogStatus;
use nutmegbay_proto::platform::{InstanceKind, InstanceList, LogEntry, ReadResponse};
use nutmegbay_settings::parse_site;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{MissedTickBehavior, interval};

use super::append::{AppendOutcome, AppendSource, QueuedAppend};
use super::crash_history::SharedCrashHistory;
use super::environment::{Clock, EffectCollector};
use super::keyed_streams::KeyedStreams;
use super::once::{AtMostOnceCall, AtMostOnceCalls, AtMostOnceResult, RawAnswer};
use super::recent_records::RecentRecords;
use super::rpc_clients::{RpcClients, RpcEndpoint, log_status_of};
use super::suspects::{RunPermit, Suspects};
use super::upstreams;
use super::usage_counter::UsageCounter;
use super::view::{FreshnessGate, View};
use crate::data::client::UpstreamClient;
use crate::metrics::Metrics;
use crate::settings::GatewaySettings;

/// Time between two ticks, which drive the timeouts of all components.
const TICK: Duration = Duration::from_millis(50);

/// Time for which the gate stays open after a tick that detected an outage of the log. It is short,
/// so that a process that was paused checks again before it answers keyed requests.
const OUTAGE_GATE_TIME: Duration = Duration::from_millis(250);

/// Message to the state task.
#[derive(Debug)]
pub enum Input {
    /// An event for the [`GatewayNode`].
    Node(Event),
    /// A read of the log that began at this time has returned.
    LogRead(MonotonicTime, ReadResponse),
    /// Log records sent by a peer, a sidecar or an operator.
    RecordsOffered(Vec<LogEntry>),
    /// An append to the log has ended.
    Appended(AppendOutcome),
    /// The instance list of the platform has changed.
    Instances(InstanceList),
    /// Runs a non-idempotent call of a caller.
    AtMostOnceCall(
        TicketId,
        Box<AtMostOnceCall>,
        oneshot::Sender<AtMostOnceResult>,
    ),
    /// The caller of a non-idempotent call has disconnected.
    CallerLeft(TicketId),
    /// The dispatch of an attempt has ended, with the answer as received if there is one.
    Dispatched(AttemptRef, DispatchResult, Option<RawAnswer>),
    /// A sidecar was queried about an attempt; `None` if it did not answer.
    Queried(AttemptRef, Option<AttemptState>),
    /// A suspect request asks for a permit to run.
    AdmitSuspect(TicketId, Fingerprint, oneshot::Sender<RunPermit>),
    /// The caller of a suspect request that waits for its permit has disconnected.
    SuspectCallerLeft(TicketId),
    /// An upstream crashed while it ran this request of the gateway. Answered when the error may go
    /// to the caller, because every gateway can know of the crash.
    ReportCrash(Vec<CrashReport>, Fingerprint, oneshot::Sender<()>),
    /// Crash reports received from peers or sidecars.
    CrashReports(Vec<CrashReport>),
    /// All peers have acknowledged the report of this crash.
    CrashAcknowledged(Incarnation),
    /// The run of a request alone on its upstream has ended: the upstream survived it, or the run
    /// did not finish.
    RunEnded(Fingerprint, RunEnd),
    /// Queries the status.
    Status(oneshot::Sender<Status>),
    /// Requests a snapshot of the replica; `None` until the replica is loaded.
    ReplicaSnapshot(oneshot::Sender<Option<ReplicaSnapshot>>),
    /// Answered once no lease is held and all usage is flushed to the log. Sent after
    /// [`Event::StopRequested`] and after the last request has ended.
    Stop(oneshot::Sender<()>),
}

/// Status of the state task.
#[derive(Debug, Clone)]
pub struct Status {
    /// How far this process has read the log.
    pub log: LogStatus,
    /// State of the freshness state chart.
    pub freshness: Box<str>,
    /// Leases that this process holds.
    pub leases: BTreeMap<LeaseRole, Epoch>,
    /// Crash reports that are not in the log yet.
    pub crashes: Vec<CrashReport>,
    /// Suspect request that this gateway runs alone on its upstream, if any.
    pub exclusive: Option<Fingerprint>,
}

/// Settings, clients and state that the state task shares with the rest of the process.
#[derive(Clone)]
pub struct SharedContext<P> {
    /// Process settings.
    pub settings: GatewaySettings,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Monotonic and wall clock.
    pub clock: Clock,
    /// Client of the platform.
    pub platform: P,
    /// Crashes by the content of prompts.
    pub crash_history: Arc<SharedCrashHistory>,
    /// Open streams grouped by access key.
    pub keyed_streams: Arc<KeyedStreams>,
    /// Recent log records, served to peers and sidecars.
    pub recent_records: Arc<RecentRecords>,
    /// HTTP client for the data path of sidecars.
    pub sidecars: UpstreamClient,
    /// JSON-RPC clients for the control interfaces of other instances.
    pub clients: Arc<RpcClients>,
    /// Deadline until which keyed requests may be answered.
    pub gate: Arc<FreshnessGate>,
    /// Usage counted on the data path since the last tick.
    pub usage_counter: Arc<UsageCounter>,
    /// Counters and timers for statsd.
    pub metrics: Metrics,
}

/// The state task: feeds inputs to the components of core and performs their effects.
pub struct Actor<P> {
    pub(super) context: SharedContext<P>,
    pub(super) node: GatewayNode,
    pub(super) inputs: mpsc::Sender<Input>,
    pub(super) appends: mpsc::UnboundedSender<QueuedAppend>,
    pub(super) endpoints: Vec<RpcEndpoint>,
    pub(super) once: AtMostOnceCalls,
    pub(super) suspects: Suspects,
    /// View that the next [`Self::publish`] makes visible.
    pub(super) next_view: View,
    environment: EffectCollector<node::Effect>,
    view: watch::Sender<Arc<View>>,
    /// Parts of the view that have changed since it was published.
    dirty: DirtyFlags,
    /// Head of the log when the replica first caught up with it.
    start_offset: Option<Offset>,
    stop_reply: Option<oneshot::Sender<()>>,
    is_ready_to_exit: bool,
}

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the parts change independently"
)]
struct DirtyFlags {
    view: bool,
    keys: bool,
    config: bool,
    suspects: bool,
}

impl<P> Actor<P>
where
    P: Log + UsageReports + UpstreamOrders + Clone + 'static,
{
    /// Creates the task and the channel on which it publishes views; `None` if an embedded state
    /// chart is invalid.
    pub fn new(
        context: SharedContext<P>,
        inputs: mpsc::Sender<Input>,
        appends: mpsc::UnboundedSender<QueuedAppend>,
    ) -> Option<(Self, watch::Receiver<Arc<View>>)> {
        let (view, rx) = watch::channel(Arc::default());
        let (instance, incarnation) = (&context.settings.instance, context.incarnation);
        let cfg = NodeConfig::new(&context.settings.instance, context.incarnation);
        let actor = Self {
            node: GatewayNode::new(cfg),
            once: AtMostOnceCalls::new(instance, incarnation, context.clock)?,
            suspects: Suspects::new(instance, incarnation, context.clock),
            environment: EffectCollector::new(context.clock),
            context,
            inputs,
            appends,
            endpoints: Vec::new(),
            view,
            next_view: View::default(),
            dirty: DirtyFlags::default(),
            start_offset: None,
            stop_reply: None,
            is_ready_to_exit: false,
        };
        Some((actor, rx))
    }

    /// Handles inputs until all senders are dropped.
    pub async fn run(mut self, mut inputs: mpsc::Receiver<Input>) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                input = inputs.recv() => match input {
                    Some(input) => self.on_input(input),
                    None => return,
                },
                _ = ticks.tick() => self.on_tick(),
            }
            while let Ok(input) = inputs.try_recv() {
                self.on_input(input);
            }
            self.publish_and_perform();
        }
    }

    fn on_input(&mut self, input: Input) {
        match input {
            Input::Node(event) => self.handle_event(event),
            Input::LogRead(started, read) => self.on_read(started, read),
            Input::RecordsOffered(entries) => self.on_records_offered(entries),
            Input::Appended(outcome) => self.on_appended(outcome),
            Input::Instances(list) => self.on_instances(&list),
            Input::AtMostOnceCall(ticket, call, reply) => {
                let attempts = self.node.replica().attempts();
                self.once.begin(ticket, *call, reply, attempts);
            }
            Input::CallerLeft(ticket) => self
                .once
                .caller_left(ticket, self.node.replica().attempts()),
            Input::Dispatched(attempt, result, raw) => {
                let attempts = self.node.replica().attempts();
                self.once.on_dispatched(attempt, result, raw, attempts);
            }
            Input::Queried(attempt, state) => {
                let attempts = self.node.replica().attempts();
                self.once.on_queried(attempt, state, attempts);
            }
            Input::AdmitSuspect(..)
            | Input::SuspectCallerLeft(_)
            | Input::ReportCrash(..)
            | Input::CrashReports(_)
            | Input::CrashAcknowledged(_)
            | Input::RunEnded(..) => self.on_suspect_input(input),
            Input::Status(reply) => {
                // Ignores a receiver that no longer waits.
                let _ = reply.send(self.status());
            }
            Input::ReplicaSnapshot(reply) => {
                let _ = reply.send(self.node.snapshot());
            }
            Input::Stop(reply) => {
                self.stop_reply = Some(reply);
                self.on_tick();
            }
        }
    }

    fn on_suspect_input(&mut self, input: Input) {
        let replica = self.node.replica().quarantine();
        let suspects = &mut self.suspects;
        match input {
            Input::AdmitSuspect(ticket, fingerprint, reply) => {
                suspects.admit(ticket, fingerprint, reply, replica);
            }
            Input::SuspectCallerLeft(ticket) => suspects.caller_left(ticket),
            Input::ReportCrash(reports, fingerprint, reply) => {
                suspects.on_crash(reports, fingerprint, reply, replica);
                self.dirty.suspects = true;
            }
            Input::CrashReports(reports) => {
                suspects.on_peer_reports(reports, replica);
                self.dirty.suspects = true;
            }
            Input::CrashAcknowledged(crash) => suspects.on_acknowledged(crash),
            Input::RunEnded(fingerprint, end) => suspects.on_run_end(fingerprint, end, replica),
            _ => {}
        }
    }

    fn on_tick(&mut self) {
        for (account, usage) in self.context.usage_counter.take() {
            self.handle_event(Event::RequestServed { account, usage });
        }
        self.handle_event(Event::Tick);
        let replica = self.node.replica();
        let outage = self.node.freshness().outage_as_of(self.environment.now());
        if let Some(time) = outage {
            self.once.on_complete_as_of(time, replica.attempts());
        }
        self.once.tick(replica.attempts());
        self.suspects.advance(self.node.replica().quarantine());
    }

    fn handle_event(&mut self, event: Event) {
        self.node.on_event(&mut self.environment, event);
        self.perform_effects();
    }

    fn perform_effects(&mut self) {
        for effect in self.environment.take_effects() {
            self.on_effect(effect);
        }
    }

    fn on_effect(&mut self, effect: node::Effect) {
        match effect {
            node::Effect::Applied(offset, applied) => self.on_applied(offset, applied),
            node::Effect::StateReplaced => {
                self.dirty = DirtyFlags {
                    view: true,
                    keys: true,
                    config: true,
                    suspects: true,
                };
                self.once
                    .on_replica_replaced(self.node.replica().attempts());
            }
            node::Effect::KeysWithdrawn(keys) => {
                self.dirty.keys = true;
                self.publish();
                for key in keys {
                    self.context.keyed_streams.withdraw(&key);
                    tracing::info!(event = "key_withdrawn", key);
                }
            }
            node::Effect::ConfigChanged => self.dirty.config = true,
            node::Effect::FreshnessChanged => {
                let state = self.node.freshness().state();
                tracing::info!(event = "freshness_changed", state);
            }
            node::Effect::EndKeyedStreams => {
                self.update_gate();
                self.context.keyed_streams.end_all();
            }
            node::Effect::SnapshotMismatch(as_of) => {
                self.context.metrics.count("snapshot_differs");
                tracing::error!(event = "snapshot_differs", %as_of);
            }
            node::Effect::ReadyToExit => self.is_ready_to_exit = true,
            effect => self.start(effect),
        }
    }

    fn on_applied(&mut self, offset: Offset, applied: Applied) {
        let record = match applied {
            Applied::Accepted(record) => record,
            Applied::Rejected(record, reason) => {
                let kind: &str = (&record.body).into();
                tracing::info!(event = "record_rejected", %offset, kind, %reason,
                    author = record.author);
                record
            }
            Applied::Unreadable(reason) => {
                self.context.metrics.count("record_skipped");
                tracing::warn!(event = "record_skipped", %offset, reason);
                self.dirty.view = true;
                return;
            }
            Applied::Duplicate(_) | Applied::Stale | Applied::Gap => return,
        };
        match &record.body {
            Body::KeyGrant(_) | Body::KeyWithdraw(_) => self.dirty.keys = true,
            Body::DrainRequest(_) => self.dirty.view = true,
            Body::AttemptOpen(open) => self.on_call_replayed(open.call, record.id),
            Body::AttemptFence(fence) => self.on_call_replayed(fence.call, record.id),
            Body::AttemptOutcome(outcome) => self.on_call_replayed(outcome.call, record.id),
            Body::CrashReport(_) | Body::QuarantineClear(_) | Body::ExclusiveRun(_) => {
                self.suspects.advance(self.node.replica().quarantine());
                self.dirty.suspects = true;
            }
            _ => {}
        }
    }

    fn on_read(&mut self, started: MonotonicTime, read: ReadResponse) {
        let ReadResponse {
            records,
            head,
            oldest,
        } = read;
        let read = TailRead {
            started,
            entries: records.iter().map(node_entry).collect(),
            head,
            oldest,
        };
        self.handle_event(Event::TailRead(read));
        self.keep_recent(records);
        let replica = self.node.replica();
        if self.node.is_started() && replica.next() >= head {
            self.once.on_complete_as_of(started, replica.attempts());
        }
        if self.start_offset.is_none() && self.node.is_started() {
            self.start_offset = Some(head);
            self.dirty.view = true;
        }
    }

    fn on_records_offered(&mut self, entries: Vec<LogEntry>) {
        self.handle_event(Event::RecordsOffered(
            entries.iter().map(node_entry).collect(),
        ));
        self.keep_recent(entries);
    }

    /// Keeps the records that were applied for peers and sidecars.
    fn keep_recent(&self, entries: Vec<LogEntry>) {
        let next = self.node.replica().next();
        for entry in entries.into_iter().filter(|entry| entry.offset < next) {
            self.context.recent_records.push(entry);
        }
    }

    fn on_appended(&mut self, outcome: AppendOutcome) {
        let token = outcome.token;
        let is_failing = outcome.verdict != Verdict::Ran;
        self.context.gate.set_append_failing(is_failing);
        match (outcome.source, outcome.verdict) {
            (AppendSource::Node, Verdict::Ran) => self.handle_event(Event::AppendDone { token }),
            (AppendSource::Node, verdict) => self.handle_event(Event::AppendFailed {
                token,
                may_have_run: verdict == Verdict::MayHaveRun,
            }),
            (AppendSource::AtMostOnceCalls, verdict) => {
                let attempts = self.node.replica().attempts();
                self.once.on_appended(token, verdict, attempts);
            }
            (AppendSource::Suspects, verdict) => self.suspects.on_appended(token, verdict),
        }
    }

    fn on_instances(&mut self, list: &InstanceList) {
        let own = &self.context.settings.instance;
        let other_instances = list.instances.iter().filter(|i| i.name != *own);
        self.endpoints = other_instances
            .map(|i| RpcEndpoint {
                name: i.name.clone(),
                kind: i.kind,
                control: i.control,
            })
            .collect();
        let addrs: Vec<_> = self.endpoints.iter().map(|p| p.control).collect();
        self.context.clients.retain(|addr| addrs.contains(&addr));
        self.next_view.upstreams = upstreams::merge(&self.next_view.upstreams, list);
        self.dirty.view = true;
        self.next_view.peers = self.peers().cloned().collect();
        let peers = self.peers().map(|p| p.name.clone()).collect();
        self.handle_event(Event::Peers(peers));
    }

    pub(super) fn peers(&self) -> impl Iterator<Item = &RpcEndpoint> {
        let is_peer = |p: &&RpcEndpoint| p.kind == InstanceKind::Gateway;
        self.endpoints.iter().filter(is_peer)
    }

    /// Publishes the changes, performs the effects that they cause and updates the gate for keyed
    /// requests.
    fn publish_and_perform(&mut self) {
        // Callers that are answered below must see at least the view on which the answer is based.
        self.publish();
        self.perform_call_actions();
        self.perform_suspect_actions();
        self.publish();
        self.update_gate();
        let is_idle = self.once.is_empty();
        let is_stopped = self.is_ready_to_exit
            && is_idle
            && self.node.is_flushed()
            && self.context.usage_counter.is_empty();
        if is_stopped && let Some(stop) = self.stop_reply.take() {
            let _ = stop.send(());
        }
    }

    fn publish(&mut self) {
        let dirty = std::mem::take(&mut self.dirty);
        if dirty == DirtyFlags::default() {
            return;
        }
        let replica = self.node.replica();
        let view = &mut self.next_view;
        view.is_started = self.node.is_started();
        view.first_newer_schema = replica.first_newer_schema();
        if dirty.keys {
            view.keys = Arc::new(replica.keys().clone());
        }
        let instance = &self.context.settings.instance;
        let is_requested = |since| replica.drains().is_requested(instance, since);
        view.is_drain_requested = self.start_offset.is_some_and(is_requested);
        if dirty.config {
            self.apply_config();
        }
        if dirty.suspects {
            let replica = self.node.replica().quarantine();
            self.next_view.suspects = Arc::new(self.suspects.fingerprints(replica));
        }
        self.view.send_replace(Arc::new(self.next_view.clone()));
    }

    fn apply_config(&mut self) {
        let config = self.node.replica().config();
        let Some(base) = config.base() else {
            return;
        };
        let overlay = config.overlay(&self.context.settings.site);
        let offset = config.last();
        match parse_site(&base.text, overlay.map(|o| &*o.text)) {
            Ok(site) => {
                self.node.set_windows(WindowTiming {
                    window_ms: site.usage.window_s.saturating_mul(1_000),
                    grace_ms: site.usage.grace_s.saturating_mul(1_000),
                });
                self.next_view.site = Some(Arc::new(site));
                self.next_view.config = offset;
                self.next_view.config_rejected = None;
                tracing::info!(event = "config_applied", offset = offset.map(|o| o.0));
            }
            Err(e) => {
                let error = e.current_context();
                tracing::error!(event = "config_rejected", offset = offset.map(|o| o.0), %error);
                self.next_view.config_rejected = offset;
            }
        }
    }

    fn update_gate(&self) {
        let now = self.context.clock.now();
        let freshness = self.node.freshness();
        let deadline = match freshness.head_read_age(now) {
            _ if !freshness.may_serve_keyed(now) => MonotonicTime::default(),
            Some(age) if age < ISOLATED_AFTER => now.plus(ISOLATED_AFTER.saturating_sub(age)),
            _ => now.plus(OUTAGE_GATE_TIME),
        };
        self.context.gate.open_until(deadline);
        self.context.gate.set_log_readable(freshness.is_fresh(now));
    }

    pub(super) fn log_status(&self) -> LogStatus {
        log_status_of(self.node.view(self.context.clock.now()))
    }

    fn status(&self) -> Status {
        Status {
            log: self.log_status(),
            freshness: self.node.freshness().state().into(),
            leases: self.node.leases(self.context.clock.now()).collect(),
            crashes: self.suspects.unlogged(),
            exclusive: self.suspects.exclusive(),
        }
    }
}

fn node_entry(entry: &LogEntry) -> node::Entry {
    (entry.offset, entry.record.get().into())
}
