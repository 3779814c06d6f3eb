//! Settings and faults of the fake platform.

use nutmegbay_proto::platform::InstanceList;
use serde::{Deserialize, Serialize};

/// Settings of a fake platform.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformConfig {
    /// Appends a second, each of any number of records.
    pub appends_per_s: f64,
    /// Appends that may come at once.
    pub append_burst: f64,
    /// Records that are kept.
    pub retain: usize,
    /// Most records of one read.
    pub max_read: usize,
    /// Time until a change of the instance list is visible.
    pub instance_lag_ms: u64,
    /// Instances, visible from the start.
    pub instances: InstanceList,
    /// Weight fetches a second.
    pub fetches_per_s: f64,
    /// Weight fetches that may come at once.
    pub fetch_burst: f64,
    /// Size of the weights of every model.
    pub weight_bytes: usize,
    /// Seed of the choice of lost answers.
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

/// Faults of a fake platform; `PUT /faults` replaces them all. Each rule holds for the calls that
/// it matches; where several match, all apply.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Rules.
    pub rules: Vec<FaultRule>,
}

impl PlatformFaults {
    /// Faults of one rule.
    pub fn one(rule: FaultRule) -> Self {
        Self { rules: vec![rule] }
    }
}

/// Fault of some calls.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultRule {
    /// Interface whose calls are meant, none for all.
    pub interface: Option<Interface>,
    /// Client whose calls are meant, by its header `x-instance`; none for all.
    pub client: Option<Box<str>>,
    /// Calls are lost before they take effect.
    pub outage: Option<Outage>,
    /// Calls are refused with 503 before they take effect.
    pub refuse: bool,
    /// Added time before a call takes effect.
    pub latency_ms: u64,
    /// Next answers that are lost after the call took effect.
    pub lose_answers: u32,
    /// Share of the answers that are lost after the call took effect.
    pub lose_share: f64,
    /// Lost answers leave the connection open and silent rather than closed.
    pub lose_silently: bool,
}

/// How calls are lost in an outage.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// The connection is closed without an answer.
    Cut,
    /// The call stays without an answer and never takes effect.
    Hang,
}

/// Interface of the platform.
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
    /// Whether a rule for `self` holds for calls to `called`.
    pub fn covers(self, called: Self) -> bool {
        self == called || (self == Self::Log && matches!(called, Self::Append | Self::Read))
    }
}
