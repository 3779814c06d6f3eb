//! Known upstreams with their load, health and idle connections.

mod accounts;
mod costs;
mod digests;
mod in_flight;
mod limits;
mod memory;
mod paces;
mod placement;
mod slots;
mod versions;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_policy::UpstreamKey;
use nutmegbay_policy::edge::account_shares::AccountShares;
use nutmegbay_policy::edge::engine_pace::EnginePace;
use nutmegbay_policy::edge::exchange::{LoadExchange, PrefixBlockUse};
use nutmegbay_policy::edge::health::{Health, Outcome};
use nutmegbay_policy::edge::limit_owners::LimitOwners;
use nutmegbay_policy::edge::link::LinkQueue;
use nutmegbay_policy::edge::load::{QueueAhead, UpstreamLoad};
use nutmegbay_policy::edge::notices::{KeptNotices, Notices};
use nutmegbay_policy::edge::placement::EnginePhase;
use nutmegbay_policy::edge::prefill_rate::PrefillRate;
use nutmegbay_policy::edge::prefixes::PrefixLocations;
use nutmegbay_policy::edge::software_versions::VersionTag;
use nutmegbay_policy::edge::upstream_limit::UpstreamLimit;
use nutmegbay_policy::edge::upstream_memory::{HeldElsewhere, MemoryEstimate};
use nutmegbay_policy::edge::urgency::Urgency;
use slotmap::SlotMap;
use tokio::sync::Notify;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::http1::{Connection, IdleConnections};
use crate::members::member_hash;
use crate::model::{EngineRole, InstanceReport, ModelWork};
use crate::versions::version_tag;

pub use accounts::ServiceReport;
use costs::{INITIAL_MEAN_MS, ServiceCosts, costs_mut};
pub use in_flight::{Demand, InFlightSend, PrefillWait};
pub use memory::MemoryNews;
use memory::UpstreamBodies;
pub use placement::ModelRequest;
pub use slots::SlotClaim;

/// Number of output tokens from which an answer is a long stream. A batch step produces one token
/// in under a millisecond, so such a stream runs for a second or more.
const LONG_STREAM_TOKENS: u32 = 1_024;

/// Maximum number of idle connections kept to one upstream. The upstream's own limit is shared by
/// all instances.
const MAX_IDLE_CONNECTIONS: usize = 32;

/// An upstream as this process sees it.
pub struct Upstream {
    /// Key of the upstream's entry in the list of instances.
    pub id: Box<str>,
    /// Its entry in the list of instances.
    pub report: InstanceReport,
    /// Version of its software.
    version: VersionTag,
    /// Estimate of the work queued at the upstream.
    pub load: UpstreamLoad,
    /// Health, as observed by this process's requests.
    pub health: Health,
    /// Number of this process's long streams at the upstream.
    streams: u32,
    /// Limit that it states on its requests.
    limit: UpstreamLimit,
    /// What it has stated about further requests.
    notices: Notices,
    /// What it has stated about the time that work takes.
    pace: EnginePace,
    /// Whether a statement about that time that cannot be used was logged.
    has_unusable_pace: bool,
    /// Request bodies that it holds.
    bodies: UpstreamBodies,
    /// Whether a refused connection has shown that the start in the entry has ended.
    has_ended: bool,
    /// Idle connections.
    idle: IdleConnections,
    /// Hash of the id, for rankings on which all instances agree.
    hash: u64,
    domain: u32,
    /// End of the grace period if the upstream's entry expired while the store was unavailable. The
    /// upstream is used until then.
    expiry_grace_until: Option<MonotonicTime>,
}

impl Upstream {
    /// Returns the engine's phase. An upstream without a role serves whole requests.
    fn phase(&self) -> EnginePhase {
        match self.report.role {
            Some(EngineRole::Prefill) => EnginePhase::Prefill,
            _ => EnginePhase::Decode,
        }
    }

    /// Returns the short id that identifies the upstream in load digests.
    fn tag(&self) -> u32 {
        self.hash as u32
    }

