//! Edge processes: who runs, what each has counted, and which of them read the store.

mod publish;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use nutmegbay_core::duty::MemberCounts;
use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_policy::edge::relay::{Relay, relays};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::follow::{Link, Listing};
use crate::metrics::count;
use crate::model::KeyedRecord;
use crate::platform_api::{Store, StoreError, Topic, WireCodec};
use crate::settings::EdgeSettings;
use crate::state::EdgeState;

pub use publish::{own_counts, publish};

/// Time between two reads of the other processes' records.
pub const READ_EVERY: Duration = Duration::from_secs(8);

/// Time from the first read to the second one: processes that start together have written their
/// records by then.
const SECOND_READ_AFTER: Duration = Duration::from_secs(2);

/// Time without a new record after which another process is taken for gone. Records are written
/// several times in a usage window and read every [`READ_EVERY`].
const MEMBER_TTL: Duration = Duration::from_secs(20);

/// Record of one process in the store.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Control address.
    #[serde(default)]
    pub control: Option<SocketAddr>,
    /// Failure domain.
    #[serde(default)]
    pub domain: Box<str>,
    /// What the instance can do for others, see [`strength`].
    #[serde(default)]
    pub strength: u32,
    /// Usage counts.
    #[serde(default)]
    pub usage: MemberCounts,
}

/// One process, as it is passed on to others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sighting {
    /// Name.
    pub name: Box<str>,
    /// Control address.
    pub control: Option<SocketAddr>,
    /// Failure domain.
    pub domain: Box<str>,
    /// What the instance can do for others.
    pub strength: u32,
    /// Position of its record.
    pub offset: u64,
}

/// Processes that have been seen.
#[derive(Debug, Default)]
pub struct Members {
    by_name: BTreeMap<Box<str>, Member>,
}

#[derive(Debug)]
struct Member {
    control: Option<SocketAddr>,
    domain: Box<str>,
    strength: u32,
    /// Place among equals, which mixes the failure domains.
    hash: u64,
    offset: u64,
    /// When its record last changed.
    changed: MonotonicTime,
}

impl Member {
    /// Key of the order that all processes share: the strongest first, since the first ones work
    /// for the others.
    fn order(&self) -> (Reverse<u32>, u64) {
        (Reverse(self.strength), self.hash)
    }
}

/// Processes that read the store, as one of them sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Relays {
    /// Whether the process is one of them.
    pub has_own: bool,
    /// The other ones.
    pub others: Vec<Relay<SocketAddr>>,
}

impl Members {
    /// Follows the record of a process.
    pub fn saw(&mut self, seen: Sighting, now: MonotonicTime) {
        if let Some(known) = self.by_name.get_mut(&seen.name) {
            if known.offset < seen.offset {
                known.control = seen.control;
                known.domain = seen.domain;
                known.strength = seen.strength;
                known.offset = seen.offset;
                known.changed = now;
            }
            return;
        }
        tracing::info!(event = "member_found", member = %seen.name);
        let member = Member {
            control: seen.control,
            domain: seen.domain,
            strength: seen.strength,
            hash: xxh3_64(seen.name.as_bytes()),
            offset: seen.offset,
            changed: now,
        };
        self.by_name.insert(seen.name, member);
    }

    /// Names of the processes beside `own` that are believed to run.
    pub fn others(&self, own: &str, now: MonotonicTime) -> impl Iterator<Item = &str> {
        self.live(own, now).map(|(name, _)| name)
    }

    /// Place of `own` among the processes that are believed to run, from 0; the last one while its
    /// own record is not known.
    pub fn rank(&self, own: &str, now: MonotonicTime) -> usize {
        let Some(own_member) = self.by_name.get(own) else {
            return usize::MAX;
        };
        self.live(own, now)
            .filter(|(_, member)| member.order() < own_member.order())
            .count()
    }

    /// Processes that read the store, as `own` sees them.
    pub fn relays(&self, own: &str, now: MonotonicTime) -> Relays {
        let mut live: Vec<_> = self.live(own, now).map(|(_, member)| member).collect();
        let mut count = relays(live.len() + 1);
        let rank = self.rank(own, now);
        let has_own = rank < count;
        if has_own {
            count -= 1;
        }
        live.sort_unstable_by_key(|member| member.order());
        live.truncate(count);
        let own_domain = self.by_name.get(own).map(|member| &member.domain);
        let relay = |member: &Member| {
            Some(Relay {
                key: member.control?,
                is_same_domain: own_domain == Some(&member.domain),
                tie_break: xxh3_64_with_seed(own.as_bytes(), member.hash),
            })
        };
        Relays {
            has_own,
            others: live.into_iter().filter_map(relay).collect(),
        }
    }

    /// Control addresses of all processes.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.by_name.values().filter_map(|member| member.control)
    }

    /// Position after the newest record.
    pub fn next(&self) -> u64 {
        let newest = self.by_name.values().map(|member| member.offset + 1).max();
        newest.unwrap_or(0)
    }

    /// Processes whose records changed at `next` or later.
    pub fn since(&self, next: u64) -> impl Iterator<Item = Sighting> {
        self.by_name
            .iter()
            .filter(move |(_, member)| member.offset >= next)
            .map(|(name, member)| Sighting {
                name: name.clone(),
                control: member.control,
                domain: member.domain.clone(),
                strength: member.strength,
                offset: member.offset,
            })
    }

    fn live(&self, own: &str, now: MonotonicTime) -> impl Iterator<Item = (&str, &Member)> {
        self.by_name
            .iter()
            .filter(move |(name, member)| ***name != *own && now.since(member.changed) < MEMBER_TTL)
            .map(|(name, member)| (&**name, member))
    }
}

/// What an instance can do for others: its share of a core in thousandths, or less where its link is
/// narrow. Passing digests on to ten others takes about a megabit a second.
pub fn strength(settings: &EdgeSettings) -> u32 {
    const PER_MBPS: f64 = 2.0;
    let cpu = settings.cpu_share.unwrap_or(1.0) * 1e3;
    let link = settings.link_mbps.unwrap_or(f64::MAX) * PER_MBPS;
    cpu.min(link) as u32
}

/// Reads the records of all processes and notes who runs.
pub async fn read<D: WireCodec, S: Store>(
    state: &EdgeState<D>,
    store: &S,
) -> Result<BTreeMap<Box<str>, MemberRecord>, StoreError> {
    let listing = Listing::read(state, store, Topic::Members).await?;
    Ok(note(state, listing.records))
}

fn note<D: WireCodec>(
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
        let seen = Sighting {
            name: record.key.clone(),
            control: decoded.control,
            domain: decoded.domain.clone(),
            strength: decoded.strength,
            offset: record.offset,
        };
        members.saw(seen, now);
        records.insert(record.key, decoded);
    }
    records
}

/// Reads the other processes' records for as long as this one runs and reads the store.
pub async fn watch<D: WireCodec, S: Store>(state: Rc<EdgeState<D>>, store: S) {
    let mut link = Link::new("store_members");
    let mut pause = SECOND_READ_AFTER;
    loop {
        state.wait_for_direct_reads().await;
        match read(&state, &store).await {
            Ok(_) => {
                link.works(state.now());
                sleep(pause).await;
                pause = READ_EVERY;
            }
            Err(error) => {
                count(&state.metrics.store_failures);
                state.store_backoff(link.fails(state.now(), &error)).await;
            }
        }
    }
}
