//! Fake of an engine at its interface: continuous batching, prefix cache, roles, delayed reports.

use std::collections::{BTreeMap, HashMap, VecDeque};

use nutmegbay_core::record::EngineRole;
use nutmegbay_policy::fleet::{LoadReport, PrefixBlockEvent};

/// Pieces that the cache of one engine holds: 262,144 tokens.
const CACHE_PIECES: usize = 128;

/// Cache events kept for readers that lag.
const EVENTS_KEPT: usize = 2_000;

/// Costs of an engine.
#[derive(Debug, Clone, Copy)]
pub struct Costs {
    /// Seconds per prompt token.
    pub prefill_s: f64,
    /// Seconds of a decode step without sequences.
    pub decode_base_s: f64,
    /// Seconds that each sequence adds to a step.
    pub decode_slope_s: f64,
    /// Seconds of any step.
    pub step_s: f64,
    /// Seconds of a cache transfer.
    pub transfer_base_s: f64,
    /// Seconds that each token adds to a transfer.
    pub transfer_s: f64,
    /// Seconds of a role change after the drain.
    pub change_s: f64,
}

impl Default for Costs {
    fn default() -> Self {
        Self {
            prefill_s: 1e-4,
            decode_base_s: 0.012,
            decode_slope_s: 2.5e-4,
            step_s: 0.002,
            transfer_base_s: 0.01,
            transfer_s: 4e-6,
            change_s: 4.0,
        }
    }
}

impl Costs {
    /// Engine seconds per generated token in the largest batch of a decode engine.
    pub fn ideal_decode_s(&self) -> f64 {
        let batch = limits(EngineRole::Decode).1 as f64;
        (self.decode_base_s + batch * self.decode_slope_s) / batch
    }
}

/// Prompt tokens of one step and sequences in parallel, by role.
pub fn limits(role: EngineRole) -> (u32, usize) {
    match role {
        EngineRole::Mixed => (512, 24),
        EngineRole::Prefill => (2_048, 8),
        EngineRole::Decode => (256, 64),
    }
}

/// Sequence on an engine. `id` is the embedder's number of the run.
#[derive(Debug, Clone)]
pub struct Sequence {
    /// Run.
    pub id: usize,
    /// Priority, larger first.
    pub priority: u8,
    /// Prompt tokens, with those generated elsewhere.
    pub prompt: u32,
    /// Pieces of the prompt.
    pub pieces: Vec<u64>,
    /// Prompt tokens without cache.
    pub prefill_left: u32,
    /// Tokens to generate.
    pub output_left: u32,
    /// Whether it ends after prefill, for a hand-over.
    pub prefill_only: bool,
    /// Whether it crashes the engine.
    pub poison: bool,
    /// Prompt tokens that come with an import.
    pub imported: u32,
}

/// What a step did to a sequence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// Prefill is complete and was all that was asked.
    Prefilled(usize),
    /// One token.
    Token(usize),
    /// The last token.
    Last(usize),
}

/// Engine.
#[expect(
    clippy::struct_excessive_bools,
    reason = "the conditions are independent"
)]
#[derive(Debug)]
pub struct Engine {
    /// Failure domain.
    pub domain: u16,
    /// Role.
    pub role: EngineRole,
    /// Whether it runs at all.
    pub up: bool,
    /// Role that it takes after its drain.
    pub next_role: Option<EngineRole>,
    /// Whether it is unavailable for a change.
    pub changing: bool,
    /// Whether it was given back and leaves after its drain.
    pub leaving: bool,
    /// Number of the life, so that events of an earlier one are ignored.
    pub life: u32,
    /// Whether a step is in progress.
    pub busy: bool,
    /// Seconds of work done.
    pub worked: f64,
    waiting: Vec<Sequence>,
    running: Vec<Sequence>,
    step: Vec<(usize, u32)>,
    cache: Cache,
}

#[derive(Debug, Default)]
struct Cache {
    held: HashMap<u64, u64>,
    order: BTreeMap<u64, u64>,
    clock: u64,
    seq: u64,
    events: VecDeque<PrefixBlockEvent>,
}

impl Engine {
    /// Starts an engine.
    pub fn new(domain: u16, role: EngineRole) -> Self {
        Self {
            domain,
            role,
            up: true,
            next_role: None,
            changing: false,
            leaving: false,
            life: 0,
            busy: false,
            worked: 0.0,
            waiting: Vec::new(),
            running: Vec::new(),
            step: Vec::new(),
            cache: Cache::default(),
        }
    }

    /// Whether it takes new work.
    pub fn accepts(&self) -> bool {
        self.up && !self.changing && !self.leaving && self.next_role.is_none()
    }

    /// Whether nothing runs or waits.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// Takes a sequence and returns its prompt tokens found in the cache.
    pub fn submit(&mut self, mut seq: Sequence, piece: u32) -> u32 {
        let held = self.cache.touch(&seq.pieces) as u32 * piece;
        let cached = held.max(seq.imported).min(seq.prompt);
        seq.prefill_left = seq.prompt - cached;
        let at = self
            .waiting
            .partition_point(|other| other.priority >= seq.priority);
        self.waiting.insert(at, seq);
        cached
    }

