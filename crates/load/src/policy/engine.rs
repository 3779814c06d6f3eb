//! Fake engine with continuous batching, prefix cache, roles and load reports.

use std::collections::{BTreeMap, HashMap, VecDeque};

use nutmegbay_core::record::EngineRole;
use nutmegbay_policy::fleet::{LoadReport, PrefixBlockEvent};

/// Number of prefix blocks that the cache of one engine holds, which is 262,144 tokens.
const CACHE_CAPACITY_BLOCKS: usize = 128;

/// Maximum number of cache events kept for readers.
const MAX_CACHE_EVENTS: usize = 2_000;

/// Time costs of an engine.
#[derive(Debug, Clone, Copy)]
pub struct EngineCosts {
    /// Seconds of prefill per prompt token.
    pub prefill_s_per_token: f64,
    /// Fixed seconds of a step that decodes.
    pub decode_base_s: f64,
    /// Seconds that each decoding sequence adds to a step.
    pub decode_s_per_sequence: f64,
    /// Fixed seconds of any step.
    pub step_overhead_s: f64,
    /// Fixed seconds of a cache transfer.
    pub transfer_base_s: f64,
    /// Seconds that each token adds to a transfer.
    pub transfer_s_per_token: f64,
    /// Seconds of a role change, after the drain.
    pub role_change_s: f64,
}

impl Default for EngineCosts {
    fn default() -> Self {
        Self {
            prefill_s_per_token: 1e-4,
            decode_base_s: 0.012,
            decode_s_per_sequence: 2.5e-4,
            step_overhead_s: 0.002,
            transfer_base_s: 0.01,
            transfer_s_per_token: 4e-6,
            role_change_s: 4.0,
        }
    }
}

impl EngineCosts {
    /// Returns the engine seconds per generated token in the largest batch of a decode engine.
    pub fn ideal_decode_s_per_token(&self) -> f64 {
        let batch = step_limits(EngineRole::Decode).1 as f64;
        (self.decode_base_s + batch * self.decode_s_per_sequence) / batch
    }
}

/// Returns the maximum number of prompt tokens in a step and of sequences in a batch for a role.
pub fn step_limits(role: EngineRole) -> (u32, usize) {
    match role {
        EngineRole::Mixed => (512, 24),
        EngineRole::Prefill => (2_048, 8),
        EngineRole::Decode => (256, 64),
    }
}

/// Sequence that waits or runs on an engine.
#[derive(Debug, Clone)]
pub struct Sequence {
    /// Index of the engine run, assigned by the simulation.
    pub id: usize,
    /// Priority; a larger one runs first.
    pub priority: u8,
    /// Prompt tokens, including tokens generated before on another engine.
    pub prompt_tokens: u32,
    /// Hashes of the prefix blocks of the prompt.
    pub prefix_blocks: Vec<u64>,
    /// Prompt tokens left to prefill.
    pub prefill_remaining: u32,
    /// Tokens left to generate.
    pub output_remaining: u32,
    /// Whether it ends after prefill and decode runs on another engine.
    pub prefill_only: bool,
    /// Whether it crashes the engine that runs it.
    pub poison: bool,
    /// Prompt tokens whose cache is imported from another engine.
    pub imported_tokens: u32,
}

/// Progress of a sequence in a step, with the index of its engine run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// Prefill of a sequence with `prefill_only` is complete.
    Prefilled(usize),
    /// A token was generated and more follow.
    Token(usize),
    /// The last token was generated.
    LastToken(usize),
}

/// Fake engine.
#[expect(
    clippy::struct_excessive_bools,
    reason = "the conditions are independent"
)]
#[derive(Debug)]
pub struct Engine {
    /// Failure domain.
    pub domain: u16,
    /// Current role.
    pub role: EngineRole,
    /// Whether the process runs: it has neither crashed nor been removed.
    pub is_up: bool,
    /// Role that it takes after the drain.
    pub next_role: Option<EngineRole>,
    /// Whether it is unavailable because its role changes.
    pub role_changing: bool,
    /// Whether its removal was ordered; it stops after the drain.
    pub removal_ordered: bool,
    /// Incarnation. Events scheduled for an earlier one are ignored.
    pub incarnation: u32,
    /// Whether a step is in progress.
    pub step_in_progress: bool,
    /// Sum of the seconds of all steps.
    pub busy_s: f64,
    waiting: Vec<Sequence>,
    running: Vec<Sequence>,
    /// Sequences in the current step with their prefill tokens, which are 0 for a decode.
    step_tokens: Vec<(usize, u32)>,
    cache: Cache,
}

