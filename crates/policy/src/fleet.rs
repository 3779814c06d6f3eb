//! What a gateway knows of the upstreams of one model: reports, own dispatches and caches.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_core::record::EngineRole;
use slotmap::SlotMap;

use crate::UpstreamKey;
use crate::cost::CostModel;

/// Age from which a report is stale. Reports come about once a second, so three were missed.
const STALE_AFTER: Duration = Duration::from_secs(3);

/// Slots assumed until the embedder sets them.
const DEFAULT_SLOTS: u32 = 64;

/// Pieces remembered per upstream. Beyond it the oldest are forgotten: 4,096 pieces of 2,048
/// tokens are more than an engine caches, and cost 64 KiB.
const MAX_PIECES: usize = 4_096;

/// Load of an upstream at the moment the report was taken.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct LoadReport {
    /// Requests that are running.
    pub running: u32,
    /// Requests that wait at the upstream.
    pub waiting: u32,
    /// Prompt tokens that wait for prefill.
    pub prefill_tokens: u64,
    /// Tokens that running requests may still generate.
    pub decode_tokens: u64,
    /// Role.
    pub role: EngineRole,
}

/// One cache event of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PieceEvent {
    /// Sequence number.
    pub seq: u64,
    /// Hash of the piece.
    pub piece: u64,
    /// Whether the piece was stored or evicted.
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
    /// Failure domain, numbered by the embedder.
    pub domain: u16,
    /// Role, from the last report or the embedder.
    pub role: EngineRole,
    /// Whether new work may be sent: it answers, does not drain and is in no change.
    pub accepting: bool,
    /// Sequences that it runs in parallel.
    pub slots: u32,
    report: LoadReport,
    taken: MonotonicTime,
    sent: VecDeque<(MonotonicTime, f64, u32)>,
    in_flight: u32,
    in_flight_work: f64,
    pieces: PieceIndex,
}

impl Fleet {
    /// Adds an upstream.
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
            taken: now,
            sent: VecDeque::new(),
            in_flight: 0,
            in_flight_work: 0.0,
            pieces: PieceIndex::default(),
        })
    }

    /// Removes an upstream.
    pub fn remove(&mut self, key: UpstreamKey) {
        self.upstreams.remove(key);
    }

    /// Number of upstreams.
    pub fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Whether there is no upstream.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// One upstream.
    pub fn get(&self, key: UpstreamKey) -> Option<&Upstream> {
        self.upstreams.get(key)
    }

    /// One upstream, for changes.
    pub fn get_mut(&mut self, key: UpstreamKey) -> Option<&mut Upstream> {
        self.upstreams.get_mut(key)
    }

    /// All upstreams in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = (UpstreamKey, &Upstream)> {
        self.upstreams.iter()
    }

    /// Notes a dispatch that brings `work` seconds of prefill and `decode_tokens` to the upstream.
    pub fn dispatched(
        &mut self,
        key: UpstreamKey,
        work: f64,
        decode_tokens: u32,
        now: MonotonicTime,
    ) {
        if let Some(up) = self.upstreams.get_mut(key) {
            up.sent.push_back((now, work, decode_tokens));
            up.in_flight += 1;
            up.in_flight_work += work;
        }
    }

    /// Notes the end, of whatever kind, of a dispatch of `work`, which then no longer waits at the
    /// upstream whatever the last report was.
    pub fn finished(&mut self, key: UpstreamKey, work: f64) {
        let Some(up) = self.upstreams.get_mut(key) else {
            return;
        };
        up.in_flight = up.in_flight.saturating_sub(1);
        up.in_flight_work = (up.in_flight_work - work).max(0.0);
        let is_own = |&(_, sent, tokens): &(MonotonicTime, f64, u32)| {
            tokens > 0 && sent.to_bits() == work.to_bits()
        };
        if let Some(at) = up.sent.iter().position(is_own) {
            up.sent.remove(at);
        }
    }

    /// Notes work that a peer dispatched at about `at`.
    pub fn peer_dispatched(&mut self, key: UpstreamKey, work: f64, at: MonotonicTime) {
        match self.upstreams.get_mut(key) {
            Some(up) if at >= up.taken && work > 0.0 => up.sent.push_back((at, work, 0)),
            _ => {}
        }
    }
}

impl Upstream {
    /// Takes a report; an older one than the last is ignored.
    pub fn reported(&mut self, report: LoadReport, taken: MonotonicTime) {
        if taken < self.taken {
            return;
        }
        self.report = report;
        self.role = report.role;
        self.taken = taken;
        self.sent.retain(|&(at, ..)| at >= taken);
    }

    /// Requests sent from here that have not ended.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Last report.
    pub fn report(&self) -> &LoadReport {
        &self.report
    }

