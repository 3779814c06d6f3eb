//! Work that a set of roles carries.

use nutmegbay_core::record::EngineRole;

use super::{Demand, Engines};
use crate::UpstreamKey;

/// Worth of capacity beyond the demand, relative to capacity that serves it.
const HEADROOM: f64 = 0.3;

/// Work that a mixed engine does per second, relative to an engine of the fitting role.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Shape {
    /// Prefill work.
    pub mixed_prefill: f64,
    /// Decode work.
    pub mixed_decode: f64,
    /// Utilization above which waiting makes answers miss their deadlines.
    pub usable: f64,
}

impl Default for Shape {
    fn default() -> Self {
        Self {
            mixed_prefill: 0.8,
            mixed_decode: 0.6,
            usable: 0.85,
        }
    }
}

/// Number of engines of each role.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct RoleCounts {
    /// Prefill only.
    pub prefill: usize,
    /// Decode only.
    pub decode: usize,
    /// Both.
    pub mixed: usize,
}

impl RoleCounts {
    /// Counts the engines that `take` accepts.
    pub fn of(engines: &Engines, take: impl Fn(UpstreamKey) -> Option<EngineRole>) -> Self {
        let mut counts = Self::default();
        for key in engines.keys() {
            match take(key) {
                Some(EngineRole::Prefill) => counts.prefill += 1,
                Some(EngineRole::Decode) => counts.decode += 1,
                Some(EngineRole::Mixed) => counts.mixed += 1,
                None => {}
            }
        }
        counts
    }

    /// Counts after one engine changes from `from` to `to`.
    #[must_use]
    pub fn changed(mut self, from: EngineRole, to: EngineRole) -> Self {
        *self.slot(from) = self.slot(from).saturating_sub(1);
        *self.slot(to) += 1;
        self
    }

    fn slot(&mut self, role: EngineRole) -> &mut usize {
        match role {
            EngineRole::Prefill => &mut self.prefill,
            EngineRole::Decode => &mut self.decode,
            EngineRole::Mixed => &mut self.mixed,
        }
    }

    /// Largest factor by which `demand` can be scaled and still be carried.
    pub fn scale(self, demand: Demand, shape: &Shape) -> f64 {
        let (p, d) = (demand.prefill.max(1e-6), demand.decode.max(1e-6));
        let (np, nd, nm) = (self.prefill as f64, self.decode as f64, self.mixed as f64);
        let (ep, ed) = (shape.mixed_prefill, shape.mixed_decode);
        // A mixed engine that spends the share x of its time on prefill carries x * ep of prefill
        // and (1 - x) * ed of decode. Both limits meet at the best x, within 0 and 1.
        let low = (np / p).min((nd + nm * ed) / d);
        let high = ((np + nm * ep) / p).min(nd / d);
        let inner = if nm > 0.0 {
            // Solves (np + nm x ep) / p = (nd + nm (1 - x) ed) / d for x.
            let x = (p * (nd + nm * ed) - d * np) / (nm * (d * ep + p * ed));
            let x = x.clamp(0.0, 1.0);
            ((np + nm * x * ep) / p).min((nd + nm * (1.0 - x) * ed) / d)
        } else {
            0.0
        };
        low.max(high).max(inner)
    }

    /// Work per second that is served of `demand` within its deadlines, with a bonus for headroom
    /// so that of two sets that carry all of it the one with shorter waits is preferred.
    pub fn value(self, demand: Demand, shape: &Shape) -> f64 {
        let scale = self.scale(demand, shape) * shape.usable;
        demand.total() * (scale.min(1.0) + HEADROOM * (scale.clamp(1.0, 1.5) - 1.0))
    }
}

/// Tells changes of the mix apart from noise: a change is a move by a step against the direction
/// of the last one.
///
/// A mix that goes on in one direction is the same change, however long its ramp, so that an
/// engine is not changed at every step of it.
#[derive(Debug, Default, Clone, Copy)]
pub struct MixTracker {
    epoch: u32,
    extreme: Option<f64>,
    rising: Option<bool>,
}

impl MixTracker {
    /// Takes the current share of prefill; `step` is the smallest move that counts.
    pub fn sample(&mut self, share: f64, step: f64) {
        let extreme = *self.extreme.get_or_insert(share);
        let moved = share - extreme;
        match self.rising {
            Some(rising) if rising == (moved > 0.0) => self.extreme = Some(share),
            _ if moved.abs() >= step => {
                self.epoch += 1;
                self.rising = Some(moved > 0.0);
                self.extreme = Some(share);
            }
            _ => {}
        }
    }

    /// Number of changes so far.
    pub fn epoch(&self) -> u32 {
        self.epoch
    }
}
