//! Builds the input of the placement policy from the known upstreams.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_policy::UpstreamKey;
use nutmegbay_policy::edge::even_load::{Spread, replaced_fraction, unseen_ms};
use nutmegbay_policy::edge::exchange::spacing;
use nutmegbay_policy::edge::placement::{
    CostEstimates, Engine, EnginePhase, Placement, PlacementRequest, PlainUpstream, known_work,
    place, place_evenly, place_plain, stream_host_count,
};
use nutmegbay_policy::edge::prefixes::{EvidenceSource, rendezvous_weight, top_two_ranks};
use nutmegbay_policy::edge::software_versions::VersionTag;
use nutmegbay_policy::edge::stream_hosts::{rank_hosts, still_hosts};
use nutmegbay_policy::edge::urgency::Urgency;

use super::{Fleet, Upstream, is_long};
use crate::model::{EngineSpec, ModelWork, Service};

/// Weight of a prefill engine when engines are ranked for a prefix block. A decode engine, which
/// prefills at half the rate, has weight 1.
const PREFILL_ENGINE_WEIGHT: f64 = 2.0;

/// A model request to be placed.
pub struct ModelRequest<'a> {
    pub service: &'a Service,
    /// Properties of the service's engines.
    pub engine: &'a EngineSpec,
    /// Size of the request.
    pub work: &'a ModelWork,
    /// Class of urgency.
    pub urgency: Urgency,
    /// Time limit within which the first result counts as on time.
    pub objective: Duration,
    /// Length of the request body, in bytes.
    pub body_bytes: usize,
    /// Upstreams to which the request was sent before.
    pub tried: &'a [UpstreamKey],
    /// Version of the only upstreams that may run the request. `None` if any may.
    pub version: Option<VersionTag>,
}

impl Fleet {
    /// Chooses where a model request runs. Upstreams that were tried before are used only if there
    /// are no others.
    pub fn place_model(
        &self,
        req: &ModelRequest<'_>,
        instances: usize,
        now: MonotonicTime,
    ) -> Option<Placement> {
        let &ModelRequest {
            service,
            engine,
            work,
            urgency,
            objective,
            body_bytes,
            tried,
            version,
        } = req;
        let shared = work.shared_blocks();
        let placement_request = self.placement_request(work);
        let lateness_ms = |is_split| {
            // Lateness is measured on requests that wait for a prefill. Long streams do not.
            if placement_request.is_long {
                0.0
            } else {
                self.lateness_ms(&service.name, is_split, urgency, now)
            }
        };
        let resend_ms = self.link.send_ms(body_bytes);
        let prefill_rate = self.prefill_rate(&service.name);
        let estimates = CostEstimates {
            fixed_ms: prefill_rate.fixed_ms(),
            prefill_token_ms: prefill_rate.token_ms(work.prompt_tokens, objective),
            transfer_token_ms: transfer_ms(engine),
            send_ms: self.link.queue_ms(now) + resend_ms,
            resend_ms,
            request_ms: self.request_ms(&service.name),
            whole_lateness_ms: lateness_ms(false),
            split_lateness_ms: lateness_ms(true),
        };
        let candidates = self.candidates(&service.name, tried, version, now);
        let is_long = placement_request.is_long;
        let stream_hosts = self.stream_hosts(service, engine, &candidates, instances, is_long);
        let ranked = self.prefix_ranks(
            &candidates,
            &stream_hosts,
            shared.last().map(|block| block.id),
        );
        let evidence = match self.reporting_instances() {
            Some(_) => EvidenceSource::Shared,
            None => EvidenceSource::Own,
        };
        let mut engines: Vec<_> = candidates
            .iter()
            .zip(ranked)
            .map(|(key, rank)| Engine {
                cached_fraction: shared.last().map_or(0.0, |block| {
                    self.prefix_locations
                        .cached_fraction(block.id, *key, rank, evidence, now)
                }),
                is_stream_host: stream_hosts.contains(key),
                ..self.view(*key, placement_request, urgency, now)
            })
            .collect();
        if !self.has_uneven_engines(&service.name) {
            return place(&engines, placement_request, estimates);
        }
        let replaced = self.replaced_fraction(&service.name, now);
        let unheld = self.record_held(&service.name, &engines);
        if !placement_request.is_long {
            self.set_unseen(
                &mut engines,
                placement_request,
                urgency,
                replaced * unheld,
                estimates,
            );
        }
        let spread = Spread {
            replaced,
            draw: rand::random(),
        };
        place_evenly(&engines, placement_request, estimates, spread)
    }

