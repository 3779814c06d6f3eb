//! Baselines: routers without a view of work.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_core::record::EngineRole;

use super::{Ask, CacheFrom, Choice, Router, eligible};
use crate::UpstreamKey;
use crate::cost::CostModel;
use crate::fleet::{Fleet, Upstream};

/// Each upstream in turn.
#[derive(Debug, Default)]
pub struct RoundRobin {
    next: usize,
}

/// The upstream with the fewest requests of this gateway in flight, the first one on a tie.
#[derive(Debug, Default)]
pub struct LeastOutstanding {
    next: usize,
}

/// Rendezvous hashing of the first piece of the prompt.
#[derive(Debug, Default)]
pub struct PrefixHash;

impl Router for RoundRobin {
    fn route(
        &mut self,
        ask: &Ask<'_>,
        fleet: &Fleet,
        _: &CostModel,
        _: MonotonicTime,
    ) -> Option<Choice> {
        pick(ask, fleet, |candidates| {
            self.next = self.next.wrapping_add(1);
            candidates.get(self.next % candidates.len().max(1)).copied()
        })
    }
}

impl Router for LeastOutstanding {
    fn route(
        &mut self,
        ask: &Ask<'_>,
        fleet: &Fleet,
        _: &CostModel,
        _: MonotonicTime,
    ) -> Option<Choice> {
        pick(ask, fleet, |candidates| {
            // The scan starts at another place each time, so that ties do not fall on one upstream.
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
        ask: &Ask<'_>,
        fleet: &Fleet,
        _: &CostModel,
        _: MonotonicTime,
    ) -> Option<Choice> {
        let first = ask
            .pieces
            .first()
            .copied()
            .unwrap_or(u64::from(ask.prompt_tokens));
        pick(ask, fleet, |candidates| {
            candidates
                .iter()
                .copied()
                .max_by_key(|&key| mix(first ^ mix(slotmap::Key::data(&key).as_ffi())))
        })
    }
}

/// Applies `choose` to the upstreams that generate, then to those that prefill if one is needed.
fn pick(
    ask: &Ask<'_>,
    fleet: &Fleet,
    mut choose: impl FnMut(&[UpstreamKey]) -> Option<UpstreamKey>,
) -> Option<Choice> {
    let keys = |role: fn(EngineRole) -> bool| -> Vec<_> {
        eligible(fleet, ask, role).map(|(key, _)| key).collect()
    };
    let prefill = keys(|role| role == EngineRole::Prefill);
    let mut generate = keys(|role| role != EngineRole::Prefill);
    if generate.is_empty() {
        generate.clone_from(&prefill);
    }
    let upstream = choose(&generate)?;
    let cache = match fleet.get(upstream)?.role {
        EngineRole::Decode => choose(&prefill).map_or(CacheFrom::Own, CacheFrom::Prefill),
        _ => CacheFrom::Own,
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
fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
