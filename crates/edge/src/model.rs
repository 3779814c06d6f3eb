//! Types that describe a deployment, its requests and its responses, independent of the platform.
//! An adapter decodes them from the platform's wire format.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use nutmegbay_core::position::Position;
use nutmegbay_policy::edge::entry_age::EntryAge;
pub use nutmegbay_policy::edge::quota::Quota;
use strum::{Display, EnumString, IntoStaticStr};

/// Deadline of a request that states none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(15);

/// Complete configuration of a deployment, as published by an operator.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct DeploymentConfig {
    /// Version, which increases with each change.
    pub version: u64,
    /// Routes in the order of publication.
    pub routes: Vec<Rc<Route>>,
    /// Services by name.
    pub services: BTreeMap<Box<str>, Rc<Service>>,
    /// Limits on what a caller may send.
    pub limits: CallerLimits,
    /// Whether requests require the key of an account, except on anonymous routes.
    pub requires_keys: bool,
    /// Client accounts. If there are none, no key is valid.
    pub accounts: Vec<Rc<Account>>,
}

/// A set of paths on a host, and how requests to them are served.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Route name, as used in metrics and logs.
    pub name: Box<str>,
    /// Host that the route matches.
    pub host: Box<str>,
    /// Path prefix that the route matches. Begins and ends with a slash.
    pub prefix: Box<str>,
    /// Which requests may be repeated.
    pub kind: RequestKind,
    /// Services with their weights. A route that is not split has one entry.
    pub targets: Vec<RouteTarget>,
    /// Maximum time for which a caller is kept waiting.
    pub timeout: Duration,
    /// Time limit within which a response, or the first event of a stream, counts as on time.
    pub objective: Duration,
    /// Longest pause between two events of a stream that still counts as on time.
    pub event_gap: Option<Duration>,
    /// Maximum number of upstreams to which one request is sent.
    pub attempts: u32,
    /// Priority of the route's requests. 0 is the most urgent.
    pub priority: u8,
    /// Whether requests need no key.
    pub allows_anonymous: bool,
    /// Whether another upstream may continue a stream after its last event.
    pub is_resumable: bool,
}

impl Route {
    /// Returns whether a request of this route may run more than once.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RequestKind::Idempotent => true,
            RequestKind::NonIdempotent => false,
            RequestKind::Streaming => self.is_resumable,
        }
    }
}

/// Service of a route, with its weight in the split.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteTarget {
    /// Service name.
    pub service: Box<str>,
    /// Weight of this service relative to the route's other targets.
    pub weight: u32,
}

/// Whether a request may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RequestKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Answered by a stream of events. Runs at most once unless the stream is resumable.
    Streaming,
}

/// A group of upstreams that serve the same requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Service name, to which routes and instance entries refer.
    pub name: Box<str>,
    /// Properties of the service's model engines. `None` for a plain service.
    pub engine: Option<EngineSpec>,
    /// Bounds on the number of upstreams per failure domain. `None` if it cannot be changed.
    pub scale: Option<ScaleSpec>,
}

/// Properties shared by all engines of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineSpec {
    /// Number of requests that run at once.
    pub slots: u32,
    /// Number of tokens that fit into the engine's memory.
    pub memory_tokens: u64,
    /// Size of a token in the engine's memory, in bytes.
    pub token_bytes: u64,
    /// Rate of the link between engines, in megabits per second.
    pub link_mbps: f64,
}

/// Bounds on the number of a service's upstreams in each failure domain.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ScaleSpec {
    /// Minimum number.
    pub min: u32,
    /// Maximum number.
    pub max: u32,
    /// Time from the order for a new upstream until it serves requests.
    pub boot: Duration,
}

/// Limits on what a caller may send.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time for receiving a request head.
    pub header_time: Duration,
    /// Maximum time for which a connection may be idle.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    // In use until the first configuration is known. Every request is refused until then.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// A client account.
