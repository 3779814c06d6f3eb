//! Settings: JSON with comments, a base with one overlay per site, checked before use.
//!
//! [`Site::load`] merges base and overlay, checks the result and remembers which file and line each
//! value came from, so that every fault names its place.

mod check;
mod diff;
mod error;
pub mod model;
mod process;
mod tree;

pub use diff::{Change, diff};
pub use error::{Fault, SettingsError};
pub use process::parse_process;
pub use tree::{Content, Node, Origin, Source};

use error_stack::Report;
use model::SiteSettings;

/// Checked settings of one site with the origin of each value.
#[derive(Debug, Clone, PartialEq)]
pub struct Site {
    /// Settings.
    pub settings: SiteSettings,
    /// Merged tree that the settings were read from.
    pub tree: Node,
}

impl Site {
    /// Merges `overlay` into `base` and checks the result.
    pub fn load(
        base: Source<'_>,
        overlay: Option<Source<'_>>,
    ) -> Result<Self, Report<SettingsError>> {
        let mut tree = Node::parse(base)?;
        if let Some(overlay) = overlay {
            tree.merge(Node::parse(overlay)?);
        }
        let settings: SiteSettings = tree.read()?;
        check::check(&settings, &tree)?;
        Ok(Self { settings, tree })
    }

    /// Every value with its key and origin, in order of the keys.
    pub fn values(&self) -> Vec<(String, String, Origin)> {
        self.tree.flatten()
    }
}

/// Merges and checks texts that were published through the log.
pub fn parse_site(
    base: &str,
    overlay: Option<&str>,
) -> Result<SiteSettings, Report<SettingsError>> {
    let overlay = overlay.map(|text| Source {
        name: "overlay",
        text,
    });
    Site::load(
        Source {
            name: "base",
            text: base,
        },
        overlay,
    )
    .map(|site| site.settings)
}
