#![allow(
    dead_code,
    clippy::unused_self,
    reason = "entries are decoded without their version so far"
)]

use nutmegbay_policy::edge::software_versions::VersionTag;

use super::{Fleet, Upstream};

impl Fleet {
    /// Returns the software versions of all known upstreams, by service.
    pub fn listed_versions(&self) -> impl Iterator<Item = (&str, Vec<VersionTag>)> {
        self.by_service.iter().map(|(service, keys)| {
            let upstreams = keys.iter().filter_map(|key| self.upstreams.get(*key));
            (&**service, upstreams.map(Upstream::version).collect())
        })
    }
}

impl Upstream {
    /// Returns the tag of its software version.
    pub fn version(&self) -> VersionTag {
        VersionTag(0)
    }
}
