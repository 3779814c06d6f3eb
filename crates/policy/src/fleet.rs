//! Upstreams of one model as seen from one gateway: load reports, dispatches and cached prefix
//! blocks.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_core::record::EngineRole;
use slotmap::SlotMap;

use crate::UpstreamKey;
use crate::cost::CostModel;

/// Age from which a report is stale. Reports arrive about once a second, so three were missed.
const REPORT_STALE_AFTER: Duration = Duration::from_secs(3);

/// Sequence slots assumed until the caller sets [`Upstream::slots`].
const DEFAULT_SLOTS: u32 = 64;

/// Maximum number of prefix blocks remembered per upstream; beyond it the oldest are forgotten.
/// 4,096 blocks of 2,048 tokens are more than an engine caches, and take 64 KiB.
const MAX_CACHED_BLOCKS: usize = 4_096;

/// Load of an upstream at the time of the report.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct LoadReport {
    /// Number of running requests.
    pub running: u32,
    /// Number of requests that wait at the upstream.
    pub waiting: u32,
    /// Prompt tokens that wait for prefill.
    pub prefill_tokens: u64,
    /// Tokens that running requests may still generate.
    pub decode_tokens: u64,
    /// Role that the engine has at that time.
    pub role: EngineRole,
}

/// Event of an upstream's prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PrefixBlockEvent {
    /// Sequence number of the event at its engine.
    pub seq: u64,
    /// Hash of the prefix block.
    pub block: u64,
    /// Whether the block was stored (true) or evicted (false).
    pub stored: bool,
}

/// Upstreams by key.
#[derive(Debug, Default)]
pub struct Fleet {
    upstreams: SlotMap<UpstreamKey, Upstream>,
}

/// State of one upstream as seen from this gateway.
#[derive(Debug)]
pub struct Upstream {
    /// Failure domain, numbered by the caller.
    pub domain: u16,
    /// Engine role, from the last report or set by the caller.
    pub role: EngineRole,
    /// Whether new work may be sent: the upstream responds, is not draining and has no change in
    /// progress.
    pub accepting: bool,
    /// Number of sequences that the upstream runs in parallel.
    pub slots: u32,
    report: LoadReport,
    reported_at: MonotonicTime,
    sent: VecDeque<(MonotonicTime, f64, u32)>,
    in_flight: u32,
    in_flight_prefill_s: f64,
    blocks: PrefixBlockIndex,
}

impl Fleet {
    /// Adds an upstream that accepts work and has no load.
    pub fn add(&mut self, domain: u16, role: EngineRole, now: MonotonicTime) -> UpstreamKey {
        self.upstreams.insert(Upstream {
            domain,
            role,
            accepting: true,
            slots: DEFAULT_SLOTS,
            report: LoadReport {
                role,
                ..LoadReport::default()
            },
            reported_at: now,
            sent: VecDeque::new(),
            in_flight: 0,
            in_flight_prefill_s: 0.0,
            blocks: PrefixBlockIndex::default(),
        })
    }

    /// Removes an upstream and its state.
    pub fn remove(&mut self, key: UpstreamKey) {
        self.upstreams.remove(key);
    }

    /// Returns the number of upstreams.
    pub fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Returns whether there is no upstream.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// Returns the upstream with this key.
    pub fn get(&self, key: UpstreamKey) -> Option<&Upstream> {
        self.upstreams.get(key)
    }

    /// Returns the upstream with this key for changes.
    pub fn get_mut(&mut self, key: UpstreamKey) -> Option<&mut Upstream> {
        self.upstreams.get_mut(key)
    }

