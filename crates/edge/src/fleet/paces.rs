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
                let before = upstream.pace.class();
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
            let before = upstream.pace.class();
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
        upstreams.filter_map(take).take(MAX_PACE_NEWS).collect()
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

/// Logs that the class of an engine's speed has changed, which changes the engines on which long
/// streams are consolidated.
fn log_class(upstream: &Upstream, before: Option<i32>, now: MonotonicTime, source: &'static str) {
    let class = upstream.pace.class();
    if class != before {
        let speed = upstream.pace.speed(now);
        tracing::info!(
            event = "engine_speed",
            upstream = %upstream.id,
            class,
            before,
            usual = speed.step_factor,
            now = speed.prefill_factor,
            source,
        );
    }
}
