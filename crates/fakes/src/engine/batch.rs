//! Continuous batching: state of one engine and its steps.

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

use super::cache::Cache;
use super::config::{EngineConfig, EngineFaults};
use super::orders::Orders;
use super::tokens::TokenSource;

/// Load reports that are kept to look back by the lag.
const KEPT_LOADS: usize = 4_096;

/// Bits that a frame with a wrong id differs in.
const WRONG_ID_BITS: u128 = 0xbad;

/// The engine was lost while the answer was under way; the connection is to be cut.
#[derive(Debug, Clone, Copy)]
pub(super) struct Lost;

impl std::fmt::Display for Lost {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the engine crashed")
    }
}

impl std::error::Error for Lost {}

/// Line with one frame.
#[derive(Debug)]
pub(super) struct Line {
    pub(super) bytes: Bytes,
    /// Sequence number of the frame that follows.
    pub(super) next: u32,
}

/// Receiver of one answer.
pub(super) type Lines = mpsc::UnboundedReceiver<Result<Line, Lost>>;

/// What the engine saw and did, for tests; survives crashes.
#[derive(Debug, Default, Clone, Serialize)]
pub struct EngineSeen {
    /// Generations that arrived.
    pub generates: u64,
    /// Those of them that continued an answer.
    pub resumed: u64,
    /// Answers that were generated to their end.
    pub finished: u64,
    /// Generations that were cancelled, by a call or a closed connection.
    pub cancelled: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Prompt tokens that were prefilled.
    pub prefilled: u64,
    /// Prompt tokens that were found in the cache.
    pub cached: u64,
    /// Batch sizes at the crashes.
    pub crash_batches: Vec<usize>,
    /// Orders that took effect.
    pub orders: Vec<EngineOrder>,
    /// Orders refused for an old fencing number.
    pub fenced_orders: u64,
    /// Orders that were taken while requests were running.
    pub orders_under_load: u64,
    /// Names of all headers received with generations.
    pub header_names: BTreeSet<String>,
}

/// What the scheduler does next.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Plan {
    /// Nothing to do until something arrives.
    Idle,
    /// Nothing is generated until then, or until something changes.
    Hold(Option<Instant>),
    /// One step that takes this long.
    Step(Duration),
}

/// State of an engine.
#[derive(Debug)]
pub(super) struct Engine {
    pub(super) cfg: EngineConfig,
    pub(super) faults: EngineFaults,
    pub(super) seen: EngineSeen,
    pub(super) orders: Orders,
    pub(super) cache: Cache,
    waiting: Vec<Job>,
    running: Vec<Job>,
    arrivals: u64,
    loads: VecDeque<(Instant, Load)>,
}

impl Engine {
    pub(super) fn new(cfg: EngineConfig) -> Self {
        Self {
            faults: EngineFaults::default(),
            seen: EngineSeen::default(),
            orders: Orders::new(&cfg),
            cache: new_cache(&cfg),
            waiting: Vec::new(),
            running: Vec::new(),
            arrivals: 0,
            loads: VecDeque::new(),
            cfg,
        }
    }

    /// Queues a generation.
    pub(super) fn submit(&mut self, generate: &Generate) -> Lines {
        let (tx, rx) = mpsc::unbounded_channel();
        let source = TokenSource::new(&generate.model, &generate.prompt);
        let natural = source.natural_len(self.cfg.natural_tokens);
        let next = u32::try_from(generate.delivered.len()).unwrap_or(u32::MAX);
        let marker = &*self.cfg.crash_marker;
        self.arrivals += 1;
        self.seen.generates += 1;
        self.seen.resumed += u64::from(next > 0);
        self.waiting.push(Job {
            id: generate.id,
            attempt: generate.attempt,
            source,
            pieces: prefix_block_hashes(&generate.model, &generate.prompt),
            prompt_tokens: estimate_tokens(&generate.prompt),
            cached_tokens: 0,
            prefill_left: estimate_tokens(&generate.prompt).saturating_add(next),
            next,
            limit: natural.map_or(generate.max_tokens, |len| len.min(generate.max_tokens)),
            stops: natural.is_some_and(|len| len <= generate.max_tokens),
            priority: generate.priority,
            arrival: self.arrivals,
            marked: !marker.is_empty() && generate.prompt.contains(marker),
            tx,
        });
        self.note_load();
        rx
    }

