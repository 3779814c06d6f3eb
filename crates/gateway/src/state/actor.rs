//! State task: the only writer of the replicated state.

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
use nutmegbay_proto::platform::{Entry, InstanceKind, InstanceList, ReadResponse};
use nutmegbay_settings::parse_site;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{MissedTickBehavior, interval};

use super::append::{Appended, Source, Wanted};
use super::once::{OnceCall, OnceCalls, OnceEnd, Raw};
use super::parties::{Clients, Party, status_of};
use super::recent::Recent;
use super::revoke::OpenKeys;
use super::suspects::{Permit, Suspects};
use super::tally::Tally;
use super::upstreams;
use super::view::{Gate, View};
use super::world::{Clock, Outside};
use crate::data::client::UpstreamClient;
use crate::metrics::Metrics;
use crate::settings::GatewaySettings;

/// Time between two ticks of the components.
const TICK: Duration = Duration::from_millis(50);

/// Time for which one tick vouches for an outage: a process that was paused must judge again first.
const OUTAGE_VOUCHED: Duration = Duration::from_millis(250);

/// What the state task is told.
#[derive(Debug)]
pub enum Input {
    /// An event for the node.
    Node(Event),
    /// A read of the log that began at this moment has returned.
    Read(MonotonicTime, ReadResponse),
    /// Records from a peer, a sidecar or an operator.
    RecordsOffered(Vec<Entry>),
    /// An append has ended.
    Appended(Appended),
    /// The platform's list of instances.
    Instances(InstanceList),
    /// A non-idempotent call of a caller.
    Once(TicketId, Box<OnceCall>, oneshot::Sender<OnceEnd>),
    /// The caller of a non-idempotent call has left.
    OnceGone(TicketId),
    /// The dispatch of an attempt has ended.
    Dispatched(AttemptRef, DispatchResult, Option<Raw>),
    /// A sidecar was asked about an attempt.
    Queried(AttemptRef, Option<AttemptState>),
    /// A suspect request wants to run.
    Admit(TicketId, Fingerprint, oneshot::Sender<Permit>),
    /// The caller of a suspect request has left.
    AdmitGone(TicketId),
    /// An upstream crashed under a request of this gateway; answered when all can know of it.
    Crashed(Vec<CrashReport>, Fingerprint, oneshot::Sender<()>),
    /// Crash reports of peers or sidecars.
    Heard(Vec<CrashReport>),
    /// All peers know of a crash.
    Acknowledged(Incarnation),
    /// A request that ran alone has ended without a crash.
    RunEnded(Fingerprint, RunEnd),
    /// Asks for the status.
    Status(oneshot::Sender<Status>),
    /// Asks for the whole state.
    ReplicaSnapshot(oneshot::Sender<Option<ReplicaSnapshot>>),
    /// Is answered once no lease is held and all counts are in the log. Comes after
    /// [`Event::StopRequested`] and the last request.
    Stop(oneshot::Sender<()>),
}

/// Status of the state task.
#[derive(Debug, Clone)]
pub struct Status {
    /// View of the log.
    pub log: LogStatus,
    /// State of the freshness chart.
    pub freshness: Box<str>,
    /// Leases that this process holds.
    pub leases: BTreeMap<LeaseRole, Epoch>,
    /// Crash reports that the log does not show yet.
    pub crashes: Vec<CrashReport>,
    /// Request that this gateway runs alone.
    pub exclusive: Option<Fingerprint>,
}

/// What the state task shares with the rest of the process.
#[derive(Clone)]
pub struct Parts<P> {
    /// Process settings.
    pub settings: GatewaySettings,
    /// Life of the process.
    pub incarnation: Incarnation,
    /// Clocks.
    pub clock: Clock,
    /// Client of the platform.
    pub platform: P,
    /// Open streams by key.
    pub open_keys: Arc<OpenKeys>,
    /// Recent log records.
    pub recent: Arc<Recent>,
    /// Client for the data path of sidecars.
    pub sidecars: UpstreamClient,
    /// Control clients.
    pub clients: Arc<Clients>,
    /// Until when keyed requests may be answered.
    pub gate: Arc<Gate>,
    /// Usage that was counted on the data path.
    pub tally: Arc<Tally>,
    /// Counters and timers.
    pub metrics: Metrics,
}

