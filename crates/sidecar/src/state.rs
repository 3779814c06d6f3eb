//! State shared by all handlers of one sidecar.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use axum::body::Body;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use nutmegbay_core::ids::Incarnation;
use nutmegbay_proto::problem::ProblemKind;
use tokio::sync::watch;
use tokio::time::Duration;

use crate::refuse::Refusal;
use crate::settings::Settings;

/// HTTP client towards the upstream.
pub(crate) type Upstream = Client<HttpConnector, Body>;

/// Time for a connection to the upstream on the same instance.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// State shared by all handlers.
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) incarnation: Incarnation,
    /// Client for work that may be sent again on a new connection if the old one was closed
    /// before anything was written to it.
    pub(crate) upstream: Upstream,
    draining: AtomicBool,
    in_flight: watch::Sender<u32>,
}

impl Shared {
    pub(crate) fn new(settings: Settings) -> Self {
        Self {
            settings,
            incarnation: Incarnation(rand::random()),
            upstream: client(true),
            draining: AtomicBool::new(false),
            in_flight: watch::Sender::new(0),
        }
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Refuses new work from now on and returns what is still running.
    pub(crate) fn drain(&self) -> u32 {
        self.draining.store(true, Ordering::SeqCst);
        *self.in_flight.borrow()
    }

    /// Returns when nothing is in flight.
    pub(crate) async fn idle(&self) {
        let mut rx = self.in_flight.subscribe();
        // The sender is a field of `self`, so the channel stays open while this waits.
        let _ = rx.wait_for(|count| *count == 0).await;
    }

    /// Registers one request, or refuses it while draining.
    pub(crate) fn enter(self: &Arc<Self>) -> Result<InFlight, Refusal> {
        // The count goes up before the flag is read, so that `drain` followed by `idle` never
        // misses a request that read the flag as false.
        self.in_flight.send_modify(|count| *count += 1);
        let entered = InFlight(Arc::clone(self));
        if self.is_draining() {
            return Err(Refusal::not_run(
                ProblemKind::Draining,
                format!(
                    "upstream `{}` is draining; use another one",
                    self.settings.instance
                ),
            ));
        }
        Ok(entered)
    }
}

/// One request in flight; it ends when this is dropped.
pub(crate) struct InFlight(pub(crate) Arc<Shared>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.send_modify(|count| *count -= 1);
    }
}

/// HTTP/1 client that sends again only what never left the process, and that only if
/// `retry_unsent` is set.
pub(crate) fn client(retry_unsent: bool) -> Upstream {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .retry_canceled_requests(retry_unsent)
        .build(connector)
}
