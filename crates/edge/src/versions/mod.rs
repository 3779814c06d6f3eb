//! Software versions with which streams began. A stream is only continued at the version that began
//! it.
//!
//! An instance knows the origins of the streams that it carries, and of those that it keeps copies
//! of. For any other stream it needs a proof that one version alone can have begun it: its knowledge
//! of the versions is complete, and the list of instances, or the versions in use, were read after
//! the caller had taken the stream up. Otherwise the instances that keep copies are asked, and then
//! the store, which has the origins of streams that were open while several versions were known.

mod ask;
mod held;
mod log;
mod proof;
mod replicate;
mod store;
mod waits;

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_policy::edge::origin_log::UnwrittenOrigins;
use nutmegbay_policy::edge::software_versions::{
    MAX_CALLER_WAIT, StoredVersion, TakeUpBounds, VersionHistory, VersionTag,
};
use nutmegbay_policy::edge::stream_origins::{
    AgedOrigins, AttemptTag, Origin, OriginNews, ServiceTag, StreamOrigins,
};
use nutmegbay_policy::edge::version_news::VersionNews;
use serde::{Deserialize, Serialize};
use strum::IntoStaticStr;
use tokio::sync::{Notify, Semaphore};
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64;

use crate::clock::millis;
use crate::list_demand::PROOF_TIMEOUT;
use crate::model::Service;
use crate::platform_api::{Store, WireCodec};
use crate::state::EdgeState;

pub use ask::{ORIGIN_PATH, answer};
pub use held::{held_versions, is_held, take_into_use};
pub use log::record_complete;
pub use replicate::{is_about_origins, leave, receive, send_copies, take_copies, update_members};
pub use waits::{merge_waits, record_caller_wait};

use proof::{first_some, only_version};
use replicate::ReplicaPeers;
use waits::WaitNews;

/// Age from which the list of instances is out of date: other instances may use upstreams that it
/// lacks.
const MAX_LIST_AGE: Duration = Duration::from_secs(4);

/// Time between two checks for versions that are no longer in use and for a list that is out of
/// date.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Time that a read of the list gets before peers are asked as well.
const PROOF_HEAD_START: Duration = Duration::from_millis(50);

/// Maximum number of streams about which peers are asked at the same time.
const MAX_QUESTIONS: usize = 32;

/// Software versions and origins of streams known to this process.
pub struct Versions {
    by_service: BTreeMap<Box<str>, ServiceVersions>,
    origins: StreamOrigins,
    peers: ReplicaPeers,
    /// Origins that are to be written to the store.
    unwritten: UnwrittenOrigins,
    /// Notified when origins are to be read from the store.
    origins_wanted: Rc<Notify>,
    /// Start of the last read of origins from the store.
    origins_read_at: Option<MonotonicTime>,
    version_news: VersionNews,
    wait_news: WaitNews,
    /// Whether the whole list of instances was received once.
    has_list: bool,
    /// Notified when the versions may have to be read from the store or written to it.
    changed: Rc<Notify>,
    /// Earliest start of a read of the versions in use for which a proof waits.
    read_wanted: Option<MonotonicTime>,
    questions: Rc<Semaphore>,
}

impl Default for Versions {
    fn default() -> Self {
        Self {
            by_service: BTreeMap::new(),
            origins: StreamOrigins::default(),
            peers: ReplicaPeers::default(),
            unwritten: UnwrittenOrigins::default(),
            origins_wanted: Rc::default(),
            origins_read_at: None,
            version_news: VersionNews::default(),
            wait_news: WaitNews::default(),
            has_list: false,
            changed: Rc::default(),
            read_wanted: None,
            questions: Rc::new(Semaphore::new(MAX_QUESTIONS)),
        }
    }
}

impl Versions {
    /// Returns the notification that is sent when the versions may have to be read from the store
    /// or written to it.
    pub fn changed(&self) -> Rc<Notify> {
        Rc::clone(&self.changed)
    }

    /// Returns the versions in use that are due to be told to all instances.
    pub fn take_version_news(&mut self) -> Vec<OriginNews> {
        self.version_news.take().map(OriginNews::in_use).collect()
    }

    /// Number of streams whose version is known.
    pub fn known_origins(&self) -> usize {
        self.origins.len()
    }

