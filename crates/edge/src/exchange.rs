//! Exchanges load digests with other instances over UDP. A lost digest is not sent again, since the
//! next one follows within a few tens of milliseconds.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use nutmegbay_core::crashes::{CrashReport, ReportSource};
use nutmegbay_policy::edge::engine_pace::PaceNews;
use nutmegbay_policy::edge::exchange::{Digest, Role, Scope, spacing};
use nutmegbay_policy::edge::stream_origins::{CallerWait, OriginNews};
use nutmegbay_policy::edge::upstream_limit::LimitNews;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::crashes;
use crate::fleet::{MemoryNews, ServiceReport};
use crate::metrics::increment;
use crate::platform_api::WireCodec;
use crate::quota;
use crate::state::EdgeState;
use crate::versions;

/// Time after which a digest is sent even if nothing has changed, so that receivers do not discard
/// the last one as too old.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two updates of the role of this instance.
const ROLE_UPDATE_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum size of a datagram, in bytes. News about the crash of an upstream with many runs take
/// some 6 KiB in addition to the digest.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;

/// Pause after a receive error.
const RECEIVE_ERROR_PAUSE: Duration = Duration::from_millis(200);

/// Sends the load of this instance to others and receives theirs, for as long as the process runs.
pub async fn run<D: WireCodec>(state: Rc<EdgeState<D>>) {
    let Some((socket, port)) = bind(&state).await else {
        // The others learn of this instance from the store alone.
        state.presence.borrow_mut().record_alone(state.now());
        loop {
            quota::update(&state);
            sleep(ROLE_UPDATE_INTERVAL).await;
        }
    };
    let socket = Rc::new(socket);
    state.quotas.borrow_mut().set_socket(&socket);
    let (receiver_state, rx) = (Rc::clone(&state), Rc::clone(&socket));
    tokio::task::spawn_local(async move { receive_digests(&receiver_state, &rx).await });
    let changed = Rc::clone(&state.fleet.borrow().load_changed);
    let mut role_updated_at = None;
    loop {
        let now = state.now();
        // Owners of quotas grant nothing before they hear others.
        let is_urgent = state.quotas.borrow().is_active() && !state.fleet.borrow().has_role();
        if is_urgent || role_updated_at.is_none_or(|at| now.since(at) >= ROLE_UPDATE_INTERVAL) {
            update_role(&state, port);
            versions::update_members(&state, &socket, port);
            state.share_limits();
            role_updated_at = Some(now);
        }
        quota::update(&state);
        send_digests(&state, &socket);
        let instances = state.fleet.borrow().other_instances() + 1;
        sleep(spacing(instances)).await;
        tokio::select! {
            () = changed.notified() => {}
            () = sleep(REFRESH_INTERVAL) => {}
        }
    }
}

/// Binds the exchange address. Returns the socket and its port, or `None` if there is none.
async fn bind<D: WireCodec>(state: &EdgeState<D>) -> Option<(UdpSocket, u16)> {
    let Some(at) = state.settings().exchange else {
        tracing::info!(
            event = "exchange_off",
            "the settings contain no exchange address"
        );
        return None;
    };
    match UdpSocket::bind(at).await {
        Ok(socket) => Some((socket, at.port())),
        Err(error) => {
            tracing::error!(event = "exchange_off", %at, %error);
            None
        }
    }
}

async fn receive_digests<D: WireCodec>(state: &EdgeState<D>, socket: &UdpSocket) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((len, from)) => {
                state.delay_monitor.record_received(len);
                if versions::is_about_origins(&buf[..len]) {
                    versions::receive(state, from, &buf[..len]);
                } else if quota::Message::is_in(&buf[..len]) {
                    quota::receive(state, from, &buf[..len]);
                } else if let Err(error) = receive_digest(state, from, &buf[..len]) {
                    tracing::debug!(event = "digest_unreadable", %from, %error);
                }
            }
            Err(error) => {
                tracing::debug!(event = "digest_not_received", %error);
                sleep(RECEIVE_ERROR_PAUSE).await;
            }
        }
    }
}