    /// Returns a hash that identifies this incarnation of the upstream.
    pub fn incarnation(&self) -> u64 {
        let start = xxh3_64_with_seed(
            self.id.as_bytes(),
            self.report.started_ms.unwrap_or_default(),
        );
        xxh3_64_with_seed(self.report.version.as_bytes(), start)
    }
}

/// All known upstreams, and what their requests cost.
pub struct Fleet {
    upstreams: SlotMap<UpstreamKey, Upstream>,
    by_id: BTreeMap<Box<str>, UpstreamKey>,
    by_service: HashMap<Box<str>, Vec<UpstreamKey>>,
    by_tag: HashMap<u32, UpstreamKey>,
    costs: HashMap<Box<str>, ServiceCosts>,
    prefix_locations: PrefixLocations,
    domains: Vec<Box<str>>,
    own_domain: u32,
    /// Ended incarnations that [`Self::take_ended_incarnations`] has not returned yet.
    ended_incarnations: Vec<u64>,
    /// Queue on this process's own network link.
    link: LinkQueue,
    /// Work of other instances, from their load digests.
    exchange: LoadExchange<SocketAddr>,
    /// Number of other instances considered alive.
    other_instances: usize,
    /// Instances among which the limits of upstreams are divided.
    limit_owners: LimitOwners,
    /// Hash of the name of this instance.
    own_hash: u64,
    /// Request bodies that other instances have sent.
    held_elsewhere: HeldElsewhere,
    /// Number of the last statement of this instance about bodies.
    held_sequence: u32,
    /// Memory of upstreams, by service.
    memory: HashMap<Box<str>, MemoryEstimate>,
    /// Notices of upstreams that were removed.
    kept_notices: KeptNotices,
    /// Shares of the client accounts, by service. Empty unless accounts compete for room.
    account_shares: HashMap<Box<str>, AccountShares<SocketAddr>>,
    /// Time at which reports of accounts' work were last sent.
    reports_sent_at: Option<MonotonicTime>,
    /// Time of the last log line about an account that is beyond its part.
    part_logged_at: Option<MonotonicTime>,
    /// Notified when this process's load has changed and a digest should be sent.
    pub load_changed: Rc<Notify>,
}

impl Fleet {
    /// Creates a fleet without upstreams, for the process `node` in failure domain `domain` with a
    /// network link of `link_mbps` megabits per second.
    pub fn new(node: &str, domain: &str, link_mbps: Option<f64>) -> Self {
        Self {
            upstreams: SlotMap::with_key(),
            by_id: BTreeMap::new(),
            by_service: HashMap::new(),
            by_tag: HashMap::new(),
            costs: HashMap::new(),
            prefix_locations: PrefixLocations::default(),
            domains: vec![domain.into()],
            own_domain: 0,
            ended_incarnations: Vec::new(),
            link: LinkQueue::new(link_mbps),
            exchange: LoadExchange::default(),
            other_instances: 0,
            limit_owners: LimitOwners::new(member_hash(node)),
            own_hash: member_hash(node),
            held_elsewhere: HeldElsewhere::default(),
            held_sequence: 0,
            memory: HashMap::new(),
            kept_notices: KeptNotices::default(),
            account_shares: HashMap::new(),
            reports_sent_at: None,
            part_logged_at: None,
            load_changed: Rc::default(),
        }
    }

