//! Settings of one site after base and overlay are merged.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

/// Settings of a site, published through the platform's log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SiteSettings {
    /// Client accounts with their paid shares.
    pub accounts: Vec<Account>,
    /// Models that callers may name.
    pub models: Vec<Model>,
    /// Routes to plain services.
    pub routes: Vec<Route>,
    /// Properties of upstreams that the instance list does not carry.
    pub upstreams: Vec<Upstream>,
    /// Limits on callers.
    pub limits: Limits,
    /// Usage windows.
    pub usage: UsageSettings,
    /// Role planner.
    pub planner: PlannerSettings,
}

/// A client account.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Name.
    pub name: Box<str>,
    /// Paid share, relative to the shares of the other accounts.
    pub share: u32,
    /// Priority passed to the engines, larger runs first.
    #[serde(default)]
    pub priority: u8,
}

/// A model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name in the API.
    pub name: Box<str>,
    /// Version that engines are to load.
    pub version: Box<str>,
    /// Most tokens of one answer.
    pub max_tokens: u32,
}

/// A route to a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Path prefix, matched on whole segments; the longest one wins.
    pub path: Box<str>,
    /// Methods.
    pub methods: Vec<Box<str>>,
    /// Service that it leads to, as in the instance list.
    pub service: Box<str>,
    /// Whether a repeated call has no further effect.
    pub idempotent: bool,
    /// Whether it needs no key.
    #[serde(default)]
    pub open: bool,
    /// Header with the idempotency key of a non-idempotent route.
    #[serde(default = "default_idempotency_header")]
    pub idempotency_header: Box<str>,
    /// Time for one call in milliseconds.
    #[serde(default = "default_route_timeout_ms")]
    pub timeout_ms: u64,
}

/// Properties of an upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Name, as in the instance list.
    pub name: Box<str>,
    /// Kind of work.
    pub kind: UpstreamKind,
    /// Whether the engine refuses orders with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Cost of running it, per hour.
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
    /// Model engine.
    Engine,
    /// Plain service.
    Service,
}

/// Limits on callers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Largest request body in bytes.
    pub max_body_bytes: usize,
    /// Most requests that wait in one gateway.
    pub max_queued: u32,
    /// Longest time in the queue in milliseconds.
    pub queue_deadline_ms: u64,
    /// Time without any frame after which an upstream connection counts as silent, in milliseconds.
    pub progress_timeout_ms: u64,
}

/// Usage windows.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UsageSettings {
    /// Window length in seconds.
    pub window_s: u64,
    /// Time after the end of a window at which it is sealed, in seconds.
    pub grace_s: u64,
}

/// Role planner.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlannerSettings {
    /// Whether the planner gives orders.
    pub enabled: bool,
    /// Time between two evaluations in seconds.
    pub interval_s: u64,
    /// Horizon within which a role change must pay back its cost, in seconds.
    pub horizon_s: u64,
}

fn default_idempotency_header() -> Box<str> {
    "Idempotency-Key".into()
}

fn default_route_timeout_ms() -> u64 {
    30_000
}