    fn placement_request(&self, work: &ModelWork) -> PlacementRequest {
        let shared = work.shared_blocks();
        let shared_tokens: u32 = shared.iter().map(|block| block.tokens).sum();
        let suffix_tokens = work.prompt_tokens.saturating_sub(shared_tokens);
        PlacementRequest {
            shared_tokens: work.prompt_tokens - suffix_tokens,
            suffix_tokens,
            domain: self.own_domain,
            is_long: is_long(work),
        }
    }

    /// Returns whether requests of a service are spread evenly by figures with an age. Engines that
    /// share their machines differ in speed and change it, so that a shared order of engines would
    /// overrun some of them.
    fn has_uneven_engines(&self, service: &str) -> bool {
        let costs = self.costs.get(service);
        costs.is_some_and(|costs| costs.has_uneven_engines)
    }

    /// Returns the age of what is known of other instances' requests to a service, if requests are
    /// spread evenly by it. `None` without digests of other instances.
    pub fn load_age(&self, service: &str, now: MonotonicTime) -> Option<Duration> {
        if !self.has_uneven_engines(service) {
            return None;
        }
        self.reporting_instances()?;
        let spacing = spacing(self.other_instances + 1);
        self.exchange.known_age(spacing, now)
    }

    /// Returns the fraction of the service's requests without a first result that have been
    /// replaced since the known figures were taken. 0 before the first result, and 1 without digests
    /// of other instances: what responses report is older than a request waits.
    fn replaced_fraction(&self, service: &str, now: MonotonicTime) -> f64 {
        let turnover = self
            .costs
            .get(service)
            .and_then(|costs| Duration::try_from_secs_f64(costs.turnover_ms? / 1e3).ok());
        match (turnover, self.load_age(service, now)) {
            (Some(turnover), Some(age)) => replaced_fraction(age, turnover),
            (Some(_), None) if self.other_instances > 0 => 1.0,
            _ => 0.0,
        }
    }

    /// Records what the engines hold of a request's shared blocks. Returns the fraction of requests
    /// of which none holds them: these go where the load is least, the others to their holder.
    fn record_held(&self, service: &str, engines: &[Engine]) -> f64 {
        let Some(costs) = self.costs.get(service) else {
            return 1.0;
        };
        let held = engines
            .iter()
            .map(|engine| engine.cached_fraction)
            .fold(0.0, f64::max);
        costs.record_held(held);
        costs.unheld_fraction.get()
    }

    /// Sets the work that other instances have probably sent to each engine. Without digests of
    /// other instances there is none: the typical load stands for it.
    fn set_unseen(
        &self,
        engines: &mut [Engine],
        request: PlacementRequest,
        urgency: Urgency,
        replaced: f64,
        estimates: CostEstimates,
    ) {
        if self.reporting_instances().is_none() {
            return;
        }
        let others_ms: Vec<_> = engines
            .iter()
            .map(|engine| self.others_pending_ms(&self.upstreams[engine.key], urgency))
            .collect();
        let known = known_work(engines, &others_ms, request, estimates);
        for (engine, unseen_ms) in engines.iter_mut().zip(unseen_ms(&known, replaced)) {
            engine.unseen_ms = unseen_ms;
        }
    }

    /// Returns the state of the engine `key` for a request, without what depends on the other
    /// candidates.
    fn view(
        &self,
        key: UpstreamKey,
        request: PlacementRequest,
        urgency: Urgency,
        now: MonotonicTime,
    ) -> Engine {
        let upstream = &self.upstreams[key];
        // Long streams are consolidated on engines where the other instances' requests are
        // streams too. Those take slots and no prefill time.
        let typical_requests = if request.is_long {
            0.0
        } else {
            self.typical_requests(upstream)
        };
        let ahead = self.ahead(upstream, urgency, typical_requests, now);
        Engine {
            key,
            phase: upstream.phase(),
            version: upstream.version(),
            domain: upstream.domain,
            backlog_ms: ahead.backlog_ms,
            unseen_ms: 0.0,
            speed: upstream.pace.speed(now),
            requests: ahead.requests,
            slots: upstream.report.slots,
            cached_fraction: 0.0,
            is_stream_host: false,
            streams: self.streams(upstream),
            failure_rate: upstream.health.failure_rate(now),
            limit_use: upstream.limit.used_fraction(now),
        }
    }

