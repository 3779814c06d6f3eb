//! Metrics in statsd format over UDP.

use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};

use cadence::{NopMetricSink, QueuingMetricSink, StatsdClient, UdpMetricSink};

/// Maximum number of metrics queued for the sending thread. Further metrics are dropped, so that a
/// slow socket does not delay requests.
const MAX_QUEUED_METRICS: usize = 4_096;

/// Creates a statsd client for `addr`, or one that discards all metrics if `addr` is `None`.
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
    let queue = QueuingMetricSink::with_capacity(sink, MAX_QUEUED_METRICS);
    Ok(StatsdClient::builder(prefix, queue).build())
}
