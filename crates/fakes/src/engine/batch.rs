//! Engine state and scheduling by continuous batching.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use bytes::Bytes;
use nutmegbay_core::ids::RequestId;
use nutmegbay_proto::engine::{EngineOrder, Generate, Load};
use nutmegbay_proto::frame::{End, Frame, FrameBody};
use nutmegbay_proto::prefix::{PREFIX_BLOCK_TOKENS, estimate_tokens, prefix_block_hashes};
use serde::Serialize;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::cache::PrefixCache;
use super::config::{EngineConfig, EngineFaults};
use super::orders::OrderExecutor;
use super::tokens::TokenSource;

/// Maximum number of past loads that are kept to report the load of one lag ago.
const LOAD_HISTORY_LEN: usize = 4_096;

/// Bits that are flipped in the request ID of a frame by the fault `wrong_id`.
const WRONG_ID_BITS: u128 = 0xbad;

/// Error of an answer that a crash interrupted. It makes the server close the connection.
#[derive(Debug, Clone, Copy)]
pub(super) struct EngineCrashed;

impl std::fmt::Display for EngineCrashed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the engine crashed")
    }
}

impl std::error::Error for EngineCrashed {}

/// A frame encoded as one line of JSON.
#[derive(Debug)]
pub(super) struct EncodedFrame {
    pub(super) bytes: Bytes,
    /// Sequence number of the frame that follows.
    pub(super) next_seq: u32,
}

/// Receiver of the frames of one answer.
pub(super) type FrameReceiver = mpsc::UnboundedReceiver<Result<EncodedFrame, EngineCrashed>>;

/// Statistics for tests, served by `GET /seen`. They survive crashes.
#[derive(Debug, Default, Clone, Serialize)]
pub struct EngineStats {
    /// Number of generations that arrived.
    pub generates: u64,
    /// Number of generations that resumed an answer.
    pub resumed: u64,
    /// Number of answers that were generated to their end.
    pub finished: u64,
    /// Number of generations that were cancelled, by a call or a closed connection.
    pub cancelled: u64,
    /// Number of tokens generated.
    pub tokens: u64,
    /// Number of tokens that were prefilled, including the delivered ones of resumed answers.
    pub prefilled: u64,
    /// Number of prompt tokens that were found in the prefix cache.
    pub cached: u64,
    /// Batch size at each crash.
    pub crash_batches: Vec<usize>,
    /// Accepted orders, without repeats.
    pub orders: Vec<EngineOrder>,
    /// Number of orders refused because of a lower fencing number.
    pub fenced_orders: u64,
    /// Number of orders that were accepted while requests were running or waiting.
    pub orders_under_load: u64,
    /// Names of all headers received with generation requests.
    pub header_names: BTreeSet<String>,
}

/// Next action of the scheduler.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Plan {
    /// No request runs: wait for a change.
    Idle,
    /// Generate nothing until this time, or until a change; with `None` until a change only.
    Pause(Option<Instant>),
    /// Execute one step after this time.
    Step(Duration),
}

/// State of one engine.
#[derive(Debug)]
pub(super) struct Engine {
    pub(super) cfg: EngineConfig,
    pub(super) faults: EngineFaults,
    pub(super) stats: EngineStats,
    pub(super) orders: OrderExecutor,
    pub(super) cache: PrefixCache,
    waiting: Vec<Generation>,
    running: Vec<Generation>,
    /// Number of generations submitted so far.
    arrival_count: u64,
    /// Past loads with the time of each change, empty without a load lag.
    load_history: VecDeque<(Instant, Load)>,
}

impl Engine {
    pub(super) fn new(cfg: EngineConfig) -> Self {
        Self {
            faults: EngineFaults::default(),
            stats: EngineStats::default(),
            orders: OrderExecutor::new(&cfg),
            cache: new_cache(&cfg),
            waiting: Vec::new(),
            running: Vec::new(),
            arrival_count: 0,
            load_history: VecDeque::new(),
            cfg,
        }
    }

