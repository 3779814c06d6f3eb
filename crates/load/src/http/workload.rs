//! Workload file in JSON with comments.

use std::net::SocketAddr;

use serde::Deserialize;

/// Upper bound of [`Workload::max_requests`].
pub const MAX_REQUESTS: u64 = 100_000;

/// Upper bound of [`Workload::max_seconds`].
pub const MAX_SECONDS: u64 = 600;

/// Upper bound of [`Workload::max_in_flight`].
pub const MAX_IN_FLIGHT: usize = 2_000;

/// Workload of one run.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// Loopback addresses of the gateways. Requests go to them in turn.
    pub targets: Vec<SocketAddr>,
    /// Model of all requests.
    pub model: Box<str>,
    /// Maximum number of calls, including repeats.
    pub max_requests: u64,
    /// Seconds after which no new request is sent.
    pub max_seconds: u64,
    /// Maximum number of requests in flight.
    pub max_in_flight: usize,
    /// Client accounts that send requests.
    pub accounts: Vec<AccountLoad>,
    /// Phases of the load, run in order and repeated until the end of the run.
    pub phases: Vec<Phase>,
}

/// Load of one account.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountLoad {
    /// Name of the account in the report.
    pub name: Box<str>,
    /// API key sent with each request.
    pub key: Box<str>,
    /// Requests per second in a phase with factor 1.
    pub rate_per_s: f64,
    /// Minimum and maximum number of prompt tokens after the shared prefix.
    pub prompt_tokens: (u32, u32),
    /// Minimum and maximum of the requested `max_tokens`.
    pub output_tokens: (u32, u32),
    /// Number of tokens of the prompt prefix that all requests of the account share.
    #[serde(default)]
    pub prefix_tokens: u32,
    /// Milliseconds without a first token after which the caller disconnects and repeats the
    /// request.
    pub patience_ms: u64,
    /// Maximum number of calls for one request. 0 counts as 1.
    #[serde(default = "default_max_sends")]
    pub max_sends: u32,
}

/// Phase of the load.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Phase {
    /// Length in seconds.
    pub seconds: f64,
    /// Factor on the rate of each account, in the order of [`Workload::accounts`].
    pub factors: Vec<f64>,
}

impl Workload {
    /// Parses a workload file and checks its values.
    ///
    /// Returns a message if the text does not parse, a target is not a loopback address or a value
    /// is out of bounds.
    pub fn parse(text: &str) -> Result<Self, String> {
        let workload: Self =
            jsonc_parser::parse_to_serde_value(text, &jsonc_parser::ParseOptions::default())
                .map_err(|e| format!("the workload file does not parse: {e}"))?;
        workload.check()?;
        Ok(workload)
    }

    fn check(&self) -> Result<(), String> {
        if self.targets.is_empty() || self.accounts.is_empty() || self.phases.is_empty() {
            return Err("targets, accounts and phases must not be empty".into());
        }
        for &target in &self.targets {
            check_loopback(target)?;
        }
        let is_within_limits = self.max_requests <= MAX_REQUESTS
            && self.max_seconds <= MAX_SECONDS
            && self.max_in_flight <= MAX_IN_FLIGHT;
        if !is_within_limits {
            return Err(format!(
                "at most {MAX_REQUESTS} requests, {MAX_SECONDS} s and {MAX_IN_FLIGHT} in flight \
                 are allowed"
            ));
        }
        for account in &self.accounts {
            let (prompt, output) = (account.prompt_tokens, account.output_tokens);
            let has_valid_ranges = prompt.0 <= prompt.1 && output.0 <= output.1 && output.0 > 0;
            let has_valid_rate = account.rate_per_s.is_finite() && account.rate_per_s >= 0.0;
            if !has_valid_ranges || !has_valid_rate {
                return Err(format!(
                    "account {}: rate_per_s must be finite and at least 0, prompt_tokens and \
                     output_tokens must be ascending, and output_tokens must be above 0",
                    account.name
                ));
            }
        }
        for phase in &self.phases {
            if phase.factors.len() != self.accounts.len() {
                return Err("each phase needs one factor for each account".into());
            }
            let is_valid_factor = |factor: &f64| factor.is_finite() && *factor >= 0.0;
            if !phase.factors.iter().all(is_valid_factor) || !(0.1..=600.0).contains(&phase.seconds)
            {
                return Err("a phase lasts 0.1 to 600 s and has factors of 0 or more".into());
            }
        }
        Ok(())
    }

    /// Returns the requests per second of an account at `seconds` after the start.
    pub fn rate(&self, account: usize, seconds: f64) -> f64 {
        let total: f64 = self.phases.iter().map(|phase| phase.seconds).sum();
        let mut remaining = seconds % total;
        for phase in &self.phases {
            if remaining < phase.seconds {
                return phase.factors[account] * self.accounts[account].rate_per_s;
            }
            remaining -= phase.seconds;
        }
        0.0
    }
}

/// Returns an error if `target` is not a loopback address, so that the tool sends no load to other
/// machines.
pub fn check_loopback(target: SocketAddr) -> Result<(), String> {
    if target.ip().is_loopback() {
        return Ok(());
    }
    Err(format!("{target} is not a loopback address"))
}

fn default_max_sends() -> u32 {
    1
}
