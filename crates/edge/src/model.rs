//! What the edge knows of a deployment, in the project's words. An adapter decodes these types
//! from the names that a platform uses.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use strum::{Display, EnumString, IntoStaticStr};

/// Configuration of a deployment, whole, as an operator published it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct DeploymentConfig {
    /// Version, which increases with each change.
    pub version: u64,
    /// Routes in the order in which they were published.
    pub routes: Vec<Rc<Route>>,
    /// Services by name.
    pub services: BTreeMap<Box<str>, Rc<Service>>,
    /// Bounds on what a caller may send.
    pub limits: CallerLimits,
    /// Client accounts; none where the deployment asks for no keys.
    pub accounts: Vec<Rc<Account>>,
}

/// One route.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name.
    pub name: Box<str>,
    /// Host whose requests it takes.
    pub host: Box<str>,
    /// Beginning of the paths that it takes; begins and ends with a slash.
    pub prefix: Box<str>,
    /// What may be repeated.
    pub kind: RequestKind,
    /// Services with their weights; one entry where the route is not split.
    pub targets: Vec<RouteTarget>,
    /// Longest time for which a request is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer, or the first event of a stream, is on time.
    pub objective: Duration,
    /// Longest pause between events with which a stream is still on time.
    pub event_gap: Option<Duration>,
    /// Most upstreams to which one request may be sent.
    pub attempts: u32,
    /// Rank, 0 is the most urgent.
    pub priority: u8,
    /// Whether requests need no key.
    pub allows_anonymous: bool,
    /// Whether a stream may go on at another upstream after its last event.
    pub is_resumable: bool,
}

impl Route {
    /// Whether a request of this route may run more than once.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RequestKind::Idempotent => true,
            RequestKind::NonIdempotent => false,
            RequestKind::Streaming => self.is_resumable,
        }
    }
}

/// Service of a route with its share.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteTarget {
    /// Service.
    pub service: Box<str>,
    /// Share of the requests, in proportion to the other weights of the route.
    pub weight: u32,
}

/// What may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RequestKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Answered by events; runs at most once unless it may be resumed.
    Streaming,
}

/// One service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name.
    pub name: Box<str>,
    /// What its model engines are; none for a plain service.
    pub engine: Option<EngineSpec>,
    /// Bounds on the number of upstreams per failure domain; none where it cannot be changed.
    pub scale: Option<ScaleSpec>,
}

/// What all engines of a service have in common.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineSpec {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that fit into memory.
    pub memory_tokens: u64,
    /// Size of a token in memory, in bytes.
    pub token_bytes: u64,
    /// Rate of the link between engines, in megabits per second.
    pub link_mbps: f64,
}

/// Bounds on the number of upstreams of a service in each failure domain.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ScaleSpec {
    /// Fewest.
    pub min: u32,
    /// Most.
    pub max: u32,
    /// Time from the order until a new upstream serves.
    pub boot: Duration,
}

/// Bounds on what a caller may send.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CallerLimits {
    /// Size of a request's head, in bytes.
    pub header_bytes: usize,
    /// Size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Time for the head.
    pub header_time: Duration,
    /// Time for which a connection may be idle.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    // Used until the first configuration is known; every request is refused until then.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// One client account.
#[derive(Debug, Clone, PartialEq)]
pub struct Account {
    /// Name.
    pub name: Box<str>,
    /// Keys in force.
    pub keys: Vec<Box<str>>,
    /// Rank that replaces the one of the route.
    pub priority: Option<u8>,
}

/// What an upstream says of itself in the list of instances.
#[derive(Debug, Clone, PartialEq)]
pub struct InstanceReport {
    /// Service that it belongs to.
    pub service: Box<str>,
    /// Address.
    pub addr: SocketAddr,
    /// Failure domain.
    pub domain: Box<str>,
    /// Whether it takes new work.
    pub is_ready: bool,
    /// Requests that run at once.
    pub slots: u32,
    /// Role, for engines.
    pub role: Option<EngineRole>,
    /// Start of this incarnation, milliseconds since 1970; none where it is not told.
    pub started_ms: Option<u64>,
}

/// Part that an engine takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum EngineRole {
    /// Reads prompts for others.
    Prefill,
    /// Generates, and reads prompts at half speed.
    Decode,
}

/// Head of a caller's request, decoded.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestHead {
    /// Identity of the attempt, as the caller sent it.
    pub id: Box<str>,
    /// Caller's key.
    pub key: Option<Box<str>>,
    /// How long the caller waits from now on.
    pub deadline: Option<Duration>,
    /// Work that it asks a model for; none for a plain call.
    pub work: Option<ModelWork>,
    /// Headers that go on to the upstream unchanged.
    pub forwarded: HeaderMap,
}

/// Work that a request asks a model for.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ModelWork {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens of the answer.
    pub output_tokens: u32,
    /// Parts of the prompt in order; the last one is the request's or the session's own.
    pub blocks: Vec<PrefixBlock>,
}

impl ModelWork {
    /// Parts that other requests may share: all but the last one.
    pub fn shared_blocks(&self) -> &[PrefixBlock] {
        self.blocks.split_last().map_or(&[], |(_, shared)| shared)
    }
}

/// A part of a prompt that requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PrefixBlock {
    /// Identity.
    pub id: u64,
    /// Tokens.
    pub tokens: u32,
}

/// What the system tells an upstream beside the caller's own headers.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamRequestContext<'a> {
    /// Instance that may run the request.
    pub instance: &'a str,
    /// Time that is left.
    pub deadline: Option<Duration>,
    /// Client account; none on open routes.
    pub account: Option<&'a str>,
    /// Rank, 0 is the most urgent.
    pub priority: Option<u8>,
    /// Stage of the work.
    pub stage: Stage<'a>,
    /// Last event that the caller has, to go on after it.
    pub resume_after: Option<&'a str>,
}

/// Stage of the work that an upstream is asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage<'a> {
    /// The whole request.
    Whole,
    /// Only read the prompt and keep the result.
    Prefill,
    /// Generate from the result of a prefill.
    Decode {
        /// Upstream that holds the result.
        source: SocketAddr,
        /// Handle of the result.
        handle: &'a str,
    },
}

/// Head of an upstream's answer, decoded.
#[derive(Debug, Clone, PartialEq)]
pub struct ResponseHead {
    /// Status.
    pub status: StatusCode,
    /// Identity of the attempt that it answers, where given.
    pub id: Option<Box<str>>,
    /// Whether it carries the upstream's signature.
    pub is_signed: bool,
    /// Its statement that the request did not run and never will, where it makes one.
    pub refusal: Option<Refusal>,
    /// Load of the upstream, where given.
    pub load: Option<LoadReport>,
    /// How long an idle connection stays usable, where given.
    pub keep_alive: Option<Duration>,
    /// Whether the upstream closes the connection after this answer.
    pub is_closing: bool,
}

impl ResponseHead {
    /// Whether it states that the request did not run and never will.
    pub fn is_not_run(&self) -> bool {
        self.refusal.is_some()
    }
}

/// Statement of an upstream that it did not run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// It has no room, or the request's time was over.
    NotRun,
    /// It is another one, or in another role, than the request expects.
    Misdirected,
}

/// Load of an upstream as of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

/// Result of a prefill.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PrefillResult {
    /// Names the result to other upstreams.
    pub handle: Box<str>,
    /// Tokens that it holds.
    pub tokens: u32,
}

/// Position and value of one record of a keyed topic. No value means that the key was removed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedRecord {
    /// Position.
    pub offset: u64,
    /// Key.
    pub key: Box<str>,
    /// Value.
    pub value: Option<Bytes>,
}
