//! Settings in JSON with comments: a base, one overlay per site, and validation before use.
//!
//! [`Site::load`] merges base and overlay and validates the result. It keeps the file and line of
//! each value, so that every [`Diagnostic`] names the place to edit.

mod check;
mod diff;
mod error;
pub mod model;
mod process;
mod tree;

pub use diff::{Change, diff};
pub use error::{Diagnostic, SettingsError};
pub use process::parse_process;
pub use tree::{Content, Node, Origin, Source};

use error_stack::Report;
use model::SiteSettings;

/// Validated settings of one site with the origin of each value.
#[derive(Debug, Clone, PartialEq)]
pub struct Site {
    /// Typed settings.
    pub settings: SiteSettings,
    /// Merged tree from which the settings were deserialized.
    pub tree: Node,
}

impl Site {
    /// Merges `overlay` into `base` and validates the result.
    ///
    /// The error lists every violated rule, or the first syntax or type error.
    pub fn load(
        base: Source<'_>,
        overlay: Option<Source<'_>>,
    ) -> Result<Self, Report<SettingsError>> {
        let mut tree = Node::parse(base)?;
        if let Some(overlay) = overlay {
            tree.merge(Node::parse(overlay)?);
        }
        let settings: SiteSettings = tree.deserialize()?;
        check::check(&settings, &tree)?;
        Ok(Self { settings, tree })
    }

    /// Returns the key, JSON text and origin of every scalar, in the order of the keys.
    pub fn values(&self) -> Vec<(String, String, Origin)> {
        self.tree.flatten()
    }
}

/// Merges and validates settings that were published through the log.
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
