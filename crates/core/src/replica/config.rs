use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::RejectReason;
use crate::ids::Offset;
use crate::record::{ConfigPublish, ConfigScope};

/// Last accepted base configuration and overlays. All scopes share one chain of `prev` offsets.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    last: Option<Offset>,
    base: Option<PublishedText>,
    overlays: BTreeMap<Box<str>, PublishedText>,
}

/// One published part of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedText {
    /// Offset of the record that published it.
    pub offset: Offset,
    /// Full text: JSON with comments.
    pub text: Box<str>,
}

impl Config {
    /// Last accepted publish of any scope, which the next publish must name in `prev`.
    pub fn last(&self) -> Option<Offset> {
        self.last
    }

    /// Base configuration of all sites, `None` before the first publish.
    pub fn base(&self) -> Option<&PublishedText> {
        self.base.as_ref()
    }

    /// Overlay of one site, `None` if the site has none.
    pub fn overlay(&self, site: &str) -> Option<&PublishedText> {
        self.overlays.get(site)
    }

    /// All overlays by site.
    pub fn overlays(&self) -> impl Iterator<Item = (&str, &PublishedText)> {
        self.overlays
            .iter()
            .map(|(site, published)| (&**site, published))
    }

    pub(super) fn publish(
        &mut self,
        offset: Offset,
        publish: &ConfigPublish,
        ignore_prev: bool,
    ) -> Result<(), RejectReason> {
        if publish.prev != self.last && !ignore_prev {
            return Err(RejectReason::Overtaken);
        }
        let published = PublishedText {
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
