//! What the kernel knows of the bytes that wait for the peer of a connection, read by Linux's
//! `sock_diag` interface. It needs no privileges and works on sockets of the process's network
//! namespace.

use std::cell::{Cell, OnceCell};
use std::io::{Read, Result, Write};
use std::net::{IpAddr, SocketAddr};

use nutmegbay_policy::edge::peer_liveness::SendState;
use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::TcpStream;

/// Address family and protocol of the interface.
const AF_NETLINK: i32 = 16;
const NETLINK_SOCK_DIAG: i32 = 4;

/// Address families of connections.
const AF_INET: u8 = 2;
const AF_INET6: u8 = 10;

const IPPROTO_TCP: u8 = 6;

/// Type of a request for one socket and of the response to it.
const SOCK_DIAG_BY_FAMILY: u16 = 20;

/// Flag of a request.
const NLM_F_REQUEST: u16 = 1;

/// Bit that asks for [`INET_DIAG_INFO`].
const INFO_EXTENSION: u8 = 1 << (INET_DIAG_INFO - 1);

/// Type of the attribute with the kernel's `tcp_info`.
const INET_DIAG_INFO: u16 = 2;

/// Socket cookie that matches any.
const NO_COOKIE: u32 = u32::MAX;

/// Sizes of the header of a message, of a description of a socket, and of the header of an attribute,
/// in bytes.
const HEADER_BYTES: usize = 16;
const SOCKET_BYTES: usize = 72;
const ATTRIBUTE_BYTES: usize = 4;

/// Offset of the sequence number in the header of a message.
const SEQUENCE_OFFSET: usize = 8;

/// Values of the field with the timer that runs.
const TIMER_RETRANSMIT: u8 = 1;
const TIMER_PROBE: u8 = 4;

/// Number of unanswered probes of a closed window from which the peer counts as silent. A peer may
/// leave a probe unanswered that follows another one within half a second.
const SILENT_PROBES: u8 = 2;

thread_local! {
    /// Socket of the interface. `None` if it cannot be opened.
    static INTERFACE: OnceCell<Option<Socket>> = const { OnceCell::new() };
    /// Whether the last call of the interface has failed.
    static HAS_FAILED: Cell<bool> = const { Cell::new(false) };
    static SEQUENCE: Cell<u32> = const { Cell::new(0) };
}

/// Returns whether the state of connections can be read.
pub fn is_readable() -> bool {
    !HAS_FAILED.get() && INTERFACE.with(|interface| interface.get_or_init(open).is_some())
}

/// Returns what the kernel knows of a connection, or `None` if it cannot be read.
pub fn read(connection: &TcpStream) -> Option<SendState> {
    INTERFACE.with(|interface| {
        let interface = interface.get_or_init(open).as_ref()?;
        let local = connection.local_addr().ok()?;
        let peer = connection.peer_addr().ok()?;
        let sequence = SEQUENCE.replace(SEQUENCE.get().wrapping_add(1));
        let mut buf = [0; 2_048];
        let response = call(interface, &encode_request(local, peer, sequence), &mut buf);
        let has_failed = HAS_FAILED.replace(response.is_err());
        match response {
            Ok(response) => decode(response),
            Err(error) => {
                if !has_failed {
                    tracing::info!(event = "socket_state_unreadable", %error);
                }
                None
            }
        }
    })
}

/// Sends a request and returns the response to it.
fn call<'a>(mut interface: &Socket, request: &[u8], buf: &'a mut [u8]) -> Result<&'a [u8]> {
    interface.write_all(request)?;
    loop {
        let len = interface.read(buf)?;
        if u32_at(&buf[..len], SEQUENCE_OFFSET) == u32_at(request, SEQUENCE_OFFSET) {
            return Ok(&buf[..len]);
        }
    }
}