/// Prefix cache that evicts the least recently used block.
#[derive(Debug, Default)]
struct Cache {
    last_used: HashMap<u64, u64>,
    blocks_by_last_use: BTreeMap<u64, u64>,
    use_counter: u64,
    seq: u64,
    events: VecDeque<PrefixBlockEvent>,
}

impl Engine {
    /// Creates an idle engine with an empty cache.
    pub fn new(domain: u16, role: EngineRole) -> Self {
        Self {
            domain,
            role,
            is_up: true,
            next_role: None,
            role_changing: false,
            removal_ordered: false,
            incarnation: 0,
            step_in_progress: false,
            busy_s: 0.0,
            waiting: Vec::new(),
            running: Vec::new(),
            step_tokens: Vec::new(),
            cache: Cache::default(),
        }
    }

    /// Returns whether it accepts new work.
    pub fn accepts_work(&self) -> bool {
        self.is_up && !self.role_changing && !self.removal_ordered && self.next_role.is_none()
    }

    /// Returns whether no sequence runs or waits.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// Adds a sequence to the waiting ones and returns the number of its prompt tokens that are
    /// cached or imported.
    pub fn submit(&mut self, mut seq: Sequence, block_tokens: u32) -> u32 {
        let cached_prefix_tokens =
            self.cache.use_leading_blocks(&seq.prefix_blocks) as u32 * block_tokens;
        let cached_tokens = cached_prefix_tokens
            .max(seq.imported_tokens)
            .min(seq.prompt_tokens);
        seq.prefill_remaining = seq.prompt_tokens - cached_tokens;
        let at = self
            .waiting
            .partition_point(|other| other.priority >= seq.priority);
        self.waiting.insert(at, seq);
        cached_tokens
    }

    /// Removes the sequence of an engine run and returns its prompt tokens left to prefill.
    pub fn cancel(&mut self, id: usize) -> u32 {
        let all = self.waiting.iter().chain(&self.running);
        let prefill_remaining = all
            .filter(|seq| seq.id == id)
            .map(|seq| seq.prefill_remaining)
            .sum();
        self.waiting.retain(|seq| seq.id != id);
        self.running.retain(|seq| seq.id != id);
        prefill_remaining
    }

    /// Starts the next step and returns its seconds. Returns `None` if no step can start or there
    /// is no work.
    pub fn start_step(&mut self, costs: &EngineCosts) -> Option<f64> {
        if self.step_in_progress || !self.is_up || self.role_changing {
            return None;
        }
        let (chunk, batch) = step_limits(self.role);
        while self.running.len() < batch && !self.waiting.is_empty() {
            self.running.push(self.waiting.remove(0));
        }
        if self.running.is_empty() {
            return None;
        }
        self.running
            .sort_by_key(|seq| std::cmp::Reverse(seq.priority));
        self.step_tokens.clear();
        let (mut chunk_remaining, mut decoding) = (chunk, 0_u32);
        for seq in &self.running {
            if seq.prefill_remaining == 0 {
                decoding += 1;
                self.step_tokens.push((seq.id, 0));
            } else if chunk_remaining > 0 {
                let tokens = seq.prefill_remaining.min(chunk_remaining);
                chunk_remaining -= tokens;
                self.step_tokens.push((seq.id, tokens));
            }
        }
        let mut seconds =
            costs.step_overhead_s + f64::from(chunk - chunk_remaining) * costs.prefill_s_per_token;
        if decoding > 0 {
            seconds += costs.decode_base_s + f64::from(decoding) * costs.decode_s_per_sequence;
        }
        self.step_in_progress = true;
        self.busy_s += seconds;
        Some(seconds)
    }

