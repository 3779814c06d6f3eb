//! Which engine holds which shared part of a prompt.
//!
//! Load pattern: hundreds of subjects whose parts together do not fit into one engine, asked for
//! through every instance. All instances rank the engines of a part alike without talking to each
//! other; what an instance sent itself it knows better.

use std::collections::HashMap;
use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;

use crate::UpstreamKey;

/// Parts that are remembered. A site asks for under a thousand.
const MOST_PARTS: usize = 4_096;

/// Engines that are remembered for a part.
const MOST_HOLDERS: usize = 4;

/// Time for which a part is believed to stay in an engine's memory after its last use.
const HELD_FOR: Duration = Duration::from_secs(12);

/// Share of a part that the engine ranked first is believed to hold without evidence where others do
/// not tell what they use, since every instance sends there first.
const FIRST_RANK_BELIEF: f64 = 0.9;

/// The same where others tell.
const SHARED_FIRST_RANK_BELIEF: f64 = 0.4;

/// The same for the engine ranked second, which takes what does not fit the first.
const SECOND_RANK_BELIEF: f64 = 0.3;

/// Whose uses of parts an instance knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// Only its own.
    Own,
    /// Also those of other instances.
    Shared,
}

/// Parts and where they were used last.
#[derive(Debug, Clone, Default)]
pub struct Prefixes {
    parts: HashMap<u64, Vec<(UpstreamKey, MonotonicTime)>>,
}

impl Prefixes {
    /// Notes that `engine` read `part` or used it.
    pub fn used(&mut self, part: u64, engine: UpstreamKey, now: MonotonicTime) {
        if self.parts.len() >= MOST_PARTS && !self.parts.contains_key(&part) {
            self.forget(now);
        }
        let holders = self.parts.entry(part).or_default();
        holders.retain(|(key, _)| *key != engine);
        if holders.len() == MOST_HOLDERS {
            // Holders stand in the order of their last use.
            holders.remove(0);
        }
        holders.push((engine, now));
    }

    /// Share of `part` that `engine` is believed to hold, 0 to 1. `rank` is the engine's place in
    /// the ranking of the part.
    pub fn belief(
        &self,
        part: u64,
        engine: UpstreamKey,
        rank: usize,
        evidence: Evidence,
        now: MonotonicTime,
    ) -> f64 {
        let is_known = self.parts.get(&part).is_some_and(|holders| {
            holders
                .iter()
                .any(|(key, at)| *key == engine && now.since(*at) < HELD_FOR)
        });
        match (rank, evidence) {
            _ if is_known => 1.0,
            (0, Evidence::Own) => FIRST_RANK_BELIEF,
            (0, Evidence::Shared) => SHARED_FIRST_RANK_BELIEF,
            (1, _) => SECOND_RANK_BELIEF,
            _ => 0.0,
        }
    }

    fn forget(&mut self, now: MonotonicTime) {
        self.parts
            .retain(|_, holders| holders.iter().any(|(_, at)| now.since(*at) < HELD_FOR));
        if self.parts.len() >= MOST_PARTS {
            self.parts.clear();
        }
    }
}

/// Weight of `engine` in the ranking of `part`; the highest is ranked first. An engine with a
/// share of 2 is first for twice as many parts as one with a share of 1.
pub fn ranking_weight(part: u64, engine: u64, share: f64) -> f64 {
    let mixed = mix(part ^ mix(engine));
    let unit = ((mixed >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -share / unit.ln()
}

/// Places in a ranking of those with the highest weights, in the order of `weights`; `usize::MAX` for the
/// rest, on which no belief depends. One pass: some hundred engines are ranked for each request.
pub fn first_ranks(weights: impl Iterator<Item = f64>) -> Vec<usize> {
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

/// Finalizer of a 64-bit hash: spreads every input bit over the output.
fn mix(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