    fn tagged(&mut self, service: ServiceTag) -> Option<&mut ServiceVersions> {
        self.by_service.values_mut().find(|s| s.tag == service)
    }

    /// Records versions that a peer knows.
    fn record_told(&mut self, service: ServiceTag, told: &[StoredVersion], now: MonotonicTime) {
        self.update(service, now, |known| {
            let before = known.history.len();
            known.history.record_told(told, now);
            known.history.len() > before
        });
    }

    /// Applies `change` to the history of a service. Returns whether another version is in use
    /// after it, or may be.
    fn update(
        &mut self,
        service: ServiceTag,
        now: MonotonicTime,
        change: impl FnOnce(&mut ServiceVersions) -> bool,
    ) -> bool {
        let Some(known) = self.tagged(service) else {
            return true;
        };
        let was_mixed = known.history.is_mixed();
        let has_new = change(known);
        let is_mixed = known.history.is_mixed();
        if was_mixed != is_mixed || has_new {
            tracing::info!(
                event = "software_versions",
                service = %known.name,
                versions = known.history.len(),
                held = known.history.held().count(),
                complete = known.history.is_complete(),
                mixed = is_mixed,
                observed_ms = millis(known.history.observed_for(now)),
            );
        }
        is_mixed
    }
}

/// Software versions of one service.
struct ServiceVersions {
    name: Box<str>,
    tag: ServiceTag,
    history: VersionHistory,
    /// Longest bounds since the service is known: a stream may have begun before a change of the
    /// configuration.
    bounds: TakeUpBounds,
    /// Time since which no route leads to resumable streams of the service.
    unrouted_since: Option<MonotonicTime>,
    /// Time at which a wait until listed versions are taken into use was last in vain.
    take_failed_at: Option<MonotonicTime>,
}

impl ServiceVersions {
    fn new(name: &str) -> Self {
        Self {
            name: name.into(),
            tag: service_tag(name),
            history: VersionHistory::default(),
            bounds: TakeUpBounds::default(),
            unrouted_since: None,
            take_failed_at: None,
        }
    }

    fn retention(&self) -> Duration {
        self.bounds.retention()
    }

    /// Returns the versions that the store has to name, together with those in `stored`.
    fn merged(&self, stored: &[StoredVersion], now: MonotonicTime) -> Vec<StoredVersion> {
        self.history.merged(stored, self.retention(), now)
    }

    /// Returns whether none of the service's streams can be taken up any more.
    fn is_forgotten(&self, now: MonotonicTime) -> bool {
        let since = self.unrouted_since;
        let retention = self.retention().min(MAX_CALLER_WAIT);
        since.is_some_and(|since| now.since(since) >= retention)
    }
}

/// Returns the tag of a version's name.
pub fn version_tag(name: &str) -> VersionTag {
    VersionTag(xxh3_64(name.as_bytes()) as u32)
}

fn service_tag(name: &str) -> ServiceTag {
    ServiceTag(xxh3_64(name.as_bytes()) as u32)
}

fn attempt_tag(id: &str) -> AttemptTag {
    AttemptTag(xxh3_64(id.as_bytes()))
}

/// Records that a stream of this process began with `attempt`, or that its caller took it up.
pub fn record_origin<D: WireCodec>(
    state: &EdgeState<D>,
    service: &str,
    attempt: &str,
    version: VersionTag,
) {
    let now = state.now();
    let origin = Origin {
        service: service_tag(service),
        version,
    };
    let mut versions = state.versions.borrow_mut();
    let is_mixed = versions.update(origin.service, now, |known| {
        known.history.record_used(version, now)
    });
    let attempt = attempt_tag(attempt);
    versions.origins.record_own(attempt, origin, now);
    versions.unwritten.record(attempt, origin, now);
    if is_mixed {
        versions.version_news.record(origin, now);
        state.fleet.borrow().load_changed.notify_one();
    }
}

/// Records a version as stated by an entry of the list of instances. The entry may change again
/// within the same read.
pub fn record_entry<D: WireCodec>(state: &EdgeState<D>, service: &str, version: &str) {
    let now = state.now();
    let mut versions = state.versions.borrow_mut();
    versions.update(service_tag(service), now, |known| {
        known.history.record_entry(version_tag(version), now)
    });
}

