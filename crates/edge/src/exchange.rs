//! Exchange of digests on each instance's work, by datagrams. Lost ones are not sent again: the next
//! ones follow within a few tens of milliseconds.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use nutmegbay_policy::edge::exchange::{Digest, Role, spacing};
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::metrics::count;
use crate::platform_api::WireCodec;
use crate::state::EdgeState;

/// Time after which a digest is sent although nothing has changed, so that others keep counting on it.
const REFRESH: Duration = Duration::from_millis(100);

/// Time between two looks at who passes digests on.
const ROLE_EVERY: Duration = Duration::from_millis(500);

/// Largest datagram, in bytes.
const LARGEST_DIGEST: usize = 8 * 1024;

/// Pause after the socket failed.
const FAILED_PAUSE: Duration = Duration::from_millis(200);

/// Shares this process's work with others and receives theirs, for as long as it runs.
pub async fn run<D: WireCodec>(state: Rc<EdgeState<D>>) {
    let Some(at) = state.settings().exchange else {
        tracing::info!(event = "exchange_off", "the settings name no port for it");
        return;
    };
    let socket = match UdpSocket::bind(at).await {
        Ok(socket) => Rc::new(socket),
        Err(error) => {
            tracing::error!(event = "exchange_off", %at, %error);
            return;
        }
    };
    let (listener, rx) = (Rc::clone(&state), Rc::clone(&socket));
    tokio::task::spawn_local(async move { listen(&listener, &rx).await });
    let changed = Rc::clone(&state.fleet.borrow().load_changed);
    let mut role_at = None;
    loop {
        let now = state.now();
        if role_at.is_none_or(|at| now.since(at) >= ROLE_EVERY) {
            take_role(&state, at.port());
            role_at = Some(now);
        }
        send(&state, &socket);
        let instances = state.fleet.borrow().other_instances() + 1;
        sleep(spacing(instances)).await;
        tokio::select! {
            () = changed.notified() => {}
            () = sleep(REFRESH) => {}
        }
    }
}

async fn listen<D: WireCodec>(state: &EdgeState<D>, socket: &UdpSocket) {
    let mut buf = vec![0; LARGEST_DIGEST];
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((len, from)) => match postcard::from_bytes::<Digest>(&buf[..len]) {
                Ok(digest) => {
                    let mut fleet = state.fleet.borrow_mut();
                    fleet.receive_digest(from, &digest, state.now());
                }
                Err(error) => tracing::debug!(event = "digest_unreadable", %from, %error),
            },
            Err(error) => {
                tracing::debug!(event = "digest_not_received", %error);
                sleep(FAILED_PAUSE).await;
            }
        }
    }
}

/// Follows who reads the store: these pass digests on.
fn take_role<D: WireCodec>(state: &EdgeState<D>, port: u16) {
    let settings = state.settings();
    let now = state.now();
    let members = state.members.borrow();
    let others = members.others(&settings.node, now).count();
    let relays = members.relays(&settings.node, now);
    let role = if relays.has_own {
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

fn send<D: WireCodec>(state: &EdgeState<D>, socket: &UdpSocket) {
    let digests = state.fleet.borrow_mut().digests(state.now());
    for (to, digest) in digests {
        let text = match postcard::to_stdvec(&digest) {
            Ok(text) => text,
            Err(error) => {
                tracing::error!(event = "digest_not_encoded", %error);
                continue;
            }
        };
        // A full buffer or a link that is away: the next digest says the same.
        match socket.try_send_to(&text, to) {
            Ok(_) => count(&state.metrics.digests_sent),
            Err(error) => tracing::debug!(event = "digest_not_sent", %to, %error),
        }
    }
}