    /// Queues a generation and returns the receiver of its frames.
    pub(super) fn submit(&mut self, generate: &Generate) -> FrameReceiver {
        let (tx, rx) = mpsc::unbounded_channel();
        let source = TokenSource::new(&generate.model, &generate.prompt);
        let natural_len = source.natural_len(self.cfg.natural_tokens);
        let next_token = u32::try_from(generate.delivered.len()).unwrap_or(u32::MAX);
        let marker = &*self.cfg.crash_marker;
        self.arrival_count += 1;
        self.stats.generates += 1;
        self.stats.resumed += u64::from(next_token > 0);
        self.waiting.push(Generation {
            id: generate.id,
            attempt: generate.attempt,
            source,
            prefix_blocks: prefix_block_hashes(&generate.model, &generate.prompt),
            prompt_tokens: estimate_tokens(&generate.prompt),
            cached_tokens: 0,
            remaining_prefill: estimate_tokens(&generate.prompt).saturating_add(next_token),
            next_token,
            token_limit: natural_len
                .map_or(generate.max_tokens, |len| len.min(generate.max_tokens)),
            ends_naturally: natural_len.is_some_and(|len| len <= generate.max_tokens),
            priority: generate.priority,
            arrival_number: self.arrival_count,
            triggers_crash: !marker.is_empty() && generate.prompt.contains(marker),
            tx,
        });
        self.record_load();
        rx
    }

    /// Cancels a generation, unless the fault `ignore_cancel` is set.
    pub(super) fn cancel(&mut self, id: RequestId) {
        if self.faults.ignore_cancel {
            return;
        }
        let before = self.requests_in_flight();
        self.waiting.retain(|generation| generation.id != id);
        self.running.retain(|generation| generation.id != id);
        self.stats.cancelled += (before - self.requests_in_flight()) as u64;
        self.record_load();
    }

    /// Returns the number of running and waiting requests.
    pub(super) fn requests_in_flight(&self) -> usize {
        self.waiting.len() + self.running.len()
    }

    /// Discards the state that a crash loses: requests, orders, cache and load history.
    pub(super) fn crash(&mut self) {
        self.stats.crash_batches.push(self.running.len());
        for generation in self.waiting.drain(..).chain(self.running.drain(..)) {
            let _ = generation.tx.send(Err(EngineCrashed));
        }
        self.orders = OrderExecutor::new(&self.cfg);
        self.cache = new_cache(&self.cfg);
        self.load_history.clear();
    }

    /// Admits waiting requests and plans the next step.
    pub(super) fn plan_step(&mut self, now: Instant) -> Plan {
        if self.orders.complete_due(now) {
            self.cache.clear();
        }
        if self.faults.stop_answering {
            return Plan::Pause(None);
        }
        if let Some(at) = self.orders.completes_at() {
            return Plan::Pause(Some(at));
        }
        self.drop_abandoned();
        self.admit();
        if self.running.is_empty() {
            return Plan::Idle;
        }
        let cost = &self.cfg.cost;
        let mut budget = cost.prefill_chunk;
        let (mut prefill, mut decoding) = (0, 0_u32);
        for generation in &self.running {
            let chunk = generation.remaining_prefill.min(budget);
            budget -= chunk;
            prefill += chunk;
            decoding += u32::from(chunk == generation.remaining_prefill);
        }
        let (prefill_factor, decode_factor) = cost.role_factors(self.orders.role());
        let decode_us = match decoding {
            0 => 0.0,
            _ => cost.step_us + cost.step_request_us * f64::from(decoding),
        };
        let us =
            f64::from(prefill) * cost.prefill_token_us * prefill_factor + decode_us * decode_factor;
        Plan::Step(Duration::from_secs_f64(
            (us * self.faults.slow / 1e6).max(0.0),
        ))
    }