/// Records that records of the list of instances were missed.
pub fn record_list_gap<D: WireCodec>(state: &EdgeState<D>) {
    let now = state.now();
    let mut versions = state.versions.borrow_mut();
    let tags: Vec<_> = versions
        .by_service
        .values()
        .map(|known| known.tag)
        .collect();
    for tag in tags {
        versions.update(tag, now, |known| {
            known.history.record_gap();
            false
        });
    }
}

/// Records the versions of the known upstreams, and drops what is no longer needed. To be called
/// after each update of the list of instances.
pub fn record_listed<D: WireCodec>(state: &EdgeState<D>) {
    let Some(table) = state.routes.borrow().clone() else {
        return;
    };
    let now = state.now();
    let bounds = state.settings().bounds;
    let list_age = {
        let known_records = state.known_records.borrow();
        let mut versions = state.versions.borrow_mut();
        versions.has_list |= known_records.instances_next.is_some();
        versions.has_list.then(|| known_records.instances_age(now))
    };
    let is_current = list_age.is_some_and(|age| age < MAX_LIST_AGE);
    let fleet = state.fleet.borrow();
    let mut versions = state.versions.borrow_mut();
    for (service, timeout) in table.stream_timeouts() {
        if !versions.by_service.contains_key(service) {
            let known = ServiceVersions::new(service);
            versions.by_service.insert(service.into(), known);
        }
        versions.update(service_tag(service), now, |known| {
            let taken_up = &mut known.bounds;
            taken_up.drain = taken_up.drain.max(bounds.drain);
            taken_up.timeout = taken_up.timeout.max(timeout);
            let listed = fleet.listed_versions(service);
            let has_new = known.history.record_listed(listed, is_current, now);
            known.history.sweep(known.bounds.retention(), now);
            has_new
        });
    }
    for known in versions.by_service.values_mut() {
        if table.stream_timeout(&known.name).is_some() {
            known.unrouted_since = None;
        } else {
            known.unrouted_since.get_or_insert(now);
        }
    }
    versions
        .by_service
        .retain(|_, known| !known.is_forgotten(now));
    let retentions = versions.by_service.values().map(ServiceVersions::retention);
    let longest = retentions.max().unwrap_or_default();
    versions.origins.sweep(longest, now);
    versions.unwritten.sweep(longest, now);
    versions.changed.notify_one();
}

/// Keeps the versions up to date, also while the list is not updated, for as long as the process
/// runs.
pub async fn run<D: WireCodec, S: Store>(state: Rc<EdgeState<D>>, store: S) {
    let check = async {
        loop {
            sleep(CHECK_INTERVAL).await;
            record_listed(&state);
        }
    };
    tokio::join!(
        check,
        store::synchronize(Rc::clone(&state), store.clone()),
        log::write(Rc::clone(&state), store.clone()),
        log::read_on_demand(Rc::clone(&state), store)
    );
}

/// Applies news of a peer: versions in use, and copies of origins. `is_relay` states whether this
/// process passes the former on.
pub fn merge_news<D: WireCodec>(state: &EdgeState<D>, news: Vec<OriginNews>, is_relay: bool) {
    let now = state.now();
    for news in news {
        let Origin { service, version } = news.origin;
        let mut versions = state.versions.borrow_mut();
        versions.update(service, now, |known| {
            known.history.record_used(version, now)
        });
        if news.has_streams() {
            versions.origins.merge(&AgedOrigins { age_s: 0, news }, now);
        } else if is_relay && versions.version_news.record(news.origin, now) {
            state.fleet.borrow().load_changed.notify_one();
        }
    }
}

/// Versions of one service that may have begun streams, as sent between instances.
#[derive(Debug, Serialize, Deserialize)]
pub struct KnownVersions {
    service: ServiceTag,
    versions: Vec<StoredVersion>,
}

impl Versions {
    /// Returns the versions of all services.
    pub fn report(&self, now: MonotonicTime) -> Vec<KnownVersions> {
        let report = self.by_service.values().map(|known| KnownVersions {
            service: known.tag,
            versions: known.history.snapshot(now).collect(),
        });
        report.collect()
    }
}

/// Records the versions that a peer knows.
pub fn merge_known<D: WireCodec>(state: &EdgeState<D>, told: &[KnownVersions]) {
    let now = state.now();
    let mut versions = state.versions.borrow_mut();
    for KnownVersions {
        service,
        versions: told,
    } in told
    {
        versions.record_told(*service, told, now);
    }
}

