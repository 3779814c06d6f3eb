//! Metrics in the statsd format over UDP.

use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};

use cadence::{NopMetricSink, QueuingMetricSink, StatsdClient, UdpMetricSink};

/// Metrics that may wait for the sending thread; more are dropped rather than delay a request.
const QUEUE_METRICS: usize = 4_096;

/// Creates a statsd client for `addr`, or one that drops everything where no address is set.
pub fn client(prefix: &str, addr: Option<SocketAddr>) -> std::io::Result<StatsdClient> {
    let Some(addr) = addr else {
        return Ok(StatsdClient::from_sink(prefix, NopMetricSink));
    };
    let local: SocketAddr = match addr {
        SocketAddr::V4(_) => (Ipv4Addr::UNSPECIFIED, 0).into(),
        SocketAddr::V6(_) => (Ipv6Addr::UNSPECIFIED, 0).into(),
    };
    let socket = UdpSocket::bind(local)?;
    socket.set_nonblocking(true)?;
    let sink = UdpMetricSink::from(addr, socket).map_err(std::io::Error::other)?;
    let queue = QueuingMetricSink::with_capacity(sink, QUEUE_METRICS);
    Ok(StatsdClient::builder(prefix, queue).build())
}