/// State task.
pub struct Actor<P> {
    pub(super) parts: Parts<P>,
    pub(super) node: GatewayNode,
    pub(super) inputs: mpsc::Sender<Input>,
    pub(super) appends: mpsc::UnboundedSender<Wanted>,
    pub(super) parties: Vec<Party>,
    pub(super) once: OnceCalls,
    pub(super) suspects: Suspects,
    /// View that is published next.
    pub(super) next: View,
    world: Outside<node::Effect>,
    view: watch::Sender<Arc<View>>,
    /// Parts of the view that are to be built again.
    stale: Stale,
    /// Head of the log when this process had first read it.
    started_at: Option<Offset>,
    stop: Option<oneshot::Sender<()>>,
    may_exit: bool,
}

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the parts change independently"
)]
struct Stale {
    view: bool,
    keys: bool,
    config: bool,
    suspects: bool,
}

impl<P> Actor<P>
where
    P: Log + UsageReports + UpstreamOrders + Clone + 'static,
{
    /// Creates the state and the channel on which it is published; none if a chart of the build does
    /// not parse.
    pub fn new(
        parts: Parts<P>,
        inputs: mpsc::Sender<Input>,
        appends: mpsc::UnboundedSender<Wanted>,
    ) -> Option<(Self, watch::Receiver<Arc<View>>)> {
        let (view, rx) = watch::channel(Arc::default());
        let (instance, incarnation) = (&parts.settings.instance, parts.incarnation);
        let cfg = NodeConfig::new(&parts.settings.instance, parts.incarnation);
        let actor = Self {
            node: GatewayNode::new(cfg),
            once: OnceCalls::new(instance, incarnation, parts.clock)?,
            suspects: Suspects::new(instance, incarnation, parts.clock),
            world: Outside::new(parts.clock),
            parts,
            inputs,
            appends,
            parties: Vec::new(),
            view,
            next: View::default(),
            stale: Stale::default(),
            started_at: None,
            stop: None,
            may_exit: false,
        };
        Some((actor, rx))
    }

    /// Handles inputs until all senders are gone.
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
            self.settle();
        }
    }

    fn on_input(&mut self, input: Input) {
        match input {
            Input::Node(event) => self.feed(event),
            Input::Read(started, read) => self.on_read(started, read),
            Input::RecordsOffered(entries) => self.on_offered(entries),
            Input::Appended(appended) => self.on_appended(appended),
            Input::Instances(list) => self.on_instances(&list),
            Input::Once(ticket, call, reply) => {
                let attempts = self.node.replica().attempts();
                self.once.begin(ticket, *call, reply, attempts);
            }
            Input::OnceGone(ticket) => self.once.gone(ticket, self.node.replica().attempts()),
            Input::Dispatched(attempt, result, raw) => {
                let attempts = self.node.replica().attempts();
                self.once.dispatched(attempt, result, raw, attempts);
            }
            Input::Queried(attempt, state) => {
                let attempts = self.node.replica().attempts();
                self.once.queried(attempt, state, attempts);
            }
            Input::Admit(..)
            | Input::AdmitGone(_)
            | Input::Crashed(..)
            | Input::Heard(_)
            | Input::Acknowledged(_)
            | Input::RunEnded(..) => self.on_suspect(input),
            Input::Status(reply) => {
                // The asker may have given up.
                let _ = reply.send(self.status());
            }
            Input::ReplicaSnapshot(reply) => {
                let _ = reply.send(self.node.snapshot());
            }
            Input::Stop(reply) => {
                self.stop = Some(reply);
                self.on_tick();
            }
        }
    }

    fn on_suspect(&mut self, input: Input) {
        let replica = self.node.replica().quarantine();
        let suspects = &mut self.suspects;
        match input {
            Input::Admit(ticket, fingerprint, reply) => {
                suspects.admit(ticket, fingerprint, reply, replica);
            }
            Input::AdmitGone(ticket) => suspects.gone(ticket),
            Input::Crashed(reports, fingerprint, reply) => {
                suspects.crashed(reports, fingerprint, reply, replica);
                self.stale.suspects = true;
            }
            Input::Heard(reports) => {
                suspects.heard(reports, replica);
                self.stale.suspects = true;
            }
            Input::Acknowledged(crash) => suspects.acknowledged(crash),
            Input::RunEnded(fingerprint, end) => suspects.finished(fingerprint, end, replica),
            _ => {}
        }
    }

    fn on_tick(&mut self) {
        for (account, usage) in self.parts.tally.take() {
            self.feed(Event::RequestServed { account, usage });
        }
        self.feed(Event::Tick);
        let replica = self.node.replica();
        let outage = self.node.freshness().outage_as_of(self.world.now());
        if let Some(moment) = outage {
            self.once.complete_as_of(moment, replica.attempts());
        }
        self.once.tick(replica.attempts());
        self.suspects.advance(self.node.replica().quarantine());
    }

    fn feed(&mut self, event: Event) {
        self.node.on_event(&mut self.world, event);
        self.perform();
    }

    fn perform(&mut self) {
        for effect in self.world.take() {
            self.on_effect(effect);
        }
    }

    fn on_effect(&mut self, effect: node::Effect) {
        match effect {
            node::Effect::Applied(offset, applied) => self.on_applied(offset, applied),
            node::Effect::StateReplaced => {
                self.stale = Stale {
                    view: true,
                    keys: true,
                    config: true,
                    suspects: true,
                };
                self.once.loaded(self.node.replica().attempts());
            }
            node::Effect::KeysWithdrawn(keys) => {
                self.stale.keys = true;
                self.publish();
                for key in keys {
                    self.parts.open_keys.withdraw(&key);
                    tracing::info!(event = "key_withdrawn", key);
                }
            }
            node::Effect::ConfigChanged => self.stale.config = true,
            node::Effect::FreshnessChanged => {
                let state = self.node.freshness().state();
                tracing::info!(event = "freshness_changed", state);
            }
            node::Effect::EndKeyedStreams => {
                self.open_gate();
                self.parts.open_keys.end_all();
            }
            node::Effect::SnapshotMismatch(as_of) => {
                self.parts.metrics.count("snapshot_differs");
                tracing::error!(event = "snapshot_differs", %as_of);
            }
            node::Effect::ReadyToExit => self.may_exit = true,
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
                self.parts.metrics.count("record_skipped");
                tracing::warn!(event = "record_skipped", %offset, reason);
                self.stale.view = true;
                return;
            }
            Applied::Duplicate(_) | Applied::Stale | Applied::Gap => return,
        };
        match &record.body {
            Body::KeyGrant(_) | Body::KeyWithdraw(_) => self.stale.keys = true,
            Body::DrainRequest(_) => self.stale.view = true,
            Body::AttemptOpen(open) => self.replayed_once(open.call, record.id),
            Body::AttemptFence(fence) => self.replayed_once(fence.call, record.id),
            Body::AttemptOutcome(outcome) => self.replayed_once(outcome.call, record.id),
            Body::CrashReport(_) | Body::QuarantineClear(_) | Body::ExclusiveRun(_) => {
                self.suspects.advance(self.node.replica().quarantine());
                self.stale.suspects = true;
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
            entries: records.iter().map(text_of).collect(),
            head,
            oldest,
        };
        self.feed(Event::TailRead(read));
        self.remember(records);
        let replica = self.node.replica();
        if self.node.is_started() && replica.next() >= head {
            self.once.complete_as_of(started, replica.attempts());
        }
        if self.started_at.is_none() && self.node.is_started() {
            self.started_at = Some(head);
            self.stale.view = true;
        }
    }

    fn on_offered(&mut self, entries: Vec<Entry>) {
        self.feed(Event::RecordsOffered(entries.iter().map(text_of).collect()));
        self.remember(entries);
    }

    /// Keeps applied records for peers and sidecars.
    fn remember(&self, entries: Vec<Entry>) {
        let next = self.node.replica().next();
        for entry in entries.into_iter().filter(|entry| entry.offset < next) {
            self.parts.recent.push(entry);
        }
    }

    fn on_appended(&mut self, appended: Appended) {
        let token = appended.token;
        let is_failing = appended.verdict != Verdict::Ran;
        self.parts.gate.set_append_failing(is_failing);
        match (appended.source, appended.verdict) {
            (Source::Node, Verdict::Ran) => self.feed(Event::AppendDone { token }),
            (Source::Node, verdict) => self.feed(Event::AppendFailed {
                token,
                may_have_run: verdict == Verdict::MayHaveRun,
            }),
            (Source::Once, verdict) => {
                let attempts = self.node.replica().attempts();
                self.once.appended(token, verdict, attempts);
            }
            (Source::Suspects, verdict) => self.suspects.appended(token, verdict),
        }
    }

    fn on_instances(&mut self, list: &InstanceList) {
        let own = &self.parts.settings.instance;
        let others = list.instances.iter().filter(|i| i.name != *own);
        self.parties = others
            .map(|i| Party {
                name: i.name.clone(),
                kind: i.kind,
                control: i.control,
            })
            .collect();
        let addrs: Vec<_> = self.parties.iter().map(|p| p.control).collect();
        self.parts.clients.retain(|addr| addrs.contains(&addr));
        self.next.upstreams = upstreams::merge(&self.next.upstreams, list);
        self.stale.view = true;
        self.next.peers = self.peers().cloned().collect();
        let peers = self.peers().map(|p| p.name.clone()).collect();
        self.feed(Event::Peers(peers));
    }

    pub(super) fn peers(&self) -> impl Iterator<Item = &Party> {
        let is_peer = |p: &&Party| p.kind == InstanceKind::Gateway;
        self.parties.iter().filter(is_peer)
    }

    /// Publishes what has changed and opens the gate for keyed requests.
    fn settle(&mut self) {
        // Whoever is answered below must find the view that the answer rests on.
        self.publish();
        self.perform_once();
        self.perform_suspects();
        self.publish();
        self.open_gate();
        let is_idle = self.once.is_empty();
        let is_over =
            self.may_exit && is_idle && self.node.is_flushed() && self.parts.tally.is_empty();
        if is_over && let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
    }

    fn publish(&mut self) {
        let stale = std::mem::take(&mut self.stale);
        if stale == Stale::default() {
            return;
        }
        let replica = self.node.replica();
        let view = &mut self.next;
        view.is_started = self.node.is_started();
        view.newer = replica.first_newer_schema();
        if stale.keys {
            view.keys = Arc::new(replica.keys().clone());
        }
        let instance = &self.parts.settings.instance;
        let is_asked = |since| replica.drains().is_requested(instance, since);
        view.is_drained = self.started_at.is_some_and(is_asked);
        if stale.config {
            self.apply_config();
        }
        if stale.suspects {
            let replica = self.node.replica().quarantine();
            self.next.suspects = Arc::new(self.suspects.known(replica));
        }
        self.view.send_replace(Arc::new(self.next.clone()));
    }

    fn apply_config(&mut self) {
        let config = self.node.replica().config();
        let Some(base) = config.base() else {
            return;
        };
        let overlay = config.overlay(&self.parts.settings.site);
        let offset = config.last();
        match parse_site(&base.text, overlay.map(|o| &*o.text)) {
            Ok(site) => {
                self.node.set_windows(WindowTiming {
                    window_ms: site.usage.window_s.saturating_mul(1_000),
                    grace_ms: site.usage.grace_s.saturating_mul(1_000),
                });
                self.next.site = Some(Arc::new(site));
                self.next.config = offset;
                self.next.config_rejected = None;
                tracing::info!(event = "config_applied", offset = offset.map(|o| o.0));
            }
            Err(e) => {
                let error = e.current_context();
                tracing::error!(event = "config_rejected", offset = offset.map(|o| o.0), %error);
                self.next.config_rejected = offset;
            }
        }
    }

    fn open_gate(&self) {
        let now = self.parts.clock.now();
        let freshness = self.node.freshness();
        let until = match freshness.head_read_age(now) {
            _ if !freshness.may_serve_keyed(now) => MonotonicTime::default(),
            Some(age) if age < ISOLATED_AFTER => now.plus(ISOLATED_AFTER.saturating_sub(age)),
            _ => now.plus(OUTAGE_VOUCHED),
        };
        self.parts.gate.open_until(until);
        self.parts.gate.set_log_readable(freshness.is_fresh(now));
    }

    pub(super) fn log_status(&self) -> LogStatus {
        status_of(self.node.view(self.parts.clock.now()))
    }

    fn status(&self) -> Status {
        Status {
            log: self.log_status(),
            freshness: self.node.freshness().state().into(),
            leases: self.node.leases(self.parts.clock.now()).collect(),
            crashes: self.suspects.unlogged(),
            exclusive: self.suspects.exclusive(),
        }
    }
}

fn text_of(entry: &Entry) -> node::Entry {
    (entry.offset, entry.record.get().into())
}
