//! Routing: the choice of the upstream for a request.

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

/// Properties of a request that routing depends on.
#[derive(Debug, Clone, Copy)]
pub struct RouteRequest<'a> {
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Expected number of generated tokens.
    pub output_tokens: u32,
    /// Hashes of the full prefix blocks of the prompt.
    pub prefix_blocks: &'a [u64],
    /// Number of tokens in one prefix block.
    pub block_tokens: u32,
    /// Failure domain of the gateway.
    pub domain: u16,
    /// Upstreams that are excluded because an attempt there failed.
    pub exclude: &'a [UpstreamKey],
}

impl RouteRequest<'_> {
    /// Returns the number of prompt tokens that `up` would have to prefill.
    pub fn uncached_tokens(&self, up: &Upstream) -> u32 {
        let cached_tokens = up.cached_blocks(self.prefix_blocks) as u32 * self.block_tokens;
        self.prompt_tokens.saturating_sub(cached_tokens)
    }
}

/// Upstream chosen for a request, with estimates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Choice {
    /// Upstream that generates the answer.
    pub upstream: UpstreamKey,
    /// Source of the prompt's cache at that upstream.
    pub cache: CacheSource,
    /// Prompt tokens expected to be cached at the upstream that does the prefill.
    pub cached_tokens: u32,
    /// Estimated wait for the start of prefill and for a sequence slot.
    pub wait: Duration,
    /// Estimated time to the first token.
    pub first_token: Duration,
}

/// Source of the prompt's cache at the upstream that generates the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheSource {
    /// Its own cache and prefill.
    Own,
    /// Import of the prefix that another upstream holds. The rest of the prompt is prefilled
    /// locally.
    Holder(UpstreamKey),
    /// Prefill of the whole prompt at another upstream, then import.
    Prefill(UpstreamKey),
}

/// Chooses the upstream of a request.
pub trait Router {
    /// Chooses among the upstreams of `fleet` that accept work. Returns `None` if no upstream fits.
    fn route(
        &mut self,
        request: &RouteRequest<'_>,
        fleet: &Fleet,
        cost: &CostModel,
        now: MonotonicTime,
    ) -> Option<Choice>;

    /// Chooses the upstream that continues a request after its prefill has ended elsewhere, with
    /// the load known by then. Returns `None` to keep the earlier choice.
    fn route_decode(
        &mut self,
        _request: &RouteRequest<'_>,
        _fleet: &Fleet,
        _cost: &CostModel,
        _now: MonotonicTime,
    ) -> Option<UpstreamKey> {
        None
    }
}

/// Returns the upstreams that accept `request` and whose role fits.
fn eligible<'a>(
    fleet: &'a Fleet,
    request: &'a RouteRequest<'_>,
    role: impl Fn(EngineRole) -> bool + 'a,
) -> impl Iterator<Item = (UpstreamKey, &'a Upstream)> + 'a {
    fleet
        .iter()
        .filter(move |(key, up)| up.accepting && !request.exclude.contains(key) && role(up.role))
}
