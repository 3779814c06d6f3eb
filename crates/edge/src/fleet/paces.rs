//! Paces that engines state, and the number of engines on which long streams are consolidated.

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_policy::UpstreamKey;
use nutmegbay_policy::edge::engine_pace::{PaceNews, spacing};
use nutmegbay_policy::edge::placement::{EnginePhase, stream_host_count};

use super::costs::costs_mut;
use super::{Fleet, Upstream};
use crate::model::StatedPace;

/// Maximum number of paces in one datagram.
const MAX_PACE_NEWS: usize = 64;

/// Minimum expected time of a call from which the speed of an engine is learned, in fixed times of a
/// call. The fixed time varies by about as much as it is long.
const MIN_CALL_FIXED_TIMES: f64 = 1.0;

impl Fleet {
    /// Records the time that work takes at an upstream at the moment, as a response states it. A
    /// statement that cannot be used is logged once for each upstream.
    pub fn record_pace(&mut self, key: UpstreamKey, pace: StatedPace, now: MonotonicTime) {
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        match pace {
            StatedPace::None => {}
            StatedPace::Percent(percent) => {
                let engines = self.by_service.get(&upstream.report.service);
                let spacing = spacing(engines.map_or(0, Vec::len));
                let before = classes(upstream);
                upstream.pace.record(percent, spacing, now);
                log_class(upstream, before, now, "response");
                costs_mut(&mut self.costs, &upstream.report.service).has_uneven_engines = true;
            }
            StatedPace::Unusable => {
                if !std::mem::replace(&mut upstream.has_unusable_pace, true) {
                    tracing::info!(event = "pace_unusable", upstream = %upstream.id);
                }
            }
        }
    }

    /// Records that the first result of a call came after `ms`, without a wait that was known when it
    /// was sent. Engines learn their speed only where some of the service state their pace.
    pub fn record_call(&mut self, key: UpstreamKey, ms: f64, expected_ms: f64, now: MonotonicTime) {
        let Some(service) = self.upstreams.get(key).map(|up| &up.report.service) else {
            return;
        };
        let keys = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let has_pace = keys
            .iter()
            .any(|key| self.upstreams[*key].pace.class().is_some());
        let fixed_ms = self.prefill_rate(service).fixed_ms();
        if has_pace && expected_ms >= fixed_ms * MIN_CALL_FIXED_TIMES {
            let spacing = spacing(keys.len());
            let upstream = &mut self.upstreams[key];
            let before = classes(upstream);
            let pace = &mut upstream.pace;
            pace.record_call(ms - fixed_ms, expected_ms, spacing, now);
            log_class(upstream, before, now, "call");
        }
    }

    /// Returns the time until `bytes` that are sent now have left over this process's link, in
    /// milliseconds.
    pub fn link_ms(&self, bytes: usize, now: MonotonicTime) -> f64 {
        self.link.queue_ms(now) + self.link.send_ms(bytes)
    }

    /// Applies what another instance tells of the paces of engines. `is_forwarded` states whether
    /// this instance passes it on.
    pub fn merge_paces(&mut self, news: &[PaceNews], is_forwarded: bool, now: MonotonicTime) {
        for news in news {
            let key = self.by_tag.get(&news.upstream);
            let Some(upstream) = key.and_then(|key| self.upstreams.get_mut(*key)) else {
                continue;
            };
            let engines = self.by_service.get(&upstream.report.service);
            let spacing = spacing(engines.map_or(0, Vec::len));
            let before = classes(upstream);
            upstream.pace.merge(*news, spacing, is_forwarded, now);
            log_class(upstream, before, now, "peer");
            costs_mut(&mut self.costs, &upstream.report.service).has_uneven_engines = true;
        }
    }

    /// Returns what is due to be told to other instances.
    pub fn take_pace_news(&mut self, now: MonotonicTime) -> Vec<PaceNews> {
        let take = |upstream: &mut Upstream| {
            let tag = upstream.tag();
            upstream.pace.take_news(tag, now)
        };
        let upstreams = self.upstreams.values_mut();
        upstreams.flat_map(take).take(MAX_PACE_NEWS).collect()
    }

    /// Updates the average number of a service's long streams, and the number of engines with
    /// `slots` each on which they are consolidated.
    pub fn average_long_streams(&mut self, service: &str, slots: u32, now: MonotonicTime) {
        let mut own = 0;
        let mut others = 0;
        let mut engines = 0;
        let mut has_pace = false;
        for key in self.service_keys(service) {
            let upstream = &self.upstreams[key];
            own += upstream.streams;
            others += self.exchange.work(upstream.tag()).streams;
            engines += usize::from(upstream.phase() == EnginePhase::Decode);
            has_pace |= upstream.pace.class().is_some();
        }
        // Instances without a digest are assumed to have as many streams as those with one.
        let all = match self.reporting_instances() {
            Some(known) => {
                let scale = self.other_instances.max(known) as f64 / known as f64;
                f64::from(own) + f64::from(others) * scale
            }
            None => f64::from(own) * (self.other_instances + 1) as f64,
        };
        let costs = costs_mut(&mut self.costs, service);
        // Streams that begin need hosts at once; the average decides when there are fewer of them.
        let streams = costs.average_long_streams(own, all, now).max(all);
        let needed = |streams| stream_host_count(streams, slots, engines);
        let before = costs.host_count.get();
        costs.host_count.update(streams, needed);
        let hosts = costs.host_count.get();
        if has_pace && hosts != before {
            tracing::info!(event = "stream_hosts", service, hosts, before, streams, own);
        }
    }

    /// Returns what operators see of the paces: the number of upstreams that state one, and how long
    /// work takes at the fastest and at the slowest of them, in percent of the usual time.
    pub fn pace_summary(&self, now: MonotonicTime) -> (usize, f64, f64) {
        let stated = self.upstreams.values().filter_map(|upstream| {
            let speed = upstream.pace.speed(now);
            speed.is_stated.then_some(speed.step_factor * 100.0)
        });
        let none = (0, f64::INFINITY, 0.0);
        let (count, fastest, slowest) = stated.fold(none, |(count, fastest, slowest), percent| {
            (count + 1, percent.min(fastest), percent.max(slowest))
        });
        (count, if count == 0 { 0.0 } else { fastest }, slowest)
    }
}

/// Classes of an engine's stated and learned time of work.
type Classes = (Option<i32>, Option<i32>);

fn classes(upstream: &Upstream) -> Classes {
    (upstream.pace.class(), upstream.pace.learned_class())
}

/// Logs that the class of an engine's speed has changed. The stated one decides on which engines long
/// streams are consolidated.
fn log_class(upstream: &Upstream, before: Classes, now: MonotonicTime, source: &'static str) {
    let (stated, learned) = classes(upstream);
    if (stated, learned) != before {
        let speed = upstream.pace.speed(now);
        tracing::info!(
            event = "engine_speed",
            upstream = %upstream.id,
            stated,
            stated_before = before.0,
            learned,
            learned_before = before.1,
            step_factor = speed.step_factor,
            prefill_factor = speed.prefill_factor,
            source,
        );
    }
}