/// News that follow the digest in a datagram. After them come versions in use with the origins of
/// streams, the longest waits of callers, [`UpstreamNews`], and the work that client accounts ask
/// for. Earlier versions send less and ignore what follows.
#[derive(Debug, Serialize, Deserialize)]
struct News {
    crashes: CrashReport,
    limits: Vec<LimitNews>,
    /// Hashes of the names of processes that announce themselves.
    announced: Vec<u64>,
}

/// News about upstreams.
#[derive(Debug, Default, Serialize, Deserialize)]
struct UpstreamNews {
    paces: Vec<PaceNews>,
    memory: MemoryNews,
}

impl UpstreamNews {
    fn is_empty(&self) -> bool {
        self.paces.is_empty() && self.memory.is_empty()
    }
}

/// Applies a datagram: a digest, and news if there are any.
fn receive_digest<D: WireCodec>(
    state: &EdgeState<D>,
    from: SocketAddr,
    datagram: &[u8],
) -> Result<(), postcard::Error> {
    let (digest, news) = postcard::take_from_bytes::<Digest>(datagram)?;
    let (is_expected, is_relay) = {
        let mut fleet = state.fleet.borrow_mut();
        let is_expected = fleet.receive_digest(from, &digest, state.now());
        (is_expected, fleet.is_relay())
    };
    if news.is_empty() {
        return Ok(());
    }
    let (news, rest) = postcard::take_from_bytes::<News>(news)?;
    apply_news(state, news, is_relay);
    if rest.is_empty() {
        return Ok(());
    }
    let (origins, rest) = postcard::take_from_bytes::<Vec<OriginNews>>(rest)?;
    versions::merge_news(state, origins, is_relay);
    if rest.is_empty() {
        return Ok(());
    }
    let (waits, rest) = postcard::take_from_bytes::<Vec<CallerWait>>(rest)?;
    versions::merge_waits(state, &waits);
    if rest.is_empty() {
        return Ok(());
    }
    let (news, reports) = postcard::take_from_bytes::<UpstreamNews>(rest)?;
    let now = state.now();
    let mut fleet = state.fleet.borrow_mut();
    fleet.merge_paces(&news.paces, is_relay, now);
    fleet.merge_memory(&news.memory, is_relay, now);
    if is_expected && !reports.is_empty() {
        let reports = postcard::from_bytes::<Vec<ServiceReport>>(reports)?;
        fleet.merge_account_reports(from, digest.scope, reports, now);
    }
    Ok(())
}

fn apply_news<D: WireCodec>(state: &EdgeState<D>, news: News, is_relay: bool) {
    let source = if is_relay {
        ReportSource::Unshared
    } else {
        ReportSource::Shared
    };
    crashes::merge(state, &news.crashes, source);
    let now = state.now();
    for instance in news.announced {
        state.presence.borrow_mut().record(instance, is_relay, now);
        state
            .members
            .borrow_mut()
            .record_announcement(instance, now);
    }
    state
        .fleet
        .borrow_mut()
        .merge_limits(&news.limits, is_relay, now);
}

/// Sets the role of this instance from the known members. Instances that read the store also
/// forward digests.
fn update_role<D: WireCodec>(state: &EdgeState<D>, port: u16) {
    let settings = state.settings();
    let now = state.now();
    let members = state.members.borrow();
    let others = members.others(&settings.node, now).count();
    let relays = members.relays(&settings.node, now);
    let role = if relays.has_own {
        if relays.others.is_empty() {
            state.presence.borrow_mut().record_alone(now);
        }
        let others = relays.others.iter();
        Some(Role::Relay(
            others
                .map(|relay| SocketAddr::new(relay.key.ip(), port))
                .collect(),
        ))
    } else {
        let relay = state.relay_follower.borrow().relay();
        relay.map(|relay| Role::Follower(SocketAddr::new(relay.ip(), port)))
    };
    state.fleet.borrow_mut().set_role(role, others);
}