#[derive(Debug, Clone, PartialEq)]
pub struct Account {
    /// Account name, as used in usage reports.
    pub name: Box<str>,
    /// Valid keys.
    pub keys: Vec<Box<str>>,
    /// Priority that takes precedence over the route's.
    pub priority: Option<u8>,
    /// Quota for all instances together. `None` if the account has no limit.
    pub quota: Option<AccountQuota>,
}

impl Account {
    /// Returns what a request counts toward the quota of the account, or `None` if it has none.
    pub fn quota_cost(&self, work: Option<&ModelWork>) -> Option<f64> {
        Some(match (self.quota?.unit, work) {
            (QuotaUnit::Requests, _) => 1.0,
            (QuotaUnit::Tokens { .. }, Some(work)) => {
                f64::from(work.prompt_tokens) + f64::from(work.output_tokens)
            }
            (QuotaUnit::Tokens { plain }, None) => plain,
        })
    }
}

/// Quota of a client account.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AccountQuota {
    /// Rate and burst.
    pub quota: Quota,
    /// What is counted.
    pub unit: QuotaUnit,
}

/// What a quota counts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum QuotaUnit {
    /// Requests.
    Requests,
    /// Tokens of the prompt and of the maximum output.
    Tokens {
        /// What a request counts that states no tokens.
        plain: f64,
    },
}

/// An upstream's entry in the list of instances.
#[derive(Debug, Clone, PartialEq)]
pub struct InstanceReport {
    /// Service to which the upstream belongs.
    pub service: Box<str>,
    /// Address that accepts requests.
    pub addr: SocketAddr,
    /// Failure domain that contains the upstream.
    pub domain: Box<str>,
    /// Whether the upstream accepts new requests.
    pub is_ready: bool,
    /// Number of requests that run at once.
    pub slots: u32,
    /// Role of a model engine.
    pub role: Option<EngineRole>,
    /// Start of this incarnation in milliseconds since 1970, if the entry contains it.
    pub started_ms: Option<u64>,
    /// Version of the upstream's software. It is only compared.
    pub version: Box<str>,
}

/// Decoded entry of the list of instances.
#[derive(Debug, Clone, PartialEq)]
pub struct InstanceEntry {
    /// What the upstream reports about itself.
    pub report: InstanceReport,
    /// Number of the heartbeat that wrote the entry, if the entry contains it.
    pub heartbeat: Option<u64>,
}

impl InstanceEntry {
    /// Returns what the entry states about its age.
    pub fn age(&self) -> EntryAge {
        EntryAge {
            started_ms: self.report.started_ms,
            heartbeat: self.heartbeat,
        }
    }
}

/// Role of a model engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum EngineRole {
    /// Runs prefills for other engines.
    Prefill,
    /// Runs decodes, and prefills at half the rate.
    Decode,
}

/// Decoded head of a caller's request.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestHead {
    /// Attempt id as sent by the caller.
    pub id: Box<str>,
    /// Key that identifies the client account.
    pub key: Option<Box<str>>,
    /// Time for which the caller waits, from the arrival of the head on.
    pub deadline: Option<Duration>,
    /// Work requested from a model. `None` for a plain call.
    pub work: Option<ModelWork>,
    /// Id of the caller's attempt that brought the first event of the stream to be continued, if
    /// given.
    pub resumes: Option<Box<str>>,
    /// Id of the last event that the caller has of the stream to be continued, if given.
    pub resume_after: Option<Box<str>>,
    /// Headers that are forwarded to the upstream unchanged.
    pub forwarded: HeaderMap,
}

impl RequestHead {
    /// Returns the time for which the caller waits, from the arrival of the head on.
    pub fn caller_wait(&self) -> Duration {
        self.deadline.unwrap_or(DEFAULT_DEADLINE)
    }
}

/// Size of a model request: its prompt and its maximum output.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ModelWork {
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Maximum number of output tokens.
    pub output_tokens: u32,
    /// Prefix blocks of the prompt in order. The last one belongs to this request or session only.
    pub blocks: Vec<PrefixBlock>,
}

impl ModelWork {
    /// Returns the blocks that other requests may share: all but the last one.
    pub fn shared_blocks(&self) -> &[PrefixBlock] {
        self.blocks.split_last().map_or(&[], |(_, shared)| shared)
    }
}

