//! Settings and faults of the fake engine.

use nutmegbay_core::record::EngineRole;
use serde::{Deserialize, Serialize};

/// Settings of a fake engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineConfig {
    /// Loaded models as `name@version`; an empty list serves any model.
    pub models: Vec<Box<str>>,
    /// Role after a start.
    pub role: EngineRole,
    /// Time of the model.
    pub cost: CostModel,
    /// Requests that run in one batch.
    pub max_batch: usize,
    /// Pieces of 2,048 tokens that the prefix cache holds.
    pub cache_pieces: usize,
    /// Age of load reports.
    pub load_lag_ms: u64,
    /// Time until a cache event is published.
    pub event_lag_ms: u64,
    /// Share of cache events that are never published.
    pub event_gap_share: f64,
    /// Seed of the choice of lost cache events.
    pub seed: u64,
    /// Whether orders with a fencing number below the highest seen are refused.
    pub checks_fencing: bool,
    /// Time of a role change, during which nothing is generated.
    pub role_change_ms: u64,
    /// Time of a model or adapter load, during which nothing is generated.
    pub load_model_ms: u64,
    /// The engine crashes when it runs a prompt that contains this text. Empty for never.
    pub crash_marker: Box<str>,
    /// Time after a crash until the engine is back, none for never.
    pub restart_ms: Option<u64>,
    /// Time without a frame after which an open answer carries a sign of life; 0 for none.
    pub keep_alive_ms: u64,
    /// Tokens after which answers stop by themselves; 0 for at `max_tokens` only.
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
    /// Settings of an engine that answers as fast as it can, for latency measurements.
    pub fn instant() -> Self {
        Self {
            cost: CostModel::ZERO,
            load_lag_ms: 0,
            event_lag_ms: 0,
            ..Self::default()
        }
    }
}

/// Time that the engine takes, in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CostModel {
    /// Prefill of one prompt token that is not cached.
    pub prefill_token_us: f64,
    /// One decode step, whatever the batch.
    pub step_us: f64,
    /// Part of a decode step for each request in the batch.
    pub step_request_us: f64,
    /// Prompt tokens that are prefilled within one step at most.
    pub prefill_chunk: u32,
    /// Factor on the time of prefill in a decode-only engine and of decode in a prefill-only one.
    pub off_role_factor: f64,
}

impl CostModel {
    /// No time at all.
    pub const ZERO: Self = Self {
        prefill_token_us: 0.0,
        step_us: 0.0,
        step_request_us: 0.0,
        prefill_chunk: u32::MAX,
        off_role_factor: 1.0,
    };

    /// Factors on the time of prefill and of decode in `role`.
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

/// Faults of a fake engine; `PUT /faults` replaces them all.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[expect(clippy::struct_excessive_bools, reason = "independent faults")]
pub struct EngineFaults {
    /// Nothing is answered or generated until this is cleared.
    pub stop_answering: bool,
    /// Open connections other than that of this call go silent, once.
    pub silence: bool,
    /// Factor on all times.
    pub slow: f64,
    /// Crash, once.
    pub crash: bool,
    /// Cancels have no effect, neither as a call nor by a closed connection.
    pub ignore_cancel: bool,
    /// Next token frames that carry a wrong request id.
    pub wrong_id: u32,
    /// Next token frames that are sent twice.
    pub duplicate: u32,
    /// Next answers that end without their last frame.
    pub drop_end: u32,
    /// Next token frames that are sent to another running request as well, in place of its own.
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
