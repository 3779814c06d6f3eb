//! Time that work takes on an engine, compared with the usual time, as the engine states it.
//!
//! Load pattern: engines share their machines with the work of others. One engine in four is twice
//! as fast as the rest for as long as it runs, and each one is slowed down two or three times for
//! some hundred milliseconds, several times in ten seconds. Responses state the time that work
//! takes at the moment; an instance among thirty receives one such response of an engine about once
//! per second.
//!
//! Some engines state nothing, such as those that only prefill. How long a prefill takes at an engine
//! is therefore also learned from calls, as a multiple of the time at the fastest ones, from which
//! the rate of the service is learned.
//!
//! What an engine states now says little about it a second later, so the usual time of the engine is
//! the median over the last seconds. All instances have to rank the engines alike, since they
//! consolidate long streams on the first ones. They therefore tell each other some of the statements
//! that they receive, and all of them keep the same ones.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use serde::{Deserialize, Serialize};

use super::engine_view::EngineSpeed;
use crate::average::exponential_decay;

/// Number of statements from which the usual time is determined. One slowdown must not hold the
/// majority of them.
const KEPT_STATEMENTS: usize = 9;

/// Minimum time between two kept statements of an engine. A slowdown lasts about as long.
const MIN_SPACING: Duration = Duration::from_millis(250);

/// Minimum time between two kept statements of an engine, per engine of the service. It bounds what
/// instances tell each other to 100 statements per second.
const SPACING_PER_ENGINE: Duration = Duration::from_millis(10);

/// Time constant with which a statement loses its weight against the usual time. Statements of one
/// engine are still alike after 0.2 s and unrelated after 1 s.
const STATEMENT_TIME_CONSTANT: Duration = Duration::from_millis(400);

/// Number of calls of which the shortest one, by its expected time, is a learned figure. The others
/// may have waited for work that this instance does not know of.
const CALLS_PER_FIGURE: u8 = 3;

/// Bounds of a learned figure, in percent. A prompt that is found in the cache takes almost no time.
const LEARNED_BOUNDS: (f64, f64) = (50.0, 1_000.0);

/// Factor by which a statement has to differ from the last one that was told, up or down, to be told
/// at once. Smaller differences are told with the next kept statement.
const TOLD_CHANGE: f64 = 1.4;

/// Number of instances that pass a statement on: the relay of the instance that received it, and
/// the relays of the others.
const MAX_PASSES: u8 = 2;

/// Age from which a statement that another instance tells is ignored, since it says nothing about
/// the present.
const MAX_TOLD_AGE: Duration = Duration::from_secs(1);

/// Number of speed classes per factor of two.
const CLASSES_PER_DOUBLING: f64 = 2.0;

/// Distance from the middle of its class, in classes, beyond which an engine changes its class. More
/// than half a class, so that noise at the border between two classes changes nothing.
const CLASS_HYSTERESIS: f64 = 0.75;

/// Origin of a figure about an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PaceSource {
    /// The engine states it, in percent of the usual time.
    Stated,
    /// It was learned from calls, in percent of the time that the service's rate predicts.
    Learned,
}

/// Figure about an engine that one instance tells others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceNews {
    /// Tag of the engine.
    pub upstream: u32,
    /// Origin of the figure.
    pub source: PaceSource,
    /// Time of work, in percent.
    pub percent: u16,
    /// Age of the figure, in milliseconds.
    pub age_ms: u16,
    /// Number of instances that have passed it on.
    pub passes: u8,
}

/// Time that work takes on an engine.
#[derive(Debug, Clone, Copy, Default)]
pub struct EnginePace {
    stated: Figures,
    learned: Figures,
    /// Calls since the last learned figure, and the shortest of them, in percent.
    calls: u8,
    least_percent: f64,
}

/// Figures of one source.
#[derive(Debug, Clone, Copy, Default)]
struct Figures {
    /// Kept figures, in percent.
    kept: [u16; KEPT_STATEMENTS],
    count: usize,
    kept_at: MonotonicTime,
    /// Class of the median of the kept figures.
    class: Option<i32>,
    /// Newest figure, kept or not.
    newest: Option<(u16, MonotonicTime)>,
    /// Last figure that was told or is due to be told.
    told: u16,
    passes: u8,
    is_untold: bool,
}

/// Returns the minimum time between two kept statements of an engine where `engines` serve.
pub fn spacing(engines: usize) -> Duration {
    let engines = u32::try_from(engines).unwrap_or(u32::MAX);
    SPACING_PER_ENGINE.saturating_mul(engines).max(MIN_SPACING)
}

impl EnginePace {
    /// Records that a response stated `percent` of the usual time at `now`. The statement is told to
    /// other instances if it is kept or a change.
    pub fn record(&mut self, percent: u16, spacing: Duration, now: MonotonicTime) {
        self.stated.keep(percent, spacing, Some(0), now);
    }

