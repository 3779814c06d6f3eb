use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::Reason;
use crate::ids::Offset;
use crate::record::{ConfigPublish, ConfigScope};

/// Base configuration and overlays, changed along one chain of records.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    last: Option<Offset>,
    base: Option<Published>,
    overlays: BTreeMap<Box<str>, Published>,
}

/// One published text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Published {
    /// Record that published it.
    pub offset: Offset,
    /// Full text: JSON with comments.
    pub text: Box<str>,
}

impl Config {
    /// Last accepted publish of any scope, which the next one must name.
    pub fn last(&self) -> Option<Offset> {
        self.last
    }

    /// Base for all sites.
    pub fn base(&self) -> Option<&Published> {
        self.base.as_ref()
    }

    /// Overlay of one site.
    pub fn overlay(&self, site: &str) -> Option<&Published> {
        self.overlays.get(site)
    }

    /// All overlays by site.
    pub fn overlays(&self) -> impl Iterator<Item = (&str, &Published)> {
        self.overlays
            .iter()
            .map(|(site, published)| (&**site, published))
    }

    pub(super) fn publish(
        &mut self,
        offset: Offset,
        publish: &ConfigPublish,
        any_prev: bool,
    ) -> Result<(), Reason> {
        if publish.prev != self.last && !any_prev {
            return Err(Reason::Overtaken);
        }
        let published = Published {
            offset,
            text: publish.text.clone(),
        };
        match &publish.scope {
            ConfigScope::Base => self.base = Some(published),
            ConfigScope::Overlay(site) => {
                self.overlays.insert(site.clone(), published);
            }
        }
        self.last = Some(offset);
        Ok(())
    }
}
