//! Choice of the upstream for a request.

mod baseline;
mod load;

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_core::record::EngineRole;

use crate::UpstreamKey;
use crate::cost::CostModel;
use crate::fleet::{Fleet, Upstream};

pub use baseline::{LeastOutstanding, PrefixHash, RoundRobin};
pub use load::{LoadRouter, LoadRouterSettings};

/// What a router needs to know of a request.
#[derive(Debug, Clone, Copy)]
pub struct Ask<'a> {
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// Tokens expected in the answer.
    pub output_tokens: u32,
    /// Hashes of the full pieces of the prompt.
    pub pieces: &'a [u64],
    /// Tokens in one piece.
    pub piece_tokens: u32,
    /// Failure domain of the gateway.
    pub domain: u16,
    /// Upstreams that are not to be tried, because an attempt there failed.
    pub exclude: &'a [UpstreamKey],
}

impl Ask<'_> {
    /// Prompt tokens that `up` would have to prefill.
    pub fn uncached(&self, up: &Upstream) -> u32 {
        let cached = up.cached(self.pieces) as u32 * self.piece_tokens;
        self.prompt_tokens.saturating_sub(cached)
    }
}

/// Where a request runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Choice {
    /// Upstream that generates the answer.
    pub upstream: UpstreamKey,
    /// Where its cache comes from, if not its own.
    pub cache: CacheFrom,
    /// Prompt tokens expected to be in the cache of the upstream that does the prefill.
    pub cached_tokens: u32,
    /// Estimated time until the upstream that does the prefill starts on it.
    pub wait: Duration,
    /// Estimated time to the first token.
    pub first_token: Duration,
}

/// Source of the cache at the upstream that generates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheFrom {
    /// Its own cache and prefill.
    Own,
    /// Import of the prefix that another upstream holds; the rest is prefilled here.
    Holder(UpstreamKey),
    /// Whole prefill at another upstream, then import.
    Prefill(UpstreamKey),
}

/// Chooses the upstream of a request.
pub trait Router {
    /// Chooses among the upstreams of `fleet` that accept work; none if there is none.
    fn route(
        &mut self,
        ask: &Ask<'_>,
        fleet: &Fleet,
        cost: &CostModel,
        now: MonotonicTime,
    ) -> Option<Choice>;

    /// Chooses where a request goes on whose prefill has ended elsewhere, with what is known by
    /// then; none keeps the earlier choice.
    fn hand_over(
        &mut self,
        _ask: &Ask<'_>,
        _fleet: &Fleet,
        _cost: &CostModel,
        _now: MonotonicTime,
    ) -> Option<UpstreamKey> {
        None
    }
}

/// Upstreams that may take `ask` and fit `role`.
fn eligible<'a>(
    fleet: &'a Fleet,
    ask: &'a Ask<'_>,
    role: impl Fn(EngineRole) -> bool + 'a,
) -> impl Iterator<Item = (UpstreamKey, &'a Upstream)> + 'a {
    fleet
        .iter()
        .filter(move |(key, up)| up.accepting && !ask.exclude.contains(key) && role(up.role))
}