    /// Returns all upstreams in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = (UpstreamKey, &Upstream)> {
        self.upstreams.iter()
    }

    /// Records a dispatch that adds `prefill_s` seconds of prefill and `decode_tokens` to the
    /// upstream.
    pub fn record_dispatch(
        &mut self,
        key: UpstreamKey,
        prefill_s: f64,
        decode_tokens: u32,
        now: MonotonicTime,
    ) {
        if let Some(up) = self.upstreams.get_mut(key) {
            up.sent.push_back((now, prefill_s, decode_tokens));
            up.in_flight += 1;
            up.in_flight_prefill_s += prefill_s;
        }
    }

    /// Records the end of a dispatch of `prefill_s`, whatever its outcome. From then on it no
    /// longer counts as waiting at the upstream, even if no newer report has arrived.
    pub fn record_end(&mut self, key: UpstreamKey, prefill_s: f64) {
        let Some(up) = self.upstreams.get_mut(key) else {
            return;
        };
        up.in_flight = up.in_flight.saturating_sub(1);
        up.in_flight_prefill_s = (up.in_flight_prefill_s - prefill_s).max(0.0);
        let is_ended = |&(_, dispatched_s, tokens): &(MonotonicTime, f64, u32)| {
            tokens > 0 && dispatched_s.to_bits() == prefill_s.to_bits()
        };
        if let Some(at) = up.sent.iter().position(is_ended) {
            up.sent.remove(at);
        }
    }

    /// Records `work` seconds of prefill that a peer gateway dispatched at about `at`.
    pub fn record_peer_dispatch(&mut self, key: UpstreamKey, work: f64, at: MonotonicTime) {
        match self.upstreams.get_mut(key) {
            Some(up) if at >= up.reported_at && work > 0.0 => up.sent.push_back((at, work, 0)),
            _ => {}
        }
    }
}

impl Upstream {
    /// Applies a load report. A report older than the last one is ignored.
    pub fn apply_report(&mut self, report: LoadReport, reported_at: MonotonicTime) {
        if reported_at < self.reported_at {
            return;
        }
        self.report = report;
        self.role = report.role;
        self.reported_at = reported_at;
        self.sent.retain(|&(at, ..)| at >= reported_at);
    }

    /// Returns the number of requests sent by this gateway that have not ended.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the last load report.
    pub fn report(&self) -> &LoadReport {
        &self.report
    }

    /// Returns the time at which the last report was taken.
    pub fn reported_at(&self) -> MonotonicTime {
        self.reported_at
    }

    /// Returns whether so many reports were missed that the last one no longer describes the
    /// upstream.
    pub fn is_stale(&self, now: MonotonicTime) -> bool {
        now.since(self.reported_at) > REPORT_STALE_AFTER
    }

    /// Returns the number of running and waiting sequences, including those sent since the last
    /// report.
    pub fn batch(&self) -> u32 {
        let dispatched = self.sent.iter().filter(|&&(.., tokens)| tokens > 0).count();
        self.report.running + self.report.waiting + dispatched as u32
    }

    /// Returns the seconds until prefill of a new request starts: the reported work, less what the
    /// engine has done since, plus later dispatches.
    ///
    /// Work of a stale report would drain to zero and attract all requests. So the unfinished work
    /// of this gateway is the lower bound then, and the time without a report is added.
    pub fn backlog(&self, cost: &CostModel, now: MonotonicTime) -> f64 {
        let rate = prefill_time_fraction(self.role);
        let mut work = cost.prefill(self.report.prefill_tokens.min(u64::from(u32::MAX)) as u32);
        let mut at = self.reported_at;
        for &(sent_at, prefill_s, _) in &self.sent {
            work = (work - sent_at.since(at).as_secs_f64() * rate).max(0.0) + prefill_s;
            at = at.max(sent_at);
        }
        work = (work - now.since(at).as_secs_f64() * rate).max(0.0);
        if !self.is_stale(now) {
            return work / rate;
        }
        let unreported = now
            .since(self.reported_at)
            .saturating_sub(REPORT_STALE_AFTER);
        work.max(self.in_flight_prefill_s) / rate + unreported.as_secs_f64()
    }