    /// Executes the planned step. Returns whether it crashed the engine.
    pub(super) fn execute_step(&mut self) -> bool {
        let mut budget = self.cfg.cost.prefill_chunk;
        let mut running = std::mem::take(&mut self.running);
        let mut crashed = false;
        for index in 0..running.len() {
            let generation = &mut running[index];
            let chunk = generation.remaining_prefill.min(budget);
            let was_prefilling = generation.remaining_prefill > 0;
            budget -= chunk;
            generation.remaining_prefill -= chunk;
            self.stats.prefilled += u64::from(chunk);
            if generation.remaining_prefill > 0 {
                continue;
            }
            if generation.triggers_crash {
                crashed = true;
                break;
            }
            if was_prefilling {
                self.cache.store(&generation.prefix_blocks);
            }
            if generation.next_token < generation.token_limit {
                self.send_token(&running, index);
                running[index].next_token += 1;
                self.stats.tokens += 1;
            }
        }
        self.running = running;
        if !crashed {
            self.send_ends();
            self.record_load();
        }
        crashed
    }

    /// Returns the load as it was one lag before `now`.
    pub(super) fn load(&mut self, now: Instant) -> Load {
        let lag = Duration::from_millis(self.cfg.load_lag_ms);
        let Some(as_of) = now.checked_sub(lag).filter(|_| !lag.is_zero()) else {
            return self.current_load();
        };
        let latest = self.load_history.iter().rev().find(|(at, _)| *at <= as_of);
        let load = latest.map(|(_, load)| load.clone());
        let idle = || Load {
            role: self.orders.role(),
            models: self.orders.models(),
            ..Load::default()
        };
        Load {
            age_ms: self.cfg.load_lag_ms,
            ..load.unwrap_or_else(idle)
        }
    }

    /// Records the current load in the history if it changed.
    pub(super) fn record_load(&mut self) {
        if self.cfg.load_lag_ms == 0 {
            return;
        }
        let load = self.current_load();
        if self
            .load_history
            .back()
            .is_some_and(|(_, last)| *last == load)
        {
            return;
        }
        self.load_history.push_back((Instant::now(), load));
        if self.load_history.len() > LOAD_HISTORY_LEN {
            self.load_history.pop_front();
        }
    }

    fn current_load(&self) -> Load {
        let generations = || self.waiting.iter().chain(&self.running);
        Load {
            age_ms: 0,
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            prefill_tokens: generations()
                .map(|generation| u64::from(generation.remaining_prefill))
                .sum(),
            decode_tokens: generations()
                .map(|generation| {
                    u64::from(generation.token_limit.saturating_sub(generation.next_token))
                })
                .sum(),
            cache_used: self.cache.used_fraction(),
            role: self.orders.role(),
            models: self.orders.models(),
        }
    }

    /// Drops the generations whose caller closed the connection, unless the fault `ignore_cancel`
    /// is set.
    fn drop_abandoned(&mut self) {
        if self.faults.ignore_cancel {
            return;
        }
        let before = self.requests_in_flight();
        self.waiting.retain(|generation| !generation.tx.is_closed());
        self.running.retain(|generation| !generation.tx.is_closed());
        self.stats.cancelled += (before - self.requests_in_flight()) as u64;
    }

    /// Moves waiting generations into the batch, by descending priority and then by arrival.
    fn admit(&mut self) {
        while self.running.len() < self.cfg.max_batch {
            let first = (0..self.waiting.len()).min_by_key(|&index| {
                let generation = &self.waiting[index];
                (
                    std::cmp::Reverse(generation.priority),
                    generation.arrival_number,
                )
            });
            let Some(first) = first else { return };
            let mut generation = self.waiting.swap_remove(first);
            let cached_blocks = self.cache.touch_prefix(&generation.prefix_blocks);
            generation.cached_tokens =
                u32::try_from(cached_blocks * PREFIX_BLOCK_TOKENS).unwrap_or(u32::MAX);
            generation.remaining_prefill = generation
                .remaining_prefill
                .saturating_sub(generation.cached_tokens);
            self.stats.cached += u64::from(generation.cached_tokens);
            self.running.push(generation);
        }
    }

