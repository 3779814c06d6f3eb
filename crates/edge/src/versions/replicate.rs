//! Copies the origins of streams to the few instances that keep them, on the exchange address.

use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;

use nutmegbay_policy::edge::origin_replicas::ReplicaMember;
use nutmegbay_policy::edge::software_versions::StoredVersion;
use nutmegbay_policy::edge::stream_origins::{AgedOrigins, MAX_TOLD, Origin, OriginNews};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use xxhash_rust::xxh3::xxh3_64;

use crate::members::member_hash;
use crate::metrics::increment;
use crate::platform_api::WireCodec;
use crate::state::EdgeState;

/// First byte of a datagram about origins. Load digests begin with a smaller one, and datagrams about
/// quotas with another one.
const FIRST_BYTE: u8 = 0x81;

/// Number of requests to each instance for the origins that this one is to keep, since datagrams may
/// be lost.
const FETCHES: u8 = 2;

/// Datagram about origins.
#[derive(Debug, Serialize, Deserialize)]
enum Message {
    /// Origins that the receiver is to keep.
    Copies(Vec<AgedOrigins>),
    /// Asks for the origins that an instance is to keep, given the hash of its name: it has just
    /// started.
    Fetch { instance: u64 },
    /// Origins that the receiver is to write to the store.
    Write(Vec<OriginNews>),
}

impl Message {
    fn decode(datagram: &[u8]) -> Option<Self> {
        let (_, rest) = datagram.split_first()?;
        postcard::from_bytes(rest).ok()
    }

    fn encode(&self) -> Vec<u8> {
        postcard::to_extend(self, vec![FIRST_BYTE]).unwrap_or_else(|error| {
            tracing::error!(event = "origins_not_encoded", %error);
            Vec::new()
        })
    }
}

/// Other instances, as known for the copies of origins.
#[derive(Debug, Default)]
pub struct ReplicaPeers {
    /// Exchange addresses, by the hash of the name.
    addresses: HashMap<u64, SocketAddr>,
    /// Instances that are still to be asked, and how often.
    fetches: BTreeMap<u64, u8>,
    /// Socket with the exchange address.
    socket: Option<(Rc<UdpSocket>, u16)>,
}

/// Copies for one instance.
pub struct Copies {
    pub to: SocketAddr,
    pub origins: Vec<AgedOrigins>,
}

impl Copies {
    /// Returns whether all streams have just begun or been taken up.
    pub fn are_fresh(&self) -> bool {
        self.origins.iter().all(|copies| copies.age_s == 0)
    }
}

/// Updates the instances that keep copies, and asks those that have become known for theirs. `port`
/// is that of the exchange address.
pub fn update_members<D: WireCodec>(state: &EdgeState<D>, socket: &Rc<UdpSocket>, port: u16) {
    let settings = state.settings();
    let now = state.now();
    let own = ReplicaMember {
        domain: xxh3_64(settings.domain.as_bytes()),
        name: member_hash(&settings.node),
    };
    let members = state.members.borrow();
    let mut versions = state.versions.borrow_mut();
    let others = members
        .replicas(&settings.node, now)
        .map(|(name, domain, _)| ReplicaMember {
            domain: xxh3_64(domain.as_bytes()),
            name,
        });
    let joined = versions.origins.update_members(own, others);
    let peers = &mut versions.peers;
    peers.socket = Some((Rc::clone(socket), port));
    peers.addresses = members
        .replicas(&settings.node, now)
        .map(|(name, _, control)| (name, SocketAddr::new(control.ip(), port)))
        .collect();
    peers
        .fetches
        .extend(joined.into_iter().map(|name| (name, FETCHES)));
    send_fetches(state, peers, socket);
}