    /// Returns the seconds until a slot for a new sequence is free.
    pub fn slot_wait(&self, cost: &CostModel) -> f64 {
        let batch = self.batch();
        if batch < self.slots {
            return 0.0;
        }
        let running = self.report.running.max(1);
        let tokens = self.report.decode_tokens as f64 / f64::from(running + self.report.waiting);
        let turn = tokens * cost.step(running) / f64::from(running);
        f64::from(batch - self.slots + 1) * turn
    }

    /// Returns the index of cached prefix blocks for updates.
    pub fn prefix_blocks_mut(&mut self) -> &mut PrefixBlockIndex {
        &mut self.blocks
    }

    /// Returns the number of leading `blocks` that the upstream is expected to have cached.
    pub fn cached_blocks(&self, blocks: &[u64]) -> usize {
        self.blocks.count_leading(blocks)
    }

    /// Returns the bytes that this gateway uses for the upstream, for capacity estimates.
    pub fn memory_bytes(&self) -> usize {
        size_of::<Self>()
            + self.sent.capacity() * size_of::<(MonotonicTime, f64, u32)>()
            + self.blocks.insertion_order.capacity() * 8
            + self.blocks.cached.capacity() * 9
    }
}

/// Cached prefix blocks of one upstream, built from events that arrive late and with gaps.
#[derive(Debug, Default)]
pub struct PrefixBlockIndex {
    next_seq: u64,
    cached: HashSet<u64>,
    insertion_order: VecDeque<u64>,
    misses_by_block: HashMap<u64, u32>,
}

impl PrefixBlockIndex {
    /// Returns the sequence number of the next event to request.
    pub fn next_seq(&self) -> u64 {
        self.next_seq
    }

    /// Applies events in order. `next_seq` is the number after the last event of the engine.
    ///
    /// A gap may hide evictions. Known blocks are kept nevertheless, because most of them are still
    /// cached. An answer with fewer cached blocks than expected corrects the index
    /// ([`Self::record_hits`]).
    pub fn apply(&mut self, events: &[PrefixBlockEvent], next_seq: u64) {
        let first_new = self.next_seq;
        for event in events.iter().filter(|event| event.seq >= first_new) {
            if event.stored {
                self.insert(event.block);
            } else {
                self.cached.remove(&event.block);
            }
        }
        self.next_seq = self.next_seq.max(next_seq);
    }

    /// Adds the blocks of a dispatched prompt before their cache events arrive.
    pub fn add_expected(&mut self, blocks: &[u64]) {
        for &block in blocks {
            self.insert(block);
        }
    }

    /// Corrects the index after an answer for which only the first `cached_blocks` of `blocks` were
    /// cached.
    pub fn record_hits(&mut self, blocks: &[u64], cached_blocks: usize) {
        let Some(&first_missing) = blocks.get(cached_blocks) else {
            return;
        };
        // A single miss may come from a race with the prefill that stores the block. Two misses do
        // not.
        let misses = self.misses_by_block.entry(first_missing).or_default();
        *misses += 1;
        if *misses >= 2 {
            self.misses_by_block.remove(&first_missing);
            for block in &blocks[cached_blocks..] {
                self.cached.remove(block);
            }
        }
        if self.misses_by_block.len() > MAX_CACHED_BLOCKS {
            self.misses_by_block.clear();
        }
    }

    /// Removes all blocks and resets the sequence number, after a restart of the engine.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    fn count_leading(&self, blocks: &[u64]) -> usize {
        blocks
            .iter()
            .take_while(|block| self.cached.contains(block))
            .count()
    }

    fn insert(&mut self, block: u64) {
        if self.cached.insert(block) {
            self.insertion_order.push_back(block);
        }
        while self.insertion_order.len() > MAX_CACHED_BLOCKS {
            if let Some(oldest) = self.insertion_order.pop_front() {
                self.cached.remove(&oldest);
            }
        }
    }
}

/// Returns the fraction of its time that an engine of this role spends on prefill.
fn prefill_time_fraction(role: EngineRole) -> f64 {
    match role {
        EngineRole::Prefill => 1.0,
        EngineRole::Mixed => 0.75,
        EngineRole::Decode => 0.5,
    }
}
