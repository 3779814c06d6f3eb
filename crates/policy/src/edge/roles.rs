//! How many engines read prompts and how many generate.
//!
//! Load pattern: the mix of prefill and decode swings within seconds, and a change of role costs an
//! engine some seconds. Roles therefore follow the recent peak of each kind of work, not its
//! present value, and hold still unless the division is clearly wrong.

use std::time::Duration;

use nutmegbay_core::world::Moment;

use super::placement::Part;
use crate::UpstreamKey;

/// Part of a prefill engine's time that is planned for; above it prompts wait too long.
const PREFILL_PART: f64 = 0.7;

/// Part of a decode engine's slots that is planned for.
const SLOTS_PART: f64 = 0.6;

/// Time in which the peak of a demand halves.
const PEAK_HALF_LIFE: Duration = Duration::from_secs(20);

/// Time between two orders.
const ORDER_PAUSE: Duration = Duration::from_millis(900);

/// Engines that may change their role at the same time.
const MOST_CHANGING: usize = 2;

/// Time after an order within which the division is not turned back.
const HOLD_STILL: Duration = Duration::from_secs(20);

/// Engines by which the division must be wrong before a change is ordered while it holds still.
const CLEARLY_WRONG: usize = 3;

/// Requests by which two engines differ before one is taken for busier.
const EQUAL_REQUESTS: f64 = 4.0;

/// Least demand, in engines, from which a division is planned.
const LEAST_DEMAND: f64 = 0.3;

/// Work of all instances.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Demand {
    /// Milliseconds of a prefill engine's time that prompts ask for in a second.
    pub read_ms_per_s: f64,
    /// Long streams at once.
    pub streams: f64,
}

/// One engine as planning sees it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Member {
    /// Key.
    pub key: UpstreamKey,
    /// Its part.
    pub part: Part,
    /// Failure domain, as a number that only compares.
    pub domain: u32,
    /// Requests there.
    pub requests: f64,
    /// Whether an order to it is being carried out, or its fate is not known.
    pub is_changing: bool,
}

/// Plans the roles of one service.
#[derive(Debug, Clone, Default)]
pub struct RolePlan {
    peak: Demand,
    peak_at: Moment,
    last_order: Option<(Moment, Part)>,
}

impl RolePlan {
    /// Engine that changes its role next, if any, and its new part. The caller sends the order and
    /// then calls [`Self::ordered`].
    pub fn next(
        &mut self,
        now: Moment,
        demand: Demand,
        slots: u32,
        engines: &[Member],
    ) -> Option<(UpstreamKey, Part)> {
        self.follow(now, demand);
        let changing = engines.iter().filter(|engine| engine.is_changing).count();
        let too_soon = self
            .last_order
            .is_some_and(|(at, _)| now.since(at) < ORDER_PAUSE);
        if too_soon || changing >= MOST_CHANGING || engines.len() < 3 {
            return None;
        }
        let wanted = self.wanted(slots, engines.len())?;
        let prefill = engines
            .iter()
            .filter(|engine| (engine.part == Part::Prefill) != engine.is_changing)
            .count();
        let part = if wanted > prefill {
            Part::Prefill
        } else {
            Part::Decode
        };
        let off = wanted.abs_diff(prefill);
        let turns_back = self
            .last_order
            .is_some_and(|(at, last)| last != part && now.since(at) < HOLD_STILL);
        let least = if turns_back { CLEARLY_WRONG } else { 1 };
        if off < least {
            return None;
        }
        self.choose(part, engines).map(|key| (key, part))
    }

    /// Notes that an order was sent.
    pub fn ordered(&mut self, now: Moment, part: Part) {
        self.last_order = Some((now, part));
    }

    fn follow(&mut self, now: Moment, demand: Demand) {
        let age = now.since(self.peak_at).as_secs_f64() / PEAK_HALF_LIFE.as_secs_f64();
        let kept = 0.5_f64.powf(age);
        self.peak = Demand {
            read_ms_per_s: (self.peak.read_ms_per_s * kept).max(demand.read_ms_per_s),
            streams: (self.peak.streams * kept).max(demand.streams),
        };
        self.peak_at = now;
    }

    /// Number of prefill engines wanted among `engines`.
    fn wanted(&self, slots: u32, engines: usize) -> Option<usize> {
        let prefill = self.peak.read_ms_per_s / 1e3 / PREFILL_PART;
        let decode = self.peak.streams / (f64::from(slots.max(1)) * SLOTS_PART);
        if prefill + decode < LEAST_DEMAND {
            return None;
        }
        // Two decode engines at least, so that the loss of one ends no service.
        let most = engines.saturating_sub(2).max(1);
        let share = prefill / (prefill + decode);
        Some(((engines as f64 * share).round() as usize).clamp(1, most))
    }

    /// Engine with the least to finish: one with long streams would change only after their end.
    /// Among equals, one from the failure domain with the most of its part.
    fn choose(&self, part: Part, engines: &[Member]) -> Option<UpstreamKey> {
        let same_domain = |domain| {
            engines
                .iter()
                .filter(|engine| engine.part != part && engine.domain == domain)
                .count()
        };
        engines
            .iter()
            .filter(|engine| engine.part != part && !engine.is_changing)
            .min_by(|a, b| {
                let busy = |engine: &Member| (engine.requests / EQUAL_REQUESTS).floor();
                busy(a)
                    .total_cmp(&busy(b))
                    .then(same_domain(b.domain).cmp(&same_domain(a.domain)))
            })
            .map(|engine| engine.key)
    }
}
