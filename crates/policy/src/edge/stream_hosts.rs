//! Choice of the engines on which long streams are consolidated, where engines differ in speed.
//!
//! Load pattern: 5 to 30 long streams run at a time, one or none per instance, and the longest pause
//! between two of their events counts. At an engine of half the speed, an event takes 60 ms, and 150
//! ms while others use the machine, so that four streams in ten paused for longer than 150 ms. With
//! a number of hosts that each instance derives from its own streams, instances disagree on the
//! hosts, and prompts are prefilled between the steps of streams that others consolidated.

use crate::UpstreamKey;

/// Fraction of the streams of the remaining hosts below which the number of hosts falls. A number
/// that follows each end of a stream would move prompts to an engine whose streams still run.
const FALL_FRACTION: f64 = 0.75;

/// Number of long streams for which an engine that is no stream host any more keeps prompts away. A
/// single stream is not worth the prompts that the engine could prefill meanwhile.
const MIN_KEPT_STREAMS: u32 = 2;

/// Number of engines on which the long streams of one service are consolidated.
#[derive(Debug, Clone, Copy, Default)]
pub struct HostCount(usize);

impl HostCount {
    /// Updates the number for `streams` long streams of all instances, where `needed` returns the
    /// number of engines that have the slots for a number of streams.
    pub fn update(&mut self, streams: f64, needed: impl Fn(f64) -> usize) {
        self.0 = self
            .0
            .clamp(needed(streams), needed(streams / FALL_FRACTION));
    }

    /// Returns the number, which is at least 1.
    pub fn get(self) -> usize {
        self.0.max(1)
    }
}

/// Returns whether an engine that is no stream host any more keeps prompts away while `streams` long
/// streams still run there.
pub fn still_hosts(streams: u32) -> bool {
    streams >= MIN_KEPT_STREAMS
}

/// Returns `engines` in the order in which long streams are consolidated on them: the fastest class
/// first, since steps there leave the most time for the prefills and slowdowns between them. `rank`
/// returns the class of an engine's speed, if it is known, and a hash by which all instances order
/// engines of one class. Returns `None` if no engine has a class.
pub fn rank_hosts(
    engines: &[UpstreamKey],
    rank: impl Fn(UpstreamKey) -> (Option<i32>, u64),
) -> Option<Vec<UpstreamKey>> {
    let mut ranked: Vec<_> = engines.iter().map(|key| (rank(*key), *key)).collect();
    if ranked.iter().all(|((class, _), _)| class.is_none()) {
        return None;
    }
    // An engine that has stated nothing is taken for a typical one.
    ranked.sort_unstable_by_key(|((class, hash), _)| (class.unwrap_or_default(), *hash));
    Some(ranked.into_iter().map(|(_, key)| key).collect())
}
