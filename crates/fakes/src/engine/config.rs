//! Settings and faults of the fake engine.

use nutmegbay_core::record::EngineRole;
use serde::{Deserialize, Serialize};

/// Settings of a fake engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineConfig {
    /// Models loaded at the start, as `name@version`; with an empty list, the engine serves any
    /// model.
    pub models: Vec<Box<str>>,
    /// Role after a start and after each crash.
    pub role: EngineRole,
    /// Time that prefill and decode take.
    pub cost: CostModel,
    /// Maximum number of requests in one batch.
    pub max_batch: usize,
    /// Capacity of the prefix cache, in prefix blocks of 2,048 tokens.
    pub cache_pieces: usize,
    /// Age of the load reports in milliseconds; 0 reports the current load.
    pub load_lag_ms: u64,
    /// Time until a cache event is published, in milliseconds.
    pub event_lag_ms: u64,
    /// Fraction of the cache events, from 0 to 1, that are never published. Each leaves a gap in
    /// the sequence numbers.
    pub event_gap_share: f64,
    /// Seed of the random choice of unpublished cache events.
    pub seed: u64,
    /// Whether the engine refuses orders with a fencing number below the highest that it accepted.
    pub checks_fencing: bool,
    /// Duration of a role change in milliseconds. The engine generates nothing meanwhile.
    pub role_change_ms: u64,
    /// Time to load a model or an adapter, in milliseconds. The engine generates nothing meanwhile.
    pub load_model_ms: u64,
    /// Text in a prompt that crashes the engine at the end of the prefill. Empty disables it.
    pub crash_marker: Box<str>,
    /// Time from a crash until the engine restarts, in milliseconds; `None` if it stays down.
    pub restart_ms: Option<u64>,
    /// Time without a frame after which an open answer sends a keep-alive, in milliseconds; 0
    /// disables keep-alives.
    pub keep_alive_ms: u64,
    /// Maximum length in tokens at which answers end by themselves; each length is derived from the
    /// prompt. With 0, answers end at `max_tokens` only.
    pub natural_tokens: u32,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            models: Vec::new(),
            role: EngineRole::Mixed,
            cost: CostModel::default(),
            max_batch: 64,
            cache_pieces: 1_024,
            load_lag_ms: 100,
            event_lag_ms: 200,
            event_gap_share: 0.0,
            seed: 1,
            checks_fencing: true,
            role_change_ms: 3_000,
            load_model_ms: 2_000,
            crash_marker: "crash-this-engine".into(),
            restart_ms: Some(1_000),
            keep_alive_ms: 500,
            natural_tokens: 0,
        }
    }
}

impl EngineConfig {
    /// Returns settings of an engine without simulated compute time or reporting lags, for latency
    /// measurements.
    pub fn instant() -> Self {
        Self {
            cost: CostModel::ZERO,
            load_lag_ms: 0,
            event_lag_ms: 0,
            ..Self::default()
        }
    }
}

/// Simulated compute time of the engine. Times are in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CostModel {
    /// Prefill time of one prompt token that is not cached.
    pub prefill_token_us: f64,
    /// Fixed time of a decode step, independent of the batch size.
    pub step_us: f64,
    /// Additional time of a decode step for each decoding request in the batch.
    pub step_request_us: f64,
    /// Maximum number of prompt tokens that one step prefills, over the whole batch.
    pub prefill_chunk: u32,
    /// Factor on the prefill time of an engine in the decode role, and on the decode time of one in
    /// the prefill role.
    pub off_role_factor: f64,
}

impl CostModel {
    /// All work takes no time, and a whole prompt is prefilled in one step.
    pub const ZERO: Self = Self {
        prefill_token_us: 0.0,
        step_us: 0.0,
        step_request_us: 0.0,
        prefill_chunk: u32::MAX,
        off_role_factor: 1.0,
    };

    /// Returns the factors on the prefill time and the decode time in `role`.
    pub fn role_factors(&self, role: EngineRole) -> (f64, f64) {
        match role {
            EngineRole::Mixed => (1.0, 1.0),
            EngineRole::Prefill => (1.0, self.off_role_factor),
            EngineRole::Decode => (self.off_role_factor, 1.0),
        }
    }
}

impl Default for CostModel {
    fn default() -> Self {
        Self {
            prefill_token_us: 20.0,
            step_us: 4_000.0,
            step_request_us: 100.0,
            prefill_chunk: 2_048,
            off_role_factor: 3.0,
        }
    }
}

/// Faults of a fake engine; `PUT /faults` replaces all of them. Each counter is the number of
/// frames or answers that are still to be affected.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[expect(clippy::struct_excessive_bools, reason = "independent faults")]
pub struct EngineFaults {
    /// The engine neither answers nor generates until this is cleared.
    pub stop_answering: bool,
    /// Black-holes the open connections, once, except that of the call which sets this.
    pub silence: bool,
    /// Factor on the time of every step.
    pub slow: f64,
    /// Crashes the engine, once.
    pub crash: bool,
    /// The engine goes on generating after a cancel call or a closed connection.
    pub ignore_cancel: bool,
    /// Number of next token frames that carry a wrong request ID.
    pub wrong_id: u32,
    /// Number of next token frames that are sent twice.
    pub duplicate: u32,
    /// Number of next answers that end without their end frame.
    pub drop_end: u32,
    /// Number of next token frames that are sent on the answer of another running request instead
    /// of their own.
    pub crossed: u32,
}

impl Default for EngineFaults {
    fn default() -> Self {
        Self {
            stop_answering: false,
            silence: false,
            slow: 1.0,
            crash: false,
            ignore_cancel: false,
            wrong_id: 0,
            duplicate: 0,
            drop_end: 0,
            crossed: 0,
        }
    }
}
