//! Cost model of prefill and decode, in seconds of engine time.

use nutmegbay_core::record::EngineRole;

/// Number of prefill observations per window. Only the cheapest one of a window counts.
///
/// The measured prefill time includes waits inside the engine that no report shows. Averaging
/// raised the estimate, which in turn raised the waits. The cheapest of many observations did not
/// wait.
const PREFILL_WINDOW: u32 = 64;

/// Weight of the cheapest prefill of a window in the new estimate.
const PREFILL_GAIN: f64 = 0.5;

/// Fewest tokens of a prefill that the model learns from. The fixed cost of a step distorts shorter
/// ones.
const MIN_PREFILL_TOKENS: u32 = 2_048;

/// Factor by which older decode observations lose weight with each new one.
const DECODE_FORGETTING_FACTOR: f64 = 0.98;

/// Cost of prefill and decode, starting from first estimates and corrected by observations.
#[derive(Debug, Clone, Copy)]
pub struct CostModel {
    prefill_s_per_token: f64,
    decode_base_s: f64,
    decode_slope_s: f64,
    min_s_per_token: f64,
    observed_prefills: u32,
    sums: StepTimeSums,
}

/// Weighted sums of a least-squares line through (batch size, step time).
#[derive(Debug, Default, Clone, Copy)]
struct StepTimeSums {
    n: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl CostModel {
    /// Creates a model from first estimates: seconds per uncached prompt token, and a decode step
    /// of `decode_base_s + batch * decode_slope_s` seconds.
    pub fn new(prefill_s_per_token: f64, decode_base_s: f64, decode_slope_s: f64) -> Self {
        Self {
            prefill_s_per_token,
            decode_base_s,
            decode_slope_s,
            min_s_per_token: f64::INFINITY,
            observed_prefills: 0,
            sums: StepTimeSums::default(),
        }
    }

    /// Learns from a prefill of `tokens` uncached prompt tokens on an engine that does no decode.
    /// The prefill ended `seconds` after it was sent.
    pub fn observe_prefill(&mut self, tokens: u32, seconds: f64) {
        if tokens < MIN_PREFILL_TOKENS || !seconds.is_finite() || seconds <= 0.0 {
            return;
        }
        self.min_s_per_token = self.min_s_per_token.min(seconds / f64::from(tokens));
        self.observed_prefills += 1;
        if self.observed_prefills >= PREFILL_WINDOW {
            self.prefill_s_per_token +=
                PREFILL_GAIN * (self.min_s_per_token - self.prefill_s_per_token);
            self.min_s_per_token = f64::INFINITY;
            self.observed_prefills = 0;
        }
    }

    /// Learns from a decode step of `batch` sequences that took `seconds`.
    pub fn observe_decode(&mut self, batch: u32, seconds: f64) {
        if batch == 0 || !seconds.is_finite() || seconds <= 0.0 {
            return;
        }
        let (x, y) = (f64::from(batch), seconds);
        let s = &mut self.sums;
        s.n = s.n * DECODE_FORGETTING_FACTOR + 1.0;
        s.x = s.x * DECODE_FORGETTING_FACTOR + x;
        s.y = s.y * DECODE_FORGETTING_FACTOR + y;
        s.xx = s.xx * DECODE_FORGETTING_FACTOR + x * x;
        s.xy = s.xy * DECODE_FORGETTING_FACTOR + x * y;
        let determinant = s.n * s.xx - s.x * s.x;
        // The slope cannot be determined from batches of nearly the same size.
        if s.n < 8.0 || determinant < s.n * s.n * 0.5 {
            return;
        }
        let slope = (s.n * s.xy - s.x * s.y) / determinant;
        let base = (s.y - slope * s.x) / s.n;
        if slope > 0.0 && base > 0.0 {
            self.decode_slope_s = slope;
            self.decode_base_s = base;
        }
    }

    /// Returns the engine seconds for the prefill of `uncached` prompt tokens.
    pub fn prefill(&self, uncached: u32) -> f64 {
        f64::from(uncached) * self.prefill_s_per_token
    }

    /// Returns the seconds of one decode step with `batch` sequences.
    pub fn step(&self, batch: u32) -> f64 {
        self.decode_base_s + f64::from(batch.max(1)) * self.decode_slope_s
    }

    /// Returns the engine seconds that `tokens` generated tokens use when `batch` sequences run in
    /// parallel.
    pub fn decode(&self, tokens: u32, batch: u32) -> f64 {
        f64::from(tokens) * self.step(batch) / f64::from(batch.max(1))
    }

    /// Returns the engine seconds of a whole request at the typical batch size of `role`.
    pub fn work(&self, uncached: u32, output: u32, role: EngineRole) -> f64 {
        self.prefill(uncached) + self.decode(output, typical_batch(role))
    }
}

/// Returns the batch size used to estimate decode work before the engine's own batch is known.
pub fn typical_batch(role: EngineRole) -> u32 {
    match role {
        EngineRole::Mixed => 16,
        EngineRole::Prefill => 1,
        EngineRole::Decode => 32,
    }
}