    /// Removes a run and returns its prompt tokens that were not prefilled yet.
    pub fn cancel(&mut self, id: usize) -> u32 {
        let all = self.waiting.iter().chain(&self.running);
        let left = all
            .filter(|seq| seq.id == id)
            .map(|seq| seq.prefill_left)
            .sum();
        self.waiting.retain(|seq| seq.id != id);
        self.running.retain(|seq| seq.id != id);
        left
    }

    /// Starts the next step and returns its seconds; none if there is nothing to do.
    pub fn start(&mut self, costs: &Costs) -> Option<f64> {
        if self.busy || !self.up || self.changing {
            return None;
        }
        let (chunk, batch) = limits(self.role);
        while self.running.len() < batch && !self.waiting.is_empty() {
            self.running.push(self.waiting.remove(0));
        }
        if self.running.is_empty() {
            return None;
        }
        self.running
            .sort_by_key(|seq| std::cmp::Reverse(seq.priority));
        self.step.clear();
        let (mut left, mut decoding) = (chunk, 0_u32);
        for seq in &self.running {
            if seq.prefill_left == 0 {
                decoding += 1;
                self.step.push((seq.id, 0));
            } else if left > 0 {
                let tokens = seq.prefill_left.min(left);
                left -= tokens;
                self.step.push((seq.id, tokens));
            }
        }
        let mut seconds = costs.step_s + f64::from(chunk - left) * costs.prefill_s;
        if decoding > 0 {
            seconds += costs.decode_base_s + f64::from(decoding) * costs.decode_slope_s;
        }
        self.busy = true;
        self.worked += seconds;
        Some(seconds)
    }

    /// Ends the step; `None` if a sequence crashed the engine.
    pub fn finish(&mut self) -> Option<Vec<Progress>> {
        self.busy = false;
        let mut progress = Vec::new();
        for (id, tokens) in std::mem::take(&mut self.step) {
            let Some(index) = self.running.iter().position(|seq| seq.id == id) else {
                continue;
            };
            let seq = &mut self.running[index];
            if seq.poison {
                return None;
            }
            seq.prefill_left -= tokens;
            if seq.prefill_left > 0 {
                continue;
            }
            if tokens > 0 {
                let pieces = std::mem::take(&mut seq.pieces);
                self.cache.store(&pieces);
                self.running[index].pieces = pieces;
            }
            let seq = &mut self.running[index];
            if seq.prefill_only {
                progress.push(Progress::Prefilled(id));
                self.running.remove(index);
                continue;
            }
            seq.output_left = seq.output_left.saturating_sub(1);
            if seq.output_left == 0 {
                progress.push(Progress::Last(id));
                self.running.remove(index);
            } else {
                progress.push(Progress::Token(id));
            }
        }
        Some(progress)
    }

    /// Stops the engine and returns the runs that it loses.
    pub fn crash(&mut self) -> Vec<usize> {
        self.up = false;
        self.busy = false;
        self.changing = false;
        self.next_role = None;
        self.life += 1;
        self.forget();
        self.step.clear();
        self.running
            .drain(..)
            .chain(self.waiting.drain(..))
            .map(|seq| seq.id)
            .collect()
    }

    /// Load at this moment.
    pub fn load(&self) -> LoadReport {
        let all = || self.running.iter().chain(&self.waiting);
        LoadReport {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            prefill_tokens: all().map(|seq| u64::from(seq.prefill_left)).sum(),
            decode_tokens: all()
                .filter(|seq| !seq.prefill_only)
                .map(|seq| u64::from(seq.output_left))
                .sum(),
            role: self.role,
        }
    }

    /// Leading pieces that the cache holds.
    pub fn held(&self, pieces: &[u64]) -> usize {
        pieces
            .iter()
            .take_while(|piece| self.cache.held.contains_key(piece))
            .count()
    }

    /// Drops the cache, for a role change.
    pub fn forget(&mut self) {
        self.cache.held.clear();
        self.cache.order.clear();
        self.cache.events.clear();
    }

    /// Cache events from a number on, and the number after the last.
    pub fn events(&self, from: u64) -> (Vec<PrefixBlockEvent>, u64) {
        let events = self.cache.events.iter().filter(|event| event.seq >= from);
        (events.copied().collect(), self.cache.seq)
    }
}

impl Cache {
    /// Marks the leading pieces that are held as used and returns their number.
    fn touch(&mut self, pieces: &[u64]) -> usize {
        let held = pieces
            .iter()
            .take_while(|piece| self.held.contains_key(piece))
            .count();
        pieces[..held].iter().for_each(|&piece| self.put(piece));
        held
    }

    fn store(&mut self, pieces: &[u64]) {
        for &piece in pieces {
            if !self.held.contains_key(&piece) {
                self.event(piece, true);
            }
            self.put(piece);
        }
        while self.held.len() > CACHE_PIECES {
            let Some((_, oldest)) = self.order.pop_first() else {
                return;
            };
            self.held.remove(&oldest);
            self.event(oldest, false);
        }
    }

    fn put(&mut self, piece: u64) {
        self.clock += 1;
        if let Some(old) = self.held.insert(piece, self.clock) {
            self.order.remove(&old);
        }
        self.order.insert(self.clock, piece);
    }

    fn event(&mut self, piece: u64, stored: bool) {
        self.events.push_back(PrefixBlockEvent {
            seq: self.seq,
            block: piece,
            stored,
        });
        self.seq += 1;
        if self.events.len() > EVENTS_KEPT {
            self.events.pop_front();
        }
    }
}
