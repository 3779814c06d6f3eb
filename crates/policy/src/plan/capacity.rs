//! Capacity of a set of engine roles.

use nutmegbay_core::record::EngineRole;

use super::{Demand, Engines};
use crate::UpstreamKey;

/// Value of capacity beyond the demand, relative to capacity that serves demand.
const HEADROOM_VALUE: f64 = 0.3;

/// Efficiency of mixed engines, relative to engines that have only the matching role.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineEfficiency {
    /// Prefill work that a mixed engine does per second, relative to a prefill engine.
    pub mixed_prefill_factor: f64,
    /// Decode work that a mixed engine does per second, relative to a decode engine.
    pub mixed_decode_factor: f64,
    /// Utilization above which waits make answers miss their deadlines.
    pub max_utilization: f64,
}

impl Default for EngineEfficiency {
    fn default() -> Self {
        Self {
            mixed_prefill_factor: 0.8,
            mixed_decode_factor: 0.6,
            max_utilization: 0.85,
        }
    }
}

/// Number of engines of each role.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct RoleCounts {
    /// Engines that only prefill.
    pub prefill: usize,
    /// Engines that only decode.
    pub decode: usize,
    /// Engines that prefill and decode.
    pub mixed: usize,
}

impl RoleCounts {
    /// Counts the engines by the role that `role_of` returns. Engines without one are left out.
    pub fn of(engines: &Engines, role_of: impl Fn(UpstreamKey) -> Option<EngineRole>) -> Self {
        let mut counts = Self::default();
        for key in engines.keys() {
            match role_of(key) {
                Some(EngineRole::Prefill) => counts.prefill += 1,
                Some(EngineRole::Decode) => counts.decode += 1,
                Some(EngineRole::Mixed) => counts.mixed += 1,
                None => {}
            }
        }
        counts
    }

    /// Returns the counts after one engine changes from `from` to `to`.
    #[must_use]
    pub fn with_change(mut self, from: EngineRole, to: EngineRole) -> Self {
        *self.count_mut(from) = self.count_mut(from).saturating_sub(1);
        *self.count_mut(to) += 1;
        self
    }

    fn count_mut(&mut self, role: EngineRole) -> &mut usize {
        match role {
            EngineRole::Prefill => &mut self.prefill,
            EngineRole::Decode => &mut self.decode,
            EngineRole::Mixed => &mut self.mixed,
        }
    }

    /// Returns the largest factor by which `demand` can be scaled and still be served.
    pub fn max_demand_scale(self, demand: Demand, efficiency: &EngineEfficiency) -> f64 {
        let (p, d) = (demand.prefill.max(1e-6), demand.decode.max(1e-6));
        let (np, nd, nm) = (self.prefill as f64, self.decode as f64, self.mixed as f64);
        let (ep, ed) = (
            efficiency.mixed_prefill_factor,
            efficiency.mixed_decode_factor,
        );
        // A mixed engine that spends the fraction x of its time on prefill does x * ep of prefill
        // and (1 - x) * ed of decode. Both limits are equal at the best x, between 0 and 1.
        let mixed_decode_only = (np / p).min((nd + nm * ed) / d);
        let mixed_prefill_only = ((np + nm * ep) / p).min(nd / d);
        let mixed_balanced = if nm > 0.0 {
            // Solves (np + nm x ep) / p = (nd + nm (1 - x) ed) / d for x.
            let x = (p * (nd + nm * ed) - d * np) / (nm * (d * ep + p * ed));
            let x = x.clamp(0.0, 1.0);
            ((np + nm * x * ep) / p).min((nd + nm * (1.0 - x) * ed) / d)
        } else {
            0.0
        };
        mixed_decode_only
            .max(mixed_prefill_only)
            .max(mixed_balanced)
    }

    /// Returns the work per second of `demand` that is served within its deadlines. A bonus for
    /// headroom prefers the set with shorter waits among those that serve all of it.
    pub fn served_work(self, demand: Demand, efficiency: &EngineEfficiency) -> f64 {
        let scale = self.max_demand_scale(demand, efficiency) * efficiency.max_utilization;
        demand.total() * (scale.min(1.0) + HEADROOM_VALUE * (scale.clamp(1.0, 1.5) - 1.0))
    }
}

/// Distinguishes changes of the workload mix from noise. A change is a move by at least one step
/// against the direction of the last change.
///
/// A mix that continues in one direction is still the same change, however long its ramp, so that
/// an engine does not change its role at every step of it.
#[derive(Debug, Default, Clone, Copy)]
pub struct MixTracker {
    epoch: u32,
    extreme: Option<f64>,
    rising: Option<bool>,
}

impl MixTracker {
    /// Records the current prefill fraction. `step` is the smallest move that counts.
    pub fn sample(&mut self, prefill_fraction: f64, step: f64) {
        let extreme = *self.extreme.get_or_insert(prefill_fraction);
        let moved = prefill_fraction - extreme;
        match self.rising {
            Some(rising) if rising == (moved > 0.0) => self.extreme = Some(prefill_fraction),
            _ if moved.abs() >= step => {
                self.epoch += 1;
                self.rising = Some(moved > 0.0);
                self.extreme = Some(prefill_fraction);
            }
            _ => {}
        }
    }

    /// Returns the number of changes so far.
    pub fn epoch(&self) -> u32 {
        self.epoch
    }
}
