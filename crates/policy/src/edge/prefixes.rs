//! Estimate of which engine holds which shared prefix block of a prompt in its cache.
//!
//! Load pattern: hundreds of prefixes that together do not fit into one engine, requested through
//! every instance. All instances rank the engines of a block in the same way without communication.
//! What an instance itself has sent takes precedence over that ranking.

use std::collections::HashMap;
use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;

use crate::UpstreamKey;

/// Maximum number of remembered blocks. A site requests under a thousand.
const MAX_BLOCKS: usize = 4_096;

/// Maximum number of engines remembered for one block.
const MAX_HOLDERS: usize = 4;

/// Time for which a block is assumed to stay in an engine's cache after its last use.
const CACHE_TTL: Duration = Duration::from_secs(12);

/// Fraction of a block that the engine ranked first is assumed to hold without a recorded use,
/// where other instances do not report their uses. Every instance sends there first.
const FIRST_RANK_FRACTION: f64 = 0.9;

/// The same where other instances report their uses, since a block that is in use there would have
/// been reported.
const SHARED_FIRST_RANK_FRACTION: f64 = 0.4;

/// The same for the engine ranked second, which takes the load that exceeds the first one, whether
/// or not uses are reported.
const SECOND_RANK_FRACTION: f64 = 0.3;

/// Instances whose block uses are recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EvidenceSource {
    /// Only this instance.
    Own,
    /// This instance and those that report their uses to it.
    Shared,
}

/// Last use of each prefix block at each engine.
#[derive(Debug, Clone, Default)]
pub struct PrefixLocations {
    /// Engines by block, in the order of their last use.
    holders: HashMap<u64, Vec<(UpstreamKey, MonotonicTime)>>,
}

impl PrefixLocations {
    /// Records that `engine` prefilled `block` or used it from its cache.
    pub fn record_use(&mut self, block: u64, engine: UpstreamKey, now: MonotonicTime) {
        if self.holders.len() >= MAX_BLOCKS && !self.holders.contains_key(&block) {
            self.evict(now);
        }
        let holders = self.holders.entry(block).or_default();
        holders.retain(|(key, _)| *key != engine);
        if holders.len() == MAX_HOLDERS {
            // The first one has the oldest use.
            holders.remove(0);
        }
        holders.push((engine, now));
    }

    /// Returns the fraction of `block` that `engine` is expected to hold, 0 to 1. `rank` is the
    /// engine's rank for the block, from [`top_two_ranks`].
    pub fn cached_fraction(
        &self,
        block: u64,
        engine: UpstreamKey,
        rank: usize,
        evidence: EvidenceSource,
        now: MonotonicTime,
    ) -> f64 {
        let is_recorded = self.holders.get(&block).is_some_and(|holders| {
            holders
                .iter()
                .any(|(key, at)| *key == engine && now.since(*at) < CACHE_TTL)
        });
        match (rank, evidence) {
            _ if is_recorded => 1.0,
            (0, EvidenceSource::Own) => FIRST_RANK_FRACTION,
            (0, EvidenceSource::Shared) => SHARED_FIRST_RANK_FRACTION,
            (1, _) => SECOND_RANK_FRACTION,
            _ => 0.0,
        }
    }

    /// Drops blocks without a use in [`CACHE_TTL`], or all blocks if none is that old.
    fn evict(&mut self, now: MonotonicTime) {
        self.holders
            .retain(|_, holders| holders.iter().any(|(_, at)| now.since(*at) < CACHE_TTL));
        if self.holders.len() >= MAX_BLOCKS {
            self.holders.clear();
        }
    }
}

/// Returns the weight of `engine` for `block` in weighted rendezvous hashing; the highest weight is
/// ranked first. An engine with a `share` of 2 is first for twice as many blocks as one with a
/// `share` of 1.
pub fn rendezvous_weight(block: u64, engine: u64, share: f64) -> f64 {
    let mixed = mix(block ^ mix(engine));
    let unit = ((mixed >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -share / unit.ln()
}

/// Returns the ranks of the two highest weights, 0 and 1, in the order of `weights`. All others get
/// `usize::MAX`, since no estimate depends on them. It takes one pass without sorting, because some
/// hundred engines are ranked for each request.
pub fn top_two_ranks(weights: impl Iterator<Item = f64>) -> Vec<usize> {
    let weights: Vec<f64> = weights.collect();
    let (mut first, mut second) = (f64::NEG_INFINITY, f64::NEG_INFINITY);
    for &weight in &weights {
        if weight > first {
            (first, second) = (weight, first);
        } else if weight > second {
            second = weight;
        }
    }
    let rank = |weight: &f64| match *weight {
        weight if weight >= first => 0,
        weight if weight >= second => 1,
        _ => usize::MAX,
    };
    weights.iter().map(rank).collect()
}

/// Finalizer of a 64-bit hash, which spreads every input bit over the output.
pub(super) fn mix(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
