//! Where a request runs: what placement is told of the upstreams.

use std::time::Duration;

use nutmegbay_core::world::Moment;
use nutmegbay_policy::UpstreamKey;
use nutmegbay_policy::edge::placement::{
    Engine, Part, Placement, Plain, Prompt, Rates, gathering_engines, place, place_plain,
};
use nutmegbay_policy::edge::prefixes::{Evidence, first_ranks, ranking_weight};
use nutmegbay_policy::edge::urgency::Urgency;

use super::{Fleet, is_long};
use crate::model::{EngineSpec, ModelWork, Service};

/// Share of the ranking of an engine that reads prompts at full rate, against one at half rate.
const PREFILL_ENGINE_WEIGHT: f64 = 2.0;

/// A model request that is to be placed.
pub struct ModelRequest<'a> {
    /// Service.
    pub service: &'a Service,
    /// Its engines.
    pub engine: &'a EngineSpec,
    /// Work.
    pub work: &'a ModelWork,
    /// Its urgency.
    pub urgency: Urgency,
    /// Time within which its first result is on time.
    pub objective: Duration,
    /// Length of its body.
    pub body_bytes: usize,
    /// Upstreams that it was sent to before.
    pub tried: &'a [UpstreamKey],
}

impl Fleet {
    /// Chooses where a model request runs, without the tried upstreams as long as there are others.
    pub fn place_model(
        &self,
        req: &ModelRequest<'_>,
        instances: usize,
        now: Moment,
    ) -> Option<Placement> {
        let &ModelRequest {
            service,
            engine,
            work,
            urgency,
            objective,
            body_bytes,
            tried,
        } = req;
        let shared = work.shared_blocks();
        let shared_tokens: u32 = shared.iter().map(|part| part.tokens).sum();
        let own_tokens = work.prompt_tokens.saturating_sub(shared_tokens);
        let prompt = Prompt {
            shared_tokens: work.prompt_tokens - own_tokens,
            own_tokens,
            domain: self.own_domain,
            is_long: is_long(work),
        };
        let excess_ms = |is_split| {
            // Long streams wait for other things than prompts do.
            if prompt.is_long {
                0.0
            } else {
                self.excess_ms(&service.name, is_split, urgency, now)
            }
        };
        let resend_ms = self.link.send_ms(body_bytes);
        let prefill_rate = self.read_rate(&service.name);
        let rates = Rates {
            fixed_ms: prefill_rate.fixed_ms(),
            read_ms: prefill_rate.token_ms(work.prompt_tokens, objective),
            move_ms: transfer_ms(engine),
            send_ms: self.link.queue_ms(now) + resend_ms,
            again_ms: resend_ms,
            request_ms: self.request_ms(&service.name),
            whole_excess_ms: excess_ms(false),
            split_excess_ms: excess_ms(true),
        };
        let candidates = self.candidates(&service.name, tried, now);
        let consolidating = self.consolidation_engines(service, engine, &candidates, instances);
        let ranked = self.prefix_ranks(
            &candidates,
            &consolidating,
            shared.last().map(|part| part.id),
        );
        let evidence = match self.reporting_instances() {
            Some(_) => Evidence::Shared,
            None => Evidence::Own,
        };
        let engines: Vec<_> = candidates
            .iter()
            .zip(ranked)
            .map(|(key, rank)| {
                let upstream = &self.upstreams[*key];
                // Where long streams are gathered, the others' requests are streams as well: they
                // take slots and no time of reading.
                let typical_requests = if prompt.is_long {
                    0.0
                } else {
                    self.typical_requests(upstream)
                };
                let ahead = self.ahead(upstream, urgency, typical_requests, now);
                Engine {
                    key: *key,
                    part: upstream.part(),
                    domain: upstream.domain,
                    backlog_ms: ahead.backlog_ms,
                    requests: ahead.requests,
                    slots: upstream.report.slots,
                    held: shared.last().map_or(0.0, |part| {
                        self.prefixes.belief(part.id, *key, rank, evidence, now)
                    }),
                    is_gathering: consolidating.contains(key),
                    streams: upstream.streams + self.exchange.work(upstream.tag()).streams,
                    failure_rate: upstream.health.failure_rate(now),
                }
            })
            .collect();
        place(&engines, prompt, rates)
    }