    /// Sends the next token of a generation, altered by the frame faults that are due.
    fn send_token(&mut self, running: &[Generation], index: usize) {
        let generation = &running[index];
        let frame = generation.frame(
            generation.next_token,
            FrameBody::Token(generation.source.token(generation.next_token)),
        );
        if take_due(&mut self.faults.wrong_id) {
            generation.send(&Frame {
                id: RequestId(frame.id.0 ^ WRONG_ID_BITS),
                ..frame
            });
            return;
        }
        let other = running.iter().find(|other| other.id != generation.id);
        if let Some(other) = other.filter(|_| take_due(&mut self.faults.crossed)) {
            other.send(&frame);
            return;
        }
        generation.send(&frame);
        if take_due(&mut self.faults.duplicate) {
            generation.send(&frame);
        }
    }

    /// Removes the completed generations from the batch and sends their end frames.
    fn send_ends(&mut self) {
        let (completed, running) =
            std::mem::take(&mut self.running)
                .into_iter()
                .partition(|generation| {
                    generation.remaining_prefill == 0
                        && generation.next_token >= generation.token_limit
                });
        self.running = running;
        for generation in completed {
            self.stats.finished += 1;
            if !take_due(&mut self.faults.drop_end) {
                generation.send(
                    &generation.frame(generation.next_token, FrameBody::End(generation.end())),
                );
            }
        }
    }
}

/// A request that is waiting or running.
#[derive(Debug)]
struct Generation {
    id: RequestId,
    attempt: u32,
    source: TokenSource,
    /// Hashes of the full prefix blocks of the prompt.
    prefix_blocks: Vec<u64>,
    prompt_tokens: u32,
    /// Prompt tokens found in the prefix cache on admission.
    cached_tokens: u32,
    /// Tokens of the prompt and of the delivered answer that still have to be prefilled.
    remaining_prefill: u32,
    /// Index of the next token.
    next_token: u32,
    /// Number of tokens after which the answer ends.
    token_limit: u32,
    /// Whether the answer ends by itself, at or before `max_tokens`.
    ends_naturally: bool,
    priority: u8,
    arrival_number: u64,
    /// Whether the prompt contains the crash marker.
    triggers_crash: bool,
    tx: mpsc::UnboundedSender<Result<EncodedFrame, EngineCrashed>>,
}

impl Generation {
    fn frame(&self, seq: u32, body: FrameBody) -> Frame {
        Frame {
            id: self.id,
            attempt: self.attempt,
            seq,
            body,
        }
    }

    fn end(&self) -> End {
        End {
            finish: if self.ends_naturally {
                "stop"
            } else {
                "length"
            }
            .into(),
            prompt_tokens: self.prompt_tokens,
            cached_tokens: self.cached_tokens,
        }
    }

    fn send(&self, frame: &Frame) {
        let next_seq = frame.seq + u32::from(matches!(frame.body, FrameBody::Token(_)));
        // Fails if the caller closed the connection. The next step then drops the generation.
        let _ = self.tx.send(Ok(EncodedFrame {
            bytes: encode_frame(frame),
            next_seq,
        }));
    }
}

/// Encodes `frame` as one line of JSON.
pub(super) fn encode_frame(frame: &Frame) -> Bytes {
    let mut line = serde_json::to_vec(frame).expect("frames are plain JSON");
    line.push(b'\n');
    line.into()
}

/// Decrements a fault counter. Returns whether the fault was due.
fn take_due(count: &mut u32) -> bool {
    let due = *count > 0;
    *count = count.saturating_sub(1);
    due
}

fn new_cache(cfg: &EngineConfig) -> PrefixCache {
    let lag = Duration::from_millis(cfg.event_lag_ms);
    PrefixCache::new(cfg.cache_pieces, lag, cfg.event_gap_share, cfg.seed)
}