    /// Cancels a generation, unless a fault says otherwise.
    pub(super) fn cancel(&mut self, id: RequestId) {
        if self.faults.ignore_cancel {
            return;
        }
        let before = self.jobs();
        self.waiting.retain(|job| job.id != id);
        self.running.retain(|job| job.id != id);
        self.seen.cancelled += (before - self.jobs()) as u64;
        self.note_load();
    }

    /// Requests that run or wait.
    pub(super) fn jobs(&self) -> usize {
        self.waiting.len() + self.running.len()
    }

    /// Drops everything that a crash loses.
    pub(super) fn crash(&mut self) {
        self.seen.crash_batches.push(self.running.len());
        for job in self.waiting.drain(..).chain(self.running.drain(..)) {
            let _ = job.tx.send(Err(Lost));
        }
        self.orders = Orders::new(&self.cfg);
        self.cache = new_cache(&self.cfg);
        self.loads.clear();
    }

    /// Admits waiting requests and decides on the next step.
    pub(super) fn plan(&mut self, now: Instant) -> Plan {
        if self.orders.complete(now) {
            self.cache.clear();
        }
        if self.faults.stop_answering {
            return Plan::Hold(None);
        }
        if let Some(at) = self.orders.done_at() {
            return Plan::Hold(Some(at));
        }
        self.drop_abandoned();
        self.admit();
        if self.running.is_empty() {
            return Plan::Idle;
        }
        let cost = &self.cfg.cost;
        let mut budget = cost.prefill_chunk;
        let (mut prefill, mut decoding) = (0, 0_u32);
        for job in &self.running {
            let part = job.prefill_left.min(budget);
            budget -= part;
            prefill += part;
            decoding += u32::from(part == job.prefill_left);
        }
        let (prefill_factor, decode_factor) = cost.role_factors(self.orders.role());
        let step = match decoding {
            0 => 0.0,
            _ => cost.step_us + cost.step_request_us * f64::from(decoding),
        };
        let us = f64::from(prefill) * cost.prefill_token_us * prefill_factor + step * decode_factor;
        Plan::Step(Duration::from_secs_f64(
            (us * self.faults.slow / 1e6).max(0.0),
        ))
    }

    /// Carries out the step that was planned. Returns whether the engine crashed over it.
    pub(super) fn commit(&mut self) -> bool {
        let mut budget = self.cfg.cost.prefill_chunk;
        let mut running = std::mem::take(&mut self.running);
        let mut crashed = false;
        for index in 0..running.len() {
            let job = &mut running[index];
            let part = job.prefill_left.min(budget);
            let was_prefilling = job.prefill_left > 0;
            budget -= part;
            job.prefill_left -= part;
            self.seen.prefilled += u64::from(part);
            if job.prefill_left > 0 {
                continue;
            }
            if job.marked {
                crashed = true;
                break;
            }
            if was_prefilling {
                self.cache.store(&job.pieces);
            }
            if job.next < job.limit {
                self.emit(&running, index);
                running[index].next += 1;
                self.seen.tokens += 1;
            }
        }
        self.running = running;
        if !crashed {
            self.finish();
            self.note_load();
        }
        crashed
    }