    /// Returns the decode engines on which long streams are consolidated. All instances rank them
    /// alike, by speed if the engines state their pace. In that case, an engine that is no host any
    /// more still is one for other requests than long streams while several of these run there.
    fn stream_hosts(
        &self,
        service: &Service,
        engine: &EngineSpec,
        candidates: &[UpstreamKey],
        instances: usize,
        is_long: bool,
    ) -> Vec<UpstreamKey> {
        let mut decoding: Vec<_> = candidates
            .iter()
            .copied()
            .filter(|key| self.upstreams[*key].phase() == EnginePhase::Decode)
            .collect();
        let costs = self.costs.get(&service.name);
        let by_speed = rank_hosts(&decoding, |key| {
            let upstream = &self.upstreams[key];
            (upstream.pace.class(), upstream.hash)
        });
        if let Some(mut hosts) = by_speed {
            let count = costs.map_or(1, |costs| costs.host_count.get());
            let mut rest = hosts.split_off(count.min(hosts.len()));
            if !is_long {
                rest.retain(|key| still_hosts(self.streams(&self.upstreams[*key])));
                hosts.append(&mut rest);
            }
            return hosts;
        }
        decoding.sort_by_key(|key| self.upstreams[*key].hash);
        let own = costs.map_or(0.0, |costs| costs.long_streams);
        let all = own * instances as f64;
        decoding.truncate(stream_host_count(all, engine.slots, decoding.len()));
        decoding
    }

    /// Returns the number of long streams of all instances at an upstream.
    fn streams(&self, upstream: &Upstream) -> u32 {
        upstream.streams + self.exchange.work(upstream.tag()).streams
    }

    /// Chooses an upstream of a plain service, of `version` if it is given. Returns it with the
    /// predicted wait in milliseconds.
    pub fn place_plain(
        &self,
        service: &Service,
        tried: &[UpstreamKey],
        version: Option<VersionTag>,
        now: MonotonicTime,
    ) -> Option<(UpstreamKey, f64)> {
        let upstreams: Vec<_> = self
            .candidates(&service.name, tried, version, now)
            .into_iter()
            .map(|key| {
                let upstream = &self.upstreams[key];
                PlainUpstream {
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

    /// Returns whether this instance may send a new request to an upstream now: the upstream is
    /// ready and wants requests, and this instance has not used up its share of its limit.
    pub fn takes_work(&self, key: UpstreamKey, now: MonotonicTime) -> bool {
        self.is_ready(key, now) && self.send_wait(key, now) == Some(Duration::ZERO)
    }

    /// Returns whether an upstream accepts new requests: it is listed as ready and has not stated
    /// that it leaves, and its grace period is not over.
    pub fn is_ready(&self, key: UpstreamKey, now: MonotonicTime) -> bool {
        self.upstreams.get(key).is_some_and(|upstream| {
            let expiry_grace_until = upstream.expiry_grace_until;
            let is_staying = upstream.report.is_ready && !upstream.notices.is_leaving();
            is_staying && expiry_grace_until.is_none_or(|until| now < until)
        })
    }

    /// Returns the upstreams that accept new requests, of `version` if it is given. Upstreams that
    /// were tried, or are avoided for failures, are left out unless no decode engine would remain.
    fn candidates(
        &self,
        service: &str,
        tried: &[UpstreamKey],
        version: Option<VersionTag>,
        now: MonotonicTime,
    ) -> Vec<UpstreamKey> {
        let ready: Vec<_> = self
            .keys_of_version(service, version)
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
                .any(|key| self.upstreams[*key].phase() == EnginePhase::Decode)
        };
        match (is_servable(&not_avoided), is_servable(&untried)) {
            (true, _) => not_avoided,
            (false, true) => untried,
            (false, false) => ready,
        }
    }

    /// Returns the rank of each candidate for `block`, in the order of `candidates`; `usize::MAX`
    /// beyond the first ranks. Engines with consolidated long streams run no prefills and have
    /// weight 0.
    fn prefix_ranks(
        &self,
        candidates: &[UpstreamKey],
        stream_hosts: &[UpstreamKey],
        block: Option<u64>,
    ) -> Vec<usize> {
        let Some(block) = block else {
            return vec![usize::MAX; candidates.len()];
        };
        let weights = candidates.iter().map(|key| {
            let upstream = &self.upstreams[*key];
            let weight = match upstream.phase() {
                _ if stream_hosts.contains(key) => return 0.0,
                EnginePhase::Prefill => PREFILL_ENGINE_WEIGHT,
                EnginePhase::Decode => 1.0,
            };
            rendezvous_weight(block, upstream.hash, weight)
        });
        top_two_ranks(weights)
    }
}

/// Returns the time to transfer a token between engines, in milliseconds.
fn transfer_ms(engine: &EngineSpec) -> f64 {
    if engine.link_mbps <= 0.0 {
        return 0.0;
    }
    engine.token_bytes as f64 * 8.0 / (engine.link_mbps * 1e3)
}
