//! Prefix cache of limited capacity, with events that are published late and with gaps.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use nutmegbay_proto::engine::{CacheEvent, CacheEvents};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

/// Maximum number of cache events that are kept for readers.
const EVENT_HISTORY_LEN: usize = 8_192;

/// LRU cache of prefix block hashes.
#[derive(Debug)]
pub(super) struct PrefixCache {
    /// Capacity in prefix blocks.
    capacity: usize,
    /// Cached block hashes, with the value of `use_counter` at the last use of each.
    last_used: HashMap<u64, u64>,
    /// Cached block hashes by last use; the first one is evicted next.
    by_last_use: BTreeMap<u64, u64>,
    use_counter: u64,
    events: VecDeque<(Instant, CacheEvent)>,
    /// Sequence number of the next event.
    next_seq: u64,
    /// Time from an event until readers see it.
    lag: Duration,
    gap_probability: f64,
    rng: ChaCha8Rng,
}

impl PrefixCache {
    pub(super) fn new(capacity: usize, lag: Duration, gap_probability: f64, seed: u64) -> Self {
        Self {
            capacity,
            last_used: HashMap::new(),
            by_last_use: BTreeMap::new(),
            use_counter: 0,
            events: VecDeque::new(),
            next_seq: 0,
            lag,
            gap_probability,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Marks the cached leading blocks of a prompt as used and returns their number.
    pub(super) fn touch_prefix(&mut self, blocks: &[u64]) -> usize {
        let cached = self.prefix(blocks).len();
        for &block in &blocks[..cached] {
            self.mark_used(block);
        }
        cached
    }

    /// Returns the leading blocks of a prompt that are cached.
    pub(super) fn prefix<'a>(&self, blocks: &'a [u64]) -> &'a [u64] {
        let cached = blocks
            .iter()
            .take_while(|block| self.last_used.contains_key(block))
            .count();
        &blocks[..cached]
    }

    /// Stores the blocks of a prompt, as far as the capacity allows, and evicts the least recently
    /// used ones.
    pub(super) fn store(&mut self, blocks: &[u64]) {
        for &block in blocks.iter().take(self.capacity) {
            let was_cached = self.last_used.contains_key(&block);
            self.mark_used(block);
            if !was_cached {
                self.publish(block, true);
            }
        }
        while self.last_used.len() > self.capacity {
            let Some((_, block)) = self.by_last_use.pop_first() else {
                break;
            };
            self.last_used.remove(&block);
            self.publish(block, false);
        }
    }

    /// Evicts all blocks.
    pub(super) fn clear(&mut self) {
        self.by_last_use.clear();
        let blocks: Vec<u64> = self.last_used.drain().map(|(block, _)| block).collect();
        for block in blocks {
            self.publish(block, false);
        }
    }

    /// Returns the fraction of the capacity in use, from 0 to 1.
    #[expect(
        clippy::cast_precision_loss,
        reason = "a fraction for reports, which need no precision"
    )]
    pub(super) fn used_fraction(&self) -> f32 {
        self.last_used.len() as f32 / self.capacity.max(1) as f32
    }

    /// Returns the published events from sequence number `from`.
    pub(super) fn events(&self, from: u64, now: Instant) -> CacheEvents {
        let is_visible = |at: Instant| at + self.lag <= now;
        let events: Vec<CacheEvent> = self
            .events
            .iter()
            .filter(|(at, event)| is_visible(*at) && event.seq >= from)
            .map(|(_, event)| event.clone())
            .collect();
        let first_hidden = self.events.iter().find(|(at, _)| !is_visible(*at));
        CacheEvents {
            next: first_hidden.map_or(self.next_seq, |(_, event)| event.seq),
            events,
        }
    }

    fn mark_used(&mut self, block: u64) {
        self.use_counter += 1;
        if let Some(previous) = self.last_used.insert(block, self.use_counter) {
            self.by_last_use.remove(&previous);
        }
        self.by_last_use.insert(self.use_counter, block);
    }

    /// Appends an event, or only skips its sequence number with the probability of a gap.
    fn publish(&mut self, block: u64, stored: bool) {
        let seq = self.next_seq;
        self.next_seq += 1;
        if self.gap_probability > 0.0 && self.rng.random_bool(self.gap_probability.min(1.0)) {
            return;
        }
        self.events
            .push_back((Instant::now(), CacheEvent { seq, block, stored }));
        if self.events.len() > EVENT_HISTORY_LEN {
            self.events.pop_front();
        }
    }
}
