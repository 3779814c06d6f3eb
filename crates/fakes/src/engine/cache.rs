//! Prefix cache with limited memory, and the events that it publishes late and with gaps.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use nutmegbay_proto::engine::{CacheEvent, CacheEvents};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

/// Events that are kept for readers.
const KEPT_EVENTS: usize = 8_192;

/// Prefix cache; the piece that was unused for longest is evicted.
#[derive(Debug)]
pub(super) struct Cache {
    capacity: usize,
    used: HashMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
    clock: u64,
    events: VecDeque<(Instant, CacheEvent)>,
    next: u64,
    lag: Duration,
    gap_share: f64,
    rng: ChaCha8Rng,
}

impl Cache {
    pub(super) fn new(capacity: usize, lag: Duration, gap_share: f64, seed: u64) -> Self {
        Self {
            capacity,
            used: HashMap::new(),
            by_use: BTreeMap::new(),
            clock: 0,
            events: VecDeque::new(),
            next: 0,
            lag,
            gap_share,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Number of leading pieces that are cached; they count as used now.
    pub(super) fn touch_prefix(&mut self, pieces: &[u64]) -> usize {
        let hits = self.prefix(pieces).len();
        for &piece in &pieces[..hits] {
            self.mark(piece);
        }
        hits
    }

    /// Leading pieces that are cached.
    pub(super) fn prefix<'a>(&self, pieces: &'a [u64]) -> &'a [u64] {
        let hits = pieces
            .iter()
            .take_while(|piece| self.used.contains_key(piece))
            .count();
        &pieces[..hits]
    }

    pub(super) fn store(&mut self, pieces: &[u64]) {
        for &piece in pieces.iter().take(self.capacity) {
            let known = self.used.contains_key(&piece);
            self.mark(piece);
            if !known {
                self.publish(piece, true);
            }
        }
        while self.used.len() > self.capacity {
            let Some((_, piece)) = self.by_use.pop_first() else {
                break;
            };
            self.used.remove(&piece);
            self.publish(piece, false);
        }
    }

    pub(super) fn clear(&mut self) {
        self.by_use.clear();
        let pieces: Vec<u64> = self.used.drain().map(|(piece, _)| piece).collect();
        for piece in pieces {
            self.publish(piece, false);
        }
    }

    /// Share of the memory in use.
    #[expect(clippy::cast_precision_loss, reason = "a share for reports")]
    pub(super) fn share(&self) -> f32 {
        self.used.len() as f32 / self.capacity.max(1) as f32
    }

    pub(super) fn events(&self, from: u64, now: Instant) -> CacheEvents {
        let published = |at: Instant| at + self.lag <= now;
        let events: Vec<CacheEvent> = self
            .events
            .iter()
            .filter(|(at, event)| published(*at) && event.seq >= from)
            .map(|(_, event)| event.clone())
            .collect();
        let late = self.events.iter().find(|(at, _)| !published(*at));
        CacheEvents {
            next: late.map_or(self.next, |(_, event)| event.seq),
            events,
        }
    }

    fn mark(&mut self, piece: u64) {
        self.clock += 1;
        if let Some(before) = self.used.insert(piece, self.clock) {
            self.by_use.remove(&before);
        }
        self.by_use.insert(self.clock, piece);
    }

    fn publish(&mut self, piece: u64, stored: bool) {
        let seq = self.next;
        self.next += 1;
        if self.gap_share > 0.0 && self.rng.random_bool(self.gap_share.min(1.0)) {
            return;
        }
        self.events.push_back((
            Instant::now(),
            CacheEvent {
                seq,
                block: piece,
                stored,
            },
        ));
        if self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
        }
    }
}
