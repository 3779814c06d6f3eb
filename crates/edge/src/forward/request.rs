use std::cell::{Cell, OnceCell, RefCell};
use std::fmt::Write;
use std::rc::Rc;
use std::time::Duration;

use http::{Method, StatusCode};
use nutmegbay_core::crashes::ContentId;
use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_core::verdict::Verdict;
use nutmegbay_policy::edge::software_versions::VersionTag;
use nutmegbay_policy::edge::urgency::{MOST_URGENT_RANK, Urgency};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::body::HeldBody;
use crate::crashes::block_content;
use crate::http1::{BodyDelimiter, Connection};
use crate::model::{
    Account, ModelWork, RequestHead, RequestKind, Route, Service, Stage, promises_not_run,
};
use crate::quota::QuotaTicket;

/// A caller's request with its route, service and client account.
pub struct RoutedRequest {
    pub route: Rc<Route>,
    /// Service chosen among the route's targets.
    pub service: Rc<Service>,
    /// Client account. `None` on anonymous routes.
    pub account: Option<Rc<Account>>,
    /// Rank of new requests like this one within the deployment. 0 is the most urgent.
    pub route_rank: u8,
    pub head: RequestHead,
    pub method: Method,
    /// Path and query as received.
    pub target: Box<str>,
    /// Complete body.
    pub body: HeldBody,
    /// Time from the arrival of the head to that of the whole body.
    pub body_time: Duration,
    /// Arrival time of the head.
    pub arrived: MonotonicTime,
    /// Earlier of the caller's deadline and the route's timeout.
    pub deadline_at: MonotonicTime,
    /// Minimum time between the caller's first attempt and the arrival of this one.
    pub elapsed: Duration,
    /// Counts the request as being served until its response has ended.
    pub _in_flight: InFlightGuard,
    /// Progress so far, for the log.
    pub progress: RefCell<RequestProgress>,
    /// Cache for [`Self::contents`].
    pub contents: OnceCell<Box<[ContentId]>>,
}

/// What has happened to a request so far.
#[derive(Debug, Default)]
pub struct RequestProgress {
    /// Upstreams to which it was sent, in order, as a comma-separated list.
    pub upstreams: String,
    /// Number of sends that count as attempts.
    pub sends: u32,
    /// Engine time of the request's own work until the first result, in milliseconds.
    pub cost_ms: f64,
    /// Predicted time to the first result, in milliseconds.
    pub predicted_ms: f64,
    /// Age of the load figures of other instances with which it was placed, if that counted.
    pub load_age: Option<Duration>,
    /// Predicted time from the upstreams' work alone, without the lateness of earlier requests, in
    /// milliseconds.
    pub summed_ms: f64,
    /// Whether the prediction is for a split request.
    pub is_split: bool,
    /// Fraction of its account's work that is within the account's part, if the request is beyond
    /// it.
    pub within_part: Option<f64>,
    /// Duration of a separate prefill. `None` for a whole run.
    pub prefill: Option<Duration>,
    /// Time of the first result.
    pub first_result_at: Option<MonotonicTime>,
    /// How the newest response of an upstream shows where its body ends.
    pub delimiter: Option<BodyDelimiter>,
    /// Whether the response is streamed to the caller.
    pub is_streaming: bool,
    /// Bytes written by the connection to which the body is being sent.
    pub written: Option<Rc<Cell<u64>>>,
    /// Whether the request was counted for its client account.
    pub is_counted: bool,
    /// Version at which the stream must be continued. `None` before its first event.
    pub version: Option<VersionTag>,
    /// Tokens of the account's quota. `None` without a quota.
    pub quota: Option<QuotaTicket>,
}

impl RequestProgress {
    /// Adds an upstream to which the request is being sent.
    pub fn record_upstream(&mut self, id: &str, stage: Stage<'_>) {
        let mark = match stage {
            Stage::Whole => "",
            Stage::Prefill => "p:",
            Stage::Decode { .. } => "d:",
        };
        let comma = if self.upstreams.is_empty() { "" } else { "," };
        // Writing to a string does not fail.
        let _ = write!(self.upstreams, "{comma}{mark}{id}");
    }

