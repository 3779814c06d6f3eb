//! Edge processes that run, their usage counts, and which of them read the store as relays.

mod publish;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use nutmegbay_core::duty::MemberCounts;
use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_core::position::Position;
use nutmegbay_policy::edge::relay::{Relay, relay_count};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::follow::{DependencyStatus, NewestRecords};
use crate::metrics::increment;
use crate::model::KeyedRecord;
use crate::platform_api::{Store, StoreError, Topic, WireCodec};
use crate::settings::EdgeSettings;
use crate::state::EdgeState;

pub use publish::{own_counts, publish};

/// Time between two reads of the member records.
pub const READ_INTERVAL: Duration = Duration::from_secs(8);

/// Time from the first read to the second one. Processes that start at the same time have written
/// their records by then.
const SECOND_READ_DELAY: Duration = Duration::from_secs(2);

/// Time without a new record or an announcement after which another process is considered failed.
/// Records are written several times in a usage window and read every [`READ_INTERVAL`].
const MEMBER_TTL: Duration = Duration::from_secs(20);

/// Record of one process in [`Topic::Members`].
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Control address, if the process has one.
    #[serde(default)]
    pub control: Option<SocketAddr>,
    /// Failure domain.
    #[serde(default)]
    pub domain: Box<str>,
    /// Capacity for relaying, see [`relay_capacity`].
    #[serde(default, rename = "strength")]
    pub relay_capacity: u32,
    /// Usage counts.
    #[serde(default)]
    pub usage: MemberCounts,
}

/// Description of one process, as sent to peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberInfo {
    /// Name of the instance.
    pub name: Box<str>,
    /// Control address, if the process has one.
    pub control: Option<SocketAddr>,
    /// Failure domain.
    pub domain: Box<str>,
    /// Capacity for relaying, see [`relay_capacity`].
    #[serde(rename = "strength")]
    pub relay_capacity: u32,
    /// Position of its record in the store.
    pub position: Position,
}

/// All known processes, including those considered failed.
#[derive(Debug, Default)]
pub struct Members {
    by_name: BTreeMap<Box<str>, Member>,
}

#[derive(Debug)]
struct Member {
    control: Option<SocketAddr>,
    domain: Box<str>,
    relay_capacity: u32,
    /// Hash of the name. It orders members of equal capacity, which mixes the failure domains.
    hash: u64,
    position: Position,
    /// Time at which a new record or an announcement was last received.
    changed_at: MonotonicTime,
}

impl Member {
    /// Returns the sort key of the order that all processes agree on: those with the largest
    /// capacity come first, since the first ones are relays.
    fn sort_key(&self) -> (Reverse<u32>, u64) {
        (Reverse(self.relay_capacity), self.hash)
    }
}

/// Relays, which are the processes that read the store, from the view of one process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelaySet {
    /// Whether this process is a relay.
    pub has_own: bool,
    /// Relays other than this process.
    pub others: Vec<Relay<SocketAddr>>,
}

impl Members {
    /// Records a process that was read from the store or received from a peer. An older record than
    /// the known one is ignored.
    pub fn record(&mut self, info: MemberInfo, now: MonotonicTime) {
        if let Some(known) = self.by_name.get_mut(&info.name) {
            if known.position < info.position {
                let known_era = known.position.era;
                known.control = info.control;
                known.domain = info.domain;
                known.relay_capacity = info.relay_capacity;
                known.position = info.position;
                // A restored store returns records of processes that may have ended since.
                if known_era == info.position.era {
                    known.changed_at = now;
                }
            }
            return;
        }
        tracing::info!(event = "member_found", member = %info.name);
        let member = Member {
            control: info.control,
            domain: info.domain,
            relay_capacity: info.relay_capacity,
            hash: member_hash(&info.name),
            position: info.position,
            changed_at: now,
        };
        self.by_name.insert(info.name, member);
    }

    /// Records that a process announced itself, given the hash of its name. A process that is known
    /// only by its announcements has no record yet.
    pub fn record_announcement(&mut self, hash: u64, now: MonotonicTime) {
        let known = self.by_name.values_mut();
        for member in known.filter(|member| member.hash == hash) {
            member.changed_at = now;
        }
    }

    /// Returns the names of the processes considered alive, without `own`.
    pub fn others(&self, own: &str, now: MonotonicTime) -> impl Iterator<Item = &str> {
        self.alive(own, now).map(|(name, _)| name)
    }

    /// Returns the hashes of the names of the processes considered alive, without `own`.
    pub fn other_hashes(&self, own: &str, now: MonotonicTime) -> impl Iterator<Item = u64> {
        self.alive(own, now).map(|(_, member)| member.hash)
    }

    /// Returns the rank of `own` among the processes considered alive, starting at 0. It is
    /// `usize::MAX` while the record of `own` is unknown.
    pub fn rank(&self, own: &str, now: MonotonicTime) -> usize {
        let Some(own_member) = self.by_name.get(own) else {
            return usize::MAX;
        };
        self.alive(own, now)
            .filter(|(_, member)| member.sort_key() < own_member.sort_key())
            .count()
    }

