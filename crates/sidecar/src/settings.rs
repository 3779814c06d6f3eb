//! Settings of the sidecar process: a JSON file with comments, checked before use.

use std::net::SocketAddr;
use std::path::Path;

use error_stack::{Report, ResultExt, ensure};
use jsonc_parser::ParseOptions;
use nutmegbay_settings::model::UpstreamKind;
use serde::Deserialize;

/// Settings of one sidecar.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the instance and of its upstream, as in the platform's instance list.
    pub instance: Box<str>,
    /// Failure domain.
    pub failure_domain: Box<str>,
    /// Address for gateways: work, calls and control.
    pub listen: SocketAddr,
    /// Address for `/ready` and `/health`.
    pub admin: SocketAddr,
    /// Address of the upstream.
    pub upstream: SocketAddr,
    /// Kind of the upstream.
    pub kind: UpstreamKind,
    /// Address of the platform, from which the log is read before the first order.
    #[serde(default)]
    pub platform: Option<SocketAddr>,
    /// Whether the engine refuses orders with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Time between two reads of the engine's load and health in milliseconds.
    #[serde(default = "default_poll_ms")]
    pub poll_ms: u64,
    /// Time for one read of the engine's load, health or orders in milliseconds.
    #[serde(default = "default_probe_timeout_ms")]
    pub probe_timeout_ms: u64,
    /// Time during which a drained sidecar still answers before it exits, in milliseconds.
    #[serde(default = "default_linger_ms")]
    pub linger_ms: u64,
    /// Largest request body in bytes.
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: usize,
}

impl Settings {
    /// Reads and checks the settings in the file at `path`.
    pub fn read(path: &Path) -> Result<Self, Report<SettingsError>> {
        let text = std::fs::read_to_string(path)
            .change_context(SettingsError)
            .attach_with(|| format!("check the path {}", path.display()))?;
        Self::parse(&text).attach_with(|| format!("file {}", path.display()))
    }

    /// Parses and checks settings.
    pub fn parse(text: &str) -> Result<Self, Report<SettingsError>> {
        let settings: Self = jsonc_parser::parse_to_serde_value(text, &ParseOptions::default())
            .map_err(|e| Report::new(SettingsError).attach(format!("{e}")))?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), Report<SettingsError>> {
        let faults = [
            (self.instance.is_empty(), "`instance` is empty"),
            (self.failure_domain.is_empty(), "`failure_domain` is empty"),
            (self.upstream.port() == 0, "`upstream` has no port"),
            (self.upstream == self.listen, "`upstream` equals `listen`"),
            (
                self.admin == self.listen && self.listen.port() != 0,
                "`admin` equals `listen`",
            ),
            (self.poll_ms == 0, "`poll_ms` is zero"),
            (self.probe_timeout_ms == 0, "`probe_timeout_ms` is zero"),
            (self.max_body_bytes == 0, "`max_body_bytes` is zero"),
        ];
        for (fault, what) in faults {
            ensure!(!fault, Report::new(SettingsError).attach(what));
        }
        Ok(())
    }
}

/// The settings cannot be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SettingsError;

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the sidecar's settings cannot be used")
    }
}

impl std::error::Error for SettingsError {}

fn default_poll_ms() -> u64 {
    100
}

fn default_probe_timeout_ms() -> u64 {
    1_000
}

fn default_linger_ms() -> u64 {
    500
}

fn default_max_body_bytes() -> usize {
    16 << 20
}
