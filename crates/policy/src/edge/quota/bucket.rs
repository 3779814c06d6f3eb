//! Token bucket that starts empty.

/// Tokens that gain with credit, in seconds. The credit stands for the time in which its holder may
/// gain, and can run slower than the clock.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bucket {
    per_s: f64,
    depth: f64,
    tokens: f64,
    credit_s: f64,
}

impl Bucket {
    /// Creates an empty bucket. `credit_s` is the credit so far.
    pub fn new(per_s: f64, depth: f64, credit_s: f64) -> Self {
        Self {
            per_s,
            depth,
            tokens: 0.0,
            credit_s,
        }
    }

    /// Changes rate and depth. Tokens beyond the new depth are lost.
    pub fn set_terms(&mut self, per_s: f64, depth: f64, credit_s: f64) {
        self.gain(credit_s);
        (self.per_s, self.depth) = (per_s, depth);
        self.gain(credit_s);
    }

    /// Adds what the credit has brought since the last call.
    pub fn gain(&mut self, credit_s: f64) {
        let gained = (credit_s - self.credit_s).max(0.0) * self.per_s;
        self.credit_s = credit_s;
        self.tokens = (self.tokens + gained).min(self.depth);
    }

    /// Loses all tokens.
    pub fn clear(&mut self) {
        self.tokens = 0.0;
    }

    /// Takes `tokens` if the bucket holds them.
    pub fn try_take(&mut self, tokens: f64) -> bool {
        let is_enough = self.tokens >= tokens;
        if is_enough {
            self.tokens -= tokens;
        }
        is_enough
    }

    /// Takes up to `tokens`. Returns what was taken.
    pub fn take(&mut self, tokens: f64) -> f64 {
        let taken = self.tokens.min(tokens).max(0.0);
        self.tokens -= taken;
        taken
    }

    /// Puts tokens back.
    pub fn put_back(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.depth);
    }

    /// Returns the tokens that it holds.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Returns the rate per second.
    pub fn per_s(&self) -> f64 {
        self.per_s
    }

    /// Returns the maximum number of tokens.
    pub fn depth(&self) -> f64 {
        self.depth
    }
}