fn open() -> Option<Socket> {
    let opened = Socket::new(
        Domain::from(AF_NETLINK),
        Type::DGRAM,
        Some(Protocol::from(NETLINK_SOCK_DIAG)),
    );
    match opened.and_then(|socket| socket.set_nonblocking(true).map(|()| socket)) {
        Ok(socket) => Some(socket),
        Err(error) => {
            tracing::info!(event = "socket_state_unreadable", %error);
            None
        }
    }
}

fn encode_request(local: SocketAddr, peer: SocketAddr, sequence: u32) -> Vec<u8> {
    let family = if local.is_ipv4() { AF_INET } else { AF_INET6 };
    let mut request = Vec::with_capacity(HEADER_BYTES + 56);
    request.extend_from_slice(&72_u32.to_ne_bytes());
    request.extend_from_slice(&SOCK_DIAG_BY_FAMILY.to_ne_bytes());
    request.extend_from_slice(&NLM_F_REQUEST.to_ne_bytes());
    request.extend_from_slice(&sequence.to_ne_bytes());
    request.extend_from_slice(&[0; 4]);
    request.extend_from_slice(&[family, IPPROTO_TCP, INFO_EXTENSION, 0]);
    request.extend_from_slice(&u32::MAX.to_ne_bytes());
    request.extend_from_slice(&local.port().to_be_bytes());
    request.extend_from_slice(&peer.port().to_be_bytes());
    for addr in [local.ip(), peer.ip()] {
        let mut bytes = [0; 16];
        match addr {
            IpAddr::V4(addr) => bytes[..4].copy_from_slice(&addr.octets()),
            IpAddr::V6(addr) => bytes = addr.octets(),
        }
        request.extend_from_slice(&bytes);
    }
    request.extend_from_slice(&[0; 4]);
    request.extend_from_slice(&NO_COOKIE.to_ne_bytes());
    request.extend_from_slice(&NO_COOKIE.to_ne_bytes());
    request
}

/// Decodes a response. Returns `None` if it is an error or malformed.
fn decode(response: &[u8]) -> Option<SendState> {
    if u16_at(response, 4)? != SOCK_DIAG_BY_FAMILY {
        return None;
    }
    let len = (u32_at(response, 0)? as usize).min(response.len());
    let socket = response.get(HEADER_BYTES..len)?;
    let unacknowledged = u32_at(socket, 60)?;
    let timer = *socket.get(2)?;
    let unanswered = *socket.get(3)?;
    let until_next_ms = u32_at(socket, 52)?;
    if unacknowledged == 0 {
        return Some(SendState::Empty);
    }
    match timer {
        TIMER_PROBE if unanswered < SILENT_PROBES => Some(SendState::Answered),
        TIMER_PROBE => Some(SendState::Unanswered),
        TIMER_RETRANSMIT if unanswered > 0 => {
            let info = find_attribute(socket.get(SOCKET_BYTES..)?, INET_DIAG_INFO)?;
            let interval_ms = u32_at(info, 8)? / 1_000;
            let sent_age_ms = interval_ms.saturating_sub(until_next_ms);
            let answer_age_ms = u32_at(info, 56)?;
            if answer_age_ms < sent_age_ms {
                Some(SendState::Answered)
            } else {
                Some(SendState::Unanswered)
            }
        }
        _ => Some(SendState::InFlight),
    }
}

/// Returns the content of the first attribute of a type.
fn find_attribute(mut attributes: &[u8], wanted: u16) -> Option<&[u8]> {
    loop {
        let len = usize::from(u16_at(attributes, 0)?);
        let content = attributes.get(ATTRIBUTE_BYTES..len)?;
        if u16_at(attributes, 2)? == wanted {
            return Some(content);
        }
        attributes = attributes.get(len.next_multiple_of(4)..)?;
    }
}

fn u16_at(bytes: &[u8], at: usize) -> Option<u16> {
    let field = bytes.get(at..at + 2)?;
    field.try_into().ok().map(u16::from_ne_bytes)
}

fn u32_at(bytes: &[u8], at: usize) -> Option<u32> {
    let field = bytes.get(at..at + 4)?;
    field.try_into().ok().map(u32::from_ne_bytes)
}