    /// Time at which the last report was taken.
    pub fn taken(&self) -> MonotonicTime {
        self.taken
    }

    /// Whether so many reports were missed that the last one no longer describes the upstream.
    pub fn is_stale(&self, now: MonotonicTime) -> bool {
        now.since(self.taken) > STALE_AFTER
    }

    /// Sequences that run in parallel, with those sent since the report.
    pub fn batch(&self) -> u32 {
        let sent = self.sent.iter().filter(|&&(.., tokens)| tokens > 0).count();
        self.report.running + self.report.waiting + sent as u32
    }

    /// Seconds until prefill of a new request starts: the report, drained by its age, plus
    /// dispatches since.
    ///
    /// A stale report would drain to nothing and attract all work, so that unfinished work of this
    /// gateway is the lower bound and the time without a report is added.
    pub fn backlog(&self, cost: &CostModel, now: MonotonicTime) -> f64 {
        let rate = prefill_rate(self.role);
        let mut work = cost.prefill(self.report.prefill_tokens.min(u64::from(u32::MAX)) as u32);
        let mut at = self.taken;
        for &(moment, sent, _) in &self.sent {
            work = (work - moment.since(at).as_secs_f64() * rate).max(0.0) + sent;
            at = at.max(moment);
        }
        work = (work - now.since(at).as_secs_f64() * rate).max(0.0);
        if !self.is_stale(now) {
            return work / rate;
        }
        let silent = now.since(self.taken).saturating_sub(STALE_AFTER);
        work.max(self.in_flight_work) / rate + silent.as_secs_f64()
    }

    /// Seconds until a slot for a new sequence is free.
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

    /// Cached pieces, for updates.
    pub fn pieces_mut(&mut self) -> &mut PieceIndex {
        &mut self.pieces
    }

    /// Number of leading `pieces` that the upstream is believed to hold.
    pub fn cached(&self, pieces: &[u64]) -> usize {
        self.pieces.leading(pieces)
    }

    /// Bytes that this gateway keeps for the upstream, for capacity sums.
    pub fn bytes(&self) -> usize {
        size_of::<Self>()
            + self.sent.capacity() * size_of::<(MonotonicTime, f64, u32)>()
            + self.pieces.order.capacity() * 8
            + self.pieces.held.capacity() * 9
    }
}

/// Cached pieces of one upstream, fed by events that come late and with gaps.
#[derive(Debug, Default)]
pub struct PieceIndex {
    next: u64,
    held: HashSet<u64>,
    order: VecDeque<u64>,
    missed: HashMap<u64, u32>,
}

impl PieceIndex {
    /// Sequence number from which events are wanted.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Takes events in order; `next` is the number after the last event of the engine.
    ///
    /// A gap may hide evictions. What is held is kept, because most of it is still there, and an
    /// answer that shows less cached than expected corrects it ([`Self::answered`]).
    pub fn apply(&mut self, events: &[PieceEvent], next: u64) {
        let known = self.next;
        for event in events.iter().filter(|event| event.seq >= known) {
            if event.stored {
                self.store(event.piece);
            } else {
                self.held.remove(&event.piece);
            }
        }
        self.next = self.next.max(next);
    }

    /// Expects the pieces of a dispatched prompt, before the event comes.
    pub fn expect(&mut self, pieces: &[u64]) {
        for &piece in pieces {
            self.store(piece);
        }
    }

    /// Corrects the index by an answer that found only the first `cached` of `pieces`.
    pub fn answered(&mut self, pieces: &[u64], cached: usize) {
        let Some(&absent) = pieces.get(cached) else {
            return;
        };
        // One answer may only have raced with the prefill that stores the piece; two have not.
        let misses = self.missed.entry(absent).or_default();
        *misses += 1;
        if *misses >= 2 {
            self.missed.remove(&absent);
            for piece in &pieces[cached..] {
                self.held.remove(piece);
            }
        }
        if self.missed.len() > MAX_PIECES {
            self.missed.clear();
        }
    }

    /// Forgets everything, for a restart of the engine.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    fn leading(&self, pieces: &[u64]) -> usize {
        pieces
            .iter()
            .take_while(|piece| self.held.contains(piece))
            .count()
    }

    fn store(&mut self, piece: u64) {
        if self.held.insert(piece) {
            self.order.push_back(piece);
        }
        while self.order.len() > MAX_PIECES {
            if let Some(oldest) = self.order.pop_front() {
                self.held.remove(&oldest);
            }
        }
    }
}

/// Seconds of prefill that an engine does per second beside its other work.
fn prefill_rate(role: EngineRole) -> f64 {
    match role {
        EngineRole::Prefill => 1.0,
        EngineRole::Mixed => 0.75,
        EngineRole::Decode => 0.5,
    }
}