/// A block of a prompt prefix that requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PrefixBlock {
    /// Identity of the block's content.
    pub id: u64,
    /// Number of tokens in the block.
    pub tokens: u32,
}

/// Values that the edge adds to a request for an upstream, beside the caller's own headers.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamRequestContext<'a> {
    /// Instance that may run the request. Any other one refuses it.
    pub instance: &'a str,
    /// Remaining time until the caller gives up.
    pub deadline: Option<Duration>,
    /// Client account. `None` on anonymous routes.
    pub account: Option<&'a str>,
    /// Rank of the request. 0 is the most urgent.
    pub priority: Option<u8>,
    /// Stage of the request that the upstream runs.
    pub stage: Stage<'a>,
    /// Id of the last event that the caller received. The upstream continues after it.
    pub resume_after: Option<&'a str>,
}

/// Stage of a request that an upstream runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage<'a> {
    /// The whole request: prefill and decode, or a plain call.
    Whole,
    /// Prefill only. The upstream keeps the result.
    Prefill,
    /// Decode from the result of an earlier prefill.
    Decode {
        /// Upstream that holds the prefill result.
        source: SocketAddr,
        /// Handle of the prefill result.
        handle: &'a str,
    },
}

/// Decoded head of an upstream's response.
#[derive(Debug, Clone, PartialEq)]
pub struct ResponseHead {
    /// HTTP status.
    pub status: StatusCode,
    /// Id of the attempt to which this responds, if given.
    pub id: Option<Box<str>>,
    /// Whether the response carries the upstream's signature.
    pub is_signed: bool,
    /// The upstream's statement that the request did not run and never will, if it makes one.
    pub refusal: Option<Refusal>,
    /// Load of the upstream, if given.
    pub load: Option<LoadReport>,
    /// Number of requests per second that the upstream accepts from all instances together, if it
    /// states one.
    pub limit_per_s: Option<f64>,
    /// Whether the upstream states that it leaves.
    pub is_leaving: bool,
    /// Time for which the upstream wants no requests from this instance, if it refused the request
    /// and states one.
    pub pause: Option<Duration>,
    /// Time for which an idle connection stays usable, if given.
    pub keep_alive: Option<Duration>,
    /// Whether the upstream closes the connection after this response.
    pub is_closing: bool,
}

impl ResponseHead {
    /// Returns whether the upstream states that the request did not run and never will.
    pub fn is_not_run(&self) -> bool {
        self.refusal.is_some()
    }

    /// Returns whether the status promises that the request did not run, while the upstream does not
    /// state it.
    pub fn is_unproved_refusal(&self) -> bool {
        promises_not_run(self.status) && !self.is_not_run()
    }

    /// Returns whether the upstream failed to serve the request, which may have run.
    pub fn is_failure(&self) -> bool {
        self.is_unproved_refusal() || (self.status.is_server_error() && !self.is_not_run())
    }
}

/// Returns whether a status promises the caller that its request did not run and never will.
pub fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Statement of an upstream that it did not run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// The upstream has no capacity, or the request's deadline has passed.
    NotRun,
    /// The upstream is another instance, or has another role, than the request expects.
    Misdirected,
}

/// Load of an upstream when it sent a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Number of requests that can run at once.
    pub slots: u32,
    /// How long work takes at the moment.
    pub pace: StatedPace,
}

/// What an upstream states about the time that work takes on its machine at the moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StatedPace {
    /// It states nothing.
    #[default]
    None,
    /// Percent of the usual time.
    Percent(u16),
    /// The statement cannot be used.
    Unusable,
}

/// Result of a prefill, which its engine keeps.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PrefillResult {
    /// Handle by which another engine fetches the result.
    pub handle: Box<str>,
    /// Number of tokens in the result.
    pub tokens: u32,
}

/// One record of a keyed topic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedRecord {
    /// Position in the topic.
    pub position: Position,
    /// Key of the record within the topic.
    pub key: Box<str>,
    /// Value. `None` if the key was removed.
    pub value: Option<Bytes>,
}