    /// Decode engines that gather long streams, which all instances rank alike.
    fn consolidation_engines(
        &self,
        service: &Service,
        engine: &EngineSpec,
        candidates: &[UpstreamKey],
        instances: usize,
    ) -> Vec<UpstreamKey> {
        let mut decoding: Vec<_> = candidates
            .iter()
            .copied()
            .filter(|key| self.upstreams[*key].part() == Part::Decode)
            .collect();
        decoding.sort_by_key(|key| self.upstreams[*key].hash);
        let own = self
            .costs
            .get(&service.name)
            .map_or(0.0, |costs| costs.long_streams);
        let all = own * instances as f64;
        decoding.truncate(gathering_engines(all, engine.slots, decoding.len()));
        decoding
    }

    /// Chooses an upstream of a plain service and predicts the wait there in milliseconds.
    pub fn place_plain(
        &self,
        service: &Service,
        tried: &[UpstreamKey],
        now: Moment,
    ) -> Option<(UpstreamKey, f64)> {
        let upstreams: Vec<_> = self
            .candidates(&service.name, tried, now)
            .into_iter()
            .map(|key| {
                let upstream = &self.upstreams[key];
                Plain {
                    key,
                    domain: upstream.domain,
                    requests: self.requests_ahead(upstream, now),
                    slots: upstream.report.slots,
                    failure_rate: upstream.health.failure_rate(now),
                }
            })
            .collect();
        place_plain(&upstreams, self.own_domain, self.mean_ms(&service.name))
    }

    /// Whether an upstream takes new work: it is listed, and not as leaving.
    pub fn takes_work(&self, key: UpstreamKey, now: Moment) -> bool {
        self.upstreams.get(key).is_some_and(|upstream| {
            let expiry_grace_until = upstream.expiry_grace_until;
            upstream.report.is_ready && expiry_grace_until.is_none_or(|until| now < until)
        })
    }

    /// Upstreams that take new work. Those that were tried or are avoided are left out as long as
    /// others remain.
    fn candidates(&self, service: &str, tried: &[UpstreamKey], now: Moment) -> Vec<UpstreamKey> {
        let ready: Vec<_> = self
            .service_keys(service)
            .filter(|key| self.takes_work(*key, now))
            .collect();
        let untried: Vec<_> = ready
            .iter()
            .copied()
            .filter(|key| !tried.contains(key))
            .collect();
        let not_avoided: Vec<_> = untried
            .iter()
            .copied()
            .filter(|key| !self.upstreams[*key].health.is_avoided(now))
            .collect();
        let is_servable = |keys: &[UpstreamKey]| {
            keys.iter()
                .any(|key| self.upstreams[*key].part() == Part::Decode)
        };
        match (is_servable(&not_avoided), is_servable(&untried)) {
            (true, _) => not_avoided,
            (false, true) => untried,
            (false, false) => ready,
        }
    }

    /// Place of each candidate in the ranking of `part`, in the order of `candidates`, as far as it is
    /// one of the first ones. Engines that gather long streams read no prompts and have no place.
    fn prefix_ranks(
        &self,
        candidates: &[UpstreamKey],
        consolidating: &[UpstreamKey],
        part: Option<u64>,
    ) -> Vec<usize> {
        let Some(part) = part else {
            return vec![usize::MAX; candidates.len()];
        };
        let weights = candidates.iter().map(|key| {
            let upstream = &self.upstreams[*key];
            let share = match upstream.part() {
                _ if consolidating.contains(key) => return 0.0,
                Part::Prefill => PREFILL_ENGINE_WEIGHT,
                Part::Decode => 1.0,
            };
            ranking_weight(part, upstream.hash, share)
        });
        first_ranks(weights)
    }
}

/// Milliseconds in which a token is moved between engines.
fn transfer_ms(engine: &EngineSpec) -> f64 {
    if engine.link_mbps <= 0.0 {
        return 0.0;
    }
    engine.token_bytes as f64 * 8.0 / (engine.link_mbps * 1e3)
}
