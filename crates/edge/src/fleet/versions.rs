use nutmegbay_policy::edge::software_versions::VersionTag;

use super::{Fleet, Upstream};

impl Fleet {
    /// Returns the software versions of the known upstreams of a service.
    pub fn listed_versions(&self, service: &str) -> impl Iterator<Item = VersionTag> {
        self.service_keys(service)
            .map(|key| self.upstreams[key].version())
    }
}

impl Upstream {
    /// Returns the tag of its software version.
    #[expect(
        clippy::unused_self,
        reason = "entries are decoded without their version so far"
    )]
    pub fn version(&self) -> VersionTag {
        VersionTag(0)
    }
}
