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