    /// Applies an entry of the list of instances. Returns whether it is more than a heartbeat.
    pub fn apply_report(&mut self, id: &str, report: InstanceReport, now: MonotonicTime) -> bool {
        if let Some(key) = self.by_id.get(id).copied()
            && let Some(upstream) = self.upstreams.get_mut(key)
        {
            let is_same = upstream.report.started_ms == report.started_ms
                && upstream.report.addr == report.addr
                && upstream.report.service == report.service
                && upstream.report.version == report.version;
            if is_same {
                let is_change = upstream.report != report || upstream.expiry_grace_until.is_some();
                if upstream.report.is_ready != report.is_ready
                    || upstream.report.role != report.role
                    || upstream.expiry_grace_until.is_some()
                {
                    tracing::info!(
                        event = "upstream_changed",
                        upstream = id,
                        ready = report.is_ready,
                        role = report.role.map(<&str>::from),
                        lapsed = upstream.expiry_grace_until.is_some(),
                    );
                }
                upstream.expiry_grace_until = None;
                upstream.report = report;
                return is_change;
            }
            self.remove(id, "restarted", now);
        }
        tracing::info!(
            event = "upstream_added",
            upstream = id,
            service = %report.service,
            addr = %report.addr,
            ready = report.is_ready,
            role = report.role.map(<&str>::from),
            version = %report.version,
        );
        let domain = self.domain(&report.domain);
        let service = report.service.clone();
        let key = self.upstreams.insert(Upstream {
            id: id.into(),
            version: version_tag(&report.version),
            hash: xxh3_64(id.as_bytes()),
            domain,
            load: UpstreamLoad::new(INITIAL_MEAN_MS),
            health: Health::default(),
            streams: 0,
            limit: UpstreamLimit::default(),
            notices: self.kept_notices.take(id, report.started_ms),
            pace: EnginePace::default(),
            has_unusable_pace: false,
            bodies: UpstreamBodies::default(),
            has_ended: false,
            idle: IdleConnections::new(MAX_IDLE_CONNECTIONS),
            expiry_grace_until: None,
            report,
        });
        self.by_tag.insert(self.upstreams[key].tag(), key);
        self.by_id.insert(id.into(), key);
        self.by_service.entry(service).or_default().push(key);
        true
    }

    /// Removes an upstream whose entry is gone. Returns whether the upstream was known.
    pub fn remove(&mut self, id: &str, reason: &'static str, now: MonotonicTime) -> bool {
        let Some(key) = self.by_id.remove(id) else {
            return false;
        };
        tracing::info!(event = "upstream_removed", upstream = id, reason);
        let Some(upstream) = self.upstreams.remove(key) else {
            return false;
        };
        self.by_tag.remove(&upstream.tag());
        self.ended_incarnations.push(upstream.incarnation());
        self.kept_notices
            .keep(id, upstream.report.started_ms, upstream.notices, now);
        if let Some(keys) = self.by_service.get_mut(&upstream.report.service) {
            keys.retain(|other| *other != key);
        }
        true
    }

