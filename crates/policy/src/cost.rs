//! Cost of model work in seconds of engine time.

use nutmegbay_core::record::EngineRole;

/// Prefill observations of which the cheapest one counts.
///
/// The time to the end of prefill contains waits inside the engine that nothing shows. A mean over
/// them raised the estimate, which raised the waits; the cheapest of many did not wait.
const PREFILL_WINDOW: u32 = 64;

/// Weight of the cheapest prefill of a window.
const PREFILL_GAIN: f64 = 0.5;

/// Fewest tokens of a prefill that is learned from: the fixed cost of a step blurs shorter ones.
const PREFILL_TOKENS: u32 = 2_048;

/// Factor by which older decode observations lose weight with each new one.
const DECODE_FORGET: f64 = 0.98;

/// Cost of prefill and decode, corrected by what answers show.
#[derive(Debug, Clone, Copy)]
pub struct CostModel {
    prefill_s: f64,
    decode_base_s: f64,
    decode_slope_s: f64,
    cheapest: f64,
    seen: u32,
    sums: Sums,
}

/// Sums of a least-squares line through (batch size, step time).
#[derive(Debug, Default, Clone, Copy)]
struct Sums {
    n: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl CostModel {
    /// Creates a model from first guesses: seconds per uncached prompt token, and a decode step of
    /// `decode_base_s + batch * decode_slope_s`.
    pub fn new(prefill_s: f64, decode_base_s: f64, decode_slope_s: f64) -> Self {
        Self {
            prefill_s,
            decode_base_s,
            decode_slope_s,
            cheapest: f64::INFINITY,
            seen: 0,
            sums: Sums::default(),
        }
    }

    /// Learns from a prefill of `tokens` uncached prompt tokens on an engine that does no decode,
    /// which ended `seconds` after it was sent.
    pub fn saw_prefill(&mut self, tokens: u32, seconds: f64) {
        if tokens < PREFILL_TOKENS || !seconds.is_finite() || seconds <= 0.0 {
            return;
        }
        self.cheapest = self.cheapest.min(seconds / f64::from(tokens));
        self.seen += 1;
        if self.seen >= PREFILL_WINDOW {
            self.prefill_s += PREFILL_GAIN * (self.cheapest - self.prefill_s);
            self.cheapest = f64::INFINITY;
            self.seen = 0;
        }
    }

    /// Learns from a decode step of `batch` sequences that took `seconds`.
    pub fn saw_decode(&mut self, batch: u32, seconds: f64) {
        if batch == 0 || !seconds.is_finite() || seconds <= 0.0 {
            return;
        }
        let (x, y) = (f64::from(batch), seconds);
        let s = &mut self.sums;
        s.n = s.n * DECODE_FORGET + 1.0;
        s.x = s.x * DECODE_FORGET + x;
        s.y = s.y * DECODE_FORGET + y;
        s.xx = s.xx * DECODE_FORGET + x * x;
        s.xy = s.xy * DECODE_FORGET + x * y;
        let spread = s.n * s.xx - s.x * s.x;
        // Batches of one size say nothing about the slope.
        if s.n < 8.0 || spread < s.n * s.n * 0.5 {
            return;
        }
        let slope = (s.n * s.xy - s.x * s.y) / spread;
        let base = (s.y - slope * s.x) / s.n;
        if slope > 0.0 && base > 0.0 {
            self.decode_slope_s = slope;
            self.decode_base_s = base;
        }
    }

    /// Engine seconds for the prefill of `uncached` tokens.
    pub fn prefill(&self, uncached: u32) -> f64 {
        f64::from(uncached) * self.prefill_s
    }

    /// Seconds of one decode step with `batch` sequences.
    pub fn step(&self, batch: u32) -> f64 {
        self.decode_base_s + f64::from(batch.max(1)) * self.decode_slope_s
    }

    /// Engine seconds that `tokens` generated tokens use at `batch` sequences in parallel.
    pub fn decode(&self, tokens: u32, batch: u32) -> f64 {
        f64::from(tokens) * self.step(batch) / f64::from(batch.max(1))
    }

    /// Engine seconds of a whole request at the batch size usual for `role`.
    pub fn work(&self, uncached: u32, output: u32, role: EngineRole) -> f64 {
        self.prefill(uncached) + self.decode(output, usual_batch(role))
    }
}

/// Batch size at which decode work is priced before the engine's own batch is known.
pub fn usual_batch(role: EngineRole) -> u32 {
    match role {
        EngineRole::Mixed => 16,
        EngineRole::Prefill => 1,
        EngineRole::Decode => 32,
    }
}
