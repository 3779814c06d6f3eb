//! Settings of one process, such as its name, failure domain and addresses.

use error_stack::Report;
use serde::de::DeserializeOwned;

use crate::error::SettingsError;
use crate::tree::{Node, Source};

/// Parses the settings file of one process. Errors name file, line and key.
pub fn parse_process<T: DeserializeOwned>(source: Source<'_>) -> Result<T, Report<SettingsError>> {
    Node::parse(source)?.deserialize()
}
