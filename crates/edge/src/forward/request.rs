use std::cell::{Cell, OnceCell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use nutmegbay_core::verdict::Verdict;
use nutmegbay_core::world::Moment;
use nutmegbay_policy::edge::urgency::Urgency;
use xxhash_rust::xxh3::Xxh3;

use crate::model::{Account, RequestHead, Route, Service};

/// One request with what was decided about it.
pub struct RoutedRequest {
    /// Route.
    pub route: Rc<Route>,
    /// Service that the route's split chose.
    pub service: Rc<Service>,
    /// Client account; none on open routes.
    pub account: Option<Rc<Account>>,
    /// Rank among the requests of the deployment, 0 is the most urgent.
    pub rank: u8,
    /// Decoded head.
    pub head: RequestHead,
    /// Method.
    pub method: Method,
    /// Path and query as they came.
    pub target: Box<str>,
    /// Whole body.
    pub body: Bytes,
    /// Arrival of the head.
    pub arrived: Moment,
    /// End of the time that the caller and the route give it.
    pub deadline_at: Moment,
    /// Time since the caller's first attempt when this one arrived.
    pub elapsed: Duration,
    /// Counts it as being served until its answer has ended.
    pub _in_flight: InFlightGuard,
    /// What happened so far, for the log.
    pub progress: RefCell<RequestProgress>,
    /// Computed when it is first asked for.
    pub fingerprint: OnceCell<u64>,
}

/// What happened to a request.
#[derive(Debug, Default)]
pub struct RequestProgress {
    /// Upstreams to which it was sent, in order.
    pub upstreams: String,
    /// Arrivals at upstreams that count as attempts.
    pub sends: u32,
    /// Engine time of its own work until the first result, in milliseconds.
    pub cost_ms: f64,
    /// Predicted time to the first result, in milliseconds.
    pub predicted_ms: f64,
    /// The same by the upstreams' work alone, without the lateness of earlier requests.
    pub summed_ms: f64,
    /// Whether the prediction is for a split request.
    pub is_split: bool,
    /// Time of reading the prompt ahead; none for a whole run.
    pub prefill: Option<Duration>,
    /// When its first result came.
    pub first_result_at: Option<Moment>,
    /// Whether its answer is passed on while it comes.
    pub is_streaming: bool,
    /// Whether it was counted for its client account.
    pub is_counted: bool,
}

impl RoutedRequest {
    /// Time that is left at `now`.
    pub fn time_left(&self, now: Moment) -> Duration {
        self.deadline_at.since(now)
    }

    /// Whether its answer is a long stream.
    pub fn is_long(&self) -> bool {
        self.head.work.as_ref().is_some_and(crate::fleet::is_long)
    }

    /// Whether it waits for an engine to read a prompt; long streams have short ones.
    pub fn needs_prefill(&self) -> bool {
        self.head.work.is_some() && !self.is_long()
    }

    /// Its urgency among the work that waits.
    pub fn urgency(&self) -> Urgency {
        Urgency::of_rank(self.rank)
    }

    /// What stays the same when a caller sends the request again: method, path, account and body.
    pub fn fingerprint(&self) -> u64 {
        *self.fingerprint.get_or_init(|| {
            let mut hash = Xxh3::new();
            for part in [
                self.method.as_str().as_bytes(),
                self.target.as_bytes(),
                self.account_name().as_bytes(),
                &self.body,
            ] {
                hash.update(&part.len().to_le_bytes());
                hash.update(part);
            }
            hash.digest()
        })
    }

    /// Name of the client account, empty on open routes.
    pub fn account_name(&self) -> &str {
        self.account.as_ref().map_or("", |account| &account.name)
    }
}

/// A request that ends without an upstream's answer.
#[derive(Debug, Clone, PartialEq)]
pub struct Failure {
    /// Status for the caller.
    pub status: StatusCode,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Reason, for the log and the caller.
    pub cause: &'static str,
    /// When room is expected.
    pub retry_after: Option<Duration>,
}

/// Counts a request as being served until it is dropped.
pub struct InFlightGuard(Rc<Cell<usize>>);

impl InFlightGuard {
    /// Counts one request more.
    pub fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(Rc::clone(count))
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