    /// Load as it was one lag ago.
    pub(super) fn load(&mut self, now: Instant) -> Load {
        let lag = Duration::from_millis(self.cfg.load_lag_ms);
        let Some(then) = now.checked_sub(lag).filter(|_| !lag.is_zero()) else {
            return self.current_load();
        };
        let known = self.loads.iter().rev().find(|(at, _)| *at <= then);
        let load = known.map(|(_, load)| load.clone());
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

    /// Records the load if it changed, so that reports can look back.
    pub(super) fn note_load(&mut self) {
        if self.cfg.load_lag_ms == 0 {
            return;
        }
        let load = self.current_load();
        if self.loads.back().is_some_and(|(_, last)| *last == load) {
            return;
        }
        self.loads.push_back((Instant::now(), load));
        if self.loads.len() > KEPT_LOADS {
            self.loads.pop_front();
        }
    }

    fn current_load(&self) -> Load {
        let jobs = || self.waiting.iter().chain(&self.running);
        Load {
            age_ms: 0,
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            prefill_tokens: jobs().map(|job| u64::from(job.prefill_left)).sum(),
            decode_tokens: jobs()
                .map(|job| u64::from(job.limit.saturating_sub(job.next)))
                .sum(),
            cache_used: self.cache.share(),
            role: self.orders.role(),
            models: self.orders.models(),
        }
    }

    fn drop_abandoned(&mut self) {
        if self.faults.ignore_cancel {
            return;
        }
        let before = self.jobs();
        self.waiting.retain(|job| !job.tx.is_closed());
        self.running.retain(|job| !job.tx.is_closed());
        self.seen.cancelled += (before - self.jobs()) as u64;
    }

    fn admit(&mut self) {
        while self.running.len() < self.cfg.max_batch {
            let first = (0..self.waiting.len()).min_by_key(|&index| {
                let job = &self.waiting[index];
                (std::cmp::Reverse(job.priority), job.arrival)
            });
            let Some(first) = first else { return };
            let mut job = self.waiting.swap_remove(first);
            let hits = self.cache.touch_prefix(&job.pieces);
            job.cached_tokens = u32::try_from(hits * PREFIX_BLOCK_TOKENS).unwrap_or(u32::MAX);
            job.prefill_left = job.prefill_left.saturating_sub(job.cached_tokens);
            self.seen.cached += u64::from(job.cached_tokens);
            self.running.push(job);
        }
    }

    /// Sends the next token of a job, with the faults that are due.
    fn emit(&mut self, running: &[Job], index: usize) {
        let job = &running[index];
        let frame = job.frame(job.next, FrameBody::Token(job.source.token(job.next)));
        if take(&mut self.faults.wrong_id) {
            job.send(&Frame {
                id: RequestId(frame.id.0 ^ WRONG_ID_BITS),
                ..frame
            });
            return;
        }
        let other = running.iter().find(|other| other.id != job.id);
        if let Some(other) = other.filter(|_| take(&mut self.faults.crossed)) {
            other.send(&frame);
            return;
        }
        job.send(&frame);
        if take(&mut self.faults.duplicate) {
            job.send(&frame);
        }
    }

    fn finish(&mut self) {
        let (ended, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|job| job.prefill_left == 0 && job.next >= job.limit);
        self.running = running;
        for job in ended {
            self.seen.finished += 1;
            if !take(&mut self.faults.drop_end) {
                job.send(&job.frame(job.next, FrameBody::End(job.end())));
            }
        }
    }
}

/// One generation.
#[derive(Debug)]
struct Job {
    id: RequestId,
    attempt: u32,
    source: TokenSource,
    pieces: Vec<u64>,
    prompt_tokens: u32,
    cached_tokens: u32,
    prefill_left: u32,
    next: u32,
    limit: u32,
    stops: bool,
    priority: u8,
    arrival: u64,
    marked: bool,
    tx: mpsc::UnboundedSender<Result<Line, Lost>>,
}

impl Job {
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
            finish: if self.stops { "stop" } else { "length" }.into(),
            prompt_tokens: self.prompt_tokens,
            cached_tokens: self.cached_tokens,
        }
    }

    fn send(&self, frame: &Frame) {
        let next = frame.seq + u32::from(matches!(frame.body, FrameBody::Token(_)));
        // The receiver is gone where the caller has left; the next step drops the job.
        let _ = self.tx.send(Ok(Line {
            bytes: line(frame),
            next,
        }));
    }
}

/// Line with `frame`.
pub(super) fn line(frame: &Frame) -> Bytes {
    let mut line = serde_json::to_vec(frame).expect("frames are plain JSON");
    line.push(b'\n');
    line.into()
}

/// Takes one from a counter of due faults.
fn take(count: &mut u32) -> bool {
    let due = *count > 0;
    *count = count.saturating_sub(1);
    due
}

fn new_cache(cfg: &EngineConfig) -> Cache {
    let lag = Duration::from_millis(cfg.event_lag_ms);
    Cache::new(cfg.cache_pieces, lag, cfg.event_gap_share, cfg.seed)
}
