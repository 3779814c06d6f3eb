use nutmegbay_policy::UpstreamKey;
use nutmegbay_policy::edge::software_versions::VersionTag;

use super::{Fleet, Upstream};

impl Fleet {
    /// Returns the software versions of the known upstreams of a service.
    pub fn listed_versions(&self, service: &str) -> impl Iterator<Item = VersionTag> {
        self.service_keys(service)
            .map(|key| self.upstreams[key].version())
    }

    /// Returns whether an upstream is known and of `version`.
    pub fn has_version(&self, key: UpstreamKey, version: VersionTag) -> bool {
        let upstream = self.upstreams.get(key);
        upstream.is_some_and(|upstream| upstream.version == version)
    }

    /// Returns the upstreams of a service, only those of `version` if it is given.
    pub fn keys_of_version(
        &self,
        service: &str,
        version: Option<VersionTag>,
    ) -> impl Iterator<Item = UpstreamKey> {
        self.service_keys(service)
            .filter(move |key| version.is_none_or(|version| self.has_version(*key, version)))
    }
}

impl Upstream {
    /// Returns the tag of its software version.
    pub fn version(&self) -> VersionTag {
        self.version
    }
}

/// What this process knows of the start that an upstream's entry describes.
#[derive(Debug, Clone, Copy)]
pub struct KnownStart {
    /// Start in milliseconds since 1970, if the entry contains it.
    pub started_ms: Option<u64>,
    /// Whether a refused connection has shown that it has ended.
    pub has_ended: bool,
}

impl Fleet {
    /// Returns what is known of the start of an upstream, or `None` if the upstream was removed.
    pub fn known_start(&self, key: UpstreamKey) -> Option<KnownStart> {
        let upstream = self.upstreams.get(key)?;
        Some(KnownStart {
            started_ms: upstream.report.started_ms,
            has_ended: upstream.has_ended,
        })
    }

    /// Records that an upstream refused a connection: the start that its entry describes has ended.
    pub fn record_ended(&mut self, key: UpstreamKey) {
        if let Some(upstream) = self.upstreams.get_mut(key) {
            upstream.has_ended = true;
        }
    }

    /// Records that an open connection leads to the start that the entry describes.
    pub fn record_proved_start(&mut self, key: UpstreamKey) {
        if let Some(upstream) = self.upstreams.get_mut(key) {
            upstream.has_ended = false;
        }
    }
}