    /// Returns the upstream incarnations that have ended since the last call.
    pub fn take_ended_incarnations(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.ended_incarnations)
    }

    /// Starts the grace period of an upstream whose entry expired while the store was unavailable.
    /// The upstream is used until `until` unless its entry returns earlier.
    pub fn start_expiry_grace(&mut self, id: &str, until: MonotonicTime) {
        let upstream = self
            .by_id
            .get(id)
            .and_then(|key| self.upstreams.get_mut(*key));
        if let Some(upstream) = upstream
            && upstream.expiry_grace_until.is_none()
        {
            tracing::info!(event = "upstream_lapsed", upstream = id);
            upstream.expiry_grace_until = Some(until);
        }
    }

    /// Removes upstreams whose grace period is over, and drops idle connections that are no longer
    /// usable.
    pub fn sweep(&mut self, now: MonotonicTime) {
        let expired: Vec<_> = self
            .upstreams
            .values()
            .filter(|upstream| {
                let until = upstream.expiry_grace_until;
                until.is_some_and(|until| now >= until)
            })
            .map(|upstream| upstream.id.clone())
            .collect();
        for id in expired {
            self.remove(&id, "not back after the store's return", now);
        }
        for upstream in self.upstreams.values_mut() {
            upstream.idle.sweep();
        }
    }

    /// Returns the ids of all upstreams.
    pub fn ids(&self) -> Vec<Box<str>> {
        self.by_id.keys().cloned().collect()
    }

    /// Returns the entry of an upstream in the list of instances, or `None` if it is not known.
    pub fn report(&self, id: &str) -> Option<&InstanceReport> {
        let key = self.by_id.get(id)?;
        Some(&self.upstreams.get(*key)?.report)
    }

    /// Returns the upstream of a key, or `None` if it was removed.
    pub fn get(&self, key: UpstreamKey) -> Option<&Upstream> {
        self.upstreams.get(key)
    }

    /// Returns the mean time of a request to a plain service, in milliseconds.
    pub fn mean_ms(&self, service: &str) -> f64 {
        self.costs
            .get(service)
            .map_or(INITIAL_MEAN_MS, |costs| costs.mean_ms)
    }

    /// Returns the predicted time until a prompt of `service` is prefilled, in milliseconds, from
    /// the work that is pending.
    pub fn pending_wait_ms(
        &self,
        service: &str,
        demand: Demand,
        instances: usize,
        now: MonotonicTime,
    ) -> f64 {
        let Some(costs) = self.costs.get(service) else {
            return 0.0;
        };
        let Demand {
            urgency, cost_ms, ..
        } = demand;
        let engines = self.service_keys(service).count() as f64 / instances.max(1) as f64;
        costs.pending_work.wait_ms(now, urgency, cost_ms, engines)
    }

    /// Returns the lateness of recent requests, in milliseconds, that predictions for whole or
    /// split requests include.
    pub fn lateness_ms(
        &self,
        service: &str,
        is_split: bool,
        urgency: Urgency,
        now: MonotonicTime,
    ) -> f64 {
        let costs = self.costs.get(service);
        costs.map_or(0.0, |costs| costs.mean_lateness(is_split, urgency).ms(now))
    }

    /// Records that the first result of a whole or split model request came `late_ms` after the sum
    /// of the upstreams' predicted work.
    pub fn record_lateness(
        &mut self,
        service: &str,
        is_split: bool,
        urgency: Urgency,
        late_ms: f64,
        now: MonotonicTime,
    ) {
        let costs = costs_mut(&mut self.costs, service);
        let mean_ms = costs.request_ms;
        costs
            .mean_lateness_mut(is_split, urgency)
            .record_observation(now, late_ms, mean_ms);
    }

    /// Records the duration of a plain request, in milliseconds.
    pub fn record_plain_request(&mut self, service: &str, ms: f64) {
        costs_mut(&mut self.costs, service).record_plain_request(ms);
    }

    /// Records the duration of a prefill of `tokens` uncached tokens.
    pub fn record_prefill(&mut self, service: &str, tokens: u32, took: Duration) {
        let costs = costs_mut(&mut self.costs, service);
        costs
            .prefill_rate
            .record_prefill(tokens, took.as_secs_f64() * 1e3);
    }

    /// Returns the work queued ahead of a new request at an upstream. Until enough other instances
    /// have sent digests, it is estimated from the load in responses and from `typical_requests`,
    /// the typical number of other instances' requests.
    fn ahead(
        &self,
        upstream: &Upstream,
        urgency: Urgency,
        typical_requests: f64,
        now: MonotonicTime,
    ) -> QueueAhead {
        let Some(known) = self.reporting_instances() else {
            return upstream.load.ahead(urgency, now, typical_requests);
        };
        // Instances without a digest are assumed to have as much work as those with one.
        let scale = self.other_instances.max(known) as f64 / known as f64;
        let work = self.exchange.work(upstream.tag());
        let pending_ms = self.others_pending_ms(upstream, urgency) * scale;
        let requests = f64::from(work.requests) * scale;
        upstream.load.ahead_of(urgency, now, pending_ms, requests)
    }

    /// Returns the engine time of reporting instances' requests that an upstream serves before a new
    /// one, in milliseconds.
    fn others_pending_ms(&self, upstream: &Upstream, urgency: Urgency) -> f64 {
        let work = self.exchange.work(upstream.tag());
        work.pending_ms.ahead_of(urgency).map(f64::from).sum()
    }

    /// Returns the estimated number of requests at an upstream of a plain service.
    fn requests_ahead(&self, upstream: &Upstream, now: MonotonicTime) -> f64 {
        let typical_requests = self.typical_requests(upstream);
        let ahead = self.ahead(upstream, Urgency::default(), typical_requests, now);
        ahead.requests
    }

    /// Returns the number of other instances' requests that an upstream of this kind usually has.
    fn typical_requests(&self, upstream: &Upstream) -> f64 {
        let costs = self.costs.get(&upstream.report.service);
        costs.map_or(0.0, |costs| costs.typical_requests(upstream.phase()).get())
    }

    /// Records the load that an upstream's response reports. It counts towards the typical load
    /// only with `is_typical_sample`, that is, if the request was prefilled there: an engine on
    /// which long streams are consolidated says nothing about the load of the others.
    fn record_reported_load(
        &mut self,
        key: UpstreamKey,
        requests: u32,
        is_typical_sample: bool,
        now: MonotonicTime,
    ) {
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        let other_requests = upstream.load.record_report(now, requests);
        if is_typical_sample {
            let costs = costs_mut(&mut self.costs, &upstream.report.service);
            costs
                .typical_requests_mut(upstream.phase())
                .record(now, other_requests);
        }
    }

    /// Records that `bytes` of a request are being sent over this process's link.
    pub fn record_sent_bytes(&mut self, bytes: usize, now: MonotonicTime) {
        self.link.enqueue(now, bytes);
    }

    /// Records that an engine holds the shared prefix blocks of `work` from now on.
    pub fn record_prefix_use(&mut self, work: &ModelWork, key: UpstreamKey, now: MonotonicTime) {
        let upstream = self.upstreams.get(key);
        if let Some((block, upstream)) = work.shared_blocks().last().zip(upstream) {
            self.prefix_locations.record_use(block.id, key, now);
            self.exchange.record_use(PrefixBlockUse {
                block: block.id,
                upstream: upstream.tag(),
            });
        }
    }

    /// Records the outcome of a request to an upstream.
    pub fn record_outcome(&mut self, key: UpstreamKey, outcome: Outcome, now: MonotonicTime) {
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        if upstream.health.record(now, outcome) {
            tracing::info!(
                event = "upstream_belief",
                upstream = %upstream.id,
                avoided = upstream.health.is_avoided(now),
                failure_rate = upstream.health.failure_rate(now),
            );
        }
        if outcome == Outcome::Unreachable {
            upstream.idle.clear();
        }
    }

    /// Takes an idle connection to an upstream.
    pub fn take_connection(&mut self, key: UpstreamKey) -> Option<Connection> {
        self.upstreams.get_mut(key)?.idle.take()
    }

    /// Returns a connection to the idle ones for the next request.
    pub fn keep_connection(&mut self, key: UpstreamKey, connection: Connection) {
        if let Some(upstream) = self.upstreams.get_mut(key) {
            upstream.idle.keep(connection);
        }
    }

    fn service_keys(&self, service: &str) -> impl Iterator<Item = UpstreamKey> {
        self.by_service.get(service).into_iter().flatten().copied()
    }

    fn request_ms(&self, service: &str) -> f64 {
        let costs = self.costs.get(service);
        costs.map_or(INITIAL_MEAN_MS, |costs| costs.request_ms)
    }

    fn prefill_rate(&self, service: &str) -> PrefillRate {
        let costs = self.costs.get(service);
        costs.map_or(PrefillRate::new(), |costs| costs.prefill_rate)
    }

    fn domain(&mut self, name: &str) -> u32 {
        let at = self.domains.iter().position(|known| **known == *name);
        let at = at.unwrap_or_else(|| {
            self.domains.push(name.into());
            self.domains.len() - 1
        });
        u32::try_from(at).unwrap_or(u32::MAX)
    }
}

/// Returns whether the answer to `work` is a long stream.
pub fn is_long(work: &ModelWork) -> bool {
    work.output_tokens >= LONG_STREAM_TOKENS
}
