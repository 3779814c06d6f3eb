//! Settings of the sidecar process, read from a JSON file with comments and validated before use.

use std::net::SocketAddr;
use std::path::Path;

use error_stack::Report;
use nutmegbay_settings::model::UpstreamKind;
use nutmegbay_settings::{Diagnostic, Node, Origin, SettingsError, Source};
use serde::Deserialize;

/// Settings of a sidecar.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the instance, which is also the name of its upstream, as in the platform's instance
    /// list.
    pub instance: Box<str>,
    /// Failure domain of the instance.
    pub failure_domain: Box<str>,
    /// Address on which gateways reach the sidecar: work, calls and the control interface.
    pub listen: SocketAddr,
    /// Address that serves `/ready` and `/health`.
    pub admin: SocketAddr,
    /// Address of the upstream on this instance.
    pub upstream: SocketAddr,
    /// Whether the upstream is a model engine or a plain service.
    pub kind: UpstreamKind,
    /// Base URL of the platform, such as `http://10.0.0.1:7000`. The log is read from there until
    /// the holder of the planner lease is known.
    #[serde(default)]
    pub platform: Option<Box<str>>,
    /// Address of a statsd server that receives metrics over UDP. Without it no metrics are sent.
    #[serde(default)]
    pub statsd: Option<SocketAddr>,
    /// Whether the engine itself refuses orders with an outdated fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Interval between two reads of the upstream's load and health, in milliseconds.
    #[serde(default = "default_poll_ms")]
    pub poll_ms: u64,
    /// Timeout of one read of the upstream's load, health or orders, in milliseconds.
    #[serde(default = "default_probe_timeout_ms")]
    pub probe_timeout_ms: u64,
    /// Time for which a drained sidecar still answers before it exits, in milliseconds.
    #[serde(default = "default_linger_ms")]
    pub linger_ms: u64,
    /// Maximum size of a request body in bytes.
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: usize,
}

impl Settings {
    /// Reads and validates the settings file at `path`.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] if the file cannot be read, does not parse or has an invalid value.
    pub fn read(path: &Path) -> Result<Self, Report<SettingsError>> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| {
            Report::new(SettingsError {
                diagnostics: vec![Diagnostic {
                    origin: Origin {
                        file: name.as_str().into(),
                        line: 0,
                        column: 0,
                    },
                    key: String::new(),
                    message: e.to_string(),
                }],
            })
        })?;
        Self::parse(&name, &text)
    }

    /// Parses and validates settings. `name` is the name of the file in error messages.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] with the position of each invalid value.
    pub fn parse(name: &str, text: &str) -> Result<Self, Report<SettingsError>> {
        let tree = Node::parse(Source { name, text })?;
        let settings: Self = tree.deserialize()?;
        settings.check(&tree)?;
        Ok(settings)
    }

    /// Returns the address of the platform, or `None` if the URL is not set or not of the form
    /// `http://<IP>:<port>`.
    pub fn platform_addr(&self) -> Option<SocketAddr> {
        let addr = self.platform.as_deref()?.strip_prefix("http://")?;
        addr.trim_end_matches('/').parse().ok()
    }

    fn check(&self, tree: &Node) -> Result<(), Report<SettingsError>> {
        let checks = [
            ("instance", self.instance.is_empty(), "must not be empty"),
            (
                "failure_domain",
                self.failure_domain.is_empty(),
                "must not be empty",
            ),
            ("upstream", self.upstream.port() == 0, "needs a port"),
            (
                "upstream",
                self.upstream == self.listen,
                "must differ from `listen`",
            ),
            (
                "admin",
                self.admin == self.listen && self.listen.port() != 0,
                "must differ from `listen`",
            ),
            (
                "platform",
                self.platform.is_some() && self.platform_addr().is_none(),
                "expected a URL such as http://10.0.0.1:7000",
            ),
            ("poll_ms", self.poll_ms == 0, "must not be 0"),
            (
                "probe_timeout_ms",
                self.probe_timeout_ms == 0,
                "must not be 0",
            ),
            ("max_body_bytes", self.max_body_bytes == 0, "must not be 0"),
        ];
        let diagnostics: Vec<Diagnostic> = checks
            .into_iter()
            .filter(|(_, is_invalid, _)| *is_invalid)
            .map(|(key, _, message)| Diagnostic {
                origin: tree.origin_of(key),
                key: key.to_owned(),
                message: message.to_owned(),
            })
            .collect();
        if diagnostics.is_empty() {
            Ok(())
        } else {
            Err(Report::new(SettingsError { diagnostics }))
        }
    }
}

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
