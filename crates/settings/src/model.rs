//! Typed settings of one site, as read from the merged base and overlay.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

/// Settings of a site. Operators publish them through the platform's log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SiteSettings {
    /// Client accounts with their fair-share weights.
    pub accounts: Vec<Account>,
    /// Models that requests may name.
    pub models: Vec<Model>,
    /// Routes to plain services.
    pub routes: Vec<Route>,
    /// Properties of upstreams that the instance list does not carry.
    pub upstreams: Vec<Upstream>,
    /// Limits on requests.
    pub limits: Limits,
    /// Windows in which usage is counted and reported.
    pub usage: UsageSettings,
    /// Planner that assigns roles to engines.
    pub planner: PlannerSettings,
}

/// A client account and its weight in admission.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Unique name, for which keys are granted and usage is reported.
    pub name: Box<str>,
    /// Weight relative to the other accounts, at least 1. It follows what the account pays for.
    pub share: u32,
    /// Scheduling priority passed to the engines; larger values run first.
    #[serde(default)]
    pub priority: u8,
}

/// A model that the site serves.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Unique name, as in the `model` field of requests.
    pub name: Box<str>,
    /// Version of the weights that engines load.
    pub version: Box<str>,
    /// Maximum number of tokens generated for one request, at least 1.
    pub max_tokens: u32,
}

/// A route to a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Path prefix, matched on whole segments; the longest matching prefix wins.
    pub path: Box<str>,
    /// HTTP methods that the route accepts, at least one.
    pub methods: Vec<Box<str>>,
    /// Service that receives the calls, as named in the instance list.
    pub service: Box<str>,
    /// Whether a call can be repeated without a further effect. Calls of other routes are executed
    /// at most once per idempotency key.
    pub idempotent: bool,
    /// Whether calls need no API key. Only idempotent routes may be open.
    #[serde(default)]
    pub open: bool,
    /// Request header that carries the idempotency key of a non-idempotent route.
    #[serde(default = "default_idempotency_header")]
    pub idempotency_header: Box<str>,
    /// Timeout of one call in milliseconds, at least 1.
    #[serde(default = "default_route_timeout_ms")]
    pub timeout_ms: u64,
}

/// Properties of an upstream that the instance list does not carry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Unique name, as in the instance list.
    pub name: Box<str>,
    /// Whether it is an engine or a service.
    pub kind: UpstreamKind,
    /// Whether the engine rejects orders whose fencing token is older than one that it has seen.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Cost of running the upstream per hour; not negative.
    #[serde(default)]
    pub cost_per_hour: f64,
}

/// Kind of an [`Upstream`].
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString, IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum UpstreamKind {
    /// Engine that generates tokens.
    Engine,
    /// HTTP service without a model.
    Service,
}

/// Limits on requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Maximum size of a request body in bytes, at most 64 MiB.
    pub max_body_bytes: usize,
    /// Maximum number of requests queued in one gateway.
    pub max_queued: u32,
    /// Maximum time that a request waits in the queue, in milliseconds.
    pub queue_deadline_ms: u64,
    /// Time without any frame after which an upstream connection is considered unresponsive, in
    /// milliseconds.
    pub progress_timeout_ms: u64,
}

/// Windows in which usage is counted and reported.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UsageSettings {
    /// Length of a window in seconds, at least 1.
    pub window_s: u64,
    /// Time between the end of a window and its sealing, in seconds.
    pub grace_s: u64,
}

/// Planner that assigns roles to engines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlannerSettings {
    /// Whether the planner issues role change orders.
    pub enabled: bool,
    /// Time between two evaluations in seconds, at least 1.
    pub interval_s: u64,
    /// Time within which a role change must recover its cost, in seconds; at least `interval_s`.
    pub horizon_s: u64,
}

fn default_idempotency_header() -> Box<str> {
    "Idempotency-Key".into()
}

fn default_route_timeout_ms() -> u64 {
    30_000
}
