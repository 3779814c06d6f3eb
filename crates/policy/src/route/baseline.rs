//! Baseline routers that do not consider waiting work.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_core::record::EngineRole;

use super::{CacheSource, Choice, RouteRequest, Router, eligible};
use crate::UpstreamKey;
use crate::cost::CostModel;
use crate::fleet::{Fleet, Upstream};

/// Round robin over the upstreams.
#[derive(Debug, Default)]
pub struct RoundRobin {
    next: usize,
}

/// Chooses the upstream with the fewest requests of this gateway in flight. Ties rotate.
#[derive(Debug, Default)]
pub struct LeastOutstanding {
    next: usize,
}

/// Rendezvous hashing of the first prefix block of the prompt.
#[derive(Debug, Default)]
pub struct PrefixHash;

impl Router for RoundRobin {
    fn route(
        &mut self,
        request: &RouteRequest<'_>,
        fleet: &Fleet,
        _: &CostModel,
        _: MonotonicTime,
    ) -> Option<Choice> {
        choose_by_role(request, fleet, |candidates| {
            self.next = self.next.wrapping_add(1);
            candidates.get(self.next % candidates.len().max(1)).copied()
        })
    }
}

impl Router for LeastOutstanding {
    fn route(
        &mut self,
        request: &RouteRequest<'_>,
        fleet: &Fleet,
        _: &CostModel,
        _: MonotonicTime,
    ) -> Option<Choice> {
        choose_by_role(request, fleet, |candidates| {
            // The scan starts at a different place each time, so that ties do not always select the
            // same upstream.
            self.next = self.next.wrapping_add(1);
            let start = self.next % candidates.len().max(1);
            let (before, after) = candidates.split_at(start);
            after
                .iter()
                .chain(before)
                .copied()
                .min_by_key(|&key| fleet.get(key).map_or(u32::MAX, Upstream::in_flight))
        })
    }
}

impl Router for PrefixHash {
    fn route(
        &mut self,
        request: &RouteRequest<'_>,
        fleet: &Fleet,
        _: &CostModel,
        _: MonotonicTime,
    ) -> Option<Choice> {
        let first_block = request
            .prefix_blocks
            .first()
            .copied()
            .unwrap_or(u64::from(request.prompt_tokens));
        choose_by_role(request, fleet, |candidates| {
            candidates
                .iter()
                .copied()
                .max_by_key(|&key| mix64(first_block ^ mix64(slotmap::Key::data(&key).as_ffi())))
        })
    }
}

/// Applies `choose` to the upstreams that decode, then, if the chosen one only decodes, to those
/// that prefill.
fn choose_by_role(
    request: &RouteRequest<'_>,
    fleet: &Fleet,
    mut choose: impl FnMut(&[UpstreamKey]) -> Option<UpstreamKey>,
) -> Option<Choice> {
    let keys = |role: fn(EngineRole) -> bool| -> Vec<_> {
        eligible(fleet, request, role).map(|(key, _)| key).collect()
    };
    let prefill = keys(|role| role == EngineRole::Prefill);
    let mut decode = keys(|role| role != EngineRole::Prefill);
    if decode.is_empty() {
        decode.clone_from(&prefill);
    }
    let upstream = choose(&decode)?;
    let cache = match fleet.get(upstream)?.role {
        EngineRole::Decode => choose(&prefill).map_or(CacheSource::Own, CacheSource::Prefill),
        _ => CacheSource::Own,
    };
    Some(Choice {
        upstream,
        cache,
        cached_tokens: 0,
        wait: Duration::ZERO,
        first_token: Duration::ZERO,
    })
}

/// Finalizer of `SplitMix64`.
fn mix64(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