    /// Returns the relays from the view of `own`.
    pub fn relays(&self, own: &str, now: MonotonicTime) -> RelaySet {
        let mut alive: Vec<_> = self.alive(own, now).map(|(_, member)| member).collect();
        let mut count = relay_count(alive.len() + 1);
        let rank = self.rank(own, now);
        let has_own = rank < count;
        if has_own {
            count -= 1;
        }
        alive.sort_unstable_by_key(|member| member.sort_key());
        alive.truncate(count);
        let own_domain = self.by_name.get(own).map(|member| &member.domain);
        let relay = |member: &Member| {
            Some(Relay {
                key: member.control?,
                is_same_domain: own_domain == Some(&member.domain),
                tie_break: xxh3_64_with_seed(own.as_bytes(), member.hash),
            })
        };
        RelaySet {
            has_own,
            others: alive.into_iter().filter_map(relay).collect(),
        }
    }

    /// Returns the control addresses of all known processes.
    pub fn control_addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.by_name.values().filter_map(|member| member.control)
    }

    /// Returns the control address of each known process that has one, by the hash of its name.
    pub fn addresses(&self) -> impl Iterator<Item = (u64, SocketAddr)> {
        let members = self.by_name.values();
        members.filter_map(|member| Some((member.hash, member.control?)))
    }

    /// Returns the processes considered alive that have a control address, without `own`: the hash
    /// of the name, the failure domain and the address.
    pub fn replicas(
        &self,
        own: &str,
        now: MonotonicTime,
    ) -> impl Iterator<Item = (u64, &str, SocketAddr)> {
        self.alive(own, now)
            .filter_map(|(_, member)| Some((member.hash, &*member.domain, member.control?)))
    }

    /// Returns the position after the newest known record.
    pub fn next_position(&self) -> Position {
        let positions = self.by_name.values().map(|member| member.position);
        positions
            .max()
            .map_or_else(Position::default, Position::next)
    }

    /// Returns the processes whose records were written at `position` or later.
    pub fn changed_since(&self, position: Position) -> impl Iterator<Item = MemberInfo> {
        self.by_name
            .iter()
            .filter(move |(_, member)| member.position >= position)
            .map(|(name, member)| MemberInfo {
                name: name.clone(),
                control: member.control,
                domain: member.domain.clone(),
                relay_capacity: member.relay_capacity,
                position: member.position,
            })
    }

    fn alive(&self, own: &str, now: MonotonicTime) -> impl Iterator<Item = (&str, &Member)> {
        self.by_name
            .iter()
            .filter(move |(name, member)| {
                ***name != *own && now.since(member.changed_at) < MEMBER_TTL
            })
            .map(|(name, member)| (&**name, member))
    }
}

/// Returns the hash of a process name, which identifies the process where names are too long.
pub fn member_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Returns the capacity of an instance for relaying: its fraction of a CPU core in thousandths, or
/// less if its network link is slow. Forwarding digests to ten instances takes about one megabit
/// per second.
pub fn relay_capacity(settings: &EdgeSettings) -> u32 {
    const PER_MBPS: f64 = 2.0;
    let cpu = settings.cpu_share.unwrap_or(1.0) * 1e3;
    let link = settings.link_mbps.unwrap_or(f64::MAX) * PER_MBPS;
    cpu.min(link) as u32
}

/// Reads the records of all processes, and records which processes run.
pub async fn read_members<D: WireCodec, S: Store>(
    state: &EdgeState<D>,
    store: &S,
) -> Result<BTreeMap<Box<str>, MemberRecord>, StoreError> {
    let newest = NewestRecords::read(state, store, Topic::Members).await?;
    Ok(record_members(state, newest.records))
}

fn record_members<D: WireCodec>(
    state: &EdgeState<D>,
    newest: Vec<KeyedRecord>,
) -> BTreeMap<Box<str>, MemberRecord> {
    let now = state.now();
    let mut members = state.members.borrow_mut();
    let mut records = BTreeMap::new();
    for record in newest {
        let Some(value) = &record.value else { continue };
        let decoded: MemberRecord = match serde_json::from_slice(value) {
            Ok(decoded) => decoded,
            Err(error) => {
                tracing::warn!(event = "member_record_unreadable", member = %record.key, %error);
                continue;
            }
        };
        let info = MemberInfo {
            name: record.key.clone(),
            control: decoded.control,
            domain: decoded.domain.clone(),
            relay_capacity: decoded.relay_capacity,
            position: record.position,
        };
        members.record(info, now);
        records.insert(record.key, decoded);
    }
    records
}

/// Reads the records of all processes periodically, for as long as the process runs, except while a
/// relay sends their changes.
pub async fn watch<D: WireCodec, S: Store>(state: Rc<EdgeState<D>>, store: S) {
    let mut store_status = DependencyStatus::new("store_members");
    let mut pause = SECOND_READ_DELAY;
    loop {
        state.wait_for_direct_reads().await;
        match read_members(&state, &store).await {
            Ok(_) => {
                store_status.record_success(state.now());
                sleep(pause).await;
                pause = READ_INTERVAL;
            }
            Err(error) => {
                increment(&state.metrics.store_failures);
                state
                    .store_backoff(store_status.record_failure(state.now(), &error))
                    .await;
            }
        }
    }
}