    /// Ends the step and returns the progress of its sequences. Returns `None` if a sequence
    /// crashed the engine.
    pub fn finish_step(&mut self) -> Option<Vec<Progress>> {
        self.step_in_progress = false;
        let mut progress = Vec::new();
        for (id, tokens) in std::mem::take(&mut self.step_tokens) {
            let Some(index) = self.running.iter().position(|seq| seq.id == id) else {
                continue;
            };
            let seq = &mut self.running[index];
            if seq.poison {
                return None;
            }
            seq.prefill_remaining -= tokens;
            if seq.prefill_remaining > 0 {
                continue;
            }
            if tokens > 0 {
                let prefix_blocks = std::mem::take(&mut seq.prefix_blocks);
                self.cache.insert(&prefix_blocks);
                self.running[index].prefix_blocks = prefix_blocks;
            }
            let seq = &mut self.running[index];
            if seq.prefill_only {
                progress.push(Progress::Prefilled(id));
                self.running.remove(index);
                continue;
            }
            seq.output_remaining = seq.output_remaining.saturating_sub(1);
            if seq.output_remaining == 0 {
                progress.push(Progress::LastToken(id));
                self.running.remove(index);
            } else {
                progress.push(Progress::Token(id));
            }
        }
        Some(progress)
    }

    /// Stops the engine and returns the engine runs that were lost.
    pub fn crash(&mut self) -> Vec<usize> {
        self.is_up = false;
        self.step_in_progress = false;
        self.role_changing = false;
        self.next_role = None;
        self.incarnation += 1;
        self.clear_cache();
        self.step_tokens.clear();
        self.running
            .drain(..)
            .chain(self.waiting.drain(..))
            .map(|seq| seq.id)
            .collect()
    }

    /// Returns the current load.
    pub fn load_report(&self) -> LoadReport {
        let all = || self.running.iter().chain(&self.waiting);
        LoadReport {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            prefill_tokens: all().map(|seq| u64::from(seq.prefill_remaining)).sum(),
            decode_tokens: all()
                .filter(|seq| !seq.prefill_only)
                .map(|seq| u64::from(seq.output_remaining))
                .sum(),
            role: self.role,
        }
    }

    /// Returns the number of leading blocks that are cached.
    pub fn cached_blocks(&self, prefix_blocks: &[u64]) -> usize {
        prefix_blocks
            .iter()
            .take_while(|block| self.cache.last_used.contains_key(block))
            .count()
    }

    /// Clears the cache, after a crash or for a role change.
    pub fn clear_cache(&mut self) {
        self.cache.last_used.clear();
        self.cache.blocks_by_last_use.clear();
        self.cache.events.clear();
    }

    /// Returns the cache events from sequence number `from` on, and the number after the last
    /// event.
    pub fn cache_events(&self, from: u64) -> (Vec<PrefixBlockEvent>, u64) {
        let events = self.cache.events.iter().filter(|event| event.seq >= from);
        (events.copied().collect(), self.cache.seq)
    }
}

impl Cache {
    /// Marks the leading blocks that are cached as used and returns their number.
    fn use_leading_blocks(&mut self, prefix_blocks: &[u64]) -> usize {
        let cached_blocks = prefix_blocks
            .iter()
            .take_while(|block| self.last_used.contains_key(block))
            .count();
        prefix_blocks[..cached_blocks]
            .iter()
            .for_each(|&block| self.mark_used(block));
        cached_blocks
    }

    /// Inserts blocks and evicts the least recently used ones beyond the capacity.
    fn insert(&mut self, prefix_blocks: &[u64]) {
        for &block in prefix_blocks {
            if !self.last_used.contains_key(&block) {
                self.push_event(block, true);
            }
            self.mark_used(block);
        }
        while self.last_used.len() > CACHE_CAPACITY_BLOCKS {
            let Some((_, oldest)) = self.blocks_by_last_use.pop_first() else {
                return;
            };
            self.last_used.remove(&oldest);
            self.push_event(oldest, false);
        }
    }

    fn mark_used(&mut self, block: u64) {
        self.use_counter += 1;
        if let Some(old) = self.last_used.insert(block, self.use_counter) {
            self.blocks_by_last_use.remove(&old);
        }
        self.blocks_by_last_use.insert(self.use_counter, block);
    }

    fn push_event(&mut self, block: u64, stored: bool) {
        self.events.push_back(PrefixBlockEvent {
            seq: self.seq,
            block,
            stored,
        });
        self.seq += 1;
        if self.events.len() > MAX_CACHE_EVENTS {
            self.events.pop_front();
        }
    }
}