    /// Records a prefill that took `ms` without any known wait, where the rate of the service
    /// predicts `expected_ms` at its fastest engines.
    pub fn record_call(
        &mut self,
        ms: f64,
        expected_ms: f64,
        spacing: Duration,
        now: MonotonicTime,
    ) {
        let percent = ms / expected_ms * 100.0;
        if !percent.is_finite() {
            return;
        }
        self.least_percent = match self.calls {
            0 => percent,
            _ => percent.min(self.least_percent),
        };
        self.calls += 1;
        if self.calls >= CALLS_PER_FIGURE {
            self.calls = 0;
            let percent = self.least_percent.clamp(LEARNED_BOUNDS.0, LEARNED_BOUNDS.1);
            self.learned.keep(percent as u16, spacing, Some(0), now);
        }
    }

    /// Applies a figure that another instance tells. `is_forwarded` states whether this instance
    /// passes it on.
    pub fn merge(
        &mut self,
        news: PaceNews,
        spacing: Duration,
        is_forwarded: bool,
        now: MonotonicTime,
    ) {
        let age = Duration::from_millis(news.age_ms.into());
        if news.percent == 0 || age > MAX_TOLD_AGE {
            return;
        }
        let at = MonotonicTime(now.0.saturating_sub(age));
        let passes = news.passes.saturating_add(1);
        let is_forwarded = is_forwarded && passes <= MAX_PASSES;
        let passes = is_forwarded.then_some(passes);
        match news.source {
            PaceSource::Stated => {
                self.stated.keep(news.percent, spacing, passes, at);
            }
            PaceSource::Learned => self.learned.keep(news.percent, spacing, passes, at),
        }
    }

    /// Returns the class of the engine's usual speed, where lower is faster, or `None` if it has
    /// stated nothing.
    pub fn class(&self) -> Option<i32> {
        self.stated.class
    }

    /// Returns the class of the engine's learned time of a prefill, or `None` before it is known.
    pub fn learned_class(&self) -> Option<i32> {
        self.learned.class
    }

    /// Returns the speed of the engine at `now`. A prefill is short and takes the time that is
    /// expected at the moment. A stream runs for seconds, so its steps take the usual time.
    pub fn speed(&self, now: MonotonicTime) -> EngineSpeed {
        let usual = self.stated.usual();
        let slowdown = match (usual, self.stated.newest) {
            (Some(usual), Some((percent, at))) => {
                let weight = exponential_decay(now.since(at), STATEMENT_TIME_CONSTANT);
                (f64::from(percent) / 100.0 / usual).powf(weight)
            }
            _ => 1.0,
        };
        EngineSpeed {
            prefill_factor: self.learned.usual().unwrap_or(1.0) * slowdown,
            step_factor: usual.unwrap_or(1.0),
            is_stated: usual.is_some(),
        }
    }

    /// Returns the newest figures about the engine with this tag that are due to be told.
    pub fn take_news(
        &mut self,
        upstream: u32,
        now: MonotonicTime,
    ) -> impl Iterator<Item = PaceNews> + use<> {
        let stated = self.stated.take_news(upstream, PaceSource::Stated, now);
        let learned = self.learned.take_news(upstream, PaceSource::Learned, now);
        stated.into_iter().chain(learned)
    }
}

impl Figures {
    /// Records a figure. It counts toward the usual time if the last one that does is old enough.
    /// With `passes`, it is told to other instances in that case, and if it is a change.
    fn keep(&mut self, percent: u16, spacing: Duration, passes: Option<u8>, at: MonotonicTime) {
        if self.newest.is_some_and(|(_, newest_at)| newest_at > at) {
            return;
        }
        self.newest = Some((percent, at));
        let is_kept = self.count == 0 || at >= self.kept_at.plus(spacing);
        let change = f64::from(percent) / f64::from(self.told.max(1));
        if is_kept || !(1.0 / TOLD_CHANGE..TOLD_CHANGE).contains(&change) {
            self.told = percent;
            self.is_untold = passes.is_some();
            self.passes = passes.unwrap_or_default();
        }
        if is_kept {
            self.kept[self.count % KEPT_STATEMENTS] = percent;
            self.count += 1;
            self.kept_at = at;
            self.update_class();
        }
    }

    fn update_class(&mut self) {
        let Some(usual) = self.usual() else {
            return;
        };
        let class = usual.log2() * CLASSES_PER_DOUBLING;
        let is_near = |known: i32| (class - f64::from(known)).abs() <= CLASS_HYSTERESIS;
        if !self.class.is_some_and(is_near) {
            self.class = Some(class.round() as i32);
        }
    }

    /// Returns the median of the kept figures as a factor, or `None` if there is none. Of two
    /// medians, the faster one counts: other work makes engines slower, and never faster.
    fn usual(&self) -> Option<f64> {
        let mut kept = self.kept;
        let kept = &mut kept[..self.count.min(KEPT_STATEMENTS)];
        let middle = kept.len().checked_sub(1)? / 2;
        let (_, median, _) = kept.select_nth_unstable(middle);
        Some(f64::from(*median) / 100.0)
    }

    fn take_news(
        &mut self,
        upstream: u32,
        source: PaceSource,
        now: MonotonicTime,
    ) -> Option<PaceNews> {
        if !std::mem::take(&mut self.is_untold) {
            return None;
        }
        let (percent, at) = self.newest?;
        let age_ms = now.since(at).as_millis();
        Some(PaceNews {
            upstream,
            source,
            percent,
            age_ms: u16::try_from(age_ms).unwrap_or(u16::MAX),
            passes: self.passes,
        })
    }
}
