//! Process settings of a gateway, read from JSON with comments and validated.

use std::net::SocketAddr;
use std::path::Path;

use error_stack::{Report, ensure};
use nutmegbay_settings::{Diagnostic, Node, SettingsError, Source};
use serde::Deserialize;

/// Settings of one gateway process.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// Name of the instance, unique within the site.
    pub instance: Box<str>,
    /// Failure domain of the instance.
    pub failure_domain: Box<str>,
    /// Name of the site whose overlay is merged over the base configuration.
    pub site: Box<str>,
    /// Address on which callers connect.
    pub listen: SocketAddr,
    /// Address of the JSON-RPC control interface.
    pub control: SocketAddr,
    /// Address that serves `/ready` and `/health`.
    pub admin: SocketAddr,
    /// Base URL of the platform, such as `http://10.0.0.1:7000`.
    pub platform: Box<str>,
    /// Address of a statsd server that receives metrics over UDP; without it none are sent.
    #[serde(default)]
    pub statsd: Option<SocketAddr>,
    /// Time for which a stopping gateway still accepts requests, in milliseconds. It must cover the
    /// time that the load balancer needs to detect that `/ready` fails.
    #[serde(default = "default_linger_ms")]
    pub linger_ms: u64,
}

impl GatewaySettings {
    /// Reads and validates a settings file. The error is a message for the operator.
    pub fn load(path: &Path) -> Result<Self, String> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| format!("{name}: {e}"))?;
        Self::parse(&name, &text).map_err(|e| e.current_context().to_string())
    }

    /// Parses and validates settings; `name` is the file name that error messages show.
    pub fn parse(name: &str, text: &str) -> Result<Self, Report<SettingsError>> {
        let tree = Node::parse(Source { name, text })?;
        let settings: Self = tree.deserialize()?;
        settings.validate(&tree)?;
        Ok(settings)
    }

    /// Address of the platform, or `None` if the URL does not have the form `http://<IP>:<port>`.
    pub fn platform_addr(&self) -> Option<SocketAddr> {
        let addr = self.platform.strip_prefix("http://")?;
        addr.trim_end_matches('/').parse().ok()
    }

    fn validate(&self, tree: &Node) -> Result<(), Report<SettingsError>> {
        let names = [
            ("instance", &self.instance),
            ("failure_domain", &self.failure_domain),
            ("site", &self.site),
        ];
        for (key, value) in names {
            ensure!(
                !value.is_empty(),
                settings_error(tree, key, "must not be empty")
            );
        }
        ensure!(
            self.platform_addr().is_some(),
            settings_error(
                tree,
                "platform",
                "expected a URL such as http://10.0.0.1:7000"
            )
        );
        Ok(())
    }
}

fn default_linger_ms() -> u64 {
    5_000
}

fn settings_error(tree: &Node, key: &str, message: &str) -> Report<SettingsError> {
    Report::new(SettingsError {
        diagnostics: vec![Diagnostic {
            origin: tree.origin_of(key),
            key: key.to_owned(),
            message: message.to_owned(),
        }],
    })
}