/// How this process knows the version that began a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
enum Source {
    /// It carried the stream.
    Own,
    /// It keeps a copy of the origin.
    Copy,
    /// No other version can have begun it.
    Only,
    /// A peer answered a question.
    Peer,
    /// The store has the origin.
    Store,
    /// It does not know the version.
    Unknown,
}

/// Stream that a caller takes up.
#[derive(Debug, Clone, Copy)]
pub struct TakenUp<'a> {
    /// Service that serves the request.
    pub service: &'a Service,
    /// Attempt that brought the first event, if the caller names it.
    pub attempt: Option<&'a str>,
    /// Time at which the request was read.
    pub read_at: MonotonicTime,
}

/// Returns the version at which a stream may be continued, or `None` if it is not known.
pub async fn version_to_continue<D: WireCodec>(
    state: &Rc<EdgeState<D>>,
    taken_up: TakenUp<'_>,
) -> Option<VersionTag> {
    let TakenUp {
        service,
        attempt,
        read_at,
    } = taken_up;
    let asked_at = state.now();
    let tag = attempt.map(attempt_tag);
    let service_tag = service_tag(&service.name);
    let mut known = known_origin(state, tag);
    if known.is_none() {
        known = find_origin(state, service_tag, tag, read_at).await;
    }
    let now = state.now();
    let (source, version, age) = match known {
        Some((source, version, age)) => (source, Some(version), age),
        None => (Source::Unknown, None, now.since(asked_at)),
    };
    let list_read_at = state.known_records.borrow().instances_read_at;
    let versions = state.versions.borrow();
    let known = versions.by_service.get(&service.name);
    tracing::info!(
        event = "stream_taken_up",
        attempt = attempt.unwrap_or_default(),
        service = %service.name,
        version = version.map(|version| version.0),
        source = <&str>::from(source),
        versions = known.map(|known| known.history.len()),
        complete = known.is_some_and(|known| known.history.is_complete()),
        age_ms = millis(age),
        list_age_ms = list_read_at.map(|at| millis(now.since(at))),
        caller_wait_ms = known.and_then(|known| known.bounds.caller_wait).map(millis),
        waited_ms = millis(now.since(asked_at)),
    );
    version
}

/// Finds the version that began a stream which this process did not carry and keeps no copy of.
async fn find_origin<D: WireCodec>(
    state: &Rc<EdgeState<D>>,
    service: ServiceTag,
    attempt: Option<AttemptTag>,
    read_at: MonotonicTime,
) -> Option<(Source, VersionTag, Duration)> {
    let proved = async {
        let only = only_version(state, service, read_at).await?;
        Some((Source::Only, only, state.now().since(read_at)))
    };
    let asked = async {
        // The proof costs the peers nothing.
        if is_only_known(state, service) {
            sleep(PROOF_HEAD_START).await;
        }
        let version = ask::ask(state, service, attempt).await?;
        Some((Source::Peer, version, state.now().since(read_at)))
    };
    if let Some(found) = first_some(proved, asked).await {
        return Some(found);
    }
    let known = known_origin(state, attempt);
    if known.is_some() || attempt.is_none() {
        return known;
    }
    log::confirm_origins(state, service, read_at, PROOF_TIMEOUT).await;
    let (_, version, age) = known_origin(state, attempt)?;
    Some((Source::Store, version, age))
}

fn is_only_known<D: WireCodec>(state: &EdgeState<D>, service: ServiceTag) -> bool {
    let mut versions = state.versions.borrow_mut();
    let known = versions.tagged(service);
    known.is_some_and(|known| known.history.only().is_some())
}

/// Returns the origin of a stream that this process carried or keeps a copy of, and the age of that
/// knowledge.
fn known_origin<D: WireCodec>(
    state: &EdgeState<D>,
    attempt: Option<AttemptTag>,
) -> Option<(Source, VersionTag, Duration)> {
    let versions = state.versions.borrow();
    let known = versions.origins.origin(attempt?, state.now())?;
    let source = if known.is_own {
        Source::Own
    } else {
        Source::Copy
    };
    Some((source, known.version, known.age))
}