/// Takes the copies that are due.
pub fn take_copies<D: WireCodec>(state: &EdgeState<D>) -> Vec<Copies> {
    let now = state.now();
    let mut versions = state.versions.borrow_mut();
    let taken = versions.origins.take_copies(now);
    if versions.origins.has_copies() {
        state.fleet.borrow().load_changed.notify_one();
    }
    let peers = &versions.peers;
    let copies = taken.into_iter().filter_map(|(name, origins)| {
        let to = *peers.addresses.get(&name)?;
        Some(Copies { to, origins })
    });
    copies.collect()
}

fn send_fetches<D: WireCodec>(state: &EdgeState<D>, peers: &mut ReplicaPeers, socket: &UdpSocket) {
    let ReplicaPeers {
        addresses, fetches, ..
    } = peers;
    let instance = member_hash(&state.settings().node);
    for (name, remaining) in &mut *fetches {
        *remaining -= 1;
        if let Some(to) = addresses.get(name) {
            send(state, socket, *to, &Message::Fetch { instance });
        }
    }
    fetches.retain(|_, remaining| *remaining > 0);
}

/// Sends copies in a datagram of their own.
pub fn send_copies<D: WireCodec>(state: &EdgeState<D>, socket: &UdpSocket, copies: Copies) {
    send(state, socket, copies.to, &Message::Copies(copies.origins));
}

fn send<D: WireCodec>(state: &EdgeState<D>, socket: &UdpSocket, to: SocketAddr, message: &Message) {
    // The other instances that keep an origin make up for a datagram that is lost.
    match socket.try_send_to(&message.encode(), to) {
        Ok(_) => increment(&state.metrics.origin_datagrams_sent),
        Err(error) => tracing::debug!(event = "origins_not_sent", %to, %error),
    }
}

/// Sends origins to the relay at `relay`, which writes them to the store.
pub fn send_to_relay<D: WireCodec>(state: &EdgeState<D>, relay: IpAddr, origins: Vec<OriginNews>) {
    let versions = state.versions.borrow();
    let Some((socket, port)) = &versions.peers.socket else {
        return;
    };
    let to = SocketAddr::new(relay, *port);
    for news in origins {
        let streams: Vec<_> = news.streams().collect();
        for chunk in streams.chunks(MAX_TOLD) {
            let news = OriginNews::new(news.origin, chunk.iter().copied());
            send(state, socket, to, &Message::Write(vec![news]));
        }
    }
}

/// Returns whether a datagram is about origins.
pub fn is_about_origins(datagram: &[u8]) -> bool {
    datagram.first() == Some(&FIRST_BYTE)
}

/// Applies a datagram about origins.
pub fn receive<D: WireCodec>(state: &EdgeState<D>, from: SocketAddr, datagram: &[u8]) {
    match Message::decode(datagram) {
        Some(Message::Copies(copies)) => merge(state, &copies),
        Some(Message::Fetch { instance }) => {
            let mut versions = state.versions.borrow_mut();
            versions.origins.copy_to(instance);
            if versions.origins.has_copies() {
                state.fleet.borrow().load_changed.notify_one();
            }
        }
        Some(Message::Write(origins)) => {
            let now = state.now();
            let mut versions = state.versions.borrow_mut();
            versions.unwritten.record_all(&origins, now);
        }
        None => tracing::debug!(event = "origins_unreadable", %from),
    }
}

/// Records copies of another instance.
pub fn merge<D: WireCodec>(state: &EdgeState<D>, copies: &[AgedOrigins]) {
    let now = state.now();
    let mut versions = state.versions.borrow_mut();
    for copies in copies {
        versions.origins.merge(copies, now);
        let Origin { service, version } = copies.news.origin;
        let used = StoredVersion {
            version,
            unused_ms: copies.age_s.saturating_mul(1_000),
        };
        versions.record_told(service, &[used], now);
    }
}

/// Copies what this process keeps to others, which keep it in its place. To be called when a planned
/// stop begins.
pub fn leave<D: WireCodec>(state: &EdgeState<D>) {
    state.versions.borrow_mut().origins.leave();
    state.fleet.borrow().load_changed.notify_one();
}