fn send_digests<D: WireCodec>(state: &EdgeState<D>, socket: &UdpSocket) {
    let now = state.now();
    let (digests, has_reports) = {
        let mut fleet = state.fleet.borrow_mut();
        (fleet.digests(now), fleet.take_reports_due(now))
    };
    let mut copies = versions::take_copies(state);
    // News wait until somebody receives them.
    let news = (!digests.is_empty()).then(|| EncodedNews::take(state, has_reports));
    let mut reports = Vec::new();
    for (to, digest) in digests {
        if has_reports && !reports.iter().any(|(scope, _)| *scope == digest.scope) {
            reports.push((digest.scope, encode_reports(state, digest.scope)));
        }
        let reports = reports.iter().find(|(scope, _)| *scope == digest.scope);
        let reports = reports.map_or(&[][..], |(_, encoded)| encoded);
        let fresh = copies
            .extract_if(.., |copies| copies.to == to && copies.are_fresh())
            .flat_map(|copies| copies.origins)
            .map(|origins| origins.news);
        let fresh = fresh.collect();
        let news = news.as_ref().map(|news| news.encode(fresh));
        let encoded = match postcard::to_stdvec(&digest) {
            Ok(encoded) => [&encoded, &news.unwrap_or_default()[..], reports].concat(),
            Err(error) => {
                tracing::error!(event = "digest_not_encoded", %error);
                continue;
            }
        };
        // A datagram that is lost to a full buffer or a broken link is not sent again: the next
        // digest contains the same state.
        match socket.try_send_to(&encoded, to) {
            Ok(_) => increment(&state.metrics.digests_sent),
            Err(error) => tracing::debug!(event = "digest_not_sent", %to, %error),
        }
    }
    for copies in copies {
        versions::send_copies(state, socket, copies);
    }
}

/// Encodes the work that client accounts ask for, for receivers of digests of `scope`.
fn encode_reports<D: WireCodec>(state: &EdgeState<D>, scope: Scope) -> Vec<u8> {
    let reports = state.fleet.borrow_mut().account_reports(scope, state.now());
    postcard::to_stdvec(&reports).unwrap_or_else(|error| {
        tracing::error!(event = "reports_not_encoded", %error);
        Vec::new()
    })
}

/// News that are due. All receivers of digests get the same, but for the origins of streams.
struct EncodedNews {
    /// [`News`].
    first: Vec<u8>,
    versions: Vec<OriginNews>,
    /// What comes after the origins.
    last: Vec<u8>,
    /// Whether there are neither news, nor does anything follow them.
    is_empty: bool,
}

impl EncodedNews {
    /// Takes the news that are due. `follows` states whether something follows them.
    fn take<D: WireCodec>(state: &EdgeState<D>, follows: bool) -> Self {
        let now = state.now();
        let record_age = now.since(state.record_written_at.get());
        let news = News {
            crashes: crashes::take_news(state),
            limits: state.fleet.borrow_mut().take_limit_news(now),
            announced: state.presence.borrow_mut().take(record_age, now),
        };
        let (versions, waits) = {
            let mut versions = state.versions.borrow_mut();
            (versions.take_version_news(), versions.take_wait_news())
        };
        let upstreams = {
            let mut fleet = state.fleet.borrow_mut();
            UpstreamNews {
                paces: fleet.take_pace_news(now),
                memory: if state.settings().has_competing_accounts {
                    fleet.take_memory_news(now)
                } else {
                    MemoryNews::default()
                },
            }
        };
        let has_last = follows || !upstreams.is_empty();
        Self {
            is_empty: !has_last
                && news.crashes.is_empty()
                && news.limits.is_empty()
                && news.announced.is_empty()
                && versions.is_empty()
                && waits.is_empty(),
            first: encode(&news),
            versions,
            last: if has_last {
                encode(&(waits, upstreams))
            } else {
                encode(&waits)
            },
        }
    }

    /// Encodes the news for one receiver, with the origins that it is to keep. Empty if there are
    /// none and nothing follows them.
    fn encode(&self, mut origins: Vec<OriginNews>) -> Vec<u8> {
        if self.is_empty && origins.is_empty() {
            return Vec::new();
        }
        origins.extend_from_slice(&self.versions);
        [&self.first, &encode(&origins)[..], &self.last].concat()
    }
}

fn encode(part: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(part).unwrap_or_else(|error| {
        tracing::error!(event = "news_not_encoded", %error);
        Vec::new()
    })
}
