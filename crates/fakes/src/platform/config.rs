//! Settings and faults of the fake platform.

use nutmegbay_proto::platform::InstanceList;
use serde::{Deserialize, Serialize};

/// Settings of a fake platform.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformConfig {
    /// Allowed appends per second; each may hold any number of records.
    pub appends_per_s: f64,
    /// Maximum number of appends in a burst.
    pub append_burst: f64,
    /// Maximum number of records that the log retains; older ones are dropped.
    pub retain: usize,
    /// Maximum number of records in the answer to one read.
    pub max_read: usize,
    /// Time until a change of the instance list becomes visible, in milliseconds.
    pub instance_lag_ms: u64,
    /// Initial instance list, visible immediately.
    pub instances: InstanceList,
    /// Allowed weight fetches per second.
    pub fetches_per_s: f64,
    /// Maximum number of weight fetches in a burst.
    pub fetch_burst: f64,
    /// Size of the weights of every model, in bytes.
    pub weight_bytes: usize,
    /// Seed of the random choice of lost answers; see [`FaultRule::lose_share`].
    pub seed: u64,
}

impl Default for PlatformConfig {
    fn default() -> Self {
        Self {
            appends_per_s: 300.0,
            append_burst: 100.0,
            retain: 100_000,
            max_read: 1_000,
            instance_lag_ms: 500,
            instances: InstanceList::default(),
            fetches_per_s: 2.0,
            fetch_burst: 2.0,
            weight_bytes: 1 << 20,
            seed: 1,
        }
    }
}

/// Faults of a fake platform; `PUT /faults` replaces all of them. Several rules may match a call:
/// their latencies add up, and the first one with an outage or a refusal decides at once.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Rules in the order in which they are evaluated.
    pub rules: Vec<FaultRule>,
}

impl PlatformFaults {
    /// Returns faults with a single rule.
    pub fn with_rule(rule: FaultRule) -> Self {
        Self { rules: vec![rule] }
    }
}

/// Fault that applies to the calls that match `interface` and `client`.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultRule {
    /// Interface of the matching calls; `None` matches all.
    pub interface: Option<Interface>,
    /// Client of the matching calls, as named by its header `x-instance`; `None` matches all.
    pub client: Option<Box<str>>,
    /// Drops calls before they take effect.
    pub outage: Option<Outage>,
    /// Refuses calls with status 503 before they take effect.
    pub refuse: bool,
    /// Latency added before a call takes effect, in milliseconds.
    pub latency_ms: u64,
    /// Number of next answers that are lost after the call took effect.
    pub lose_answers: u32,
    /// Fraction of the answers, from 0 to 1, that are lost after the call took effect.
    pub lose_share: f64,
    /// Leaves the connection of a lost answer open without a response instead of closing it.
    pub lose_silently: bool,
}

/// How an outage drops a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// The connection is closed without an answer.
    Cut,
    /// The call never takes effect, and its connection stays open without an answer until the
    /// faults change, when it is closed.
    Hang,
}

/// Interface of the platform that a [`FaultRule`] selects.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Interface {
    /// Appends and reads.
    Log,
    /// Appends only.
    Append,
    /// Reads only.
    Read,
    /// Instance list.
    Instances,
    /// Weight store.
    Weights,
    /// Upstream orders.
    UpstreamOrders,
    /// Usage reports.
    UsageReports,
}

impl Interface {
    /// Returns whether a rule for `self` applies to calls of `called`.
    pub fn covers(self, called: Self) -> bool {
        self == called || (self == Self::Log && matches!(called, Self::Append | Self::Read))
    }
}
