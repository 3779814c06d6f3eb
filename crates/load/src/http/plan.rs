//! Workload file: JSON with comments.

use std::net::SocketAddr;

use serde::Deserialize;

/// Most requests of one run, whatever the file says.
pub const MAX_REQUESTS: u64 = 100_000;

/// Longest run in seconds, whatever the file says.
pub const MAX_SECONDS: u64 = 600;

/// Most requests in flight, whatever the file says.
pub const MAX_IN_FLIGHT: usize = 2_000;

/// Workload of one run.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// Gateways, on loopback addresses; requests go to them in turn.
    pub targets: Vec<SocketAddr>,
    /// Model.
    pub model: Box<str>,
    /// Most requests, repeats included.
    pub max_requests: u64,
    /// Seconds after which no request is sent.
    pub max_seconds: u64,
    /// Most requests in flight.
    pub max_in_flight: usize,
    /// Client accounts.
    pub accounts: Vec<AccountLoad>,
    /// Phases of the mix, run in order and repeated.
    pub phases: Vec<Phase>,
}

/// Load of one account.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountLoad {
    /// Name, for the report.
    pub name: Box<str>,
    /// Key sent with each request.
    pub key: Box<str>,
    /// Requests per second at factor one.
    pub rate_per_s: f64,
    /// Fewest and most prompt tokens after the shared prefix.
    pub prompt_tokens: (u32, u32),
    /// Fewest and most tokens asked for.
    pub output_tokens: (u32, u32),
    /// Tokens of a prefix that all requests of the account share.
    #[serde(default)]
    pub prefix_tokens: u32,
    /// Milliseconds without a first token after which the caller hangs up and sends again.
    pub patience_ms: u64,
    /// Most times that one request is sent.
    #[serde(default = "one")]
    pub max_sends: u32,
}

/// Phase of the mix.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Phase {
    /// Length in seconds.
    pub seconds: f64,
    /// Factor on the rate of each account, in their order.
    pub factors: Vec<f64>,
}

impl Workload {
    /// Parses and checks a workload file.
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
        let within = self.max_requests <= MAX_REQUESTS
            && self.max_seconds <= MAX_SECONDS
            && self.max_in_flight <= MAX_IN_FLIGHT;
        if !within {
            return Err(format!(
                "at most {MAX_REQUESTS} requests, {MAX_SECONDS} s and {MAX_IN_FLIGHT} in flight \
                 are allowed"
            ));
        }
        for account in &self.accounts {
            let (prompt, output) = (account.prompt_tokens, account.output_tokens);
            let is_range = prompt.0 <= prompt.1 && output.0 <= output.1 && output.0 > 0;
            let is_rate = account.rate_per_s.is_finite() && account.rate_per_s >= 0.0;
            if !is_range || !is_rate {
                return Err(format!("account {}: rate or range is wrong", account.name));
            }
        }
        for phase in &self.phases {
            if phase.factors.len() != self.accounts.len() {
                return Err("each phase needs one factor for each account".into());
            }
            let is_factor = |factor: &f64| factor.is_finite() && *factor >= 0.0;
            if !phase.factors.iter().all(is_factor) || !(0.1..=600.0).contains(&phase.seconds) {
                return Err("a phase lasts 0.1 to 600 s and has factors of 0 or more".into());
            }
        }
        Ok(())
    }

    /// Rate of an account `seconds` after the start.
    pub fn rate(&self, account: usize, seconds: f64) -> f64 {
        let total: f64 = self.phases.iter().map(|phase| phase.seconds).sum();
        let mut left = seconds % total;
        for phase in &self.phases {
            if left < phase.seconds {
                return phase.factors[account] * self.accounts[account].rate_per_s;
            }
            left -= phase.seconds;
        }
        0.0
    }
}

/// Load goes to loopback addresses only.
pub fn check_loopback(target: SocketAddr) -> Result<(), String> {
    if target.ip().is_loopback() {
        return Ok(());
    }
    Err(format!("{target} is not a loopback address"))
}

fn one() -> u32 {
    1
}