    /// Records that the request is being sent on `connection`.
    pub fn record_send(&mut self, connection: &Connection) {
        self.sends += 1;
        self.written = Some(connection.written());
    }
}

impl RoutedRequest {
    /// Returns a hash of the request's id.
    pub fn id_hash(&self) -> u64 {
        xxh3_64(self.head.id.as_bytes())
    }

    /// Returns the remaining time at `now`.
    pub fn time_left(&self, now: MonotonicTime) -> Duration {
        self.deadline_at.since(now)
    }

    /// Returns whether the answer is a long stream.
    pub fn is_long(&self) -> bool {
        self.head.work.as_ref().is_some_and(crate::fleet::is_long)
    }

    /// Returns whether the request waits for a prefill. Long streams have short prompts and do not
    /// count.
    pub fn needs_prefill(&self) -> bool {
        self.head.work.is_some() && !self.is_long()
    }

    /// Returns whether the caller takes up a stream that broke off.
    pub fn is_taken_up(&self) -> bool {
        let has_begun = self.head.resumes.is_some() || self.head.resume_after.is_some();
        has_begun && self.route.kind == RequestKind::Streaming
    }

    /// Returns the attempts that a caller may name when it takes the stream up.
    pub fn stream_attempts(&self) -> impl Iterator<Item = &str> {
        let attempts = [Some(&self.head.id), self.head.resumes.as_ref()];
        attempts.into_iter().flatten().map(|attempt| &**attempt)
    }

    /// Returns the rank within the deployment, where 0 is the most urgent. Streams that are taken up
    /// precede new requests.
    pub fn rank(&self) -> u8 {
        if self.is_taken_up() {
            MOST_URGENT_RANK
        } else {
            self.route_rank
        }
    }

    /// Returns the class of urgency.
    pub fn urgency(&self) -> Urgency {
        Urgency::of_rank(self.rank())
    }

    /// Returns the identities of the content that may crash an upstream: the whole request, then
    /// its shared prefix blocks.
    pub fn contents(&self) -> &[ContentId] {
        self.contents.get_or_init(|| {
            std::iter::once(self.fingerprint())
                .chain(self.block_contents())
                .collect()
        })
    }

    /// Returns the identities of the shared prefix blocks.
    pub fn block_contents(&self) -> Vec<ContentId> {
        let work = self.head.work.as_ref();
        let shared = work.map_or(&[][..], ModelWork::shared_blocks);
        let service = xxh3_64(self.service.name.as_bytes());
        shared
            .iter()
            .map(|block| block_content(service, block.id))
            .collect()
    }

    /// Returns a hash of the method, path, account and body, which stay the same when a caller
    /// repeats a request.
    fn fingerprint(&self) -> ContentId {
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
        ContentId(hash.digest())
    }

    /// Returns the name of the client account, empty on anonymous routes.
    pub fn account_name(&self) -> &str {
        self.account.as_ref().map_or("", |account| &account.name)
    }
}

/// Failure of a request for which no upstream's response is passed on.
#[derive(Debug, Clone, PartialEq)]
pub struct Failure {
    /// HTTP status for the caller.
    pub status: StatusCode,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Cause, for the log and the caller.
    pub cause: &'static str,
    /// Time after which the caller may try again.
    pub retry_after: Option<Duration>,
}

impl Failure {
    /// Returns the status for the caller. One that promises that the request did not run is
    /// replaced unless the verdict says so.
    pub fn caller_status(&self) -> StatusCode {
        if promises_not_run(self.status) && self.verdict != Verdict::NotRun {
            tracing::error!(event = "refusal_not_true", cause = self.cause);
            return StatusCode::BAD_GATEWAY;
        }
        self.status
    }
}

/// Counts a request as being served until it is dropped.
pub struct InFlightGuard(Rc<Cell<usize>>);

impl InFlightGuard {
    /// Increments `count`.
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
